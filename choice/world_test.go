package choice

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// referee checks the four rules from outside: it sees the events given and the actions returned, and nothing of the
// module's state.
type referee struct {
	t      testing.TB
	set    Settings
	b      *Balancer
	now    time.Duration
	reqs   map[RequestID]*seen
	list   map[ServerID]Server
	told   map[ServerID]time.Duration // since when it drains or is gone
	timers []timer
	probes map[ServerID]int
	last   []Action
	load   func(ServerID) float64 // what hosts answer probes with, once set
}

type seen struct {
	class            int
	deadline         time.Duration
	out              map[int]ServerID
	sent             int
	open, done, gone bool
	mayServer        ServerID
	may              bool
	mayAt            time.Duration
	sentAt           []time.Duration
	on               ServerID
	doneAt           time.Duration
	answered         bool
}

type timer struct {
	at    time.Duration
	token string
}

func newReferee(t testing.TB, s Settings, seed uint64) *referee {
	t.Helper()
	b, err := New(s, seed, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &referee{
		t: t, set: s, b: b, reqs: map[RequestID]*seen{}, list: map[ServerID]Server{},
		told: map[ServerID]time.Duration{}, probes: map[ServerID]int{},
	}
}

// step hands events over at the present time and judges what comes back.
func (f *referee) step(events ...Event) []Action {
	f.t.Helper()
	for _, e := range events {
		f.note(e)
	}
	f.last = f.b.Step(f.now, events)
	for _, a := range f.last {
		f.judge(a)
	}
	for _, e := range events { // only an earlier batch forbids a Send
		if e, ok := e.(ClientGone); ok && f.reqs[e.ID] != nil {
			f.reqs[e.ID].gone = true
		}
	}
	return f.last
}

func (f *referee) note(e Event) {
	switch e := e.(type) {
	case ServerList:
		if e.Kind == ListUnavailable {
			return
		}
		if e.Kind != ListChange {
			for id, s := range f.list {
				if s.State == Ready {
					f.told[id] = f.now
				}
				s.State = Gone
				f.list[id] = s
			}
		}
		for _, s := range e.Servers {
			if s.State == Ready {
				delete(f.told, s.ID)
			} else if _, ok := f.told[s.ID]; !ok {
				f.told[s.ID] = f.now
			}
			f.list[s.ID] = s
		}
	case Request:
		if f.reqs[e.ID] == nil {
			f.reqs[e.ID] = &seen{class: e.Class, deadline: f.now + e.TimeLeft, out: map[int]ServerID{}}
		}
	case Established:
		if r := f.reqs[e.ID]; r != nil && r.out[e.Attempt] != "" {
			r.open = true
		}
	case AttemptEnded:
		r := f.reqs[e.ID]
		if r == nil || r.out[e.Attempt] == "" {
			return
		}
		if !e.Outcome.NeverRan() && !r.may {
			r.may, r.mayServer, r.mayAt = true, r.out[e.Attempt], r.sentAt[e.Attempt]
		}
		delete(r.out, e.Attempt)
		if e.Final || r.open {
			r.done, r.doneAt = true, f.now
		}
	}
}

func (f *referee) judge(a Action) {
	f.t.Helper()
	switch a := a.(type) {
	case StartAttempt:
		r, ok := f.reqs[a.ID]
		if !ok || r.done || r.gone {
			f.t.Fatalf("%v: Send for a request that is over or unknown: %+v", f.now, a)
		}
		if len(r.out) > 0 {
			f.t.Fatalf("%v: two attempts out for %s", f.now, a.ID)
		}
		if r.sent++; r.sent > max(1, f.set.Limits.MaxAttempts) {
			f.t.Fatalf("%v: %d attempts for %s", f.now, r.sent, a.ID)
		}
		s, ok := f.list[a.Server]
		if at, drains := f.told[a.Server]; !ok || drains && f.now > at+f.set.Rules.DrainGrace {
			f.t.Fatalf("%v: Send to %s, unknown or told to drain", f.now, a.Server)
		}
		if a.Timeout <= 0 || f.now+a.Timeout > r.deadline {
			f.t.Fatalf("%v: cap %v outlives the client of %s", f.now, a.Timeout, a.ID)
		}
		c := f.set.Classes[r.class]
		if r.may && c.Idempotency == NotIdempotent {
			f.t.Fatalf("%v: an unsafe request that may have run is sent again", f.now)
		}
		if r.may && c.Idempotency == IdempotentByKey {
			first := f.list[r.mayServer]
			if f.now > r.mayAt+c.IdempotencyWindow || c.IdempotencyScope != ScopeAll && s.Zone != first.Zone ||
				c.IdempotencyScope == ScopeCell && s.Cell != first.Cell {
				f.t.Fatalf("%v: a keyed request leaves its group or window", f.now)
			}
		}
		r.out[r.sent-1], r.on = a.Server, a.Server
		r.sentAt = append(r.sentAt, f.now)
	case Reject:
		r := f.final(a.ID)
		if c := f.set.Classes[r.class]; (r.may || len(r.out) > 0) &&
			!(c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.IdempotencyScope == ScopeAll) {
			f.t.Fatalf("%v: refusal of %s, which may have run", f.now, a.ID)
		}
	case Fail:
		f.final(a.ID)
	case SetTimer:
		if a.Token == "" || len(a.Token) > 64 || a.After < 0 {
			f.t.Fatalf("bad timer %+v", a)
		}
		f.timers = append(f.timers, timer{f.now + a.After, a.Token})
	case HealthCheck:
		if _, ok := f.list[a.Server]; !ok {
			f.t.Fatalf("probe of unknown server %s", a.Server)
		}
		f.probes[a.Server]++
	case Migrate:
		if r := f.reqs[a.ID]; r == nil || !r.open || r.done && r.doneAt < f.now {
			f.t.Fatalf("%v: move of %s, which is not open", f.now, a.ID)
		}
	}
}

func (f *referee) final(id RequestID) *seen {
	f.t.Helper()
	r := f.reqs[id]
	// an end told in the same batch may come after the event that this answers
	if r == nil || r.answered || r.done && r.doneAt < f.now {
		f.t.Fatalf("%v: a second answer for %s", f.now, id)
	}
	if f.now > r.deadline+f.set.Rules.AnswerSlack && !r.gone {
		f.t.Fatalf("%v: answer for %s after its deadline %v", f.now, id, r.deadline)
	}
	r.done, r.answered, r.doneAt = true, true, f.now
	return r
}

// run lets time pass, firing timers, up to a moment; attempts that pass their cap are the caller's to end.
func (f *referee) run(to time.Duration) {
	f.t.Helper()
	for n := 0; ; n++ {
		slices.SortStableFunc(f.timers, func(a, b timer) int { return cmp.Compare(a.at, b.at) })
		if len(f.timers) == 0 || f.timers[0].at > to || n > 100000 {
			break
		}
		next := f.timers[0]
		f.timers = f.timers[1:]
		f.now = max(f.now, next.at)
		f.step(TimerFired{next.token})
		if f.load != nil { // probes on the module's own account have answers as well
			f.answerProbes(f.load)
		}
	}
	f.now = max(f.now, to)
	for id, r := range f.reqs {
		if !r.done && !r.open && !r.gone && f.now > r.deadline+f.set.Rules.AnswerSlack {
			f.t.Fatalf("%v: no answer for %s by %v", f.now, id, r.deadline)
		}
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func plain() Settings {
	return Settings{
		Nodes: 4, Zone: "z0", Reports: HealthCheckReports, ReportFields: []ReportField{Load, InFlight}, RoundTrip: ms(5),
		Classes: []Class{{Name: "c", SetupObjective: ms(300), Deadline: ms(1800), MessageObjective: ms(100), Priority: 1}},
		Limits:  Limits{MaxAttempts: 4, HealthChecks: true, Cancellation: true, ConnectTimeout: ms(250)},
		Rules: Rules{
			AnswerSlack: ms(20), MaxPollInterval: 10 * time.Second, DrainGrace: ms(500), SlowStartFraction: 0.2,
			WarmUp: 10 * time.Second, OverloadMultiple: 3, OverloadTime: time.Second,
		},
		Costs: Costs{HealthCheck: 0.002, Migration: 0.01},
	}
}

func fleet(n int) ServerList {
	l := ServerList{Kind: ListFull}
	for i := range n {
		l.Servers = append(l.Servers, Server{
			ID: ServerID(fmt.Sprintf("s%03d", i)), Zone: fmt.Sprintf("z%d", i%3),
			Kind: fmt.Sprintf("k%d", i%2), Cell: i % 5, Size: 1,
		})
	}
	return l
}

// sends returns the servers that the last step sent to.
func (f *referee) sends() (ids []ServerID) {
	for _, a := range f.last {
		if s, ok := a.(StartAttempt); ok {
			ids = append(ids, s.Server)
		}
	}
	return ids
}

// answerProbes answers the probes of the last step with the given load, and the ones that follow from it.
func (f *referee) answerProbes(load func(ServerID) float64) {
	f.t.Helper()
	f.load = load
	for range 50 {
		var events []Event
		for _, a := range f.last {
			if p, ok := a.(HealthCheck); ok {
				events = append(events, HealthCheckResult{Server: p.Server, Outcome: Served, Report: []float64{load(p.Server), 10}})
			}
		}
		if len(events) == 0 {
			return
		}
		f.now += ms(1)
		f.step(events...)
	}
}
