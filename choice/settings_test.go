package choice

import (
	"fmt"
	"testing"
	"time"
)

// resetAllAttempts plays a request whose attempts are all reset, and returns its answer and how many there were.
func resetAllAttempts(
	t *testing.T, balancer *Balancer, now *time.Duration, request Request, change func() []Event,
) (attempts int, answer Action) {
	t.Helper()
	events := []Event{request}
	for {
		*now += 20 * time.Millisecond
		actions := balancer.Step(*now, events)
		events = nil
		for _, a := range actions {
			switch action := a.(type) {
			case StartAttempt:
				attempts++
				events = append(change(), AttemptEnded{
					ID: action.ID, Attempt: attempts - 1, Server: action.Server, Outcome: Reset,
				})
			case Reject, Fail:
				return attempts, action
			}
		}
		if events == nil {
			t.Fatal(request.ID, " has no answer")
		}
	}
}

// TestRequestsKeepWhatTheyCameWith has settings change under a request: its class stays what it was, and so does the
// number of its attempts; the next request goes by the new ones.
func TestRequestsKeepWhatTheyCameWith(t *testing.T) {
	settings := Settings{
		Nodes: 1, RoundTrip: 5 * time.Millisecond, Classes: []Class{{
			Name: "a", SetupObjective: time.Second,
			Deadline: 10 * time.Second,
		}},
		Tenants: []Tenant{{Name: "t"}}, Limits: Limits{MaxAttempts: 3},
	}
	balancer, err := New(settings, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	sends := func(id RequestID, class int, change func() []Event) (n int, answer Action) {
		request := Request{ID: id, Class: class, Tenant: class, TimeLeft: 9 * time.Second}
		return resetAllAttempts(t, balancer, &now, request, change)
	}
	var list ServerList
	for i := range 6 {
		list.Servers = append(list.Servers, Server{ID: ServerID(fmt.Sprint("s", i)), Size: 1})
	}
	balancer.Step(now, []Event{list})
	next := settings
	next.Classes = []Class{{
		Name: "a", SetupObjective: time.Second, Deadline: 10 * time.Second,
		Idempotency: NotIdempotent,
	}, {Name: "b", SetupObjective: time.Second, Deadline: 10 * time.Second}}
	next.Tenants, next.Limits.MaxAttempts = []Tenant{{Name: "t"}, {Name: "u", Connections: 9}}, 2
	none := func() []Event { return nil }
	if n, a := sends("1", 0, func() []Event { return []Event{SettingsChanged{next}} }); n != 3 ||
		a != (Reject{ID: "1", Reason: AttemptsUsed}) {
		t.Errorf("the request under way: %d attempts, %+v", n, a)
	}
	if n, a := sends("2", 0, none); n != 1 || a != (Fail{"2", MayHaveRun}) {
		t.Errorf("one that must not run twice: %d attempts, %+v", n, a)
	}
	if n, a := sends("3", 1, none); n != 2 || a != (Reject{ID: "3", Reason: AttemptsUsed}) {
		t.Errorf("a new class: %d attempts, %+v", n, a)
	}
	// Settings without a class are none.
	balancer.Step(now, []Event{SettingsChanged{}})
	if n, _ := sends("4", 1, none); n != 2 {
		t.Errorf("after settings that are none: %d attempts", n)
	}
}

// TestTwoProcessesShareTheSlowStartBudget has a server in slow start get no more from two processes of a node than
// from the one before.
func TestTwoProcessesShareTheSlowStartBudget(t *testing.T) {
	sent := func(parts int, seed uint64) (n int) {
		balancer, err := New(Settings{
			Nodes: 4, Processes: parts, RoundTrip: 5 * time.Millisecond, Classes: []Class{{
				Name:           "a",
				SetupObjective: time.Second, Deadline: 10 * time.Second,
			}},
			Limits: Limits{MaxAttempts: 1}, Rules: Rules{
				SlowStartFraction: .2, WarmUp: 24 * time.Second,
				OverloadMultiple: 4, OverloadTime: 2 * time.Second,
			},
		}, seed, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		balancer.Step(now, []Event{ServerList{Servers: []Server{
			{ID: "cold", Size: 1, Started: now},
			{ID: "w1", Size: 1},
			{ID: "w2", Size: 1},
		}}})
		for i := range 2000 {
			now += 10 * time.Millisecond
			id := RequestID(fmt.Sprint(i))
			for _, a := range balancer.Step(now, []Event{Request{ID: id, Tenant: -1, TimeLeft: time.Second}}) {
				if a, ok := a.(StartAttempt); ok {
					if a.Server == "cold" {
						n++
					}
					balancer.Step(now, []Event{AttemptEnded{ID: a.ID, Server: a.Server, Outcome: Served, Final: true}})
				}
			}
		}
		return n
	}
	one, two := 0, 0
	for seed := range uint64(20) {
		one += sent(0, seed)
		two += sent(2, 2*seed) + sent(2, 2*seed+1)
	}
	if one < 40 || float64(two) > 1.25*float64(one) || float64(two) < 0.75*float64(one) {
		t.Errorf("%d connections to a server in slow start from one process, %d from two that share", one, two)
	}
}
