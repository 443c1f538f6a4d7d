package simwire

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"spurwinch/choice"
)

// The golden files contain whole messages of the simulator's protocol and a whole settings object. Each key has a
// different value, so that the tests detect a key that is read into the wrong field or not at all.

// golden reads a golden file.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

const millisecond = time.Millisecond

// goldenSettings is the expected result of decoding the golden settings.
var goldenSettings = Settings{
	Settings: choice.Settings{
		Nodes: 21, Node: 3, Zone: "zone-1", GroupAffinity: true, PacketPassThrough: true,
		Park: 18 * time.Second, Subscribe: true,
		Classes: []choice.Class{
			{
				Name: "class-1", SetupObjective: 330 * millisecond, Deadline: 35 * time.Second,
				MessageObjective: 150 * millisecond, Priority: 36, Idempotency: choice.IdempotentByKey,
				IdempotencyScope: choice.ScopeZone, IdempotencyWindow: 34 * time.Second,
			},
			{
				Name: "class-2", SetupObjective: 370 * millisecond, Deadline: 39 * time.Second,
				MessageObjective: 160 * millisecond, Priority: 40, Idempotency: choice.NotIdempotent,
				IdempotencyScope: choice.ScopeCell, IdempotencyWindow: 38 * time.Second,
			},
			{
				Name: "class-3", SetupObjective: 410 * millisecond, Deadline: 43 * time.Second,
				MessageObjective: 170 * millisecond, Priority: 44, Idempotency: choice.Idempotent,
				IdempotencyScope: choice.ScopeAll, IdempotencyWindow: 42 * time.Second,
			},
		},
		Tenants: []choice.Tenant{
			{Name: "tenant-1", Rate: 11, Connections: 19, Share: 0.12},
			{Name: "tenant-2", Rate: 13, Connections: 20, Share: 0.14},
		},
		Reports: choice.HealthCheckReports,
		ReportFields: []choice.ReportField{
			choice.Load, choice.Backlog, choice.InFlight, choice.Queue,
			choice.Utilization, choice.Latency,
			choice.Throughput, choice.ErrorRate, choice.OtherField,
		},
		Sizes: choice.LiveSize, DelaysObserved: true, OverQuotaPriority: 0.29, PriorityPerWork: true,
		RoundTrip: 45 * millisecond,
		Limits: choice.Limits{
			MaxAttempts: 32, HealthChecks: true, Cancellation: true, PeerMessages: true,
			HedgedRequests: true, RetryAfter: true,
			MaxRetryAfter: 31 * time.Second, ConnectTimeout: 300 * millisecond,
		},
		Rules: choice.Rules{
			AnswerSlack: 220 * millisecond, MaxPollInterval: 23 * time.Second,
			DrainGrace: 28 * time.Second, SlowStartFraction: 0.24,
			WarmUp: 27 * time.Second, OverloadMultiple: 25, OverloadTime: 26 * time.Second,
		},
		Costs: choice.Costs{
			HealthCheck: 0.5, Migration: 0.48, PeerMessage: 0.49, CrossZone: 0.46,
			LateFailure: 0.47, Waste: 0.51,
		},
	},
	ClassByName:  map[string]int{"class-1": 0, "class-2": 1, "class-3": 2},
	TenantByName: map[string]int{"tenant-1": 0, "tenant-2": 1},
	ReportFields: []string{
		"x0", "x1", "outstanding", "backlog", "utilization", "recent_ms", "throughput",
		"errors_per_s", "not_known",
	},
}

// TestGoldenSettings decodes a setup object that has every key, and encodes it again.
func TestGoldenSettings(t *testing.T) {
	raw := golden(t, "settings.json")
	got, err := DecodeSettings(raw)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, goldenSettings) {
		t.Errorf("DecodeSettings: got\n%+v, want\n%+v", got, goldenSettings)
	}
	// Encoding the decoded object again must give the same keys in the same order with the same values.
	var decoded setup
	if err := json.Unmarshal(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	if written, err := json.Marshal(decoded); err != nil || !bytes.Equal(written, bytes.TrimSpace(raw)) {
		t.Errorf("encoding the settings: got\n%s (error %v), want\n%s", written, err, raw)
	}
}

