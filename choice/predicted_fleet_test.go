package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetSimulation simulates one of four nodes, and the servers. The other three nodes have the same connections, so
// each connection of the node loads its server four times.
type fleetSimulation struct {
	balancer        *Balancer
	rng             *rand.Rand
	now             time.Duration
	connectionCost  map[ServerID]float64
	connections     map[RequestID]ServerID
	endTimes        map[RequestID]time.Duration
	timers          map[time.Duration][]string
	requestCount    int
	errorSum        float64 // sum of |predicted - true load| over all servers and steps of 10 ms
	predictionCount int
}

func (f *fleetSimulation) trueLoad(id ServerID) (load float64) {
	for _, server := range f.connections {
		if server == id {
			load += 4 * f.connectionCost[id]
		}
	}
	return load
}

// processEvents passes events to the balancer and simulates the servers, which establish attempts at once and answer
// health checks with some noise in the reported load.
func (f *fleetSimulation) processEvents(events ...Event) {
	for len(events) > 0 {
		actions := f.balancer.Step(f.now, events)
		events = nil
		for _, a := range actions {
			switch action := a.(type) {
			case StartAttempt:
				f.connections[action.ID] = action.Server
				f.endTimes[action.ID] = f.now + time.Duration(10+f.rng.IntN(40))*time.Second
				events = append(events, Established{ID: action.ID, Server: action.Server})
			case HealthCheck:
				events = append(events, HealthCheckResult{
					Server: action.Server,
					Report: []float64{f.trueLoad(action.Server) * (0.95 + 0.1*f.rng.Float64())},
				})
			case SetTimer:
				at := f.now + action.After
				f.timers[at] = append(f.timers[at], action.Token)
			case Migrate:
				delete(f.connections, action.ID)
				events = append(events, AttemptEnded{ID: action.ID, Outcome: Cancelled, Final: true})
			}
		}
	}
}

// dueEvents returns the events of the timers and of the ends of connections that are due.
func (f *fleetSimulation) dueEvents() (events []Event) {
	for at, tokens := range f.timers {
		if at > f.now {
			continue
		}
		for _, token := range tokens {
			events = append(events, TimerFired{token})
		}
		delete(f.timers, at)
	}
	for id, at := range f.endTimes {
		if at > f.now {
			continue
		}
		delete(f.connections, id)
		delete(f.endTimes, id)
		events = append(events, AttemptEnded{ID: id, Server: "", Outcome: Served, Final: true})
	}
	return events
}

// runUntil advances the time to until in steps of 10 ms, with a request at each multiple of every. In the last five
// seconds it adds up the prediction errors.
func (f *fleetSimulation) runUntil(until time.Duration, every time.Duration) {
	for ; f.now < until; f.now += 10 * time.Millisecond {
		events := f.dueEvents()
		if f.now%every == 0 {
			f.requestCount++
			events = append(events, Request{
				ID: RequestID(fmt.Sprint("r", f.requestCount)), Tenant: -1,
				TimeLeft: 4 * time.Second,
			})
		}
		f.processEvents(events...)
		if until-f.now > 5*time.Second {
			continue // only the predictions of the last five seconds are measured
		}
		f.balancer.Step(f.now, nil)
		for _, server := range f.balancer.servers {
			f.errorSum, f.predictionCount =
				f.errorSum+math.Abs(f.balancer.predictedLoad(server)-f.trueLoad(server.ID)), f.predictionCount+1
		}
	}
}

func learnedStateSettings() Settings {
	return Settings{
		Nodes: 4, Reports: HealthCheckReports, ReportFields: []ReportField{Load}, RoundTrip: 5 * time.Millisecond,
		Classes: []Class{{
			Name: "c", SetupObjective: 800 * time.Millisecond, Deadline: 4800 * time.Millisecond,
			MessageObjective: 60 * time.Millisecond, Priority: 1,
		}},
		Limits: Limits{MaxAttempts: 4, HealthChecks: true}, Costs: Costs{HealthCheck: 0.002},
	}
}

// replaceBalancer transfers the connections to the balancer of a successor process, with or without the learned state.
// It checks that the predictions of the parent do not change, and that with the learned state the successor's
// predictions are nearly the same.
func (f *fleetSimulation) replaceBalancer(t *testing.T, seed uint64, list ServerList, learned bool) {
	t.Helper()
	parent, before := f.balancer, map[ServerID]float64{}
	parent.Step(f.now, nil)
	for _, server := range parent.servers {
		before[server.ID] = parent.predictedLoad(server)
	}
	successor, err := New(learnedStateSettings(), seed, f.now)
	if err != nil {
		t.Fatal(err)
	}
	f.balancer = successor
	f.timers = map[time.Duration][]string{}
	f.processEvents(list)
	if learned {
		f.processEvents(LearnedStateReceived{parent.LearnedState()})
	}
	for id, server := range f.connections {
		f.processEvents(OpenConnection{
			Request: Request{ID: id, Tenant: -1}, Server: server, OriginalClass: &Class{Name: "gone"},
		})
		parent.Step(f.now, []Event{Transferred{id}})
	}
	for _, server := range parent.servers {
		want := before[server.ID]
		if load := parent.predictedLoad(server); math.Abs(load-want) > 1e-9 {
			t.Errorf("learned %v: parent: got predicted load %v of %v, want %v as before", learned, load,
				server.ID, want)
		}
		load := f.balancer.predictedLoad(f.balancer.findServer(server.ID))
		if learned && math.Abs(load-want) > 5e-3 {
			t.Errorf("successor: got predicted load %v of %v, want %v as at the parent", load, server.ID, want)
		}
	}
	if len(parent.requests) != 0 {
		t.Errorf("after the transfer: got %d requests left at the parent, want none", len(parent.requests))
	}
}
