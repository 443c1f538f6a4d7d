package failover

import (
	"math"
	"slices"
	"time"

	"spurwinch/choice"
)

const (
	leaseAheadFraction  = 0.75 // of a node's granted load; above it the node requests leases before it needs them
	minLeaseRequest     = 0.5  // load; a node requests at least this much
	ejectedZoneFraction = 0.5  // of a zone's servers; if at least this fraction is ejected, nodes lease nothing there
)

// LeaseDemand returns the load that a node requests to lease, by zone. zone is the node's own zone, and observed is
// what its load balancer observed in the elapsed time. recentPeak is the node's recent peak load, leased is the load
// that it has leased by zone, and exhausted holds the zones whose owners granted less than requested.
func LeaseDemand(
	mode Mode, plan *Plan, node int, zone string, observed choice.Observations, elapsed time.Duration,
	recentPeak float64, leased map[string]float64, exhausted map[string]bool,
) map[string]float64 {
	requests := map[string]float64{}
	if plan == nil || plan.zoneIndex(zone) < 0 || mode == Standalone || elapsed <= 0 {
		return requests
	}
	own := plan.zoneIndex(zone)
	loads := summarizeLoads(observed, zone)
	granted := 0.0 // without leases, in zones that don't fail
	ownGranted := 0.0
	for _, grant := range ZonePlanFor(mode, plan, node, zone, plan.Classes, 0, LeasedCapacity{}).Grants {
		if !loads.failing[grant.Zone] {
			granted += grant.Load
		}
		if grant.Zone == zone {
			ownGranted += grant.Load
		}
	}
	if request := loads.ownZoneRequest(&plan.Zones[own], ownGranted); request > 0 {
		requests[zone] = request
		granted += request
	}
	missing := loads.load + loads.expectedLoad(zone, granted, recentPeak, elapsed) - granted
	if math.IsNaN(missing) {
		return requests
	}
	for _, zones := range plan.byProximity(own) {
		if missing < minLeaseRequest {
			break
		}
		owners := slices.DeleteFunc(zones, func(to int) bool {
			return !plan.Zones[to].hasLeases() || loads.failing[plan.Zones[to].Name]
		})
		missing = plan.requestFrom(owners, missing, requests, leased, exhausted)
	}
	return requests
}

// nodeLoads is a node's observed load, over all classes.
type nodeLoads struct {
	load     float64         // load of the node's connections in all zones
	ownLoad  float64         // part of load that is in the node's own zone
	arrived  float64         // load that clients requested since the last observations
	rejected float64         // rejected part of arrived
	failing  map[string]bool // zones whose servers fail
}

func summarizeLoads(observed choice.Observations, ownZone string) nodeLoads {
	loads := nodeLoads{failing: map[string]bool{}}
	for _, zone := range observed.Zones {
		loads.failing[zone.Zone] = ZoneFailing(zone)
		for _, load := range zone.OwnLoad {
			loads.load += load
			if zone.Zone == ownZone {
				loads.ownLoad += load
			}
		}
	}
	for _, class := range observed.Classes {
		loads.arrived += class.Arrived
		loads.rejected += class.Rejected
	}
	return loads
}

// ZoneFailing reports whether a node has ejected at least half of a zone's servers, or knows of no server there.
func ZoneFailing(zone choice.ZoneObservations) bool {
	return float64(zone.Ejected) >= ejectedZoneFraction*float64(zone.Ready)
}

// expectedLoad returns the load that the node expects soon beyond its present load: the arrivals of one second plus a
// margin for random variation, since a lease that is requested only when it is needed comes too late. granted is the
// load that the node may have, and recentPeak is its recent peak load.
func (l nodeLoads) expectedLoad(ownZone string, granted, recentPeak float64, elapsed time.Duration) (expected float64) {
	if l.rejected > 0 || l.load > leaseAheadFraction*granted {
		expected = min(l.arrived/elapsed.Seconds(), recentPeak/2) + math.Sqrt(l.load)
	}
	if l.rejected > 0 && l.failing[ownZone] { // clients that lost their servers in the own zone reconnect at once
		expected = max(expected, recentPeak-l.load)
	}
	return expected
}

// ownZoneRequest returns the load that a node requests from its own zone's lease owner, before it requests any from
// other owners. A node that took over clients from other nodes of its zone while those were away finds its share full,
// although the zone has capacity. granted is the load that the node may have in its own zone.
func (l nodeLoads) ownZoneRequest(own *Zone, granted float64) float64 {
	if l.failing[own.Name] || !own.hasLeases() || l.ownLoad <= leaseAheadFraction*granted {
		return 0
	}
	request := min(l.ownLoad+math.Sqrt(l.ownLoad)-granted, float64(own.Reserve))
	if request < minLeaseRequest {
		return 0
	}
	return request
}

// requestFrom adds the missing load to the requests for zones that are equally near, in proportion to their reserves.
// It returns the load that is still missing after that. An exhausted zone's owner, which has granted less than the node
// requested, will not grant more, so its zone counts only with the load that the node has leased there.
func (p *Plan) requestFrom(
	zones []int, missing float64, requests, leased map[string]float64, exhausted map[string]bool,
) (left float64) {
	reserves := 0.0
	for _, index := range zones {
		reserves += float64(p.Zones[index].Reserve)
	}
	left = missing
	for _, index := range zones {
		zone := &p.Zones[index]
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

// hasLeases reports whether a lease owner leases out a part of the zone's capacity.
func (z *Zone) hasLeases() bool { return z.LeaseOwner >= 0 && z.Reserve > 0 }
