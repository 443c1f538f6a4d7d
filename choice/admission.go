package choice

import "math"

// Admission control and load shedding. On a full fleet, dropped connections cause new setups, whose load causes further
// drops. Therefore a fraction of all requests is rejected immediately, low priorities first.

const (
	passRateGain = 2.0 // change rate of the pass rate, per second and unit of load above or below crowdedLoad
	minPassRate  = 0.01
	// sheddingCheckRate is the probability that a rejected request triggers a health check of a server. Without these
	// checks nothing would show that the load has fallen.
	sheddingCheckRate = 0.15
	minPriority       = 1e-3
	priorityMemory    = 50 // number of requests over which the mean priority is averaged
)

// admissionControl decides which requests are admitted while no plan is in force.
type admissionControl struct {
	passRate     float64 // fraction of all requests to admit
	meanPriority float64 // mean of Balancer.priority over recent requests
	throttle     throttle
}

// observe adds the priority of a request to the mean.
func (a *admissionControl) observe(priority float64) {
	a.meanPriority += (priority - a.meanPriority) / priorityMemory
}

// updatePassRate adjusts the pass rate at each tick. Health checks mostly go to servers that appear to have low load,
// so the fraction of this node's load on servers that were recently reported overloaded also counts.
func (b *Balancer) updatePassRate() {
	var own, overloaded float64
	for _, server := range b.servers {
		own += server.own.load
		if server.report.known && server.report.load > 1 && b.now-server.report.at < 2*tick {
			overloaded += server.own.load
		}
	}
	fraction := overloaded / max(own, b.units.mean)
	b.admission.update(crowdedLoad - b.average.load*(1-fraction) - maxAverageLoad*fraction)
}

// admit handles a new request: it either rejects the request immediately because the fleet is full, or places it.
func (b *Balancer) admit(event Request) {
	if b.requests[event.ID] != nil || event.ID == "" {
		return
	}
	if event.Class < 0 || event.Class >= len(b.settings.Classes) {
		b.actions = append(b.actions, Fail{event.ID, UnknownClass})
		return
	}
	request := &requestEntry{
		Request:     event,
		load:        b.requestLoad(event),
		affinity:    b.affinityKey(event),
		deadline:    b.now + event.TimeLeft,
		class:       &b.settings.Classes[event.Class],
		maxAttempts: b.settings.Limits.MaxAttempts,
	}
	b.requests[event.ID] = request
	if b.shouldShed(request) {
		b.checkWhileShedding()
		b.admission.throttle.add(b.now, 1, 0)
		b.endWithoutConnection(request, Overloaded)
		return
	}
	after := max(0, event.TimeLeft-deadlineRoundTrips*b.settings.RoundTrip)
	b.actions = append(b.actions, SetTimer{timerDeadline + " " + string(event.ID), after, event.ID})
	b.place(request)
}

// shouldShed draws at random whether to reject a request immediately. A mid-flow request is never shed, since its
// connection is open already and adds no load. If servers have owners, the owners decide instead.
func (b *Balancer) shouldShed(request *requestEntry) bool {
	return len(b.servers) > 0 && !request.MidFlow && !b.reservations.enabled &&
		b.random.Float64() > b.admitRate(request)
}

// checkWhileShedding checks the health of a random server for a fraction (sheddingCheckRate) of rejected requests.
func (b *Balancer) checkWhileShedding() {
	server := b.servers[b.random.IntN(len(b.servers))]
	if server.State == Ready && b.random.Float64() < sheddingCheckRate {
		b.checkHealth(server)
	}
}

// admitRate returns the probability of admitting a request. With a plan, it is the plan's fraction for the class.
// Otherwise it depends on the pass rate and on the request's priority.
func (b *Balancer) admitRate(request *requestEntry) float64 {
	if b.zones.plan != nil {
		return b.zones.plan.AdmitFraction[request.Class]
	}
	priority := b.priority(request)
	b.admission.observe(priority)
	rate := math.Pow(b.admission.passRate, b.admission.meanPriority/priority)
	if b.settings.Reports == NoReports {
		rate = min(rate, b.admission.throttle.admitRate(b.now))
	}
	return rate
}

// priority returns the priority of a request in relation to its load. It is lower if the tenant is over its quota.
func (b *Balancer) priority(request *requestEntry) float64 {
	priority := max(request.class.Priority, minPriority)
	if !b.settings.PriorityPerWork {
		priority *= b.units.mean / request.load
	}
	tenant := request.Tenant
	if tenant < 0 || tenant >= len(b.openByTenant) {
		return priority
	}
	quota := b.settings.Tenants[tenant].Connections
	if quota > 0 && float64(b.openByTenant[tenant]*b.fleetNodes) > quota {
		priority *= max(b.settings.OverQuotaPriority, minPriority)
	}
	return priority
}
