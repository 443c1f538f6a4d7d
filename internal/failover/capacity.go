package failover

import (
	"time"
)

const (
	costSmoothing   = 0.3 // weight of a new measurement of what told load takes
	roomSmoothing   = 0.2 // the same of room that grows; where it shrinks, that counts at once
	roomFade        = 0.9 // of the room that is kept at each step where nobody sees a zone
	leastMeasurable = 0.1 // of what the hosts can do: under this load its cost is not measured
	enoughNodes     = 0.9 // of a zone's live nodes: what fewer of them hold is not all
)

// measure reckons a zone's room, as told load.
func (p *Planner) measure(zone string, now time.Duration) {
	z := p.state[zone]
	v, _, ok := p.view(zone, now)
	switch {
	case !ok && now-p.began > freshFor:
		z.fadeRoom()
		return
	case !ok || v.Ready == 0:
		return
	}
	out := float64(v.Ejected / v.Ready)
	if p.suspect {
		out = 0
	}
	hosts := float64(v.Capacity) / float64(v.Nodes) * (1 - out) * p.rules.UtilizationLimit
	if cost := p.loadCost(zone, v, hosts, now); cost > 0 {
		z.updateRoom(hosts, cost)
	}
}

// fadeRoom shrinks the room of a zone that nobody sees, but for what its own clients need there.
func (z *zoneState) fadeRoom() {
	own := 0.0
	for _, want := range z.want {
		own += want
	}
	z.room = max(roomFade*z.room, min(z.room, own))
}

// updateRoom takes in what a zone's hosts can do and what a unit of told load takes of it. Room that shrinks counts at once; so does that of a
// returning zone, which is given back step by step anyway.
func (z *zoneState) updateRoom(hosts, cost float64) {
	if z.cost == 0 {
		z.cost = cost
	}
	z.cost += (cost - z.cost) * costSmoothing
	room := hosts / z.cost
	if z.room == 0 || room < z.room || z.state == Returning {
		z.room = room
		return
	}
	z.room += (room - z.room) * roomSmoothing
}

// loadCost is what a unit of told load takes of a zone's hosts. It is measured where enough stands there and all who may have a part of it
// are heard: nodes learn it on the view that all of them use all hosts alike, which under a plan they don't. It shows slow hosts as well.
func (p *Planner) loadCost(zone string, v ZoneEvidence, hosts float64, now time.Duration) float64 {
	z := p.state[zone]
	load := float64(v.Load) / float64(v.Nodes)
	held, complete := p.heldIn(zone, now)
	switch {
	case complete && load > leastMeasurable*hosts && held > 0:
		return load / held
	case z.cost > 0:
		return z.cost
	case z.room > 0: // of the plan before
		return hosts / z.room
	}
	return float64(v.Cost) / float64(v.Nodes)
}

// heldIn is the told load in a zone that nodes of all zones have told of. complete says that all nodes who may have some there are in it.
func (p *Planner) heldIn(zone string, now time.Duration) (held float64, complete bool) {
	complete = true
	for _, from := range p.zones {
		s := p.state[from]
		if !s.fresh(now) {
			complete = complete && from != zone && !p.mayCross(from, zone)
			continue
		}
		r, there := s.sum.row(zone)
		if !there {
			continue
		}
		for _, load := range r.OwnLoad {
			held += float64(load)
		}
		// What some of a zone's nodes hold, against all that the hosts bear, would show hosts that are much too dear.
		complete = complete && float64(r.Nodes) > enoughNodes*float64(p.liveNodes(from))
	}
	return held, complete
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