// decodeGoldenWith replaces the first occurrence of old in the golden settings and decodes the result.
func decodeGoldenWith(t *testing.T, old, replacement string) choice.Settings {
	t.Helper()
	raw := string(golden(t, "settings.json"))
	if !strings.Contains(raw, old) {
		t.Fatalf("golden settings: got no %s, want one to replace", old)
	}
	got, err := DecodeSettings([]byte(strings.Replace(raw, old, replacement, 1)))
	if err != nil {
		t.Fatalf("DecodeSettings with %s: got error %v, want none", replacement, err)
	}
	return got.Settings
}

// TestGoldenSettingsNames checks the names of values in the settings.
func TestGoldenSettingsNames(t *testing.T) {
	for name, want := range map[string]choice.ReportSource{
		"":         choice.NoReports,
		"off":      choice.NoReports,
		"on_probe": choice.HealthCheckReports,
		"inline":   choice.AllReports,
	} {
		if got := decodeGoldenWith(t, `"via":"on_probe"`, `"via":"`+name+`"`).Reports; got != want {
			t.Errorf("DecodeSettings with loadReport.via %q: got %d, want %d", name, got, want)
		}
	}
	for name, want := range map[string]choice.SizeKind{
		"":          choice.NoSize,
		"off":       choice.NoSize,
		"nominal":   choice.NominalSize,
		"rough":     choice.NominalSize,
		"live":      choice.LiveSize,
		"not_known": choice.NoSize,
	} {
		if got := decodeGoldenWith(t, `"weightSource":"live"`, `"weightSource":"`+name+`"`).Sizes; got != want {
			t.Errorf("DecodeSettings with weightSource %q: got %d, want %d", name, got, want)
		}
	}
	for name, want := range map[string]choice.Scope{
		"":     choice.ScopeAll,
		"all":  choice.ScopeAll,
		"zone": choice.ScopeZone,
		"cell": choice.ScopeCell,
	} {
		class := decodeGoldenWith(t, `"dedupScope":"zone"`, `"dedupScope":"`+name+`"`).Classes[0]
		if got := class.IdempotencyScope; got != want {
			t.Errorf("DecodeSettings with dedupScope %q: got %d, want %d", name, got, want)
		}
	}
	for name, want := range map[string]choice.Idempotency{
		"safe":   choice.Idempotent,
		"keyed":  choice.IdempotentByKey,
		"unsafe": choice.NotIdempotent,
	} {
		class := decodeGoldenWith(t, `"idempotency":"keyed"`, `"idempotency":"`+name+`"`).Classes[0]
		if got := class.Idempotency; got != want {
			t.Errorf("DecodeSettings with idempotency %q: got %d, want %d", name, got, want)
		}
	}
	if decodeGoldenWith(t, `"mode":"pass"`, `"mode":"proxy"`).PacketPassThrough {
		t.Error("DecodeSettings with domain.mode proxy: got PacketPassThrough true, want false")
	}
	if decodeGoldenWith(t, `"membershipMode":"on_request"`, `"membershipMode":"push"`).Subscribe {
		t.Error("DecodeSettings with membershipMode push: got Subscribe true, want false")
	}
	if decodeGoldenWith(t, `"worthBy":"work"`, `"worthBy":"request"`).PriorityPerWork {
		t.Error("DecodeSettings with worthBy request: got PriorityPerWork true, want false")
	}
}

