package planner

import (
	"math"
	"strconv"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// localRejectionDelay is how long a client waits that a node without a free descriptor has rejected.
const localRejectionDelay = time.Second

// client is the client of one session: it connects, waits for an answer, connects again after a reset or a rejection,
// and leaves at the end of the session. It is the front end's side of its request (edge.Client).
type client struct {
	sim      *simulation
	session  *workload.Session
	priority float64 // of a second
	node     *node   // that its request or connection is at
	request  *edge.Request
	attempt  *attempt
	failures int // since it was served
	left     bool
}

func (c *client) class() *fleet.Class { return &c.sim.fleet.Classes[c.session.Class] }

// tenant returns the index that the session is counted under.
func (c *client) tenant() int { return max(0, c.session.Tenant) }

// startSession begins the session of an index.
func (s *simulation) startSession(index int) {
	started := &client{sim: s, session: &s.load.Sessions[index], priority: s.priorities[index]}
	tenant := started.tenant()
	s.observeLimit(limitQuota, nil, float64(s.tenantHolds[tenant]+1)/s.tenantQuotas[tenant])
	s.tenantHolds[tenant]++
	s.stats.Sessions++
	s.schedule(started.session.End(), nil, started.endSession)
	if !started.session.AlreadyOpen {
		started.connect()
		return
	}
	server := s.initialServer(started)
	if server == nil {
		started.connect()
		return
	}
	server.initialLoad += started.class().Load
	if node := started.pickNode(); node != nil {
		s.schedule(s.now, node, func() { started.openAt(node, server.id) })
	}
}

// initialServer returns the server at which a connection is open when the load begins: the less loaded of the first two
// in a rendezvous order of its group by capacity. That is as even as a node would have placed it; else the load would
// begin with a wave of migrations. It is nil where there is no server.
func (s *simulation) initialServer(c *client) *server {
	key := c.session.Group
	if key == 0 {
		key = c.session.Client
	}
	var first, second *server
	var firstScore, secondScore float64
	for i, server := range s.servers {
		hash := workload.Mix(key ^ workload.Mix(uint64(i)))
		uniform := (float64(hash>>11) + 0.5) / (1 << 53)
		score := math.Log(uniform) / server.cores()
		switch {
		case first == nil || score > firstScore:
			second = first
			secondScore = firstScore
			first = server
			firstScore = score
		case second == nil || score > secondScore:
			second = server
			secondScore = score
		}
	}
	if second != nil && second.initialLoad/second.cores() < first.initialLoad/first.cores() {
		return second
	}
	return first
}

// endSession is called when the client wants its connection no longer.
func (c *client) endSession() {
	c.left = true
	c.sim.tenantHolds[c.tenant()]--
	if request := c.request; request != nil {
		c.releaseRequest()
		request.ClientGone()
		c.node.core.Flush()
	}
}

// connect has the client connect to a node.
func (c *client) connect() {
	if c.left {
		return
	}
	node := c.pickNode()
	if node == nil {
		c.retry(0)
		return
	}
	latency := time.Duration(c.sim.fleet.Network.Client)
	c.sim.schedule(c.sim.now+latency, node, func() { c.openAt(node, "") })
}

// pickNode draws a running node of the client's zone, or of any zone where its own has none; nil where none runs.
func (c *client) pickNode() *node {
	sim := c.sim
	nearby := sim.nearby[:0]
	running := sim.other[:0]
	for _, node := range sim.nodes {
		if node.lost {
			continue
		}
		running = append(running, node)
		if c.session.Zone < 0 || node.zone == c.session.Zone {
			nearby = append(nearby, node)
		}
	}
	sim.nearby = nearby[:0]
	sim.other = running[:0]
	if len(nearby) == 0 {
		nearby = running
	}
	if len(nearby) == 0 {
		return nil
	}
	return nearby[sim.rng.IntN(len(nearby))]
}

// openAt hands the request to the node. The server is the one at which the connection is already open, or empty.
func (c *client) openAt(node *node, server choice.ServerID) {
	sim := c.sim
	if c.left {
		return
	}
	if node.lost { // while the client was on its way
		c.retry(0)
		return
	}
	sim.stats.Requests++
	sim.requestsBySecond[min(int(sim.now/time.Second), len(sim.requestsBySecond)-1)]++
	needed := node.connections + 2 // the client's, and the one to the server
	sim.observeLimit(limitDescriptors, nil, float64(needed)/float64(node.maxConnections))
	if needed > node.maxConnections {
		sim.stats.Rejected++
		c.retry(localRejectionDelay)
		return
	}
	node.connections++
	node.clients[c] = struct{}{}
	c.node = node
	sim.requests++
	load := 0.0
	if c.session.Load > 0 {
		load = c.session.Load * sim.fleet.CoreLoad()
	}
	c.request = node.core.Open(edge.Spec{
		ID:       choice.RequestID(strconv.Itoa(sim.requests)),
		Class:    c.session.Class,
		Tenant:   c.session.Tenant,
		Key:      c.session.Client,
		Group:    c.session.Group,
		Load:     load,
		OpenAt:   server,
		Deadline: epoch.Add(sim.now + time.Duration(c.class().Deadline)),
	}, c)
}

// releaseRequest gives the client's descriptor back.
func (c *client) releaseRequest() {
	if c.request == nil {
		return
	}
	c.request = nil
	c.node.connections--
	delete(c.node.clients, c)
}

// retry has the client connect again after a failure, no sooner than after a delay.
func (c *client) retry(delay time.Duration) {
	clients := &c.sim.fleet.Clients
	wait := max(time.Duration(clients.Backoff), delay, time.Millisecond)
	c.failures++
	if c.failures > clients.Retries {
		c.failures = 0
		wait = max(wait, time.Duration(clients.Pause))
	}
	c.sim.schedule(c.sim.now+wait, nil, c.connect)
}

// reconnect has the client connect again after a reset or a migration.
func (c *client) reconnect() {
	clients := &c.sim.fleet.Clients
	least := time.Duration(clients.ReconnectMin)
	span := time.Duration(clients.ReconnectMax) - least
	wait := least + time.Duration(c.sim.rng.Float64()*float64(span))
	c.sim.schedule(c.sim.now+wait, nil, c.connect)
}

// LocalReply ends the request with a rejection or a failure of the node.
func (c *client) LocalReply(reply edge.LocalReply) {
	if reply.Rejected {
		c.sim.stats.Rejected++
	} else {
		c.sim.stats.Failed++
	}
	c.releaseRequest()
	c.retry(reply.RetryAfter)
}

// Migrate has the client connect again.
func (c *client) Migrate(time.Time) {
	c.sim.stats.Migrations++
	c.attempt.close()
	c.releaseRequest()
	c.reconnect()
}

// connectionReset is called when the server has lost the connection: the node notices a latency later, and ends the
// client's side.
func (c *client) connectionReset() {
	attempt := c.attempt
	if attempt.connection == nil { // it failed of this very set-up, whose outcome says so
		return
	}
	sim := c.sim
	node := attempt.node
	sim.stats.Resets++
	latency := sim.latencies[node.zone][attempt.connection.server.zone]
	sim.schedule(sim.now+latency, node, func() {
		if attempt.closed || node.lost || c.left {
			return
		}
		wasOpen := c.request != nil
		c.releaseRequest()
		attempt.end(choice.Reset)
		if wasOpen {
			c.reconnect()
		}
	})
}

// loseNode is called when the client's node is lost.
func (c *client) loseNode() {
	if c.attempt != nil {
		c.attempt.close()
	}
	c.releaseRequest()
	c.reconnect()
}
