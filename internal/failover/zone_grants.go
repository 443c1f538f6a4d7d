package failover

import (
	"maps"
	"slices"
)

// zoneGrants builds the grants of one zone's capacity, for a grantBuilder.
type zoneGrants struct {
	builder   *grantBuilder
	to        int             // index of the zone
	order     []int           // zones that get grants, the zone itself first
	grants    []float64       // by zone that gets the grant
	granted   float64         // sum of the grants
	used      []float64       // by zone: the most load that its nodes may have here under plans in use and new grants
	committed float64         // sum of used, plus the load that may be leased out
	leased    map[int]float64 // by lease owner: the load that it may have leased out
}

// newZoneGrants returns a zoneGrants for a zone, with the part of its capacity that plans in use have committed.
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

// zone returns the zone's entry in the plan.
func (g *zoneGrants) zone() *Zone { return &g.builder.plan.Zones[g.to] }

// allocated returns the load of zone from that is allocated to this zone.
func (g *zoneGrants) allocated(from int) float64 { return g.builder.placed.between(from, g.to) }

// target returns the load that zone from should be granted in this zone. The grant may be less while older plans are in
// use.
func (g *zoneGrants) target(from int) float64 { return g.builder.targets[from][g.to] }

// grant makes the grants: first those that the demand needs, then the rest of the targets (headroom and standby). Both
// passes begin with the zone's own grant.
func (g *zoneGrants) grant() {
	for _, from := range g.order {
		g.raise(from, min(g.allocated(from), g.largestFitting(from)))
	}
	for _, from := range g.order {
		load := min(g.target(from), g.largestFitting(from))
		// The capacity that the other new grants leave free bounds the rest.
		load = min(load, float64(g.capacityFor(from))-(g.granted-g.grants[from]))
		g.raise(from, load)
	}
}

// capacityFor returns the part of the zone's capacity that the nodes of zone from may have.
func (g *zoneGrants) capacityFor(from int) float32 {
	zone := g.zone()
	switch {
	case from != g.to && zone.State == Lost:
		return 0
	case from == g.to && zone.Listed > zone.Nodes: // lost nodes may still be running, with shares of their own
		return zone.Capacity / (1 + float32(zone.Listed-zone.Nodes)/float32(zone.Listed))
	}
	return zone.Capacity
}

// largestFitting returns the largest grant to zone from that fits beside the load committed to other zones.
func (g *zoneGrants) largestFitting(from int) float64 {
	left := max(0, float64(g.capacityFor(from))-(g.committed-g.used[from]))
	return g.builder.largestFitting(from, g.to, left)
}

// raise sets the grant to zone from to a load, unless the grant is larger already.
func (g *zoneGrants) raise(from int, load float64) {
	load = max(g.grants[from], load)
	used := g.builder.committed(from, g.to, load)
	g.committed = g.committed + used - g.used[from]
	g.granted = g.granted + load - g.grants[from]
	g.grants[from] = load
	g.used[from] = used
}

// shrinkToCapacity cuts the grants if the zone's capacity has shrunk below the load that nodes may have already. It
// cuts the grants to other zones first. Lost nodes may still be running, with shares of their own.
func (g *zoneGrants) shrinkToCapacity() {
	zone := g.zone()
	capacity := float64(zone.Capacity)
	lostNodesFactor := 1 + float64(zone.Listed-zone.Nodes)/float64(max(1, zone.Listed))
	g.grants[g.to] = min(g.grants[g.to], capacity/lostNodesFactor)
	guests := 0.0
	for from, load := range g.grants {
		if from != g.to {
			guests += load
		}
	}
	if left := max(0, capacity-g.grants[g.to]*lostNodesFactor); guests > left {
		for from := range g.grants {
			if from != g.to {
				g.grants[from] *= left / guests
			}
		}
		guests = left
	}
	g.granted = g.grants[g.to]*lostNodesFactor + guests
}

// setReserve sets the load that the zone's lease owner may lease out: the capacity that was set aside for leases or, if
// that is more, most of the guest load that has no grant yet. The latter becomes grants as older plans go out of use.
// The reserve is bounded by the capacity that the grants leave free, and by the capacity that plans in use have not
// committed, not counting the owner's own leases under older plans.
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

// addTo adds the grants to a plan, and the load that lease owners may have leased out as EarlierReserves. It also sets
// the zone's GuestLoad. If reserveForRegion is set, it reserves a part of each grant for classes that must stay in
// their region.
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

// regionLoad returns the load of zone from that is allocated to this zone, counting only classes that must stay in
// their region.
func (g *zoneGrants) regionLoad(from int) (load float64) {
	for class, rule := range g.builder.planner.rules.Classes {
		if rule.StayInRegion {
			load += g.builder.placed[from][g.to][class]
		}
	}
	return load
}