// TestGoldenBatch decodes a batch with one event that has every key and one server entry that has every key.
func TestGoldenBatch(t *testing.T) {
	raw := golden(t, "batch.json")
	var got batch
	if err := json.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	num := func(v float64) *float64 { return &v }
	attempt := 4
	peer := 15
	now := 1.5
	sequence := uint64(2)
	want := batch{Time: &now, Sequence: &sequence, Events: []wireEvent{{
		Op: "Completed", NodeID: "node-1", RequestID: "op-2",
		Server: "host-3", Attempt: &attempt, Took: 0.5,
		Final: true, Outcome: "reset", Report: []*float64{num(0.6), nil, num(0.7)}, Class: "class-1",
		Tenant: "tenant-2", Key: 8, Group: 9,
		TimeLeft: num(10.5), LoadEstimate: 0.11, Flags: 25, Token: "token-12", UpdateKind: 13, Value: num(1400),
		From: &peer, Data: []byte{0, 255, 16, 128}, ListKind: "incr", Servers: []serverEntry{{
			ID: "host-16", Zone: "zone-17",
			Kind: "kind-18", Cell: 19,
			State: "quiescing", Size: num(20.5), Started: 21.5,
		}}, Seed: json.RawMessage("18446744073709551615"),
		Setup: json.RawMessage(`{"az":"zone-22"}`),
	}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoding the batch: got\n%+v, want\n%+v", got, want)
	}
	if written, err := json.Marshal(got); err != nil || !bytes.Equal(written, bytes.TrimSpace(raw)) {
		t.Errorf("encoding the batch: got\n%s (error %v), want\n%s", written, err, raw)
	}
}

// goldenRequestKeys are the keys of a request; goldenRequest is the request that they are decoded to.
const goldenRequestKeys = `"opId":"op-1","lane":"class-2","owner":"tenant-4","object":5,"group":6,` +
	`"expiresInS":7.5,"estimateS":0.8,"options":25`

var (
	goldenRequest = choice.Request{
		ID: "op-1", Class: 2, Tenant: 4, Key: 5, Group: 6, TimeLeft: 7500 * millisecond,
		Load: 0.8, MidFlow: true, Returned: true,
	}
	goldenShortRequest = choice.Request{ID: "op-1", Class: 1, Tenant: -1, TimeLeft: time.Second}
	goldenBytes        = []byte{0, 255, 16, 128}
)

// goldenServerEntry returns the JSON of an entry of a server list. rest contains the optional keys.
func goldenServerEntry(host, status, rest string) string {
	return `{"host":"` + host + `","status":"` + status + `"` + rest + `}`
}

// goldenEvents are events of the simulator and the events that they are decoded to.
var goldenEvents = []struct {
	raw  string
	want choice.Event
}{
	{`{"op":"Inbound",` + goldenRequestKeys + `}`, goldenRequest},
	{
		`{"op":"Inbound","opId":"op-1","lane":"class-1","owner":"stranger","expiresInS":1,"estimateS":0.8}`,
		goldenShortRequest,
	},
	{
		`{"op":"Carried","host":"host-9",` + goldenRequestKeys + `}`,
		choice.OpenConnection{Request: goldenRequest, Server: "host-9"},
	},
	{
		`{"op":"Streaming","opId":"op-1","trial":2,"host":"host-3","rttS":0.004}`,
		choice.Established{ID: "op-1", Attempt: 2, Server: "host-3", Took: 4 * time.Millisecond},
	},
	{
		`{"op":"Completed","opId":"op-1","trial":2,"host":"host-3","rttS":0.004,` +
			`"noMore":true,"rc":"error","feedback":[5,6]}`,
		choice.AttemptEnded{
			ID: "op-1", Attempt: 2, Server: "host-3", Outcome: choice.Failed,
			Took: 4 * time.Millisecond, Final: true,
			Report: []float64{5, 6},
		},
	},
	{
		`{"op":"Checked","host":"host-3","rttS":0.004,"rc":"ok","feedback":[5,6]}`,
		choice.HealthCheckResult{
			Server: "host-3", Outcome: choice.Served, Took: 4 * time.Millisecond,
			Report: []float64{5, 6},
		},
	},
	{
		`{"op":"HintUpdate","opId":"op-1","trial":2,"sort":1,"x":3000000}`,
		choice.LoadUpdate{ID: "op-1", Attempt: 2, Load: 3},
	},
	{
		`{"op":"HintUpdate","opId":"op-1","host":"host-3","sort":2,"x":4}`,
		choice.DelayObservation{ID: "op-1", Server: "host-3", Took: 4 * time.Millisecond},
	},
	{`{"op":"HintUpdate","opId":"op-1","sort":3,"x":4}`, nil},
	{`{"op":"ClientGone","opId":"op-1"}`, choice.ClientGone{ID: "op-1"}},
	{`{"op":"NoteFrom","srcPeer":3,"payload":"AP8QgA=="}`, choice.PeerMessage{From: 3, Data: goldenBytes}},
	{`{"op":"NoteFrom","payload":"AA=="}`, choice.PeerMessage{From: -1, Data: []byte{0}}},
	{`{"op":"TimeoutFired","token":"token-1"}`, choice.TimerFired{Token: "token-1"}},
	{
		`{"op":"Registry","form":"total","members":[` + goldenServerEntry("host-1", "live",
			`,"regionPart":"zone-2","shape":"kind-3","pod":4,"heft":5.5,"startedAtS":6.5`) +
			`,` + goldenServerEntry("host-7", "quiescing", "") + `,` + goldenServerEntry("host-8", "dead", "") + `]}`,
		choice.ServerList{Kind: choice.ListFull, Servers: []choice.Server{
			{
				ID: "host-1", Zone: "zone-2", Kind: "kind-3", Cell: 4, State: choice.Ready, Size: 5.5,
				Started: 6500 * time.Millisecond,
			},
			{ID: "host-7", State: choice.Draining, Size: 1},
			{ID: "host-8", State: choice.Gone, Size: 1},
		}},
	},
	{`{"op":"Registry","form":"incr"}`, choice.ServerList{Kind: choice.ListChange}},
	{`{"op":"Registry","form":"warm_copy"}`, choice.ServerList{Kind: choice.ListCached}},
	{`{"op":"Registry","form":"lost"}`, choice.ServerList{Kind: choice.ListUnavailable}},
}

// TestGoldenEvents checks how each kind of event of the simulator is decoded to an event of package choice.
func TestGoldenEvents(t *testing.T) {
	target := &instance{
		classes: map[string]int{"class-1": 1, "class-2": 2},
		tenants: map[string]int{"tenant-3": 3, "tenant-4": 4},
	}
	for _, test := range goldenEvents {
		var event wireEvent
		if err := json.Unmarshal([]byte(test.raw), &event); err != nil {
			t.Fatal(err)
		}
		if got, err := target.decode(&event); err != nil || !reflect.DeepEqual(got, test.want) {
			t.Errorf("decode(%s): got %#v (error %v), want %#v", test.raw, got, err, test.want)
		}
	}
	for name, want := range map[string]choice.Outcome{
		"ok":             choice.Served,
		"error":          choice.Failed,
		"full":           choice.Full,
		"timeout":        choice.TimedOut,
		"connect_failed": choice.ConnectFailed,
		"reset":          choice.Reset,
		"cancelled":      choice.Cancelled,
		"moot":           choice.NeverSent,
	} {
		got, err := target.decode(&wireEvent{Op: "Checked", Server: "host-1", Outcome: name})
		if result, ok := got.(choice.HealthCheckResult); err != nil || !ok || result.Outcome != want {
			t.Errorf("decode with rc %q: got %#v (error %v), want outcome %v", name, got, err, want)
		}
	}
}

// TestGoldenReply encodes and decodes a reply that contains each kind of step.
func TestGoldenReply(t *testing.T) {
	out := reply{Sequence: 7}
	for _, action := range []choice.Action{
		choice.StartAttempt{
			ID: "op-2", Server: "host-3", Timeout: 250 * time.Millisecond,
			SendBefore: 17 * time.Second,
		},
		choice.Reject{ID: "op-4", RetryAfter: 1750 * time.Millisecond, Reason: choice.Overloaded},
		choice.Fail{ID: "op-5", Reason: choice.MayHaveRun},
		choice.CancelAttempt{ID: "op-6", Attempt: 8},
		choice.HealthCheck{Server: "host-9"},
		choice.Migrate{ID: "op-10"},
		choice.SetTimer{Token: "token-11", After: 125 * time.Millisecond, For: "op-2"},
		choice.SetTimer{Token: "token-12"},
		choice.SendPeerMessage{To: 13, Data: []byte{0, 255, 16, 128}},
		choice.WatchList{},
	} {
		out.Steps = append(out.Steps, encodeAction("node-1", action))
	}
	want := bytes.TrimSpace(golden(t, "reply.json"))
	if got, err := json.Marshal(out); err != nil || !bytes.Equal(got, want) {
		t.Errorf("encoding the reply: got\n%s (error %v), want\n%s", got, err, want)
	}
	var decoded reply
	if err := json.Unmarshal(want, &decoded); err != nil || !reflect.DeepEqual(decoded, out) {
		t.Errorf("decoding the reply: got\n%+v (error %v), want\n%+v", decoded, err, out)
	}
}
