package failover

import (
	"math"
	"slices"
	"time"

	"spurwinch/choice"
)

// LeasedCapacity is what a node has been lent, and what it keeps of its part in its region.
type LeasedCapacity struct {
	ByZone       map[string]float64 // by zone
	InRegionOnly float64            // told load of classes that must not go further, which find no place in the own zone
}

// ZonePlanFor is what a node's module is told. classes are the node's own, by their index there; comeAgain is the advice for what is refused;
// b is what it has been lent, and keeps for those who can't go far.
func ZonePlanFor(m Mode, p *Plan, node int, zone string, classes []string, comeAgain time.Duration, b LeasedCapacity) choice.ZonePlan {
	if m == Standalone || p == nil || p.zone(zone) < 0 {
		return choice.ZonePlan{Grants: []choice.Grant{{Zone: zone, Load: math.Inf(1)}}}
	}
	u := &nodeUse{mode: m, plan: p, own: p.zone(zone), lost: slices.Contains(p.LostNodes, node), borrowed: b}
	for i, class := range classes {
		if k := slices.Index(p.Classes, class); k >= 0 && p.StayInRegion[k] {
			u.staying = append(u.staying, i)
		} else {
			u.moving = append(u.moving, i)
		}
	}
	out := choice.ZonePlan{RetryAfter: comeAgain, Grants: u.grants()}
	for _, z := range p.Zones {
		out.Nodes += z.Nodes
	}
	if m != OwnZoneOnly { // there what is let in is as much as the plan has room for, and this is less
		out.AdmitFraction = u.admitted(classes)
	}
	return out
}

// nodeUse is how one node goes by a plan.
type nodeUse struct {
	mode            Mode
	plan            *Plan
	own             int  // the place of its zone
	lost            bool // it is out of the common view
	borrowed        LeasedCapacity
	staying, moving []int // its classes that must stay in the region, and those that need not
}

// grants are what the node may have in each zone, the nearest first.
func (u *nodeUse) grants() (grants []choice.Grant) {
	region := u.regionLoad()
	for _, to := range u.plan.nearest(u.own) {
		zone, load := u.plan.Zones[to], u.load(to)
		kept := u.plan.kept(u.own, to)
		switch {
		case to == u.own:
			grants = append(grants, choice.Grant{Zone: zone.Name, Load: load})
		case load <= 0:
		case zone.Region != u.plan.Zones[u.own].Region:
			grants = append(grants, choice.Grant{Zone: zone.Name, Load: load, ExcludedClasses: u.staying})
		case kept == 0 && u.borrowed.InRegionOnly == 0:
			grants = append(grants, choice.Grant{Zone: zone.Name, Load: load})
		default:
			kept = max(kept, min(1, u.borrowed.InRegionOnly/region))
			grants = append(grants, choice.Grant{Zone: zone.Name, Load: load * (1 - kept), ExcludedClasses: u.staying},
				choice.Grant{Zone: zone.Name, Load: load * kept, ExcludedClasses: u.moving})
		}
	}
	return grants
}

// regionLoad is what the node may have in the other zones of its region, for those who can't go further.
func (u *nodeUse) regionLoad() (load float64) {
	for to, zone := range u.plan.Zones {
		if to != u.own && zone.Region == u.plan.Zones[u.own].Region {
			load += u.load(to)
		}
	}
	return load
}

// load is what the node may have in a zone, with what it has been lent there.
func (u *nodeUse) load(to int) float64 {
	loan := u.borrowed.ByZone[u.plan.Zones[to].Name]
	switch {
	case to == u.own:
		return u.ownLoad() + loan
	case u.mode == OwnZoneOnly:
		return loan
	}
	share := u.plan.share(u.own, to, u.lost)
	return share + guestUneven*math.Sqrt(share) + loan
}

// ownLoad is what the node may have in its own zone. Clients come to a zone's nodes by chance, and a node may have more than its even part: all
// nodes together have it only when more is wanted than was reckoned. Then the hosts' own reports, without which no module places anything,
// keep the last part of their room; a guest leaves more of that to the zone's own.
func (u *nodeUse) ownLoad() float64 {
	zone, load := u.plan.Zones[u.own], u.plan.share(u.own, u.own, u.lost)
	if zone.State == Lost {
		return load
	}
	load += uneven * math.Sqrt(load+1)
	if zone.GuestLoad == 0 && zone.Nodes > 0 { // nobody else needs its room now: it may grow without a plan
		load = max(load, float64(zone.Capacity)/float64(zone.Nodes))
	}
	return load
}

// admitted is, by the node's classes, what part of the arrivals is let in.
func (u *nodeUse) admitted(classes []string) (parts []float64) {
	for _, class := range classes {
		part := 1.0
		if k := slices.Index(u.plan.Classes, class); k >= 0 {
			part = float64(u.plan.AdmitFractions[u.own][k]) / admitAll
		}
		parts = append(parts, part)
	}
	return parts
}
