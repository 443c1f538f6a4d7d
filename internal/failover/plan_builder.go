package failover

import (
	"math"
	"slices"
	"time"
)

const (
	sameRegionCost   = 1    // path cost between two zones of one region
	minScaledDemand  = 0.5  // load; nodes admit a smaller demand completely
	admittedInEffect = 0.98 // fraction of a demand; nodes admit all of a demand of which at least this much is placed
)

// buildPlan makes a plan for the current demand and capacity. It returns nil while no zone has reported evidence.
func (p *Planner) buildPlan(now time.Duration) *Plan {
	if !p.hasEvidence() {
		return nil
	}
	plan := &Plan{GrantLifetime: float32(p.rules.GrantLifetime.Seconds()), LostNodes: p.cutDetector.Lost()}
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

// hasEvidence reports whether the planner has evidence of any zone's nodes.
func (p *Planner) hasEvidence() bool {
	return slices.ContainsFunc(p.zones, func(name string) bool { return p.zoneStates[name].report.at > 0 })
}

// planZone returns a plan's entry for a zone without GuestLoad and Reserve, which addGrants sets.
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

// liveNodes counts a zone's nodes that the cut detector considers live.
func (p *Planner) liveNodes(zone string) (live int) {
	for _, node := range p.list.InZone(zone) {
		if p.cutDetector.IsLive(node) {
			live++
		}
	}
	return live
}

// currentDemand returns the estimated demand of all zones' clients and the capacity of all zones.
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

// pathCost returns the cost of placing load of zone from in zone to. It is 0 within a zone and infinite if attempts on
// the path between two zones fail.
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

// admitFractions returns by class the fraction of a zone's arrivals that nodes admit, in 255ths.
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
