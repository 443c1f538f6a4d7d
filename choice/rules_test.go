package choice

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// constantLoad returns a load function for servers that all have the same load.
func constantLoad(load float64) func(ServerID) float64 { return func(ServerID) float64 { return load } }

// TestEveryRequestIsAnsweredInTime guards against a request that gets no final answer by its deadline: because health
// checks and attempts get no reply, because it arrives with hardly any time or none left, or because there are no
// servers. runUntil fails the test if an answer is missing.
func TestEveryRequestIsAnsweredInTime(t *testing.T) {
	checker := newBalancerChecker(t, defaultTestSettings(), 1)
	checker.stepAndCheck(newServerList(6))
	// Neither health checks nor attempts of this request get an answer.
	checker.stepAndCheck(Request{ID: "quiet", TimeLeft: ms(1800), Tenant: -1})
	checker.runUntil(ms(2000))
	checker.stepAndCheck(Request{ID: "late", TimeLeft: ms(1), Tenant: -1})
	checker.stepAndCheck(Request{ID: "past", TimeLeft: -ms(5), Tenant: -1})
	checker.runUntil(checker.now + ms(3000))

	// Without servers, a request is rejected while the client waits.
	noServers := newBalancerChecker(t, defaultTestSettings(), 1)
	noServers.stepAndCheck(ServerList{Kind: ListFull})
	noServers.stepAndCheck(Request{ID: "r", TimeLeft: ms(500), Tenant: -1})
	noServers.runUntil(ms(600))
	if !noServers.requests["r"].ended {
		t.Fatal("request without servers: got no answer, want a rejection")
	}
}

// TestAttemptsOnFullServersAreRetriedElsewhereAndThenRejected guards against a retry on a server that has just rejected
// the request, and against a request without an answer after its last attempt. All servers reject it as full.
func TestAttemptsOnFullServersAreRetriedElsewhereAndThenRejected(t *testing.T) {
	checker := newBalancerChecker(t, defaultTestSettings(), 3)
	checker.stepAndCheck(newServerList(8))
	checker.stepAndCheck(Request{ID: "r", TimeLeft: ms(1800), Tenant: -1})
	used := map[ServerID]bool{}
	for i := range 4 {
		checker.answerHealthChecks(constantLoad(0.3))
		got := checker.attemptedServers()
		if len(got) != 1 || used[got[0]] {
			t.Fatalf("attempt %d: got servers %v, want one that is not among %v", i, got, used)
		}
		used[got[0]] = true
		checker.now += ms(5)
		checker.stepAndCheck(AttemptEnded{ID: "r", Attempt: i, Server: got[0], Outcome: Full})
	}
	if !checker.requests["r"].ended {
		t.Fatal("after the attempt limit: got no answer, want a rejection")
	}
}

// TestRequestsAreRetriedAsTheirIdempotencyAllows guards against a request that takes effect twice, because the node
// retries it after an attempt that may have run, and against a missing retry of a request that can't take effect twice.
func TestRequestsAreRetriedAsTheirIdempotencyAllows(t *testing.T) {
	for _, test := range []struct {
		idempotency Idempotency
		scope       Scope
		outcome     Outcome
		retried     bool
	}{
		{NotIdempotent, ScopeAll, TimedOut, false},
		{NotIdempotent, ScopeAll, Full, true},
		{NotIdempotent, ScopeAll, ConnectFailed, true},
		{IdempotentByKey, ScopeAll, TimedOut, true},
		{IdempotentByKey, ScopeZone, Reset, true},
		{IdempotentByKey, ScopeCell, Failed, true},
		{Idempotent, ScopeAll, TimedOut, true},
	} {
		settings := defaultTestSettings()
		settings.Classes[0].Idempotency, settings.Classes[0].IdempotencyScope,
			settings.Classes[0].IdempotencyWindow = test.idempotency, test.scope, time.Second
		checker := newBalancerChecker(t, settings, 5)
		checker.stepAndCheck(newServerList(30))
		checker.stepAndCheck(Request{ID: "r", TimeLeft: ms(1800), Tenant: -1})
		checker.answerHealthChecks(constantLoad(0.3))
		checker.now += ms(20)
		checker.stepAndCheck(AttemptEnded{
			ID: "r", Attempt: 0, Server: checker.attemptedServers()[0], Outcome: test.outcome,
		})
		checker.answerHealthChecks(constantLoad(0.3))
		if retried := len(checker.attemptedServers()) == 1; retried != test.retried {
			t.Errorf("test case %+v: got retried %v, want the value of retried in the test case", test, retried)
		}
		if !test.retried && !checker.requests["r"].ended {
			t.Errorf("test case %+v: got neither a retry nor an answer, want an answer", test)
		}
	}
}

