package simulation

import (
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/faults"
)

// minConnectionLifetime is the minimum lifetime of a connection.
const minConnectionLifetime = 100 * time.Millisecond

// attempt is one attempt to place a client's request on a server. It implements edge.UpstreamRequest.
type attempt struct {
	client   *client
	upstream *edge.Attempt
	server   *server
	ended    bool // it ended without a connection, or the node cancelled it
}

// arrive makes the server answer the attempt according to its current state. It is called one network delay after the
// node has sent the attempt. In the meantime the node may have cancelled the attempt, or the server may have become
// silent, in which case it does not answer.
func (a *attempt) arrive() {
	if a.ended {
		return
	}
	switch a.server.failure {
	case silent, unresponsive:
		// the server never answers
	case failing:
		a.end(choice.Failed)
	case refusing:
		a.end(choice.ConnectFailed)
	case healthy:
		if a.server.isFull() {
			a.end(choice.Full)
			return
		}
		a.establish()
	}
}

// establish opens the client's connection to the server and schedules its end, when the client no longer needs it.
func (a *attempt) establish() {
	world := a.client.world
	a.server.connections[a] = true
	a.client.established = a
	a.upstream.Established()
	a.recordEnd()
	a.client.recordAnswer(faults.ResultServed, a.server.zone)
	world.schedule(max(a.client.disconnectAt, world.now+minConnectionLifetime), func() {
		if a.server.connections[a] {
			delete(a.server.connections, a)
			a.client.node.schedule(world.now, a.client.request.ClientGone)
		}
	})
}

// end ends the attempt without a connection.
func (a *attempt) end(outcome choice.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.recordEnd()
	a.upstream.Ended(outcome, nil)
}

// GiveUp implements edge.UpstreamRequest. The node calls it to cancel the attempt or to end its connection.
func (a *attempt) GiveUp() {
	if !a.ended {
		a.ended = true
		if !a.server.connections[a] {
			a.recordEnd()
		}
	}
	delete(a.server.connections, a)
}

// recordEnd records that the server has answered the request or no longer has it.
func (a *attempt) recordEnd() {
	a.client.world.record(faults.Event{Kind: faults.KindAttemptEnd, ID: a.client.id, To: string(a.server.id)})
}
