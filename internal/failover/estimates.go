package failover

import (
	"math"
	"slices"
	"time"
)

const (
	costSmoothing     = 0.3 // weight of a new measurement of what a unit of reported load takes
	capacitySmoothing = 0.2 // the same of capacity that grows; less capacity counts at once
	capacityFade      = 0.9 // of the capacity that remains at each step while no node reports on a zone
	minMeasurableLoad = 0.1 // of the servers' capacity: under this load the cost is not measured
	enoughNodes       = 0.9 // of a zone's live nodes: reports of fewer are incomplete

	// A class's demand is at most the larger of these: a multiple of its peak load; a multiple of its load, and some
	// load.
	maxDemandOfPeak = 1.2
	maxDemandOfLoad = 1.5
	minDemandBound  = 2
)

// capacityEstimate is the load that a zone's servers have the capacity for.
type capacityEstimate struct {
	capacity float64 // in reported load, smoothed; 0: not known
	cost     float64 // servers that a unit of reported load takes, smoothed; 0: not measured
}

// fade shrinks the capacity of a zone that no node reports on, but not below its own clients' demand.
func (e *capacityEstimate) fade(ownDemand float64) {
	e.capacity = max(capacityFade*e.capacity, min(e.capacity, ownDemand))
}

// update takes in what a zone's servers can do, and what a unit of reported load takes of it. Less capacity counts at
// once; so does that of a returning zone, which is given back step by step anyway.
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

// demandEstimate is the load that a zone's clients want, by class of the rules.
type demandEstimate struct {
	byClass   []float64
	peaks     []float64 // the largest load of late
	updatedAt time.Duration
}

func newDemandEstimate(classes int, now time.Duration) demandEstimate {
	return demandEstimate{byClass: make([]float64, classes), peaks: make([]float64, classes), updatedAt: now}
}

// start sets the estimate to what a plan has of it.
func (e *demandEstimate) start(class int, load float64) {
	e.byClass[class] = load
	e.peaks[class] = load
}

// total is the load that clients of all classes want.
func (e *demandEstimate) total() float64 { return sumOf(e.byClass) }

// update estimates the demand by the load that a zone's nodes have in all zones: it is that load, the demand before a
// failure, which decays, and what was rejected.
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
		// What is rejected is retried and counted again: it shows that demand is larger, not by how much. So it is
		// bounded.
		demand := decayTo(load, e.byClass[i], elapsed, demandMemory) + float64(summary.Rejected[reported])
		e.byClass[i] = min(demand, max(maxDemandOfPeak*e.peaks[i], maxDemandOfLoad*load+minDemandBound))
	}
}

// decayTo is a value after some time in which its part above a floor has decayed exponentially.
func decayTo(floor, value float64, elapsed, memory time.Duration) float64 {
	return floor + max(0, value-floor)*math.Exp(-elapsed.Seconds()/memory.Seconds())
}

// sumOf adds loads up, in their order: sums of floats are alike in one order only.
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

// loadCost is what a unit of reported load takes of a zone's servers. It is measured where enough load is there and all
// nodes that may have a part of it have reported. The cost that nodes learn themselves is only the last resort: they
// assume that all nodes use all servers alike, which under a plan they don't.
func (p *Planner) loadCost(zone string, view *zoneView, servers float64, now time.Duration) float64 {
	estimate := &p.zoneStates[zone].capacity
	load := float64(view.Load) / float64(view.Nodes)
	reported, complete := p.reportedLoad(zone, now)
	switch {
	case complete && load > minMeasurableLoad*servers && reported > 0:
		return load / reported
	case estimate.cost > 0:
		return estimate.cost
	case estimate.capacity > 0: // of the plan before
		return servers / estimate.capacity
	}
	return float64(view.Cost) / float64(view.Nodes)
}

// reportedLoad is the load in a zone that nodes of all zones have reported. complete says whether all nodes that may
// have some there are in it.
func (p *Planner) reportedLoad(zone string, now time.Duration) (load float64, complete bool) {
	complete = true
	for _, from := range p.zones {
		report := &p.zoneStates[from].report
		if !report.fresh(now) {
			complete = complete && from != zone && !p.mayUseZone(from, zone)
			continue
		}
		evidence, there := report.summary.ofZone(zone)
		if !there {
			continue
		}
		for _, classLoad := range evidence.OwnLoad {
			load += float64(classLoad)
		}
		// The load of some of a zone's nodes against that of all on the servers would give a cost that is much too
		// high.
		complete = complete && float64(evidence.Nodes) > enoughNodes*float64(p.liveNodes(from))
	}
	return load, complete
}
