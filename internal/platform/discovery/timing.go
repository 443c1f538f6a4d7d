package discovery

import "time"

const (
	connectTimeout = 500 * time.Millisecond
	// maxListTimeout is for the response to a call that does not wait: a new discovery's list counts as delivered 4 s
	// after SIGHUP.
	maxListTimeout  = 4 * time.Second
	listGraceMargin = 2500 * time.Millisecond // such a response takes no longer than this beyond the drain grace
)

// timing is how long calls wait, and for what. Where a time "counts as delivered" the platform takes this node to know
// the list from then on.
type timing struct {
	pollWait       time.Duration // the longest wait of a long poll for a change
	pollWaitJitter time.Duration // shortens waits by up to this, so that polls that began together don't end together
	answerTimeout  time.Duration // for the response after the wait, at the most
	graceMargin    time.Duration // for it beyond the drain grace: a change in the next response still comes in time
	bodyTimeout    time.Duration // for the rest of a response whose body has begun

	// After a call that failed or was abandoned. A change counts as delivered 6 s after the service can be reached
	// again: a call that was begun too early, the longest backoff and the call that brings the change have to fit in
	// there.

	recoveryWait          time.Duration // the longest wait of a long poll until one gets a response
	recoveryAnswerTimeout time.Duration // for the response after that wait, and for a full list
	initialBackoff        time.Duration // at most, after the first failure; doubled after each further one
	maxBackoff            time.Duration

	// Of an agent that lists are pushed to. Its state counts as delivered, so a call without a response is repeated at
	// once.

	agentPollWait      time.Duration
	agentRetryInterval time.Duration // the wait after a call without a response, and the backoff after a failed one
	agentAnswerTimeout time.Duration
}

var defaultTiming = timing{
	pollWait:              10 * time.Second,
	pollWaitJitter:        2 * time.Second,
	answerTimeout:         1500 * time.Millisecond,
	graceMargin:           500 * time.Millisecond,
	bodyTimeout:           2 * time.Second,
	recoveryWait:          100 * time.Millisecond,
	recoveryAnswerTimeout: 2400 * time.Millisecond,
	initialBackoff:        750 * time.Millisecond,
	maxBackoff:            2 * time.Second,
	agentPollWait:         time.Second,
	agentRetryInterval:    100 * time.Millisecond,
	agentAnswerTimeout:    150 * time.Millisecond,
}

// pollTimes returns how long a long poll waits for a change, and how long its response may take beyond that.
func (w *Watch) pollTimes() (wait, responseTimeout time.Duration) {
	switch {
	case w.mode.Pushed && w.recovering:
		return w.timing.agentRetryInterval, w.timing.agentAnswerTimeout
	case w.mode.Pushed:
		return w.timing.agentPollWait, w.timing.agentAnswerTimeout
	case w.recovering:
		return w.timing.recoveryWait, w.timing.recoveryAnswerTimeout
	}
	// The response may take no longer, lest a call that is lost without a sign hide a change: this node is taken to
	// know of one 2 s after the wait, and that leaves time for another call.
	jitter := time.Duration(w.rng.Int64N(int64(w.timing.pollWaitJitter)))
	return w.timing.pollWait - jitter, min(w.timing.answerTimeout, w.mode.DrainGrace+w.timing.graceMargin)
}

// listTimeout is for the response to a call that doesn't wait.
func (w *Watch) listTimeout() time.Duration {
	timeout := min(maxListTimeout, w.mode.DrainGrace+listGraceMargin)
	if w.recovering {
		timeout = min(timeout, w.timing.recoveryAnswerTimeout)
	}
	return timeout
}

// backoff is the time between a failed call and the next: exponential, for the sake of a service that has too many
// callers, and random, so that nodes that failed together don't come back together.
func (w *Watch) backoff() time.Duration {
	if w.mode.Pushed {
		return w.timing.agentRetryInterval
	}
	longest := w.timing.initialBackoff
	for failure := 1; failure < w.failures && longest < w.timing.maxBackoff; failure++ {
		longest *= 2
	}
	longest = min(longest, w.timing.maxBackoff)
	return longest/2 + time.Duration(w.rng.Int64N(int64(longest/2)))
}
