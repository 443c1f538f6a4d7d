package invariant

import (
	"slices"
	"testing"
	"time"

	"spurwinch/choice"
)

var startTime = time.Unix(1e9, 0)

// class returns a class whose idempotency keys are valid for 2 s.
func class(idempotency choice.Idempotency, scope choice.Scope) choice.Class {
	return choice.Class{
		Name: "c", Idempotency: idempotency, IdempotencyScope: scope, IdempotencyWindow: 2 * time.Second,
	}
}

// history is a sequence of earlier steps of a request, and a last step that breaks a rule or none.
type history struct {
	name   string
	class  choice.Class
	before func(r *Request) // earlier steps; nil: none
	step   func(r *Request) Rule
	want   Rule
}

var (
	server      = Server{ID: "h", Zone: "a", Grace: 3 * time.Second}
	otherServer = Server{ID: "i", Zone: "b", Grace: 3 * time.Second}
	otherCell   = Server{ID: "h", Zone: "a", Cell: 1, Grace: 3 * time.Second}
	draining    = Server{ID: "h", Zone: "a", Grace: 3 * time.Second, DrainingSince: startTime}
)

// attemptMayHaveRun makes an attempt that is sent and ends, and that may have run at its server.
func attemptMayHaveRun(r *Request) {
	r.Start(server, startTime)
	r.Send(server, startTime)
	r.Ended(true)
}

// attemptNeverSent makes an attempt that ends before its first byte is sent, and that therefore can't have run.
func attemptNeverSent(r *Request) {
	r.Start(server, startTime)
	r.Ended(true)
}

// attemptHistories holds the shortest histories that break each rule about attempts, and the same histories without the
// last cause.
var attemptHistories = []history{
	{
		name: "first attempt", class: class(choice.NotIdempotent, choice.ScopeAll), want: NoViolation,
		step: func(r *Request) Rule { return r.Start(server, startTime) },
	},
	{
		name: "started after the answer", class: class(choice.Idempotent, choice.ScopeAll), want: SecondAnswer,
		before: func(r *Request) {
			r.Answer(true, startTime)
		},
		step: func(r *Request) Rule { return r.Start(server, startTime) },
	},
	{
		name: "answered twice", class: class(choice.Idempotent, choice.ScopeAll), want: SecondAnswer,
		before: func(r *Request) {
			r.Served(true, startTime)
		},
		step: func(r *Request) Rule { return r.Answer(true, startTime) },
	},
	{
		name: "started after the client left", class: class(choice.Idempotent, choice.ScopeAll), want: ClientGone,
		before: (*Request).Gone,
		step:   func(r *Request) Rule { return r.Start(server, startTime) },
	},
	{
		name: "sent after the client left", class: class(choice.Idempotent, choice.ScopeAll), want: ClientGone,
		before: func(r *Request) {
			r.Start(server, startTime)
			r.Gone()
		},
		step: func(r *Request) Rule { return r.Send(server, startTime) },
	},
	{
		name: "two concurrent attempts", class: class(choice.Idempotent, choice.ScopeAll), want: ConcurrentAttempt,
		before: func(r *Request) {
			r.Start(server, startTime)
		},
		step: func(r *Request) Rule { return r.Start(otherServer, startTime) },
	},
	{
		name: "third attempt of at most two", class: class(choice.Idempotent, choice.ScopeAll), want: TooManyAttempts,
		before: func(r *Request) {
			attemptMayHaveRun(r)
			attemptMayHaveRun(r)
		},
		step: func(r *Request) Rule { return r.Start(server, startTime) },
	},
	{
		name: "unsafe retry", class: class(choice.NotIdempotent, choice.ScopeAll), want: UnsafeRetry,
		before: attemptMayHaveRun,
		step:   func(r *Request) Rule { return r.Start(otherServer, startTime) },
	},
	{
		name: "unsafe, but never sent", class: class(choice.NotIdempotent, choice.ScopeAll), want: NoViolation,
		before: attemptNeverSent,
		step:   func(r *Request) Rule { return r.Start(otherServer, startTime) },
	},
	{
		name: "keyed, within the window", class: class(choice.IdempotentByKey, choice.ScopeAll), want: NoViolation,
		before: attemptMayHaveRun,
		step:   func(r *Request) Rule { return r.Start(otherServer, startTime.Add(2*time.Second)) },
	},
	{
		name: "keyed, after the window", class: class(choice.IdempotentByKey, choice.ScopeAll), want: UnsafeRetry,
		before: attemptMayHaveRun,
		step:   func(r *Request) Rule { return r.Start(otherServer, startTime.Add(2*time.Second+1)) },
	},
	{
		name: "keyed, another zone", class: class(choice.IdempotentByKey, choice.ScopeZone), want: UnsafeRetry,
		before: attemptMayHaveRun,
		step:   func(r *Request) Rule { return r.Start(otherServer, startTime) },
	},
	{
		name: "keyed, the same zone", class: class(choice.IdempotentByKey, choice.ScopeZone), want: NoViolation,
		before: attemptMayHaveRun,
		step:   func(r *Request) Rule { return r.Start(server, startTime) },
	},
	{
		name: "keyed, another cell", class: class(choice.IdempotentByKey, choice.ScopeCell), want: UnsafeRetry,
		before: attemptMayHaveRun,
		step:   func(r *Request) Rule { return r.Start(otherCell, startTime) },
	},
	{
		name: "within the grace period", class: class(choice.Idempotent, choice.ScopeAll), want: NoViolation,
		step: func(r *Request) Rule { return r.Start(draining, startTime.Add(3*time.Second)) },
	},
	{
		name: "after the grace period", class: class(choice.Idempotent, choice.ScopeAll), want: ServerDraining,
		step: func(r *Request) Rule { return r.Start(draining, startTime.Add(3*time.Second+1)) },
	},
	{
		name: "sent after the grace period", class: class(choice.Idempotent, choice.ScopeAll), want: ServerDraining,
		before: func(r *Request) {
			r.Start(server, startTime)
		},
		step: func(r *Request) Rule { return r.Send(draining, startTime.Add(4*time.Second)) },
	},
}

