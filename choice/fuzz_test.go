package choice

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// runRandomScript simulates a caller that passes random but valid events, and some unusual ones, for a number of steps.
// A balancerChecker checks all actions. It returns the actions of each step.
func runRandomScript(tb testing.TB, seed uint64, steps int) [][]Action {
	tb.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := defaultTestSettings()
	settings.Nodes, settings.GroupAffinity, settings.Subscribe = 1+rng.IntN(50), rng.IntN(2) == 0, rng.IntN(2) == 0
	settings.PacketPassThrough = rng.IntN(4) == 0
	settings.Reports = ReportSource(rng.IntN(3))
	settings.Classes = append(settings.Classes,
		Class{SetupObjective: ms(200), Deadline: ms(900), Idempotency: NotIdempotent, MessageObjective: ms(50)},
		Class{
			SetupObjective: ms(200), Deadline: ms(900), Idempotency: IdempotentByKey,
			IdempotencyScope: Scope(rng.IntN(3)), IdempotencyWindow: ms(rng.IntN(900)),
		})
	checker := newBalancerChecker(tb, settings, seed)
	list := newServerList(1 + rng.IntN(12))
	caller := &scriptCaller{rng: rng, checker: checker, list: list}
	caller.stepAndRecord(list)
	for range steps {
		caller.advance()
	}
	checker.runUntil(checker.now) // fires the timers that are due and checks the answers to expired requests
	return caller.allActions
}

// scriptCaller passes random events of a node to the balancer.
type scriptCaller struct {
	rng                   *rand.Rand
	checker               *balancerChecker
	list                  ServerList
	allActions            [][]Action
	inFlight, established []scriptAttempt
	pendingChecks         []ServerID
	requestCount          int
}

// scriptAttempt is an attempt whose end the caller has not reported yet.
type scriptAttempt struct {
	id        RequestID
	attempt   int
	server    ServerID
	timeoutAt time.Duration
}

// endEvent returns the event that reports the end of the attempt.
func (a scriptAttempt) endEvent(outcome Outcome, final bool) AttemptEnded {
	return AttemptEnded{ID: a.id, Attempt: a.attempt, Server: a.server, Outcome: outcome, Final: final}
}

// stepAndRecord passes events to the balancer and records the actions that it returns.
func (c *scriptCaller) stepAndRecord(events ...Event) {
	c.allActions = append(c.allActions, c.checker.stepAndCheck(events...))
}

// advance advances the time by 5 ms, generates the events of that time and passes them to the balancer.
func (c *scriptCaller) advance() {
	c.checker.now += ms(5)
	for _, a := range c.checker.lastActions {
		switch action := a.(type) {
		case StartAttempt:
			attempt := c.checker.requests[action.ID].attempts - 1
			c.inFlight = append(c.inFlight, scriptAttempt{
				action.ID, attempt, action.Server, c.checker.now + action.Timeout,
			})
		case HealthCheck:
			c.pendingChecks = append(c.pendingChecks, action.Server)
		}
	}
	events := c.timerEvents()
	events = append(events, c.attemptEvents()...)
	events = append(events, c.healthCheckEvents()...)
	events = append(events, c.connectionEvents()...)
	events = append(events, c.otherEvents()...)
	// otherEvents may report the end of an attempt in flight.
	c.inFlight = slices.DeleteFunc(c.inFlight, func(attempt scriptAttempt) bool {
		return slices.ContainsFunc(events, func(event Event) bool {
			ended, ok := event.(AttemptEnded)
			return ok && ended.ID == attempt.id && ended.Attempt == attempt.attempt
		})
	})
	c.stepAndRecord(events...)
}

// timerEvents returns the events of the timers that are due.
func (c *scriptCaller) timerEvents() (events []Event) {
	c.checker.timers = slices.DeleteFunc(c.checker.timers, func(timer timer) bool {
		due := timer.at <= c.checker.now
		if due {
			events = append(events, TimerFired{timer.token})
		}
		return due
	})
	return events
}

