package invariant

import (
	"slices"
	"testing"
	"time"

	"spurwinch/choice"
)

var begin = time.Unix(1e9, 0)

func class(repeat choice.Idempotency, scope choice.Scope) choice.Class {
	return choice.Class{Name: "c", Idempotency: repeat, IdempotencyScope: scope, IdempotencyWindow: 2 * time.Second}
}

// history is a request's past and the step that breaks a rule, or none.
type history struct {
	name   string
	class  choice.Class
	before func(r *Request) // nil: nothing
	step   func(r *Request) Rule
	want   Rule
}

var (
	server      = Server{ID: "h", Zone: "a", Grace: 3 * time.Second}
	otherServer = Server{ID: "i", Zone: "b", Grace: 3 * time.Second}
	otherCell   = Server{ID: "h", Zone: "a", Cell: 1, Grace: 3 * time.Second}
	draining    = Server{ID: "h", Zone: "a", Grace: 3 * time.Second, DrainingSince: begin}
)

// ran is an attempt that may have run.
func ran(r *Request) {
	r.Start(server, begin)
	r.Send(server, begin)
	r.Ended(true)
}

// neverSent is an attempt of which no byte was sent.
func neverSent(r *Request) {
	r.Start(server, begin)
	r.Ended(true)
}

// attemptHistories are the shortest ones that break each rule of attempts, and the same without their last cause.
var attemptHistories = []history{
	{
		name: "first attempt", class: class(choice.NotIdempotent, choice.ScopeAll), want: Holds,
		step: func(r *Request) Rule { return r.Start(server, begin) },
	},
	{
		name: "after the answer", class: class(choice.Idempotent, choice.ScopeAll), want: SecondAnswer,
		before: func(r *Request) {
			r.Answer(true, begin)
		},
		step: func(r *Request) Rule { return r.Start(server, begin) },
	},
	{
		name: "answered twice", class: class(choice.Idempotent, choice.ScopeAll), want: SecondAnswer,
		before: func(r *Request) {
			r.Served(true, begin)
		},
		step: func(r *Request) Rule { return r.Answer(true, begin) },
	},
	{
		name: "after its client", class: class(choice.Idempotent, choice.ScopeAll), want: ClientGone,
		before: (*Request).Gone,
		step:   func(r *Request) Rule { return r.Start(server, begin) },
	},
	{
		name: "sent after its client", class: class(choice.Idempotent, choice.ScopeAll), want: ClientGone,
		before: func(r *Request) {
			r.Start(server, begin)
			r.Gone()
		},
		step: func(r *Request) Rule { return r.Send(server, begin) },
	},
	{
		name: "two at once", class: class(choice.Idempotent, choice.ScopeAll), want: ConcurrentAttempt,
		before: func(r *Request) {
			r.Start(server, begin)
		},
		step: func(r *Request) Rule { return r.Start(otherServer, begin) },
	},
	{
		name: "a third of two", class: class(choice.Idempotent, choice.ScopeAll), want: TooManyAttempts,
		before: func(r *Request) {
			ran(r)
			ran(r)
		},
		step: func(r *Request) Rule { return r.Start(server, begin) },
	},
	{
		name: "unsafe repeat", class: class(choice.NotIdempotent, choice.ScopeAll), want: UnsafeRetry,
		before: ran,
		step:   func(r *Request) Rule { return r.Start(otherServer, begin) },
	},
	{
		name: "unsafe, never written", class: class(choice.NotIdempotent, choice.ScopeAll), want: Holds,
		before: neverSent,
		step:   func(r *Request) Rule { return r.Start(otherServer, begin) },
	},
	{
		name: "keyed, in the window", class: class(choice.IdempotentByKey, choice.ScopeAll), want: Holds,
		before: ran,
		step:   func(r *Request) Rule { return r.Start(otherServer, begin.Add(2*time.Second)) },
	},
	{
		name: "keyed, past the window", class: class(choice.IdempotentByKey, choice.ScopeAll), want: UnsafeRetry,
		before: ran,
		step:   func(r *Request) Rule { return r.Start(otherServer, begin.Add(2*time.Second+1)) },
	},
	{
		name: "keyed, another zone", class: class(choice.IdempotentByKey, choice.ScopeZone), want: UnsafeRetry,
		before: ran,
		step:   func(r *Request) Rule { return r.Start(otherServer, begin) },
	},
	{
		name: "keyed, the same zone", class: class(choice.IdempotentByKey, choice.ScopeZone), want: Holds,
		before: ran,
		step:   func(r *Request) Rule { return r.Start(server, begin) },
	},
	{
		name: "keyed, another cell", class: class(choice.IdempotentByKey, choice.ScopeCell), want: UnsafeRetry,
		before: ran,
		step:   func(r *Request) Rule { return r.Start(otherCell, begin) },
	},
	{
		name: "in the grace", class: class(choice.Idempotent, choice.ScopeAll), want: Holds,
		step: func(r *Request) Rule { return r.Start(draining, begin.Add(3*time.Second)) },
	},
	{
		name: "past the grace", class: class(choice.Idempotent, choice.ScopeAll), want: ServerDraining,
		step: func(r *Request) Rule { return r.Start(draining, begin.Add(3*time.Second+1)) },
	},
	{
		name: "sent past the grace", class: class(choice.Idempotent, choice.ScopeAll), want: ServerDraining,
		before: func(r *Request) {
			r.Start(server, begin)
		},
		step: func(r *Request) Rule { return r.Send(draining, begin.Add(4*time.Second)) },
	},
}

