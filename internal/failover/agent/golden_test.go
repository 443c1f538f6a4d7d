package agent

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
	"spurwinch/internal/policy"
)

// The golden files pin what other releases send, keep and print. -update writes them anew, which is right only for a
// form that no release has yet.
var update = flag.Bool("update", false, "write the golden files anew")

var goldenKey = []byte("the key of the golden fleet")

// goldenFile compares encoded bytes with those of a golden file, and gives the latter.
func goldenFile(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		var text strings.Builder
		for rest := hex.EncodeToString(encoded); rest != ""; {
			line := rest[:min(len(rest), 96)]
			rest = rest[len(line):]
			text.WriteString(line + "\n")
		}
		if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("%s: encoded as\n%x, wanted\n%x", name, encoded, golden)
	}
	return golden
}

// wantFilled fails for a value with a field that is zero: it would pin nothing.
func wantFilled(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			t.Errorf("%s is nil: every field is to be set", path)
			return
		}
		wantFilled(t, path, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.Name != "_" {
				wantFilled(t, path+"."+field.Name, value.Field(i))
			}
		}
	case reflect.Slice, reflect.Map:
		if value.Len() == 0 {
			t.Errorf("%s is empty: every field is to be set", path)
		}
		if value.Kind() == reflect.Slice && value.Len() > 0 {
			wantFilled(t, path+"[0]", value.Index(0))
		}
	default:
		if value.IsZero() {
			t.Errorf("%s is zero: every field is to be set", path)
		}
	}
}

// TestGoldenMessages pins each kind of message of the fleet, with the envelope around it.
func TestGoldenMessages(t *testing.T) {
	body := func(value any) func() (any, []byte) {
		return func() (any, []byte) { return value, encode(value) }
	}
	raw := func(value []byte) func() (any, []byte) {
		return func() (any, []byte) { return value, value }
	}
	for _, test := range []struct {
		name  string
		kind  messageKind
		value func() (value any, body []byte)
	}{
		{"beat", kindHeartbeat, raw(nil)},
		{"evidence", kindEvidence, func() (any, []byte) { return goldenSummary(), goldenSummary().Encode() }},
		{"word", kindEvidenceAck, body(evidenceAck{
			EvidenceClock: 41, LeaderAge: 42, LeaderPlan: 43, Log: goldenDigest(), Notice: goldenNotice(),
		})},
		{"sum", kindSummary, func() (any, []byte) {
			return goldenSummary(), append([]byte{1}, goldenSummary().Encode()...)
		}},
		{"ack", kindSummaryAck, body(summaryAck{SummaryClock: 44, Log: goldenDigest(), Notice: goldenNotice()})},
		{"fetch", kindFetchEntries, body([]consensus.Kind{1, 3})},
		{"give", kindEntry, body(logEntry{
			Log: 45, Entry: consensus.Entry{Index: 46, Kind: 2, ID: "drain-46", Data: []byte("data")},
		})},
		{"news", kindLogDigest, body(goldenDigest())},
		{"raft", kindConsensus, raw([]byte("of the voters"))},
		{"ask", kindCall, body(Call{
			Verb: "policy-propose", Arg: "arg", ID: "c-47", Data: []byte("policy"), Base: 48,
			Part: policy.Canary{Zone: "z1", OneIn: 2, Seconds: 49.5, MaxExtraRejections: 0.5},
		})},
		{"answer", kindReply, body(goldenReply())},
		{"borrow", kindLeaseRequest, body(leaseRequest{Load: 50.5})},
		{"loan", kindLeaseGrant, body(leaseGrant{RequestClock: 51, Load: 52.5})},
	} {
		t.Run(test.name, func(t *testing.T) {
			value, encoded := test.value()
			if test.kind != kindHeartbeat { // which has no body
				wantFilled(t, test.name, reflect.ValueOf(value))
			}
			list := digestOf(goldenList(t))
			head := header{
				kind: test.kind, from: 1, to: 2, incarnation: 0x01020304, clock: 0x05060708090a0b0c,
				echo: 0x0d0e0f1011121314,
			}
			golden := goldenFile(t, "message-"+test.name+".hex", seal(goldenKey, list, head, encoded))
			gotHead, gotBody, err := open(goldenKey, list, golden)
			if err != nil {
				t.Fatal(err)
			}
			if gotHead != head {
				t.Errorf("header read as %+v, wanted %+v", gotHead, head)
			}
			if got := decodeBody(t, test.kind, value, gotBody); !reflect.DeepEqual(got, value) {
				t.Errorf("body read as\n%+v, wanted\n%+v", got, value)
			}
		})
	}
}

// decodeBody reads a message's body as the agent does, into a value of the type of want.
func decodeBody(t *testing.T, kind messageKind, want any, body []byte) any {
	t.Helper()
	switch kind {
	case kindHeartbeat:
		return []byte(nil)
	case kindConsensus:
		return body
	case kindSummary:
		if body[0] != 1 {
			t.Errorf("a summary's first byte is %d, wanted 1: it is stale", body[0])
		}
		body = body[1:]
		fallthrough
	case kindEvidence:
		summary, err := failover.DecodeEvidenceSummary(body)
		if err != nil {
			t.Fatal(err)
		}
		return summary
	default:
		got := reflect.New(reflect.TypeOf(want))
		if err := decoding.Unmarshal(body, got.Interface()); err != nil {
			t.Fatal(err)
		}
		return got.Elem().Interface()
	}
}