// attemptEvents lets some of the attempts in flight succeed or end, and returns the events.
func (c *scriptCaller) attemptEvents() (events []Event) {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(sent scriptAttempt) bool {
		roll := c.rng.IntN(20)
		ended := c.checker.requests[sent.id].ended || c.checker.requests[sent.id].clientGone
		switch {
		case c.checker.now+ms(5) >= sent.timeoutAt:
			events = append(events, sent.endEvent(TimedOut, ended))
		case roll == 0 && !ended:
			events = append(events, Established{ID: sent.id, Attempt: sent.attempt, Server: sent.server})
			c.established = append(c.established, sent)
		case roll == 1:
			events = append(events, sent.endEvent(Outcome(1+c.rng.IntN(7)), ended))
		default:
			return false
		}
		return true
	})
	return events
}

// healthCheckEvents returns the answer to at most one health check.
func (c *scriptCaller) healthCheckEvents() (events []Event) {
	for i, server := range c.pendingChecks {
		if c.rng.IntN(3) != 0 {
			continue
		}
		c.pendingChecks = slices.Delete(c.pendingChecks, i, i+1)
		return []Event{HealthCheckResult{
			Server: server, Outcome: Outcome(c.rng.IntN(8) * c.rng.IntN(2)),
			Report: []float64{c.rng.Float64() * 1.5, float64(c.rng.IntN(50))},
		}}
	}
	return nil
}

// connectionEvents returns an event of an open connection in about one of six steps.
func (c *scriptCaller) connectionEvents() []Event {
	if len(c.established) == 0 || c.rng.IntN(6) != 0 {
		return nil
	}
	i := c.rng.IntN(len(c.established))
	connection := c.established[i]
	switch c.rng.IntN(3) {
	case 0:
		c.established = slices.Delete(c.established, i, i+1)
		return []Event{connection.endEvent(Reset, true)}
	case 1:
		return []Event{LoadUpdate{ID: connection.id, Attempt: connection.attempt, Load: c.rng.Float64() * 5}}
	default:
		return []Event{DelayObservation{ID: connection.id, Server: connection.server, Took: ms(c.rng.IntN(400))}}
	}
}

// otherEvents returns requests, changes of the server list, and unusual events.
func (c *scriptCaller) otherEvents() []Event {
	switch c.rng.IntN(12) {
	case 0, 1, 2, 3:
		c.requestCount++
		return []Event{Request{
			ID: RequestID(fmt.Sprint("r", c.requestCount)), Class: c.rng.IntN(3), Tenant: -1,
			Key: c.rng.Uint64N(9), Group: c.rng.Uint64N(5), TimeLeft: ms(c.rng.IntN(900)), Load: c.rng.Float64(),
		}}
	case 4:
		i := c.rng.IntN(len(c.list.Servers))
		c.list.Servers[i].State = ServerState(c.rng.IntN(3) * c.rng.IntN(2))
		if c.rng.IntN(3) == 0 {
			c.list.Servers[i].Started = c.checker.now
		}
		return []Event{ServerList{Kind: ListChange, Servers: c.list.Servers[i : i+1]}}
	case 5:
		return []Event{ServerList{Kind: ListUnavailable}}
	case 6:
		return []Event{ClientGone{ID: RequestID(fmt.Sprint("r", c.rng.IntN(c.requestCount+1)))}}
	case 7:
		events := []Event{TimerFired{fmt.Sprint("hold r", c.rng.IntN(c.requestCount+1))}}
		// A caller reports only attempts that the balancer has started.
		if request := c.checker.requests["r1"]; request != nil && request.attempts > 0 {
			attempt := c.rng.IntN(request.attempts)
			events = append(events, AttemptEnded{ID: "r1", Attempt: attempt, Server: "s000", Outcome: Full})
		}
		return events
	}
	return nil
}

// TestRandomScriptsKeepTheRules guards against sequences of events that make a balancer break a rule. The checker ends
// the test at the first violation.
func TestRandomScriptsKeepTheRules(t *testing.T) {
	for seed := range uint64(150) {
		runRandomScript(t, seed, 600)
	}
}

// TestSameEventsGiveSameActions guards against decisions that depend on something else than the seed and the events,
// such as the iteration order of a map.
func TestSameEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(10) {
		if !reflect.DeepEqual(runRandomScript(t, seed, 400), runRandomScript(t, seed, 400)) {
			t.Fatalf("seed %d: got different actions from two runs, want the same", seed)
		}
	}
}

// FuzzRules runs random scripts of seeds and lengths that the fuzzer chooses. A violation of a rule fails the test.
func FuzzRules(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(seed, uint16(300))
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) { runRandomScript(t, seed, int(steps%2000)) })
}
