package choice

import (
	"math"
	"slices"
	"time"
)

// The placement of a request: servers are sampled by weight, health checks asked for where load reports are
// old, and one of the sample is drawn. Each server has a predicted load, the load of its connections times a
// learned cost, anchored at its last report; a PID controller keeps its weight, high where predicted load is
// below average; a new connection stays where it was placed. All else are exceptions that say what they guard
// against.

const (
	// checkSpending is the fraction of the service worth spending on health checks for a placement.
	checkSpending = 0.006
	minSampled    = 2 // servers in a sample
	maxSampled    = 4
	freshFor      = 300 * time.Millisecond // how long a report says enough
	checkFraction = 5                      // a request waits its setup objective over this for its checks

	// crowded is the predicted load from which on more servers are sampled, and in the end none is used.
	crowded    = 0.85
	maxSamples = 8 // for one placement
	// maxInferredSamples is the same where loads are inferred: each server further off pays for a group
	// anew.
	maxInferredSamples = 3
)

// place samples the table for a request, the draw being among these, and checks what is not fresh.
func (b *Balancer) place(request *requestEntry) {
	if sticky := b.findServer(request.StickyServer); sticky != nil && b.mayResumeOn(request, sticky) {
		b.startAttempt(request, sticky)
		return
	}
	if b.reservations.enabled && request.samples < maxLostQuestions {
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

// mayResumeOn reports whether a request goes to the server that it has a session on. What one in slow start
// bears its owner alone knows.
func (b *Balancer) mayResumeOn(request *requestEntry, server *serverEntry) bool {
	return !server.outlier.ejected(b.now) && b.eligible(request, server) &&
		(!b.reservations.enabled || b.capacityFraction(server) == 1)
}

// eligible says whether a request may go to a server at all: draining, retries, slow start.
func (b *Balancer) eligible(request *requestEntry, server *serverEntry) bool {
	if !request.mayRetryOn(server, b.now) || server.State != Ready ||
		slices.Contains(request.tried, server) || request.zone != "" && server.Zone != request.zone {
		return false
	}
	if b.reservations.enabled {
		return request.samples < maxLostQuestions || b.capacityFraction(server) == 1
	}
	return b.mayStartSlowly(request, server)
}

// sampleSize is how many servers are sampled: by the cost of a health check, or as many as a group goes
// on.
func (b *Balancer) sampleSize(request *requestEntry) int {
	if request.affinity == 0 {
		worthwhile := math.Round(checkSpending / max(b.settings.Costs.HealthCheck, 1e-9))
		return int(clamp(worthwhile, minSampled, maxSampled))
	}
	count := b.groupSpread(request)
	// Its client comes back from a server that is full, and which one it was is not known.
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

// sample draws some more servers by weight. A group draws by a hash in place of chance, and without a bonus
// for low load, so that nodes choose alike without messages: each server that has any of a group pays for it.
func (b *Balancer) sample(request *requestEntry, count int) {
	ejected, ready := b.countEjected()
	// Where most are ejected, the information is suspect, not the servers.
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

// draw is a number between 0 and 1, by chance or by a hash that all nodes share.
func (b *Balancer) draw(request *requestEntry, server *serverEntry) float64 {
	if request.affinity != 0 && !request.groupSpans {
		return chanceOf(request.affinity ^ server.hash)
	}
	return 1 - b.random.Float64()
}

// checkCandidates asks for the load of candidates whose report is not fresh, where the request has time for
// that.
func (b *Balancer) checkCandidates(request *requestEntry, timeout time.Duration) {
	if b.settings.Reports == NoReports || request.deadline-b.now < 3*timeout {
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

// dispatch starts an attempt on one of the sampled servers, drawn by weight; where all are crowded it samples
// on.
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
	if least > crowded { // setups are work too, and servers that drop connections make them come again
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
// out or that are ejected, if there are others, since silence is not low load.
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
