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

// The golden files contain what other releases send, store and print. -update rewrites them, which is correct only for
// a format that no release uses yet.
var update = flag.Bool("update", false, "rewrite the golden files")

var goldenKey = []byte("the key of the golden fleet")

// goldenFile compares encoded bytes with those of a golden file, and returns the bytes of the file.
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
		t.Fatalf("decode %s: %v", path, err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("encode %s: got\n%x, want\n%x", name, encoded, golden)
	}
	return golden
}

// checkAllFieldsSet fails if a field of a value is zero, because a golden file would not show how it is encoded.
func checkAllFieldsSet(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			t.Errorf("%s: got nil, want every field set", path)
			return
		}
		checkAllFieldsSet(t, path, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.Name != "_" {
				checkAllFieldsSet(t, path+"."+field.Name, value.Field(i))
			}
		}
	case reflect.Slice, reflect.Map:
		if value.Len() == 0 {
			t.Errorf("%s: got an empty value, want every field set", path)
		}
		if value.Kind() == reflect.Slice && value.Len() > 0 {
			checkAllFieldsSet(t, path+"[0]", value.Index(0))
		}
	default:
		if value.IsZero() {
			t.Errorf("%s: got a zero value, want every field set", path)
		}
	}
}

// TestGoldenMessages checks the encoding of each kind of message, including its header and its MAC.
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
			if test.kind != kindHeartbeat { // a heartbeat has no body
				checkAllFieldsSet(t, test.name, reflect.ValueOf(value))
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
				t.Errorf("decode header: got %+v, want %+v", gotHead, head)
			}
			if got := decodeBody(t, test.kind, value, gotBody); !reflect.DeepEqual(got, value) {
				t.Errorf("decode body: got\n%+v, want\n%+v", got, value)
			}
		})
	}
}

// decodeBody decodes a message's body as the agent does, into a value of the type of want.
func decodeBody(t *testing.T, kind messageKind, want any, body []byte) any {
	t.Helper()
	switch kind {
	case kindHeartbeat:
		return []byte(nil)
	case kindConsensus:
		return body
	case kindSummary:
		if body[0] != 1 {
			t.Errorf("first byte of a stale summary: got %d, want 1", body[0])
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

// TestGoldenCall checks the encoding of an operator's call, and that the operator's tool can decode a node's reply.
func TestGoldenCall(t *testing.T) {
	call := Call{
		Verb: "drain", Arg: "z1", ID: "drain-1", Data: []byte("data"), Base: 2,
		Part: policy.Canary{Zone: "z2", OneIn: 3, Seconds: 4, MaxExtraRejections: 0.5},
	}
	checkAllFieldsSet(t, "call", reflect.ValueOf(call))
	goldenFile(t, "call.hex", Seal(goldenKey, goldenList(t), 1, call))
	head := header{kind: kindReply, from: 1, to: Operator, clock: 1}
	golden := goldenFile(t, "reply.hex", seal(goldenKey, digestOf(goldenList(t)), head, encode(goldenReply())))
	reply, err := Unseal(goldenKey, goldenList(t), golden)
	if err != nil || !reflect.DeepEqual(reply, goldenReply()) {
		t.Errorf("decode reply: got\n%+v, %v, want\n%+v", reply, err, goldenReply())
	}
}

// TestGoldenReplyJSON checks the JSON that tools print for a reply.
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
		t.Errorf("print reply: got\n%s, want\n%s", printed, golden)
	}
	var read Reply
	if err := json.Unmarshal(golden, &read); err != nil {
		t.Fatal(err)
	}
	reply.Policy.Documents, reply.Policy.Change.Text = nil, nil // the JSON omits policy documents
	if !reflect.DeepEqual(read, reply) {
		t.Errorf("decode printed reply: got\n%+v, want\n%+v", read, reply)
	}
}

// goldenEntries returns one log entry of each kind that an agent uses.
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

// TestGoldenRecord checks the record that a node that is not a voter writes to its disk for the entries that it has
// received, and what is in effect after the node has restarted with that record.
func TestGoldenRecord(t *testing.T) {
	checkAllFieldsSet(t, "plan", reflect.ValueOf(goldenPlan()))
	checkAllFieldsSet(t, "policy", reflect.ValueOf(goldenPolicyState()))
	writer, err := New(goldenOptions(t), 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range goldenEntries() {
		writer.acceptEntry(64, entry, 1, time.Second)
	}
	writer.advance(time.Second)
	record, replacesAll, ok := writer.NextRecord()
	if !ok || replacesAll {
		t.Fatalf("NextRecord: got a record %t, replaces all %t, want true, false", ok, replacesAll)
	}
	golden := goldenFile(t, "record.hex", consensus.Encode(record))

	options := goldenOptions(t)
	options.Records = make([]consensus.Record, 1)
	if err := consensus.Decode(golden, &options.Records[0]); err != nil {
		t.Fatal(err)
	}
	reader, err := New(options, 0)
	if err != nil {
		t.Fatal(err)
	}
	if log := reader.follower.LogID(); log != 64 {
		t.Errorf("log ID: got %d, want 64", log)
	}
	if got := reader.follower.Entries(); !reflect.DeepEqual(got, goldenEntries()) {
		t.Errorf("entries: got\n%+v, want\n%+v", got, goldenEntries())
	}
	if _, number := reader.Mode(); number != 61 || !reflect.DeepEqual(reader.plan, goldenPlan()) {
		t.Errorf("plan in effect: got number %d\n%+v, want 61\n%+v", number, reader.plan, goldenPlan())
	}
	orders, err := failover.DecodeOperatorOrders(reader.follower.Newest(failover.OperatorOrdersKind).Data)
	if err != nil || !reflect.DeepEqual(orders.Drained, []string{"z2"}) {
		t.Errorf("drained zones: got %v, %v, want [z2]", orders.Drained, err)
	}
	if local := reader.localPolicy; local.entry != 63 || !reflect.DeepEqual(local.state, goldenPolicyState()) {
		t.Errorf("policy: got entry %d\n%+v, want entry 63\n%+v", local.entry, local.state, goldenPolicyState())
	}
}
