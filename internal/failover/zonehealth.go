package failover

import (
	"fmt"
	"slices"
	"time"
)

// pathStats are the attempts of one zone's nodes at another zone's hosts, older ones counting less.
type pathStats struct {
	tried, failed float64
	at            time.Duration // of the newest
}

// fresh says whether attempts were told of late.
func (s *pathStats) fresh(now time.Duration) bool { return s != nil && now-s.at <= freshFor }

// pathFails says whether attempts on a path fail. known says whether enough of them were told of late.
func (p *Planner) pathFails(s *pathStats, now time.Duration) (fails, known bool) {
	if !s.fresh(now) || s.tried < leastTries {
		return false, false
	}
	return s.failed > failing*s.tried, true
}

// view is what is known of a zone's hosts: its own nodes' view while there is one, else the others'.
func (p *Planner) view(zone string, now time.Duration) (v ZoneEvidence, own, ok bool) {
	if z := p.state[zone]; z.fresh(now) {
		if r, there := z.sum.row(zone); there && r.Nodes > 0 {
			return r, true, true
		}
	}
	var all EvidenceSummary
	for _, other := range p.zones {
		s := p.state[other]
		if other == zone || !s.fresh(now) {
			continue
		}
		if r, there := s.sum.row(zone); there {
			classes := s.sum.Classes
			all.Add(EvidenceSummary{Classes: classes, Arrived: make([]float32, len(classes)), Rejected: make([]float32, len(classes)), Zones: []ZoneEvidence{r}})
		}
	}
	if len(all.Zones) == 0 || all.Zones[0].Nodes == 0 {
		return ZoneEvidence{}, false, false
	}
	return all.Zones[0], false, true
}

// fresh says whether a zone's nodes have told their evidence of late.
func (z *zoneState) fresh(now time.Duration) bool { return z.at > 0 && now-z.at <= freshFor }

// judge says whether a zone's hosts fail, as far as is known in common.
func (p *Planner) judge(zone string, now time.Duration) (bad bool, why string) {
	v, own, ok := p.view(zone, now)
	if !ok {
		return false, ""
	}
	if v.Ready == 0 {
		return true, "no host is listed as serving"
	}
	out := float64(v.Ejected / v.Ready)
	fail, work := p.othersFindings(zone, now)
	ownFails, ownKnown := p.pathFails(p.paths[[2]string{zone, zone}], now)
	switch {
	case own && ownKnown && !ownFails: // what is left out is left out for a while yet, and what is tried answers
	case own && (out > failing || ownKnown && ownFails && out > failing/2) && work <= fail:
		return true, fmt.Sprintf("its own nodes leave out %.0f%% of its hosts; of other zones %d say the same and %d don't", 100*out, fail, work)
	case !own && (fail > work || out > failing):
		return true, fmt.Sprintf("nothing is heard of its nodes; others leave out %.0f%% of its hosts", 100*out)
	case own && fail > work && fail >= 2 && out > failing/2:
		return true, fmt.Sprintf("%d other zones can't reach its hosts", fail)
	}
	return false, ""
}

// othersFindings counts the other zones whose attempts at a zone's hosts fail, and those whose attempts work.
func (p *Planner) othersFindings(zone string, now time.Duration) (fail, work int) {
	for _, other := range p.zones {
		fails, known := p.pathFails(p.paths[[2]string{other, zone}], now)
		switch {
		case other == zone || !known:
		case fails:
			fail++
		default:
			work++
		}
	}
	return fail, work
}

// answers says whether a zone's hosts were tried of late and answered.
func (p *Planner) answers(zone string, now time.Duration) bool {
	return slices.ContainsFunc(p.zones, func(from string) bool {
		s := p.paths[[2]string{from, zone}]
		return s.fresh(now) && s.tried >= 1 && s.failed < failing*s.tried
	})
}

// advanceState moves a zone's state on, and says why; "": it stays.
func (p *Planner) advanceState(zone string, now time.Duration) (why string) {
	z := p.state[zone]
	bad, cause := p.judge(zone, now)
	drained := slices.Contains(p.orders.Drained, zone)
	switch {
	case drained && z.state == Drained:
		return ""
	case drained:
		return p.enter(zone, Drained, "an operator's order", now)
	case z.state == Drained:
		z.ramp = 0
		return p.enter(zone, Returning, "the order to drain it was taken back", now)
	case p.suspect && z.state == Lost:
		return p.returnSuspect(zone, now)
	case p.suspect && bad:
		return ""
	case bad && z.state != Lost:
		return p.lose(zone, cause, now)
	case z.state == Lost:
		return p.recover(zone, bad, now)
	case z.state == Returning && z.ramp >= 1:
		return p.enter(zone, Healthy, "all of its room is given back", now)
	}
	return ""
}

// enter sets a zone's state, and says so.
func (p *Planner) enter(zone string, s State, cause string, now time.Duration) (why string) {
	z := p.state[zone]
	z.state, z.since, z.goodFrom = s, now, 0
	return fmt.Sprintf("%s %s: %s", zone, s, cause)
}

// returnSuspect gives a lost zone back while all zones look lost. Nobody has restarted its hosts, as far as is known, so all of its room is
// given at once: nodes' modules go easy on those that are cold.
func (p *Planner) returnSuspect(zone string, now time.Duration) (why string) {
	z := p.state[zone]
	if z.turned != 0 && now-z.turned < turnHold {
		return ""
	}
	z.turned, z.ramp = now, 1
	return p.enter(zone, Returning, "every zone looks lost, which is suspect: there is nowhere else to go", now)
}

// lose takes a zone for lost, and counts how often that came soon after its return.
func (p *Planner) lose(zone, cause string, now time.Duration) (why string) {
	z := p.state[zone]
	if z.turned > 0 && now-z.turned < turnHold {
		z.turns++
	} else {
		z.turns = 0
	}
	return p.enter(zone, Lost, cause, now)
}

// recover gives a lost zone back once its hosts have answered for long enough.
func (p *Planner) recover(zone string, bad bool, now time.Duration) (why string) {
	z := p.state[zone]
	if _, _, heard := p.view(zone, now); bad || !heard {
		z.goodFrom = 0
		return ""
	}
	if z.goodFrom == 0 {
		// Hosts that nobody has tried of late are not well: they were left out, and the time for that is over.
		if !p.answers(zone, now) {
			return ""
		}
		z.goodFrom = now
	}
	hold := p.rules.RecoveryDelay
	if z.turned > 0 { // at most one reversal in that time, however often it comes and goes
		hold = max(hold, turnHold-(now-z.turned))
	}
	good := now - z.goodFrom
	if good < hold {
		return ""
	}
	z.turned, z.ramp = now, 0
	return p.enter(zone, Returning, fmt.Sprintf("its hosts answer for %v", good.Round(time.Second)), now)
}
