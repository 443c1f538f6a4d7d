package choice

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// balancerChecker passes events to a balancer and checks the returned actions against the rules of the package (see
// doc.go). It uses only events and actions, not the balancer's state. (The tests in package choice_test check all nodes
// of a simulation with a simulationChecker.)
type balancerChecker struct {
	tb               testing.TB
	settings         Settings
	balancer         *Balancer
	now              time.Duration
	requests         map[RequestID]*requestRecord
	servers          map[ServerID]Server
	unavailableSince map[ServerID]time.Duration // when the server began to drain or left the list
	timers           []timer
	healthChecks     map[ServerID]int
	lastActions      []Action
	reportedLoad     func(ServerID) float64 // load in runUntil's answers to health checks; nil: no answers
}

// requestRecord is what the balancerChecker knows about a request. The fields mayHaveRunServer and mayHaveRunSentAt
// describe the first attempt that may have run.
type requestRecord struct {
	class                          int
	deadline                       time.Duration
	inFlight                       map[int]ServerID // server by number of the attempt
	attempts                       int
	established, ended, clientGone bool
	mayHaveRunServer               ServerID
	mayHaveRun                     bool
	mayHaveRunSentAt               time.Duration
	sentAt                         []time.Duration
	lastServer                     ServerID
	endedAt                        time.Duration
	answered                       bool
}

type timer struct {
	at    time.Duration
	token string
}

func newBalancerChecker(tb testing.TB, settings Settings, seed uint64) *balancerChecker {
	tb.Helper()
	balancer, err := New(settings, seed, 0)
	if err != nil {
		tb.Fatal(err)
	}
	return &balancerChecker{
		tb: tb, settings: settings, balancer: balancer,
		requests: map[RequestID]*requestRecord{}, servers: map[ServerID]Server{},
		unavailableSince: map[ServerID]time.Duration{}, healthChecks: map[ServerID]int{},
	}
}

// stepAndCheck passes events to the balancer at the current time and checks the actions that it returns.
func (c *balancerChecker) stepAndCheck(events ...Event) []Action {
	c.tb.Helper()
	for _, event := range events {
		c.record(event)
	}
	c.lastActions = c.balancer.Step(c.now, events)
	for _, action := range c.lastActions {
		c.checkAction(action)
	}
	// A ClientGone forbids attempts from the next batch on.
	for _, event := range events {
		if event, ok := event.(ClientGone); ok && c.requests[event.ID] != nil {
			c.requests[event.ID].clientGone = true
		}
	}
	return c.lastActions
}

func (c *balancerChecker) record(e Event) {
	switch event := e.(type) {
	case ServerList:
		c.recordServerList(event)
	case Request:
		if c.requests[event.ID] == nil {
			c.requests[event.ID] = &requestRecord{
				class: event.Class, deadline: c.now + event.TimeLeft, inFlight: map[int]ServerID{},
			}
		}
	case Established:
		if request := c.requests[event.ID]; request != nil && request.inFlight[event.Attempt] != "" {
			request.established = true
		}
	case AttemptEnded:
		c.recordAttemptEnd(event)
	}
}

func (c *balancerChecker) recordServerList(list ServerList) {
	if list.Kind == ListUnavailable {
		return
	}
	if list.Kind != ListChange {
		for id, server := range c.servers {
			if server.State == Ready {
				c.unavailableSince[id] = c.now
			}
			server.State = Gone
			c.servers[id] = server
		}
	}
	for _, server := range list.Servers {
		if server.State == Ready {
			delete(c.unavailableSince, server.ID)
		} else if _, ok := c.unavailableSince[server.ID]; !ok {
			c.unavailableSince[server.ID] = c.now
		}
		c.servers[server.ID] = server
	}
}

func (c *balancerChecker) recordAttemptEnd(event AttemptEnded) {
	request := c.requests[event.ID]
	if request == nil || request.inFlight[event.Attempt] == "" {
		return
	}
	if !event.Outcome.NeverRan() && !request.mayHaveRun {
		request.mayHaveRun = true
		request.mayHaveRunServer = request.inFlight[event.Attempt]
		request.mayHaveRunSentAt = request.sentAt[event.Attempt]
	}
	delete(request.inFlight, event.Attempt)
	if event.Final || request.established {
		request.ended = true
		request.endedAt = c.now
	}
}

