package failover

import (
	"math"
	"slices"
	"time"
)

// grantBuilder turns an allocation of the demand into the grants of a plan. It considers all plans that may still be in
// use: a zone's capacity bounds the sum, over all nodes, of the largest share that any of these plans gives the node.
type grantBuilder struct {
	planner *Planner
	plan    *Plan
	demand  demand
	placed  allocation
	now     time.Duration

	targets [][]float64 // load to grant, by the zone whose clients get it and the zone that has the capacity
	free    []float64   // by zone: capacity that no target claims
	reserve []float64   // by zone: capacity to lease out
	inUse   [][]float64 // by node and zone: the most load that plans in use allow the node there
}

// addGrants sets the grants and reserves of a plan, and the loads and reserves that earlier plans left in use.
func (p *Planner) addGrants(plan *Plan, wanted demand, placed allocation, now time.Duration) {
	builder := &grantBuilder{
		planner: p,
		plan:    plan,
		demand:  wanted,
		placed:  placed,
		now:     now,
		targets: newMatrix(len(p.zones)),
		reserve: make([]float64, len(p.zones)),
	}
	builder.setTargets()
	builder.spreadHeadroom(builder.missingHeadroom())
	for zone := range p.zones {
		builder.divideFreeCapacity(zone)
	}
	builder.inUse = p.inUse(now)
	builder.recordInUse()
	p.constrained = false
	tight := builder.tightRegions()
	for to := range p.zones {
		zone := builder.newZoneGrants(to)
		zone.grant()
		zone.shrinkToCapacity()
		zone.setReserve()
		if zone.missesTargets() {
			p.constrained = true
		}
		zone.addTo(plan, tight[wanted.regions[to]])
	}
}

// setTargets sets the targets to the allocated load, and free to the capacity that remains.
func (b *grantBuilder) setTargets() {
	b.free = slices.Clone(b.demand.capacity)
	for to := range b.free {
		for from := range b.targets {
			b.targets[from][to] = b.placed.between(from, to)
			b.free[to] -= b.targets[from][to]
		}
		b.free[to] = max(0, b.free[to])
	}
}

// missingHeadroom returns the load that each zone should get beyond its targets, since clients don't spread evenly over
// its nodes, and more clients may come than estimated. Without headroom, nodes reject clients for whom other nodes have
// capacity.
func (b *grantBuilder) missingHeadroom() []float64 {
	missing := make([]float64, len(b.targets))
	for from, targets := range b.targets {
		nodes := b.plan.Zones[from].Nodes
		if nodes == 0 {
			continue
		}
		wanted := b.demand.ofZone(from)
		guests := max(0, wanted-targets[from]) // load in other zones; in its own zone, a node may exceed its share
		missing[from] = wanted + math.Sqrt(guests*float64(nodes))
		for _, load := range targets {
			missing[from] -= load
		}
	}
	return missing
}

// spreadHeadroom adds headroom to the targets. It first uses the zone's own capacity, then the capacity of its region,
// then the capacity of other regions.
func (b *grantBuilder) spreadHeadroom(missing []float64) {
	for _, cost := range b.demand.distinctPathCosts() {
		claims, claimed := b.headroomClaims(cost, missing)
		for from := range claims {
			for to, claim := range claims[from] {
				if claim > 0 {
					load := claim * min(1, b.free[to]/claimed[to])
					b.targets[from][to] += load
					missing[from] -= load
				}
			}
		}
		for to := range b.free {
			b.free[to] = max(0, b.free[to]-claimed[to])
		}
	}
}

// headroomClaims divides each zone's missing headroom among the free capacities at one path cost, and sums the claims
// on each capacity.
func (b *grantBuilder) headroomClaims(cost float64, missing []float64) (claims [][]float64, claimed []float64) {
	claims = newMatrix(len(missing))
	claimed = make([]float64, len(missing))
	for from := range missing {
		reachable := 0.0
		for to, free := range b.free {
			if b.demand.pathCosts[from][to] == cost {
				reachable += free
			}
		}
		if reachable <= negligibleCapacity || missing[from] <= 0 {
			continue
		}
		for to, free := range b.free {
			if b.demand.pathCosts[from][to] == cost {
				claims[from][to] = min(missing[from], reachable) * free / reachable
				claimed[to] += claims[from][to]
			}
		}
	}
	return claims, claimed
}

