package choice

import (
	"fmt"
	"testing"
	"time"
)

// TestPlanOfZones plays requests of one class against plans: the nearest zone with room is taken, what has no room is
// rejected at once with advice, and what stands in a zone counts against a later plan.
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
		{"own zone while it has room", []Grant{{"a", wide, nil}, {"b", wide, nil}}, nil, "", map[string]int{"a": 20}},
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
		{"a class that is not let in", []Grant{{"a", wide, nil}}, []float64{0}, "", map[string]int{"rejected": 20}},
		{"a plan without grants", []Grant{}, nil, "", map[string]int{"rejected": 20}},
		{
			"a zone that fails is left for the next",
			[]Grant{{"a", wide, nil}, {"b", wide, nil}},
			nil, "a",
			map[string]int{"b": 20},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
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
			zone := func(id ServerID) string { return string("ab"[(id[0]-'0')&1]) }
			balancer.Step(time.Hour, []Event{
				ServerList{Kind: ListFull, Servers: servers},
				ZonePlan{Grants: test.grants, AdmitFraction: test.admit, RetryAfter: time.Second},
			})
			got := map[string]int{}
			for i := range 20 {
				id := RequestID(fmt.Sprint(i))
				events := []Event{Request{ID: id, Tenant: -1, TimeLeft: 4 * time.Second}}
				for attempt := 0; len(events) > 0 && attempt < 10; attempt++ {
					var next []Event
					for _, a := range balancer.Step(time.Hour+time.Duration(i)*time.Millisecond, events) {
						switch action := a.(type) {
						case StartAttempt:
							if zone(action.Server) == test.ends {
								next = append(next, AttemptEnded{
									ID: id, Attempt: attempt, Server: action.Server,
									Outcome: ConnectFailed,
								})
								continue
							}
							next = append(next, Established{ID: id, Attempt: attempt, Server: action.Server})
							got[zone(action.Server)]++
						case Reject:
							got["rejected"]++
							if test.grants != nil && (action.RetryAfter < time.Second/2 ||
								action.RetryAfter > 3*time.Second/2) {
								t.Errorf("advice %v", action.RetryAfter)
							}
						}
					}
					events = next
				}
			}
			if test.want != nil && fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("went to %v, wanted %v", got, test.want)
			}
			if test.want == nil && (got["a"] < 3 || got["b"] < 3 || got["rejected"] > 0) {
				t.Errorf("without a plan %v", got)
			}
			// The next plan takes all room back: what stands counts, and nothing new comes.
			observations := balancer.Observations(time.Hour + time.Second)
			if n := observations.Zones[0]; n.Zone != "a" || n.Ready != 3 || n.OwnLoad[0] != float64(got["a"]) {
				t.Errorf("observations of zone a: %+v", n)
			}
			balancer.Step(time.Hour+time.Second,
				[]Event{ZonePlan{Grants: []Grant{{"b", observations.Zones[1].OwnLoad[0], nil}}}})
			for _, a := range balancer.Step(time.Hour+time.Second, []Event{Request{
				ID: "late", Tenant: -1,
				TimeLeft: 4 * time.Second,
			}}) {
				if s, ok := a.(StartAttempt); ok {
					t.Errorf("sent to %s beyond the new plan", s.Server)
				}
			}
		})
	}
}
