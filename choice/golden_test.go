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

// The encoded forms of the package. Other versions read and write them: a golden file changes only with a new version
// of its form.

var update = flag.Bool("update", false, "write the golden files anew")

// goldenHex returns the bytes of a golden file, which has them as hexadecimal digits, 32 bytes a line. With -update
// it is written first.
func goldenHex(t *testing.T, name string, have []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".hex")
	if *update {
		var text strings.Builder
		for rest := have; len(rest) > 0; {
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
		t.Fatalf("%s: %v", path, err)
	}
	return want
}

// checkGoldenCBOR wants a value to be written as the golden bytes, and these to be read as the value. Every field of
// the value has to be set: what is omitted when empty would otherwise not be in the bytes.
func checkGoldenCBOR[T any](t *testing.T, name string, value T) {
	t.Helper()
	wantNoZeroField(t, name, reflect.ValueOf(value))
	have, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	want := goldenHex(t, name, have)
	if !bytes.Equal(have, want) {
		t.Errorf("%s is written as\n%x, want\n%x", name, have, want)
	}
	var read T
	if err := cbor.Unmarshal(want, &read); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(read, value) {
		t.Errorf("%s is read as\n%+v, want\n%+v", name, read, value)
	}
}

// wantNoZeroField fails for a struct with a field that is zero, at any depth.
func wantNoZeroField(t *testing.T, name string, value reflect.Value) {
	t.Helper()
	switch value.Kind() { //nolint:exhaustive // other kinds have no fields
	case reflect.Struct:
		for i := range value.NumField() {
			wantNoZeroField(t, name+"."+value.Type().Field(i).Name, value.Field(i))
		}
	case reflect.Slice:
		for i := range value.Len() {
			wantNoZeroField(t, fmt.Sprintf("%s[%d]", name, i), value.Index(i))
		}
	}
	if value.IsZero() {
		t.Errorf("%s is zero: the golden bytes don't show it", name)
	}
}

// TestGoldenLearnedState pins the form in which one process of a node sends the next one what it has learned.
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

// TestGoldenClass pins the form of a class, which goes with each connection that another process takes over.
func TestGoldenClass(t *testing.T) {
	checkGoldenCBOR(t, "class", Class{
		Name: "pay", Removed: true, SetupObjective: 1 * time.Second, Deadline: 2 * time.Second,
		MessageObjective: 3 * time.Millisecond, Priority: 4.5, Idempotency: IdempotentByKey,
		IdempotencyScope: ScopeCell, IdempotencyWindow: 5 * time.Second,
	})
}

// TestGoldenServer pins the form of a server, which goes with each connection that another process takes over.
func TestGoldenServer(t *testing.T) {
	checkGoldenCBOR(t, "server", Server{
		ID: "s1", Zone: "z1", Kind: "k1", Cell: 6, State: Draining, Size: 7.5, Started: 8 * time.Second,
		SlowStartSince: 9 * time.Second,
	})
}

// TestGoldenMeaning pins the text by which a process knows whether learned values are of a deployment like its own.
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
		if have := test.settings.meaning(); have != test.want {
			t.Errorf("%+v means %q, want %q", test.settings, have, test.want)
		}
	}
}

// TestGoldenNames pins the numbers and names of outcomes and reasons: captures have the numbers, logs and figures the
// names.
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
			t.Errorf("outcome %d is %d %q, want %q", i, test.outcome, test.outcome, test.name)
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
			t.Errorf("reason %d is %d %q, want %q", i, test.reason, test.reason, test.name)
		}
	}
}

// TestGoldenMessages pins the datagrams between nodes: each kind with all of its fields, in both directions.
func TestGoldenMessages(t *testing.T) {
	for _, test := range []struct {
		name    string
		message peerMessage
		bytes   string
	}{
		{"admission request", peerMessage{
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
		{"yes", peerMessage{kind: reservationGranted, token: 0x3132, load: 0.75, fraction: 0.2}, "1431320c33"},
		{"no", peerMessage{kind: reservationDenied, token: 0x4142, load: 2, fraction: 1}, "15414220ff"},
		{"ejected", peerMessage{kind: serverEjected, token: 0x5152, load: 1.0625, fraction: 0.4}, "1651521166"},
	} {
		if have := hex.EncodeToString(test.message.encode()); have != test.bytes {
			t.Errorf("%s is written as %s, want %s", test.name, have, test.bytes)
		}
		raw, err := hex.DecodeString(test.bytes)
		if err != nil {
			t.Fatal(err)
		}
		if read, ok := decodePeerMessage(raw); !ok || read != test.message {
			t.Errorf("%s is read as %+v, %v, want %+v", test.name, read, ok, test.message)
		}
	}
}