// closeHistories holds the shortest histories that break each rule about answers and closes, and the same histories
// without the last cause.
var closeHistories = []history{
	{
		name: "rejected, nothing ran", class: class(choice.NotIdempotent, choice.ScopeAll), want: NoViolation,
		before: attemptNeverSent,
		step:   func(r *Request) Rule { return r.Answer(true, startTime) },
	},
	{
		name: "rejected, may have run", class: class(choice.NotIdempotent, choice.ScopeAll), want: UnsafeRejection,
		before: attemptMayHaveRun,
		step:   func(r *Request) Rule { return r.Answer(true, startTime) },
	},
	{
		name: "rejected, may still run", class: class(choice.NotIdempotent, choice.ScopeAll), want: UnsafeRejection,
		before: func(r *Request) {
			r.Start(server, startTime)
			r.Send(server, startTime)
		},
		step: func(r *Request) Rule { return r.Answer(true, startTime) },
	},
	{
		name: "keyed in all zones, rejected", class: class(choice.IdempotentByKey, choice.ScopeAll), want: NoViolation,
		before: attemptMayHaveRun,
		step:   func(r *Request) Rule { return r.Answer(true, startTime) },
	},
	{
		name: "keyed in a zone, rejected", class: class(choice.IdempotentByKey, choice.ScopeZone),
		want:   UnsafeRejection,
		before: attemptMayHaveRun,
		step:   func(r *Request) Rule { return r.Answer(true, startTime) },
	},
	{
		name: "answered with a failure", class: class(choice.NotIdempotent, choice.ScopeAll), want: NoViolation,
		before: attemptMayHaveRun,
		step:   func(r *Request) Rule { return r.Answer(false, startTime) },
	},
	{
		name: "answered late", class: class(choice.Idempotent, choice.ScopeAll), want: LateAnswer,
		step: func(r *Request) Rule { return r.Answer(true, startTime.Add(10*time.Second+AnswerSlack+1)) },
	},
	{
		name: "answered just in time", class: class(choice.Idempotent, choice.ScopeAll), want: NoViolation,
		step: func(r *Request) Rule { return r.Answer(true, startTime.Add(10*time.Second+AnswerSlack)) },
	},
	{
		name: "closed without an answer", class: class(choice.Idempotent, choice.ScopeAll), want: Unanswered,
		step: func(r *Request) Rule { return r.Close(ByNode, false) },
	},
	{
		name: "closed by the client", class: class(choice.Idempotent, choice.ScopeAll), want: NoViolation,
		step: func(r *Request) Rule { return r.Close(ByClient, false) },
	},
	{
		name: "closed by the server without an answer", class: class(choice.Idempotent, choice.ScopeAll),
		want: Unanswered,
		step: func(r *Request) Rule { return r.Close(ByServer, false) },
	},
	{
		name: "closed after the answer", class: class(choice.Idempotent, choice.ScopeAll), want: NoViolation,
		before: func(r *Request) {
			r.Answer(true, startTime)
		},
		step: func(r *Request) Rule { return r.Close(ByNode, false) },
	},
	{
		name: "open connection closed without migration", class: class(choice.Idempotent, choice.ScopeAll),
		want: ClosedWithoutMigration,
		before: func(r *Request) {
			r.Served(true, startTime)
		},
		step: func(r *Request) Rule { return r.Close(ByNode, false) },
	},
	{
		name: "open connection migrated", class: class(choice.Idempotent, choice.ScopeAll), want: NoViolation,
		before: func(r *Request) {
			r.Served(true, startTime)
		},
		step: func(r *Request) Rule { return r.Close(ByNode, true) },
	},
	{
		name: "open connection closed by the server", class: class(choice.Idempotent, choice.ScopeAll),
		want: NoViolation,
		before: func(r *Request) {
			r.Served(true, startTime)
		},
		step: func(r *Request) Rule { return r.Close(ByServer, false) },
	},
}

