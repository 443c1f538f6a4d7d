package planner

import (
	"spurwinch/choice"
	"spurwinch/internal/edge"
)

// attempt is one attempt of a client's request at a server (edge.UpstreamRequest).
type attempt struct {
	client     *client
	upstream   *edge.Attempt
	node       *node
	server     *server
	connection *connection // nil until the set-up is done
	closed     bool
}

// Attempt starts an upstream request: the connection, the way of the request, the set-up, and the way of the answer.
func (c *client) Attempt(upstream *edge.Attempt) edge.UpstreamRequest {
	sim := c.sim
	started := &attempt{client: c, upstream: upstream, node: c.node, server: sim.serverByID[upstream.Server.ID]}
	c.attempt = started
	c.node.connections++
	if upstream.AlreadyOpen() {
		sim.schedule(sim.now, started.node, started.restore)
		return started
	}
	latency := sim.latencies[started.node.zone][started.server.zone]
	sim.schedule(sim.now+2*latency, started.node, started.connected)
	sim.schedule(sim.now+3*latency, nil, started.requestArrived)
	return started
}

// restore opens a connection that was set up before the load began.
func (a *attempt) restore() {
	if a.closed {
		return
	}
	a.connection = newConnection(a.server, a.client)
	a.server.open(a.connection)
	a.upstream.Established()
}

// connected is called when the node knows whether its connection to the server was accepted.
func (a *attempt) connected() {
	if a.closed {
		return
	}
	if a.server.failed {
		a.end(choice.ConnectFailed)
		return
	}
	a.upstream.Connected()
	if a.upstream.Begin() {
		a.upstream.Written()
	}
}

// requestArrived is called when the request is at the server.
func (a *attempt) requestArrived() {
	if a.closed || a.server.failed {
		return
	}
	a.server.setUp(a.client, a.setUpDone)
}

// setUpDone is called with the outcome at the server; the connection is nil unless it was set up.
func (a *attempt) setUpDone(outcome choice.Outcome, opened *connection) {
	a.connection = opened
	if a.closed && opened != nil { // given up meanwhile; the work was done all the same
		a.server.close(opened)
		return
	}
	sim := a.client.sim
	latency := sim.latencies[a.node.zone][a.server.zone]
	sim.schedule(sim.now+latency, a.node, func() {
		switch {
		case a.closed:
		case opened == nil:
			a.end(outcome)
		default:
			sim.stats.Established++
			a.client.failures = 0
			a.upstream.Established()
		}
	})
}

// end reports the attempt's outcome to the node.
func (a *attempt) end(outcome choice.Outcome) {
	a.close()
	if !a.node.lost {
		a.upstream.Ended(outcome, nil)
	}
}

func (a *attempt) close() {
	if a.closed {
		return
	}
	a.closed = true
	a.node.connections--
	if a.connection != nil {
		a.connection.server.close(a.connection)
	}
}

// GiveUp stops waiting, or ends the connection.
func (a *attempt) GiveUp() { a.close() }
