package edge

import (
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

// Request is one request of a client, from its taking until its connection has ended.
type Request struct {
	Spec
	core     *Core
	client   Client
	attempt  *Attempt
	attempts int
	open     bool // established: the connection stands
	over     bool // has its final answer, or nobody waits for it
	lent     bool // off the loop: another process may have it
	class    choice.Class
	stop     func()
	timers   []func()    // stop those that the module has set for it
	parting  *LocalReply // the core has the module answer it: with whatever it answers, this goes along

	committed bool // bytes of a host have reached the client: no other host can take over
	guard     *invariant.Request

	retryAfter string // the outcome of the last attempt; empty: there was none

	// For the observer.
	seq      uint64
	arrived  time.Time
	stood    time.Time
	load     float64
	tries    []AttemptResult
	answered bool
}

// withdraw takes a request back of which the module has not heard yet.
func (c *Core) withdraw(id choice.RequestID) bool {
	i := slices.IndexFunc(c.events, func(e choice.Event) bool {
		q, ok := e.(choice.Request)
		return ok && q.ID == id
	})
	if i < 0 {
		return false
	}
	c.events = slices.Delete(c.events, i, i+1)
	return true
}

// observe tells the request's final answer, once.
func (r *Request) observe(a Answer) {
	o := r.core.o.Observer
	if o == nil || r.answered {
		return
	}
	r.answered = true
	o.Answered(Answered{Spec: r.Spec, Seq: r.seq, Arrived: r.arrived, Took: r.core.o.Clock.Now().Sub(r.arrived), Answer: a, Attempts: r.tries})
}

// observeEnd tells that the connection that stood has ended.
func (r *Request) observeEnd(cause EndCause) {
	if o := r.core.o.Observer; o != nil && !r.stood.IsZero() {
		o.Ended(r.seq, r.core.o.Clock.Now().Sub(r.stood), r.load, cause)
		r.stood = time.Time{}
	}
}

func (r *Request) observeTry(a *Attempt, o choice.Outcome) {
	if r.core.o.Observer != nil && !r.answered {
		r.tries = append(r.tries, AttemptResult{a.host.ID, o, r.core.o.Clock.Now().Sub(a.started)})
	}
}

// count is the counter of the request's class.
func (r *Request) count() *Counts { return r.core.counts[r.Class] }

// Reject refuses a request that the node has no room to take: the client hears of it like Open's.
func (c *Core) Reject(s Spec, client Client, after time.Duration) {
	r := &Request{Spec: s, core: c, client: client, arrived: c.o.Clock.Now(), class: c.o.Settings.Classes[s.Class]}
	c.seq++
	r.seq = c.seq
	r.watch()
	r.answer(LocalReply{Rejected: true, RetryAfter: after, Reason: trace.NoDescriptor})
}

// Open takes a new request. The client hears of it through c's methods, at the earliest when this has returned.
func (c *Core) Open(s Spec, client Client) *Request {
	c.seq++
	r := &Request{Spec: s, core: c, client: client, seq: c.seq, arrived: c.o.Clock.Now(), class: c.o.Settings.Classes[s.Class]}
	r.watch()
	switch {
	case c.requests[s.ID] != nil:
		// Guards against two requests under one id, of which the module would know only the first.
		c.o.Clock.At(c.o.Clock.Now(), func() { r.answer(LocalReply{Reason: trace.IDInUse}) })
		return r
	case c.draining:
		c.requests[s.ID] = r
		c.o.Clock.At(c.o.Clock.Now(), func() { r.answer(c.leaving()) })
		return r
	}
	if after, ok := c.takes(r); !ok {
		c.requests[s.ID] = r
		c.o.Clock.At(c.o.Clock.Now(), func() { r.answer(LocalReply{Rejected: true, RetryAfter: after, Reason: trace.NoPolicy}) })
		return r
	}
	s = r.Spec
	c.requests[s.ID] = r
	c.o.Trace.Read(string(s.ID), r.class.Name, s.Deadline.Sub(r.arrived))
	// The module owns the deadline; this guards against a request that it has lost.
	r.stop = c.o.Clock.At(s.Deadline, r.expired)
	if s.OpenAt != "" {
		c.o.Clock.At(c.o.Clock.Now(), r.sendPinned)
		return r
	}
	c.tell(r.event())
	return r
}

func (r *Request) event() choice.Request {
	return choice.Request{ID: r.ID, Class: r.Class, Tenant: r.Tenant, Key: r.Key, Group: r.Group, Load: r.Load,
		Returned: r.Returned, StickyServer: r.StickyServer, TimeLeft: r.Deadline.Sub(r.core.o.Clock.Now())}
}

func (r *Request) expired() {
	if r.over || r.open {
		return
	}
	zap.L().Error("deadline_unanswered", zap.String("request", string(r.ID)))
	r.refuse(LocalReply{Rejected: true, Reason: trace.PastDeadline})
	r.core.o.Clock.At(r.core.o.Clock.Now(), func() {
		if !r.over && !r.open { // the module doesn't know it: what was sent may have run
			r.core.tell(choice.ClientGone{ID: r.ID})
			r.cut(LocalReply{Rejected: r.attempts == 0, Reason: trace.LostByModule})
		}
	})
}

// refuse has the module answer a request now, and calls off what it has out. Whether trying again is harmless hangs on what
// may have run and on the class: the module says so, and l is what else is to be told.
func (r *Request) refuse(l LocalReply) {
	switch {
	case r.over || r.open:
	case r.OpenAt != "" || r.core.requests[r.ID] != r: // none of the module's
		r.cut(l)
	default:
		r.parting = &l
		r.core.tell(choice.TimeUp{ID: r.ID})
	}
}

// conclude gives the module's answer.
func (r *Request) conclude(l LocalReply) {
	if r.parting == nil {
		r.answer(l)
		return
	}
	if r.parting.Rejected = l.Rejected; !l.Rejected {
		r.parting.RetryAfter = 0
	}
	r.cut(*r.parting)
}

// cut answers a request and calls off what it has out.
func (r *Request) cut(l LocalReply) {
	r.answer(l)
	if r.attempt != nil && !r.open {
		r.attempt.giveUp(choice.Cancelled)
	}
}

func (r *Request) sendPinned() {
	if !r.over {
		r.send(r.OpenAt, r.Deadline, 0)
	}
}

func (r *Request) send(id choice.ServerID, until time.Time, by time.Duration) {
	a := &Attempt{request: r, Number: r.attempts, Expires: until, started: r.core.o.Clock.Now()}
	if by > 0 {
		a.by = r.core.start.Add(by - r.core.epoch)
	}
	r.attempts++
	r.attempt = a
	c := r.core
	h := c.hosts[id]
	if h == nil {
		a.host = &host{ServerEntry: ServerEntry{Server: choice.Server{ID: id}}, held: 1}
		a.Ended(choice.ConnectFailed, nil)
		return
	}
	a.host, a.Server = h, h.ServerEntry
	h.held++
	if a.guarded = r.guard.Start(c.facts(h), a.started) == invariant.Holds; !a.guarded {
		a.Ended(choice.NeverSent, nil)
		return
	}
	if r.retryAfter != "" {
		c.o.Trace.Retried(string(r.ID), r.retryAfter)
	}
	c.o.Trace.Started(string(r.ID), a.Number, string(h.ID))
	a.stop = c.o.Clock.At(until, func() { a.giveUp(choice.TimedOut) })
	if u := r.client.Attempt(a); !a.ended {
		a.upstream = u
	}
}

// answer gives the final answer, unless there is one already.
func (r *Request) answer(l LocalReply) {
	if r.over || r.open {
		return
	}
	r.over = true
	if r.guard.Answer(l.Rejected, r.core.o.Clock.Now()) == invariant.UnsafeRefusal {
		l.Rejected, l.RetryAfter, l.Reason = false, 0, trace.UnsafeToReject
	}
	r.core.o.Trace.Answered(string(r.ID), l.Rejected, l.Reason)
	if l.Rejected {
		r.count().Rejected++
		r.observe(Rejected)
	} else {
		r.count().Failed++
		r.observe(Failed)
	}
	r.client.LocalReply(l)
	r.settle()
}

// settle forgets a request of which nothing is left.
func (r *Request) settle() {
	if r.over && r.attempt == nil && r.core.requests[r.ID] == r {
		delete(r.core.requests, r.ID)
	}
	if r.over {
		r.cancelTimers()
	}
}

// cancelTimers ends what was set for a request that has its answer.
func (r *Request) cancelTimers() {
	if r.stop != nil {
		r.stop()
		r.stop = nil
	}
	for _, stop := range r.timers {
		stop()
	}
	r.timers = nil
}

// Broken says that the client broke the protocol and its front has answered it so.
func (r *Request) Broken() {
	if !r.over && !r.open {
		r.count().Failed++
	}
	r.Gone() // for the guard, too: what its front owes a client that broke the protocol it has paid
}

// Gone says that the client left, before its answer or on an open connection.
func (r *Request) Gone() {
	if r.over {
		return
	}
	r.over = true
	r.guard.Gone()
	if r.open {
		r.observeEnd(ByClient)
	} else {
		r.observe(ClientLeft)
	}
	// A second request under the id of another is not the module's, and must not end the first one there.
	if !r.open && r.core.requests[r.ID] == r && !r.core.withdraw(r.ID) {
		r.core.tell(choice.ClientGone{ID: r.ID})
	}
	if r.attempt != nil {
		r.attempt.giveUp(choice.Cancelled)
	}
	r.settle()
}

// move sends the client of an open connection away.
func (r *Request) move() {
	if !r.open || r.over || r.lent {
		return
	}
	r.over = true
	if !r.core.leaveBy.IsZero() {
		r.core.moved++
	}
	r.observeEnd(Migrated)
	by := r.core.o.Clock.Now().Add(moveEnds)
	if end := r.core.end; !end.IsZero() { // a host that stopped amid a line must not have its client held past the stop
		by = earlier(by, end)
	}
	r.client.Migrate(by)
	r.attempt.Ended(choice.Cancelled, nil)
	r.settle()
}

// MayRedirect reports whether a request that has no answer yet may go to another host with one more attempt.
func (r *Request) MayRedirect(home choice.ServerID) bool {
	h := r.core.hosts[home]
	return !r.over && !r.open && r.OpenAt == "" && r.attempt != nil && r.attempts < r.core.o.Settings.Limits.MaxAttempts &&
		h != nil && h.State == choice.Ready
}

// RedirectTo calls the attempt in hand off and tells the module where what the request resumes lives. The front answers for it
// that nothing the client has seen of the first host binds it to that one.
func (r *Request) RedirectTo(home choice.ServerID) {
	r.StickyServer, r.committed = home, false
	r.core.tell(choice.StickyServerFound{ID: r.ID, Server: home})
	r.attempt.giveUp(choice.Cancelled)
}

// Redirected says that a host has named another one, by its address or id, before its attempt ends. One that is not in the list, or
// leaves, is nobody's to go to.
func (r *Request) Redirected(to string) {
	for _, h := range r.core.hosts {
		if (h.Addr == to || string(h.ID) == to) && h.State == choice.Ready {
			r.core.tell(choice.StickyServerFound{ID: r.ID, Server: h.ID})
		}
	}
}

func (c *Core) leaving() LocalReply {
	l := LocalReply{Rejected: true, Why: ShuttingDown, Reason: trace.Stopping}
	if c.o.Settings.Limits.RetryAfter {
		l.RetryAfter = min(leaveAdvice, c.o.Settings.Limits.MaxRetryAfter)
	}
	return l
}
