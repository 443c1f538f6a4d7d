package failover

import "time"

// loadsInUse holds the most load that each node may have in each zone under any plan that it may still use.
type loadsInUse struct {
	indexes map[string]int // index of each zone in the rows of byNode
	byNode  [][]float64    // by node and zone
}

// raise raises a node's load in a zone to the load that one plan allows, if that is larger.
func (l *loadsInUse) raise(node, zone int, load float64) {
	l.byNode[node][zone] = max(l.byNode[node][zone], load)
}

// inUse returns, by node and zone, the most load that each node may have in each zone under any plan that it may still
// use: the newest plan that it has reported to have adopted, and all newer ones.
func (p *Planner) inUse(now time.Duration) [][]float64 {
	loads := &loadsInUse{indexes: map[string]int{}, byNode: make([][]float64, p.list.Len())}
	for index, zone := range p.zones {
		loads.indexes[zone] = index
	}
	for node := range loads.byNode {
		loads.byNode[node] = make([]float64, len(p.zones))
	}
	for planIndex := range p.knownPlans {
		p.addGrantsInUse(loads, planIndex, now)
		if !p.previousPlanKnown(planIndex) {
			p.addEarlierLoads(loads, &p.knownPlans[planIndex], now)
		}
	}
	return loads.byNode
}

// addGrantsInUse raises the loads to the grants of a known plan.
func (p *Planner) addGrantsInUse(loads *loadsInUse, planIndex int, now time.Duration) {
	known := &p.knownPlans[planIndex]
	crossZoneEnded := planIndex+1 < len(p.knownPlans) && now-p.knownPlans[planIndex+1].NewestSince > p.crossZonePeriod()
	lost := map[int]bool{}
	for _, node := range known.Plan.LostNodes {
		lost[node] = true
	}
	for _, grant := range known.Plan.Grants {
		from := &known.Plan.Zones[grant.From]
		ownZone := grant.From == grant.To
		_, fromListed := loads.indexes[from.Name]
		to, toListed := loads.indexes[known.Plan.Zones[grant.To].Name]
		if !fromListed || !toListed || !ownZone && crossZoneEnded {
			continue
		}
		for _, node := range p.list.InZone(from.Name) {
			if known.Number >= p.adoptions.newestPlanOf(node) { // the node has not reported a newer plan
				loads.raise(node, to, from.nodeShare(float64(grant.Load), ownZone, lost[node]))
			}
		}
	}
}

// addEarlierLoads raises the loads to those that plans unknown to this planner may have left in use. The known plan
// after them states these loads in EarlierLoads.
func (p *Planner) addEarlierLoads(loads *loadsInUse, known *VersionedPlan, now time.Duration) {
	crossZoneEnded := now-known.NewestSince > p.crossZonePeriod()
	for from, most := range known.Plan.EarlierLoads {
		for _, node := range p.list.InZone(known.Plan.Zones[from].Name) {
			if p.adoptions.newestPlanOf(node) >= known.Number {
				continue
			}
			lostAt, lost := p.cutDetector.LostSince(node)
			forgotten := lost && now-lostAt >= lostNodeMemory
			for to, load := range most {
				index, listed := loads.indexes[known.Plan.Zones[to].Name]
				ownZone := from == to
				if !listed || ownZone && forgotten || !ownZone && crossZoneEnded {
					continue
				}
				loads.raise(node, index, float64(load))
			}
		}
	}
}
