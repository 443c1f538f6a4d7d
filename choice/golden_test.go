package choice

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Tests of the encoded forms of the package. Other versions of the program read and write these forms, so a golden file
// may change only together with the version number of its form.

var update = flag.Bool("update", false, "rewrite the golden files")

// goldenBytes returns the bytes of a golden file, which contains them as hexadecimal digits, 32 bytes per line. With
// -update it first writes got to the file.
func goldenBytes(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".hex")
	if *update {
		var text strings.Builder
		for rest := got; len(rest) > 0; {
			line := rest[:min(32, len(rest))]
			rest = rest[len(line):]
			fmt.Fprintf(&text, "%x\n", line)
		}
		if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatalf("golden file %s: got error %v, want hexadecimal digits", path, err)
	}
	return want
}

// checkGoldenCBOR checks that a value is encoded as the golden bytes and that these are decoded to the value. Every
// field of the value must be set, because fields that are omitted if empty would not appear in the bytes.
func checkGoldenCBOR[T any](t *testing.T, name string, value T) {
	t.Helper()
	checkNoZeroField(t, name, reflect.ValueOf(value))
	got, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	want := goldenBytes(t, name, got)
	if !bytes.Equal(got, want) {
		t.Errorf("Marshal of %s: got\n%x, want\n%x", name, got, want)
	}
	var decoded T
	if err := cbor.Unmarshal(want, &decoded); err != nil {
		t.Fatalf("Unmarshal of golden file %s: got error %v, want none", name, err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("Unmarshal of %s: got\n%+v, want\n%+v", name, decoded, value)
	}
}

// checkNoZeroField fails the test if a field of a struct is zero, at any depth.
func checkNoZeroField(t *testing.T, name string, value reflect.Value) {
	t.Helper()
	switch value.Kind() { //nolint:exhaustive // other kinds have no fields
	case reflect.Struct:
		for i := range value.NumField() {
			checkNoZeroField(t, name+"."+value.Type().Field(i).Name, value.Field(i))
		}
	case reflect.Slice:
		for i := range value.Len() {
			checkNoZeroField(t, fmt.Sprintf("%s[%d]", name, i), value.Index(i))
		}
	}
	if value.IsZero() {
		t.Errorf("field %s of the test value: got zero, want a value that appears in the golden bytes", name)
	}
}

// TestGoldenLearnedState checks the encoding of the learned state that a process of a node sends to its successor.
func TestGoldenLearnedState(t *testing.T) {
	checkGoldenCBOR(t, "learned", LearnedState{
		Version: 1, Unit: 2.5, Hints: 3, LoadSum: 4.25, WeightSum: 5.125, ReportedAt: 6 * time.Second, Arrivals: 7.5,
		ArrivalsAt: 8 * time.Second, PassRate: 0.5, MeanPriority: 10.5,
		Kinds: []LearnedKind{{Kind: "k1", ReportedLoad: 11.5, ConnectionLoad: 12.5, Reports: 13.5}, {
			Kind:         "k2",
			ReportedLoad: 14.5, ConnectionLoad: 15.5, Reports: 16.5,
		}},
		Servers: []LearnedServer{
			{
				ID: "s1", Started: 17 * time.Second, ReportedLoad: 18.5, ConnectionLoad: 19.5, Reports: 20.5,
				Known: true, Report: 21.5, ReportAt: 22 * time.Second,
				EjectedUntil: 23 * time.Second, Ejections: 24, SlowStartCredit: 25.5, SlowStartAt: 26 * time.Second,
				PIDIntegral: 27.5, PIDPreviousError: 28.5, PIDCorrection: 29.5,
				UnreportedLoad: 30.5,
			},
			{
				ID: "s2", Started: 31 * time.Second, ReportedLoad: 32.5, ConnectionLoad: 33.5, Reports: 34.5,
				Known: true, Report: 35.5, ReportAt: 36 * time.Second,
				EjectedUntil: 37 * time.Second, Ejections: 38, SlowStartCredit: 39.5, SlowStartAt: 40 * time.Second,
				PIDIntegral: 41.5, PIDPreviousError: 42.5, PIDCorrection: 43.5,
				UnreportedLoad: 44.5,
			},
		},
		Meaning: "1 [1 2] 1 true false", Now: 45 * time.Second,
	})
}

// TestGoldenClass checks the encoding of a class, which is passed on with each connection that another process takes
// over.
func TestGoldenClass(t *testing.T) {
	checkGoldenCBOR(t, "class", Class{
		Name: "pay", Removed: true, SetupObjective: 1 * time.Second, Deadline: 2 * time.Second,
		MessageObjective: 3 * time.Millisecond, Priority: 4.5, Idempotency: IdempotentByKey,
		IdempotencyScope: ScopeCell, IdempotencyWindow: 5 * time.Second,
	})
}

// TestGoldenServer checks the encoding of a server, which is passed on with each connection that another process takes
// over.
func TestGoldenServer(t *testing.T) {
	checkGoldenCBOR(t, "server", Server{
		ID: "s1", Zone: "z1", Kind: "k1", Cell: 6, State: Draining, Size: 7.5, Started: 8 * time.Second,
		SlowStartSince: 9 * time.Second,
	})
}

// TestGoldenMeaning checks the text by which a process recognizes whether reports have the same meaning in learned
// state as in its own settings.
func TestGoldenMeaning(t *testing.T) {
	for _, test := range []struct {
		settings Settings
		want     string
	}{
		{Settings{}, "0 [] 0 false false"},
		{
			Settings{
				Reports: HealthCheckReports, Sizes: NominalSize, PriorityPerWork: true,
				ReportFields: []ReportField{
					OtherField, Load, Backlog, InFlight, Queue, Utilization, Latency,
					Throughput, ErrorRate,
				},
			},
			"1 [0 1 2 3 4 5 6 7 8] 1 true false",
		},
		{
			Settings{Reports: AllReports, Sizes: LiveSize, DelaysObserved: true, ReportFields: []ReportField{Load}},
			"2 [1] 2 false true",
		},
	} {
		if got := test.settings.meaning(); got != test.want {
			t.Errorf("meaning of %+v: got %q, want %q", test.settings, got, test.want)
		}
	}
}

// TestGoldenNames checks the numbers and names of outcomes and reasons. Captures contain the numbers; logs and metrics
// contain the names.
func TestGoldenNames(t *testing.T) {
	for i, test := range []struct {
		outcome Outcome
		name    string
	}{
		{Served, "served"},
		{Failed, "failed"},
		{Full, "full"},
		{TimedOut, "timed_out"},
		{ConnectFailed, "connect_failed"},
		{Reset, "reset"},
		{Cancelled, "cancelled"},
		{NeverSent, "moot"},
	} {
		if int(test.outcome) != i || test.outcome.String() != test.name {
			t.Errorf("outcome %d: got %d %q, want %q", i, test.outcome, test.outcome, test.name)
		}
	}
	for i, test := range []struct {
		reason Reason
		name   string
	}{
		{Unspecified, "unspecified"},
		{UnknownClass, "unknown_class"},
		{Overloaded, "overloaded"},
		{NoServer, "no_server"},
		{ServersCrowded, "servers_crowded"},
		{AttemptsUsed, "attempts_used"},
		{TimeShort, "time_short"},
		{MayHaveRun, "may_have_run"},
		{DeadlineReached, "deadline_reached"},
		{Withdrawn, "withdrawn"},
	} {
		if int(test.reason) != i || test.reason.String() != test.name {
			t.Errorf("reason %d: got %d %q, want %q", i, test.reason, test.reason, test.name)
		}
	}
}

// TestGoldenMessages checks the encoding and decoding of the datagrams between nodes, for each kind with all of its
// fields.
func TestGoldenMessages(t *testing.T) {
	for _, test := range []struct {
		name    string
		message peerMessage
		bytes   string
	}{
		{"reservation request", peerMessage{
			kind: reservationRequest, token: 0x0102, server: 0x030405, group: 0x0607,
			load: 1.5,
		}, "110102030405060718"},
		{"relief request", peerMessage{
			kind: reliefRequest, token: 0x1112, server: 0x131415, group: 0x1617,
			load: 15.9375,
		}, "1211121314151617ff"},
		{
			"group notice",
			peerMessage{kind: groupNotice, token: 0x2122, server: 0x232425, group: 0x2627, load: 0.0625},
			"132122232425262701",
		},
		{
			"reservation granted",
			peerMessage{kind: reservationGranted, token: 0x3132, load: 0.75, fraction: 0.2},
			"1431320c33",
		},
		{"reservation denied", peerMessage{kind: reservationDenied, token: 0x4142, load: 2, fraction: 1}, "15414220ff"},
		{"server ejected", peerMessage{kind: serverEjected, token: 0x5152, load: 1.0625, fraction: 0.4}, "1651521166"},
	} {
		if got := hex.EncodeToString(test.message.encode()); got != test.bytes {
			t.Errorf("encode of %s: got %s, want %s", test.name, got, test.bytes)
		}
		raw, err := hex.DecodeString(test.bytes)
		if err != nil {
			t.Fatal(err)
		}
		if got, ok := decodePeerMessage(raw); !ok || got != test.message {
			t.Errorf("decode of %s: got %+v, %v, want %+v, true", test.name, got, ok, test.message)
		}
	}
}