// TestGoldenCall pins what an operator's tool sends, and that it reads a node's answer.
func TestGoldenCall(t *testing.T) {
	call := Call{
		Verb: "drain", Arg: "z1", ID: "drain-1", Data: []byte("data"), Base: 2,
		Part: policy.Canary{Zone: "z2", OneIn: 3, Seconds: 4, MaxExtraRejections: 0.5},
	}
	wantFilled(t, "call", reflect.ValueOf(call))
	goldenFile(t, "call.hex", Seal(goldenKey, goldenList(t), 1, call))
	head := header{kind: kindReply, from: 1, to: Operator, clock: 1}
	golden := goldenFile(t, "reply.hex", seal(goldenKey, digestOf(goldenList(t)), head, encode(goldenReply())))
	reply, err := Unseal(goldenKey, goldenList(t), golden)
	if err != nil || !reflect.DeepEqual(reply, goldenReply()) {
		t.Errorf("reply read as\n%+v, %v, wanted\n%+v", reply, err, goldenReply())
	}
}

// TestGoldenReplyJSON pins the reply as tools print it.
func TestGoldenReplyJSON(t *testing.T) {
	reply := goldenReply()
	printed, err := json.MarshalIndent(reply, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join("testdata", "golden", "reply.json")
	if *update {
		if err := os.WriteFile(path, append(printed, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(printed, '\n'), golden) {
		t.Errorf("printed as\n%s, wanted\n%s", printed, golden)
	}
	var read Reply
	if err := json.Unmarshal(golden, &read); err != nil {
		t.Fatal(err)
	}
	reply.Policy.Documents, reply.Policy.Change.Text = nil, nil // documents are not printed
	if !reflect.DeepEqual(read, reply) {
		t.Errorf("read as\n%+v, wanted\n%+v", read, reply)
	}
}

// goldenEntries are one entry of each kind that an agent acts on.
func goldenEntries() []consensus.Entry {
	orders := failover.OperatorOrders{Drained: []string{"z2"}}
	return []consensus.Entry{
		{Index: 61, Kind: failover.PlanKind, ID: "plan-1", Data: goldenPlan().Encode()},
		{Index: 62, Kind: failover.OperatorOrdersKind, ID: "drain-2", Data: orders.Encode()},
		{Index: 63, Kind: policy.Kind, ID: "policy-3", Data: goldenPolicyState().Encode()},
	}
}

func goldenOptions(tb testing.TB) Options {
	tb.Helper()
	return Options{
		List:    goldenList(tb),
		Self:    0,
		Key:     goldenKey,
		Rules:   failover.Rules{GrantLifetime: 10 * time.Second},
		Classes: []string{"c1"},
		Policy: &Policy{
			Rules: policy.Rules{Window: time.Minute},
			Read:  func([]byte) (*policy.Document, error) { return &policy.Document{}, nil },
		},
	}
}

// TestGoldenRecord pins what a node that doesn't vote has written to its disk by the entries that it was given, and
// what is in effect after it has read that again.
func TestGoldenRecord(t *testing.T) {
	wantFilled(t, "plan", reflect.ValueOf(goldenPlan()))
	wantFilled(t, "policy", reflect.ValueOf(goldenPolicyState()))
	writer, err := New(goldenOptions(t), 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range goldenEntries() {
		writer.acceptEntry(64, entry, 1, time.Second)
	}
	writer.advance(time.Second)
	record, whole, ok := writer.NextRecord()
	if !ok || whole {
		t.Fatalf("record to save: %t, whole %t, wanted one that is added", ok, whole)
	}
	golden := goldenFile(t, "record.hex", consensus.Encode(record))

	options := goldenOptions(t)
	options.Records = make([]consensus.Record, 1)
	if err := consensus.Unmarshal(golden, &options.Records[0]); err != nil {
		t.Fatal(err)
	}
	reader, err := New(options, 0)
	if err != nil {
		t.Fatal(err)
	}
	if log := reader.follower.LogID(); log != 64 {
		t.Errorf("log %d, wanted 64", log)
	}
	if got := reader.follower.Entries(); !reflect.DeepEqual(got, goldenEntries()) {
		t.Errorf("entries read as\n%+v, wanted\n%+v", got, goldenEntries())
	}
	if _, number := reader.Mode(); number != 61 || !reflect.DeepEqual(reader.plan, goldenPlan()) {
		t.Errorf("goes by plan %d\n%+v, wanted 61\n%+v", number, reader.plan, goldenPlan())
	}
	orders, err := failover.DecodeOperatorOrders(reader.follower.Newest(failover.OperatorOrdersKind).Data)
	if err != nil || !reflect.DeepEqual(orders.Drained, []string{"z2"}) {
		t.Errorf("orders read as %v, %v, wanted z2 drained", orders.Drained, err)
	}
	if local := reader.localPolicy; local.entry != 63 || !reflect.DeepEqual(local.state, goldenPolicyState()) {
		t.Errorf("policy of entry %d\n%+v, wanted that of 63\n%+v", local.entry, local.state, goldenPolicyState())
	}
}
