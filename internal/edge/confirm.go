package edge

import (
	"spurwinch/choice"
	"spurwinch/internal/trace"
)

// A request that may also be open in another process of the node is unconfirmed at first: the core has it in its table,
// so that it counts, has a deadline and blocks its id, and the balancer doesn't know it.

// confirm asks the other processes of the node whether a request with the same id is open there. It reports whether
// there are other processes; then place is called once they have answered, unless the request is finished before.
func (r *Request) confirm() (asked bool) {
	ask := r.core.options.AskOtherProcesses
	if ask == nil || !ask(r.ID, r.confirmed) {
		return false
	}
	r.unconfirmed = true
	return true
}

// confirmed handles the answer of the other processes.
func (r *Request) confirmed(inUse bool) {
	switch {
	case !r.unconfirmed || !r.waiting():
	case inUse:
		r.answer(LocalReply{Reason: trace.IDInUse})
	default:
		r.unconfirmed = false
		r.place()
	}
}

// place makes the balancer place the request.
func (r *Request) place() {
	if r.OpenAt != "" {
		r.core.runNext(r.attemptOpenAt)
		return
	}
	r.core.notify(r.event())
}

// HasRequest reports whether a request with an id is open, waits for its answer or has an attempt in flight. An
// unconfirmed request counts only if countUnconfirmed is set.
func (c *Core) HasRequest(id choice.RequestID, countUnconfirmed bool) bool {
	request := c.requests[id]
	return request != nil && (countUnconfirmed || !request.unconfirmed)
}

// yieldID fails an unconfirmed request, because another process has transferred an open connection with the same id.
func (c *Core) yieldID(id choice.RequestID) {
	if request := c.requests[id]; request != nil && request.unconfirmed {
		request.answer(LocalReply{Reason: trace.IDInUse})
	}
}
