package invariant

import (
	"time"

	"spurwinch/choice"
)

// AnswerSlack is how long after a request's deadline a final answer still counts as on time.
const AnswerSlack = 500 * time.Millisecond

// RequestFacts holds what is known about a request when it is read.
type RequestFacts struct {
	ID          string
	Class       choice.Class
	Deadline    time.Time
	MaxAttempts int
	// AlreadyOpen means that the connection was open at its server before the node started. All attempts then go to
	// that server, and their number is not limited.
	AlreadyOpen bool
}

// Server holds what is known about an attempt's server at the time of a step.
type Server struct {
	ID            string
	Zone          string
	Cell          int
	DrainingSince time.Time     // when the node learned that the server drains or is gone; zero: it serves
	Grace         time.Duration // how long after DrainingSince attempts may still be sent
	// SlowStart counts the calls of this node to the server since the server started; nil: the server is warm.
	SlowStart *CallWindow
	Budget    float64 // calls that all nodes together may now send within SlowStart's window; unused if that is nil
}

// Request is one request of a client, from the time it is read until its connection ends.
type Request struct {
	RequestFacts
	monitor  *Monitor
	attempts int // number of attempts started so far

	inFlight bool      // an attempt is in flight
	sentAt   time.Time // when the first byte of the attempt in flight was sent; zero: not yet
	sentTo   Server    // server of the last attempt whose first byte was sent

	mayHaveRun     bool      // an earlier attempt may have run
	firstRunServer Server    // server of the first of these attempts
	firstRunSentAt time.Time // when the first byte of the first of these attempts was sent

	answered   bool // the request has its final answer
	clientGone bool
	open       bool // the connection stays open after the answer
}

// NewRequest returns a Request that the monitor checks from now on.
func (m *Monitor) NewRequest(facts RequestFacts) *Request {
	return &Request{RequestFacts: facts, monitor: m}
}

// Adopted returns a Request for an open connection that another process has served until now.
func (m *Monitor) Adopted(facts RequestFacts) *Request {
	return &Request{RequestFacts: facts, monitor: m, attempts: 1, answered: true, open: true}
}

// Start must be called before an attempt starts. The attempt must not start unless the rule is NoViolation.
func (r *Request) Start(server Server, now time.Time) Rule {
	rule := r.attemptRule(server, now)
	if rule == NoViolation && r.inFlight {
		rule = ConcurrentAttempt
	}
	if rule == NoViolation && r.attempts >= r.MaxAttempts && !r.AlreadyOpen {
		rule = TooManyAttempts
	}
	if r.check(r.attemptStep(Start), rule, server.ID) != NoViolation {
		return rule
	}
	r.attempts++
	r.inFlight = true
	r.sentAt = time.Time{}
	return NoViolation
}

// Send must be called before the first byte of the attempt in flight is sent. Nothing may be sent unless the rule is
// NoViolation.
func (r *Request) Send(server Server, now time.Time) Rule {
	rule := r.attemptRule(server, now)
	if rule == NoViolation && server.SlowStart != nil && !server.SlowStart.allow(server.Budget, now) {
		rule = SlowStart
	}
	if r.check(r.attemptStep(Send), rule, server.ID) == NoViolation {
		r.sentAt = now
		r.sentTo = server
	}
	return rule
}

// attemptRule returns the rule that forbids an attempt at any stage, or NoViolation.
func (r *Request) attemptRule(server Server, now time.Time) Rule {
	switch {
	case r.clientGone:
		return ClientGone
	case r.answered:
		return SecondAnswer
	case r.AlreadyOpen:
		return NoViolation
	case !server.DrainingSince.IsZero() && now.Sub(server.DrainingSince) > server.Grace:
		return ServerDraining
	case r.mayHaveRun && !r.mayRetry(server, now):
		return UnsafeRetry
	}
	return NoViolation
}

