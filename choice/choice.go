package choice

import (
	"math"
	"slices"
	"time"
)

// The placement of a request: servers are sampled by weight, those whose load report is old have their
// health checked, and one of the sample is drawn by weight. Each server has a predicted load, the load of
// its connections times a learned cost, anchored at its last report (load.go); a PID controller sets its
// weight, high where the predicted load is below average (weight.go).

const (
	// checkSpending is the fraction of the service that the health checks of one placement may cost.
	checkSpending = 0.006
	minSampled    = 2 // servers in a sample
	maxSampled    = 4
	freshFor      = 300 * time.Millisecond // age up to which a report is used as it is
	checkFraction = 5                      // a request waits for its checks for its setup objective over this

	// crowded is the predicted load, as a fraction of a server's capacity, above which further servers are
	// sampled, and a request is rejected when there are none below it.
	crowded    = 0.85
	maxSamples = 8 // for one placement
	// maxInferredSamples is the same where loads are inferred and not reported: each further server of a
	// group pays for the group's shared work again.
	maxInferredSamples = 3

	// checkedTimeouts is the least time left for a request to wait for its checks, in timeouts of these.
	checkedTimeouts = 3
)

// place begins the placement of a request, or goes on with it after a sample without a usable server: a
// sticky server is taken first; where servers have owners a reservation is requested; else servers are
// sampled, and those without a fresh report are checked. dispatch goes on once the checks have ended.
func (b *Balancer) place(request *requestEntry) {
	if sticky := b.findServer(request.StickyServer); sticky != nil && b.mayResumeOn(request, sticky) {
		b.startAttempt(request, sticky)
		return
	}
	if b.reservations.enabled && request.samples < maxLostPeerRequests {
		b.requestReservation(request)
		return
	}
	count := b.sampleSize(request)
	request.groupSpans = false
	b.sampleInZones(request, count)
	request.pendingChecks = 0
	request.samples++
	request.groupSpans = request.affinity != 0 && count > 1
	timeout := request.class.SetupObjective / checkFraction
	b.checkCandidates(request, timeout)
	if request.pendingChecks == 0 {
		b.dispatch(request)
		return
	}
	b.awaitingChecks = append(b.awaitingChecks, request)
	token := timerHealthCheck + " " + string(request.ID)
	b.actions = append(b.actions, SetTimer{token, timeout, request.ID})
}

// mayResumeOn reports whether a request goes to its sticky server. Where servers have owners, one in slow
// start needs a reservation first.
func (b *Balancer) mayResumeOn(request *requestEntry, server *serverEntry) bool {
	return !server.outlier.ejected(b.now) && b.eligible(request, server) &&
		(!b.reservations.enabled || b.capacityFraction(server) == 1)
}

// eligible reports whether a request may go to a server at all: the server is ready, was not tried before
// and is in the request's zone, and the scope of the idempotency key and slow start allow it. Load doesn't
// count.
func (b *Balancer) eligible(request *requestEntry, server *serverEntry) bool {
	if !request.mayRetryOn(server, b.now) || server.State != Ready ||
		slices.Contains(request.tried, server) || request.zone != "" && server.Zone != request.zone {
		return false
	}
	if b.reservations.enabled {
		return request.samples < maxLostPeerRequests || b.capacityFraction(server) == 1
	}
	return b.hasSlowStartBudget(request, server)
}

// sampleSize is how many servers are sampled: as many as checkSpending pays health checks for, or as many as
// a group is spread over.
func (b *Balancer) sampleSize(request *requestEntry) int {
	if request.affinity == 0 {
		worthwhile := math.Round(checkSpending / max(b.settings.Costs.HealthCheck, 1e-9))
		return int(clamp(worthwhile, minSampled, maxSampled))
	}
	count := b.groupSpread(request)
	// A client that returns comes from a server that may be overloaded, and which one that was is not known.
	if request.Returned && b.inference.slowMessages {
		count += min(b.countUnreported(request, count), 1) * returnSpread
	}
	return count
}