func (c *balancerChecker) checkAction(a Action) {
	c.tb.Helper()
	switch action := a.(type) {
	case StartAttempt:
		c.checkStart(action)
	case Reject:
		request := c.recordFinalAnswer(action.ID)
		if (request.mayHaveRun || len(request.inFlight) > 0) &&
			!c.settings.Classes[request.class].mayRejectAfterAttempt() {
			c.tb.Fatalf("%v: got a rejection of %s, want none since it may have run", c.now, action.ID)
		}
	case Fail:
		c.recordFinalAnswer(action.ID)
	case SetTimer:
		if action.Token == "" || len(action.Token) > 64 || action.After < 0 {
			c.tb.Fatalf("SetTimer: got %+v, want a token of 1 to 64 bytes and a delay of at least 0", action)
		}
		c.timers = append(c.timers, timer{c.now + action.After, action.Token})
	case HealthCheck:
		if _, ok := c.servers[action.Server]; !ok {
			c.tb.Fatalf("got a health check of %s, want only checks of listed servers", action.Server)
		}
		c.healthChecks[action.Server]++
	case Migrate:
		request := c.requests[action.ID]
		if request == nil || !request.established || request.ended && request.endedAt < c.now {
			c.tb.Fatalf("%v: got a migration of %s, want only migrations of open connections", c.now, action.ID)
		}
	}
}

// mayRejectAfterAttempt reports whether a request may be rejected after an attempt that may have run.
func (c Class) mayRejectAfterAttempt() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.IdempotencyScope == ScopeAll
}

func (c *balancerChecker) checkStart(action StartAttempt) {
	c.tb.Helper()
	request, ok := c.requests[action.ID]
	if !ok || request.ended || request.clientGone {
		c.tb.Fatalf("%v: got %+v, want no attempt for an unknown or ended request", c.now, action)
	}
	if len(request.inFlight) > 0 {
		c.tb.Fatalf("%v: got a second attempt in flight for %s, want at most one", c.now, action.ID)
	}
	if request.attempts++; request.attempts > max(1, c.settings.Limits.MaxAttempts) {
		c.tb.Fatalf("%v: got %d attempts for %s, want at most Limits.MaxAttempts", c.now, request.attempts, action.ID)
	}
	server, ok := c.servers[action.Server]
	if since, unavailable := c.unavailableSince[action.Server]; !ok ||
		unavailable && c.now > since+c.settings.Rules.DrainGrace {
		c.tb.Fatalf("%v: got an attempt on %s, want none on an unknown or draining server", c.now, action.Server)
	}
	if action.Timeout <= 0 || c.now+action.Timeout > request.deadline {
		c.tb.Fatalf("%v: got timeout %v for %s, want above 0 and within the deadline", c.now, action.Timeout, action.ID)
	}
	if request.mayHaveRun {
		c.checkRetry(request, server)
	}
	request.inFlight[request.attempts-1] = action.Server
	request.lastServer = action.Server
	request.sentAt = append(request.sentAt, c.now)
}

// checkRetry checks that a further attempt of a request that may have run can't take effect twice.
func (c *balancerChecker) checkRetry(request *requestRecord, server Server) {
	c.tb.Helper()
	class := c.settings.Classes[request.class]
	if class.Idempotency == NotIdempotent {
		c.tb.Fatalf("%v: got a retry of a request that may have run, want none as it is not idempotent", c.now)
	}
	if class.Idempotency != IdempotentByKey {
		return
	}
	first := c.servers[request.mayHaveRunServer]
	if c.now > request.mayHaveRunSentAt+class.IdempotencyWindow ||
		class.IdempotencyScope != ScopeAll && server.Zone != first.Zone ||
		class.IdempotencyScope == ScopeCell && server.Cell != first.Cell {
		c.tb.Fatalf("%v: got a retry outside the scope or window of the idempotency key, want none", c.now)
	}
}