// mayRetry reports whether the class allows an attempt at a server after an earlier attempt may have run.
func (r *Request) mayRetry(server Server, now time.Time) bool {
	switch r.Class.Idempotency {
	case choice.Idempotent:
		return true
	case choice.IdempotentByKey:
		return now.Sub(r.firstRunSentAt) <= r.Class.IdempotencyWindow && r.inScope(server)
	default: // choice.NotIdempotent
		return false
	}
}

// inScope reports whether a server shares the idempotency keys of the server where the first attempt may have run.
func (r *Request) inScope(server Server) bool {
	switch r.Class.IdempotencyScope {
	case choice.ScopeZone:
		return server.Zone == r.firstRunServer.Zone
	case choice.ScopeCell:
		return server.Zone == r.firstRunServer.Zone && server.Cell == r.firstRunServer.Cell
	default: // choice.ScopeAll
		return true
	}
}

// attemptStep returns step, or Repeat if the attempt is not the request's first.
func (r *Request) attemptStep(step Step) Step {
	if step == Start && r.attempts > 0 || step == Send && r.attempts > 1 {
		return Repeat
	}
	return step
}

// Ended records that the attempt in flight has ended. ran means that the attempt may have run at its server.
func (r *Request) Ended(ran bool) {
	if ran && !r.mayHaveRun && !r.sentAt.IsZero() {
		r.mayHaveRun = true
		r.firstRunServer = r.sentTo
		r.firstRunSentAt = r.sentAt
	}
	r.inFlight = false
}

// Answer must be called before the node sends its own final answer. harmless means that the answer promises that a
// retry does no harm. If the rule is UnsafeRejection, the node must answer with a failure instead. If the rule is
// SecondAnswer, the node must not answer at all.
func (r *Request) Answer(harmless bool, now time.Time) Rule {
	rule := NoViolation
	switch {
	case r.answered || r.clientGone:
		rule = SecondAnswer
	case harmless && !r.mayReject():
		rule = UnsafeRejection
	case r.isLate(now):
		rule = LateAnswer
	}
	r.answered = true
	return r.check(Close, rule, "")
}

// mayReject reports whether the node may promise that a retry elsewhere is harmless. An attempt in flight whose first
// byte was sent may still run at its server.
func (r *Request) mayReject() bool {
	mayStillRun := r.inFlight && !r.sentAt.IsZero()
	if !r.mayHaveRun && !mayStillRun {
		return true
	}
	return r.Class.Idempotency == choice.Idempotent ||
		r.Class.Idempotency == choice.IdempotentByKey && r.Class.IdempotencyScope == choice.ScopeAll
}

// Served must be called when a server's own answer is forwarded. open means that the connection stays open.
func (r *Request) Served(open bool, now time.Time) Rule {
	rule := NoViolation
	switch {
	case r.answered || r.clientGone:
		rule = SecondAnswer
	case !r.AlreadyOpen && r.isLate(now):
		rule = LateAnswer
	}
	r.answered = true
	r.open = open
	return r.check(Close, rule, r.sentTo.ID)
}

// isLate reports whether it is too late for the final answer.
func (r *Request) isLate(now time.Time) bool { return now.After(r.Deadline.Add(AnswerSlack)) }

// Gone records that the client has left by itself, or broke the protocol.
func (r *Request) Gone() { r.clientGone = true }

// ClosedBy identifies who ends a client's connection.
type ClosedBy uint8

const (
	// ByClient means that the client ended it, or broke the protocol.
	ByClient ClosedBy = iota
	// ByServer means that the server ended it.
	ByServer
	// ByNode means that the node ended it, after a last message of its own: an answer or a request to reconnect.
	ByNode
)

// Close must be called when the client's connection ends. migrated means that the node asked the client to reconnect.
func (r *Request) Close(by ClosedBy, migrated bool) Rule {
	rule := NoViolation
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

// check passes a step of the request to the monitor, which counts it, and returns the rule.
func (r *Request) check(step Step, rule Rule, server string) Rule {
	return r.monitor.check(Violation{Rule: rule, Step: step, Request: r.ID, Server: server})
}
