package discovery

import "time"

const (
	connectTimeout = 500 * time.Millisecond
	// maxListTimeout limits the time for the response to a call that is not a long poll. The list of a new discovery
	// service counts as delivered 4 s after SIGHUP.
	maxListTimeout  = 4 * time.Second
	listGraceMargin = 2500 * time.Millisecond // that response may take this much longer than the drain grace
)

// timing holds the waits, timeouts and backoffs of calls. A list or change "counts as delivered" as soon as the
// platform assumes that this node knows it.
type timing struct {
	pollWait        time.Duration // maximum time for which a long poll waits for a change
	pollWaitJitter  time.Duration // maximum reduction of pollWait, so that polls that began together don't end together
	responseTimeout time.Duration // maximum time for the response after the wait
	graceMargin     time.Duration // allowed beyond the drain grace; a change in the next response is still in time
	bodyTimeout     time.Duration // time for the rest of a response whose body has begun

	// The following apply after a call that failed or was abandoned. A change counts as delivered 6 s after the service
	// can be reached again. Three things must fit into these 6 s: a call that began before the service could be
	// reached, the longest backoff, and the call that returns the change.

	recoveryWait            time.Duration // wait of long polls until one of them gets a response
	recoveryResponseTimeout time.Duration // time for the response after that wait, and for a full list
	initialBackoff          time.Duration // maximum after the first failure; doubles with each further failure
	maxBackoff              time.Duration

	// The following apply to calls to an agent to which lists are pushed. The agent's state counts as delivered, so a
	// call without a response is repeated at once.

	agentPollWait        time.Duration
	agentRetryInterval   time.Duration // long poll wait after a call without a response; backoff after a failed call
	agentResponseTimeout time.Duration
}

var defaultTiming = timing{
	pollWait:                10 * time.Second,
	pollWaitJitter:          2 * time.Second,
	responseTimeout:         1500 * time.Millisecond,
	graceMargin:             500 * time.Millisecond,
	bodyTimeout:             2 * time.Second,
	recoveryWait:            100 * time.Millisecond,
	recoveryResponseTimeout: 2400 * time.Millisecond,
	initialBackoff:          750 * time.Millisecond,
	maxBackoff:              2 * time.Second,
	agentPollWait:           time.Second,
	agentRetryInterval:      100 * time.Millisecond,
	agentResponseTimeout:    150 * time.Millisecond,
}

// pollTimes returns how long a long poll waits for a change, and how long its response may take after that wait.
func (w *Watch) pollTimes() (wait, responseTimeout time.Duration) {
	switch {
	case w.mode.Pushed && w.recovering:
		return w.timing.agentRetryInterval, w.timing.agentResponseTimeout
	case w.mode.Pushed:
		return w.timing.agentPollWait, w.timing.agentResponseTimeout
	case w.recovering:
		return w.timing.recoveryWait, w.timing.recoveryResponseTimeout
	}
	// The response timeout is this short because a call that is lost without an error must not hide a change. A change
	// counts as delivered 2 s after the wait, which leaves time for another call.
	jitter := time.Duration(w.rng.Int64N(int64(w.timing.pollWaitJitter)))
	return w.timing.pollWait - jitter, min(w.timing.responseTimeout, w.mode.DrainGrace+w.timing.graceMargin)
}

// listTimeout returns the time for the response to a call that is not a long poll.
func (w *Watch) listTimeout() time.Duration {
	timeout := min(maxListTimeout, w.mode.DrainGrace+listGraceMargin)
	if w.recovering {
		timeout = min(timeout, w.timing.recoveryResponseTimeout)
	}
	return timeout
}

// backoff returns the time between a failed call and the next one. It is exponential to relieve an overloaded service,
// and random so that nodes whose calls failed together don't call again together.
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
