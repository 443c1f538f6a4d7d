package planner

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// client is one session's client: it comes, is answered, comes again after a break or a refusal, and leaves when it wants
// its connection no longer.
type client struct {
	w        *simulation
	s        *workload.Session
	worth    float64 // a second
	node     *node   // where its request or connection is
	request  *edge.Request
	try      *attempt
	failures int
	gone     bool
}

// try is one attempt.
type attempt struct {
	c      *client
	a      *edge.Attempt
	node   *node
	conn   *conn
	closed bool
}

func (c *client) class() *fleet.Class { return &c.w.fleet.Classes[c.s.Class] }

// arrive begins a session.
func (w *simulation) arrive(s *workload.Session, worth float64, standing bool) {
	c := &client{w: w, s: s, worth: worth}
	e := max(0, s.Tenant)
	w.limits.hit(w, limitShare, nil, float64(w.held[e]+1)/w.quota[e])
	w.held[e]++
	w.stats.Sessions++
	w.at(s.Arrival+s.Lifetime, nil, c.leave)
	if !standing {
		c.come()
		return
	}
	// It stands at the emptier of two servers that its group draws by what servers bear, and came by a node of its centre:
	// as even as a node would have placed it, or the load would begin with a wave of moves.
	who := s.Group
	if who == 0 {
		who = s.Client
	}
	var two [2]*server // the first two of the group's own order of servers
	var most [2]float64
	for i, h := range w.hosts {
		u := (float64(workload.Mix(who^workload.Mix(uint64(i)))>>11) + 0.5) / (1 << 53)
		x := math.Log(u) / h.cores()
		if two[0] == nil || x > most[0] {
			two[1], most[1] = two[0], most[0]
			two[0], most[0] = h, x
		} else if two[1] == nil || x > most[1] {
			two[1], most[1] = h, x
		}
	}
	best := two[0]
	if best == nil {
		c.come()
		return
	}
	if o := two[1]; o != nil && o.stood/o.cores() < best.stood/best.cores() {
		best = o
	}
	best.stood += c.class().Load
	if n := c.pick(); n != nil {
		w.at(w.now, n, func() { c.openAt(n, best.id) })
	}
}

// leave ends the session.
func (c *client) leave() {
	e := max(0, c.s.Tenant)
	c.gone = true
	c.w.held[e]--
	if r := c.request; r != nil {
		c.settled()
		r.ClientGone()
		c.node.core.Flush()
	}
}

// come has the client connect to a node of its centre, or of another one where its own has none.
func (c *client) come() {
	if c.gone {
		return
	}
	n := c.pick()
	if n == nil {
		c.again(0)
		return
	}
	c.w.at(c.w.now+time.Duration(c.w.fleet.Network.Client), n, func() { c.open(n) })
}

// pick is a node of the client's centre that runs, or of another one where its own has none; nil where none runs.
func (c *client) pick() *node {
	w := c.w
	near, far := w.near[:0], w.far[:0]
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		if far = append(far, n); c.s.Zone < 0 || n.centre == c.s.Zone {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = far
	}
	w.near, w.far = near[:0], far[:0]
	if len(near) == 0 {
		return nil
	}
	return near[w.rng.IntN(len(near))]
}

func (c *client) open(n *node) { c.openAt(n, "") }

// openAt hands the request to the node; at names the server where the connection stands already.
func (c *client) openAt(n *node, at choice.ServerID) {
	w := c.w
	if c.gone {
		return
	}
	if n.dead { // it died while the client was on its way
		c.again(0)
		return
	}
	w.stats.Requests++
	w.requests[min(int(w.now/time.Second), len(w.requests)-1)]++
	if w.limits.hit(w, limitSockets, nil, float64(n.open+2)/float64(n.most)); n.open+2 > n.most {
		w.stats.Rejected++
		c.again(time.Second) // the front's own refusal
		return
	}
	n.open++
	w.ids++
	c.node = n
	n.all(c, true)
	told := 0.0
	if c.s.Load > 0 {
		told = c.s.Load * w.fleet.CoreLoad()
	}
	c.request = n.core.Open(edge.Spec{ID: choice.RequestID(strconv.Itoa(w.ids)), Class: c.s.Class, Tenant: c.s.Tenant, Key: c.s.Client,
		Group: c.s.Group, Load: told, OpenAt: at, Deadline: epoch.Add(w.now + time.Duration(c.class().Deadline))}, c)
}

// settled gives the client's descriptor back.
func (c *client) settled() {
	if c.request != nil {
		c.request = nil
		c.node.open--
		c.node.all(c, false)
	}
}

