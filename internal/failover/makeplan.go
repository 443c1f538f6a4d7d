package failover

import (
	"math"
	"slices"
	"time"
)

const (
	sameRegionCost = 1   // of the way between two zones of one region
	admitAll       = 255 // a plan tells the admitted part of arrivals in 255ths
)

// makePlan makes the plan for now; nil: no zone has told anything yet.
func (p *Planner) makePlan(now time.Duration) *Plan {
	if !p.anyEvidence() {
		return nil
	}
	plan := &Plan{GrantLifetime: float32(p.rules.GrantLifetime.Seconds()), LostNodes: p.cut.Lost()}
	for _, class := range p.rules.Classes {
		plan.Classes = append(plan.Classes, class.Name)
		plan.StayInRegion = append(plan.StayInRegion, class.StayInRegion)
	}
	for _, name := range p.zones {
		plan.Zones = append(plan.Zones, p.planZone(name))
	}
	demand := p.currentDemand(now)
	allocation := allot(demand)
	p.addGrants(plan, demand, allocation, now)
	for from := range p.zones {
		plan.AdmitFractions = append(plan.AdmitFractions, admittedParts(demand, allocation, from))
	}
	return plan
}

// anyEvidence says whether any zone has told what it sees.
func (p *Planner) anyEvidence() bool {
	return slices.ContainsFunc(p.zones, func(name string) bool { return p.state[name].at > 0 })
}

// planZone is a zone's entry in a plan, without what its grants leave.
func (p *Planner) planZone(name string) Zone {
	state, members := p.state[name], p.list.InZone(name)
	zone := Zone{Name: name, Region: p.list.Region(name), State: state.state, Nodes: p.liveNodes(name), Listed: len(members),
		LeaseOwner: p.lender(name), Flaps: state.turns, Capacity: float32(state.usable(p.rules))}
	for _, want := range state.want {
		zone.Demand = append(zone.Demand, float32(want))
	}
	return zone
}

// liveNodes counts a zone's nodes that are in the common view.
func (p *Planner) liveNodes(zone string) (live int) {
	for _, node := range p.list.InZone(zone) {
		if p.cut.Live(node) {
			live++
		}
	}
	return live
}

// currentDemand is what all zones' clients want now, and where there is room for it.
func (p *Planner) currentDemand(now time.Duration) (d demand) {
	for _, class := range p.rules.Classes {
		d.worth = append(d.worth, class.Priority)
		d.stay = append(d.stay, class.StayInRegion)
	}
	for from, name := range p.zones {
		d.room = append(d.room, p.state[name].usable(p.rules))
		d.region = append(d.region, p.list.Region(name))
		d.want = append(d.want, p.state[name].want)
		costs := make([]float64, len(p.zones))
		for to := range costs {
			costs[to] = p.pathCost(from, to, now)
		}
		d.far = append(d.far, costs)
	}
	return d
}

// pathCost is the cost of the way from one zone to another; infinite where it is seen to fail.
func (p *Planner) pathCost(from, to int, now time.Duration) float64 {
	if from == to {
		return 0
	}
	if failing, _ := p.pathFails(p.paths[[2]string{p.zones[from], p.zones[to]}], now); failing {
		return math.Inf(1)
	}
	a, b := p.list.Region(p.zones[from]), p.list.Region(p.zones[to])
	if a == b {
		return sameRegionCost
	}
	return sameRegionCost + p.rules.RegionDistance(a, b)
}

// admittedParts is, by class, what part of a zone's arrivals is let in.
func admittedParts(d demand, allocation allotted, from int) []int {
	parts := make([]int, len(d.worth))
	for class := range parts {
		parts[class] = admitAll
		want, placed := d.want[from][class], allocation.let(from, class)
		if want > 0.5 && placed < 0.98*want {
			parts[class] = int(math.Ceil(admitAll * placed / want))
		}
	}
	return parts
}
