package choice

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// script plays a random but legal caller, with odd events mixed in, for a while; the referee judges. It returns all
// actions.
func script(tb testing.TB, seed uint64, steps int) [][]Action {
	tb.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := plain()
	settings.Nodes, settings.GroupAffinity, settings.Subscribe = 1+rng.IntN(50), rng.IntN(2) == 0, rng.IntN(2) == 0
	settings.PacketPassThrough = rng.IntN(4) == 0
	settings.Reports = ReportSource(rng.IntN(3))
	settings.Classes = append(settings.Classes,
		Class{SetupObjective: ms(200), Deadline: ms(900), Idempotency: NotIdempotent, MessageObjective: ms(50)},
		Class{
			SetupObjective: ms(200), Deadline: ms(900), Idempotency: IdempotentByKey,
			IdempotencyScope: Scope(rng.IntN(3)), IdempotencyWindow: ms(rng.IntN(900)),
		})
	referee := newReferee(tb, settings, seed)
	servers := fleet(1 + rng.IntN(12))
	caller := &scriptCaller{rng: rng, referee: referee, servers: servers}
	caller.step(servers)
	for range steps {
		caller.play()
	}
	referee.run(referee.now) // no timer left behind; every deadline passed is answered
	return caller.all
}

// scriptCaller plays what a node may do, by chance.
type scriptCaller struct {
	rng       *rand.Rand
	referee   *referee
	servers   ServerList
	all       [][]Action
	out, open []scriptAttempt
	checks    []ServerID
	requests  int
}

type scriptAttempt struct {
	id     RequestID
	number int
	server ServerID
	until  time.Duration
}

// ended is the attempt's end.
func (a scriptAttempt) ended(outcome Outcome, final bool) AttemptEnded {
	return AttemptEnded{ID: a.id, Attempt: a.number, Server: a.server, Outcome: outcome, Final: final}
}

func (c *scriptCaller) step(events ...Event) { c.all = append(c.all, c.referee.step(events...)) }

// play is five milliseconds.
func (c *scriptCaller) play() {
	c.referee.now += ms(5)
	for _, a := range c.referee.last {
		switch action := a.(type) {
		case StartAttempt:
			number := c.referee.reqs[action.ID].sent - 1
			c.out = append(c.out, scriptAttempt{action.ID, number, action.Server, c.referee.now + action.Timeout})
		case HealthCheck:
			c.checks = append(c.checks, action.Server)
		}
	}
	events := c.dueTimers()
	events = append(events, c.attempts()...)
	events = append(events, c.healthChecks()...)
	events = append(events, c.openConnections()...)
	events = append(events, c.others()...)
	// One of the others may name a real attempt: keep the caller's record in line with it.
	c.out = slices.DeleteFunc(c.out, func(attempt scriptAttempt) bool {
		return slices.ContainsFunc(events, func(event Event) bool {
			ended, ok := event.(AttemptEnded)
			return ok && ended.ID == attempt.id && ended.Attempt == attempt.number
		})
	})
	c.step(events...)
}

// dueTimers fires the timers whose time has come.
func (c *scriptCaller) dueTimers() (events []Event) {
	c.referee.timers = slices.DeleteFunc(c.referee.timers, func(timer timer) bool {
		due := timer.at <= c.referee.now
		if due {
			events = append(events, TimerFired{timer.token})
		}
		return due
	})
	return events
}

// attempts has some of the attempts that are out succeed or end.
func (c *scriptCaller) attempts() (events []Event) {
	c.out = slices.DeleteFunc(c.out, func(sent scriptAttempt) bool {
		roll := c.rng.IntN(20)
		over := c.referee.reqs[sent.id].done || c.referee.reqs[sent.id].gone
		switch {
		case c.referee.now+ms(5) >= sent.until:
			events = append(events, sent.ended(TimedOut, over))
		case roll == 0 && !over:
			events = append(events, Established{ID: sent.id, Attempt: sent.number, Server: sent.server})
			c.open = append(c.open, sent)
		case roll == 1:
			events = append(events, sent.ended(Outcome(1+c.rng.IntN(7)), over))
		default:
			return false
		}
		return true
	})
	return events
}

// healthChecks answers at most one health check.
func (c *scriptCaller) healthChecks() (events []Event) {
	for i, server := range c.checks {
		if c.rng.IntN(3) != 0 {
			continue
		}
		c.checks = slices.Delete(c.checks, i, i+1)
		return []Event{HealthCheckResult{
			Server: server, Outcome: Outcome(c.rng.IntN(8) * c.rng.IntN(2)),
			Report: []float64{c.rng.Float64() * 1.5, float64(c.rng.IntN(50))},
		}}
	}
	return nil
}

// openConnections has something happen to an open connection now and then.
func (c *scriptCaller) openConnections() []Event {
	if len(c.open) == 0 || c.rng.IntN(6) != 0 {
		return nil
	}
	i := c.rng.IntN(len(c.open))
	connection := c.open[i]
	switch c.rng.IntN(3) {
	case 0:
		c.open = slices.Delete(c.open, i, i+1)
		return []Event{connection.ended(Reset, true)}
	case 1:
		return []Event{LoadUpdate{ID: connection.id, Attempt: connection.number, Load: c.rng.Float64() * 5}}
	default:
		return []Event{DelayObservation{ID: connection.id, Server: connection.server, Took: ms(c.rng.IntN(400))}}
	}
}

// others is requests, changes of the list, and odd events.
func (c *scriptCaller) others() []Event {
	switch c.rng.IntN(12) {
	case 0, 1, 2, 3:
		c.requests++
		return []Event{Request{
			ID: RequestID(fmt.Sprint("r", c.requests)), Class: c.rng.IntN(3), Tenant: -1,
			Key: c.rng.Uint64N(9), Group: c.rng.Uint64N(5), TimeLeft: ms(c.rng.IntN(900)), Load: c.rng.Float64(),
		}}
	case 4:
		i := c.rng.IntN(len(c.servers.Servers))
		c.servers.Servers[i].State = ServerState(c.rng.IntN(3) * c.rng.IntN(2))
		if c.rng.IntN(3) == 0 {
			c.servers.Servers[i].Started = c.referee.now
		}
		return []Event{ServerList{Kind: ListChange, Servers: c.servers.Servers[i : i+1]}}
	case 5:
		return []Event{ServerList{Kind: ListUnavailable}}
	case 6:
		return []Event{ClientGone{ID: RequestID(fmt.Sprint("r", c.rng.IntN(c.requests+1)))}}
	case 7:
		events := []Event{TimerFired{fmt.Sprint("hold r", c.rng.IntN(c.requests+1))}}
		// A caller reports nothing of attempts that it was not given.
		if request := c.referee.reqs["r1"]; request != nil && request.sent > 0 {
			attempt := c.rng.IntN(request.sent)
			events = append(events, AttemptEnded{ID: "r1", Attempt: attempt, Server: "s000", Outcome: Full})
		}
		return events
	}
	return nil
}

func TestRulesOverRandomScripts(t *testing.T) {
	for seed := range uint64(150) {
		script(t, seed, 600)
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	for seed := range uint64(10) {
		if !reflect.DeepEqual(script(t, seed, 400), script(t, seed, 400)) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(seed, uint16(300))
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) { script(t, seed, int(steps%2000)) })
}
