package edge

import (
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"
)

// Request is one request of a client, from its arrival until its connection has ended.
//
// A request starts as waiting (neither open nor finished) and becomes open or finished. An open request becomes
// finished when its connection ends. The core removes a request from its table once the request is finished and its
// last attempt has an outcome.
type Request struct {
	Spec
	core   *Core
	client Client
	guard  *invariant.Request // checks each step against the node's invariants
	class  choice.Class       // from the settings at the request's arrival

	attempt      *Attempt       // the attempt in flight or of the open connection; nil: none
	attemptCount int            // attempts started so far
	lastOutcome  choice.Outcome // outcome of the previous attempt; undefined until the first attempt has ended

	open         bool // the connection is established
	finished     bool // answered without an open connection, its client left, or its connection has ended
	committed    bool // a server's bytes have reached the client, so no other server can take over
	unconfirmed  bool // another process may have an open request with its id; the balancer doesn't know it yet
	transferring bool // its sockets are detached from the event loop; another process may have the connection

	stopDeadline       func()
	stopBalancerTimers []func()
	// pendingReply is set when the core has asked the balancer to answer at once. The client gets this reply; the
	// balancer decides whether it is a rejection or a failure.
	pendingReply *LocalReply

	observed observation
}

// newRequest creates a request with the next sequence number and registers it with the invariant monitor.
func (c *Core) newRequest(spec Spec, client Client) *Request {
	c.lastSequence++
	request := &Request{
		Spec: spec, core: c, client: client, class: c.options.Settings.Classes[spec.Class],
		observed: observation{sequence: c.lastSequence, arrivedAt: c.options.Clock.Now()},
	}
	request.startGuard()
	return request
}

// Open accepts a new request. The core calls the client's methods only after Open has returned.
func (c *Core) Open(spec Spec, client Client) *Request {
	request := c.newRequest(spec, client)
	switch {
	case c.requests[spec.ID] != nil:
		// Fail a second request with the same id: the balancer would know only the first one.
		c.runNext(func() { request.answer(LocalReply{Reason: trace.IDInUse}) })
		return request
	case c.drain.rejecting:
		c.requests[spec.ID] = request
		c.runNext(func() { request.answer(c.shuttingDownReply()) })
		return request
	}
	if retryAfter, admitted := c.admitUnderLease(request); !admitted {
		c.requests[spec.ID] = request
		c.runNext(func() { request.answer(LocalReply{Rejected: true, RetryAfter: retryAfter, Reason: trace.NoPolicy}) })
		return request
	}
	c.requests[spec.ID] = request
	c.options.Trace.Read(string(request.ID), request.class.Name, request.Deadline.Sub(request.observed.arrivedAt))
	// The balancer enforces the deadline; this timer covers a request that the balancer has lost.
	request.stopDeadline = c.options.Clock.At(request.Deadline, request.expired)
	if !request.confirm() {
		request.place()
	}
	return request
}

// Reject rejects a request that the node has no capacity to accept. Unlike Open it calls the client before it returns.
func (c *Core) Reject(spec Spec, client Client, retryAfter time.Duration) {
	request := c.newRequest(spec, client)
	request.answer(LocalReply{Rejected: true, RetryAfter: retryAfter, Reason: trace.NoFileDescriptor})
}

// event returns the event that notifies the balancer of the request.
func (r *Request) event() choice.Request {
	return choice.Request{
		ID: r.ID, Class: r.Class, Tenant: r.Tenant, Key: r.Key, Group: r.Group, Load: r.Load,
		Returned: r.Returned, StickyServer: r.StickyServer, TimeLeft: r.Deadline.Sub(r.core.options.Clock.Now()),
	}
}

// waiting reports whether the client still waits for its final answer.
func (r *Request) waiting() bool { return !r.finished && !r.open }

// registered reports whether the core's table has this request under its id. A second request with an id that is in use
// is not registered.
func (r *Request) registered() bool { return r.core.requests[r.ID] == r }

// answerCounts returns the counters of the request's class.
func (r *Request) answerCounts() *Counts { return r.core.answerCounts[r.Class] }

// ClientBrokeProtocol reports that the client violated the protocol and that the front end has answered it with an
// error.
func (r *Request) ClientBrokeProtocol() {
	if r.waiting() {
		r.answerCounts().Failed++
	}
	r.ClientGone() // the invariant monitor expects no answer either, since the front end has sent the error
}

// ClientGone reports that the client left, either before it had an answer or by closing its open connection.
func (r *Request) ClientGone() {
	if r.finished {
		return
	}
	r.finished = true
	r.guard.Gone()
	if r.open {
		r.observeEnd(ByClient)
	} else {
		r.observeAnswer(ClientLeft)
	}
	if !r.open && !r.unconfirmed && r.registered() && !r.core.withdraw(r.ID) {
		r.core.notify(choice.ClientGone{ID: r.ID})
	}
	if r.attempt != nil {
		r.attempt.giveUp(choice.Cancelled)
	}
	r.forgetIfDone()
}

// forgetIfDone stops the timers of a finished request, and removes it from the core's table if no attempt is left.
func (r *Request) forgetIfDone() {
	if !r.finished {
		return
	}
	if r.attempt == nil && r.registered() {
		delete(r.core.requests, r.ID)
	}
	r.stopTimers()
}

// stopTimers stops the timers of a request that has its answer.
func (r *Request) stopTimers() {
	if r.stopDeadline != nil {
		r.stopDeadline()
		r.stopDeadline = nil
	}
	for _, stop := range r.stopBalancerTimers {
		stop()
	}
	r.stopBalancerTimers = nil
}

// expired is called at the deadline. The balancer should have answered the request before; if it has lost the request,
// the core answers in its place.
func (r *Request) expired() {
	if !r.waiting() {
		return
	}
	if !r.unconfirmed {
		zap.L().Error("deadline_unanswered", zap.String("request", string(r.ID)))
	}
	r.rejectNow(LocalReply{Rejected: true, Reason: trace.PastDeadline})
	r.core.runNext(func() {
		if r.waiting() { // the balancer doesn't know the request; an attempt that was started may have run
			r.core.notify(choice.ClientGone{ID: r.ID})
			r.answerAndCancel(LocalReply{Rejected: r.attemptCount == 0, Reason: trace.BalancerTimedOut})
		}
	})
}
