package planner

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/fleet"
	"spurwinch/internal/load"
)

// client is one session's client: it comes, is answered, comes again after a break or a refusal, and leaves when it wants
// its connection no longer.
type client struct {
	w        *world
	s        *load.Session
	worth    float64 // a second
	node     *node   // where its request or connection is
	request  *edge.Request
	try      *try
	failures int
	gone     bool
}

// try is one attempt.
type try struct {
	c      *client
	a      *edge.Attempt
	node   *node
	conn   *conn
	closed bool
}

func (c *client) class() *fleet.Class { return &c.w.fleet.Classes[c.s.Class] }

// arrive begins a session.
func (w *world) arrive(s *load.Session, worth float64) {
	c := &client{w: w, s: s, worth: worth}
	e := max(0, s.Edition)
	w.limits.hit(w, limitShare, nil, float64(w.held[e]+1)/w.quota[e])
	w.held[e]++
	w.stats.Sessions++
	w.at(s.At+s.Life, nil, c.leave)
	c.come()
}

// leave ends the session.
func (c *client) leave() {
	e := max(0, c.s.Edition)
	c.gone = true
	c.w.held[e]--
	if r := c.request; r != nil {
		c.settled()
		r.Gone()
		c.node.core.Flush()
	}
}

// come has the client connect to a node of its centre, or of another one where its own has none.
func (c *client) come() {
	w := c.w
	if c.gone {
		return
	}
	var near, far []*node
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		if far = append(far, n); c.s.Centre < 0 || n.centre == c.s.Centre {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		c.again(0)
		return
	}
	n := near[w.rng.IntN(len(near))]
	w.at(w.now+time.Duration(w.fleet.Network.Client), n.core, func() { c.open(n) })
}

func (c *client) open(n *node) {
	w := c.w
	if c.gone || n.dead {
		return
	}
	w.stats.Requests++
	w.requests[min(int(w.now/time.Second), len(w.requests)-1)]++
	if w.limits.hit(w, limitSockets, nil, float64(n.open+2)/float64(n.most)); n.open+2 > n.most {
		w.stats.Refused++
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
	c.request = n.core.Open(edge.Spec{ID: choice.RequestID(strconv.Itoa(w.ids)), Class: c.s.Class, Tenant: c.s.Edition, Key: c.s.Client,
		Group: c.s.Group, Load: told, Deadline: epoch.Add(w.now + time.Duration(c.class().Patience))}, c)
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
	span := time.Duration(k.RejoinMax) - time.Duration(k.RejoinMin)
	c.w.at(c.w.now+time.Duration(k.RejoinMin)+time.Duration(c.w.rng.Float64()*float64(span)), nil, c.come)
}

// Attempt starts an upstream request: a connection, the request's way, the set-up, and the answer's way back.
func (c *client) Attempt(a *edge.Attempt) edge.UpstreamRequest {
	w, n, h := c.w, c.node, c.w.byID[a.Host.ID]
	t := &try{c: c, a: a, node: n}
	c.try = t
	n.open++
	way := w.ways[n.centre][h.centre]
	w.at(w.now+2*way, n.core, func() {
		if t.closed {
			return
		}
		if h.dead {
			t.end(choice.ConnectFailed)
			return
		}
		a.Connected()
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
			w.at(w.now+way, n.core, func() {
				switch {
				case t.closed:
				case k == nil:
					t.end(o)
				default:
					w.stats.Up++
					c.failures = 0
					a.Established()
				}
			})
		})
	})
	return t
}

// end tells the attempt's outcome.
func (t *try) end(o choice.Outcome) {
	t.close()
	if !t.node.dead {
		t.a.Ended(o, nil)
	}
}

func (t *try) close() {
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
func (t *try) GiveUp() { t.close() }

// LocalReply is a refusal or failure.
func (c *client) LocalReply(r edge.LocalReply) {
	if r.Refused {
		c.w.stats.Refused++
	} else {
		c.w.stats.Failed++
	}
	c.settled()
	c.again(r.After)
}

// Move sends the client away.
func (c *client) Move() {
	c.w.stats.Moves++
	c.try.close()
	c.settled()
	c.rejoin()
}

// broken says that the server lost the connection: the node hears of it a way later, and ends the client's side.
func (c *client) broken() {
	t := c.try
	w, n := c.w, t.node
	w.stats.Breaks++
	w.at(w.now+w.ways[n.centre][t.conn.host.centre], n.core, func() {
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