// closeHistories are the shortest ones that break each rule of answers and closes, and the same without their last
// cause.
var closeHistories = []history{
	{
		name: "rejected, nothing ran", class: class(choice.NotIdempotent, choice.ScopeAll), want: Holds,
		before: neverSent,
		step:   func(r *Request) Rule { return r.Answer(true, begin) },
	},
	{
		name: "rejected, may have run", class: class(choice.NotIdempotent, choice.ScopeAll), want: UnsafeRejection,
		before: ran,
		step:   func(r *Request) Rule { return r.Answer(true, begin) },
	},
	{
		name: "rejected, may run yet", class: class(choice.NotIdempotent, choice.ScopeAll), want: UnsafeRejection,
		before: func(r *Request) {
			r.Start(server, begin)
			r.Send(server, begin)
		},
		step: func(r *Request) Rule { return r.Answer(true, begin) },
	},
	{
		name: "keyed in all, rejected", class: class(choice.IdempotentByKey, choice.ScopeAll), want: Holds,
		before: ran,
		step:   func(r *Request) Rule { return r.Answer(true, begin) },
	},
	{
		name: "keyed in a zone, rejected", class: class(choice.IdempotentByKey, choice.ScopeZone),
		want:   UnsafeRejection,
		before: ran,
		step:   func(r *Request) Rule { return r.Answer(true, begin) },
	},
	{
		name: "failed", class: class(choice.NotIdempotent, choice.ScopeAll), want: Holds,
		before: ran,
		step:   func(r *Request) Rule { return r.Answer(false, begin) },
	},
	{
		name: "late", class: class(choice.Idempotent, choice.ScopeAll), want: LateAnswer,
		step: func(r *Request) Rule { return r.Answer(true, begin.Add(10*time.Second+AnswerSlack+1)) },
	},
	{
		name: "just in time", class: class(choice.Idempotent, choice.ScopeAll), want: Holds,
		step: func(r *Request) Rule { return r.Answer(true, begin.Add(10*time.Second+AnswerSlack)) },
	},
	{
		name: "closed without an answer", class: class(choice.Idempotent, choice.ScopeAll), want: Unanswered,
		step: func(r *Request) Rule { return r.Close(ByNode, false) },
	},
	{
		name: "closed by its client", class: class(choice.Idempotent, choice.ScopeAll), want: Holds,
		step: func(r *Request) Rule { return r.Close(ByClient, false) },
	},
	{
		name: "closed with its server, no answer", class: class(choice.Idempotent, choice.ScopeAll),
		want: Unanswered,
		step: func(r *Request) Rule { return r.Close(ByServer, false) },
	},
	{
		name: "closed after the answer", class: class(choice.Idempotent, choice.ScopeAll), want: Holds,
		before: func(r *Request) {
			r.Answer(true, begin)
		},
		step: func(r *Request) Rule { return r.Close(ByNode, false) },
	},
	{
		name: "an open connection, cut off", class: class(choice.Idempotent, choice.ScopeAll),
		want: ClosedWithoutMigration,
		before: func(r *Request) {
			r.Served(true, begin)
		},
		step: func(r *Request) Rule { return r.Close(ByNode, false) },
	},
	{
		name: "an open connection, migrated", class: class(choice.Idempotent, choice.ScopeAll), want: Holds,
		before: func(r *Request) {
			r.Served(true, begin)
		},
		step: func(r *Request) Rule { return r.Close(ByNode, true) },
	},
	{
		name: "an open connection, ended by a server", class: class(choice.Idempotent, choice.ScopeAll),
		want: Holds,
		before: func(r *Request) {
			r.Served(true, begin)
		},
		step: func(r *Request) Rule { return r.Close(ByServer, false) },
	},
}

