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
	recentLoadDecaySeconds    = 15   // time constant of the decay of recentLoad and regionLoad
	fullLeaseFraction         = 0.95 // an owner that grants a smaller fraction of a request has no more capacity
	minRegionLoad             = 0.5  // reported load of regional classes below which no capacity is reserved for them
	regionLoadChangeThreshold = 0.1  // relative change above which the load balancer gets a new plan
)

// leaseHolder is the capacity that a node has leased from lease owners, and the data that determines how much it
// requests.
type leaseHolder struct {
	leases     map[string]*capacityLease // by zone
	recentLoad map[string]float64        // by class: recent peak of the reported load at this node, with decay
	regionLoad float64                   // reported load of regional classes that the region's other zones must take
	// reservedRegionLoad is the value of regionLoad in the load balancer's plan. It follows larger changes only.
	reservedRegionLoad float64
	observedAt         time.Duration // time of the last observations
}

func newLeaseHolder(now time.Duration) leaseHolder {
	return leaseHolder{leases: map[string]*capacityLease{}, recentLoad: map[string]float64{}, observedAt: now}
}

// capacityLease is capacity that this node has leased in one zone, in units of reported load.
type capacityLease struct {
	load         float64 // leased capacity; 0: none
	until        time.Duration
	requested    float64       // load of the newest request
	requestClock uint64        // clock of the newest request: only its reply counts; 0: the reply has arrived
	requestedAt  time.Duration // time of the newest request
	answered     bool          // the reply to the newest request has arrived
}

// isExhausted reports whether the zone's lease owner has no further capacity: it granted less than this node requested,
// or did not reply.
func (l *capacityLease) isExhausted() bool {
	if !l.answered {
		return l.requested > 0
	}
	return l.load < fullLeaseFraction*l.requested
}

// leasedLoads returns, by zone, the leased load that the load balancer may place in addition to its grants.
func (a *Agent) leasedLoads() map[string]float64 {
	loads := map[string]float64{}
	for zone, lease := range a.leaseHolder.leases {
		if lease.load > 0 {
			loads[zone] = lease.load
		}
	}
	return loads
}

// requestLeases requests leases for the load that exceeds this node's grants, and releases capacity that this node no
// longer needs.
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
	// Give up unneeded capacity before sending any request: a request tells the owner what this node no longer needs,
	// and the owner may grant that to other nodes at once.
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

// requestLease requests or renews a lease in a zone, or ends the lease by requesting zero.
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
		a.recordGrant(zone.Name, lease, a.grantLease(a.options.Self, demand, now), now)
		return
	}
	lease.requestClock = a.send(zone.LeaseOwner, kindLeaseRequest, encode(leaseRequest{Load: demand}), now)
}

// handleLeaseGrant processes a lease owner's reply to a request.
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
			a.recordGrant(zone, lease, min(grant.Load, lease.requested), now)
		}
	}
}

// recordGrant records the load that an owner granted. The lease's duration starts at the time of the request.
func (a *Agent) recordGrant(zone string, lease *capacityLease, load float64, now time.Duration) {
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

// expireLeases ends the leases that this node did not renew in time.
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

// handleLeaseRequest replies to a lease request, as the lease owner of this node's zone.
func (a *Agent) handleLeaseRequest(head header, body []byte, now time.Duration) {
	request, ok := decode[leaseRequest](body)
	if !ok || !isLeaseLoad(request.Load) {
		a.Counts.Corrupt++
		return
	}
	grant := leaseGrant{RequestClock: head.clock, Load: a.grantLease(head.from, request.Load, now)}
	a.send(head.from, kindLeaseGrant, encode(grant), now)
}

// grantLease grants a node load from this zone's reserve. The owner grants leases only while the plan's grants are
// valid, because later plans assume that its leases end together with the grants.
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

// updateRecentLoad updates the recent peak of each class's load and returns the sum of the peaks. After a failure,
// clients with that total load may reconnect at once. It also updates regionLoad: while requests of regional classes
// are rejected or the own zone is failing, regionLoad is their recent load outside the own zone; otherwise it decays.
func (a *Agent) updateRecentLoad(observations choice.Observations, elapsed time.Duration) (recentLoad float64) {
	decay := math.Exp(-elapsed.Seconds() / recentLoadDecaySeconds)
	regionLoad, rejected := 0.0, 0.0
	for class, name := range a.options.Classes {
		load, inOwnZone := classLoad(observations, class, a.zone)
		recent := max(load, a.leaseHolder.recentLoad[name]*decay)
		a.leaseHolder.recentLoad[name] = recent
		recentLoad += recent
		if class < len(observations.Classes) && a.staysInRegion(name) {
			regionLoad = regionLoad + recent - inOwnZone // the order of the operations affects rounding
			rejected += observations.Classes[class].Rejected
		}
	}
	if rejected == 0 && !a.isOwnZoneFailing(observations) {
		regionLoad = a.leaseHolder.regionLoad * decay
	}
	a.setRegionLoad(regionLoad)
	return recentLoad
}

// setRegionLoad sets the load of regional classes that needs capacity in the region. Small changes don't cause a new
// plan for the load balancer. They accumulate in regionLoad until they do.
func (a *Agent) setRegionLoad(load float64) {
	if load < minRegionLoad {
		load = 0
	}
	a.leaseHolder.regionLoad = load
	reserved := a.leaseHolder.reservedRegionLoad
	if math.Abs(load-reserved) > regionLoadChangeThreshold*max(load, reserved) {
		a.leaseHolder.reservedRegionLoad = load
		a.zonePlanChanged = true
	}
}

// classLoad returns the load that this node has placed for a class, in all zones and in the own zone.
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

// staysInRegion reports whether the plan keeps a class in its region.
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