// again has the client come back after a failure.
func (c *client) again(after time.Duration) {
	k := c.w.fleet.Clients
	wait := max(time.Duration(k.Backoff), after, time.Millisecond)
	if c.failures++; c.failures > k.Retries {
		c.failures, wait = 0, max(wait, time.Duration(k.Pause))
	}
	c.w.at(c.w.now+wait, nil, c.come)
}

// rejoin has the client come back after a break or a move.
func (c *client) rejoin() {
	k := c.w.fleet.Clients
	span := time.Duration(k.ReconnectMax) - time.Duration(k.ReconnectMin)
	c.w.at(c.w.now+time.Duration(k.ReconnectMin)+time.Duration(c.w.rng.Float64()*float64(span)), nil, c.come)
}

// Attempt starts an upstream request: a connection, the request's way, the set-up, and the answer's way back.
func (c *client) Attempt(a *edge.Attempt) edge.UpstreamRequest {
	w, n, h := c.w, c.node, c.w.byID[a.Server.ID]
	t := &attempt{c: c, a: a, node: n}
	c.try = t
	n.open++
	if a.AlreadyOpen() { // set up before the load began
		w.at(w.now, n, func() {
			if !t.closed {
				t.conn = &conn{host: h, client: c, wander: workload.NewLoadProcess(w.opts.Seed^c.s.Client, c.class(), c.s.Load)}
				h.add(t.conn)
				a.Established()
			}
		})
		return t
	}
	way := w.ways[n.centre][h.centre]
	w.at(w.now+2*way, n, func() {
		if t.closed {
			return
		}
		if h.dead {
			t.end(choice.ConnectFailed)
			return
		}
		a.Connected()
		if a.Begin() {
			a.Written()
		}
	})
	w.at(w.now+3*way, nil, func() {
		if t.closed || h.dead {
			return
		}
		h.setup(c, func(o choice.Outcome, k *conn) {
			t.conn = k
			if t.closed && k != nil { // given up meanwhile; the work was done all the same
				h.remove(k)
				return
			}
			w.at(w.now+way, n, func() {
				switch {
				case t.closed:
				case k == nil:
					t.end(o)
				default:
					w.stats.Established++
					c.failures = 0
					a.Established()
				}
			})
		})
	})
	return t
}

// end tells the attempt's outcome.
func (t *attempt) end(o choice.Outcome) {
	t.close()
	if !t.node.dead {
		t.a.Ended(o, nil)
	}
}

func (t *attempt) close() {
	if t.closed {
		return
	}
	t.closed = true
	t.node.open--
	if t.conn != nil {
		t.conn.host.remove(t.conn)
	}
}

// GiveUp stops waiting, or ends the connection.
func (t *attempt) GiveUp() { t.close() }

// LocalReply is a refusal or failure.
func (c *client) LocalReply(r edge.LocalReply) {
	if r.Rejected {
		c.w.stats.Rejected++
	} else {
		c.w.stats.Failed++
	}
	c.settled()
	c.again(r.RetryAfter)
}

// Migrate sends the client away.
func (c *client) Migrate(time.Time) {
	c.w.stats.Migrations++
	c.try.close()
	c.settled()
	c.rejoin()
}

// broken says that the server lost the connection: the node hears of it a way later, and ends the client's side.
func (c *client) broken() {
	t := c.try
	if t.conn == nil { // the set-up itself ends the server: the attempt's outcome tells
		return
	}
	w, n := c.w, t.node
	w.stats.Resets++
	w.at(w.now+w.ways[n.centre][t.conn.host.centre], n, func() {
		if t.closed || n.dead || c.gone {
			return
		}
		stood := c.request != nil
		c.settled()
		t.end(choice.Reset)
		if stood {
			c.rejoin()
		}
	})
}

// nodeLost says that the client's node died under it.
func (c *client) nodeLost() {
	if c.try != nil {
		c.try.close()
	}
	c.settled()
	c.rejoin()
}

// ordered is a server's connections in the order of their clients: that of a map must not sway a run.
func ordered(m map[*conn]struct{}) []*conn {
	var out []*conn
	for k := range m {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b *conn) int { return cmp.Compare(a.client.s.Client, b.client.s.Client) })
	return out
}

func (n *node) all(c *client, in bool) {
	if n.here == nil {
		n.here = map[*client]struct{}{}
	}
	if in {
		n.here[c] = struct{}{}
	} else {
		delete(n.here, c)
	}
}

func (n *node) clients() []*client {
	var out []*client
	for c := range n.here {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *client) int { return cmp.Compare(a.s.Client, b.s.Client) })
	return out
}

func finite(x float64) bool { return !math.IsInf(x, 0) && !math.IsNaN(x) }
