package edge

import (
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"
)

// The core's side of the invariant monitor: what it says of requests and servers. Package invariant has the rules.

// startGuard has the monitor follow a new request.
func (r *Request) startGuard() {
	r.guard = r.core.options.Monitor.NewRequest(invariant.RequestFacts{
		ID:          string(r.ID),
		Class:       r.class,
		Deadline:    r.Deadline,
		MaxAttempts: max(1, r.core.options.Settings.Limits.MaxAttempts),
		AlreadyOpen: r.OpenAt != "",
	})
}

// guardedServer is what the monitor is given of a server.
func (c *Core) guardedServer(server *serverState) invariant.Server {
	rules := c.options.Settings.Rules
	guarded := invariant.Server{
		ID: string(server.ID), Zone: server.Zone, Cell: server.Cell,
		DrainingSince: server.drainingSince,
		Grace:         rules.DrainGrace,
	}
	rate, slowStart := c.balancer.SlowStartRate(server.ID)
	if !slowStart {
		server.slowStartCalls = nil
		return guarded
	}
	if server.slowStartCalls == nil {
		server.slowStartCalls = &invariant.CallWindow{Window: rules.OverloadTime}
	}
	guarded.SlowStart = server.slowStartCalls
	guarded.Budget = rate * rules.OverloadTime.Seconds()
	return guarded
}

// ConnectionClosed says why the client's connection ends, and has the monitor check that nothing is still owed.
func (r *Request) ConnectionClosed(by invariant.Ending, why trace.Close) {
	r.guard.Close(by, why == trace.NodeMigratedClient)
	r.core.options.Trace.Closed(string(r.ID), why)
}

// ConnectionClosedUnused records the end of a client's connection on which there was no request.
func (c *Core) ConnectionClosedUnused(why trace.Close) { c.options.Trace.Closed("", why) }
