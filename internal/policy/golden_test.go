package policy

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/consensus"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden reads a golden file. With -update it is written first.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// requireSet fails where a field of a value, at any depth, is zero: such a field could be renamed or moved unseen.
func requireSet(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			t.Errorf("%s is nil: the golden value has to set every field", path)
			return
		}
		requireSet(t, path, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			if name := value.Type().Field(i).Name; name != "_" {
				requireSet(t, path+"."+name, value.Field(i))
			}
		}
	case reflect.Slice:
		if value.Len() == 0 {
			t.Errorf("%s is empty: the golden value has to set every field", path)
		}
		for i := range value.Len() {
			if value.Type().Elem().Kind() == reflect.Struct {
				requireSet(t, path, value.Index(i))
			}
		}
	default:
		if value.IsZero() {
			t.Errorf("%s is zero: the golden value has to set every field", path)
		}
	}
}

// goldenState has every field set, and no two fields of a type alike.
func goldenState() *State {
	return &State{
		Number: 7, LastNumber: 9,
		Documents: []VersionedDocument{{Number: 4, Text: []byte("four")}, {Number: 7, Text: []byte("seven")}},
		Change: &Change{
			ID: "change-9", Number: 9, Base: 7, Text: []byte("nine"), Stage: StageCanary,
			Canary: Canary{Zone: "zone-a", OneIn: 5, Seconds: 30.5, MaxExtraRejections: 0.25},
		},
		Ended: []ChangeOutcome{
			{ID: "change-7", Number: 7, Accepted: true, Reason: "all live members said yes"},
			{ID: "change-8", Number: 8, Accepted: true, Reason: "other"},
		},
		Bases: []VersionedBase{
			{Number: 4, Attempts: 1, Deadline: 2000000},
			{Number: 7, Attempts: 2, Deadline: 1500000},
		},
	}
}

