package choice

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func level(v float64) func(ServerID) float64 { return func(ServerID) float64 { return v } }

func TestEveryRequestIsAnsweredInTime(t *testing.T) {
	f := newReferee(t, plain(), 1)
	f.step(fleet(6))
	f.step(Request{ID: "quiet", TimeLeft: ms(1800), Tenant: -1}) // health checks and servers stay silent
	f.run(ms(2000))
	f.step(Request{ID: "late", TimeLeft: ms(1), Tenant: -1})
	f.step(Request{ID: "past", TimeLeft: -ms(5), Tenant: -1})
	f.run(f.now + ms(3000))

	g := newReferee(t, plain(), 1) // nobody to send to: rejected while the client waits
	g.step(ServerList{Kind: ListFull})
	g.step(Request{ID: "r", TimeLeft: ms(500), Tenant: -1})
	g.run(ms(600))
	if !g.reqs["r"].done {
		t.Fatal("no answer without servers")
	}
}

func TestFullIsRetriedElsewhereAndThenRejected(t *testing.T) {
	referee := newReferee(t, plain(), 3)
	referee.step(fleet(8))
	referee.step(Request{ID: "r", TimeLeft: ms(1800), Tenant: -1})
	used := map[ServerID]bool{}
	for i := range 4 {
		referee.answerHealthChecks(level(0.3))
		got := referee.sends()
		if len(got) != 1 || used[got[0]] {
			t.Fatalf("attempt %d went to %v, used %v", i, got, used)
		}
		used[got[0]] = true
		referee.now += ms(5)
		referee.step(AttemptEnded{ID: "r", Attempt: i, Server: got[0], Outcome: Full})
	}
	if !referee.reqs["r"].done {
		t.Fatal("not answered after the attempt limit")
	}
}

func TestNoEffectTwice(t *testing.T) {
	for _, test := range []struct {
		repeat  Idempotency
		scope   Scope
		outcome Outcome
		again   bool
	}{
		{NotIdempotent, ScopeAll, TimedOut, false},
		{NotIdempotent, ScopeAll, Full, true},
		{NotIdempotent, ScopeAll, ConnectFailed, true},
		{IdempotentByKey, ScopeAll, TimedOut, true},
		{IdempotentByKey, ScopeZone, Reset, true},
		{IdempotentByKey, ScopeCell, Failed, true},
		{Idempotent, ScopeAll, TimedOut, true},
	} {
		s := plain()
		s.Classes[0].Idempotency, s.Classes[0].IdempotencyScope, s.Classes[0].IdempotencyWindow = test.repeat,
			test.scope, time.Second
		referee := newReferee(t, s, 5)
		referee.step(fleet(30))
		referee.step(Request{ID: "r", TimeLeft: ms(1800), Tenant: -1})
		referee.answerHealthChecks(level(0.3))
		referee.now += ms(20)
		referee.step(AttemptEnded{ID: "r", Attempt: 0, Server: referee.sends()[0], Outcome: test.outcome})
		referee.answerHealthChecks(level(0.3))
		if again := len(referee.sends()) == 1; again != test.again {
			t.Errorf("%+v: sent again: %v", test, again)
		}
		if !test.again && !referee.reqs["r"].done {
			t.Errorf("%+v: neither sent nor answered", test)
		}
	}
}

func TestIdempotencyWindowEnds(t *testing.T) {
	s := plain()
	s.Classes[0].Idempotency, s.Classes[0].IdempotencyWindow = IdempotentByKey, ms(400)
	f := newReferee(t, s, 5)
	f.step(fleet(10))
	f.step(Request{ID: "r", TimeLeft: ms(1800), Tenant: -1})
	f.answerHealthChecks(level(0.3))
	to := f.sends()[0]
	f.now += ms(410) // the servers have forgotten it
	f.step(AttemptEnded{ID: "r", Attempt: 0, Server: to, Outcome: TimedOut})
	f.answerHealthChecks(level(0.3))
	if !f.reqs["r"].done {
		t.Fatal("a keyed request past its window was not answered")
	}
}

func TestNothingGoesToADrainingServer(t *testing.T) {
	referee := newReferee(t, plain(), 7)
	l := fleet(3)
	referee.step(l)
	referee.step(Request{ID: "held", TimeLeft: ms(1800), Tenant: -1}) // waits for health checks while the list changes
	for i := range l.Servers[:2] {
		l.Servers[i].State = Draining
	}
	referee.now += ms(1)
	referee.step(ServerList{Kind: ListChange, Servers: l.Servers[:2]})
	referee.set.Rules.DrainGrace = 0 // the balancer does not use the grace at all
	referee.run(ms(70))
	for i := range 50 {
		referee.step(Request{ID: RequestID(fmt.Sprint(i)), TimeLeft: ms(1800), Tenant: -1})
		referee.answerHealthChecks(level(0.3))
	}
	referee.step(ServerList{Kind: ListFull}) // a whole list without it: gone
	referee.step(Request{ID: "none", TimeLeft: ms(1800), Tenant: -1})
	if !referee.reqs["none"].done {
		t.Fatal("not rejected with an empty list")
	}
}

func TestListIsPolledAgainInTime(t *testing.T) {
	settings := plain()
	settings.Subscribe = true
	referee := newReferee(t, settings, 9)
	asked := time.Duration(-1)
	look := func() {
		for _, a := range referee.last {
			if _, ok := a.(WatchList); ok {
				asked = referee.now
			}
		}
	}
	referee.step(fleet(3))
	look()
	if asked != 0 {
		t.Fatal("did not follow at start")
	}
	for range 20 {
		referee.step(ServerList{Kind: ListUnavailable})
		lost := referee.now
		asked = -1
		for asked < 0 && referee.now < lost+settings.Rules.MaxPollInterval/2 {
			referee.run(referee.now + ms(5))
			look()
		}
		if asked < 0 {
			t.Fatalf("not polled again within %v", settings.Rules.MaxPollInterval/2)
		}
	}
}

