package choice

import "time"

// Attempts, retries and idempotency. A request without an answer is retried on another server while the rules allow it
// and time is left. A request that must not run twice is not retried after an attempt that may have run.

const (
	// fullServerLoad is the minimum load assumed for a server that returned a request without processing it (Full).
	fullServerLoad = 1.2

	// The following constants are multiples of Settings.RoundTrip, the longest time from a decision to the event that
	// answers it.

	// deadlineRoundTrips is how long before its deadline a request is answered, so that the answer arrives in time.
	deadlineRoundTrips = 2
	// keyRoundTrips is how long before the server drops an idempotency key the last retry with this key is sent.
	keyRoundTrips = 2
	// retryRoundTrips is the minimum time left for a retry. It covers two round trips for the retry itself and
	// deadlineRoundTrips for the answer.
	retryRoundTrips = 2 + deadlineRoundTrips

	// Retry-After values are spread at random so that rejected clients do not all return at once: from
	// minRetryAfterFraction to 1 of Limits.MaxRetryAfter, or between the two multiples of a plan's RetryAfter.
	minRetryAfterFraction = 0.25
	minPlanRetryMultiple  = 0.5
	maxPlanRetryMultiple  = 1.5
)

// startAttempt starts an attempt of a request on a server, or ends the request if no time is left for an attempt.
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

// attemptTimeout returns how long the next attempt may take: the time left minus one round trip. If another attempt is
// possible afterwards, the timeout is at most half of the time left, but no less than the setup objective. A result of
// 0 or less means that no time is left for an attempt.
func (b *Balancer) attemptTimeout(request *requestEntry) time.Duration {
	left := request.deadline - b.now
	timeout := left - b.settings.RoundTrip
	objective := request.class.SetupObjective
	if request.attempts+1 < request.maxAttempts && left > 2*objective {
		timeout = min(timeout, max(objective, left/2))
	}
	return timeout
}

// attemptEnded processes the outcome of an attempt, or the end of the connection that the attempt established, and
// retries the request if a retry is allowed. For attempts other than the last one, it uses only the load report.
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
		request.retryBefore = request.class.keyExpiresAt(request.startedAt) - keyRoundTrips*b.settings.RoundTrip
	}
	request.tried = append(request.tried, server)
	if reason := b.whyNoRetry(request); reason != Unspecified {
		b.endWithoutConnection(request, reason)
		return
	}
	b.place(request)
}

// observeOutcome ejects a server after a failed attempt, or records that the server is full.
func (b *Balancer) observeOutcome(server *serverEntry, outcome Outcome) {
	switch outcome {
	case TimedOut, ConnectFailed, Reset, Failed:
		server.outlier.eject(b.now)
	case Full:
		b.setReport(server, max(fullServerLoad, b.predictedLoad(server)))
	case Served, Cancelled, NeverSent: // not failures of the server
	}
}

// whyNoRetry returns the reason why a request must not be retried, or Unspecified if it may be retried.
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

// mayRetryOn reports whether idempotency allows a request to be sent to a server. After an attempt that may have run, a
// request with an idempotency key may go only to servers that recognize the key, and only before the key expires.
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

// safeToReject reports whether a client may safely retry a request that ends now.
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

// endWithoutConnection ends a request that gets no connection: with Reject if the client may safely retry it, otherwise
// with Fail. It cancels an attempt in flight if Limits.Cancellation allows that.
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

// withdraw handles TimeUp. It ends a request without a connection because the node can't wait for one any longer, for
// example during a shutdown.
func (b *Balancer) withdraw(id RequestID) {
	if request := b.requests[id]; request != nil && !request.open {
		b.endWithoutConnection(request, Withdrawn)
	}
}

// retryAfter returns the Retry-After of a rejection, or 0 for none. After an attempt there is none, since another
// server may have capacity now.
func (b *Balancer) retryAfter(request *requestEntry) (after time.Duration) {
	limits := b.settings.Limits
	if b.settings.Reports == NoReports && limits.RetryAfter && request.attempts == 0 && b.totalBaseWeight > 0 {
		spread := minRetryAfterFraction + (1-minRetryAfterFraction)*b.random.Float64()
		after = time.Duration(spread * float64(limits.MaxRetryAfter))
	}
	plan := b.zones.plan
	if plan != nil && request.attempts == 0 { // after an attempt the plan may have changed
		spread := minPlanRetryMultiple + (maxPlanRetryMultiple-minPlanRetryMultiple)*b.random.Float64()
		after = time.Duration(spread * float64(plan.RetryAfter))
	}
	return after
}
