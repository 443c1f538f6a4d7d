package edge

import (
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"
)

// openAtRetryInterval is the time between attempts at the server of a connection that was open before the node started.
const openAtRetryInterval = 250 * time.Millisecond

// Attempt is one upstream request. The front end reports its progress by calling Connected, then Begin, Written, either
// Established or Commit, and finally Ended with the attempt's one outcome.
type Attempt struct {
	request    *Request
	server     *serverState
	upstream   UpstreamRequest
	stopTimer  func()
	startedAt  time.Time
	sendBefore time.Time // its first byte may only be sent before this time; zero: at any time
	begun      bool      // its first byte may have been sent
	started    bool      // the invariant monitor has allowed the start
	written    bool      // its last byte was passed to the kernel
	ended      bool      // it has an outcome

	Number  int // index among the attempts of its request, from 0
	Server  ServerEntry
	Expires time.Time // when the core gives the attempt up
}

// startAttempt starts the next attempt of a request, at the given server. The core gives the attempt up at the time
// until. Its first byte may only be sent before sendBefore, by the balancer's clock; 0: at any time.
func (r *Request) startAttempt(id choice.ServerID, until time.Time, sendBefore time.Duration) {
	core := r.core
	attempt := &Attempt{request: r, Number: r.attemptCount, Expires: until, startedAt: core.options.Clock.Now()}
	if sendBefore > 0 {
		attempt.sendBefore = core.startedAt.Add(sendBefore - core.epoch)
	}
	r.attemptCount++
	r.attempt = attempt
	server := core.servers[id]
	if server == nil {
		attempt.server = &serverState{ServerEntry: ServerEntry{Server: choice.Server{ID: id}}, inFlight: 1}
		attempt.Ended(choice.ConnectFailed, nil)
		return
	}
	attempt.server = server
	attempt.Server = server.ServerEntry
	server.inFlight++
	attempt.started = r.guard.Start(core.guardedServer(server), attempt.startedAt) == invariant.NoViolation
	if !attempt.started {
		attempt.Ended(choice.NeverSent, nil)
		return
	}
	if r.attemptCount > 1 {
		core.options.Trace.Retried(string(r.ID), r.lastOutcome)
	}
	core.options.Trace.Started(string(r.ID), attempt.Number, string(server.ID))
	attempt.stopTimer = core.options.Clock.At(until, func() { attempt.giveUp(choice.TimedOut) })
	upstream := r.client.Attempt(attempt)
	if !attempt.ended {
		attempt.upstream = upstream
	}
}

// attemptOpenAt starts an attempt at the server of a connection that was open before the node started.
func (r *Request) attemptOpenAt() {
	if !r.finished {
		r.startAttempt(r.OpenAt, r.Deadline, 0)
	}
}

// AlreadyOpen reports whether the attempt is for a connection that was open at its server before the node started.
func (a *Attempt) AlreadyOpen() bool { return a.request.OpenAt != "" }

// ConnectBy returns the time by which the attempt's connection must be established.
func (a *Attempt) ConnectBy() time.Time {
	by := a.Expires
	if timeout := a.request.core.options.Settings.Limits.ConnectTimeout; timeout > 0 {
		by = earlier(by, a.startedAt.Add(timeout))
	}
	if !a.sendBefore.IsZero() {
		by = earlier(by, a.sendBefore)
	}
	return by
}

// Connected reports that the upstream connection is established. The shortest connect time of a server serves as an
// estimate of the round trip, which ObserveDelay subtracts from the delays that it is given.
func (a *Attempt) Connected() {
	took := a.request.core.options.Clock.Now().Sub(a.startedAt)
	if a.server.connectTime == 0 || took < a.server.connectTime {
		a.server.connectTime = took
	}
}

// Begin reports whether the front end may send the attempt's first byte. It checks again because setting up the
// connection may have taken so long that the decision to try this server is out of date. If Begin returns false, the
// attempt has ended and never ran.
func (a *Attempt) Begin() bool {
	request := a.request
	now := request.core.options.Clock.Now()
	switch {
	case a.ended:
	case !now.Before(a.Expires):
		a.giveUp(choice.TimedOut)
	case !a.sendBefore.IsZero() && !now.Before(a.sendBefore):
		a.giveUp(choice.Cancelled)
	case request.guard.Send(request.core.guardedServer(a.server), now) != invariant.NoViolation:
		a.giveUp(choice.Cancelled)
	default:
		a.begun = true
		request.core.options.Trace.Sent(string(request.ID), a.Number, string(a.server.ID))
		return true
	}
	request.core.neverSent++
	return false
}

