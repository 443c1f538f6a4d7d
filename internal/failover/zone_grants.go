package failover

import (
	"maps"
	"slices"
)

// zoneGrants are the grants for one zone's capacity, in the making.
type zoneGrants struct {
	builder  *grantBuilder
	to       int
	order    []int           // zones that get grants: the zone itself first
	grants   []float64       // by zone that gets it
	granted  float64         // sum of the grants
	used     []float64       // by zone: what plans in use and the new grants let its nodes have here
	promised float64         // sum of that, with what is leased out
	leased   map[int]float64 // by lease owner: what it may have leased out
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
		grants.promised += grants.used[from]
		if from != zone {
			grants.order = append(grants.order, from)
		}
	}
	leased, total := b.planner.reservesInUse(b.planner.zones[zone], b.now)
	grants.leased = leased
	grants.promised += total
	return grants
}

// zone is the zone's entry in the plan.
func (g *zoneGrants) zone() *Zone { return &g.builder.plan.Zones[g.to] }

// allocated is the load that was allocated to a zone here.
func (g *zoneGrants) allocated(from int) float64 { return g.builder.placed.between(from, g.to) }

// target is the load that a zone should be granted here.
func (g *zoneGrants) target(from int) float64 { return g.builder.targets[from][g.to] }

// grant makes the grants: what clients need goes before what stands by for them, and a zone's own clients go first.
func (g *zoneGrants) grant() {
	for _, from := range g.order {
		g.raise(from, min(g.allocated(from), g.largestFitting(from)))
	}
	for _, from := range g.order {
		load := min(g.target(from), g.largestFitting(from))
		// To spare is only what the new grants together leave.
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
	left := max(0, float64(g.capacityFor(from))-(g.promised-g.used[from]))
	return g.builder.largestFitting(from, g.to, left)
}

// raise raises the grant to a zone, if the load is larger than it.
func (g *zoneGrants) raise(from int, load float64) {
	load = max(g.grants[from], load)
	used := g.builder.committed(from, g.to, load)
	g.promised = g.promised + used - g.used[from]
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

// setReserve has the zone's lease owner lease out what nobody needs and nobody stands by for, and for now what guests
// have no grant for yet: that becomes grants as older plans go out of use. An owner may have leased out by its older
// plans what its new one takes back.
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
	reserve := min(wanted, capacity-g.granted, capacity-(g.promised-g.leased[zone.LeaseOwner]))
	zone.Reserve = float32(max(0, reserve))
}

// missesTargets reports whether the grants fall well short of their targets, because of older plans in use.
func (g *zoneGrants) missesTargets() bool {
	zone := g.zone()
	missing := g.builder.reserve[g.to] - float64(zone.Reserve)
	for from, load := range g.grants {
		missing += max(0, g.target(from)-load)
	}
	return missing > constrainedFraction*float64(zone.Capacity)
}

// addTo adds the grants to a plan, with what lease owners may have leased out. keepForRegion has a part of each kept
// for classes that must stay in their region.
func (g *zoneGrants) addTo(plan *Plan, keepForRegion bool) {
	for _, owner := range slices.Sorted(maps.Keys(g.leased)) {
		plan.Reserves = append(plan.Reserves, CapacityReserve{Zone: g.to, Owner: owner, Load: float32(g.leased[owner])})
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
		if keepForRegion {
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
