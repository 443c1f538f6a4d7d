package choice

import (
	"slices"
	"time"
)

// The zone plan, which the fleet's leader makes for all nodes (internal/failover), and this node's load and attempts in
// each zone.

const maxZones = 256 // zones whose attempts are counted; a limit in case a list has a different zone for each server

// zoneClass identifies the connections of one class in one zone.
type zoneClass struct {
	zone  string
	class int
}

// zoneTable has the plan in force, and this node's load and attempts by zone.
type zoneTable struct {
	plan     *ZonePlan             // nil: no plan, so requests may go to any zone
	ownLoad  map[zoneClass]float64 // load of this node's connections
	attempts map[string]*zoneAttempts
	classes  []classCount
	rejected []int // classes of the requests that this step ended without a connection
}

// zoneAttempts counts the attempts in one zone since the last call of Observations.
type zoneAttempts struct {
	attempts float64
	failed   float64
}

// add adds to this node's load in a zone.
func (z *zoneTable) add(key zoneClass, load float64) {
	z.ownLoad[key] += load
	if z.ownLoad[key] < negligibleLoad {
		delete(z.ownLoad, key)
	}
}

func (z *zoneTable) rescale(factor float64) {
	for key := range z.ownLoad {
		z.ownLoad[key] *= factor
	}
}

// countAttempt counts an attempt or a health check.
func (z *zoneTable) countAttempt(zone string, failed bool) {
	count := z.attempts[zone]
	if count == nil {
		if len(z.attempts) >= maxZones {
			return
		}
		count = &zoneAttempts{}
		z.attempts[zone] = count
	}
	count.attempts++
	if failed {
		count.failed++
	}
}

// admitNewClasses sets the admitted fraction of classes that the plan does not include to 1.
func (z *zoneTable) admitNewClasses(classes int) {
	for z.plan != nil && len(z.plan.AdmitFraction) < classes {
		z.plan.AdmitFraction = append(z.plan.AdmitFraction, 1)
	}
}

// allows reports whether the plan in force has a grant for a request's class in a server's zone. It is checked again
// before an attempt, since the plan may have changed while the request waited for health checks or a reservation.
func (z *zoneTable) allows(request *requestEntry, server *serverEntry) bool {
	return z.plan == nil || slices.ContainsFunc(z.plan.Grants, func(grant Grant) bool {
		return grant.Zone == server.Zone && !slices.Contains(grant.ExcludedClasses, request.Class)
	})
}

// loadUnder returns the load of this node's connections that a grant covers.
func (z *zoneTable) loadUnder(grant Grant, classes int) (sum float64) {
	for class := range classes {
		if !slices.Contains(grant.ExcludedClasses, class) {
			sum += z.ownLoad[zoneClass{grant.Zone, class}]
		}
	}
	return sum
}

// chooseZone sets a request's zone to the nearest zone where the plan has capacity for the request. All of this node's
// connections in the zone count, including those placed under earlier plans: plans change, and no plan may use capacity
// that another plan has promised. It returns false if no zone has capacity. Without a plan any zone may be used.
func (b *Balancer) chooseZone(request *requestEntry) bool {
	plan := b.zones.plan
	if plan == nil {
		return true
	}
	i := slices.IndexFunc(plan.Grants, func(grant Grant) bool {
		return !slices.Contains(grant.ExcludedClasses, request.Class) &&
			!slices.Contains(request.fullZones, grant.Zone) &&
			b.zones.loadUnder(grant, len(b.settings.Classes))+request.load <= grant.Load
	})
	if i >= 0 {
		request.zone = plan.Grants[i].Zone
	}
	return i >= 0
}

// applyPlan puts a plan into force, or ends the current plan if the new plan's Grants is nil. It limits the plan's
// values so that later decisions need no checks.
func (b *Balancer) applyPlan(plan ZonePlan) {
	settings := b.settings
	settings.Nodes = b.fleetNodes / max(1, settings.Processes)
	b.zones.plan = nil
	if plan.Grants != nil {
		plan.AdmitFraction = slices.Clone(plan.AdmitFraction)
		plan.RetryAfter = b.limitRetryAfter(plan.RetryAfter)
		b.zones.plan = &plan
		b.zones.admitNewClasses(len(settings.Classes))
	}
	b.applySettings(settings)
	b.updateCosts()
}

// limitRetryAfter limits a plan's Retry-After so that it is at most Limits.MaxRetryAfter after it is multiplied by up
// to maxPlanRetryMultiple. It returns 0 if rejections must not have a Retry-After (Limits.RetryAfter).
func (b *Balancer) limitRetryAfter(after time.Duration) time.Duration {
	if !b.settings.Limits.RetryAfter {
		return 0
	}
	return min(after, b.settings.Limits.MaxRetryAfter*2/3) // 2/3 is 1/maxPlanRetryMultiple
}
