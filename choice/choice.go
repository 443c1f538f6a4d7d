package choice

import (
	"math"
	"slices"
	"time"
)

// Placement of requests. Servers are sampled by weight, the sampled servers with an old load report have
// their health checked, and one server of the sample is drawn by weight. The predicted load of a server is
// its last reported load plus the load of the connections placed since then, which is their connection load
// multiplied by a learned cost (load.go). A PID controller adjusts the server's weight, which is high if the
// predicted load is below average (weight.go).

const (
	// maxCheckCost is the fraction of the service that the health checks of one placement may cost.
	maxCheckCost        = 0.006
	minSampled          = 2 // bounds of the number of servers in a sample
	maxSampled          = 4
	freshFor            = 300 * time.Millisecond // age up to which a report replaces a health check
	checkTimeoutDivisor = 5                      // the checks may take the setup objective divided by this

	// crowdedLoad is the predicted load, as a fraction of a server's capacity, above which a placement
	// samples further servers. A request is rejected if no sampled server is below it.
	crowdedLoad = 0.85
	maxSamples  = 8 // samples taken for one placement
	// maxInferredSamples replaces maxSamples if loads are inferred instead of reported, since each further
	// server of a group has to do the group's shared work again.
	maxInferredSamples = 3

	// checkedTimeouts is the minimum time left for a request to wait for its health checks, as a multiple of
	// their timeout.
	checkedTimeouts = 3
)

// place starts the placement of a request, or continues it after a sample without a usable server. It uses
// the sticky server if possible. Otherwise, if servers have owners, it requests a reservation; if not, it
// samples servers and checks those without a fresh report. dispatch continues once the checks have ended.
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
	request.groupIsSpread = false
	b.sampleInZones(request, count)
	request.pendingChecks = 0
	request.samples++
	request.groupIsSpread = request.affinity != 0 && count > 1
	timeout := request.class.SetupObjective / checkTimeoutDivisor
	b.checkCandidates(request, timeout)
	if request.pendingChecks == 0 {
		b.dispatch(request)
		return
	}
	b.awaitingChecks = append(b.awaitingChecks, request)
	token := timerHealthCheck + " " + string(request.ID)
	b.actions = append(b.actions, SetTimer{token, timeout, request.ID})
}

// mayResumeOn reports whether a request may go directly to its sticky server. If servers have owners, a
// sticky server in slow start needs a reservation first.
func (b *Balancer) mayResumeOn(request *requestEntry, server *serverEntry) bool {
	return !server.outlier.ejected(b.now) && b.eligible(request, server) &&
		(!b.reservations.enabled || b.capacityFraction(server) == 1)
}

// eligible reports whether a request may go to a server at all, regardless of load. The server must be ready,
// not tried before and in the request's zone, and the idempotency key and slow start must allow it. If
// servers have owners, the owner checks the slow-start budget. After maxLostPeerRequests timeouts no owner
// does, so servers in slow start are not eligible.
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

// sampleSize returns the number of servers to sample: the number of health checks that maxCheckCost allows,
// or for a group the number of servers over which the group is spread.
func (b *Balancer) sampleSize(request *requestEntry) int {
	if request.affinity == 0 {
		affordable := math.Round(maxCheckCost / max(b.settings.Costs.HealthCheck, 1e-9))
		return int(clamp(affordable, minSampled, maxSampled))
	}
	count := b.groupSpread(request)
	// The previous server of a returning client may be overloaded, and this node doesn't know which server
	// it was.
	if request.Returned && b.inference.slowMessages {
		count += min(b.countUnreported(request, count), 1) * returnSpread
	}
	return count
}

// sampleInZones samples servers in the nearest zone that the plan allows and that has usable servers. Without
// a plan it samples servers of all zones.
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

// sample adds up to count servers to the candidates, drawn by weight. For a group, a hash replaces random
// draws and a low load does not increase the weight, so that all nodes choose the same servers without
// exchanging messages.
func (b *Balancer) sample(request *requestEntry, count int) {
	ejected, ready := b.countEjected()
	// If more than half of the ready servers are ejected, the cause may be this node's network, so ejections
	// are ignored.
	honorEjections := 2*ejected <= ready
	sampled := selectLowest(b.servers, count, func(server *serverEntry) float64 {
		if server.outlier.ejected(b.now) && honorEjections || slices.Contains(request.candidates, server) ||
			!b.eligible(request, server) {
			return excludedKey
		}
		return -math.Log(b.draw(request, server)) / b.weight(request, server, 0, b.average.load)
	})
	request.candidates = append(request.candidates, sampled...)
}

// draw returns a number above 0 and up to 1, either random or from a hash that is the same on all nodes.
func (b *Balancer) draw(request *requestEntry, server *serverEntry) float64 {
	if request.affinity != 0 && !request.groupIsSpread {
		return uniformFromHash(request.affinity ^ server.hash)
	}
	return 1 - b.random.Float64()
}

// checkCandidates checks the health of the candidates without a fresh report, if the request has enough time
// left, and counts the checks that the request waits for.
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

// dispatch starts an attempt on one of the candidates, drawn by weight after their health checks. If all
// candidates are above the load limit (crowdedLoad, or overflowLoad for a group), it samples further servers,
// up to maxSamples times. If all are then above crowdedLoad, it ends the request.
func (b *Balancer) dispatch(request *requestEntry) {
	b.stopAwaitingChecks(request)
	candidates := b.usableCandidates(request)
	mean, least := 0.0, math.Inf(1)
	for _, server := range candidates {
		load := b.predictedLoad(server) + server.cost*request.load
		mean += load / float64(len(candidates))
		least = min(least, load)
	}
	limit := crowdedLoad
	if request.affinity != 0 {
		limit = b.overflowLoad()
	}
	if least > limit && request.samples < b.maxSamples() {
		b.place(request)
		return
	}
	if least > crowdedLoad { // another connection would add setup load and likely be dropped and retried
		reason := ServersCrowded
		if len(candidates) == 0 {
			reason = NoServer
		}
		b.endWithoutConnection(request, reason)
		return
	}
	chosen := selectLowest(candidates, 1, func(server *serverEntry) float64 {
		return -math.Log(b.draw(request, server)) / b.weight(request, server, request.load, mean)
	})
	b.startAttempt(request, append(chosen, candidates[0])[0])
}

// usableCandidates returns the candidates that the request may still go to. It leaves out candidates that are
// ejected or have a health check in flight, unless there are no others.
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

// maxSamples returns how many samples a placement may take.
func (b *Balancer) maxSamples() int {
	if b.settings.Reports == NoReports {
		return maxInferredSamples
	}
	return maxSamples
}
