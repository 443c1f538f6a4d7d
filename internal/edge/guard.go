package edge

import (
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"
)

// The core's side of the guard: what it tells of requests and hosts. internal/invariant has the rules.

// watch has the guard follow a new request.
func (r *Request) watch() {
	r.guard = r.core.o.Monitor.NewRequest(invariant.RequestFacts{ID: string(r.ID), Class: r.class, Deadline: r.Deadline,
		Attempts: max(1, r.core.o.Settings.Limits.MaxAttempts), Standing: r.OpenAt != ""})
}

// noteState notes since when a host is known to leave.
func (h *host) noteState(now time.Time) {
	switch {
	case h.State == choice.Ready:
		h.leaving = time.Time{}
	case h.leaving.IsZero():
		h.leaving = now
	}
}

// facts are what the guard is told of a host.
func (c *Core) facts(h *host) invariant.Server {
	rules := c.o.Settings.Rules
	f := invariant.Server{ID: string(h.ID), Zone: h.Zone, Cell: h.Cell, Leaving: h.leaving, Grace: rules.DrainGrace}
	rate, cold := c.balancer.SlowStartRate(h.ID)
	if !cold {
		h.calls = nil
		return f
	}
	if h.calls == nil {
		h.calls = &invariant.CallWindow{Window: rules.OverloadTime}
	}
	f.SlowStart, f.Budget = h.calls, rate*rules.OverloadTime.Seconds()
	return f
}

// Closed says why the client's connection ends, and has the guard check that nothing is still owed.
func (r *Request) Closed(by invariant.Ending, why trace.Close) {
	r.guard.Close(by, why == trace.NodeMovedClient)
	r.core.o.Trace.Closed(string(r.ID), why)
}

// ClosedUnasked notes the end of a client's connection on which nothing was asked.
func (c *Core) ClosedUnasked(why trace.Close) { c.o.Trace.Closed("", why) }