// divideFreeCapacity grants a part of a zone's free capacity to its own clients and most of the rest to other zones as
// standby. The remainder is the reserve to lease out. A lost zone has capacity only for the attempts of its own nodes.
func (b *grantBuilder) divideFreeCapacity(zone int) {
	state := b.planner.zoneStates[b.planner.zones[zone]]
	switch state.state {
	case Lost:
		// At least one attempt for each node.
		attempts := max(lostZoneFraction*state.capacity.capacity, float64(b.plan.Zones[zone].Listed))
		b.targets[zone][zone] = attempts
		b.plan.Zones[zone].Capacity = float32(attempts)
		return
	case Drained:
		return
	case Healthy, Returning:
	}
	b.targets[zone][zone] += ownFreeFraction * b.free[zone]
	b.reserve[zone] = (1 - ownFreeFraction) * (1 - standbyFraction) * b.free[zone]
	b.grantStandby(zone)
}

// grantStandby adds a zone's free capacity to the targets of other zones. Clients whose own zone fails can thus go
// there at once, before the next plan and even if there is no leader to make one.
func (b *grantBuilder) grantStandby(zone int) {
	weights := make([]float64, len(b.targets))
	sum := 0.0
	for from := range weights {
		cost := b.demand.pathCosts[from][zone]
		if from == zone || b.plan.Zones[from].Nodes == 0 || math.IsInf(cost, 1) {
			continue
		}
		weights[from] = 1
		for _, load := range b.demand.loads[from] {
			weights[from] += load
		}
		weights[from] /= max(1, cost*cost)
		sum += weights[from]
	}
	for from, weight := range weights {
		if weight > 0 {
			b.targets[from][zone] += (1 - ownFreeFraction) * standbyFraction * b.free[zone] * weight / sum
		}
	}
}

// tightRegions returns the regions whose demand is so near their capacity that plans reserve some of the capacity for
// classes that must stay there.
func (b *grantBuilder) tightRegions() map[string]bool {
	wanted := map[string]float64{}
	capacity := map[string]float64{}
	for zone, region := range b.demand.regions {
		for _, load := range b.demand.loads[zone] {
			wanted[region] += load
		}
		capacity[region] += b.demand.capacity[zone]
	}
	tight := map[string]bool{}
	for region := range wanted {
		tight[region] = wanted[region] > tightRegionFraction*capacity[region]
	}
	return tight
}

// recordInUse sets Plan.EarlierLoads to the loads that earlier plans left in use, for a planner that knows this plan
// but none before it.
func (b *grantBuilder) recordInUse() {
	for _, zone := range b.planner.zones {
		most := make([]float32, len(b.planner.zones))
		for _, node := range b.planner.list.InZone(zone) {
			for to, load := range b.inUse[node] {
				most[to] = max(most[to], float32(load))
			}
		}
		b.plan.EarlierLoads = append(b.plan.EarlierLoads, most)
	}
}

// committed returns the load that all nodes of zone from together may have in zone to, once a grant is added to the
// plans in use.
func (b *grantBuilder) committed(from, to int, grant float64) (load float64) {
	zone := &b.plan.Zones[from]
	for _, node := range b.planner.list.InZone(zone.Name) {
		share := zone.nodeShare(grant, from == to, !b.planner.cutDetector.IsLive(node))
		load += max(share, b.inUse[node][to])
	}
	return load
}

// largestFitting returns the largest grant with which a zone's nodes stay within a capacity. It can't revoke the load
// that they may have under older plans.
func (b *grantBuilder) largestFitting(from, to int, capacity float64) float64 {
	inUse, ok := b.grantInUse(from, to)
	if !ok {
		return 0
	}
	if b.committed(from, to, inUse) >= capacity {
		return inUse
	}
	fits := func(load float64) bool { return b.committed(from, to, load) <= capacity }
	return max(largestLoadWhere(fits, capacity*2+1), inUse)
}

// largestLoadWhere returns the largest load up to a limit that satisfies a condition. The condition must be satisfied
// by all loads smaller than one that satisfies it.
func largestLoadWhere(satisfies func(load float64) bool, limit float64) float64 {
	lower := 0.0
	upper := limit
	for range grantSearchIterations {
		middle := (lower + upper) / 2
		if satisfies(middle) {
			lower = middle
		} else {
			upper = middle
		}
	}
	return lower
}

// grantInUse returns the grant that each live node of a zone may use already. Plans in use grant this capacity to no
// other node, so it always fits. ok tells whether the zone has a live node.
func (b *grantBuilder) grantInUse(from, to int) (grant float64, ok bool) {
	zone := &b.plan.Zones[from]
	least := math.Inf(1)
	for _, node := range b.planner.list.InZone(zone.Name) {
		if b.planner.cutDetector.IsLive(node) {
			least = min(least, b.inUse[node][to])
		}
	}
	if math.IsInf(least, 1) {
		return 0, false
	}
	return least * float64(zone.Nodes), true
}
