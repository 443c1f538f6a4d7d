package simulation

import (
	"fmt"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/faults"
)

const (
	answerGrace            = 100 * time.Millisecond // a client waits this much longer than its deadline for an answer
	minRetryDelay          = 100 * time.Millisecond
	maxRetryJitter         = 300 // ms
	maxConsecutiveFailures = 3   // after more failures in a row, a client waits for longRetryDelay
	longRetryDelay         = 4 * time.Second
	minReconnectDelay      = 60   // ms
	reconnectSpread        = 1200 // ms
	maxLifetimeFactor      = 4    // maximum lifetime of a connection, as a multiple of the mean
)

// client is the client of one request, from the first byte of the request to the end of its connection. It implements
// edge.Client.
type client struct {
	world               *World
	node                *node
	zone                string
	class               int
	id                  string
	startedAt           time.Duration
	disconnectAt        time.Duration // when the client no longer needs its connection
	consecutiveFailures int           // requests in a row that were not served
	request             *edge.Request
	established         *attempt
	answered            bool
}

// scheduleArrival schedules the next arrival of a client in a zone. Arrivals are a Poisson process at the rate that
// gives the utilization set in the options. Clients that arrive up to firstClientTime do not connect.
func (w *World) scheduleArrival(zone string) {
	demand := w.options.Utilization * float64(w.options.zoneCapacity())
	rate := demand / w.options.ConnectionLifetime.Seconds()
	w.schedule(w.now+time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		arrived := w.newClient(zone)
		if w.now > firstClientTime {
			arrived.connect()
		}
		w.scheduleArrival(zone)
	})
}

// newClient creates a client with a random class and a random connection lifetime.
func (w *World) newClient(zone string) *client {
	mean := w.options.ConnectionLifetime
	lifetime := time.Duration(w.rng.ExpFloat64() * float64(mean))
	class := 0
	for point := w.rng.Float64(); class < len(faults.Classes)-1 && point > faults.Classes[class].Fraction; class++ {
		point -= faults.Classes[class].Fraction
	}
	return &client{world: w, zone: zone, class: class, disconnectAt: w.now + min(lifetime, maxLifetimeFactor*mean)}
}

// connect opens a connection through the front end to a random node among those that nodesFor returns. It does nothing
// if no node is up or if the client no longer needs a connection.
func (c *client) connect() {
	world := c.world
	nodes := world.nodesFor(c.zone)
	if len(nodes) == 0 || world.now >= c.disconnectAt {
		return
	}
	// Each request gets a new client, because a paused node may still have events of the previous request.
	next := &client{
		world: world, zone: c.zone, class: c.class, disconnectAt: c.disconnectAt,
		consecutiveFailures: c.consecutiveFailures, node: nodes[world.rng.IntN(len(nodes))],
	}
	world.requests++
	next.id = fmt.Sprintf("q%d", world.requests)
	next.startedAt = world.now
	deadline := world.settings.Classes[next.class].Deadline
	next.node.schedule(world.now, func() { next.open(deadline) })
	world.schedule(world.now+deadline+answerGrace, next.giveUp)
}

// nodesFor returns the nodes to which the front end sends the clients of a zone: the nodes of this zone that are up, or
// all nodes that are up if the zone has none.
func (w *World) nodesFor(zone string) []*node {
	var sameZone, all []*node
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		all = append(all, n)
		if n.zone == zone {
			sameZone = append(sameZone, n)
		}
	}
	if len(sameZone) == 0 {
		return all
	}
	return sameZone
}

// open opens the client's request at its node, unless the client gave up before the node read the request.
func (c *client) open(deadline time.Duration) {
	if c.answered {
		return
	}
	c.request = c.node.core.Open(edge.Spec{
		ID:       choice.RequestID(c.id),
		Class:    c.class,
		Tenant:   -1,
		Deadline: epoch.Add(c.world.now + deadline),
	}, c)
}

// giveUp ends a request that has no answer yet and schedules a retry.
func (c *client) giveUp() {
	if c.answered {
		return
	}
	c.recordAnswer(faults.ResultNone, "")
	if c.request != nil {
		c.node.schedule(c.world.now, c.request.ClientGone)
	}
	c.retry(0)
}

// recordAnswer records the first answer that the client gets, and the zone of the server if the request was served.
func (c *client) recordAnswer(result faults.Result, serverZone string) {
	if c.answered {
		return
	}
	c.answered = true
	c.world.record(faults.Event{
		Kind: faults.KindAnswer, ID: c.id, Node: c.node.name, Zone: c.node.zone, To: serverZone,
		Class: faults.Classes[c.class].Name, Result: result, Took: (c.world.now - c.startedAt).Seconds(),
	})
}

// retry schedules a new connection for a client whose request was not served, after at least the given delay.
func (c *client) retry(after time.Duration) {
	world := c.world
	c.consecutiveFailures++
	if c.consecutiveFailures > maxConsecutiveFailures {
		c.consecutiveFailures = 0
		after = max(after, longRetryDelay)
	}
	jitter := time.Duration(world.rng.IntN(maxRetryJitter)) * time.Millisecond
	world.schedule(world.now+max(after, minRetryDelay)+jitter, c.connect)
}

// reconnect schedules a new connection for a client whose connection broke or was migrated.
func (c *client) reconnect() {
	c.consecutiveFailures = 0
	delay := time.Duration(minReconnectDelay+c.world.rng.IntN(reconnectSpread)) * time.Millisecond
	c.world.schedule(c.world.now+delay, c.connect)
}

// LocalReply implements edge.Client. The node calls it when it answers the request itself.
func (c *client) LocalReply(reply edge.LocalReply) {
	if reply.Rejected {
		c.recordAnswer(faults.ResultRejected, "")
	} else {
		c.recordAnswer(faults.ResultFailed, "")
	}
	c.retry(reply.RetryAfter)
}

// Migrate implements edge.Client. The node calls it to ask the client to connect again.
func (c *client) Migrate(time.Time) {
	if c.established != nil {
		delete(c.established.server.connections, c.established)
	}
	c.reconnect()
}

// Attempt implements edge.Client. The node calls it to start an attempt of the client's request.
func (c *client) Attempt(upstream *edge.Attempt) edge.UpstreamRequest {
	target := c.world.serverByID[upstream.Server.ID]
	started := &attempt{client: c, upstream: upstream, server: target}
	c.world.record(faults.Event{
		Kind: faults.KindAttempt, ID: c.id, Node: c.node.name, Zone: c.node.zone, To: string(target.id),
	})
	upstream.Begin()
	upstream.Written()
	if c.node.isCutOffFrom(target) {
		c.node.schedule(upstream.ConnectBy().Sub(epoch), func() { started.end(choice.ConnectFailed) })
		return started
	}
	c.node.schedule(c.world.now+c.node.networkDelay(target), started.arrive)
	return started
}
