package agent

import (
	"maps"
	"math"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/failover"
)

const (
	recentLoadMemory  = 15   // seconds, time constant of the decay of recentLoad and regionLoad
	fullLeasePart     = 0.95 // of what was requested: an owner that grants less has no more
	leastRegionLoad   = 0.5  // reported load of regional classes under which nothing is reserved for them
	regionLoadChanged = 0.1  // relative change from which on the load balancer gets a new plan
)

// leaseHolder is the capacity that a node has leased of lease owners, and what its demand for it is computed from.
type leaseHolder struct {
	leases     map[string]*capacityLease // by zone
	recentLoad map[string]float64        // by class: recent peak of the reported load at this node, with decay
	regionLoad float64                   // reported load of regional classes, for the region's other zones
	// reservedRegionLoad is regionLoad as the load balancer's plan has it: it follows larger changes alone.
	reservedRegionLoad float64
	observedAt         time.Duration // time of the last observations
}

func newLeaseHolder(now time.Duration) leaseHolder {
	return leaseHolder{leases: map[string]*capacityLease{}, recentLoad: map[string]float64{}, observedAt: now}
}

// capacityLease is capacity that this node has leased in one zone, as reported load.
type capacityLease struct {
	load         float64 // 0: none
	until        time.Duration
	requested    float64       // by the newest request
	requestClock uint64        // of the newest request: only its answer counts; 0: it is answered
	requestedAt  time.Duration // when that was sent
	answered     bool
}

// isExhausted reports whether the zone's owner has no further capacity: it granted less than was requested, or did not
// answer.
func (l *capacityLease) isExhausted() bool {
	if !l.answered {
		return l.requested > 0
	}
	return l.load < fullLeasePart*l.requested
}

// leasedLoads is the load that the load balancer may place on top of its grants, by zone.
func (a *Agent) leasedLoads() map[string]float64 {
	loads := map[string]float64{}
	for zone, lease := range a.leaseHolder.leases {
		if lease.load > 0 {
			loads[zone] = lease.load
		}
	}
	return loads
}

// requestLeases requests leases for the load that finds no capacity in this node's grants, and releases capacity that
// is no longer needed.
func (a *Agent) requestLeases(observations choice.Observations, now time.Duration) {
	elapsed := now - a.leaseHolder.observedAt
	a.leaseHolder.observedAt = now
	recentLoad := a.updateRecentLoad(observations, elapsed)
	leases := a.leaseHolder.leases
	exhausted := map[string]bool{}
	for zone, lease := range leases {
		exhausted[zone] = lease.isExhausted()
	}
	demand := failover.LeaseDemand(a.mode, a.plan, a.options.Self, a.zone, observations, elapsed,
		recentLoad, a.leasedLoads(), exhausted)
	// Before any request: an owner may grant to others at once what it learns is no longer needed here.
	for _, zone := range slices.Sorted(maps.Keys(leases)) {
		if lease := leases[zone]; lease.load > demand[zone] {
			a.setLeasedLoad(zone, lease, demand[zone])
		}
	}
	if a.plan == nil {
		return
	}
	for _, zone := range a.plan.Zones {
		a.requestLease(zone, demand[zone.Name], now)
	}
}

// requestLease requests or renews a lease in a zone, or ends it by a request of zero.
func (a *Agent) requestLease(zone failover.Zone, demand float64, now time.Duration) {
	lease := a.leaseHolder.leases[zone.Name]
	hasOwner := zone.LeaseOwner >= 0 && zone.LeaseOwner < a.options.List.Len()
	isNeeded := demand > 0 || lease != nil && lease.requested != 0
	if !hasOwner || !isNeeded {
		return
	}
	if lease == nil {
		lease = &capacityLease{}
		a.leaseHolder.leases[zone.Name] = lease
	}
	lease.requested = demand
	lease.requestedAt = now
	lease.answered = false
	if zone.LeaseOwner == a.options.Self {
		a.takeLease(zone.Name, lease, a.grantLease(a.options.Self, demand, now), now)
		return
	}
	lease.requestClock = a.send(zone.LeaseOwner, kindLeaseRequest, encode(leaseRequest{Load: demand}), now)
}

// handleLeaseGrant processes an owner's answer to a request.
func (a *Agent) handleLeaseGrant(head header, body []byte, now time.Duration) {
	grant, ok := decode[leaseGrant](body)
	if !ok || !isLeaseLoad(grant.Load) {
		a.Counts.Corrupt++
		return
	}
	ownerZone := a.options.List.Node(head.from).Zone
	for zone, lease := range a.leaseHolder.leases {
		if zone == ownerZone && lease.requestClock == grant.RequestClock && lease.requestClock > 0 {
			lease.requestClock = 0
			a.takeLease(zone, lease, min(grant.Load, lease.requested), now)
		}
	}
}

