package choice

import (
	"fmt"
	"testing"
	"time"
)

// resetAllAttempts sends a request and resets all of its attempts, each after the events that change returns. It
// returns the number of attempts and the final answer.
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
			t.Fatal(request.ID, ": got no answer, want one")
		}
	}
}

// TestRequestsKeepTheSettingsOfTheirArrival checks a change of settings during a request. The request keeps its class
// and its maximum number of attempts, and the next request uses the new settings.
func TestRequestsKeepTheSettingsOfTheirArrival(t *testing.T) {
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
	sendRequest := func(id RequestID, class int, change func() []Event) (attempts int, answer Action) {
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
	noChange := func() []Event { return nil }
	if attempts, answer := sendRequest("1", 0, func() []Event {
		return []Event{SettingsChanged{next}}
	}); attempts != 3 ||
		answer != (Reject{ID: "1", Reason: AttemptsUsed}) {
		t.Errorf("request in progress: got %d attempts, %+v, want 3 and a rejection", attempts, answer)
	}
	if attempts, answer := sendRequest("2", 0, noChange); attempts != 1 || answer != (Fail{"2", MayHaveRun}) {
		t.Errorf("request that is not idempotent: got %d attempts, %+v, want 1 and a failure", attempts, answer)
	}
	if attempts, answer := sendRequest("3", 1, noChange); attempts != 2 ||
		answer != (Reject{ID: "3", Reason: AttemptsUsed}) {
		t.Errorf("request of a new class: got %d attempts, %+v, want 2 and a rejection", attempts, answer)
	}
	// The balancer ignores invalid settings, such as settings without classes.
	balancer.Step(now, []Event{SettingsChanged{}})
	if attempts, _ := sendRequest("4", 1, noChange); attempts != 2 {
		t.Errorf("request after invalid settings: got %d attempts, want 2", attempts)
	}
}

// TestTwoProcessesShareTheSlowStartBudget checks that two processes of a node together send a server in slow start as
// many connections as one process, within a quarter. If each process used the node's whole budget, it would be twice as
// many.
func TestTwoProcessesShareTheSlowStartBudget(t *testing.T) {
	countConnections := func(processes int, seed uint64) (connections int) {
		balancer, err := New(Settings{
			Nodes: 4, Processes: processes, RoundTrip: 5 * time.Millisecond, Classes: []Class{{
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
				if start, ok := a.(StartAttempt); ok {
					if start.Server == "cold" {
						connections++
					}
					balancer.Step(now, []Event{AttemptEnded{
						ID: start.ID, Server: start.Server, Outcome: Served, Final: true,
					}})
				}
			}
		}
		return connections
	}
	one, two := 0, 0
	for seed := range uint64(20) {
		one += countConnections(0, seed)
		two += countConnections(2, 2*seed) + countConnections(2, 2*seed+1)
	}
	if one < 40 || float64(two) > 1.25*float64(one) || float64(two) < 0.75*float64(one) {
		t.Errorf("one process: got %d connections in slow start, two: %d, want at least 40 and 0.75 to 1.25 times that",
			one, two)
	}
}
