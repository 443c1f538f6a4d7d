package edge

import (
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"
)

// LocalReply is a final answer that the node gives by itself.
type LocalReply struct {
	Rejected   bool          // a retry does no harm; else the request failed
	RetryAfter time.Duration // advice for when to retry; 0: none
	Why        Why
	Reason     trace.Reason // for logs and figures
}

// Why gives a front the reason of a local reply, for protocols that name it.
type Why uint8

const (
	// Busy says that the balancer found no server that can take the request.
	Busy Why = iota
	// ShuttingDown says that this node is draining.
	ShuttingDown
	// Unreachable says that the server that the request is bound to can't be reached.
	Unreachable
	// ServerLost says that the server failed after its first bytes had reached the client.
	ServerLost
	// DeadlinePassed says that the deadline came first.
	DeadlinePassed
)

// shutdownRetryAfter is the advice for clients that a draining node rejects.
const shutdownRetryAfter = 300 * time.Millisecond

// shuttingDownReply is the answer of a node that is draining.
func (c *Core) shuttingDownReply() LocalReply {
	reply := LocalReply{Rejected: true, Why: ShuttingDown, Reason: trace.Stopping}
	if limits := c.options.Settings.Limits; limits.RetryAfter {
		reply.RetryAfter = min(shutdownRetryAfter, limits.MaxRetryAfter)
	}
	return reply
}

// rejectNow has the balancer answer a request now, and cancels its attempt. Whether a retry is harmless depends on what
// may have run and on the class: the balancer says so, and reply is the rest of the answer.
func (r *Request) rejectNow(reply LocalReply) {
	switch {
	case !r.waiting():
	case r.OpenAt != "" || !r.registered():
		r.answerAndCancel(reply)
	default:
		r.ownReply = &reply
		r.core.notify(choice.TimeUp{ID: r.ID})
	}
}

// conclude gives the balancer's answer.
func (r *Request) conclude(reply LocalReply) {
	if r.ownReply == nil {
		r.answer(reply)
		return
	}
	r.ownReply.Rejected = reply.Rejected
	if !reply.Rejected {
		r.ownReply.RetryAfter = 0
	}
	r.answerAndCancel(*r.ownReply)
}

// answerAndCancel answers a request and cancels its attempt.
func (r *Request) answerAndCancel(reply LocalReply) {
	r.answer(reply)
	if r.attempt != nil && !r.open {
		r.attempt.giveUp(choice.Cancelled)
	}
}

// answer gives the final answer, unless there is one already.
func (r *Request) answer(reply LocalReply) {
	if !r.waiting() {
		return
	}
	r.finished = true
	if r.guard.Answer(reply.Rejected, r.core.options.Clock.Now()) == invariant.UnsafeRejection {
		reply.Rejected = false
		reply.RetryAfter = 0
		reply.Reason = trace.UnsafeToReject
	}
	r.core.options.Trace.Answered(string(r.ID), reply.Rejected, reply.Reason)
	if reply.Rejected {
		r.answerCounts().Rejected++
		r.observeAnswer(Rejected)
	} else {
		r.answerCounts().Failed++
		r.observeAnswer(Failed)
	}
	r.client.LocalReply(reply)
	r.forgetIfDone()
}