// TestIdempotencyWindowEnds guards against a request that takes effect twice because the node retries it after its
// idempotency window: the servers no longer recognize the key then. The node must answer the request instead.
func TestIdempotencyWindowEnds(t *testing.T) {
	settings := defaultTestSettings()
	settings.Classes[0].Idempotency, settings.Classes[0].IdempotencyWindow = IdempotentByKey, ms(400)
	checker := newBalancerChecker(t, settings, 5)
	checker.stepAndCheck(newServerList(10))
	checker.stepAndCheck(Request{ID: "r", TimeLeft: ms(1800), Tenant: -1})
	checker.answerHealthChecks(constantLoad(0.3))
	server := checker.attemptedServers()[0]
	checker.now += ms(410) // the servers no longer know the idempotency key
	checker.stepAndCheck(AttemptEnded{ID: "r", Attempt: 0, Server: server, Outcome: TimedOut})
	checker.answerHealthChecks(constantLoad(0.3))
	if !checker.requests["r"].ended {
		t.Fatal("request with a key after its idempotency window: got no answer, want one")
	}
}

// TestNoAttemptOnDrainingServers guards against an attempt on a server that drains or is gone: for a request that waits
// for health checks when the list changes, for later requests, and with an empty list.
func TestNoAttemptOnDrainingServers(t *testing.T) {
	checker := newBalancerChecker(t, defaultTestSettings(), 7)
	list := newServerList(3)
	checker.stepAndCheck(list)
	// This request waits for health checks while the list changes.
	checker.stepAndCheck(Request{ID: "held", TimeLeft: ms(1800), Tenant: -1})
	for i := range list.Servers[:2] {
		list.Servers[i].State = Draining
	}
	checker.now += ms(1)
	checker.stepAndCheck(ServerList{Kind: ListChange, Servers: list.Servers[:2]})
	checker.settings.Rules.DrainGrace = 0 // the balancer must not use the grace period
	checker.runUntil(ms(70))
	for i := range 50 {
		checker.stepAndCheck(Request{ID: RequestID(fmt.Sprint(i)), TimeLeft: ms(1800), Tenant: -1})
		checker.answerHealthChecks(constantLoad(0.3))
	}
	checker.stepAndCheck(ServerList{Kind: ListFull}) // a complete list without servers: all are gone
	checker.stepAndCheck(Request{ID: "none", TimeLeft: ms(1800), Tenant: -1})
	if !checker.requests["none"].ended {
		t.Fatal("request with an empty list: got no answer, want a rejection")
	}
}

// TestUnavailableListIsRequestedAgainInTime guards against a node that keeps an old server list, because it does not
// watch the list again, or waits too long, after the list became unavailable. 20 failures in a row must not make it
// wait longer than half of MaxPollInterval.
func TestUnavailableListIsRequestedAgainInTime(t *testing.T) {
	settings := defaultTestSettings()
	settings.Subscribe = true
	checker := newBalancerChecker(t, settings, 9)
	requestedAt := time.Duration(-1)
	recordWatch := func() {
		for _, action := range checker.lastActions {
			if _, ok := action.(WatchList); ok {
				requestedAt = checker.now
			}
		}
	}
	checker.stepAndCheck(newServerList(3))
	recordWatch()
	if requestedAt != 0 {
		t.Fatal("first step with Subscribe: got no WatchList at time 0, want one")
	}
	for range 20 {
		checker.stepAndCheck(ServerList{Kind: ListUnavailable})
		lostAt := checker.now
		requestedAt = -1
		for requestedAt < 0 && checker.now < lostAt+settings.Rules.MaxPollInterval/2 {
			checker.runUntil(checker.now + ms(5))
			recordWatch()
		}
		if requestedAt < 0 {
			t.Fatalf("list unavailable: got no WatchList, want one within %v", settings.Rules.MaxPollInterval/2)
		}
	}
}

// startedServers returns a change of the list that adds servers in slow start.
func startedServers(count int, at time.Duration) ServerList {
	list := ServerList{Kind: ListChange}
	for i := range count {
		list.Servers = append(list.Servers, Server{
			ID: ServerID(fmt.Sprint("cold", i)), Zone: "z0", Kind: "k0", Size: 1, Started: at,
		})
	}
	return list
}

// startedServerLoad returns a load of 0 for the servers of startedServers, and 0.6 for the others.
func startedServerLoad(id ServerID) float64 {
	if id[0] == 'c' {
		return 0
	}
	return 0.6
}

// placeFiveRequests sends five requests with consecutive IDs and returns the servers in slow start that they were
// placed on.
func (c *balancerChecker) placeFiveRequests(count *int) (started []ServerID) {
	c.tb.Helper()
	for range 5 {
		*count++
		if server := c.placeRequest(fmt.Sprint(*count), 0, startedServerLoad); server != "" && server[0] == 'c' {
			started = append(started, server)
		}
	}
	return started
}

