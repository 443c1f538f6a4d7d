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

	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
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

func goldenList(tb testing.TB) *membership.List {
	tb.Helper()
	list, err := membership.NewList([]membership.Node{
		{Name: "a", Zone: "z1", Region: "r1"},
		{Name: "b", Zone: "z1", Region: "r1"},
		{Name: "c", Zone: "z2", Region: "r2"},
		{Name: "v", Zone: "z2", Region: "r2", Voter: true},
	})
	if err != nil {
		tb.Fatal(err)
	}
	return list
}

func goldenSummary() failover.EvidenceSummary {
	return failover.EvidenceSummary{
		Zone:     "z1",
		Classes:  []string{"c1", "c2"},
		Arrived:  []float32{1.5, 2},
		Rejected: []float32{3, 4.25},
		Zones: []failover.ZoneEvidence{{
			Zone: "z2", Nodes: 5, Ready: 6, Ejected: 7, Capacity: 8.5, Load: 9, Cost: 10.125, Attempts: 11, Failed: 12,
			OwnLoad: []float32{13, 14},
		}},
		Nodes: []failover.NodeStatus{{
			Node: 1, Plan: 15, Unreachable: []int{2, 3},
			Policy: &policy.MemberStatus{
				Entry: 16, Verdict: policy.VerdictReject, Reason: "too old", KnownNumber: 17, ServedNumber: 18,
				MayServe: true, Arrived: 19, Rejected: 20,
			},
		}},
	}
}

func goldenPlan() *failover.Plan {
	return &failover.Plan{
		Zones: []failover.Zone{{
			Name: "z1", Region: "r1", State: failover.Returning, Nodes: 1, Listed: 2, Capacity: 3, Demand: []float32{4},
			GuestLoad: 5, Flaps: 6, LeaseOwner: 1, Reserve: 7,
		}, {
			Name: "z2", Region: "r2", State: failover.Lost, Nodes: 8, Listed: 9, Capacity: 10, Demand: []float32{11},
			GuestLoad: 12, Flaps: 13, LeaseOwner: 2, Reserve: 14,
		}},
		Classes:        []string{"c1"},
		Grants:         []failover.Grant{{From: 1, To: 1, Load: 16, RegionLoad: 15}, {To: 1, Load: 18, RegionLoad: 17}},
		StayInRegion:   []bool{true},
		AdmitFractions: [][]int{{100}, {200}},
		GrantLifetime:  19,
		LostNodes:      []int{3},
		Reason:         "z2 lost",
		Before:         [][]float32{{20, 21}, {22, 23}},
		Reserves:       []failover.CapacityReserve{{Zone: 1, Owner: 2, Load: 24}},
		Previous:       25,
	}
}

func goldenPolicyState() *policy.State {
	return &policy.State{
		Number:     3,
		LastNumber: 4,
		Documents:  []policy.VersionedDocument{{Number: 3, Text: []byte("third")}},
		Change: &policy.Change{
			ID: "c-4", Number: 4, Base: 3, Text: []byte("fourth"), Stage: policy.StageCanary,
			Canary: policy.Canary{Zone: "z1", OneIn: 2, Seconds: 30.5, MaxExtraRejections: 0.25},
		},
		Ended: []policy.ChangeOutcome{{ID: "c-3", Number: 3, Accepted: true, Reason: "nobody objected"}},
		Bases: []policy.VersionedBase{{Number: 3, Attempts: 5, Deadline: 700}},
	}
}

func goldenDigest() agree.Digest {
	kinds := []agree.KindDigest{{Kind: 1, Number: 32, Sum: 33}, {Kind: 3, Number: 34, Sum: 35}}
	return agree.Digest{Log: 31, Kinds: kinds}
}

func goldenNotice() policy.LeaderNotice {
	return policy.LeaderNotice{Entry: 36, InForce: 37, OnTrial: 38, Window: 39}
}

