package failover

import (
	"math"
	"slices"
	"time"
)

// Observe takes the evidence of a zone's nodes, as one of its aggregators sums it. stale says that it was long on its way: it shows who is there,
// and nothing of how zones are.
func (p *Planner) Observe(aggregator int, s EvidenceSummary, stale bool, now time.Duration) {
	z := p.state[s.Zone]
	if z == nil {
		return
	}
	p.observeNodes(s, now)
	if stale || aggregator != z.aggregator && now-z.at < freshFor/2 && len(s.Nodes) <= len(z.sum.Nodes) {
		return // the zone's other aggregator has told the same, or more
	}
	z.aggregator = aggregator
	for _, r := range s.Zones {
		p.observePath([2]string{s.Zone, r.Zone}, r, now)
	}
	p.updateWant(z, s, now)
	z.sum, z.at = s, now
}

// observeNodes takes in whom a zone's nodes hear, and by which plans they go.
func (p *Planner) observeNodes(s EvidenceSummary, now time.Duration) {
	for _, w := range s.Nodes {
		if w.Node < 0 || w.Node >= p.list.Len() || p.list.Node(w.Node).Zone != s.Zone {
			continue
		}
		p.cut.Word(w.Node, w.Unreachable, now)
		p.confirm(w.Node, w.Plan, now)
	}
}

// observePath adds attempts to those on a path, which fade by a factor of e each second.
func (p *Planner) observePath(path [2]string, r ZoneEvidence, now time.Duration) {
	s := p.paths[path]
	if s == nil {
		s = &pathStats{at: now}
		p.paths[path] = s
	}
	keep := math.Exp(-(now - s.at).Seconds())
	s.tried = s.tried*keep + float64(r.Attempts)
	s.failed = s.failed*keep + float64(r.Failed)
	s.at = now
}

// updateWant reckons what a zone's clients want: what stands, what stood before a failure, and more where some are refused.
func (p *Planner) updateWant(z *zoneState, s EvidenceSummary, now time.Duration) {
	elapsed := now - z.lastWant
	z.lastWant = now
	for i, class := range p.rules.Classes {
		told := slices.Index(s.Classes, class.Name)
		if told < 0 {
			continue
		}
		held := 0.0
		for _, r := range s.Zones {
			held += float64(r.OwnLoad[told])
		}
		z.peak[i] = decayTo(held, z.peak[i], elapsed, peakMemory)
		// What is refused comes again and is counted again: it says that more is wanted, not how much.
		want := decayTo(held, z.want[i], elapsed, wantMemory) + float64(s.Rejected[told])
		z.want[i] = min(want, max(1.2*z.peak[i], 1.5*held+2))
	}
}

// decayTo lets what a value has above a floor fade over time.
func decayTo(floor, value float64, elapsed, memory time.Duration) float64 {
	return floor + max(0, value-floor)*math.Exp(-elapsed.Seconds()/memory.Seconds())
}
