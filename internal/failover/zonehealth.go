package failover

import (
	"fmt"
	"slices"
	"time"
)

// view is what is known of a zone's hosts: its own nodes' view while there is one, else the others'.
func (p *Planner) view(zone string, now time.Duration) (v Row, own, ok bool) {
	if z := p.state[zone]; now-z.at <= freshFor && z.at > 0 {
		if r, there := z.sum.row(zone); there && r.Nodes > 0 {
			return r, true, true
		}
	}
	var all Sum
	for _, o := range p.zones {
		if s := p.state[o]; o != zone && s.at > 0 && now-s.at <= freshFor {
			if r, there := s.sum.row(zone); there {
				all.Add(Sum{Classes: s.sum.Classes, Arrived: make([]float32, len(s.sum.Classes)), Refused: make([]float32, len(s.sum.Classes)), Rows: []Row{r}})
			}
		}
	}
	if len(all.Rows) == 0 || all.Rows[0].Nodes == 0 {
		return Row{}, false, false
	}
	return all.Rows[0], false, true
}

func (p *Planner) bad(w *way, now time.Duration) (bad, says bool) {
	if w == nil || now-w.at > freshFor || w.tried < leastTries {
		return false, false
	}
	return w.failed > failing*w.tried, true
}

// judge says whether a zone's hosts fail, as far as is known in common.
func (p *Planner) judge(zone string, now time.Duration) (bad bool, why string) {
	v, own, ok := p.view(zone, now)
	if !ok {
		return false, ""
	}
	if v.Ready == 0 {
		return true, "no host is listed as serving"
	}
	out := float64(v.Out / v.Ready)
	yes, no := 0, 0
	for _, o := range p.zones {
		if b, says := p.bad(p.ways[[2]string{o, zone}], now); says && o != zone {
			if b {
				yes++
			} else {
				no++
			}
		}
	}
	self, says := p.bad(p.ways[[2]string{zone, zone}], now)
	switch {
	case own && says && !self: // what is left out is left out for a while yet, and what is tried answers
	case own && (out > failing || says && self && out > failing/2) && no <= yes:
		return true, fmt.Sprintf("its own nodes leave out %.0f%% of its hosts; of other zones %d say the same and %d don't", 100*out, yes, no)
	case !own && (yes > no || out > failing):
		return true, fmt.Sprintf("nothing is heard of its nodes; others leave out %.0f%% of its hosts", 100*out)
	case own && yes > no && yes >= 2 && out > failing/2:
		return true, fmt.Sprintf("%d other zones can't reach its hosts", yes)
	}
	return false, ""
}

// answers says whether a zone's hosts were tried of late and answered.
func (p *Planner) answers(zone string, now time.Duration) bool {
	for _, o := range p.zones {
		if w := p.ways[[2]string{o, zone}]; w != nil && now-w.at <= freshFor && w.tried >= 1 && w.failed < failing*w.tried {
			return true
		}
	}
	return false
}

// turn moves a zone's state on.
func (p *Planner) turn(zone string, now time.Duration) (why string) {
	z := p.state[zone]
	bad, cause := p.judge(zone, now)
	drained := slices.Contains(p.orders.Drained, zone)
	set := func(s State, text string) {
		z.state, z.since, z.goodFrom = s, now, 0
		why = fmt.Sprintf("%s %s: %s", zone, s, text)
	}
	switch {
	case drained:
		if z.state != Drained {
			set(Drained, "an operator's order")
		}
	case z.state == Drained:
		set(Returning, "the order to drain it was taken back")
		z.ramp = 0
	case p.suspect && bad && z.state != Lost:
	case p.suspect && z.state == Lost:
		if z.turned == 0 || now-z.turned >= turnHold {
			set(Returning, "every zone looks lost, which is suspect: there is nowhere else to go")
			z.turned, z.ramp = now, 1 // nobody has restarted them, as far as is known: nodes' modules go easy on those that are cold
		}
	case bad && z.state != Lost:
		if z.turned > 0 && now-z.turned < turnHold {
			z.turns++
		} else {
			z.turns = 0
		}
		set(Lost, cause)
	case z.state == Lost && bad:
		z.goodFrom = 0
	case z.state == Lost:
		if _, _, heard := p.view(zone, now); !heard {
			z.goodFrom = 0
			break
		}
		if z.goodFrom == 0 {
			// Hosts that nobody has tried of late are not well: they were left out, and the time for that is over.
			if !p.answers(zone, now) {
				break
			}
			z.goodFrom = now
		}
		hold := p.rules.Hold
		if z.turned > 0 { // at most one reversal in that time, however often it comes and goes
			hold = max(hold, turnHold-(now-z.turned))
		}
		if now-z.goodFrom >= hold {
			set(Returning, fmt.Sprintf("its hosts answer for %v", (now-z.goodFrom).Round(time.Second)))
			z.turned, z.ramp = now, 0
		}
	case z.state == Returning && z.ramp >= 1:
		set(Well, "all of its room is given back")
	}
	return why
}