func goldenReply() Reply {
	return Reply{
		Error: "an error", Bad: true, Retry: true, Leader: "v", Node: "a", Zone: "z1", Mode: "planned", Plan: 1,
		Lease: 2.5, Log: "00000000000000ff", Term: 3, Leads: true, Voter: true,
		Counts: Counts{Sent: 4, SentBytes: 5, Accepted: 6, Foreign: 7, Corrupt: 8, Late: 9, Dropped: 10},
		Zones: []ZoneReply{{
			Name: "z1", Region: "r1", State: "lost", Nodes: 11, Listed: 12, Room: 13.5, Guests: 14.5,
			Lender: "b", Lends: 15.5,
			Want:   map[string]float64{"c1": 16.5},
			Grants: map[string]float64{"z2": 17.5},
			Admit:  map[string]float64{"c1": 0.5},
		}},
		Why: "a reason", Lost: []string{"c"}, Loans: map[string]float64{"z2": 18.5},
		Lent: 19.5, Drained: []string{"z2"},
		Nodes:   []NodeReply{{Name: "b", Zone: "z1", Live: true, Plan: 20, Ago: 21.5}},
		Explain: []string{"a line"},
		Ended:   &Ended{ID: "drain-1", Number: 22, Taken: true},
		Policy:  goldenPolicyReply(),
	}
}

func goldenPolicyReply() *PolicyReply {
	return &PolicyReply{
		Token: "23/24", Number: 25, Digest: "d25",
		Change: &ChangeReply{
			ID: "c-26", Number: 26, Base: 25, Step: "trial", Digest: "d26", Text: []byte("changed"),
			Part: policy.Canary{Zone: "z1", OneIn: 2, Seconds: 27.5, MaxExtraRejections: 0.25},
		},
		Ended:   []policy.ChangeOutcome{{ID: "c-25", Number: 25, Accepted: true, Reason: "nobody objected"}},
		Docs:    []policy.VersionedDocument{{Number: 25, Text: []byte("in force")}},
		Entry:   28,
		Window:  29.5,
		Members: []PolicyMember{{Name: "a", Live: true, Heard: true, Has: 30, Serves: 31, May: true, Answer: "yes"}},
		Grounds: []policy.VersionedBase{{Number: 25, Attempts: 32, Deadline: 33}},
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
		{"fetch", kindFetchEntries, body([]agree.Kind{1, 3})},
		{"give", kindEntry, body(logEntry{
			Log: 45, Entry: agree.Entry{Number: 46, Kind: 2, ID: "drain-46", Data: []byte("data")},
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
	reply.Policy.Docs, reply.Policy.Change.Text = nil, nil // documents are not printed
	if !reflect.DeepEqual(read, reply) {
		t.Errorf("read as\n%+v, wanted\n%+v", read, reply)
	}
}

// goldenEntries are one entry of each kind that an agent acts on.
func goldenEntries() []agree.Entry {
	orders := failover.OperatorOrders{Drained: []string{"z2"}}
	return []agree.Entry{
		{Number: 61, Kind: failover.PlanKind, ID: "plan-1", Data: goldenPlan().Encode()},
		{Number: 62, Kind: failover.OperatorOrdersKind, ID: "drain-2", Data: orders.Encode()},
		{Number: 63, Kind: policy.Kind, ID: "policy-3", Data: goldenPolicyState().Encode()},
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
	record, whole, ok := writer.Save()
	if !ok || whole {
		t.Fatalf("record to save: %t, whole %t, wanted one that is added", ok, whole)
	}
	golden := goldenFile(t, "record.hex", agree.Encode(record))

	options := goldenOptions(t)
	options.Records = make([]agree.Record, 1)
	if err := agree.Unmarshal(golden, &options.Records[0]); err != nil {
		t.Fatal(err)
	}
	reader, err := New(options, 0)
	if err != nil {
		t.Fatal(err)
	}
	if log := reader.follower.Log(); log != 64 {
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
