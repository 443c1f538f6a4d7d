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
	t        testing.TB
	set      Settings
	b        *Balancer
	now      time.Duration
	reqs     map[RequestID]*seen
	list     map[ServerID]Server
	offSince map[ServerID]time.Duration // since when it drains or is gone
	timers   []timer
	checks   map[ServerID]int
	last     []Action
	load     func(ServerID) float64 // what servers answer health checks with, once set
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

func newReferee(tb testing.TB, s Settings, seed uint64) *referee {
	tb.Helper()
	b, err := New(s, seed, 0)
	if err != nil {
		tb.Fatal(err)
	}
	return &referee{
		t: tb, set: s, b: b, reqs: map[RequestID]*seen{}, list: map[ServerID]Server{},
		offSince: map[ServerID]time.Duration{}, checks: map[ServerID]int{},
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
	switch event := e.(type) {
	case ServerList:
		f.noteList(event)
	case Request:
		if f.reqs[event.ID] == nil {
			f.reqs[event.ID] = &seen{class: event.Class, deadline: f.now + event.TimeLeft, out: map[int]ServerID{}}
		}
	case Established:
		if request := f.reqs[event.ID]; request != nil && request.out[event.Attempt] != "" {
			request.open = true
		}
	case AttemptEnded:
		f.noteEnd(event)
	}
}

func (f *referee) noteList(list ServerList) {
	if list.Kind == ListUnavailable {
		return
	}
	if list.Kind != ListChange {
		for id, server := range f.list {
			if server.State == Ready {
				f.offSince[id] = f.now
			}
			server.State = Gone
			f.list[id] = server
		}
	}
	for _, server := range list.Servers {
		if server.State == Ready {
			delete(f.offSince, server.ID)
		} else if _, ok := f.offSince[server.ID]; !ok {
			f.offSince[server.ID] = f.now
		}
		f.list[server.ID] = server
	}
}

func (f *referee) noteEnd(event AttemptEnded) {
	request := f.reqs[event.ID]
	if request == nil || request.out[event.Attempt] == "" {
		return
	}
	if !event.Outcome.NeverRan() && !request.may {
		request.may = true
		request.mayServer = request.out[event.Attempt]
		request.mayAt = request.sentAt[event.Attempt]
	}
	delete(request.out, event.Attempt)
	if event.Final || request.open {
		request.done = true
		request.doneAt = f.now
	}
}

func (f *referee) judge(a Action) {
	f.t.Helper()
	switch action := a.(type) {
	case StartAttempt:
		f.judgeStart(action)
	case Reject:
		request := f.final(action.ID)
		if (request.may || len(request.out) > 0) && !f.set.Classes[request.class].mayRejectAfterAttempt() {
			f.t.Fatalf("%v: rejection of %s, which may have run", f.now, action.ID)
		}
	case Fail:
		f.final(action.ID)
	case SetTimer:
		if action.Token == "" || len(action.Token) > 64 || action.After < 0 {
			f.t.Fatalf("bad timer %+v", action)
		}
		f.timers = append(f.timers, timer{f.now + action.After, action.Token})
	case HealthCheck:
		if _, ok := f.list[action.Server]; !ok {
			f.t.Fatalf("health check of unknown server %s", action.Server)
		}
		f.checks[action.Server]++
	case Migrate:
		request := f.reqs[action.ID]
		if request == nil || !request.open || request.done && request.doneAt < f.now {
			f.t.Fatalf("%v: migration of %s, which is not open", f.now, action.ID)
		}
	}
}

// mayRejectAfterAttempt reports whether a request may be rejected after an attempt that may have run.
func (c Class) mayRejectAfterAttempt() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.IdempotencyScope == ScopeAll
}

