package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetOf plays a fleet under one of four nodes that have the same: each of its connections is one of four.
type fleetOf struct {
	b     *Balancer
	rng   *rand.Rand
	now   time.Duration
	cost  map[ServerID]float64
	on    map[RequestID]ServerID
	ends  map[RequestID]time.Duration
	timer map[time.Duration][]string
	next  int
	off   float64 // predicted less true load of all servers, summed each 10 ms
	n     int
}

func (f *fleetOf) load(id ServerID) (x float64) {
	for _, s := range f.on {
		if s == id {
			x += 4 * f.cost[id]
		}
	}
	return x
}

// step hands over events and plays the servers' fraction: attempts stand at once, health checks are answered with
// some noise.
func (f *fleetOf) step(events ...Event) {
	for len(events) > 0 {
		acts := f.b.Step(f.now, events)
		events = nil
		for _, a := range acts {
			switch action := a.(type) {
			case StartAttempt:
				f.on[action.ID] = action.Server
				f.ends[action.ID] = f.now + time.Duration(10+f.rng.IntN(40))*time.Second
				events = append(events, Established{ID: action.ID, Server: action.Server})
			case HealthCheck:
				events = append(events, HealthCheckResult{
					Server: action.Server,
					Report: []float64{f.load(action.Server) * (0.95 + 0.1*f.rng.Float64())},
				})
			case SetTimer:
				at := f.now + action.After
				f.timer[at] = append(f.timer[at], action.Token)
			case Migrate:
				delete(f.on, action.ID)
				events = append(events, AttemptEnded{ID: action.ID, Outcome: Cancelled, Final: true})
			}
		}
	}
}

// due is the timers and the ends of connections whose time has come.
func (f *fleetOf) due() (events []Event) {
	for at, tokens := range f.timer {
		if at > f.now {
			continue
		}
		for _, token := range tokens {
			events = append(events, TimerFired{token})
		}
		delete(f.timer, at)
	}
	for id, at := range f.ends {
		if at > f.now {
			continue
		}
		delete(f.on, id)
		delete(f.ends, id)
		events = append(events, AttemptEnded{ID: id, Server: "", Outcome: Served, Final: true})
	}
	return events
}

func (f *fleetOf) run(until time.Duration, every time.Duration) {
	for ; f.now < until; f.now += 10 * time.Millisecond {
		events := f.due()
		if f.now%every == 0 {
			f.next++
			events = append(events, Request{
				ID: RequestID(fmt.Sprint("r", f.next)), Tenant: -1,
				TimeLeft: 4 * time.Second,
			})
		}
		f.step(events...)
		if until-f.now > 5*time.Second {
			continue // the figures of before are of no interest
		}
		f.b.Step(f.now, nil)
		for _, s := range f.b.servers {
			f.off, f.n = f.off+math.Abs(f.b.predictedLoad(s)-f.load(s.ID)), f.n+1
		}
	}
}

func knows() Settings {
	return Settings{
		Nodes: 4, Reports: HealthCheckReports, ReportFields: []ReportField{Load}, RoundTrip: 5 * time.Millisecond,
		Classes: []Class{{
			Name: "c", SetupObjective: 800 * time.Millisecond, Deadline: 4800 * time.Millisecond,
			MessageObjective: 60 * time.Millisecond, Priority: 1,
		}},
		Limits: Limits{MaxAttempts: 4, HealthChecks: true}, Costs: Costs{HealthCheck: 0.002},
	}
}

// takeOver has another process take the balancer's place, with what the first one has learned or without, and checks
// that the first one's predictions stay and that the second one's are alike.
func (f *fleetOf) takeOver(t *testing.T, seed uint64, list ServerList, learned bool) {
	t.Helper()
	was, before := f.b, map[ServerID]float64{}
	was.Step(f.now, nil)
	for _, server := range was.servers {
		before[server.ID] = was.predictedLoad(server)
	}
	next, err := New(knows(), seed, f.now)
	if err != nil {
		t.Fatal(err)
	}
	f.b = next
	f.timer = map[time.Duration][]string{}
	f.step(list)
	if learned {
		f.step(LearnedStateReceived{was.LearnedState()})
	}
	for id, server := range f.on {
		f.step(OpenConnection{
			Request: Request{ID: id, Tenant: -1}, Server: server, OriginalClass: &Class{Name: "gone"},
		})
		was.Step(f.now, []Event{Transferred{id}})
	}
	for _, server := range was.servers {
		want := before[server.ID]
		if load := was.predictedLoad(server); math.Abs(load-want) > 1e-9 {
			t.Errorf("learned %v: the giver predicts %v for %v, want %v as before", learned, load, server.ID, want)
		}
		load := f.b.predictedLoad(f.b.findServer(server.ID))
		if learned && math.Abs(load-want) > 5e-3 {
			t.Errorf("the taker predicts %v for %v, want %v as the giver", load, server.ID, want)
		}
	}
	if len(was.requests) != 0 {
		t.Errorf("%d requests stay with the giver, want none", len(was.requests))
	}
}
