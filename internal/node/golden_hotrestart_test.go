package node

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/operations/hotrestart"
	"spurwinch/internal/platform/downstream"
	"spurwinch/internal/platform/upstream"
	resumable "spurwinch/internal/session"
	"spurwinch/internal/xmpp"
)

// The files under testdata/golden contain the bytes in which a process of a released version sends its connections and
// its learned state to its successor. A process of another release must be able to read them. This command rewrites
// them: go test ./internal/node -run TestGolden -update-golden

var updateGolden = flag.Bool("update-golden", false, "rewrite the files under testdata/golden")

// golden returns the content of a golden file. With -update-golden it first overwrites the file with got.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
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

// zeroFields returns the names of a value's fields that are zero, at any depth.
func zeroFields(value reflect.Value, name string) (all []string) {
	if value.IsZero() {
		return []string{name}
	}
	switch {
	case value.Type() == reflect.TypeFor[time.Time](), value.Type() == reflect.TypeFor[cbor.RawMessage]():
	case value.Kind() == reflect.Pointer:
		return zeroFields(value.Elem(), name)
	case value.Kind() == reflect.Struct:
		for i := range value.NumField() {
			all = append(all, zeroFields(value.Field(i), name+"."+value.Type().Field(i).Name)...)
		}
	case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
		for i := range value.Len() {
			all = append(all, zeroFields(value.Index(i), name)...)
		}
	case value.Kind() == reflect.Map:
		for _, key := range value.MapKeys() {
			all = append(all, zeroFields(value.MapIndex(key), name)...)
		}
	}
	return all
}

// encode encodes a value in the form in which one process sends it to another.
func encode(tb testing.TB, value any) []byte {
	tb.Helper()
	encoded, err := cbor.Marshal(value)
	if err != nil {
		tb.Fatal(err)
	}
	return encoded
}

// checkGolden checks that a value is encoded as the golden bytes, and that read, the function with which the node reads
// them, decodes them to the same value.
func checkGolden[T any](t *testing.T, name string, value T, read func([]byte, any) error) {
	t.Helper()
	if zero := zeroFields(reflect.ValueOf(value), name); len(zero) > 0 {
		t.Errorf("golden value %s: got zero fields %v, want each field set", name, zero)
	}
	checkEncoding(t, name, value, read)
}

// checkEncoding is checkGolden without the check that each field is set, for a form that has gained fields since.
func checkEncoding[T any](t *testing.T, name string, value T, read func([]byte, any) error) {
	t.Helper()
	got := encode(t, value)
	want := golden(t, name+".cbor", got)
	if !bytes.Equal(got, want) {
		t.Errorf("encode %s: got %x, want %x", name, got, want)
	}
	var decoded T
	if err := read(want, &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("decode %s: got %+v, want %+v", name, decoded, value)
	}
}

func goldenOpen() *edge.ConnectionState {
	return &edge.ConnectionState{
		ID: "9b1f03aa5c7e2d41",
		Class: choice.Class{
			Name: "field-sync", Removed: true, SetupObjective: 800 * time.Millisecond,
			Deadline: 4800 * time.Millisecond, MessageObjective: 150 * time.Millisecond,
			Priority: 2.5, Idempotency: choice.IdempotentByKey,
			IdempotencyScope: choice.ScopeCell, IdempotencyWindow: 30 * time.Second,
		},
		Tenant: "ferma-ro", Key: 1<<60 + 1, Group: 1<<61 + 2, UsualLoad: 0.012, CurrentLoad: 0.013, Returned: true,
		Server: choice.Server{
			ID: "s-5be2a07c", Zone: "cluj-1", Kind: "std-2c", Cell: 3, State: choice.Draining, Size: 1.5,
			Started: 1700 * time.Second, SlowStartSince: 1701 * time.Second,
		},
		Addr: "10.1.0.18:3000",
	}
}

func goldenSession() resumable.Session {
	return resumable.Session{
		Key:  resumable.Key{Domain: "farm.example", ID: "sm-1"},
		User: "ana", Server: "h-1", ServerStarted: 5 * time.Second,
		ResumeTime: time.Minute, Expires: time.Unix(1796234567, 0), TimeLeft: 40 * time.Second,
	}
}

func goldenStream(pending string) xmpp.ScannerState {
	return xmpp.ScannerState{
		Pending: []byte(pending), Elements: []string{"stream:stream", "message"}, Prefix: "stream", Size: 77,
		Started: true,
		Ended:   true, Restart: true,
	}
}