func (f *referee) judgeStart(action StartAttempt) {
	f.t.Helper()
	request, ok := f.reqs[action.ID]
	if !ok || request.done || request.gone {
		f.t.Fatalf("%v: attempt for a request that is over or unknown: %+v", f.now, action)
	}
	if len(request.out) > 0 {
		f.t.Fatalf("%v: two attempts out for %s", f.now, action.ID)
	}
	if request.sent++; request.sent > max(1, f.set.Limits.MaxAttempts) {
		f.t.Fatalf("%v: %d attempts for %s", f.now, request.sent, action.ID)
	}
	server, ok := f.list[action.Server]
	if at, drains := f.offSince[action.Server]; !ok || drains && f.now > at+f.set.Rules.DrainGrace {
		f.t.Fatalf("%v: attempt on %s, unknown or draining", f.now, action.Server)
	}
	if action.Timeout <= 0 || f.now+action.Timeout > request.deadline {
		f.t.Fatalf("%v: timeout %v outlives the client of %s", f.now, action.Timeout, action.ID)
	}
	if request.may {
		f.judgeRetry(request, server)
	}
	request.out[request.sent-1] = action.Server
	request.on = action.Server
	request.sentAt = append(request.sentAt, f.now)
}

// judgeRetry judges a further attempt of a request that may have run.
func (f *referee) judgeRetry(request *seen, server Server) {
	f.t.Helper()
	class := f.set.Classes[request.class]
	if class.Idempotency == NotIdempotent {
		f.t.Fatalf("%v: a request that is not idempotent and may have run is sent again", f.now)
	}
	if class.Idempotency != IdempotentByKey {
		return
	}
	first := f.list[request.mayServer]
	if f.now > request.mayAt+class.IdempotencyWindow ||
		class.IdempotencyScope != ScopeAll && server.Zone != first.Zone ||
		class.IdempotencyScope == ScopeCell && server.Cell != first.Cell {
		f.t.Fatalf("%v: a request with an idempotency key leaves its scope or window", f.now)
	}
}

func (f *referee) final(id RequestID) *seen {
	f.t.Helper()
	request := f.reqs[id]
	// an end in the same batch may come after the event that this answers
	if request == nil || request.answered || request.done && request.doneAt < f.now {
		f.t.Fatalf("%v: a second answer for %s", f.now, id)
	}
	if f.now > request.deadline+f.set.Rules.AnswerSlack && !request.gone {
		f.t.Fatalf("%v: answer for %s after its deadline %v", f.now, id, request.deadline)
	}
	request.done, request.answered, request.doneAt = true, true, f.now
	return request
}

// run lets time pass, firing timers, up to a moment; attempts that pass their cap are the caller's to end.
func (f *referee) run(until time.Duration) {
	f.t.Helper()
	for n := 0; ; n++ {
		slices.SortStableFunc(f.timers, func(a, b timer) int { return cmp.Compare(a.at, b.at) })
		if len(f.timers) == 0 || f.timers[0].at > until || n > 100000 {
			break
		}
		next := f.timers[0]
		f.timers = f.timers[1:]
		f.now = max(f.now, next.at)
		f.step(TimerFired{next.token})
		if f.load != nil { // health checks on the balancer's own account have answers as well
			f.answerHealthChecks(f.load)
		}
	}
	f.now = max(f.now, until)
	for id, r := range f.reqs {
		if !r.done && !r.open && !r.gone && f.now > r.deadline+f.set.Rules.AnswerSlack {
			f.t.Fatalf("%v: no answer for %s by %v", f.now, id, r.deadline)
		}
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func plain() Settings {
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

// answerHealthChecks answers the health checks of the last step with the given load, and the ones that follow from it.
func (f *referee) answerHealthChecks(load func(ServerID) float64) {
	f.t.Helper()
	f.load = load
	for range 50 {
		var events []Event
		for _, a := range f.last {
			if p, ok := a.(HealthCheck); ok {
				events = append(events, HealthCheckResult{
					Server: p.Server, Outcome: Served,
					Report: []float64{load(p.Server), 10},
				})
			}
		}
		if len(events) == 0 {
			return
		}
		f.now += ms(1)
		f.step(events...)
	}
}
