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

// localRejectionDelay is how long a client waits after a node without a free descriptor has rejected it.
const localRejectionDelay = time.Second

// client is the client of one session. It connects, waits for a reply, connects again after a reset or a rejection, and
// leaves at the end of the session. It implements edge.Client, the front end's side of a request.
type client struct {
	sim      *simulation
	session  *workload.Session
	priority float64 // weight of one second of the session
	node     *node   // that handles its request or connection
	request  *edge.Request
	attempt  *attempt
	failures int  // since it was last served
	left     bool // its session is over
}

func (c *client) class() *fleet.Class { return &c.sim.fleet.Classes[c.session.Class] }

// tenant returns the index under which the session is counted, which is 0 for a session without a tenant.
func (c *client) tenant() int { return max(0, c.session.Tenant) }

// startSession starts the session with the given index.
func (s *simulation) startSession(index int) {
	started := &client{sim: s, session: &s.load.Sessions[index], priority: s.priorities[index]}
	tenant := started.tenant()
	s.observeLimit(limitQuota, nil, float64(s.tenantSessions[tenant]+1)/s.tenantQuotas[tenant])
	s.tenantSessions[tenant]++
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

// initialServer returns the server of a connection that is open when the load begins, or nil if there is no server. It
// picks the less loaded of the first two servers in a rendezvous order, which is weighted by capacity and keyed by the
// session's group, or by its client if it has no group. This spreads the connections as evenly as the nodes would;
// otherwise the load would begin with a wave of migrations.
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

// endSession runs when the client no longer needs its connection.
func (c *client) endSession() {
	c.left = true
	c.sim.tenantSessions[c.tenant()]--
	if request := c.request; request != nil {
		c.releaseRequest()
		request.ClientGone()
		c.node.core.Flush()
	}
}

// connect makes the client connect to a running node, or try again later if there is none.
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

// pickNode picks a random running node of the client's zone, or of any zone if its own has none. It returns nil if no
// node is running.
func (c *client) pickNode() *node {
	sim := c.sim
	nearby := sim.nearby[:0]
	running := sim.running[:0]
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
	sim.running = running[:0]
	if len(nearby) == 0 {
		nearby = running
	}
	if len(nearby) == 0 {
		return nil
	}
	return nearby[sim.rng.IntN(len(nearby))]
}

// openAt passes the client's request to the node. server is the server at which the connection is already open, or
// empty.
func (c *client) openAt(node *node, server choice.ServerID) {
	sim := c.sim
	if c.left {
		return
	}
	if node.lost { // lost while the client was connecting
		c.retry(0)
		return
	}
	sim.stats.Requests++
	sim.requestsBySecond[min(int(sim.now/time.Second), len(sim.requestsBySecond)-1)]++
	needed := node.connections + 2 // one for the client, one for the connection to the server
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

// releaseRequest drops the client's request and frees its descriptor at the node.
func (c *client) releaseRequest() {
	if c.request == nil {
		return
	}
	c.request = nil
	c.node.connections--
	delete(c.node.clients, c)
}

// retry makes the client connect again after a failure, at the earliest after the given delay.
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

// reconnect makes the client connect again, after a random wait, when its connection was reset or migrated.
func (c *client) reconnect() {
	clients := &c.sim.fleet.Clients
	shortest := time.Duration(clients.ReconnectMin)
	span := time.Duration(clients.ReconnectMax) - shortest
	wait := shortest + time.Duration(c.sim.rng.Float64()*float64(span))
	c.sim.schedule(c.sim.now+wait, nil, c.connect)
}

// LocalReply handles the node's rejection or failure of the request and makes the client retry.
func (c *client) LocalReply(reply edge.LocalReply) {
	if reply.Rejected {
		c.sim.stats.Rejected++
	} else {
		c.sim.stats.Failed++
	}
	c.releaseRequest()
	c.retry(reply.RetryAfter)
}

// Migrate closes the connection and makes the client connect again.
func (c *client) Migrate(time.Time) {
	c.sim.stats.Migrations++
	c.attempt.close()
	c.releaseRequest()
	c.reconnect()
}

// connectionReset runs when the server has reset the connection. The node notices after the latency between the zones
// and then ends the client's side.
func (c *client) connectionReset() {
	attempt := c.attempt
	if attempt.connection == nil { // the server failed during this set-up, and the outcome of the set-up reports it
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

// loseNode runs when the client's node is lost. It closes the connection and makes the client connect again.
func (c *client) loseNode() {
	if c.attempt != nil {
		c.attempt.close()
	}
	c.releaseRequest()
	c.reconnect()
}