// startedServers is a change of the list by servers that have just started.
func startedServers(count int, at time.Duration) ServerList {
	grown := ServerList{Kind: ListChange}
	for i := range count {
		grown.Servers = append(grown.Servers, Server{
			ID: ServerID(fmt.Sprint("cold", i)), Zone: "z0", Kind: "k0", Size: 1, Started: at,
		})
	}
	return grown
}

// loadOfGrown is none for servers that have just started.
func loadOfGrown(id ServerID) float64 {
	if id[0] == 'c' {
		return 0
	}
	return 0.6
}

// placeSome sends five requests, with ids that count on, and returns the servers in slow start that they went to.
func (f *referee) placeSome(count *int) (started []ServerID) {
	f.t.Helper()
	for range 5 {
		*count++
		if to := f.place(fmt.Sprint(*count), 0, loadOfGrown); to != "" && to[0] == 'c' {
			started = append(started, to)
		}
	}
	return started
}

// growth plays a fleet that grows from 5 to 20 servers at second 20: 40 nodes with 5 requests a second each, or none
// at all for some seconds after the growth. It returns the most that one server in slow start got in one second, as a
// multiple of what it could do then, and how much all ones in slow start got.
func growth(t *testing.T, quiet int) (worst float64, total int) {
	t.Helper()
	const nodes, hot, started, start, warmUp = 40, 5, 15, 20, 10
	s := plain()
	s.Nodes = nodes
	var referees []*referee
	for i := range nodes {
		f := newReferee(t, s, uint64(100+i))
		f.step(fleet(hot))
		referees = append(referees, f)
	}
	grown := startedServers(started, start*time.Second)
	count := 0
	for sec := range start + 8 {
		got := map[ServerID]int{}
		for i, referee := range referees {
			referee.run(time.Duration(sec)*time.Second + ms(i))
			if sec == start {
				referee.step(grown)
			}
			if sec >= start && sec < start+quiet {
				continue
			}
			for _, to := range referee.placeSome(&count) {
				got[to]++
				total++
			}
		}
		// 10 connections make load 0.6, so a warm server holds 16.7 and takes that many over its warm-up
		able := 10 / 0.6 / warmUp * (0.2 + 0.8*float64(sec-start)/warmUp)
		for _, c := range got {
			worst = max(worst, (float64(c)-3)/able) // three of slack: counts are small and by chance
		}
	}
	return worst, total
}

// All nodes together must not send a server in slow start more than a multiple of what it can do.
func TestSlowStartServerIsNotOverloaded(t *testing.T) {
	worst, total := growth(t, 0)
	t.Log(worst, total)
	if worst > 3 {
		t.Errorf("a server in slow start got %.1f times what it could do", worst)
	}
	if total < 10 {
		t.Errorf("all servers in slow start together got %d connections in 8 s", total)
	}
}

func TestOddInputIsHarmless(t *testing.T) {
	referee := newReferee(t, plain(), 11)
	referee.step(fleet(4))
	nan := math.NaN()
	referee.step(
		AttemptEnded{ID: "nobody", Server: "nowhere"}, Established{ID: "nobody"}, ClientGone{ID: "nobody"},
		HealthCheckResult{Server: "nowhere"}, HealthCheckResult{Server: "s000", Report: []float64{1}},
		HealthCheckResult{Server: "s000", Report: []float64{nan, math.Inf(1)}}, HealthCheckResult{
			Server: "s001",
			Report: []float64{-3, -1},
		},
		LoadUpdate{ID: "nobody", Load: nan}, DelayObservation{Server: "nowhere", Took: -5},
		DelayObservation{Server: "s000", Took: math.MaxInt64},
		TimerFired{"hold nobody"}, TimerFired{""}, PeerMessage{}, OpenConnection{Server: "nowhere"},
		OpenConnection{Request: Request{ID: "x", Class: 99}, Server: "s000"},
		Request{ID: "odd", TimeLeft: ms(100), Load: nan, Tenant: 7}, Request{ID: "odd", TimeLeft: ms(100)},
		Request{ID: "neg", TimeLeft: ms(100), Load: -1}, ServerList{Kind: ListChange, Servers: []Server{{
			ID:   "z",
			Size: nan,
		}}},
	)
	referee.set.Classes = append(referee.set.Classes, referee.set.Classes[0])
	referee.step(Request{ID: "class", Class: 1, TimeLeft: ms(100)})
	referee.run(ms(300))
	referee.now = 0 // time going back counts as the maxMessageAge seen
	if a := referee.b.Step(0, []Event{TimerFired{"tick"}}); len(a) == 0 {
		t.Fatal("tick lost")
	}
	if _, err := New(Settings{}, 1, 0); err == nil {
		t.Fatal("settings without classes accepted")
	}
	if _, err := New(Settings{Classes: []Class{{Idempotency: 9}}}, 1, 0); err == nil {
		t.Fatal("unknown repeat kind accepted")
	}
	b, err := New(Settings{Classes: []Class{{}}}, 1, 0) // zeros everywhere
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, []Event{
		fleet(2),
		Request{ID: "a", TimeLeft: ms(100)},
		TimerFired{"tick"},
		DelayObservation{Server: "s000", Took: 1},
	})
}
