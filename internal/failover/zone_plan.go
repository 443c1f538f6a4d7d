package failover

import (
	"math"
	"slices"
	"time"

	"spurwinch/choice"
)

// Standard deviations of its own load that a node may have beyond its even part of a grant, where there is capacity:
// clients come to a zone's nodes by chance.
const (
	ownZoneDeviations   = 2.5
	otherZoneDeviations = 1.5
)

// Mode is the state of a node with respect to plans.
type Mode uint8

const (
	// Standalone is the mode before any plan is known: the own zone, as the node itself sees it.
	Standalone Mode = iota
	// Planned is the mode in which a plan is in force, as far as this node can know.
	Planned
	// OwnZoneOnly is the mode in which the contact to a leader was lost: of the plan only the node's share of its own
	// zone is valid, which is granted to no other node.
	OwnZoneOnly
)

func (m Mode) String() string {
	names := [...]string{"alone", "planned", "ground"} // as operators and logs know them
	return names[min(m, OwnZoneOnly)]
}

// LeasedCapacity is what a node has leased beyond the plan, and what it reserves for regional classes.
type LeasedCapacity struct {
	ByZone       map[string]float64 // load that the node has leased there
	InRegionOnly float64            // load of regional classes that has no capacity in the own zone: reserved for them
}

// GrantShare is the load that a node of a zone may have in each zone by a plan, as planning counts it: without leases,
// and without what ZonePlanFor adds for chance.
func GrantShare(mode Mode, plan *Plan, node int, zone string) map[string]float64 {
	shares := map[string]float64{}
	own := plan.zoneIndex(zone)
	if mode == Standalone || own < 0 {
		return shares
	}
	lost := slices.Contains(plan.LostNodes, node)
	for to := range plan.Zones {
		load := plan.nodeLoad(own, to, lost)
		if load > 0 && (to == own || mode == Planned) {
			shares[plan.Zones[to].Name] = load
		}
	}
	return shares
}

// ZonePlanFor is the plan for the load balancer of a node. zone is the node's own and classes are its classes, by
// their places there; retryAfter is the advice to clients that are rejected.
func ZonePlanFor(
	mode Mode, plan *Plan, node int, zone string, classes []string, retryAfter time.Duration, leased LeasedCapacity,
) choice.ZonePlan {
	if mode == Standalone || plan == nil || plan.zoneIndex(zone) < 0 {
		return choice.ZonePlan{Grants: []choice.Grant{{Zone: zone, Load: math.Inf(1)}}}
	}
	user := &planUser{
		mode:   mode,
		plan:   plan,
		own:    plan.zoneIndex(zone),
		lost:   slices.Contains(plan.LostNodes, node),
		leased: leased,
	}
	user.splitClasses(classes)
	zonePlan := choice.ZonePlan{RetryAfter: retryAfter, Grants: user.grants()}
	for i := range plan.Zones {
		zonePlan.Nodes += plan.Zones[i].Nodes
	}
	if mode != OwnZoneOnly { // there the grants, which are less than the plan's capacity, bound what is admitted
		zonePlan.AdmitFraction = user.admitFractions(classes)
	}
	return zonePlan
}

// planUser computes one node's grants from a plan.
type planUser struct {
	mode         Mode
	plan         *Plan
	own          int  // place of its zone
	lost         bool // it is out of the common view
	leased       LeasedCapacity
	regional     []int // its classes that must stay in the region
	otherClasses []int // its other classes
}

func (u *planUser) splitClasses(classes []string) {
	for i, class := range classes {
		if known := slices.Index(u.plan.Classes, class); known >= 0 && u.plan.StayInRegion[known] {
			u.regional = append(u.regional, i)
		} else {
			u.otherClasses = append(u.otherClasses, i)
		}
	}
}

// grants are what the node may have in each zone, the nearest first.
func (u *planUser) grants() (grants []choice.Grant) {
	regionLoad := u.regionLoad()
	for _, to := range u.plan.byPreference(u.own) {
		zone := &u.plan.Zones[to]
		load := u.load(to)
		regionFraction := u.plan.regionFraction(u.own, to)
		switch {
		case to == u.own:
			grants = append(grants, choice.Grant{Zone: zone.Name, Load: load})
		case load <= 0:
		case u.plan.proximity(u.own, to) == otherRegion:
			grants = append(grants, choice.Grant{Zone: zone.Name, Load: load, ExcludedClasses: u.regional})
		case regionFraction == 0 && u.leased.InRegionOnly == 0:
			grants = append(grants, choice.Grant{Zone: zone.Name, Load: load})
		default:
			regionFraction = max(regionFraction, min(1, u.leased.InRegionOnly/regionLoad))
			grants = append(grants,
				choice.Grant{Zone: zone.Name, Load: load * (1 - regionFraction), ExcludedClasses: u.regional},
				choice.Grant{Zone: zone.Name, Load: load * regionFraction, ExcludedClasses: u.otherClasses})
		}
	}
	return grants
}

// regionLoad is what the node may have in the other zones of its region.
func (u *planUser) regionLoad() (load float64) {
	for to := range u.plan.Zones {
		if u.plan.proximity(u.own, to) == sameRegion {
			load += u.load(to)
		}
	}
	return load
}

// load is what the node may have in a zone, with what it has leased there.
func (u *planUser) load(to int) float64 {
	leased := u.leased.ByZone[u.plan.Zones[to].Name]
	switch {
	case to == u.own:
		return u.ownLoad() + leased
	case u.mode == OwnZoneOnly:
		return leased
	}
	share := u.plan.nodeLoad(u.own, to, u.lost)
	return share + otherZoneDeviations*math.Sqrt(share) + leased
}

// ownLoad is what the node may have in its own zone by the plan. It is more than its even part: all nodes together have
// it only when more is wanted than was estimated. Then the servers' load reports, without which no balancer places
// anything, protect the last part of their capacity.
func (u *planUser) ownLoad() float64 {
	zone := &u.plan.Zones[u.own]
	load := u.plan.nodeLoad(u.own, u.own, u.lost)
	if zone.State == Lost {
		return load
	}
	load += ownZoneDeviations * math.Sqrt(load+1)
	if zone.GuestLoad == 0 && zone.Nodes > 0 { // nobody else needs its capacity now: it may grow without a plan
		load = max(load, float64(zone.Capacity)/float64(zone.Nodes))
	}
	return load
}

// admitFractions is, by the node's classes, which part of the arrivals is admitted.
func (u *planUser) admitFractions(classes []string) (fractions []float64) {
	for _, class := range classes {
		fraction := 1.0
		if known := slices.Index(u.plan.Classes, class); known >= 0 {
			fraction = float64(u.plan.AdmitFractions[u.own][known]) / fullAdmission
		}
		fractions = append(fractions, fraction)
	}
	return fractions
}
