package simulation

import (
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/faults"
)

// minConnection is how long a connection lasts at least.
const minConnection = 100 * time.Millisecond

// attempt is an attempt of a client's request at a server. It implements edge.UpstreamRequest.
type attempt struct {
	client   *client
	upstream *edge.Attempt
	server   *server
	ended    bool // without a connection, or cancelled by the node
}

// arrive has the server answer the attempt, by its state at this moment. It is called a network delay after the node
// has sent the attempt, which may have been cancelled since. A server that became silent on the way gives no answer.
func (a *attempt) arrive() {
	if a.ended {
		return
	}
	switch a.server.failure {
	case silent, unresponsive:
		// no answer ever comes
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

// establish opens the client's connection to the server, until the client needs it no longer.
func (a *attempt) establish() {
	world := a.client.world
	a.server.connections[a] = true
	a.client.established = a
	a.upstream.Established()
	a.recordEnd()
	a.client.recordAnswer(faults.ResultServed, a.server.zone)
	world.schedule(max(a.client.disconnectAt, world.now+minConnection), func() {
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

// GiveUp implements edge.UpstreamRequest: the node cancels the attempt or ends its connection.
func (a *attempt) GiveUp() {
	if !a.ended {
		a.ended = true
		if !a.server.connections[a] {
			a.recordEnd()
		}
	}
	delete(a.server.connections, a)
}

// recordEnd records that the server has the request no longer, or has answered it.
func (a *attempt) recordEnd() {
	a.client.world.record(faults.Event{Kind: faults.KindAttemptEnd, ID: a.client.id, To: string(a.server.id)})
}