// sampleInZones samples the nearest zone that the plan allows and that has anything left; any zone without a
// plan.
func (b *Balancer) sampleInZones(request *requestEntry, count int) {
	before := len(request.candidates)
	for b.chooseZone(request) {
		b.sample(request, count)
		if b.zones.plan == nil || len(request.candidates) > before {
			return
		}
		request.fullZones = append(request.fullZones, request.zone)
	}
}

// sample adds up to count servers to the candidates, drawn by weight. For a group a hash takes the place of
// chance and low load has no bonus, so that all nodes choose alike without messages.
func (b *Balancer) sample(request *requestEntry, count int) {
	ejected, ready := b.countEjected()
	// Where more than half are ejected, the fault may be this node's network: ejections are ignored.
	heedEjections := 2*ejected <= ready
	sampled := lowest(b.servers, count, func(server *serverEntry) float64 {
		if server.outlier.ejected(b.now) && heedEjections || slices.Contains(request.candidates, server) ||
			!b.eligible(request, server) {
			return never
		}
		return -math.Log(b.draw(request, server)) / b.weight(request, server, 0, b.average.load)
	})
	request.candidates = append(request.candidates, sampled...)
}

// draw is a number over 0 and up to 1, at random or by a hash that is the same on all nodes.
func (b *Balancer) draw(request *requestEntry, server *serverEntry) float64 {
	if request.affinity != 0 && !request.groupSpans {
		return chanceOf(request.affinity ^ server.hash)
	}
	return 1 - b.random.Float64()
}

// checkCandidates checks the health of the candidates without a fresh report, where the request has time for
// that, and counts the checks that it waits for.
func (b *Balancer) checkCandidates(request *requestEntry, timeout time.Duration) {
	if b.settings.Reports == NoReports || request.deadline-b.now < checkedTimeouts*timeout {
		return
	}
	for _, server := range request.candidates {
		if server.report.fresh(b.now) {
			continue
		}
		b.checkHealth(server)
		if server.checking {
			request.pendingChecks++
		}
	}
}

// dispatch starts an attempt on one of the candidates, drawn by weight with the checks' results. Where all
// are above the limit, it samples further servers, up to maxSamples times, and then ends the request.
func (b *Balancer) dispatch(request *requestEntry) {
	b.stopWaiting(request)
	candidates := b.usableCandidates(request)
	mean, least := 0.0, math.Inf(1)
	for _, server := range candidates {
		load := b.predictedLoad(server) + server.cost*request.load
		mean += load / float64(len(candidates))
		least = min(least, load)
	}
	limit := crowded
	if request.affinity != 0 {
		limit = b.overflowLoad()
	}
	if least > limit && request.samples < b.maxSamples() {
		b.place(request)
		return
	}
	if least > crowded { // one more setup there would cost load and likely be dropped and retried
		reason := ServersCrowded
		if len(candidates) == 0 {
			reason = NoServer
		}
		b.endWithoutConnection(request, reason)
		return
	}
	chosen := lowest(candidates, 1, func(server *serverEntry) float64 {
		return -math.Log(b.draw(request, server)) / b.weight(request, server, request.load, mean)
	})
	b.startAttempt(request, append(chosen, candidates[0])[0])
}

// usableCandidates is the candidates that the request may still go to: without those whose health check is
// in flight or that are ejected, if there are others.
func (b *Balancer) usableCandidates(request *requestEntry) []*serverEntry {
	usable := slices.DeleteFunc(slices.Clone(request.candidates), func(server *serverEntry) bool {
		return !b.eligible(request, server) || !b.zones.allows(request, server)
	})
	answering := slices.DeleteFunc(slices.Clone(usable), func(server *serverEntry) bool {
		return server.checking || server.outlier.ejected(b.now)
	})
	if len(answering) > 0 {
		return answering
	}
	return usable
}

// maxSamples is how many samples a placement may take.
func (b *Balancer) maxSamples() int {
	if b.settings.Reports == NoReports {
		return maxInferredSamples
	}
	return maxSamples
}
