package failover

import (
	"slices"
	"time"
)

// VersionedPlan is a plan that may be in use, with the time when it became the newest here.
type VersionedPlan struct {
	Number uint64
	Plan   *Plan
	From   time.Duration
}

const mostKnown = 128

// PlanHistory is what a node has seen of plans: one that comes to lead must reckon with all that may be in use.
type PlanHistory struct {
	Plans []VersionedPlan // oldest first
}

// Add takes a plan in, and forgets those that were followed by another one so long ago that nobody crosses zones by them.
func (h *PlanHistory) Add(number uint64, p *Plan, now time.Duration) {
	if n := len(h.Plans); n > 0 && h.Plans[n-1].Number >= number {
		return
	}
	h.Plans = append(h.Plans, VersionedPlan{number, p, now})
	for len(h.Plans) > 1 && now-h.Plans[1].From > 2*forgetLost || len(h.Plans) > mostKnown {
		h.Plans = h.Plans[1:]
	}
}

// ApplyPlan tells which plan the log has now.
func (p *Planner) ApplyPlan(number uint64, plan *Plan, now time.Duration) {
	if n := len(p.known); n > 0 && p.known[n-1].Number >= number {
		return
	}
	p.known = append(p.known, VersionedPlan{number, plan, now})
	p.proposed = 0
	least := p.leastConfirmed(number, now)
	for len(p.known) > 1 && (p.obsolete(p.known[1], least, now) || len(p.known) > mostKnown) {
		p.known = p.known[1:]
	}
}

// leastConfirmed is the oldest plan that any node may still go by, newest at most: the least of those that nodes have said to use.
func (p *Planner) leastConfirmed(newest uint64, now time.Duration) uint64 {
	least := newest
	for node := range p.list.Len() {
		if at, lost := p.cut.LostSince(node); !lost || now-at < forgetLost {
			least = min(least, p.confirmed[node])
		}
	}
	return least
}

// obsolete says whether nobody can use plans before this one any longer: all have said that they use it or a newer one, and crossings of those
// that can't be heard are over.
func (p *Planner) obsolete(next VersionedPlan, least uint64, now time.Duration) bool {
	return next.Number <= least && now-next.From > p.crossingsEnd()+settles
}

// crossingsEnd is how long after a newer plan came the crossings of the older one may go on: they end by each node's own clock.
func (p *Planner) crossingsEnd() time.Duration { return p.rules.GrantLifetime + time.Second }

// mayCross says whether a zone's nodes may have connections in another one, by any plan known here.
func (p *Planner) mayCross(from, to string) bool {
	return slices.ContainsFunc(p.known, func(k VersionedPlan) bool { return k.Plan.grantByName(from, to) > 0 })
}

// grantByName is the grant from one zone to another; 0 where the plan doesn't know them.
func (p *Plan) grantByName(from, to string) float64 {
	a, b := p.zone(from), p.zone(to)
	if a < 0 || b < 0 {
		return 0
	}
	return p.grant(a, b)
}

// usage is the most that each node may have in each zone, by any plan that it may still go by.
type usage struct {
	place map[string]int // of zones in the rows
	most  [][]float64    // by node and zone
}

// raise takes in what one plan lets a node have in a zone.
func (u *usage) raise(node, zone int, load float64) {
	u.most[node][zone] = max(u.most[node][zone], load)
}

// inUse is the most that each node may have from its zone in each zone, by its place, by any plan that it may still go by.
func (p *Planner) inUse(now time.Duration) [][]float64 {
	use := &usage{place: map[string]int{}, most: make([][]float64, p.list.Len())}
	for i, zone := range p.zones {
		use.place[zone] = i
	}
	for node := range use.most {
		use.most[node] = make([]float64, len(p.zones))
	}
	for i := range p.known {
		p.addGrantsInUse(use, i, now)
		if !p.follows(i) {
			p.addUnknownInUse(use, p.known[i], now)
		}
	}
	return use.most
}

// addGrantsInUse adds the grants of a known plan to what is in use.
func (p *Planner) addGrantsInUse(use *usage, i int, now time.Duration) {
	known := p.known[i]
	crossed := i+1 < len(p.known) && now-p.known[i+1].From > p.crossingsEnd()
	lost := map[int]bool{}
	for _, node := range known.Plan.LostNodes {
		lost[node] = true
	}
	for _, g := range known.Plan.Grants {
		from, ownZone := known.Plan.Zones[g.From], g.From == g.To
		_, fromListed := use.place[from.Name]
		to, toListed := use.place[known.Plan.Zones[g.To].Name]
		if !fromListed || !toListed || !ownZone && crossed {
			continue
		}
		for _, node := range p.list.InZone(from.Name) {
			if known.Number < p.confirmed[node] {
				continue // it has said that it uses a newer one
			}
			use.raise(node, to, from.nodeShare(float64(g.Load), ownZone, lost[node]))
		}
	}
}

// addUnknownInUse adds what plans that this planner never knew had left in use: each plan tells that of those before it.
func (p *Planner) addUnknownInUse(use *usage, known VersionedPlan, now time.Duration) {
	crossed := now-known.From > p.crossingsEnd()
	for from, shares := range known.Plan.Before {
		for _, node := range p.list.InZone(known.Plan.Zones[from].Name) {
			if p.confirmed[node] >= known.Number {
				continue
			}
			lostAt, lost := p.cut.LostSince(node)
			forgotten := lost && now-lostAt >= forgetLost
			for to, share := range shares {
				place, listed := use.place[known.Plan.Zones[to].Name]
				if ownZone := from == to; !listed || ownZone && forgotten || !ownZone && crossed {
					continue
				}
				use.raise(node, place, float64(share))
			}
		}
	}
}

// follows says that the plan before a known one is known too.
func (p *Planner) follows(i int) bool {
	return i > 0 && p.known[i].Plan.Previous == p.known[i-1].Number
}
