package failover

import (
	"maps"
	"math"
	"slices"
)

// zoneGrants are the grants for one zone's room.
type zoneGrants struct {
	*grantBuilder
	to       int
	order    []int           // the zones that get grants: the zone itself first
	grants   []float64       // by zone that gets it
	granted  float64         // sum of the grants
	used     []float64       // by zone that has it: what plans in use and the new grants allow there
	promised float64         // sum of that, with what is lent
	lent     map[int]float64 // by lender
}

// newZoneGrants finds what plans in use have committed of a zone's room.
func (b *grantBuilder) newZoneGrants(to int) *zoneGrants {
	n := len(b.planner.zones)
	g := &zoneGrants{grantBuilder: b, to: to, order: []int{to}, grants: make([]float64, n), used: make([]float64, n)}
	for from, name := range b.planner.zones {
		for _, node := range b.planner.list.InZone(name) {
			g.used[from] += b.inUse[node][to]
		}
		g.promised += g.used[from]
		if from != to {
			g.order = append(g.order, from)
		}
	}
	lent, sum := b.planner.lending(b.planner.zones[to], b.now)
	g.lent = lent
	g.promised += sum
	return g
}

// allocated is the load that was allocated to a zone here.
func (g *zoneGrants) allocated(from int) float64 { return g.allocation.between(from, g.to) }

// grant makes the grants: what clients need goes before what stands by for them, and a zone's own clients go first.
func (g *zoneGrants) grant() {
	for _, from := range g.order {
		g.raise(from, min(g.allocated(from), g.fitting(from)))
	}
	for _, from := range g.order {
		load := min(g.target[from][g.to], g.fitting(from))
		// To spare is only what the new grants together leave.
		load = min(load, float64(g.roomFor(from))-(g.granted-g.grants[from]))
		g.raise(from, load)
	}
}

// roomFor is the part of the zone's room that one zone's nodes may have.
func (g *zoneGrants) roomFor(from int) float32 {
	zone := g.plan.Zones[g.to]
	switch {
	case from != g.to && zone.State == Lost:
		return 0
	case from == g.to && zone.Listed > zone.Nodes: // those out of the view may be there, with a part of their own
		return zone.Capacity / (1 + float32(zone.Listed-zone.Nodes)/float32(zone.Listed))
	}
	return zone.Capacity
}

// fitting is the largest grant to a zone that fits beside all that is committed to others.
func (g *zoneGrants) fitting(from int) float64 {
	return g.largestFitting(from, g.to, max(0, float64(g.roomFor(from))-(g.promised-g.used[from])))
}

// raise raises the grant to a zone, if the load is larger than it.
func (g *zoneGrants) raise(from int, load float64) {
	load = max(g.grants[from], load)
	used := g.committed(from, g.to, load)
	g.promised = g.promised + used - g.used[from]
	g.granted = g.granted + load - g.grants[from]
	g.grants[from], g.used[from] = load, used
}

// shrinkToRoom cuts grants where the zone's room has shrunk below what nodes have already, guests first. Nodes out of the view may be there,
// with a part of their own.
func (g *zoneGrants) shrinkToRoom() {
	zone := g.plan.Zones[g.to]
	room := float64(zone.Capacity)
	unseen := 1 + float64(zone.Listed-zone.Nodes)/float64(max(1, zone.Listed))
	g.grants[g.to] = min(g.grants[g.to], room/unseen)
	guests := 0.0
	for from, load := range g.grants {
		if from != g.to {
			guests += load
		}
	}
	if left := max(0, room-g.grants[g.to]*unseen); guests > left {
		for from := range g.grants {
			if from != g.to {
				g.grants[from] *= left / guests
			}
		}
		guests = left
	}
	g.granted = g.grants[g.to]*unseen + guests
}

