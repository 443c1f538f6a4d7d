package choice

import (
	"fmt"
	"testing"
	"time"
)

// zoneNode is a node with six servers in the zones a and b.
type zoneNode struct {
	balancer        *Balancer
	unreachableZone string
	results         map[string]int // connections by zone, and the count of "rejected"
	retryAfter      []time.Duration
}

func newZoneNode(t *testing.T, grants []Grant, admitFraction []float64, unreachableZone string) *zoneNode {
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
		ZonePlan{Grants: grants, AdmitFraction: admitFraction, RetryAfter: time.Second},
	})
	return &zoneNode{balancer: balancer, unreachableZone: unreachableZone, results: map[string]int{}}
}

// sendRequest sends a request, carries out all of its attempts and counts the result.
func (z *zoneNode) sendRequest(id RequestID, now time.Duration) {
	events := []Event{Request{ID: id, Tenant: -1, TimeLeft: 4 * time.Second}}
	for attempt := 0; len(events) > 0 && attempt < 10; attempt++ {
		actions := z.balancer.Step(now, events)
		events = nil
		for _, a := range actions {
			switch action := a.(type) {
			case StartAttempt:
				events = append(events, z.attemptResult(action, attempt))
			case Reject:
				z.results["rejected"]++
				z.retryAfter = append(z.retryAfter, action.RetryAfter)
			}
		}
	}
}

// attemptResult returns the event that reports the result of an attempt.
func (z *zoneNode) attemptResult(action StartAttempt, attempt int) Event {
	zone := string("ab"[(action.Server[0]-'0')&1])
	if zone == z.unreachableZone {
		return AttemptEnded{ID: action.ID, Attempt: attempt, Server: action.Server, Outcome: ConnectFailed}
	}
	z.results[zone]++
	return Established{ID: action.ID, Attempt: attempt, Server: action.Server}
}

// checkRetryAfter checks that the rejections vary the plan's retry-after time of 1 s by at most half.
func (z *zoneNode) checkRetryAfter(t *testing.T) {
	t.Helper()
	for _, after := range z.retryAfter {
		if after < time.Second/2 || after > 3*time.Second/2 {
			t.Errorf("retry-after time of a rejection: got %v, want 0.5 to 1.5 s", after)
		}
	}
}

// checkNextPlan passes a plan without free capacity to the balancer: the open connections use up its grant, so that the
// balancer must not place another request.
func (z *zoneNode) checkNextPlan(t *testing.T) {
	t.Helper()
	now := time.Hour + time.Second
	observations := z.balancer.Observations(now)
	zone := observations.Zones[0]
	if zone.Zone != "a" || zone.Ready != 3 || zone.OwnLoad[0] != float64(z.results["a"]) {
		t.Errorf("observations of zone a: got %+v, want 3 ready servers and load %d", zone, z.results["a"])
	}
	z.balancer.Step(now, []Event{ZonePlan{Grants: []Grant{{"b", observations.Zones[1].OwnLoad[0], nil}}}})
	for _, action := range z.balancer.Step(now, []Event{Request{ID: "late", Tenant: -1, TimeLeft: 4 * time.Second}}) {
		if start, ok := action.(StartAttempt); ok {
			t.Errorf("request under a plan without free capacity: got an attempt on %s, want none", start.Server)
		}
	}
}

// TestZonePlan sends requests of one class under different plans. The balancer must choose the nearest zone with
// capacity, reject requests without capacity at once with a retry-after time, and count the open connections of a zone
// against a later plan.
func TestZonePlan(t *testing.T) {
	const ample = 100 // a load that the test does not reach
	for _, test := range []struct {
		name            string
		grants          []Grant
		admitFraction   []float64
		unreachableZone string // zone whose servers are unreachable
		want            map[string]int
	}{
		{"without a plan all zones are allowed", nil, nil, "", nil},
		{"own zone has capacity", []Grant{{"a", ample, nil}, {"b", ample, nil}}, nil, "", map[string]int{"a": 20}},
		{"excess goes to the next zone", []Grant{{"a", 5, nil}, {"b", ample, nil}}, nil, "", map[string]int{
			"a": 5,
			"b": 15,
		}},
		{"excess of all zones is rejected", []Grant{{"a", 5, nil}, {"b", 5, nil}}, nil, "", map[string]int{
			"a": 5,
			"b": 5, "rejected": 10,
		}},
		{"class excluded from the next zone", []Grant{{"a", 5, nil}, {"b", ample, []int{0}}}, nil, "", map[string]int{
			"a":        5,
			"rejected": 15,
		}},
		{"class is not admitted", []Grant{{"a", ample, nil}}, []float64{0}, "", map[string]int{"rejected": 20}},
		{"plan without grants", []Grant{}, nil, "", map[string]int{"rejected": 20}},
		{
			"unreachable zone is replaced by the next",
			[]Grant{{"a", ample, nil}, {"b", ample, nil}},
			nil, "a",
			map[string]int{"b": 20},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := newZoneNode(t, test.grants, test.admitFraction, test.unreachableZone)
			for i := range 20 {
				node.sendRequest(RequestID(fmt.Sprint(i)), time.Hour+time.Duration(i)*time.Millisecond)
			}
			got := node.results
			if test.grants != nil {
				node.checkRetryAfter(t)
			}
			if test.want != nil && fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("20 requests: got results %v, want %v", got, test.want)
			}
			if test.want == nil && (got["a"] < 3 || got["b"] < 3 || got["rejected"] > 0) {
				t.Errorf("without a plan: got results %v, want at least 3 in each zone and no rejections", got)
			}
			node.checkNextPlan(t)
		})
	}
}
