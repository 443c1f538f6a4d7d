package failover

import (
	"math"
	"slices"
	"time"

	"spurwinch/choice"
)

const (
	leaseAheadFraction  = 0.75 // of what a node may have: from this load on it requests leases before it needs them
	minLeaseRequest     = 0.5  // load; less is not requested
	ejectedZoneFraction = 0.5  // of a zone's servers that are ejected: from this on nothing is leased there
)

// LeaseDemand is the load that a node of a zone wants to lease, by zone, after what its balancer observed in the
// elapsed time. recentPeak is the node's recent peak load, leased what it has leased, and exhausted are the zones whose
// owners granted less than was requested.
func LeaseDemand(
	mode Mode, plan *Plan, node int, zone string, observed choice.Observations, elapsed time.Duration,
	recentPeak float64, leased map[string]float64, exhausted map[string]bool,
) map[string]float64 {
	requests := map[string]float64{}
	if plan == nil || plan.zoneIndex(zone) < 0 || mode == Standalone || elapsed <= 0 {
		return requests
	}
	own := plan.zoneIndex(zone)
	use := summarizeUse(observed, zone)
	granted := 0.0 // without leases, in zones whose servers answer
	ownGranted := 0.0
	for _, grant := range ZonePlanFor(mode, plan, node, zone, plan.Classes, 0, LeasedCapacity{}).Grants {
		if !use.failing[grant.Zone] {
			granted += grant.Load
		}
		if grant.Zone == zone {
			ownGranted += grant.Load
		}
	}
	if request := use.ownZoneRequest(&plan.Zones[own], ownGranted); request > 0 {
		requests[zone] = request
		granted += request
	}
	missing := use.load + use.expectedLoad(zone, granted, recentPeak, elapsed) - granted
	if math.IsNaN(missing) {
		return requests
	}
	for _, zones := range plan.byProximity(own) {
		if missing < minLeaseRequest {
			break
		}
		owners := slices.DeleteFunc(zones, func(to int) bool {
			return !plan.Zones[to].hasLeases() || use.failing[plan.Zones[to].Name]
		})
		missing = plan.requestFrom(owners, missing, requests, leased, exhausted)
	}
	return requests
}

// zoneUse is what a node's clients make of the zones, over all classes.
type zoneUse struct {
	load     float64         // of the node's connections, in all zones
	ownLoad  float64         // of it, in the node's own zone
	arrived  float64         // load that clients requested since the last observations
	rejected float64         // of it, what was rejected
	failing  map[string]bool // zones whose servers fail
}

func summarizeUse(observed choice.Observations, ownZone string) zoneUse {
	use := zoneUse{failing: map[string]bool{}}
	for _, zone := range observed.Zones {
		use.failing[zone.Zone] = ZoneFailing(zone)
		for _, load := range zone.OwnLoad {
			use.load += load
			if zone.Zone == ownZone {
				use.ownLoad += load
			}
		}
	}
	for _, class := range observed.Classes {
		use.arrived += class.Arrived
		use.rejected += class.Rejected
	}
	return use
}

// ZoneFailing reports whether a node finds half of a zone's servers ejected, or no server.
func ZoneFailing(zone choice.ZoneObservations) bool {
	return float64(zone.Ejected) >= ejectedZoneFraction*float64(zone.Ready)
}

// expectedLoad is the load that comes soon beyond the present one: what comes within a second, and some for chance,
// since what is requested only when it is needed comes too late. granted is what the node may have, recentPeak its
// recent peak load.
func (u zoneUse) expectedLoad(ownZone string, granted, recentPeak float64, elapsed time.Duration) (expected float64) {
	if u.rejected > 0 || u.load > leaseAheadFraction*granted {
		expected = min(u.arrived/elapsed.Seconds(), recentPeak/2) + math.Sqrt(u.load)
	}
	if u.rejected > 0 && u.failing[ownZone] { // the clients that the own zone lost come back at once
		expected = max(expected, recentPeak-u.load)
	}
	return expected
}

// ownZoneRequest is what a node requests of its own zone's lease owner, before any other's: one that took clients over
// from other nodes of its zone, while those were away, finds its share full although the zone has capacity. granted is
// what it may have there.
func (u zoneUse) ownZoneRequest(own *Zone, granted float64) float64 {
	if u.failing[own.Name] || !own.hasLeases() || u.ownLoad <= leaseAheadFraction*granted {
		return 0
	}
	request := min(u.ownLoad+math.Sqrt(u.ownLoad)-granted, float64(own.Reserve))
	if request < minLeaseRequest {
		return 0
	}
	return request
}

// requestFrom adds what is missing to the requests of zones that are equally near, each by its reserve, and gives what
// is still missing then: owners that granted less than was requested will not grant more.
func (p *Plan) requestFrom(
	zones []int, missing float64, requests, leased map[string]float64, exhausted map[string]bool,
) (left float64) {
	reserves := 0.0
	for _, place := range zones {
		reserves += float64(p.Zones[place].Reserve)
	}
	left = missing
	for _, place := range zones {
		zone := &p.Zones[place]
		request := missing * float64(zone.Reserve) / reserves
		requests[zone.Name] += request
		if exhausted[zone.Name] {
			left -= min(request, leased[zone.Name])
		} else {
			left -= request
		}
	}
	return left
}

// hasLeases reports whether somebody leases a part of the zone's capacity out.
func (z *Zone) hasLeases() bool { return z.LeaseOwner >= 0 && z.Reserve > 0 }
