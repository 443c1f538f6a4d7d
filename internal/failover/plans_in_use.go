package failover

import "time"

// loadsInUse is the most load that each node may have in each zone, by any plan that it may still use.
type loadsInUse struct {
	places map[string]int // of zones in the rows
	byNode [][]float64    // by node and zone
}

// raise takes in what one plan lets a node have in a zone.
func (l *loadsInUse) raise(node, zone int, load float64) {
	l.byNode[node][zone] = max(l.byNode[node][zone], load)
}

// inUse is the most load that each node may have in each zone by any plan that it may still use: the newest that it has
// reported to have adopted, or a newer one.
func (p *Planner) inUse(now time.Duration) [][]float64 {
	loads := &loadsInUse{places: map[string]int{}, byNode: make([][]float64, p.list.Len())}
	for place, zone := range p.zones {
		loads.places[zone] = place
	}
	for node := range loads.byNode {
		loads.byNode[node] = make([]float64, len(p.zones))
	}
	for place := range p.known {
		p.addGrantsInUse(loads, place, now)
		if !p.followsKnown(place) {
			p.addUnknownInUse(loads, &p.known[place], now)
		}
	}
	return loads.byNode
}

// addGrantsInUse adds the grants of a known plan.
func (p *Planner) addGrantsInUse(loads *loadsInUse, place int, now time.Duration) {
	known := &p.known[place]
	crossZoneEnded := place+1 < len(p.known) && now-p.known[place+1].From > p.crossZonePeriod()
	lost := map[int]bool{}
	for _, node := range known.Plan.LostNodes {
		lost[node] = true
	}
	for _, grant := range known.Plan.Grants {
		from := &known.Plan.Zones[grant.From]
		ownZone := grant.From == grant.To
		_, fromListed := loads.places[from.Name]
		to, toListed := loads.places[known.Plan.Zones[grant.To].Name]
		if !fromListed || !toListed || !ownZone && crossZoneEnded {
			continue
		}
		for _, node := range p.list.InZone(from.Name) {
			if known.Number >= p.adoptions.newestOf(node) { // otherwise it has adopted a newer one
				loads.raise(node, to, from.nodePart(float64(grant.Load), ownZone, lost[node]))
			}
		}
	}
}

// addUnknownInUse adds what plans that this planner never knew left in use, which is in EarlierLoads of the plan after
// them.
func (p *Planner) addUnknownInUse(loads *loadsInUse, known *VersionedPlan, now time.Duration) {
	crossZoneEnded := now-known.From > p.crossZonePeriod()
	for from, most := range known.Plan.EarlierLoads {
		for _, node := range p.list.InZone(known.Plan.Zones[from].Name) {
			if p.adoptions.newestOf(node) >= known.Number {
				continue
			}
			lostAt, lost := p.cut.LostSince(node)
			forgotten := lost && now-lostAt >= lostNodeMemory
			for to, load := range most {
				place, listed := loads.places[known.Plan.Zones[to].Name]
				ownZone := from == to
				if !listed || ownZone && forgotten || !ownZone && crossZoneEnded {
					continue
				}
				loads.raise(node, place, float64(load))
			}
		}
	}
}
