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

var update = flag.Bool("update", false, "rewrite the golden files")

// readGolden returns the contents of a golden file. With -update it first overwrites the file with got.
func readGolden(t *testing.T, name string, got []byte) []byte {
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

// requireSet fails the test if a field of a value, at any depth, is zero. The golden file would not reveal that such a
// field was renamed or moved.
func requireSet(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			t.Errorf("%s is nil, want every field of the golden value set", path)
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
			t.Errorf("%s is empty, want every field of the golden value set", path)
		}
		for i := range value.Len() {
			if value.Type().Elem().Kind() == reflect.Struct {
				requireSet(t, path, value.Index(i))
			}
		}
	default:
		if value.IsZero() {
			t.Errorf("%s is zero, want every field of the golden value set", path)
		}
	}
}

// goldenState returns a state with every field set. Within a struct, no two numbers or texts are equal, because the
// golden file would not reveal that equal fields were exchanged.
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

// TestGoldenState checks the encoded form of a state on the replicated log. A state must encode to the golden file,
// byte for byte, and the golden file must decode to the same state.
func TestGoldenState(t *testing.T) {
	want := goldenState()
	requireSet(t, "State", reflect.ValueOf(want))
	raw := readGolden(t, "state.cbor", want.Encode())
	got, err := Decode(raw)
	if err != nil {
		t.Fatalf("Decode of the golden state: %v", err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("Decode of the golden state: got %+v, want %+v", got, want)
	}
	if again := want.Encode(); !bytes.Equal(again, raw) {
		t.Errorf("Encode: got %x, want %x", again, raw)
	}
}

// TestGoldenCommands checks the states that each command writes to the replicated log, and the kind of their entries.
func TestGoldenCommands(t *testing.T) {
	if Kind != 3 {
		t.Errorf("Kind: got %d, want 3", Kind)
	}
	initial := &State{
		Number: 7, LastNumber: 8,
		Documents: []VersionedDocument{{Number: 7, Text: []byte("seven")}},
		Bases:     []VersionedBase{{Number: 7, Attempts: 2, Deadline: 1500000}},
	}
	canary := Canary{OneIn: 5, Seconds: 30.5, MaxExtraRejections: 0.25}
	checking, err := initial.Propose("change-9", 7, []byte("nine"), validDocument(), canary)
	if err != nil {
		t.Fatal(err)
	}
	inCanary := checking.StartCanary()
	for _, test := range []struct {
		file string
		next *State
	}{
		{"initial.cbor", &State{}},
		{"proposed.cbor", checking},
		{"trial.cbor", inCanary},
		{"given_up.cbor", checking.Abort("aborted by an operator")},
		{"decided.cbor", inCanary.Commit(BasePolicy{Attempts: 1, Deadline: 2 * time.Second}, 7)},
	} {
		raw := readGolden(t, test.file, test.next.Encode())
		if got := test.next.Encode(); !bytes.Equal(got, raw) {
			t.Errorf("%s: Encode: got %x, want %x", test.file, got, raw)
		}
		decoded, err := Decode(raw)
		if err != nil {
			t.Errorf("%s: Decode: %v", test.file, err)
			continue
		}
		if !reflect.DeepEqual(decoded, test.next) {
			t.Errorf("%s: Decode: got %+v, want %+v", test.file, decoded, test.next)
		}
	}
}

// TestGoldenMessages checks the parts of messages between nodes that belong to this package: a member's status, the
// leader's notice, and the canary in a call that proposes a change.
func TestGoldenMessages(t *testing.T) {
	status := MemberStatus{
		Entry: 11, Verdict: VerdictReject, Reason: "no room", KnownNumber: 12, AppliedNumber: 13, MayServe: true,
		Arrived: 1400.5, Rejected: 15.25,
	}
	notice := LeaderNotice{Entry: 21, InForce: 22, CanaryNumber: 23, Window: 5000}
	canary := Canary{Zone: "zone-a", OneIn: 5, Seconds: 30.5, MaxExtraRejections: 0.25}
	for _, test := range []struct {
		file       string
		value, got any // got: an empty value of the same type
	}{
		{"word.cbor", &status, &MemberStatus{}},
		{"told.cbor", &notice, &LeaderNotice{}},
		{"part.cbor", &canary, &Canary{}},
	} {
		requireSet(t, test.file, reflect.ValueOf(test.value))
		raw := readGolden(t, test.file, consensus.Encode(test.value))
		if err := consensus.Decode(raw, test.got); err != nil {
			t.Errorf("%s: Decode: %v", test.file, err)
			continue
		}
		if !reflect.DeepEqual(test.got, test.value) {
			t.Errorf("%s: Decode: got %+v, want %+v", test.file, test.got, test.value)
		}
		if again := consensus.Encode(test.value); !bytes.Equal(again, raw) {
			t.Errorf("%s: Encode: got %x, want %x", test.file, again, raw)
		}
	}
}

// TestGoldenVerdictsAndStages checks the numbers that encode verdicts and stages, and the names of stages.
func TestGoldenVerdictsAndStages(t *testing.T) {
	for i, v := range []Verdict{VerdictPending, VerdictAccept, VerdictReject} {
		if int(v) != i {
			t.Errorf("verdict: got number %d, want %d", v, i)
		}
	}
	for i, want := range []string{"checking", "trial"} {
		if stage := []Stage{StageChecking, StageCanary}[i]; int(stage) != i || stage.String() != want {
			t.Errorf("stage %d: got number %d and name %q, want name %q", i, stage, stage, want)
		}
	}
}

// TestGoldenJSON checks the JSON names that scripts use to read parts of the state from spurwinchctl policy status
// --json.
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
	if want := readGolden(t, "reply.json", got); !bytes.Equal(got, want) {
		t.Errorf("MarshalIndent: got\n%s\nwant\n%s", got, want)
	}
}

// goldenDocument returns a document with every field set. Within a struct, no two fields of the same type are equal.
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

// changedDocument returns a document that differs from goldenDocument in every value. It adds a class and a tenant, and
// removes a class.
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

// TestGoldenDiff checks the lines that spurwinchctl policy diff prints.
func TestGoldenDiff(t *testing.T) {
	requireSet(t, "Document", reflect.ValueOf(goldenDocument()))
	withoutFailover := goldenDocument()
	withoutFailover.Failover = nil
	got := strings.Join(Diff(goldenDocument(), changedDocument()), "\n") + "\n--\n" +
		strings.Join(Diff(withoutFailover, changedDocument()), "\n") + "\n"
	if want := readGolden(t, "diff.txt", []byte(got)); got != string(want) {
		t.Errorf("Diff: got\n%s\nwant\n%s", got, want)
	}
}

// TestGoldenDigest checks that the digest of a text does not change, because operators compare digests between nodes of
// different versions.
func TestGoldenDigest(t *testing.T) {
	const text, want = "attempts = 3\n", "e4bfc264a4062eb3"
	if got := Digest([]byte(text)); got != want {
		t.Errorf("Digest(%q): got %s, want %s", text, got, want)
	}
}