// takeLease records what was granted. A lease runs from when it was requested.
func (a *Agent) takeLease(zone string, lease *capacityLease, load float64, now time.Duration) {
	lease.answered = true
	lease.until = lease.requestedAt + failover.LeaseDuration
	if now >= lease.until {
		load = 0
	}
	a.setLeasedLoad(zone, lease, load)
}

func (a *Agent) setLeasedLoad(zone string, lease *capacityLease, load float64) {
	if load == lease.load {
		return
	}
	lease.load = load
	a.zonePlanChanged = true
	a.options.Log("fleet_loan", "zone", zone, "load", load)
}

// expireLeases ends the leases that were not renewed in time.
func (a *Agent) expireLeases(now time.Duration) {
	leases := a.leaseHolder.leases
	for _, zone := range slices.Sorted(maps.Keys(leases)) {
		lease := leases[zone]
		if lease.load > 0 && now >= lease.until {
			a.setLeasedLoad(zone, lease, 0)
		}
		if lease.load == 0 && lease.requested == 0 {
			delete(leases, zone)
		}
	}
}

// handleLeaseRequest answers a request, as the owner of this zone's leases.
func (a *Agent) handleLeaseRequest(head header, body []byte, now time.Duration) {
	request, ok := decode[leaseRequest](body)
	if !ok || !isLeaseLoad(request.Load) {
		a.Counts.Corrupt++
		return
	}
	grant := leaseGrant{RequestClock: head.clock, Load: a.grantLease(head.from, request.Load, now)}
	a.send(head.from, kindLeaseGrant, encode(grant), now)
}

// grantLease grants a node load of this zone's reserve. The owner grants only while the plan's grants are valid: later
// plans count on its leases to end with them.
func (a *Agent) grantLease(node int, requested float64, now time.Duration) float64 {
	if a.plan == nil || now >= a.grantsValidUntil {
		return 0
	}
	for _, zone := range a.plan.Zones {
		if zone.Name == a.zone && zone.LeaseOwner == a.options.Self {
			return a.leaseOwner.Grant(node, requested, float64(zone.Reserve), now)
		}
	}
	return 0
}

// updateRecentLoad updates the recent peak of each class's load, and returns their sum: after a failure clients of that
// load may reconnect at once. It also updates the load of regional classes: while requests of these are rejected or the
// own zone fails, it is what they had of late outside the own zone; otherwise it decays.
func (a *Agent) updateRecentLoad(observations choice.Observations, elapsed time.Duration) (recentLoad float64) {
	fading := math.Exp(-elapsed.Seconds() / recentLoadMemory)
	regionLoad, rejected := 0.0, 0.0
	for class, name := range a.options.Classes {
		load, inOwnZone := classLoad(observations, class, a.zone)
		recent := max(load, a.leaseHolder.recentLoad[name]*fading)
		a.leaseHolder.recentLoad[name] = recent
		recentLoad += recent
		if class < len(observations.Classes) && a.staysInRegion(name) {
			regionLoad = regionLoad + recent - inOwnZone // in this order, which decides how it is rounded
			rejected += observations.Classes[class].Rejected
		}
	}
	if rejected == 0 && !a.isOwnZoneFailing(observations) {
		regionLoad = a.leaseHolder.regionLoad * fading
	}
	a.setRegionLoad(regionLoad)
	return recentLoad
}

// setRegionLoad sets the load that needs capacity in the region. Small changes don't cause a new plan for the load
// balancer; they add up in regionLoad until they do.
func (a *Agent) setRegionLoad(load float64) {
	if load < leastRegionLoad {
		load = 0
	}
	a.leaseHolder.regionLoad = load
	reserved := a.leaseHolder.reservedRegionLoad
	if math.Abs(load-reserved) > regionLoadChanged*max(load, reserved) {
		a.leaseHolder.reservedRegionLoad = load
		a.zonePlanChanged = true
	}
}

// classLoad is a class's load at this node, in all zones and in its own.
func classLoad(observations choice.Observations, class int, ownZone string) (all, inOwnZone float64) {
	for _, zone := range observations.Zones {
		if class >= len(zone.OwnLoad) {
			continue
		}
		all += zone.OwnLoad[class]
		if zone.Zone == ownZone {
			inOwnZone += zone.OwnLoad[class]
		}
	}
	return all, inOwnZone
}

// staysInRegion says whether the plan keeps a class in its region.
func (a *Agent) staysInRegion(class string) bool {
	if a.plan == nil {
		return false
	}
	index := slices.Index(a.plan.Classes, class)
	return index >= 0 && a.plan.StayInRegion[index]
}

func (a *Agent) isOwnZoneFailing(observations choice.Observations) bool {
	return slices.ContainsFunc(observations.Zones, func(zone choice.ZoneObservations) bool {
		return zone.Zone == a.zone && failover.ZoneFailing(zone)
	})
}
