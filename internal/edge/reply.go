package edge

import (
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"
)

// LocalReply is a final answer that the node itself generates.
type LocalReply struct {
	Rejected   bool          // a retry is harmless; false: the request failed
	RetryAfter time.Duration // delay that the client is asked to wait before a retry; 0: none
	Cause      ReplyCause
	Reason     trace.AnswerReason // for logs and metrics
}

// ReplyCause is the reason of a local reply, for protocols that tell the client the reason.
type ReplyCause uint8

const (
	// Busy means that the balancer found no server that can take the request.
	Busy ReplyCause = iota
	// ShuttingDown means that this node is draining.
	ShuttingDown
	// Unreachable means that the node can't reach the server to which the request is bound.
	Unreachable
	// ServerLost means that the server failed after its first bytes had reached the client.
	ServerLost
	// DeadlinePassed means that the deadline passed before the request was served.
	DeadlinePassed
)

// shutdownRetryAfter is the retry delay that a draining node sends to the clients that it rejects.
const shutdownRetryAfter = 300 * time.Millisecond

// shuttingDownReply returns the reply of a draining node.
func (c *Core) shuttingDownReply() LocalReply {
	reply := LocalReply{Rejected: true, Cause: ShuttingDown, Reason: trace.Stopping}
	if limits := c.options.Settings.Limits; limits.RetryAfter {
		reply.RetryAfter = min(shutdownRetryAfter, limits.MaxRetryAfter)
	}
	return reply
}

// rejectNow asks the balancer to answer a request now, and then cancels the request's attempt. The balancer decides
// whether the request is rejected or fails, because it knows the class and the attempts that may have run, which
// determine whether a retry is harmless. The other fields of the answer are taken from reply. If the balancer was never
// notified of the request, the client gets reply at once.
func (r *Request) rejectNow(reply LocalReply) {
	switch {
	case !r.waiting():
	case r.OpenAt != "" || r.unconfirmed || !r.registered():
		r.answerAndCancel(reply)
	default:
		r.pendingReply = &reply
		r.core.notify(choice.TimeUp{ID: r.ID})
	}
}

// answerFromBalancer answers a request as the balancer has decided. If the core has asked for the answer, by rejectNow,
// the client gets pendingReply.
func (r *Request) answerFromBalancer(reply LocalReply) {
	if r.pendingReply == nil {
		r.answer(reply)
		return
	}
	r.pendingReply.Rejected = reply.Rejected
	if !reply.Rejected {
		r.pendingReply.RetryAfter = 0
	}
	r.answerAndCancel(*r.pendingReply)
}

// answerAndCancel answers a request and cancels its current attempt.
func (r *Request) answerAndCancel(reply LocalReply) {
	r.answer(reply)
	if r.attempt != nil && !r.open {
		r.attempt.giveUp(choice.Cancelled)
	}
}

// answer sends the final answer, unless the request already has one.
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
