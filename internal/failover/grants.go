package failover

import (
	"math"
	"slices"
	"time"
)

// grantBuilder turns an allocation of the demand into the grants of a plan. All plans that may still be in use count: what stays within a
// zone's room is the sum of the most that any of them gives each node.
type grantBuilder struct {
	planner    *Planner
	plan       *Plan
	demand     demand
	allocation allotted
	now        time.Duration

	target  [][]float64 // load to be granted, by the zone that gets it and the zone that has the room
	free    []float64   // by zone: room that no target claims
	reserve []float64   // by zone: room meant to be lent
	inUse   [][]float64 // by node and zone: what plans in use let the node have there
}

// addGrants fills in the parts of a plan that say who may have what where.
func (p *Planner) addGrants(plan *Plan, d demand, allocation allotted, now time.Duration) {
	b := &grantBuilder{planner: p, plan: plan, demand: d, allocation: allocation, now: now, target: newMatrix(len(p.zones)),
		reserve: make([]float64, len(p.zones))}
	b.setTargets()
	b.spreadHeadroom(b.headroom())
	for zone := range p.zones {
		b.divideFreeRoom(zone)
	}
	b.inUse = p.inUse(now)
	b.recordInUse()
	p.constrained = false
	tight := b.tightRegions()
	for to := range p.zones {
		g := b.newZoneGrants(to)
		g.grant()
		g.shrinkToRoom()
		g.lendRest()
		if g.fallShort() {
			p.constrained = true
		}
		g.addTo(plan, tight[d.region[to]])
	}
}

func newMatrix(n int) [][]float64 {
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = make([]float64, n)
	}
	return rows
}

// setTargets begins with what was allocated, and finds what room that leaves.
func (b *grantBuilder) setTargets() {
	b.free = slices.Clone(b.demand.room)
	for to := range b.free {
		for from := range b.target {
			b.target[from][to] = b.allocation.between(from, to)
			b.free[to] -= b.target[from][to]
		}
		b.free[to] = max(0, b.free[to])
	}
}

// wanted is the load that a zone's clients want, of all classes.
func (d demand) wanted(zone int) (load float64) {
	for _, want := range d.want[zone] {
		load += want
	}
	return load
}

// headroom is what each zone should get beyond its targets: clients come to its nodes by chance, and more of them come than are reckoned.
// Without it nodes turn away what others have room for.
func (b *grantBuilder) headroom() []float64 {
	missing := make([]float64, len(b.target))
	for from, targets := range b.target {
		nodes := b.plan.Zones[from].Nodes
		if nodes == 0 {
			continue
		}
		want := b.demand.wanted(from)
		guests := max(0, want-targets[from]) // in their own zone nodes may each have more than their part
		missing[from] = want + math.Sqrt(guests*float64(nodes))
		for _, load := range targets {
			missing[from] -= load
		}
	}
	return missing
}

// spreadHeadroom adds headroom to the targets, near room first: the own zone, then the region, then the rest.
func (b *grantBuilder) spreadHeadroom(missing []float64) {
	for _, cost := range b.demand.steps() {
		claims, claimed := b.claimsAt(cost, missing)
		for from := range claims {
			for to, claim := range claims[from] {
				if claim > 0 {
					load := claim * min(1, b.free[to]/claimed[to])
					b.target[from][to] += load
					missing[from] -= load
				}
			}
		}
		for to := range b.free {
			b.free[to] = max(0, b.free[to]-claimed[to])
		}
	}
}

// claimsAt divides what each zone misses among the free rooms at one cost of the way, and sums the claims on each room.
func (b *grantBuilder) claimsAt(cost float64, missing []float64) (claims [][]float64, claimed []float64) {
	claims, claimed = newMatrix(len(missing)), make([]float64, len(missing))
	for from := range missing {
		room := 0.0
		for to, free := range b.free {
			if b.demand.far[from][to] == cost {
				room += free
			}
		}
		if room <= 1e-9 || missing[from] <= 0 {
			continue
		}
		for to, free := range b.free {
			if b.demand.far[from][to] == cost {
				claims[from][to] = min(missing[from], room) * free / room
				claimed[to] += claims[from][to]
			}
		}
	}
	return claims, claimed
}

// divideFreeRoom gives a part of a zone's free room to its own clients, lets most of the rest stand by for other zones and keeps a reserve to
// lend. A lost zone has room for its own nodes' trials only.
func (b *grantBuilder) divideFreeRoom(zone int) {
	state := b.planner.state[b.planner.zones[zone]]
	switch state.state {
	case Lost: // one trial for each node
		trials := max(trial*state.room, float64(b.plan.Zones[zone].Listed))
		b.target[zone][zone] = trials
		b.plan.Zones[zone].Capacity = float32(trials)
		return
	case Drained:
		return
	}
	b.target[zone][zone] += ownExtra * b.free[zone]
	b.reserve[zone] = (1 - ownExtra) * (1 - standBy) * b.free[zone]
	b.grantStandby(zone)
}

// grantStandby grants a zone's free room to other zones: whoever's own zone fails can go there at once, before any plan says so, and also when
// there is nobody who could make one.
func (b *grantBuilder) grantStandby(zone int) {
	weights := make([]float64, len(b.target))
	sum := 0.0
	for from := range weights {
		cost := b.demand.far[from][zone]
		if from == zone || b.plan.Zones[from].Nodes == 0 || math.IsInf(cost, 1) {
			continue
		}
		weights[from] = 1
		for _, want := range b.demand.want[from] {
			weights[from] += want
		}
		weights[from] /= max(1, cost*cost)
		sum += weights[from]
	}
	for from, weight := range weights {
		if weight > 0 {
			b.target[from][zone] += (1 - ownExtra) * standBy * b.free[zone] * weight / sum
		}
	}
}

// tightRegions are those where so much is wanted that room is kept for classes that must stay there.
func (b *grantBuilder) tightRegions() map[string]bool {
	wanted, room := map[string]float64{}, map[string]float64{}
	for zone, region := range b.demand.region {
		for _, want := range b.demand.want[zone] {
			wanted[region] += want
		}
		room[region] += b.demand.room[zone]
	}
	tight := map[string]bool{}
	for region := range wanted {
		tight[region] = wanted[region] > tightAt*room[region]
	}
	return tight
}

// recordInUse has the plan tell what plans before it left in use, for a planner that knows this plan and none before it.
func (b *grantBuilder) recordInUse() {
	for _, zone := range b.planner.zones {
		most := make([]float32, len(b.planner.zones))
		for _, node := range b.planner.list.InZone(zone) {
			for to, load := range b.inUse[node] {
				most[to] = max(most[to], float32(load))
			}
		}
		b.plan.Before = append(b.plan.Before, most)
	}
}
