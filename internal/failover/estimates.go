package failover

import (
	"math"
	"slices"
	"time"
)

const (
	costSmoothing     = 0.3 // weight of a new measurement of the cost of a unit of reported load
	capacitySmoothing = 0.2 // weight of a new measurement of a growing capacity; a lower capacity applies at once
	capacityFade      = 0.9 // fraction of the capacity that remains at each step while no node reports on a zone
	minMeasurableLoad = 0.1 // fraction of the servers' capacity; the cost is not measured under a smaller load
	enoughNodes       = 0.9 // fraction of a zone's live nodes; reports of fewer nodes are incomplete

	// A class's demand is at most maxDemandOfPeak times its peak load, or maxDemandOfLoad times its load plus
	// minDemandBound, whichever is larger.
	maxDemandOfPeak = 1.2
	maxDemandOfLoad = 1.5
	minDemandBound  = 2
)

// capacityEstimate is the estimated capacity of a zone's servers.
type capacityEstimate struct {
	capacity float64 // in reported load, smoothed; 0: unknown
	cost     float64 // servers that a unit of reported load occupies, smoothed; 0: not measured
}

// fade shrinks the capacity of a zone that no node reports on, but not below its own clients' demand.
func (e *capacityEstimate) fade(ownDemand float64) {
	e.capacity = max(capacityFade*e.capacity, min(e.capacity, ownDemand))
}

// update adds a measurement of a zone's servers and of the cost of a unit of reported load. A lower capacity applies at
// once, and so does any capacity of a returning zone, which plans use step by step anyway.
func (e *capacityEstimate) update(servers, cost float64, returning bool) {
	if e.cost == 0 {
		e.cost = cost
	}
	e.cost += (cost - e.cost) * costSmoothing
	capacity := servers / e.cost
	if e.capacity == 0 || capacity < e.capacity || returning {
		e.capacity = capacity
		return
	}
	e.capacity += (capacity - e.capacity) * capacitySmoothing
}

// demandEstimate is the estimated demand of a zone's clients, by class of the rules.
type demandEstimate struct {
	byClass   []float64
	peaks     []float64 // recent peak load by class, which decays with peakMemory
	updatedAt time.Duration
}

func newDemandEstimate(classes int, now time.Duration) demandEstimate {
	return demandEstimate{byClass: make([]float64, classes), peaks: make([]float64, classes), updatedAt: now}
}

// start sets the estimate of a class to the demand that a plan states.
func (e *demandEstimate) start(class int, load float64) {
	e.byClass[class] = load
	e.peaks[class] = load
}

// total returns the demand over all classes.
func (e *demandEstimate) total() float64 { return sumOf(e.byClass) }

// update estimates the demand from the evidence of a zone's nodes. The estimate is the load that the nodes have in all
// zones, plus the decaying rest of an earlier higher demand (as before a failure), plus the rejected load.
func (e *demandEstimate) update(classes []Class, summary *EvidenceSummary, now time.Duration) {
	elapsed := now - e.updatedAt
	e.updatedAt = now
	for i, class := range classes {
		reported := slices.Index(summary.Classes, class.Name)
		if reported < 0 {
			continue
		}
		load := 0.0
		for _, zone := range summary.Zones {
			load += float64(zone.OwnLoad[reported])
		}
		e.peaks[i] = decayTo(load, e.peaks[i], elapsed, peakMemory)
		// Clients retry rejected requests, which then count again. Rejected load shows that the demand is larger, but
		// not by how much, so the estimate is bounded.
		demand := decayTo(load, e.byClass[i], elapsed, demandMemory) + float64(summary.Rejected[reported])
		e.byClass[i] = min(demand, max(maxDemandOfPeak*e.peaks[i], maxDemandOfLoad*load+minDemandBound))
	}
}

// decayTo returns a value whose excess over a floor has decayed exponentially for the elapsed time.
func decayTo(floor, value float64, elapsed, memory time.Duration) float64 {
	return floor + max(0, value-floor)*math.Exp(-elapsed.Seconds()/memory.Seconds())
}

// sumOf adds up loads in their order, since the sum of floats depends on the order.
func sumOf(loads []float64) (sum float64) {
	for _, load := range loads {
		sum += load
	}
	return sum
}

// estimateCapacity updates the estimate of a zone's capacity.
func (p *Planner) estimateCapacity(zone string, now time.Duration) {
	state := p.zoneStates[zone]
	view, ok := p.viewZone(zone, now)
	switch {
	case !ok && now-p.startedAt > evidenceLifetime:
		state.capacity.fade(state.demand.total())
		return
	case !ok || view.Ready == 0:
		return
	}
	ejected := view.ejectedFraction()
	if p.suspect {
		ejected = 0
	}
	servers := float64(view.Capacity) / float64(view.Nodes) * (1 - ejected) * p.rules.UtilizationLimit
	if cost := p.loadCost(zone, &view, servers, now); cost > 0 {
		state.capacity.update(servers, cost, state.state == Returning)
	}
}

// loadCost returns how many of a zone's servers a unit of reported load occupies. It measures the cost if the zone has
// enough load and all nodes that may contribute to it have reported. The cost that nodes learn themselves is the last
// resort: nodes assume that all nodes use all servers evenly, which is not the case under a plan.
func (p *Planner) loadCost(zone string, view *zoneView, servers float64, now time.Duration) float64 {
	estimate := &p.zoneStates[zone].capacity
	load := float64(view.Load) / float64(view.Nodes)
	reported, complete := p.reportedLoad(zone, now)
	switch {
	case complete && load > minMeasurableLoad*servers && reported > 0:
		return load / reported
	case estimate.cost > 0:
		return estimate.cost
	case estimate.capacity > 0: // from the plan of an earlier planner
		return servers / estimate.capacity
	}
	return float64(view.Cost) / float64(view.Nodes)
}

// reportedLoad returns the load in a zone that nodes of all zones have reported. complete tells whether all nodes that
// may have load there have reported.
func (p *Planner) reportedLoad(zone string, now time.Duration) (load float64, complete bool) {
	complete = true
	for _, from := range p.zones {
		report := &p.zoneStates[from].report
		if !report.fresh(now) {
			complete = complete && from != zone && !p.mayUseZone(from, zone)
			continue
		}
		evidence, found := report.summary.ofZone(zone)
		if !found {
			continue
		}
		for _, classLoad := range evidence.OwnLoad {
			load += float64(classLoad)
		}
		// The servers' predicted load includes the load of all nodes. Dividing it by the reported load of only some
		// nodes would give a cost that is much too high.
		complete = complete && float64(evidence.Nodes) > enoughNodes*float64(p.liveNodes(from))
	}
	return load, complete
}
