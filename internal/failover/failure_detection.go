package failover

import (
	"fmt"
	"slices"
	"time"
)

// path is the network path from the nodes of one zone to the servers of a zone.
type path struct{ from, to string }

// pathStats are the attempts on a path, which decay by a factor of e each second.
type pathStats struct {
	attempts, failed float64
	at               time.Duration // of the newest
}

// fresh reports whether attempts were reported within evidenceLifetime.
func (s *pathStats) fresh(now time.Duration) bool { return s != nil && now-s.at <= evidenceLifetime }

// failing reports whether attempts on a path fail. known is false where there were too few within evidenceLifetime.
func (s *pathStats) failing(now time.Duration) (failing, known bool) {
	if !s.fresh(now) || s.attempts < minAttempts {
		return false, false
	}
	return s.failed > failingFraction*s.attempts, true
}

// zoneView is what is known in common of a zone's servers.
type zoneView struct {
	ZoneEvidence
	own bool // by the zone's own nodes
}

// ejectedFraction is the part of the listed servers that is ejected.
func (v *zoneView) ejectedFraction() float64 { return float64(v.Ejected / v.Ready) }

// viewZone is what is known of a zone's servers: its own nodes' view while there is one, else the others'.
func (p *Planner) viewZone(zone string, now time.Duration) (view zoneView, ok bool) {
	if own := &p.zoneStates[zone].report; own.fresh(now) {
		if evidence, there := own.summary.ofZone(zone); there && evidence.Nodes > 0 {
			return zoneView{evidence, true}, true
		}
	}
	var sum EvidenceSummary
	for _, other := range p.zones {
		report := &p.zoneStates[other].report
		if other == zone || !report.fresh(now) {
			continue
		}
		if evidence, there := report.summary.ofZone(zone); there {
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

// zoneFailure reports whether a zone's servers fail, as far as is known in common, and what shows it.
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
	case view.own && ownKnown && !ownFails: // servers stay ejected for a while, but those that are tried answer
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

// countOtherZones counts the other zones whose attempts at a zone's servers fail, and those whose attempts work.
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

// answers reports whether a zone's servers were tried of late and answered.
func (p *Planner) answers(zone string, now time.Duration) bool {
	return slices.ContainsFunc(p.zones, func(from string) bool {
		stats := p.paths[path{from, zone}]
		return stats.fresh(now) && stats.attempts >= 1 && stats.failed < failingFraction*stats.attempts
	})
}

// allLookLost reports whether there is no zone left that looks healthy.
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
