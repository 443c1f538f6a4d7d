package simulation

import (
	"fmt"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/faults"
)

// client is one request of a client, from its coming to its end.
type client struct {
	w     *World
	node  *node
	zone  string
	class int
	id    string
	came  time.Duration
	until time.Duration // when it wants its connection no longer
	tries int
	r     *edge.Request
	on    *try
	over  bool
}

// try is an attempt of a client's request at a host.
type try struct {
	c    *client
	a    *edge.Attempt
	host *host
	off  bool
}

// arrivals has clients come to a zone at random, at the rate that the wanted use asks for.
func (w *World) arrivals(zone string) {
	rate := w.o.Use * float64(w.o.Hosts*w.o.Bears) / w.o.Life.Seconds()
	w.at(w.now+time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		c := w.newClient(zone)
		if w.now > firstClients {
			c.come()
		}
		w.arrivals(zone)
	})
}

// newClient draws a client: its class and how long it wants its connection.
func (w *World) newClient(zone string) *client {
	life := time.Duration(w.rng.ExpFloat64() * float64(w.o.Life))
	c := &client{w: w, zone: zone, until: w.now + min(life, 4*w.o.Life)}
	x := w.rng.Float64()
	for c.class = 0; c.class < len(faults.Classes)-1 && x > faults.Classes[c.class].Part; c.class++ {
		x -= faults.Classes[c.class].Part
	}
	return c
}

// come brings the client through the front: to a node of its zone that is up, else to any.
func (c *client) come() {
	w := c.w
	nodes := w.nodesFor(c.zone)
	if len(nodes) == 0 || w.now >= c.until {
		return
	}
	// Another one from here on: what a stopped node still has of the one before is that one's.
	c = &client{w: w, zone: c.zone, class: c.class, until: c.until, tries: c.tries, node: nodes[w.rng.IntN(len(nodes))]}
	w.ids++
	c.id, c.came = fmt.Sprintf("q%d", w.ids), w.now
	patience := w.settings.Classes[c.class].Deadline
	c.node.on(w.now, func() { c.open(patience) })
	w.at(w.now+patience+100*time.Millisecond, c.giveUp)
}

// nodesFor are the nodes that the front brings a zone's clients to.
func (w *World) nodesFor(zone string) []*node {
	var near, all []*node
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		all = append(all, n)
		if n.zone == zone {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}

// open opens the client's request at its node, unless it went before its line was read.
func (c *client) open(patience time.Duration) {
	if c.over {
		return
	}
	c.r = c.node.core.Open(edge.Spec{ID: choice.RequestID(c.id), Class: c.class, Tenant: -1, Deadline: begin.Add(c.w.now + patience)}, c)
}

// giveUp ends the client's wait, if it has no answer yet.
func (c *client) giveUp() {
	if c.over {
		return
	}
	c.answer("none", nil)
	if c.r != nil {
		c.node.on(c.w.now, c.r.ClientGone)
	}
	c.later(0)
}

// answer notes the one answer that the client gets.
func (c *client) answer(result string, h *host) {
	if c.over {
		return
	}
	c.over = true
	e := faults.Event{Kind: faults.KindAnswer, ID: c.id, Node: c.node.name, Zone: c.node.zone, Class: faults.Classes[c.class].Name, Result: result,
		Took: (c.w.now - c.came).Seconds()}
	s := c.w.served[e.Class]
	s[1]++
	if h != nil {
		e.To = h.zone
		s[0]++
	}
	c.w.served[e.Class] = s
	c.w.note(e)
}

// later has a client that was turned away come again.
func (c *client) later(after time.Duration) {
	w := c.w
	if c.tries++; c.tries > 3 {
		c.tries = 0
		after = max(after, 4*time.Second)
	}
	w.at(w.now+max(after, 100*time.Millisecond)+time.Duration(w.rng.IntN(300))*time.Millisecond, c.come)
}

// again has a client whose connection broke or was moved come again.
func (c *client) again() {
	c.tries = 0
	c.w.at(c.w.now+time.Duration(60+c.w.rng.IntN(1200))*time.Millisecond, c.come)
}

// LocalReply and the rest make a client the core's.
func (c *client) LocalReply(r edge.LocalReply) {
	if r.Rejected {
		c.answer("refused", nil)
	} else {
		c.answer("failed", nil)
	}
	c.later(r.RetryAfter)
}

func (c *client) Migrate(time.Time) {
	if c.on != nil {
		delete(c.on.host.held, c.on)
	}
	c.again()
}

// Attempt tries a host for the client.
func (c *client) Attempt(a *edge.Attempt) edge.UpstreamRequest {
	w, n := c.w, c.node
	h := w.byID[a.Server.ID]
	t := &try{c: c, a: a, host: h}
	w.note(faults.Event{Kind: faults.KindTry, ID: c.id, Node: n.name, Zone: n.zone, To: string(h.id)})
	a.Begin()
	a.Written()
	if n.cutFrom(h) {
		n.on(a.ConnectBy().Sub(begin), func() { t.end(choice.ConnectFailed) })
		return t
	}
	n.on(w.now+n.way(h), t.arrive)
	return t
}

// arrive has the host answer the attempt, in the way in which it fails, or does not.
func (t *try) arrive() {
	h := t.host
	switch {
	case t.off:
	case h.down == "silent", h.down == "mute":
	case h.down == "fails":
		t.end(choice.Failed)
	case h.down != "":
		t.end(choice.ConnectFailed)
	case len(h.held) >= h.bears*6/5:
		t.end(choice.Full)
	default:
		t.establish()
	}
}

// establish has the host hold the client's connection until the client wants it no longer.
func (t *try) establish() {
	c, h, w := t.c, t.host, t.c.w
	h.held[t] = true
	c.on = t
	t.a.Established()
	w.note(faults.Event{Kind: faults.KindTried, ID: c.id, To: string(h.id)})
	c.answer("up", h)
	w.at(max(c.until, w.now+100*time.Millisecond), func() {
		if h.held[t] {
			delete(h.held, t)
			c.node.on(w.now, c.r.ClientGone)
		}
	})
}

// end ends the attempt without a connection.
func (t *try) end(o choice.Outcome) {
	if !t.off {
		t.off = true
		t.c.w.note(faults.Event{Kind: faults.KindTried, ID: t.c.id, To: string(t.host.id)})
		t.a.Ended(o, nil)
	}
}

// GiveUp ends what is left of an attempt.
func (t *try) GiveUp() {
	if !t.off {
		t.off = true
		if !t.host.held[t] {
			t.c.w.note(faults.Event{Kind: faults.KindTried, ID: t.c.id, To: string(t.host.id)})
		}
	}
	delete(t.host.held, t)
}
