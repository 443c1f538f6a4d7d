package choice

import "math"

// Admission control and load shedding: on a full fleet setups and drops would feed each other, so a part of all
// requests is rejected at once, those of low priority first.

const (
	passRateGain = 2.0 // how fast the pass rate moves, a second and unit of load over or under crowded
	minPassRate  = 0.01
	// sheddingCheckRate is the probability that a rejected request has a server's health checked: without these checks
	// nothing would show that the load has fallen.
	sheddingCheckRate = 0.15
	minPriority       = 1e-3
	priorityMemory    = 50 // requests that the mean priority remembers
)

// admissionControl decides which requests are admitted while no plan does.
type admissionControl struct {
	passRate     float64 // fraction of all requests that is admitted
	meanPriority float64 // of requests, for their load
	throttle     throttle
}

// update moves the pass rate for one tick, up while the fleet has headroom and down while that is negative.
func (a *admissionControl) update(headroom float64) {
	a.passRate = clamp(a.passRate*math.Exp(passRateGain*headroom*tick.Seconds()), minPassRate, 1)
}

// observe takes in the priority of a request.
func (a *admissionControl) observe(priority float64) {
	a.meanPriority += (priority - a.meanPriority) / priorityMemory
}

// updatePassRate is the step of admission control. Health checks go to servers that look well, so the fraction of own
// load on those just seen overloaded counts as well.
func (b *Balancer) updatePassRate() {
	var own, overloaded float64
	for _, server := range b.servers {
		own += server.own.load
		if server.report.known && server.report.load > 1 && b.now-server.report.at < 2*tick {
			overloaded += server.own.load
		}
	}
	fraction := overloaded / max(own, b.units.mean)
	b.admission.update(crowded - b.average.load*(1-fraction) - maxAverageLoad*fraction)
}

// admit takes in a request, and rejects it at once where the fleet is full.
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

// shouldShed draws whether a request is rejected at once. An open connection whose packets come here is no new load,
// and where servers have owners these decide.
func (b *Balancer) shouldShed(request *requestEntry) bool {
	return len(b.servers) > 0 && !request.MidFlow && !b.reservations.enabled &&
		b.random.Float64() > b.admitRate(request)
}

// checkWhileShedding now and then checks a server in place of a rejected request.
func (b *Balancer) checkWhileShedding() {
	server := b.servers[b.random.IntN(len(b.servers))]
	if server.State == Ready && b.random.Float64() < sheddingCheckRate {
		b.checkHealth(server)
	}
}

// admitRate is the fraction of requests like this one that are admitted: what the plan has capacity for, else by the
// pass rate and by priority.
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

// priority is the priority of a request for its load, lower beyond its tenant's quota.
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
