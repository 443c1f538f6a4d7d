package choice

import (
	"fmt"
	"testing"
	"time"
)

// zoneNode is a node with six servers in the zones a and b.
type zoneNode struct {
	balancer   *Balancer
	ends       string         // zone whose servers can't be reached
	got        map[string]int // connections by zone, and "rejected"
	retryAfter []time.Duration
}

func newZoneNode(t *testing.T, grants []Grant, admit []float64, ends string) *zoneNode {
	t.Helper()
	balancer, err := New(Settings{
		Nodes: 1, Zone: "a", InitialCost: 0.02,
		Classes: []Class{
			{Name: "c", SetupObjective: time.Second, Deadline: 4 * time.Second},
			{Name: "d", Deadline: time.Second},
		},
		Limits: Limits{MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: 2 * time.Second},
	}, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	var servers []Server
	for i := range 6 {
		servers = append(servers, Server{ID: ServerID(fmt.Sprint(i)), Zone: string("ab"[i%2])})
	}
	balancer.Step(time.Hour, []Event{
		ServerList{Kind: ListFull, Servers: servers},
		ZonePlan{Grants: grants, AdmitFraction: admit, RetryAfter: time.Second},
	})
	return &zoneNode{balancer: balancer, ends: ends, got: map[string]int{}}
}

// request plays a request with all of its attempts.
func (z *zoneNode) request(id RequestID, now time.Duration) {
	events := []Event{Request{ID: id, Tenant: -1, TimeLeft: 4 * time.Second}}
	for attempt := 0; len(events) > 0 && attempt < 10; attempt++ {
		actions := z.balancer.Step(now, events)
		events = nil
		for _, a := range actions {
			switch action := a.(type) {
			case StartAttempt:
				events = append(events, z.start(action, attempt))
			case Reject:
				z.got["rejected"]++
				z.retryAfter = append(z.retryAfter, action.RetryAfter)
			}
		}
	}
}

// start is what becomes of an attempt.
func (z *zoneNode) start(action StartAttempt, attempt int) Event {
	zone := string("ab"[(action.Server[0]-'0')&1])
	if zone == z.ends {
		return AttemptEnded{ID: action.ID, Attempt: attempt, Server: action.Server, Outcome: ConnectFailed}
	}
	z.got[zone]++
	return Established{ID: action.ID, Attempt: attempt, Server: action.Server}
}

// checkRetryAfter wants rejections to spread the plan's second by half.
func (z *zoneNode) checkRetryAfter(t *testing.T) {
	t.Helper()
	for _, after := range z.retryAfter {
		if after < time.Second/2 || after > 3*time.Second/2 {
			t.Errorf("retry after %v, want 0.5 to 1.5 s", after)
		}
	}
}

// checkNextPlan has a plan come that takes all capacity back: what is open counts, and nothing new is placed.
func (z *zoneNode) checkNextPlan(t *testing.T) {
	t.Helper()
	now := time.Hour + time.Second
	observations := z.balancer.Observations(now)
	zone := observations.Zones[0]
	if zone.Zone != "a" || zone.Ready != 3 || zone.OwnLoad[0] != float64(z.got["a"]) {
		t.Errorf("observations of zone a: %+v, want 3 ready servers and load %d", zone, z.got["a"])
	}
	z.balancer.Step(now, []Event{ZonePlan{Grants: []Grant{{"b", observations.Zones[1].OwnLoad[0], nil}}}})
	for _, action := range z.balancer.Step(now, []Event{Request{ID: "late", Tenant: -1, TimeLeft: 4 * time.Second}}) {
		if start, ok := action.(StartAttempt); ok {
			t.Errorf("sent to %s beyond the new plan", start.Server)
		}
	}
}

// TestPlanOfZones plays requests of one class against plans: the nearest zone with capacity is taken, what has none is
// rejected at once with a Retry-After, and what stands in a zone counts against a later plan.
func TestPlanOfZones(t *testing.T) {
	const wide = 100
	for _, test := range []struct {
		name   string
		grants []Grant
		admit  []float64
		ends   string // zone whose servers can't be reached
		want   map[string]int
	}{
		{"no plan: any zone", nil, nil, "", nil},
		{"own zone with capacity", []Grant{{"a", wide, nil}, {"b", wide, nil}}, nil, "", map[string]int{"a": 20}},
		{"what doesn't fit goes on", []Grant{{"a", 5, nil}, {"b", wide, nil}}, nil, "", map[string]int{
			"a": 5,
			"b": 15,
		}},
		{"and what fits nowhere is rejected", []Grant{{"a", 5, nil}, {"b", 5, nil}}, nil, "", map[string]int{
			"a": 5,
			"b": 5, "rejected": 10,
		}},
		{"a class that must stay", []Grant{{"a", 5, nil}, {"b", wide, []int{0}}}, nil, "", map[string]int{
			"a":        5,
			"rejected": 15,
		}},
		{"a class that is not admitted", []Grant{{"a", wide, nil}}, []float64{0}, "", map[string]int{"rejected": 20}},
		{"a plan without grants", []Grant{}, nil, "", map[string]int{"rejected": 20}},
		{
			"a zone that fails is replaced by the next",
			[]Grant{{"a", wide, nil}, {"b", wide, nil}},
			nil, "a",
			map[string]int{"b": 20},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := newZoneNode(t, test.grants, test.admit, test.ends)
			for i := range 20 {
				node.request(RequestID(fmt.Sprint(i)), time.Hour+time.Duration(i)*time.Millisecond)
			}
			got := node.got
			if test.grants != nil {
				node.checkRetryAfter(t)
			}
			if test.want != nil && fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("went to %v, wanted %v", got, test.want)
			}
			if test.want == nil && (got["a"] < 3 || got["b"] < 3 || got["rejected"] > 0) {
				t.Errorf("without a plan %v", got)
			}
			node.checkNextPlan(t)
		})
	}
}