// recordFinalAnswer records the final answer to a request and checks that it is the only one and in time.
func (c *balancerChecker) recordFinalAnswer(id RequestID) *requestRecord {
	c.tb.Helper()
	request := c.requests[id]
	// The batch may contain the end of the request after the event that the balancer answers here.
	if request == nil || request.answered || request.ended && request.endedAt < c.now {
		c.tb.Fatalf("%v: got an answer for %s, want none for an unknown or ended request", c.now, id)
	}
	if c.now > request.deadline+c.settings.Rules.AnswerSlack && !request.clientGone {
		c.tb.Fatalf("%v: got a late answer for %s, want one by the deadline %v", c.now, id, request.deadline)
	}
	request.ended, request.answered, request.endedAt = true, true, c.now
	return request
}

// runUntil advances the time to until and fires the timers that expire on the way. It then checks that every request
// whose deadline has passed has an answer. The caller has to end the attempts that exceed their timeout.
func (c *balancerChecker) runUntil(until time.Duration) {
	c.tb.Helper()
	for n := 0; ; n++ {
		slices.SortStableFunc(c.timers, func(a, b timer) int { return cmp.Compare(a.at, b.at) })
		if len(c.timers) == 0 || c.timers[0].at > until || n > 100000 {
			break
		}
		next := c.timers[0]
		c.timers = c.timers[1:]
		c.now = max(c.now, next.at)
		c.stepAndCheck(TimerFired{next.token})
		if c.reportedLoad != nil { // answer also the health checks that the balancer makes without a request
			c.answerHealthChecks(c.reportedLoad)
		}
	}
	c.now = max(c.now, until)
	for id, request := range c.requests {
		if !request.ended && !request.established && !request.clientGone &&
			c.now > request.deadline+c.settings.Rules.AnswerSlack {
			c.tb.Fatalf("%v: got no answer for %s, want one by %v", c.now, id, request.deadline)
		}
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func defaultTestSettings() Settings {
	return Settings{
		Nodes: 4, Zone: "z0", Reports: HealthCheckReports, ReportFields: []ReportField{Load, InFlight},
		RoundTrip: ms(5),
		Classes: []Class{{
			Name: "c", SetupObjective: ms(300), Deadline: ms(1800), MessageObjective: ms(100),
			Priority: 1,
		}},
		Limits: Limits{MaxAttempts: 4, HealthChecks: true, Cancellation: true, ConnectTimeout: ms(250)},
		Rules: Rules{
			AnswerSlack: ms(20), MaxPollInterval: 10 * time.Second, DrainGrace: ms(500), SlowStartFraction: 0.2,
			WarmUp: 10 * time.Second, OverloadMultiple: 3, OverloadTime: time.Second,
		},
		Costs: Costs{HealthCheck: 0.002, Migration: 0.01},
	}
}

// newServerList returns a complete list of n ready servers, s000, s001 and so on, in three zones, two kinds and five
// cells.
func newServerList(n int) ServerList {
	list := ServerList{Kind: ListFull}
	for i := range n {
		list.Servers = append(list.Servers, Server{
			ID: ServerID(fmt.Sprintf("s%03d", i)), Zone: fmt.Sprintf("z%d", i%3),
			Kind: fmt.Sprintf("k%d", i%2), Cell: i % 5, Size: 1,
		})
	}
	return list
}

// attemptedServers returns the servers on which the last step started attempts.
func (c *balancerChecker) attemptedServers() (ids []ServerID) {
	for _, action := range c.lastActions {
		if start, ok := action.(StartAttempt); ok {
			ids = append(ids, start.Server)
		}
	}
	return ids
}

// answerHealthChecks answers the health checks of the last step with the given load, and those that the answers cause.
func (c *balancerChecker) answerHealthChecks(load func(ServerID) float64) {
	c.tb.Helper()
	c.reportedLoad = load
	for range 50 {
		var events []Event
		for _, a := range c.lastActions {
			if check, ok := a.(HealthCheck); ok {
				events = append(events, HealthCheckResult{
					Server: check.Server, Outcome: Served,
					Report: []float64{load(check.Server), 10},
				})
			}
		}
		if len(events) == 0 {
			return
		}
		c.now += ms(1)
		c.stepAndCheck(events...)
	}
}