// TestRulesByShortestHistory checks that the shortest history that breaks a rule breaks that rule, and that the same
// history without its last cause breaks none.
func TestRulesByShortestHistory(t *testing.T) {
	for _, test := range slices.Concat(attemptHistories, closeHistories) {
		t.Run(test.name, func(t *testing.T) {
			var violations []Violation
			monitor := &Monitor{OnViolation: func(v Violation) { violations = append(violations, v) }}
			request := monitor.NewRequest(RequestFacts{
				ID: "q", Class: test.class,
				Deadline: startTime.Add(10 * time.Second), MaxAttempts: 2,
			})
			if test.before != nil {
				test.before(request)
			}
			if len(violations) > 0 {
				t.Errorf("before the step: got violations %v, want none", violations)
			}
			got := test.step(request)
			if got != test.want {
				t.Errorf("step: got rule %v, want %v", got, test.want)
			}
			if (got == NoViolation) != (len(violations) == 0) || monitor.Violations() != uint64(len(violations)) {
				t.Errorf("step: got rule %v, violations %v and count %d, want all three to agree",
					got, violations, monitor.Violations())
			}
		})
	}
}

// TestAlreadyOpenHasNoAttemptLimit checks that a connection that was open before the node started may be retried at its
// server any number of times, but not after its client has left.
func TestAlreadyOpenHasNoAttemptLimit(t *testing.T) {
	monitor := &Monitor{}
	request := monitor.NewRequest(RequestFacts{ID: "q", MaxAttempts: 1, AlreadyOpen: true, Deadline: startTime})
	for attempt := range 5 {
		if rule := request.Start(Server{}, startTime); rule != NoViolation {
			t.Fatalf("Start of attempt %d: got %v, want %v", attempt, rule, NoViolation)
		}
		request.Ended(false)
	}
	request.Gone()
	if rule := request.Start(Server{}, startTime); rule != ClientGone {
		t.Errorf("Start after the client left: got %v, want %v", rule, ClientGone)
	}
}

// TestSlowStartAllowsBudgetOfAllNodes checks that one node may send a server in slow start all calls that the budget of
// all nodes allows, but no further call until the first one has left the window.
func TestSlowStartAllowsBudgetOfAllNodes(t *testing.T) {
	for _, budget := range []float64{0, 1, 9, 29, 30, 100} {
		window := &CallWindow{Window: 2 * time.Second}
		maxCalls := int(MaxSlowStartCalls(budget))
		for i := range maxCalls {
			if !window.allow(budget, startTime.Add(time.Duration(i)*time.Millisecond)) {
				t.Fatalf("allow(%v): got call %d of %d forbidden, want it allowed", budget, i+1, maxCalls)
			}
		}
		if window.allow(budget, startTime.Add(2*time.Second)) {
			t.Errorf("allow(%v): got call %d of %d allowed, want it forbidden", budget, maxCalls+1, maxCalls)
		}
		if !window.allow(budget, startTime.Add(2*time.Second+time.Millisecond)) {
			t.Errorf("allow(%v) after the first call left the window: got the call forbidden, want it allowed", budget)
		}
	}
}

// TestSlowStartForbidsSendInFullWindow checks that an attempt at a server in slow start may start, but that its first
// byte may not be sent once the window is full.
func TestSlowStartForbidsSendInFullWindow(t *testing.T) {
	request := (&Monitor{}).NewRequest(RequestFacts{ID: "q", MaxAttempts: 1, Deadline: startTime.Add(time.Second)})
	warmingUp := Server{ID: "h", SlowStart: &CallWindow{Window: time.Second}, Budget: -1}
	if rule := request.Start(warmingUp, startTime); rule != NoViolation {
		t.Fatalf("Start: got %v, want %v", rule, NoViolation)
	}
	warmingUp.SlowStart.calls = make([]call, 1000)
	for i := range warmingUp.SlowStart.calls {
		warmingUp.SlowStart.calls[i].at = startTime
	}
	if rule := request.Send(warmingUp, startTime); rule != SlowStart {
		t.Errorf("Send: got %v, want %v", rule, SlowStart)
	}
}

// TestCountsHaveNames checks that Each reports every step and every rule under a name, and with the right counts.
func TestCountsHaveNames(t *testing.T) {
	monitor := &Monitor{}
	monitor.NewRequest(RequestFacts{}).Close(ByNode, false)
	seen := map[string]uint64{}
	monitor.Each(func(kind, name string, count uint64) {
		if name == "" {
			t.Errorf("Each: got a count of kind %s without a name, want a name", kind)
		}
		seen[kind+" "+name] = count
	})
	if len(seen) != int(stepCount)+int(ruleCount)-1 {
		t.Errorf("Each: got %d counts, want one for each step and each rule", len(seen))
	}
	if seen["checked close"] != 1 || seen["broken unanswered"] != 1 || seen["broken cut_off"] != 0 {
		t.Errorf("Each: got %v, want one checked close, one broken unanswered and no broken cut_off", seen)
	}
}
