package edge

import (
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

// Attempt is one upstream request.
type Attempt struct {
	request  *Request
	host     *host
	upstream UpstreamRequest
	stop     func()
	started  time.Time
	by       time.Time // its first byte is out before, or it is not sent; zero: whenever
	begun    bool      // it may be out
	guarded  bool      // the guard has let it start
	written  bool
	ended    bool

	Number  int
	Server  ServerEntry
	Expires time.Time // absolute: given up then
}

// AlreadyOpen says that the attempt is for a connection that was open at its host before the node started.
func (a *Attempt) AlreadyOpen() bool { return a.request.OpenAt != "" }

// ConnectBy is when the attempt's connection must be up.
func (a *Attempt) ConnectBy() time.Time {
	by := a.Expires
	if t := a.request.core.o.Settings.Limits.ConnectTimeout; t > 0 {
		by = earlier(by, a.started.Add(t))
	}
	if !a.by.IsZero() {
		by = earlier(by, a.by)
	}
	return by
}

// Begin reports whether the attempt's first byte may go out. A connection may take long to come up, and what made the decision
// right may be over by then; the attempt is, where this says no, and never ran.
func (a *Attempt) Begin() bool {
	now := a.request.core.o.Clock.Now()
	switch {
	case a.ended:
	case !now.Before(a.Expires):
		a.giveUp(choice.TimedOut)
	case !a.by.IsZero() && !now.Before(a.by):
		a.giveUp(choice.Cancelled)
	case a.request.guard.Send(a.request.core.facts(a.host), now) != invariant.Holds:
		a.giveUp(choice.Cancelled)
	default:
		a.begun = true
		a.request.core.o.Trace.Sent(string(a.request.ID), a.Number, string(a.host.ID))
		return true
	}
	a.request.core.spared++
	return false
}

// Written says that the attempt's last byte is with the kernel: from here on it counts.
func (a *Attempt) Written() {
	if !a.written {
		a.written = true
		a.request.core.o.Figures.Attempt()
	}
}

// Connected tells what the way to the host takes, so that it isn't held against the host.
func (a *Attempt) Connected() {
	took := a.request.core.o.Clock.Now().Sub(a.started)
	if h := a.host; h.network == 0 || took < h.network {
		h.network = took
	}
}

// Established says that the host took the connection.
func (a *Attempt) Established() {
	r := a.request
	if a.ended || r.over || r.open {
		return
	}
	r.open = true
	r.guard.Served(true, r.core.o.Clock.Now())
	r.core.o.Trace.Served(string(r.ID), string(a.host.ID))
	r.count().Served++
	r.observeTry(a, choice.Served)
	r.observe(Up)
	r.stood = r.core.o.Clock.Now()
	if a.stop != nil {
		a.stop()
	}
	r.cancelTimers()
	if r.OpenAt != "" {
		a.Number = 0
		r.core.tell(choice.OpenConnection{Request: r.event(), Server: r.OpenAt})
	} else {
		r.core.tell(choice.Established{ID: r.ID, Attempt: a.Number, Server: a.host.ID, Took: r.core.o.Clock.Now().Sub(a.started)})
	}
	r.leaveWith(a.host, r.core.o.Clock.Now())
}

// Commit says that bytes of the host are about to reach the client: no other host can take over from here, and so
// the attempt may use all the time that the client has.
func (a *Attempt) Commit() {
	r := a.request
	if a.ended || r.open || r.committed {
		return
	}
	r.committed = true
	a.Expires = r.Deadline
	a.stop()
	a.stop = r.core.o.Clock.At(a.Expires, func() { a.giveUp(choice.TimedOut) })
}

// Ended gives the attempt's one outcome. What is told after it, or after GiveUp, doesn't count.
func (a *Attempt) Ended(o choice.Outcome, report []float64) {
	if a.ended {
		return
	}
	a.ended = true
	a.host.held--
	if a.guarded {
		a.request.guard.Ended(a.begun && !o.NeverRan())
	}
	if a.stop != nil {
		a.stop()
	}
	r := a.request
	r.attempt, r.retryAfter = nil, o.String()
	r.core.o.Trace.Ended(string(r.ID), a.Number, string(a.host.ID), o.String(), a.written, r.core.o.Clock.Now().Sub(a.started))
	final := r.over || r.open || r.committed || o == choice.Served
	switch r.observeTry(a, o); {
	case r.open:
		r.observeEnd(ByServer)
	case o == choice.Served && !r.over:
		r.guard.Served(false, r.core.o.Clock.Now())
		r.core.o.Trace.Served(string(r.ID), string(a.host.ID))
		r.count().Served++
		r.observe(Served)
	}
	// What the module knows under this id may be another request, of one that came from another process with it.
	if (r.OpenAt == "" || r.open) && r.core.requests[r.ID] == r {
		r.core.tell(choice.AttemptEnded{ID: r.ID, Attempt: a.Number, Server: a.host.ID, Outcome: o,
			Took: r.core.o.Clock.Now().Sub(a.started), Final: final, Report: report})
	}
	switch {
	case r.over || r.open || o == choice.Served:
		r.over = true
	case r.committed && o == choice.TimedOut:
		r.answer(LocalReply{Rejected: true, Why: DeadlinePassed, Reason: trace.PastDeadline})
	case r.committed:
		r.answer(LocalReply{Rejected: true, Why: ServerLost, Reason: trace.HostLost})
	case r.OpenAt != "":
		// The host of a connection open before the run is no choice: only ever this one.
		now := r.core.o.Clock.Now()
		if now.Add(retryPinned).Before(r.Deadline) {
			r.core.o.Clock.At(now.Add(retryPinned), r.sendPinned)
		} else {
			r.answer(LocalReply{Rejected: true, Why: Unreachable, Reason: trace.Unreachable})
		}
	}
	r.settle()
}

func (a *Attempt) giveUp(o choice.Outcome) {
	if a.ended {
		return
	}
	if a.upstream != nil {
		a.upstream.GiveUp()
	}
	switch { // what was never written whole has not run
	case a.written:
	case o == choice.TimedOut:
		o = choice.ConnectFailed
	case o == choice.Cancelled && !a.request.open:
		o = choice.NeverSent
	}
	a.Ended(o, nil)
}

// UpdateLoad tells the connection's present load.
func (a *Attempt) UpdateLoad(x float64) {
	if !a.ended && a.request.open {
		a.request.load = x
		a.request.core.tell(choice.LoadUpdate{ID: a.request.ID, Attempt: a.Number, Load: x})
	}
}

// ObserveDelay tells how long a message took on the connection, or has taken so far.
func (a *Attempt) ObserveDelay(took time.Duration) {
	r := a.request
	c := r.core
	if a.ended || !r.open || r.over {
		return
	}
	took = max(took-a.host.network, time.Microsecond)
	now := c.o.Clock.Now()
	slow := took > c.minAim/3
	if slow && now.Sub(a.host.noted) >= time.Second || !slow && a.host.slow {
		a.host.noted, a.host.slow = now, slow
		c.tell(choice.DelayObservation{ID: r.ID, Server: a.host.ID, Took: took})
	}
}

// UnresponsiveAfter is how long a connection may return nothing to a message before its client is moved: its host is
// lost although the connection stands.
func (a *Attempt) UnresponsiveAfter() time.Duration { return silentTime }

// Unresponsive moves the client of a connection that returns nothing.
func (a *Attempt) Unresponsive() {
	if !a.ended {
		zap.L().Warn("host_silent_client_moved", zap.String("host", string(a.host.ID)))
		a.request.move()
	}
}