// simulateFleetGrowth simulates 40 nodes with 5 requests per second each and a fleet that grows from 5 to 20 servers at
// second 20. For idleSeconds after the growth there are no requests. It returns the maximum number of connections that
// a server in slow start got in one second, as a multiple of its capacity at that time, and the total number of
// connections that servers in slow start got.
func simulateFleetGrowth(t *testing.T, idleSeconds int) (maxOverload float64, total int) {
	t.Helper()
	const nodes, warm, started, start, warmUp = 40, 5, 15, 20, 10
	settings := defaultTestSettings()
	settings.Nodes = nodes
	var checkers []*balancerChecker
	for i := range nodes {
		checker := newBalancerChecker(t, settings, uint64(100+i))
		checker.stepAndCheck(newServerList(warm))
		checkers = append(checkers, checker)
	}
	added := startedServers(started, start*time.Second)
	count := 0
	for second := range start + 8 {
		placed := map[ServerID]int{}
		for i, checker := range checkers {
			checker.runUntil(time.Duration(second)*time.Second + ms(i))
			if second == start {
				checker.stepAndCheck(added)
			}
			if second >= start && second < start+idleSeconds {
				continue
			}
			for _, server := range checker.placeFiveRequests(&count) {
				placed[server]++
				total++
			}
		}
		// 10 connections cause load 0.6, so a warm server has the capacity for 16.7, which it fills over its warm-up.
		capacity := 10 / 0.6 / warmUp * (0.2 + 0.8*float64(second-start)/warmUp)
		for _, connections := range placed {
			// Three connections are tolerated, because the counts are small and random.
			maxOverload = max(maxOverload, (float64(connections)-3)/capacity)
		}
	}
	return maxOverload, total
}

// TestSlowStartServerIsNotOverloaded checks that all nodes together do not send a server in slow start more than three
// times its capacity. Each of the 40 nodes sees an empty server, and without a common limit all would send it clients.
func TestSlowStartServerIsNotOverloaded(t *testing.T) {
	maxOverload, total := simulateFleetGrowth(t, 0)
	t.Log(maxOverload, total)
	if maxOverload > 3 {
		t.Errorf("server in slow start: got %.1f times its capacity, want at most 3", maxOverload)
	}
	if total < 10 {
		t.Errorf("all servers in slow start: got %d connections in 8 s, want at least 10", total)
	}
}

// TestInvalidInputIsIgnored guards against a crash or a wrong state after events with unknown IDs, numbers that are not
// finite, negative values, or a time that goes back, and against invalid settings that New accepts.
func TestInvalidInputIsIgnored(t *testing.T) {
	checker := newBalancerChecker(t, defaultTestSettings(), 11)
	checker.stepAndCheck(newServerList(4))
	nan := math.NaN()
	checker.stepAndCheck(
		AttemptEnded{ID: "unknown", Server: "unlisted"}, Established{ID: "unknown"}, ClientGone{ID: "unknown"},
		HealthCheckResult{Server: "unlisted"}, HealthCheckResult{Server: "s000", Report: []float64{1}},
		HealthCheckResult{Server: "s000", Report: []float64{nan, math.Inf(1)}}, HealthCheckResult{
			Server: "s001",
			Report: []float64{-3, -1},
		},
		LoadUpdate{ID: "unknown", Load: nan}, DelayObservation{Server: "unlisted", Took: -5},
		DelayObservation{Server: "s000", Took: math.MaxInt64},
		TimerFired{"hold unknown"}, TimerFired{""}, PeerMessage{}, OpenConnection{Server: "unlisted"},
		OpenConnection{Request: Request{ID: "x", Class: 99}, Server: "s000"},
		Request{ID: "odd", TimeLeft: ms(100), Load: nan, Tenant: 7}, Request{ID: "odd", TimeLeft: ms(100)},
		Request{ID: "neg", TimeLeft: ms(100), Load: -1}, ServerList{Kind: ListChange, Servers: []Server{{
			ID:   "z",
			Size: nan,
		}}},
	)
	checker.settings.Classes = append(checker.settings.Classes, checker.settings.Classes[0])
	checker.stepAndCheck(Request{ID: "class", Class: 1, TimeLeft: ms(100)})
	checker.runUntil(ms(300))
	checker.now = 0 // a time that goes back counts as the latest one seen
	if actions := checker.balancer.Step(0, []Event{TimerFired{"tick"}}); len(actions) == 0 {
		t.Fatal("Step with a tick at an earlier time: got no actions, want at least one")
	}
	if _, err := New(Settings{}, 1, 0); err == nil {
		t.Fatal("New with settings without classes: got no error, want one")
	}
	if _, err := New(Settings{Classes: []Class{{Idempotency: 9}}}, 1, 0); err == nil {
		t.Fatal("New with an unknown idempotency: got no error, want one")
	}
	balancer, err := New(Settings{Classes: []Class{{}}}, 1, 0) // all values are zero
	if err != nil {
		t.Fatal(err)
	}
	balancer.Step(0, []Event{
		newServerList(2),
		Request{ID: "a", TimeLeft: ms(100)},
		TimerFired{"tick"},
		DelayObservation{Server: "s000", Took: 1},
	})
}
