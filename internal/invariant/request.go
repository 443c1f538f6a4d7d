package invariant

import (
	"time"

	"spurwinch/choice"
)

// AnswerSlack is how long after its deadline a request's final answer still counts.
const AnswerSlack = 500 * time.Millisecond

// RequestFacts are what is known of a request when it is read.
type RequestFacts struct {
	ID          string
	Class       choice.Class
	Deadline    time.Time
	MaxAttempts int
	// AlreadyOpen says that the connection was open at its server before the node ran: it goes back to that server
	// alone, as often as it takes.
	AlreadyOpen bool
}

// Server is what is known of an attempt's server at the moment of a step.
type Server struct {
	ID            string
	Zone          string
	Cell          int
	DrainingSince time.Time     // when the node learned that it drains or is gone; zero: it serves
	Grace         time.Duration // for what is sent after that
	// SlowStart counts what this node sent the server since its start; nil: the server is warm.
	SlowStart *CallWindow
	Budget    float64 // calls that all nodes together may send it now within SlowStart's window; without one: unused
}

// Request is one request of a client, from when it was read until its connection has ended.
type Request struct {
	RequestFacts
	monitor  *Monitor
	attempts int // begun so far

	inFlight bool      // an attempt is
	sentAt   time.Time // when its first byte went out; zero: it did not yet
	sentTo   Server

	mayHaveRun bool // an earlier attempt may have run, the first of them as follows
	ranAt      Server
	ranSince   time.Time

	answered   bool // it has its final answer
	clientGone bool
	open       bool // the connection is established
}

// NewRequest begins to watch a request.
func (m *Monitor) NewRequest(facts RequestFacts) *Request {
	return &Request{RequestFacts: facts, monitor: m}
}

// Adopted begins to watch an open connection that another process has served until now.
func (m *Monitor) Adopted(facts RequestFacts) *Request {
	return &Request{RequestFacts: facts, monitor: m, attempts: 1, answered: true, open: true}
}

// Start is called before an attempt is begun. Unless the rule is Holds it must not be.
func (r *Request) Start(server Server, now time.Time) Rule {
	rule := r.attemptRule(server, now)
	if rule == Holds && r.inFlight {
		rule = ConcurrentAttempt
	}
	if rule == Holds && r.attempts >= r.MaxAttempts && !r.AlreadyOpen {
		rule = TooManyAttempts
	}
	if r.check(r.stepOfAttempt(Start), rule, server.ID) != Holds {
		return rule
	}
	r.attempts++
	r.inFlight = true
	r.sentAt = time.Time{}
	return Holds
}

// Send is called before the first byte of the attempt in flight. Unless the rule is Holds nothing must be written.
func (r *Request) Send(server Server, now time.Time) Rule {
	rule := r.attemptRule(server, now)
	if rule == Holds && server.SlowStart != nil && !server.SlowStart.allow(server.Budget, now) {
		rule = SlowStart
	}
	if r.check(r.stepOfAttempt(Send), rule, server.ID) == Holds {
		r.sentAt = now
		r.sentTo = server
	}
	return rule
}

// attemptRule is the rule that forbids an attempt at whatever stage.
func (r *Request) attemptRule(server Server, now time.Time) Rule {
	switch {
	case r.clientGone:
		return ClientGone
	case r.answered:
		return SecondAnswer
	case r.AlreadyOpen:
		return Holds
	case !server.DrainingSince.IsZero() && now.Sub(server.DrainingSince) > server.Grace:
		return ServerDraining
	case r.mayHaveRun && !r.mayRetry(server, now):
		return UnsafeRetry
	}
	return Holds
}

// mayRetry reports whether the class allows an attempt at a server after an earlier one may have run.
func (r *Request) mayRetry(server Server, now time.Time) bool {
	switch r.Class.Idempotency {
	case choice.Idempotent:
		return true
	case choice.IdempotentByKey:
		return now.Sub(r.ranSince) <= r.Class.IdempotencyWindow && r.inScope(server)
	default: // choice.NotIdempotent
		return false
	}
}

// inScope reports whether a server shares the idempotency keys of the one where an attempt may have run.
func (r *Request) inScope(server Server) bool {
	switch r.Class.IdempotencyScope {
	case choice.ScopeZone:
		return server.Zone == r.ranAt.Zone
	case choice.ScopeCell:
		return server.Zone == r.ranAt.Zone && server.Cell == r.ranAt.Cell
	default: // choice.ScopeAll
		return true
	}
}

// stepOfAttempt is the step of an attempt, or Repeat where it is not the request's first.
func (r *Request) stepOfAttempt(step Step) Step {
	if step == Start && r.attempts > 0 || step == Send && r.attempts > 1 {
		return Repeat
	}
	return step
}

// Ended says that the attempt in flight has ended; ran says that it may have run.
func (r *Request) Ended(ran bool) {
	if ran && !r.mayHaveRun && !r.sentAt.IsZero() {
		r.mayHaveRun = true
		r.ranAt = r.sentTo
		r.ranSince = r.sentAt
	}
	r.inFlight = false
}

// Answer is called before the node's own final answer. harmless says that the answer promises that a retry does no
// harm. An UnsafeRejection must become a failure; after a SecondAnswer nothing may be said.
func (r *Request) Answer(harmless bool, now time.Time) Rule {
	rule := Holds
	switch {
	case r.answered || r.clientGone:
		rule = SecondAnswer
	case harmless && !r.mayReject():
		rule = UnsafeRejection
	case r.late(now):
		rule = LateAnswer
	}
	r.answered = true
	return r.check(Close, rule, "")
}

// mayReject reports whether a retry elsewhere is harmless: an attempt in flight may run yet.
func (r *Request) mayReject() bool {
	mayRunYet := r.inFlight && !r.sentAt.IsZero()
	if !r.mayHaveRun && !mayRunYet {
		return true
	}
	return r.Class.Idempotency == choice.Idempotent ||
		r.Class.Idempotency == choice.IdempotentByKey && r.Class.IdempotencyScope == choice.ScopeAll
}

// Served says that a server's own answer is passed on; open, that the connection stays open.
func (r *Request) Served(open bool, now time.Time) Rule {
	rule := Holds
	switch {
	case r.answered || r.clientGone:
		rule = SecondAnswer
	case !r.AlreadyOpen && r.late(now):
		rule = LateAnswer
	}
	r.answered = true
	r.open = open
	return r.check(Close, rule, r.sentTo.ID)
}

// late reports whether it is too late for the final answer.
func (r *Request) late(now time.Time) bool { return now.After(r.Deadline.Add(AnswerSlack)) }

// Gone says that the client has left by itself, or broke the protocol.
func (r *Request) Gone() { r.clientGone = true }

// Ending says who ends a client's connection.
type Ending uint8

const (
	// ByClient says that the client has ended it, or broke the protocol.
	ByClient Ending = iota
	// ByServer says that its server has.
	ByServer
	// ByNode says that the node does, after a last message of its own: an answer, or the request to reconnect.
	ByNode
)

// Close is called when the client's connection ends; migrated says that the client was asked to reconnect.
func (r *Request) Close(by Ending, migrated bool) Rule {
	rule := Holds
	switch {
	case by == ByClient || r.clientGone:
	case !r.answered:
		rule = Unanswered
	case r.open && by == ByNode && !migrated:
		rule = ClosedWithoutMigration
	}
	r.open = false
	return r.check(Close, rule, r.sentTo.ID)
}

// check has the monitor count a step of the request.
func (r *Request) check(step Step, rule Rule, server string) Rule {
	return r.monitor.check(Violation{Rule: rule, Step: step, Request: r.ID, Server: server})
}
