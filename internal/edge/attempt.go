package edge

import (
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"
)

// openAtRetryInterval is between attempts at the server of a connection that was open before the node started.
const openAtRetryInterval = 250 * time.Millisecond

// Attempt is one upstream request. The front reports its progress: Connected, then Begin, Written, and either
// Established or Commit, and Ended with its one outcome.
type Attempt struct {
	request    *Request
	server     *serverState
	upstream   UpstreamRequest
	stopTimer  func()
	startedAt  time.Time
	sendBefore time.Time // its first byte is sent before, or not at all; zero: at any time
	begun      bool      // its first byte may have been sent
	started    bool      // the guard has let it start
	written    bool      // its last byte is with the kernel
	ended      bool      // it has its outcome

	Number  int // among the attempts of its request, from 0
	Server  ServerEntry
	Expires time.Time // it is given up then
}

// startAttempt begins the next attempt of a request, at a server, until a time. Its first byte goes out before the
// balancer time sendBefore or not at all; 0: at any time.
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
	attempt.started = r.guard.Start(core.guardedServer(server), attempt.startedAt) == invariant.Holds
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

// attemptOpenAt goes back to the server of a connection that was open before the node started.
func (r *Request) attemptOpenAt() {
	if !r.finished {
		r.startAttempt(r.OpenAt, r.Deadline, 0)
	}
}

// AlreadyOpen reports whether the attempt is for a connection that was open at its server before the node started.
func (a *Attempt) AlreadyOpen() bool { return a.request.OpenAt != "" }

// ConnectBy is when the attempt's connection must be up.
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

// Connected records how long the connection took, as an estimate of the round trip, which is subtracted from observed
// delays.
func (a *Attempt) Connected() {
	took := a.request.core.options.Clock.Now().Sub(a.startedAt)
	if a.server.connectTime == 0 || took < a.server.connectTime {
		a.server.connectTime = took
	}
}

// Begin reports whether the attempt's first byte may go out. A connection may take long to come up, and what made the
// decision right may be over by then: where this says no the attempt has ended, and never ran.
func (a *Attempt) Begin() bool {
	request := a.request
	now := request.core.options.Clock.Now()
	switch {
	case a.ended:
	case !now.Before(a.Expires):
		a.giveUp(choice.TimedOut)
	case !a.sendBefore.IsZero() && !now.Before(a.sendBefore):
		a.giveUp(choice.Cancelled)
	case request.guard.Send(request.core.guardedServer(a.server), now) != invariant.Holds:
		a.giveUp(choice.Cancelled)
	default:
		a.begun = true
		request.core.options.Trace.Sent(string(request.ID), a.Number, string(a.server.ID))
		return true
	}
	request.core.neverSent++
	return false
}

// Written says that the attempt's last byte is with the kernel: from here on it counts.
func (a *Attempt) Written() {
	if !a.written {
		a.written = true
		a.request.core.options.Figures.Attempt()
	}
}

// Commit says that bytes of the server are about to reach the client: no other server can take over from here, and so
// the attempt may use all the time that the client has.
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

// giveUp ends an attempt from this side.
func (a *Attempt) giveUp(outcome choice.Outcome) {
	if a.ended {
		return
	}
	if a.upstream != nil {
		a.upstream.GiveUp()
	}
	switch { // what was not written completely has not run
	case a.written:
	case outcome == choice.TimedOut:
		outcome = choice.ConnectFailed
	case outcome == choice.Cancelled && !a.request.open:
		outcome = choice.NeverSent
	}
	a.Ended(outcome, nil)
}

// Ended gives the attempt its one outcome. What is reported after it, or after GiveUp, doesn't count.
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
		request.served(a, Served)
	}
	// What the balancer knows under this id may be another request, of one that came from another process with it.
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

// finish closes the attempt's accounts with its server, its guard and its request.
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

// served notes that the server's own answer is the final one.
func (r *Request) served(a *Attempt, answer Answer) {
	r.guard.Served(answer == Open, r.core.options.Clock.Now())
	r.core.options.Trace.Served(string(r.ID), string(a.server.ID))
	r.answerCounts().Served++
	if answer == Open {
		r.observeResult(a, choice.Served)
	}
	r.observeAnswer(answer)
}

// afterAttempt is what becomes of a request whose attempt has ended, where that is not the balancer's to decide.
func (r *Request) afterAttempt(outcome choice.Outcome) {
	switch {
	case r.finished || r.open || outcome == choice.Served:
		r.finished = true
	case r.committed && outcome == choice.TimedOut:
		r.answer(LocalReply{Rejected: true, Why: DeadlinePassed, Reason: trace.PastDeadline})
	case r.committed:
		r.answer(LocalReply{Rejected: true, Why: ServerLost, Reason: trace.ServerLost})
	case r.OpenAt != "":
		r.retryOpenAt()
	}
}

// retryOpenAt tries the server of a connection that was open before the node started once more, while there is time:
// no other server has the connection.
func (r *Request) retryOpenAt() {
	clock := r.core.options.Clock
	next := clock.Now().Add(openAtRetryInterval)
	if next.Before(r.Deadline) {
		clock.At(next, r.attemptOpenAt)
		return
	}
	r.answer(LocalReply{Rejected: true, Why: Unreachable, Reason: trace.Unreachable})
}
