package faults

import (
	"spurwinch/internal/failover"
)

func (c *checker) plan(e Event) {
	if old, ok := c.digests[e.Number]; ok && old != e.Digest {
		c.broken("agreed log (1)", e.At, "%s acts on number %d with digest %s, others on %s", e.Node, e.Number, e.Digest, old)
	}
	c.digests[e.Number] = e.Digest
	if e.Number < c.newest[e.Node] {
		c.broken("agreed log (2)", e.At, "%s went back from %d to %d", e.Node, c.newest[e.Node], e.Number)
	}
	c.newest[e.Node], c.using[e.Node] = e.Number, e.Number
	if at, ok := c.first[e.Number]; ok {
		c.spread = append(c.spread, e.At-at)
	} else {
		c.first[e.Number] = e.At
		c.v.Seen["plans"]++
		if p, err := failover.DecodePlan(e.Plan); err == nil {
			c.plans[e.Number] = p
			c.turned(e.At, p)
			c.viewed(e.At, p)
		} else {
			c.broken("agreed log", e.At, "plan %d can't be read: %v", e.Number, err)
		}
	}
	c.room(e.Node, e.At)
}

// turned notes zones that were lost or came back.
func (c *checker) turned(at float64, p *failover.Plan) {
	for _, z := range p.Zones {
		if old, ok := c.states[z.Name]; !ok || old != z.State {
			c.states[z.Name] = z.State
			delete(c.wellSince, z.Name)
			if z.State == failover.Healthy {
				c.wellSince[z.Name] = at
			}
			c.v.Seen["zone "+z.State.String()]++
		}
		all := c.turns[z.Name]
		lost := z.State == failover.Lost
		if len(all) == 0 && !lost || len(all) > 0 && all[len(all)-1].lost == lost {
			continue
		}
		if len(all) >= 2 { // it turned before: lost, back, and now again
			c.v.Figures.Reversals++
		}
		all = append(all, turn{at, lost})
		c.turns[z.Name] = all
		back := 0
		for _, t := range all {
			if !t.lost && at-t.at < c.limits.TurnTime {
				back++
			}
		}
		if back > 1 {
			c.broken("plans: reversals", at, "zone %s came back %d times within %.0f s", z.Name, back, c.limits.TurnTime)
		}
	}
}

// room holds, at each change of what a node goes by, that all that the nodes may have in a zone together is within the room that a plan
// in use states for it.
func (c *checker) room(node string, at float64) {
	old := c.part[node]
	if old.plan > 0 {
		if c.inUse[old.plan]--; c.inUse[old.plan] == 0 {
			delete(c.inUse, old.plan)
		}
	}
	for z, v := range old.has {
		c.granted[z] -= v
	}
	delete(c.part, node)
	now := part{has: map[string]float64{}}
	p, i := c.plans[c.using[node]], c.list.Index(node)
	if c.live[node] && p != nil && c.mode[node] != "alone" && i >= 0 {
		m := failover.Planned
		if c.mode[node] == "ground" {
			m = failover.OwnZoneOnly
		}
		now.has = failover.GrantShare(m, p, i, c.zoneOf[node])
		for z, v := range c.loans[node] {
			now.has[z] += v
		}
		for z, v := range now.has {
			c.granted[z] += v
		}
		now.plan = c.using[node]
		c.inUse[now.plan]++
		c.part[node] = now
	}
	for z := range now.has {
		room := 0.0
		for n := range c.inUse {
			if p := c.plans[n]; p != nil {
				room = max(room, p.StatedCapacity(z))
			}
		}
		if v := c.granted[z]; v > room*(1+c.limits.RoomSlack)+0.1 && now.has[z] > old.has[z]+1e-6 {
			c.broken("plans (5)", at, "with plan %d at %s all nodes together may have %.2f in zone %s, its stated room is %.2f", now.plan, node, v, z, room)
		}
	}
}

type part struct {
	plan uint64
	has  map[string]float64
}

// viewed holds that nobody is out of the common view whom no fault has touched: a single node, or a minority, changes no plan.
func (c *checker) viewed(at float64, p *failover.Plan) {
	for _, i := range p.LostNodes {
		if i < 0 || i >= c.list.Len() {
			continue
		}
		n := c.list.Node(i)
		if !c.touched(n) {
			c.broken("plans (6)", at, "%s is out of the view, and nothing happened to it", n.Name)
		}
	}
}
