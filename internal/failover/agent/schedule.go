package agent

import (
	"math/rand/v2"
	"time"

	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
)

// Intervals of an agent's periodic work.
const (
	observeInterval  = 100 * time.Millisecond // short enough to lease capacity while requests are still being rejected
	evidenceInterval = 500 * time.Millisecond
	summaryInterval  = 500 * time.Millisecond
	confirmInterval  = 200 * time.Millisecond
)

// schedule holds the time when each kind of periodic work is due next.
type schedule struct {
	voterTick, heartbeat, observe, evidence, summary, plan, confirm time.Duration
}

// newSchedule draws a random first time for each kind of work, so that nodes that start at the same time don't send at
// the same time.
func newSchedule(rng *rand.Rand, now time.Duration) schedule {
	firstTime := func(interval time.Duration) time.Duration { return now + time.Duration(rng.Int64N(int64(interval))) }
	return schedule{ // the order of the draws must not change: a seed must always give the same run
		voterTick: now,
		heartbeat: firstTime(membership.HeartbeatInterval),
		observe:   firstTime(observeInterval),
		evidence:  firstTime(evidenceInterval),
		summary:   firstTime(summaryInterval),
		plan:      firstTime(failover.StepInterval),
		confirm:   now,
	}
}

// isDue reports whether work is due, and if so schedules it again after the interval. Missed intervals are not made up
// for.
func isDue(at *time.Duration, interval, now time.Duration) bool {
	if now < *at {
		return false
	}
	*at = max(*at+interval, now+interval/2)
	return true
}
