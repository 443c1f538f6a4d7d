package failover

import (
	"time"
)

// measure reckons a zone's room, as told load.
func (p *Planner) measure(zone string, now time.Duration) {
	z := p.state[zone]
	v, _, ok := p.view(zone, now)
	if !ok || v.Ready == 0 {
		if !ok && now-p.began > freshFor {
			// Nobody knows: what is not seen fades, but for what its own clients need there.
			own := 0.0
			for _, w := range z.want {
				own += w
			}
			z.room = max(0.9*z.room, min(z.room, own))
		}
		return
	}
	n := float64(v.Nodes)
	out := float64(v.Out / v.Ready)
	if p.suspect {
		out = 0
	}
	hosts := float64(v.Warm) / n * (1 - out) * p.rules.Limit
	cost := float64(v.Cost) / n
	held, whole := 0.0, true
	for _, o := range p.zones {
		s := p.state[o]
		if s.at == 0 || now-s.at > freshFor {
			whole = whole && o != zone && !p.mayCross(o, zone)
			continue
		}
		if r, there := s.sum.row(zone); there {
			for _, h := range r.Held {
				held += float64(h)
			}
			live := 0
			for _, node := range p.list.InZone(o) {
				if p.cut.Live(node) {
					live++
				}
			}
			// What some of a zone's nodes hold, against all that the hosts bear, would show hosts that are much too dear.
			whole = whole && float64(r.Nodes) > 0.9*float64(live)
		}
	}
	// What a unit of told load takes is measured where enough stands there and all who may have a part of it are heard: nodes learn it on
	// the view that all of them use all hosts alike, which under a plan they don't. It shows slow hosts as well.
	load := float64(v.Load) / n
	switch {
	case whole && load > 0.1*hosts && held > 0:
		cost = load / held
	case z.cost > 0:
		cost = z.cost
	case z.room > 0: // of the plan before
		cost = hosts / z.room
	}
	if cost <= 0 {
		return
	}
	if z.cost == 0 {
		z.cost = cost
	}
	z.cost += (cost - z.cost) * 0.3
	if room := hosts / z.cost; z.room == 0 || room < z.room || z.state == Returning { // which is given back step by step anyway
		z.room = room
	} else {
		z.room += (room - z.room) * 0.2
	}
}

// usable is what of a zone's room a plan may give.
func (z *zoneState) usable(r Rules) float64 {
	switch z.state {
	case Lost, Drained:
		return 0
	case Returning:
		return z.room * z.ramp
	}
	return z.room
}