// TestGoldenFrontStates checks the encoding of each front's state of a connection. The file platform-front.cbor is of a
// release that forwards the start of a line at once.
func TestGoldenFrontStates(t *testing.T) {
	toClient := loop.ConnectionState{Out: []byte("to the client"), Paused: true}
	toHost := loop.ConnectionState{Out: []byte("to the host"), Paused: true}
	platformState := downstream.ConnectionState{
		Conn: toClient, PartialServerLineBytes: 11,
		Server: &upstream.ConnectionState{
			Conn: toHost, PartialServerLine: []byte("of the host"), PartialClientLineBytes: 12, ClosingLine: 1,
			AwaitingReplySince: 1796234567000000001, AwaitingReplyFor: 13,
		},
		FirstLine: []byte("of the client"), Pinged: true, FirstLineDeadline: 1796234567000000002, FirstLineTimeLeft: 14,
	}
	checkEncoding(t, "platform-front", platformState, hotrestart.Decode)
	platformState.HeldBackBytes = 6
	checkGolden(t, "platform-front-held-back", platformState, hotrestart.Decode)
	session := goldenSession()
	checkGolden(t, "xmpp-front", xmpp.ConnectionState{
		Conn: toClient, Received: goldenStream("<client"), Domain: "farm.example",
		Server:         &xmpp.ServerState{Conn: toHost, Received: goldenStream("<host"), MidStanza: true},
		HeaderDeadline: 1796234567000000003, HeaderTimeLeft: 15, HeaderPending: true, Resumable: &session,
	}, hotrestart.Decode)
}

// TestGoldenConnection checks the encoding of a connection in a batch, and the names of the fronts.
func TestGoldenConnection(t *testing.T) {
	checkGolden(t, "connection", connectionState{
		Front: frontPlatform, Cluster: "k", Open: goldenOpen(), State: cbor.RawMessage{0xa1, 0x01, 0xa0},
	}, hotrestart.Decode)
	for _, name := range []string{string(frontPlatform), string(frontXMPP)} {
		if want := golden(t, "front-"+name+".txt", []byte(name)); name != string(want) {
			t.Errorf("name of a front: got %q, want %q", name, want)
		}
	}
}

// TestGoldenLearned checks the encoding of a process's learned state, which doesn't include its connections. The file
// learned.cbor is of a release that sends only modules and sessions without a stream, learned-sessions.cbor of one that
// doesn't answer queries.
func TestGoldenLearned(t *testing.T) {
	kind := choice.LearnedKind{Kind: "std-2c", ReportedLoad: 1.1, ConnectionLoad: 1.2, Reports: 1.3}
	server := choice.LearnedServer{
		ID: "s-5be2a07c", Started: 21, ReportedLoad: 2.2, ConnectionLoad: 2.3, Reports: 2.4, Known: true, Report: 2.6,
		ReportAt: 27, EjectedUntil: 28, Ejections: 29, SlowStartCredit: 3.1, SlowStartAt: 32, PIDIntegral: 3.3,
		PIDPreviousError: 3.4, PIDCorrection: 3.5, UnreportedLoad: 3.6,
	}
	module := choice.LearnedState{
		Version: choice.LearnedStateVersion, Unit: 0.1, Hints: 2, LoadSum: 0.3, WeightSum: 0.4, ReportedAt: 5,
		Arrivals: 0.6, ArrivalsAt: 7, PassRate: 0.8, MeanPriority: 0.9, Kinds: []choice.LearnedKind{kind},
		Servers: []choice.LearnedServer{server}, Meaning: "settings", Now: 37,
	}
	state := learnedState{
		Modules:  map[string]choice.LearnedState{"k": module},
		Sessions: []resumable.Session{goldenSession()},
	}
	checkEncoding(t, "learned", state, cbor.Unmarshal)
	state.Connected = []int{1}
	state.Ended = []resumable.Key{{Domain: "farm.example", ID: "sm-2"}}
	state.AcceptsSessions = true
	state.Lists = map[string][]listedServer{"k": {{Server: goldenOpen().Server, Addr: "10.1.0.18:3000"}}}
	checkEncoding(t, "learned-sessions", state, cbor.Unmarshal)
	state.AnswersQueries = true
	checkGolden(t, "learned-queries", state, cbor.Unmarshal)
}
