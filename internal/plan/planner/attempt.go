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

// Attempt starts an upstream request. It schedules the connection to the server and the arrival of the request there.
// The arrival starts the set-up at the server, after which the reply travels back to the node. A connection that was
// set up before the load began is opened without these delays.
func (c *client) Attempt(upstream *edge.Attempt) edge.UpstreamRequest {
	sim := c.sim
	started := &attempt{client: c, upstream: upstream, node: c.node, server: sim.serverByID[upstream.Server.ID]}
	c.attempt = started
	c.node.connections++
	if upstream.AlreadyOpen() {
		sim.schedule(sim.now, started.node, started.openExisting)
		return started
	}
	latency := sim.latencies[started.node.zone][started.server.zone]
	sim.schedule(sim.now+2*latency, started.node, started.connected)
	sim.schedule(sim.now+3*latency, nil, started.requestArrived)
	return started
}

// openExisting opens a connection that was set up before the load began.
func (a *attempt) openExisting() {
	if a.closed {
		return
	}
	a.connection = newConnection(a.server, a.client)
	a.server.open(a.connection)
	a.upstream.Established()
}

// connected runs when the node learns whether the server accepted its connection.
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

// requestArrived runs when the request reaches the server.
func (a *attempt) requestArrived() {
	if a.closed || a.server.failed {
		return
	}
	a.server.setUp(a.client, a.setUpDone)
}

// setUpDone runs when the outcome is known at the server. The connection is nil unless the set-up succeeded.
func (a *attempt) setUpDone(outcome choice.Outcome, opened *connection) {
	a.connection = opened
	if a.closed && opened != nil { // the attempt was closed during the set-up, but the server did the work
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

// end closes the attempt and reports its outcome to the node unless the node is lost.
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

// GiveUp abandons a pending set-up or closes the connection.
func (a *attempt) GiveUp() { a.close() }
