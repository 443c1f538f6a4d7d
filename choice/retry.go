package choice

import "time"

// Attempts, retries and idempotency: a request without an answer goes to another server while the rules allow it and
// time is left, and never runs twice where that does harm.

// fullServerLoad is the least load that a server is taken for that sends a request back unseen.
const fullServerLoad = 1.2

// startAttempt sends a request to a server.
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

// attemptTimeout is how long the next attempt may take; it leaves time for another one.
func (b *Balancer) attemptTimeout(request *requestEntry) time.Duration {
	left := request.deadline - b.now
	timeout := left - b.settings.RoundTrip
	objective := request.class.SetupObjective
	if request.attempts+1 < request.maxAttempts && left > 2*objective {
		timeout = min(timeout, max(objective, left/2))
	}
	return timeout
}

// attemptEnded closes an attempt, or the connection that came of it.
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
		request.retryBefore = request.class.keyExpires(request.startedAt) - 2*b.settings.RoundTrip
	}
	request.tried = append(request.tried, server)
	if reason := b.whyNoRetry(request); reason != Unspecified {
		b.endWithoutConnection(request, reason)
		return
	}
	b.place(request)
}

// observeOutcome takes in what an attempt's outcome says of its server.
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
	case request.deadline-b.now <= 4*b.settings.RoundTrip:
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

// endWithoutConnection ends a request: rejected where trying again is harmless, else failed.
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

// withdraw answers a request because the node can't wait any longer.
func (b *Balancer) withdraw(id RequestID) {
	if request := b.requests[id]; request != nil && !request.open {
		b.endWithoutConnection(request, Withdrawn)
	}
}

// retryAfter is how long a client whose request was rejected should stay away; 0: nothing is said.
func (b *Balancer) retryAfter(request *requestEntry) (after time.Duration) {
	limits := b.settings.Limits
	if b.settings.Reports == NoReports && limits.RetryAfter && request.attempts == 0 && b.totalBaseWeight > 0 {
		after = time.Duration((0.25 + 0.75*b.random.Float64()) * float64(limits.MaxRetryAfter))
	}
	plan := b.zones.plan
	if plan != nil && request.attempts == 0 { // by then it may be another plan; spread, against waves
		after = time.Duration((0.5 + b.random.Float64()) * float64(plan.RetryAfter))
	}
	return after
}
