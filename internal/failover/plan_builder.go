package failover

import (
	"math"
	"slices"
	"time"
)

const (
	sameRegionCost   = 1    // path cost between two zones of one region
	minScaledDemand  = 0.5  // load: a smaller demand is admitted completely
	admittedInEffect = 0.98 // of a demand: if as much is placed, all of it is admitted
)

// buildPlan makes the plan for now; nil: no zone has reported anything yet.
func (p *Planner) buildPlan(now time.Duration) *Plan {
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
	wanted := p.currentDemand(now)
	placed := allocate(&wanted)
	p.addGrants(plan, wanted, placed, now)
	for from := range p.zones {
		plan.AdmitFractions = append(plan.AdmitFractions, admitFractions(&wanted, placed, from))
	}
	return plan
}

// anyEvidence reports whether any zone has reported what it sees.
func (p *Planner) anyEvidence() bool {
	return slices.ContainsFunc(p.zones, func(name string) bool { return p.zoneStates[name].report.at > 0 })
}

// planZone is a zone's entry in a plan, but for GuestLoad and Reserve, which follow from the grants.
func (p *Planner) planZone(name string) Zone {
	state := p.zoneStates[name]
	zone := Zone{
		Name:       name,
		Region:     p.list.Region(name),
		State:      state.state,
		Nodes:      p.liveNodes(name),
		Listed:     len(p.list.InZone(name)),
		LeaseOwner: p.chooseLeaseOwner(name),
		Flaps:      state.flaps,
		Capacity:   float32(state.usable()),
	}
	for _, load := range state.demand.byClass {
		zone.Demand = append(zone.Demand, float32(load))
	}
	return zone
}

// liveNodes counts a zone's nodes that are in the common view.
func (p *Planner) liveNodes(zone string) (live int) {
	for _, node := range p.list.InZone(zone) {
		if p.cut.IsLive(node) {
			live++
		}
	}
	return live
}

// currentDemand is what all zones' clients want now, and where there is capacity for it.
func (p *Planner) currentDemand(now time.Duration) demand {
	var wanted demand
	for _, class := range p.rules.Classes {
		wanted.priority = append(wanted.priority, class.Priority)
		wanted.stayInRegion = append(wanted.stayInRegion, class.StayInRegion)
	}
	for from, name := range p.zones {
		state := p.zoneStates[name]
		wanted.capacity = append(wanted.capacity, state.usable())
		wanted.regions = append(wanted.regions, p.list.Region(name))
		wanted.loads = append(wanted.loads, state.demand.byClass)
		costs := make([]float64, len(p.zones))
		for to := range costs {
			costs[to] = p.pathCost(from, to, now)
		}
		wanted.pathCosts = append(wanted.pathCosts, costs)
	}
	return wanted
}

// pathCost is the cost of placing a zone's load in another zone, 0 in its own; infinite where attempts on the path
// fail.
func (p *Planner) pathCost(from, to int, now time.Duration) float64 {
	if from == to {
		return 0
	}
	if failing, _ := p.paths[path{p.zones[from], p.zones[to]}].failing(now); failing {
		return math.Inf(1)
	}
	fromRegion := p.list.Region(p.zones[from])
	toRegion := p.list.Region(p.zones[to])
	if fromRegion == toRegion {
		return sameRegionCost
	}
	return sameRegionCost + p.rules.RegionDistance(fromRegion, toRegion)
}

// admitFractions is, by class, which part of a zone's arrivals is admitted, in 255ths.
func admitFractions(wanted *demand, placed allocation, from int) []int {
	fractions := make([]int, len(wanted.priority))
	for class := range fractions {
		fractions[class] = fullAdmission
		load := wanted.loads[from][class]
		admitted := placed.admitted(from, class)
		if load > minScaledDemand && admitted < admittedInEffect*load {
			fractions[class] = int(math.Ceil(fullAdmission * admitted / load))
		}
	}
	return fractions
}
