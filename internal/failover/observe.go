package failover

import (
	"math"
	"slices"
	"time"
)

// Hear takes the evidence of a zone's nodes. stale says that it was long on its way: it shows who is there, and nothing of how zones are.
func (p *Planner) Hear(head int, s Sum, stale bool, now time.Duration) {
	z := p.state[s.Zone]
	if z == nil {
		return
	}
	for _, w := range s.Words {
		if w.Node < 0 || w.Node >= p.list.Len() || p.list.Node(w.Node).Zone != s.Zone {
			continue
		}
		p.cut.Word(w.Node, w.Silent, now)
		p.confirm(w.Node, w.Plan, now)
	}
	if stale || head != z.head && now-z.at < freshFor/2 && len(s.Words) <= len(z.sum.Words) {
		return // the zone's other head has told the same, or more
	}
	z.head = head
	for _, r := range s.Rows {
		w := p.ways[[2]string{s.Zone, r.Zone}]
		if w == nil {
			w = &way{at: now}
			p.ways[[2]string{s.Zone, r.Zone}] = w
		}
		keep := math.Exp(-(now - w.at).Seconds())
		w.tried, w.failed, w.at = w.tried*keep+float64(r.Attempts), w.failed*keep+float64(r.Failed), now
	}
	p.ask(z, s, now)
	z.sum, z.at = s, now
}

// ask reckons what a zone's clients want: what stands, what stood before a failure, and more where some are refused.
func (p *Planner) ask(z *zoneState, s Sum, now time.Duration) {
	dt := now - z.lastWant
	z.lastWant = now
	for c, k := range p.rules.Classes {
		i := slices.Index(s.Classes, k.Name)
		if i < 0 {
			continue
		}
		held := 0.0
		for _, r := range s.Rows {
			held += float64(r.Held[i])
		}
		z.peak[c] = held + max(0, z.peak[c]-held)*math.Exp(-dt.Seconds()/peakMemory.Seconds())
		w := held + max(0, z.want[c]-held)*math.Exp(-dt.Seconds()/wantMemory.Seconds())
		// What is refused comes again and is counted again: it says that more is wanted, not how much.
		w += float64(s.Refused[i])
		z.want[c] = min(w, max(1.2*z.peak[c], 1.5*held+2))
	}
}

type way struct {
	tried, failed float64
	at            time.Duration
}
