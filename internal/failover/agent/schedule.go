package agent

import (
	"math/rand/v2"
	"time"

	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
)

// Intervals of an agent's periodic work.
const (
	observeInterval  = 100 * time.Millisecond // what is rejected now can be leased capacity for now
	evidenceInterval = 500 * time.Millisecond
	summaryInterval  = 500 * time.Millisecond
	confirmInterval  = 200 * time.Millisecond
)

// schedule is when each kind of periodic work is due next.
type schedule struct {
	voterTick, heartbeat, observe, evidence, summary, plan, confirm time.Duration
}

// newSchedule draws the first time of each kind of work: nodes that start at once are not to send at once.
func newSchedule(rng *rand.Rand, now time.Duration) schedule {
	spread := func(interval time.Duration) time.Duration { return now + time.Duration(rng.Int64N(int64(interval))) }
	return schedule{ // the order of the draws is fixed: a seed gives the same run
		voterTick: now,
		heartbeat: spread(membership.HeartbeatInterval),
		observe:   spread(observeInterval),
		evidence:  spread(evidenceInterval),
		summary:   spread(summaryInterval),
		plan:      spread(failover.StepInterval),
		confirm:   now,
	}
}

// isDue says whether work is due, and moves its time on by the interval if so. Work that is late is not made up for.
func isDue(at *time.Duration, interval, now time.Duration) bool {
	if now < *at {
		return false
	}
	*at = max(*at+interval, now+interval/2)
	return true
}
