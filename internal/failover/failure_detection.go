package failover

import (
	"fmt"
	"slices"
	"time"
)

// path is the network path from the nodes of one zone to the servers of a zone.
type path struct{ from, to string }

// pathStats counts the attempts on a path. The counts decay by a factor of e each second.
type pathStats struct {
	attempts, failed float64
	at               time.Duration // when attempts were last reported
}

// fresh reports whether attempts were reported within evidenceLifetime.
func (s *pathStats) fresh(now time.Duration) bool { return s != nil && now-s.at <= evidenceLifetime }

// failing reports whether attempts on a path fail. known is false if there were too few attempts or none was reported
// within evidenceLifetime.
func (s *pathStats) failing(now time.Duration) (failing, known bool) {
	if !s.fresh(now) || s.attempts < minAttempts {
		return false, false
	}
	return s.failed > failingFraction*s.attempts, true
}

// zoneView is the combined evidence about a zone's servers.
type zoneView struct {
	ZoneEvidence
	own bool // whether the evidence is from the zone's own nodes
}

// ejectedFraction returns the fraction of the ready servers that is ejected.
func (v *zoneView) ejectedFraction() float64 { return float64(v.Ejected / v.Ready) }

// viewZone returns the evidence about a zone's servers. It returns the evidence from the zone's own nodes if it is
// fresh, otherwise the sum over the nodes of other zones. ok is false if there is neither.
func (p *Planner) viewZone(zone string, now time.Duration) (view zoneView, ok bool) {
	if own := &p.zoneStates[zone].report; own.fresh(now) {
		if evidence, found := own.summary.ofZone(zone); found && evidence.Nodes > 0 {
			return zoneView{evidence, true}, true
		}
	}
	var sum EvidenceSummary
	for _, other := range p.zones {
		report := &p.zoneStates[other].report
		if other == zone || !report.fresh(now) {
			continue
		}
		if evidence, found := report.summary.ofZone(zone); found {
			classes := report.summary.Classes
			sum.Add(EvidenceSummary{
				Classes:  classes,
				Arrived:  make([]float32, len(classes)),
				Rejected: make([]float32, len(classes)),
				Zones:    []ZoneEvidence{evidence},
			})
		}
	}
	if len(sum.Zones) == 0 || sum.Zones[0].Nodes == 0 {
		return zoneView{}, false
	}
	return zoneView{sum.Zones[0], false}, true
}

// zoneFailure reports whether a zone's servers fail according to the evidence of all zones, and why.
func (p *Planner) zoneFailure(zone string, now time.Duration) (cause string, failing bool) {
	view, ok := p.viewZone(zone, now)
	if !ok {
		return "", false
	}
	if view.Ready == 0 {
		return "no host is listed as serving", true
	}
	ejected := view.ejectedFraction()
	fail, work := p.countOtherZones(zone, now)
	ownFails, ownKnown := p.paths[path{zone, zone}].failing(now)
	switch {
	case view.own && ownKnown && !ownFails: // ejections outlast a failure, but attempts succeed
		return "", false
	case view.own && work <= fail && (ejected > failingFraction || ownKnown && ownFails && ejected > failingFraction/2):
		return fmt.Sprintf("its own nodes leave out %.0f%% of its hosts; of other zones %d say the same and %d don't",
			100*ejected, fail, work), true
	case !view.own && (fail > work || ejected > failingFraction):
		return fmt.Sprintf("nothing is heard of its nodes; others leave out %.0f%% of its hosts", 100*ejected), true
	case view.own && fail > work && fail >= 2 && ejected > failingFraction/2:
		return fmt.Sprintf("%d other zones can't reach its hosts", fail), true
	}
	return "", false
}

// countOtherZones counts the other zones whose attempts at a zone's servers fail, and those whose attempts succeed.
func (p *Planner) countOtherZones(zone string, now time.Duration) (fail, work int) {
	for _, other := range p.zones {
		failing, known := p.paths[path{other, zone}].failing(now)
		switch {
		case other == zone || !known:
		case failing:
			fail++
		default:
			work++
		}
	}
	return fail, work
}

// serversAnswer reports whether recent attempts at a zone's servers succeeded.
func (p *Planner) serversAnswer(zone string, now time.Duration) bool {
	return slices.ContainsFunc(p.zones, func(from string) bool {
		stats := p.paths[path{from, zone}]
		return stats.fresh(now) && stats.attempts >= 1 && stats.failed < failingFraction*stats.attempts
	})
}

// allLookLost reports whether no zone looks healthy.
func (p *Planner) allLookLost(now time.Duration) bool {
	for _, zone := range p.zones {
		if state := p.zoneStates[zone].state; state == Lost || state == Drained {
			continue
		}
		if _, failing := p.zoneFailure(zone, now); !failing {
			return false
		}
	}
	return true
}
