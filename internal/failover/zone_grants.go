package failover

import (
	"maps"
	"slices"
)

// zoneGrants builds the grants of one zone's capacity, for a grantBuilder.
type zoneGrants struct {
	builder   *grantBuilder
	to        int
	order     []int           // zones that get grants: the zone itself first
	grants    []float64       // by zone that gets it
	granted   float64         // sum of the grants
	used      []float64       // by zone: the most that its nodes may have here by plans in use and the new grants
	committed float64         // sum of used, and of what may be leased out
	leased    map[int]float64 // by lease owner: what it may have leased out
}

// newZoneGrants finds what plans in use have committed of a zone's capacity.
func (b *grantBuilder) newZoneGrants(zone int) *zoneGrants {
	zones := len(b.planner.zones)
	grants := &zoneGrants{
		builder: b,
		to:      zone,
		order:   []int{zone},
		grants:  make([]float64, zones),
		used:    make([]float64, zones),
	}
	for from, name := range b.planner.zones {
		for _, node := range b.planner.list.InZone(name) {
			grants.used[from] += b.inUse[node][zone]
		}
		grants.committed += grants.used[from]
		if from != zone {
			grants.order = append(grants.order, from)
		}
	}
	leased, total := b.planner.reservesInUse(b.planner.zones[zone], b.now)
	grants.leased = leased
	grants.committed += total
	return grants
}

// zone is the zone's entry in the plan.
func (g *zoneGrants) zone() *Zone { return &g.builder.plan.Zones[g.to] }

// allocated is the load that was allocated to a zone here.
func (g *zoneGrants) allocated(from int) float64 { return g.builder.placed.between(from, g.to) }

// target is the load that the zone from should be granted in this zone; the grant may be less while older plans are in
// use.
func (g *zoneGrants) target(from int) float64 { return g.builder.targets[from][g.to] }

// grant makes the grants: first what the demand needs, then the rest of the targets (headroom and standby), each time
// the zone's own grant first.
func (g *zoneGrants) grant() {
	for _, from := range g.order {
		g.raise(from, min(g.allocated(from), g.largestFitting(from)))
	}
	for _, from := range g.order {
		load := min(g.target(from), g.largestFitting(from))
		// The rest is bounded by the capacity that the new grants together leave free.
		load = min(load, float64(g.capacityFor(from))-(g.granted-g.grants[from]))
		g.raise(from, load)
	}
}

// capacityFor is the part of the zone's capacity that one zone's nodes may have.
func (g *zoneGrants) capacityFor(from int) float32 {
	zone := g.zone()
	switch {
	case from != g.to && zone.State == Lost:
		return 0
	case from == g.to && zone.Listed > zone.Nodes: // nodes out of the view may be there, with a part of their own
		return zone.Capacity / (1 + float32(zone.Listed-zone.Nodes)/float32(zone.Listed))
	}
	return zone.Capacity
}

// largestFitting is the largest grant to a zone that fits beside all that is committed to others.
func (g *zoneGrants) largestFitting(from int) float64 {
	left := max(0, float64(g.capacityFor(from))-(g.committed-g.used[from]))
	return g.builder.largestFitting(from, g.to, left)
}

// raise raises the grant to a zone, if the load is larger than it.
func (g *zoneGrants) raise(from int, load float64) {
	load = max(g.grants[from], load)
	used := g.builder.committed(from, g.to, load)
	g.committed = g.committed + used - g.used[from]
	g.granted = g.granted + load - g.grants[from]
	g.grants[from] = load
	g.used[from] = used
}

// shrinkToCapacity cuts grants where the zone's capacity has shrunk below what nodes have already, guests first. Nodes
// out of the view may be there, with a part of their own.
func (g *zoneGrants) shrinkToCapacity() {
	zone := g.zone()
	capacity := float64(zone.Capacity)
	unseen := 1 + float64(zone.Listed-zone.Nodes)/float64(max(1, zone.Listed))
	g.grants[g.to] = min(g.grants[g.to], capacity/unseen)
	guests := 0.0
	for from, load := range g.grants {
		if from != g.to {
			guests += load
		}
	}
	if left := max(0, capacity-g.grants[g.to]*unseen); guests > left {
		for from := range g.grants {
			if from != g.to {
				g.grants[from] *= left / guests
			}
		}
		guests = left
	}
	g.granted = g.grants[g.to]*unseen + guests
}

// setReserve sets what the zone's lease owner may lease out: the capacity that was set aside for it, or, if more, most
// of what guests need and have no grant for yet, which becomes grants as older plans go out of use. It is bounded by
// what the grants leave and by what plans in use have committed, without the owner's own leases by older plans.
func (g *zoneGrants) setReserve() {
	zone := g.zone()
	if zone.LeaseOwner < 0 || zone.State != Healthy && zone.State != Returning {
		return
	}
	unmet := 0.0
	for from, load := range g.grants {
		if from != g.to {
			unmet += max(0, g.allocated(from)-load)
		}
	}
	capacity := float64(zone.Capacity)
	wanted := max(g.builder.reserve[g.to], unmetReserveFraction*unmet)
	reserve := min(wanted, capacity-g.granted, capacity-(g.committed-g.leased[zone.LeaseOwner]))
	zone.Reserve = float32(max(0, reserve))
}

// missesTargets reports whether grants and reserve together fall short of their targets by over constrainedFraction of
// the capacity, because of older plans in use.
func (g *zoneGrants) missesTargets() bool {
	zone := g.zone()
	missing := g.builder.reserve[g.to] - float64(zone.Reserve)
	for from, load := range g.grants {
		missing += max(0, g.target(from)-load)
	}
	return missing > constrainedFraction*float64(zone.Capacity)
}

// addTo adds the grants to a plan, with what lease owners may have leased out. reserveForRegion has a part of each
// grant reserved for classes that must stay in their region.
func (g *zoneGrants) addTo(plan *Plan, reserveForRegion bool) {
	for _, owner := range slices.Sorted(maps.Keys(g.leased)) {
		reserve := CapacityReserve{Zone: g.to, Owner: owner, Load: float32(g.leased[owner])}
		plan.EarlierReserves = append(plan.EarlierReserves, reserve)
	}
	for from := range g.grants {
		if from != g.to {
			plan.Zones[g.to].GuestLoad += float32(g.allocated(from))
		}
	}
	for _, from := range g.order {
		load := g.grants[from]
		if load <= negligibleGrant {
			continue
		}
		regionLoad := 0.0
		if reserveForRegion {
			regionLoad = min(regionLoadHeadroom*g.regionLoad(from), load)
		}
		grant := Grant{From: from, To: g.to, Load: float32(load), RegionLoad: float32(regionLoad)}
		plan.Grants = append(plan.Grants, grant)
	}
}

// regionLoad is the load allocated to a zone here of classes that must stay in their region.
func (g *zoneGrants) regionLoad(from int) (load float64) {
	for class, rule := range g.builder.planner.rules.Classes {
		if rule.StayInRegion {
			load += g.builder.placed[from][g.to][class]
		}
	}
	return load
}
