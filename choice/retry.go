package choice

import "time"

// Attempts, retries and idempotency: a request without an answer goes to another server while the rules allow it and
// time is left, and never runs twice where that does harm.

const (
	// fullServerLoad is the least load that a server is taken to have after it sent a request back unseen (Full).
	fullServerLoad = 1.2

	// These count Settings.RoundTrip, the longest time from a decision to the event that answers it.

	// deadlineRoundTrips is how long before its deadline a request is answered, so that the answer arrives in time.
	deadlineRoundTrips = 2
	// keyRoundTrips is how long before a server drops an idempotency key the last retry by it is sent.
	keyRoundTrips = 2
	// retryRoundTrips is the least time left for a retry: it and the answer at the deadline take as long each.
	retryRoundTrips = 2 + deadlineRoundTrips

	// Rejections are spread over time, lest their clients come back in one wave: between these fractions of
	// Limits.MaxRetryAfter, and between these multiples of a plan's RetryAfter.
	minRetryAfterFraction = 0.25
	minPlanRetryMultiple  = 0.5
	maxPlanRetryMultiple  = 1.5
)

// startAttempt has an attempt of a request started at a server, or ends the request where no time is left for it.
func (b *Balancer) startAttempt(request *requestEntry, server *serverEntry) {
	timeout := b.attemptTimeout(request)
	if timeout <= 0 {
		b.endWithoutConnection(request, TimeShort)
		return
	}
	request.attempts++
	request.candidates = nil
	request.samples = 0
	request.startedAt = b.now
	b.assign(request, server)
	b.arrivals.add(b.now, request.load/b.units.mean)
	b.spendSlowStart(server, request.load)
	b.actions = append(b.actions, StartAttempt{request.ID, server.ID, timeout, request.retryBefore})
}

// attemptTimeout is how long the next attempt may take: all the time left but a round trip, or half of it, and no less
// than the setup objective, where a further attempt is possible. 0 or less: there is no time for one.
func (b *Balancer) attemptTimeout(request *requestEntry) time.Duration {
	left := request.deadline - b.now
	timeout := left - b.settings.RoundTrip
	objective := request.class.SetupObjective
	if request.attempts+1 < request.maxAttempts && left > 2*objective {
		timeout = min(timeout, max(objective, left/2))
	}
	return timeout
}

// attemptEnded takes in the outcome of an attempt, or the end of the connection that came of it, and retries the
// request where that is allowed. Outcomes of attempts other than the last one are ignored, but for their load report.
func (b *Balancer) attemptEnded(event AttemptEnded) {
	if server := b.findServer(event.Server); server != nil && b.settings.Reports == AllReports {
		b.observeReport(server, event.Report)
	}
	request := b.requests[event.ID]
	if request == nil || request.server == nil || event.Attempt != request.attempts-1 {
		return
	}
	server, open := request.server, request.open
	b.release(request)
	if open && event.Outcome == Reset {
		b.observeDrop(server)
	}
	if !open || b.settings.Reports == NoReports {
		b.observeOutcome(server, event.Outcome)
	}
	if event.Final || open {
		b.forget(request)
		return
	}
	if !event.Outcome.NeverRan() && request.mayHaveRunOn == nil {
		request.mayHaveRunOn = server
		request.retryBefore = request.class.keyExpires(request.startedAt) - keyRoundTrips*b.settings.RoundTrip
	}
	request.tried = append(request.tried, server)
	if reason := b.whyNoRetry(request); reason != Unspecified {
		b.endWithoutConnection(request, reason)
		return
	}
	b.place(request)
}

// observeOutcome ejects a server after a failed attempt, or notes that it is full.
func (b *Balancer) observeOutcome(server *serverEntry, outcome Outcome) {
	switch outcome {
	case TimedOut, ConnectFailed, Reset, Failed:
		server.outlier.eject(b.now)
	case Full:
		b.setReport(server, max(fullServerLoad, b.predictedLoad(server)))
	case Served, Cancelled, NeverSent: // these are no failures
	}
}

// whyNoRetry is why a request must not be tried again; Unspecified: it may.
func (b *Balancer) whyNoRetry(request *requestEntry) Reason {
	switch {
	case request.mayHaveRunOn != nil && request.class.Idempotency == NotIdempotent:
		return MayHaveRun
	case request.attempts >= request.maxAttempts:
		return AttemptsUsed
	case request.deadline-b.now <= retryRoundTrips*b.settings.RoundTrip:
		return TimeShort
	}
	return Unspecified
}

// mayRetryOn says whether a request with an idempotency key that may have run may be sent to a server: only while, and
// where, servers recognize the key.
func (r *requestEntry) mayRetryOn(server *serverEntry, now time.Duration) bool {
	first := r.mayHaveRunOn
	if first == nil || r.class.Idempotency != IdempotentByKey {
		return true
	}
	if now >= r.retryBefore {
		return false
	}
	switch r.class.IdempotencyScope {
	case ScopeZone:
		return server.Zone == first.Zone
	case ScopeCell:
		return server.Zone == first.Zone && server.Cell == first.Cell
	case ScopeAll:
	}
	return true
}

// safeToReject says whether a client may retry a request that ends now without harm.
func (r *requestEntry) safeToReject() bool {
	if r.server == nil && r.mayHaveRunOn == nil {
		return true
	}
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return r.class.IdempotencyScope == ScopeAll
	case NotIdempotent:
	}
	return false
}

// endWithoutConnection ends a request that gets no connection: with Reject where a retry by the client is harmless,
// else with Fail. An attempt in flight is cancelled.
func (b *Balancer) endWithoutConnection(request *requestEntry, reason Reason) {
	b.zones.rejected = append(b.zones.rejected, request.Class)
	if request.safeToReject() {
		b.actions = append(b.actions, Reject{request.ID, b.retryAfter(request), reason})
	} else {
		b.actions = append(b.actions, Fail{request.ID, reason})
	}
	if request.server != nil && b.settings.Limits.Cancellation {
		b.actions = append(b.actions, CancelAttempt{request.ID, request.attempts - 1})
	}
	b.forget(request)
}

// withdraw ends a request on TimeUp, as at a shutdown: the node can't wait any longer.
func (b *Balancer) withdraw(id RequestID) {
	if request := b.requests[id]; request != nil && !request.open {
		b.endWithoutConnection(request, Withdrawn)
	}
}

// retryAfter is the Retry-After of a rejection; 0: there is none, as after an attempt, since another server may have
// capacity now.
func (b *Balancer) retryAfter(request *requestEntry) (after time.Duration) {
	limits := b.settings.Limits
	if b.settings.Reports == NoReports && limits.RetryAfter && request.attempts == 0 && b.totalBaseWeight > 0 {
		spread := minRetryAfterFraction + (1-minRetryAfterFraction)*b.random.Float64()
		after = time.Duration(spread * float64(limits.MaxRetryAfter))
	}
	plan := b.zones.plan
	if plan != nil && request.attempts == 0 { // by then it may be another plan
		spread := minPlanRetryMultiple + (maxPlanRetryMultiple-minPlanRetryMultiple)*b.random.Float64()
		after = time.Duration(spread * float64(plan.RetryAfter))
	}
	return after
}
