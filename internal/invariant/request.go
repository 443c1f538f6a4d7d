package invariant

import (
	"time"

	"spurwinch/choice"
)

// AnswerSlack is how long after its deadline a request's final answer still counts.
const AnswerSlack = 500 * time.Millisecond

// RequestFacts are what is known of a request when it is read.
type RequestFacts struct {
	ID       string
	Class    choice.Class
	Deadline time.Time
	Attempts int // most that the settings allow
	// Standing says that the connection was open at its host before the node ran: it goes back to that host alone, as often as it takes.
	Standing bool
}

// Server is what is known of an attempt's host at the moment of a step.
type Server struct {
	ID, Zone string
	Cell     int
	Leaving  time.Time     // since when the node knows that it drains or is gone; zero: it serves
	Grace    time.Duration // for what is sent after that
	// SlowStart counts what this node sent the host since its start; nil: the host is warm.
	SlowStart *CallWindow
	Budget    float64 // calls that all nodes together may send it now in the budget's time; meaningful with SlowStart
}

// Request is one request of a client, from when it was read until its connection has ended.
type Request struct {
	RequestFacts
	monitor  *Monitor
	started  int
	out      bool // an attempt is out
	sentAt   time.Time
	sent     Server // of the attempt that is out
	mayHave  bool   // an earlier attempt may have run:
	ranAt    Server // there,
	ranSince time.Time
	answered bool
	gone     bool
	open     bool // the connection stands
}

// NewRequest begins to watch a request.
func (m *Monitor) NewRequest(f RequestFacts) *Request { return &Request{RequestFacts: f, monitor: m} }

// Adopted begins to watch an open connection that another process has served until now.
func (m *Monitor) Adopted(f RequestFacts) *Request {
	return &Request{RequestFacts: f, monitor: m, started: 1, answered: true, open: true}
}

// Start is asked before an attempt is begun. Unless the rule is Kept it must not be.
func (r *Request) Start(h Server, now time.Time) Rule {
	rule := r.mayTry(h, now)
	if rule == Holds && r.out {
		rule = SecondCopy
	}
	if rule == Holds && r.started >= r.Attempts && !r.Standing {
		rule = TooManyAttempts
	}
	if r.report(r.repeats(Start), rule, h.ID) != Holds {
		return rule
	}
	r.started++
	r.out, r.sentAt = true, time.Time{}
	return Holds
}

// Send is asked before the first byte of the attempt that is out. Unless the rule is Kept nothing must be written.
func (r *Request) Send(h Server, now time.Time) Rule {
	rule := r.mayTry(h, now)
	if rule == Holds && h.SlowStart != nil && !h.SlowStart.allow(h.Budget, now) {
		rule = SlowStart
	}
	if r.report(r.repeats(Send), rule, h.ID) == Holds {
		r.sentAt, r.sent = now, h
	}
	return rule
}

// mayTry is what forbids an attempt at whatever stage.
func (r *Request) mayTry(h Server, now time.Time) Rule {
	switch {
	case r.gone:
		return ClientGone
	case r.answered:
		return SecondAnswer
	case r.Standing:
		return Holds
	case !h.Leaving.IsZero() && now.Sub(h.Leaving) > h.Grace:
		return HostLeaving
	case r.mayHave && !r.mayRepeat(h, now):
		return UnsafeRepeat
	}
	return Holds
}

// mayRepeat says whether the class allows an attempt at a host after an earlier one may have run.
func (r *Request) mayRepeat(h Server, now time.Time) bool {
	switch r.Class.Idempotency {
	case choice.Idempotent:
		return true
	case choice.IdempotentByKey:
		return now.Sub(r.ranSince) <= r.Class.IdempotencyWindow && r.inScope(h)
	}
	return false
}

func (r *Request) inScope(h Server) bool {
	switch r.Class.IdempotencyScope {
	case choice.ScopeZone:
		return h.Zone == r.ranAt.Zone
	case choice.ScopeCell:
		return h.Zone == r.ranAt.Zone && h.Cell == r.ranAt.Cell
	}
	return true
}

// repeats is the step of an attempt, or Repeat where it is not the request's first.
func (r *Request) repeats(step Step) Step {
	if step == Start && r.started > 0 || step == Send && r.started > 1 {
		return Repeat
	}
	return step
}

// Ended says that the attempt that is out has ended; ran says that it may have run.
func (r *Request) Ended(ran bool) {
	if ran && !r.mayHave && !r.sentAt.IsZero() {
		r.mayHave, r.ranAt, r.ranSince = true, r.sent, r.sentAt
	}
	r.out = false
}

// Answer is asked before the node's own final answer. harmless says that the answer promises that trying again does no harm. An
// UnsafeRefusal must become a failure; after a SecondAnswer nothing may be said.
func (r *Request) Answer(harmless bool, now time.Time) Rule {
	rule := Holds
	switch {
	case r.answered || r.gone:
		rule = SecondAnswer
	case harmless && !r.mayRefuse():
		rule = UnsafeRefusal
	case now.After(r.Deadline.Add(AnswerSlack)):
		rule = LateAnswer
	}
	r.answered = true
	return r.report(Close, rule, "")
}

// mayRefuse says whether trying again elsewhere is harmless: an attempt that is out may run yet.
func (r *Request) mayRefuse() bool {
	if !r.mayHave && (!r.out || r.sentAt.IsZero()) {
		return true
	}
	return r.Class.Idempotency == choice.Idempotent || r.Class.Idempotency == choice.IdempotentByKey && r.Class.IdempotencyScope == choice.ScopeAll
}

// Served says that a host's own answer is passed on; stands, that the connection stays open.
func (r *Request) Served(stands bool, now time.Time) Rule {
	rule := Holds
	switch {
	case r.answered || r.gone:
		rule = SecondAnswer
	case !r.Standing && now.After(r.Deadline.Add(AnswerSlack)):
		rule = LateAnswer
	}
	r.answered, r.open = true, stands
	return r.report(Close, rule, r.sent.ID)
}

// Gone says that the client has left by itself, or broke the protocol.
func (r *Request) Gone() { r.gone = true }

// Ending says who ends a client's connection.
type Ending uint8

const (
	// ByClient: the client has ended it, or broke the protocol.
	ByClient Ending = iota
	// ByHost: its host has.
	ByHost
	// ByNode: the node does, after a last word of its own: an answer, or the request to move.
	ByNode
)

// Close is asked when the client's connection ends.
func (r *Request) Close(by Ending, moved bool) Rule {
	rule := Holds
	switch {
	case by == ByClient || r.gone:
	case !r.answered:
		rule = Unanswered
	case r.open && by == ByNode && !moved:
		rule = CutOff
	}
	r.open = false
	return r.report(Close, rule, r.sent.ID)
}

func (r *Request) report(step Step, rule Rule, host string) Rule {
	return r.monitor.check(Violation{Rule: rule, Step: step, Request: r.ID, Host: host})
}