// TestRules has each rule broken by the shortest history that breaks it, and checks that the same history without its
// last cause breaks none.
func TestRules(t *testing.T) {
	for _, test := range slices.Concat(attemptHistories, closeHistories) {
		t.Run(test.name, func(t *testing.T) {
			var violations []Violation
			monitor := &Monitor{OnViolation: func(v Violation) { violations = append(violations, v) }}
			request := monitor.NewRequest(RequestFacts{
				ID: "q", Class: test.class,
				Deadline: begin.Add(10 * time.Second), MaxAttempts: 2,
			})
			if test.before != nil {
				test.before(request)
			}
			if len(violations) > 0 {
				t.Errorf("violations before the step: %v, want none", violations)
			}
			got := test.step(request)
			if got != test.want {
				t.Errorf("the step gives %v, want %v", got, test.want)
			}
			if (got == Holds) != (len(violations) == 0) || monitor.Violations() != uint64(len(violations)) {
				t.Errorf("the step gives %v with violations %v, %d counted; want all or none",
					got, violations, monitor.Violations())
			}
		})
	}
}

// TestAlreadyOpen holds that a connection that was open before the run goes back to its server as often as it takes,
// but not for nobody.
func TestAlreadyOpen(t *testing.T) {
	monitor := &Monitor{}
	request := monitor.NewRequest(RequestFacts{ID: "q", MaxAttempts: 1, AlreadyOpen: true, Deadline: begin})
	for attempt := range 5 {
		if rule := request.Start(Server{}, begin); rule != Holds {
			t.Fatalf("attempt %d gives %v, want %v", attempt, rule, Holds)
		}
		request.Ended(false)
	}
	request.Gone()
	if rule := request.Start(Server{}, begin); rule != ClientGone {
		t.Errorf("an attempt for nobody gives %v, want %v", rule, ClientGone)
	}
}

// TestSlowStart has one node send a server in slow start all that the budget of all nodes allows, and one call more.
func TestSlowStart(t *testing.T) {
	for _, budget := range []float64{0, 1, 9, 29, 30, 100} {
		window := &CallWindow{Window: 2 * time.Second}
		most := int(MaxSlowStartCalls(budget))
		for i := range most {
			if !window.allow(budget, begin.Add(time.Duration(i)*time.Millisecond)) {
				t.Fatalf("budget %v: call %d of %d is forbidden, want it allowed", budget, i+1, most)
			}
		}
		if window.allow(budget, begin.Add(2*time.Second)) {
			t.Errorf("budget %v: call %d of %d is allowed, want it forbidden", budget, most+1, most)
		}
		if !window.allow(budget, begin.Add(2*time.Second+time.Millisecond)) {
			t.Errorf("budget %v: a call is forbidden when the first is out of the window, want it allowed", budget)
		}
	}
}

// TestSlowStartOfAttempts has an attempt at a server in slow start whose window is full: it may start, but not be sent.
func TestSlowStartOfAttempts(t *testing.T) {
	request := (&Monitor{}).NewRequest(RequestFacts{ID: "q", MaxAttempts: 1, Deadline: begin.Add(time.Second)})
	warming := Server{ID: "h", SlowStart: &CallWindow{Window: time.Second}, Budget: -1}
	if rule := request.Start(warming, begin); rule != Holds {
		t.Fatalf("the start gives %v, want %v", rule, Holds)
	}
	warming.SlowStart.calls = make([]call, 1000)
	for i := range warming.SlowStart.calls {
		warming.SlowStart.calls[i].at = begin
	}
	if rule := request.Send(warming, begin); rule != SlowStart {
		t.Errorf("the send gives %v, want %v", rule, SlowStart)
	}
}

// TestFigures holds the names under which steps and rules are reported, and that each rule has one.
func TestFigures(t *testing.T) {
	monitor := &Monitor{}
	monitor.NewRequest(RequestFacts{}).Close(ByNode, false)
	seen := map[string]uint64{}
	monitor.Each(func(kind, name string, count uint64) {
		if name == "" {
			t.Errorf("a figure of kind %s has no name, want one", kind)
		}
		seen[kind+" "+name] = count
	})
	if len(seen) != int(stepCount)+int(ruleCount)-1 {
		t.Errorf("%d figures, want one for each step and each rule", len(seen))
	}
	if seen["checked close"] != 1 || seen["broken unanswered"] != 1 || seen["broken cut_off"] != 0 {
		t.Errorf("figures %v, want one checked close and one broken unanswered", seen)
	}
}