// TestGoldenState holds the form of a state on the replicated log: in both directions, byte for byte.
func TestGoldenState(t *testing.T) {
	want := goldenState()
	requireSet(t, "State", reflect.ValueOf(want))
	raw := golden(t, "state.cbor", want.Encode())
	got, err := Decode(raw)
	if err != nil {
		t.Fatalf("the golden state: %v", err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the golden state is read as %+v, wanted %+v", got, want)
	}
	if again := want.Encode(); !bytes.Equal(again, raw) {
		t.Errorf("the state is written as %x, wanted %x", again, raw)
	}
}

// TestGoldenCommands holds the states that each command puts on the replicated log, and the kind of their entries.
func TestGoldenCommands(t *testing.T) {
	if Kind != 3 {
		t.Errorf("entries of the log have kind %d, wanted 3", Kind)
	}
	begin := &State{
		Number: 7, LastNumber: 8,
		Documents: []VersionedDocument{{Number: 7, Text: []byte("seven")}},
		Bases:     []VersionedBase{{Number: 7, Attempts: 2, Deadline: 1500000}},
	}
	canary := Canary{OneIn: 5, Seconds: 30.5, MaxExtraRejections: 0.25}
	checking, err := begin.Propose("change-9", 7, []byte("nine"), validDocument(), canary)
	if err != nil {
		t.Fatal(err)
	}
	onTrial := checking.StartCanary()
	for _, test := range []struct {
		file string
		next *State
	}{
		{"initial.cbor", &State{}},
		{"proposed.cbor", checking},
		{"trial.cbor", onTrial},
		{"given_up.cbor", checking.Abort("aborted by an operator")},
		{"decided.cbor", onTrial.Commit(BasePolicy{Attempts: 1, Deadline: 2 * time.Second}, 7)},
	} {
		raw := golden(t, test.file, test.next.Encode())
		if got := test.next.Encode(); !bytes.Equal(got, raw) {
			t.Errorf("%s: the command writes %x, wanted %x", test.file, got, raw)
		}
		decoded, err := Decode(raw)
		if err != nil {
			t.Errorf("%s: %v", test.file, err)
			continue
		}
		if !reflect.DeepEqual(decoded, test.next) {
			t.Errorf("%s: read as %+v, wanted %+v", test.file, decoded, test.next)
		}
	}
}

// TestGoldenMessages holds the parts of messages between nodes that belong to this package: what a member reports, what
// the leader sends, and the canary of a proposal's call.
func TestGoldenMessages(t *testing.T) {
	status := MemberStatus{
		Entry: 11, Verdict: VerdictReject, Reason: "no room", KnownNumber: 12, ServedNumber: 13, MayServe: true,
		Arrived: 1400.5, Rejected: 15.25,
	}
	notice := LeaderNotice{Entry: 21, InForce: 22, OnTrial: 23, Window: 5000}
	canary := Canary{Zone: "zone-a", OneIn: 5, Seconds: 30.5, MaxExtraRejections: 0.25}
	for _, test := range []struct {
		file       string
		value, got any // got: an empty one of the same type
	}{
		{"word.cbor", &status, &MemberStatus{}},
		{"told.cbor", &notice, &LeaderNotice{}},
		{"part.cbor", &canary, &Canary{}},
	} {
		requireSet(t, test.file, reflect.ValueOf(test.value))
		raw := golden(t, test.file, consensus.Encode(test.value))
		if err := consensus.Unmarshal(raw, test.got); err != nil {
			t.Errorf("%s: %v", test.file, err)
			continue
		}
		if !reflect.DeepEqual(test.got, test.value) {
			t.Errorf("%s: read as %+v, wanted %+v", test.file, test.got, test.value)
		}
		if again := consensus.Encode(test.value); !bytes.Equal(again, raw) {
			t.Errorf("%s: written as %x, wanted %x", test.file, again, raw)
		}
	}
}

// TestGoldenVerdicts holds the numbers that stand for verdicts and stages in the encoded forms.
func TestGoldenVerdicts(t *testing.T) {
	for i, v := range []Verdict{VerdictPending, VerdictAccept, VerdictReject} {
		if int(v) != i {
			t.Errorf("a verdict is encoded as %d, wanted %d", v, i)
		}
	}
	for i, want := range []string{"checking", "trial"} {
		if stage := []Stage{StageChecking, StageCanary}[i]; int(stage) != i || stage.String() != want {
			t.Errorf("stage %d is encoded as %d and printed as %q, wanted %q", i, stage, stage, want)
		}
	}
}

// TestGoldenJSON holds the names by which scripts read parts of the state, as spurwinchctl policy status --json has
// them.
func TestGoldenJSON(t *testing.T) {
	s := goldenState()
	got, err := json.MarshalIndent(struct {
		Ended   []ChangeOutcome     `json:"ended"`
		Part    Canary              `json:"part"`
		Grounds []VersionedBase     `json:"grounds"`
		Docs    []VersionedDocument `json:"docs"`
	}{s.Ended, s.Change.Canary, s.Bases, s.Documents}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if want := golden(t, "reply.json", got); !bytes.Equal(got, want) {
		t.Errorf("written as\n%s\nwanted\n%s", got, want)
	}
}

// goldenDocument has every field set, and no two fields of a type alike.
func goldenDocument() *Document {
	return &Document{
		Attempts: 3, RetryAfter: 2 * time.Second, OverQuotaPriority: 0.1,
		Classes: []Class{
			{
				Name: "gold", Priority: 2, ServedByBase: true,
				SetupObjective:   500 * time.Millisecond,
				Deadline:         3 * time.Second,
				MessageObjective: 60 * time.Millisecond,
			},
			{
				Name: "plain", Priority: 1, ServedByBase: true,
				SetupObjective:   800 * time.Millisecond,
				Deadline:         4 * time.Second,
				MessageObjective: 70 * time.Millisecond,
			},
		},
		Tenants:      []Tenant{{Name: "acme", Connections: 40, Rate: 12.5}},
		Base:         BasePolicy{Attempts: 1, Deadline: 1500 * time.Millisecond},
		Requirements: Requirements{Descriptors: 512, MemoryMB: 64},
		Failover: &FailoverRules{
			UtilizationLimit: 0.85, RecoveryRamp: 0.2, RecoveryDelay: 4 * time.Second,
			RegionalClasses: []string{"plain"},
			RegionDistances: []RegionDistance{{A: "r", B: "s", Cost: 2}},
		},
	}
}

// changedDocument differs from goldenDocument in every value; a class and a tenant are new, and a class is gone.
func changedDocument() *Document {
	changed := goldenDocument()
	changed.Attempts = 4
	changed.RetryAfter = 3 * time.Second
	changed.OverQuotaPriority = 0.2
	changed.Classes[0] = Class{
		Name: "gold", Priority: 2.5,
		SetupObjective:   600 * time.Millisecond,
		Deadline:         3500 * time.Millisecond,
		MessageObjective: 65 * time.Millisecond,
	}
	changed.Classes[1].Name = "bulk"
	changed.Tenants[0].Connections = 41
	changed.Tenants[0].Rate = 13.5
	changed.Tenants = append(changed.Tenants, Tenant{Name: "other", Connections: 1, Rate: 2})
	changed.Base = BasePolicy{Attempts: 2, Deadline: time.Second}
	changed.Requirements = Requirements{Descriptors: 1024, MemoryMB: 128}
	changed.Failover = &FailoverRules{
		UtilizationLimit: 0.8, RecoveryRamp: 0.1, RecoveryDelay: 5 * time.Second,
		RegionalClasses: []string{"gold", "bulk"},
		RegionDistances: []RegionDistance{{A: "r", B: "t", Cost: 3}, {A: "t", B: "s", Cost: 4}},
	}
	return changed
}

// TestGoldenDiff holds what spurwinchctl policy diff prints.
func TestGoldenDiff(t *testing.T) {
	requireSet(t, "Document", reflect.ValueOf(goldenDocument()))
	withoutFailover := goldenDocument()
	withoutFailover.Failover = nil
	got := strings.Join(Diff(goldenDocument(), changedDocument()), "\n") + "\n--\n" +
		strings.Join(Diff(withoutFailover, changedDocument()), "\n") + "\n"
	if want := golden(t, "diff.txt", []byte(got)); got != string(want) {
		t.Errorf("printed\n%s\nwanted\n%s", got, want)
	}
}

// TestGoldenDigest holds the digest of a text: operators compare it between nodes of two versions.
func TestGoldenDigest(t *testing.T) {
	const text, want = "attempts = 3\n", "e4bfc264a4062eb3"
	if got := Digest([]byte(text)); got != want {
		t.Errorf("digest of %q is %s, wanted %s", text, got, want)
	}
}
