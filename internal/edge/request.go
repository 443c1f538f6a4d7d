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
// It is waiting (neither open nor finished), then open or finished, and finished for good: an open connection ends as
// finished, too. It is removed from the core's table when it is finished and its last attempt has its outcome.
type Request struct {
	Spec
	core   *Core
	client Client
	guard  *invariant.Request // checks each step against the node's promises
	class  choice.Class       // as the settings had it when the request came

	attempt      *Attempt       // the one in flight, or the open connection's; nil: none
	attemptCount int            // attempts begun so far
	lastOutcome  choice.Outcome // of the attempt before; means nothing before the first has ended

	open         bool // the connection is established
	finished     bool // it has its final answer or nobody waits for it; for an open connection: it has ended
	committed    bool // bytes of a server have reached the client: no other server can take over
	transferring bool // its sockets are off the loop: another process may have the connection

	stopDeadline       func()
	stopBalancerTimers []func()
	// ownReply is set where the core has asked the balancer to answer at once: the client gets this reply, rejected or
	// failed as the balancer says.
	ownReply *LocalReply

	observed observation
}

// newRequest gives a request its sequence number and has the invariant monitor follow it.
func (c *Core) newRequest(spec Spec, client Client) *Request {
	c.lastSequence++
	request := &Request{
		Spec: spec, core: c, client: client, class: c.options.Settings.Classes[spec.Class],
		observed: observation{sequence: c.lastSequence, arrivedAt: c.options.Clock.Now()},
	}
	request.startGuard()
	return request
}

// Open takes a new request. The client is called back through its methods, at the earliest when this has returned.
func (c *Core) Open(spec Spec, client Client) *Request {
	request := c.newRequest(spec, client)
	switch {
	case c.requests[spec.ID] != nil:
		// Guards against two requests under one id, of which the balancer would know only the first.
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
	// The balancer owns the deadline; this guards against a request that it has lost.
	request.stopDeadline = c.options.Clock.At(request.Deadline, request.expired)
	if request.OpenAt != "" {
		c.runNext(request.attemptOpenAt)
		return request
	}
	c.notify(request.event())
	return request
}

// Reject rejects a request that the node has no capacity to take: the client is called back like Open's, but at once.
func (c *Core) Reject(spec Spec, client Client, retryAfter time.Duration) {
	request := c.newRequest(spec, client)
	request.answer(LocalReply{Rejected: true, RetryAfter: retryAfter, Reason: trace.NoFileDescriptor})
}

// event is the request as the balancer is notified of it.
func (r *Request) event() choice.Request {
	return choice.Request{
		ID: r.ID, Class: r.Class, Tenant: r.Tenant, Key: r.Key, Group: r.Group, Load: r.Load,
		Returned: r.Returned, StickyServer: r.StickyServer, TimeLeft: r.Deadline.Sub(r.core.options.Clock.Now()),
	}
}

// waiting reports whether the client still waits for its final answer.
func (r *Request) waiting() bool { return !r.finished && !r.open }

// registered reports whether the request is the core's under its id: a second one under the id of another is not.
func (r *Request) registered() bool { return r.core.requests[r.ID] == r }

// answerCounts is the counter of the request's class.
func (r *Request) answerCounts() *Counts { return r.core.answerCounts[r.Class] }

// ClientBrokeProtocol says that the client broke the protocol and that its front has answered so.
func (r *Request) ClientBrokeProtocol() {
	if r.waiting() {
		r.answerCounts().Failed++
	}
	r.ClientGone() // for the guard, too: the front has given the answer that it owes a client that broke the protocol
}

// ClientGone says that the client left, before its answer or on an open connection.
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
	if !r.open && r.registered() && !r.core.withdraw(r.ID) {
		r.core.notify(choice.ClientGone{ID: r.ID})
	}
	if r.attempt != nil {
		r.attempt.giveUp(choice.Cancelled)
	}
	r.forgetIfDone()
}

// forgetIfDone removes a request of which nothing is left from the core's table.
func (r *Request) forgetIfDone() {
	if !r.finished {
		return
	}
	if r.attempt == nil && r.registered() {
		delete(r.core.requests, r.ID)
	}
	r.stopTimers()
}

// stopTimers ends what was set for a request that has its answer.
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

// expired is called at the deadline. The balancer should have answered before; one that has lost the request is made up
// for here.
func (r *Request) expired() {
	if !r.waiting() {
		return
	}
	zap.L().Error("deadline_unanswered", zap.String("request", string(r.ID)))
	r.rejectNow(LocalReply{Rejected: true, Reason: trace.PastDeadline})
	r.core.runNext(func() {
		if r.waiting() { // the balancer doesn't know it: what was sent may have run
			r.core.notify(choice.ClientGone{ID: r.ID})
			r.answerAndCancel(LocalReply{Rejected: r.attemptCount == 0, Reason: trace.LostByBalancer})
		}
	})
}