// Written reports that the attempt's last byte was passed to the kernel. From now on the attempt is counted, and the
// server may have run it.
func (a *Attempt) Written() {
	if !a.written {
		a.written = true
		a.request.core.options.Figures.Attempt()
	}
}

// Commit reports that bytes from the server are about to reach the client. From now on no other server can take over,
// so the attempt may run until the request's deadline.
func (a *Attempt) Commit() {
	request := a.request
	if a.ended || request.open || request.committed {
		return
	}
	request.committed = true
	a.Expires = request.Deadline
	a.stopTimer()
	a.stopTimer = request.core.options.Clock.At(a.Expires, func() { a.giveUp(choice.TimedOut) })
}

// giveUp ends an attempt on the node's initiative.
func (a *Attempt) giveUp(outcome choice.Outcome) {
	if a.ended {
		return
	}
	if a.upstream != nil {
		a.upstream.GiveUp()
	}
	switch { // the server has not run an attempt that was not written completely
	case a.written:
	case outcome == choice.TimedOut:
		outcome = choice.ConnectFailed
	case outcome == choice.Cancelled && !a.request.open:
		outcome = choice.NeverSent
	}
	a.Ended(outcome, nil)
}

// Ended reports the attempt's one outcome, with the server's load report if there is one. Reports that arrive after
// that, or after GiveUp, have no effect.
func (a *Attempt) Ended(outcome choice.Outcome, report []float64) {
	if a.ended {
		return
	}
	request := a.request
	a.finish(outcome)
	final := request.finished || request.open || request.committed || outcome == choice.Served
	request.observeResult(a, outcome)
	switch {
	case request.open:
		request.observeEnd(ByServer)
	case outcome == choice.Served && !request.finished:
		request.recordServed(a, Served)
	}
	// The balancer is notified only of registered requests: a connection that another process transferred may have the
	// id of another request, which is the one that the balancer knows.
	if (request.OpenAt == "" || request.open) && request.registered() {
		took := request.core.options.Clock.Now().Sub(a.startedAt)
		request.core.notify(choice.AttemptEnded{
			ID: request.ID, Attempt: a.Number, Server: a.server.ID,
			Outcome: outcome,
			Took:    took, Final: final, Report: report,
		})
	}
	request.afterAttempt(outcome)
	request.forgetIfDone()
}

// finish marks the attempt as ended and updates its server, the invariant monitor, its request and the trace.
func (a *Attempt) finish(outcome choice.Outcome) {
	request := a.request
	a.ended = true
	a.server.inFlight--
	if a.started {
		request.guard.Ended(a.begun && !outcome.NeverRan())
	}
	if a.stopTimer != nil {
		a.stopTimer()
	}
	request.attempt = nil
	request.lastOutcome = outcome
	took := request.core.options.Clock.Now().Sub(a.startedAt)
	request.core.options.Trace.Ended(string(request.ID), a.Number, string(a.server.ID), outcome, a.written, took)
}

// recordServed records that the server's own answer is the request's final answer.
func (r *Request) recordServed(a *Attempt, answer Answer) {
	r.guard.Served(answer == Open, r.core.options.Clock.Now())
	r.core.options.Trace.Served(string(r.ID), string(a.server.ID))
	r.answerCounts().Served++
	if answer == Open {
		r.observeResult(a, choice.Served)
	}
	r.observeAnswer(answer)
}

// afterAttempt finishes, answers or retries a request whose attempt has ended, in the cases that the balancer doesn't
// decide.
func (r *Request) afterAttempt(outcome choice.Outcome) {
	switch {
	case r.finished || r.open || outcome == choice.Served:
		r.finished = true
	case r.committed && outcome == choice.TimedOut:
		r.answer(LocalReply{Rejected: true, Cause: DeadlinePassed, Reason: trace.PastDeadline})
	case r.committed:
		r.answer(LocalReply{Rejected: true, Cause: ServerLost, Reason: trace.ServerLost})
	case r.OpenAt != "":
		r.retryOpenAt()
	}
}

// retryOpenAt schedules another attempt at the server of a connection that was open before the node started, if the
// deadline allows one. No other server has the connection.
func (r *Request) retryOpenAt() {
	clock := r.core.options.Clock
	next := clock.Now().Add(openAtRetryInterval)
	if next.Before(r.Deadline) {
		clock.At(next, r.attemptOpenAt)
		return
	}
	r.answer(LocalReply{Rejected: true, Cause: Unreachable, Reason: trace.Unreachable})
}
