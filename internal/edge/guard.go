package edge

import (
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"
)

// This file describes requests and servers to the invariant monitor. Package invariant defines the rules.

// startGuard registers a new request with the invariant monitor.
func (r *Request) startGuard() {
	r.guard = r.core.options.Monitor.NewRequest(invariant.RequestFacts{
		ID:          string(r.ID),
		Class:       r.class,
		Deadline:    r.Deadline,
		MaxAttempts: max(1, r.core.options.Settings.Limits.MaxAttempts),
		AlreadyOpen: r.OpenAt != "",
	})
}

// guardedServer describes a server to the invariant monitor.
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

// ConnectionClosed records why the client's connection ends. The invariant monitor checks that the client had an
// answer, and that a node which ends an open connection has asked the client to reconnect.
func (r *Request) ConnectionClosed(by invariant.ClosedBy, why trace.CloseReason) {
	r.guard.Close(by, why == trace.NodeMigratedClient)
	r.core.options.Trace.Closed(string(r.ID), why)
}

// ConnectionClosedUnused records the end of a client connection that carried no request.
func (c *Core) ConnectionClosedUnused(why trace.CloseReason) { c.options.Trace.Closed("", why) }