// lendRest has the zone's lender lend what nobody needs and nobody stands by for, and for now what guests have no grant for yet: that becomes
// grants as older plans go out of use. A lender may have lent by its older plans what its new one takes back.
func (g *zoneGrants) lendRest() {
	zone := &g.plan.Zones[g.to]
	if zone.LeaseOwner < 0 || zone.State != Healthy && zone.State != Returning {
		return
	}
	unmet := 0.0
	for from, load := range g.grants {
		if from != g.to {
			unmet += max(0, g.allocated(from)-load)
		}
	}
	room := float64(zone.Capacity)
	reserve := min(max(g.reserve[g.to], lentOn*unmet), room-g.granted, room-(g.promised-g.lent[zone.LeaseOwner]))
	zone.Reserve = float32(max(0, reserve))
}

// fallShort says that the grants fall well short of their targets, because of older plans in use.
func (g *zoneGrants) fallShort() bool {
	zone := g.plan.Zones[g.to]
	missing := g.reserve[g.to] - float64(zone.Reserve)
	for from, load := range g.grants {
		missing += max(0, g.target[from][g.to]-load)
	}
	return missing > constrainedAt*float64(zone.Capacity)
}

// addTo adds the grants to a plan, with what lenders may have lent. keepForStaying has a part of each kept for classes that must stay in
// their region.
func (g *zoneGrants) addTo(plan *Plan, keepForStaying bool) {
	for _, lender := range slices.Sorted(maps.Keys(g.lent)) {
		plan.Reserves = append(plan.Reserves, CapacityReserve{Zone: g.to, Owner: lender, Load: float32(g.lent[lender])})
	}
	for from := range g.grants {
		if from != g.to {
			plan.Zones[g.to].GuestLoad += float32(g.allocated(from))
		}
	}
	for _, from := range g.order {
		load := g.grants[from]
		if load <= 1e-3 {
			continue
		}
		staying := 0.0
		if keepForStaying {
			staying = g.staying(from)
		}
		plan.Grants = append(plan.Grants, Grant{From: from, To: g.to, Load: float32(load), RegionLoad: float32(min(1.3*staying, load))})
	}
}

// staying is the load allocated to a zone here of classes that must stay in their region.
func (g *zoneGrants) staying(from int) (load float64) {
	for class, rule := range g.planner.rules.Classes {
		if rule.StayInRegion {
			load += g.allocation[from][g.to][class]
		}
	}
	return load
}

// committed is what all nodes of a zone may have in another once a grant is added to the plans in use.
func (b *grantBuilder) committed(from, to int, grant float64) (sum float64) {
	zone := b.plan.Zones[from]
	for _, node := range b.planner.list.InZone(zone.Name) {
		share := zone.nodeShare(grant, from == to, !b.planner.cut.Live(node))
		sum += max(share, b.inUse[node][to])
	}
	return sum
}

// largestFitting is the largest grant with which a zone's nodes stay within a room; what they may have by older plans can't be taken back
// here.
func (b *grantBuilder) largestFitting(from, to int, room float64) float64 {
	kept, ok := b.keptByAll(from, to)
	if !ok {
		return 0
	}
	if b.committed(from, to, kept) >= room {
		return kept
	}
	fits, exceeds := 0.0, room*2+1
	for range 40 { // halves the interval: more than a float's precision asks for
		middle := (fits + exceeds) / 2
		if b.committed(from, to, middle) <= room {
			fits = middle
		} else {
			exceeds = middle
		}
	}
	return max(fits, kept)
}

// keptByAll is the grant that each live node of a zone may use already: nobody else was promised it, so it always fits. ok says whether
// there is a live node.
func (b *grantBuilder) keptByAll(from, to int) (grant float64, ok bool) {
	zone := b.plan.Zones[from]
	least := math.Inf(1)
	for _, node := range b.planner.list.InZone(zone.Name) {
		if b.planner.cut.Live(node) {
			least = min(least, b.inUse[node][to])
		}
	}
	if math.IsInf(least, 1) {
		return 0, false
	}
	return least * float64(zone.Nodes), true
}
