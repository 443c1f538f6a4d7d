package failover

import (
	"math"
	"slices"
	"time"

	"spurwinch/choice"
)

// Load that a node may have beyond its equal share of a grant, in standard deviations of that share, since clients
// arrive at a zone's nodes at random. In a lost zone, which has no capacity for it, a node has only its share.
const (
	ownZoneDeviations   = 2.5
	otherZoneDeviations = 1.5
)

// Mode is how a node uses plans.
type Mode uint8

const (
	// Standalone is the mode before the node knows any plan. It uses its own zone only, based on its own view of the
	// servers.
	Standalone Mode = iota
	// Planned is the mode in which the node uses a plan that is in force, as far as the node can know.
	Planned
	// OwnZoneOnly is the mode in which the node has lost contact to the leader. Only its share of its own zone, which
	// the plan grants to no other node, remains valid.
	OwnZoneOnly
)

func (m Mode) String() string {
	names := [...]string{"alone", "planned", "ground"} // names in logs and operators' output
	return names[min(m, OwnZoneOnly)]
}

// LeasedCapacity is the load that a node has leased beyond the plan, and the load that it reserves for regional
// classes.
type LeasedCapacity struct {
	ByZone       map[string]float64 // load that the node has leased in each zone
	InRegionOnly float64            // reserved for load of regional classes without capacity in the node's own zone
}

// NodeShares returns the load that a node of a zone may have in each zone under a plan. Like the planner, it counts
// neither leases nor the margin that ZonePlanFor adds for random variation.
func NodeShares(mode Mode, plan *Plan, node int, zone string) map[string]float64 {
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

// ZonePlanFor returns the plan for the load balancer of a node. zone is the node's own zone, and classes are the node's
// classes in its own order, in which the result refers to them. retryAfter is the delay that rejected clients are told.
func ZonePlanFor(
	mode Mode, plan *Plan, node int, zone string, classes []string, retryAfter time.Duration, leased LeasedCapacity,
) choice.ZonePlan {
	if mode == Standalone || plan == nil || plan.zoneIndex(zone) < 0 {
		return choice.ZonePlan{Grants: []choice.Grant{{Zone: zone, Load: math.Inf(1)}}}
	}
	calculator := &grantCalculator{
		mode:   mode,
		plan:   plan,
		own:    plan.zoneIndex(zone),
		lost:   slices.Contains(plan.LostNodes, node),
		leased: leased,
	}
	calculator.splitClasses(classes)
	zonePlan := choice.ZonePlan{RetryAfter: retryAfter, Grants: calculator.grants()}
	for i := range plan.Zones {
		zonePlan.LiveNodes += plan.Zones[i].Nodes
	}
	if mode != OwnZoneOnly { // in OwnZoneOnly, the grants bound the admission: they are less than the plan's capacity
		zonePlan.AdmitFraction = calculator.admitFractions(classes)
	}
	return zonePlan
}

// grantCalculator computes one node's grants from a plan.
type grantCalculator struct {
	mode         Mode
	plan         *Plan
	own          int  // index of the node's zone in the plan
	lost         bool // whether the plan lists the node as lost
	leased       LeasedCapacity
	regional     []int // the node's classes that must stay in the region
	otherClasses []int // the node's other classes
}

func (c *grantCalculator) splitClasses(classes []string) {
	for i, class := range classes {
		if known := slices.Index(c.plan.Classes, class); known >= 0 && c.plan.StayInRegion[known] {
			c.regional = append(c.regional, i)
		} else {
			c.otherClasses = append(c.otherClasses, i)
		}
	}
}

// grants returns the node's grants in all zones, the nearest zone first.
func (c *grantCalculator) grants() (grants []choice.Grant) {
	regionLoad := c.regionLoad()
	for _, to := range c.plan.byPreference(c.own) {
		zone := &c.plan.Zones[to]
		load := c.load(to)
		regionFraction := c.plan.regionFraction(c.own, to)
		switch {
		case to == c.own:
			grants = append(grants, choice.Grant{Zone: zone.Name, Load: load})
		case load <= 0:
		case c.plan.proximity(c.own, to) == otherRegion:
			grants = append(grants, choice.Grant{Zone: zone.Name, Load: load, ExcludedClasses: c.regional})
		case regionFraction == 0 && c.leased.InRegionOnly == 0:
			grants = append(grants, choice.Grant{Zone: zone.Name, Load: load})
		default:
			regionFraction = max(regionFraction, min(1, c.leased.InRegionOnly/regionLoad))
			grants = append(grants,
				choice.Grant{Zone: zone.Name, Load: load * (1 - regionFraction), ExcludedClasses: c.regional},
				choice.Grant{Zone: zone.Name, Load: load * regionFraction, ExcludedClasses: c.otherClasses})
		}
	}
	return grants
}

// regionLoad returns the load that the node may have in the other zones of its region.
func (c *grantCalculator) regionLoad() (load float64) {
	for to := range c.plan.Zones {
		if c.plan.proximity(c.own, to) == sameRegion {
			load += c.load(to)
		}
	}
	return load
}

// load returns the load that the node may have in a zone, leases included.
func (c *grantCalculator) load(to int) float64 {
	leased := c.leased.ByZone[c.plan.Zones[to].Name]
	switch {
	case to == c.own:
		return c.ownLoad() + leased
	case c.mode == OwnZoneOnly:
		return leased
	}
	share := c.plan.nodeLoad(c.own, to, c.lost)
	return share + otherZoneDeviations*math.Sqrt(share) + leased
}

// ownLoad returns the load that the node may have in its own zone under the plan. Unless the zone is lost, it exceeds
// an equal share of the grant. All nodes together reach that load only if the demand is larger than estimated. In that
// case the servers' load reports, without which no load balancer places requests, protect the last part of their
// capacity.
func (c *grantCalculator) ownLoad() float64 {
	zone := &c.plan.Zones[c.own]
	load := c.plan.nodeLoad(c.own, c.own, c.lost)
	if zone.State == Lost {
		return load
	}
	load += ownZoneDeviations * math.Sqrt(load+1)
	if zone.GuestLoad == 0 && zone.Nodes > 0 { // no guest needs the capacity now: the load may grow without a new plan
		load = max(load, float64(zone.Capacity)/float64(zone.Nodes))
	}
	return load
}

// admitFractions returns the fraction of the arrivals to admit for each of the node's classes.
func (c *grantCalculator) admitFractions(classes []string) (fractions []float64) {
	for _, class := range classes {
		fraction := 1.0
		if known := slices.Index(c.plan.Classes, class); known >= 0 {
			fraction = float64(c.plan.AdmitFractions[c.own][known]) / fullAdmission
		}
		fractions = append(fractions, fraction)
	}
	return fractions
}
