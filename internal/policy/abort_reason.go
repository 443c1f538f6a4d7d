package policy

import (
	"fmt"
	"time"
)

// abortReason is why the leader aborts a change by itself. The texts go into the change's outcome on the log, and
// operators read them.
type abortReason interface{ String() string }

// rejectedByMember says that a live member can't serve by the change.
type rejectedByMember struct{ member, reason string }

func (r rejectedByMember) String() string { return r.member + ": " + r.reason }

// memberUnreachable says that a live member did not acknowledge the change in time.
type memberUnreachable struct {
	member  string
	timeout time.Duration
}

func (r memberUnreachable) String() string {
	return fmt.Sprintf("%s did not answer within %v", r.member, r.timeout)
}

// canaryEmpty says that no live member is one of the canary.
type canaryEmpty struct{}

func (canaryEmpty) String() string { return "no live member is of the part" }

// canaryNotServing says that not all live members of the canary served by the change in time.
type canaryNotServing struct {
	serving, live int
	timeout       time.Duration
}

func (r canaryNotServing) String() string {
	return fmt.Sprintf("%d of the part's %d members serve by it after %v", r.serving, r.live, r.timeout)
}

// canaryRejectsMore says that the canary rejected too many requests, compared with all others.
type canaryRejectsMore struct{ canary, others requestCounts }

func (r canaryRejectsMore) String() string {
	return fmt.Sprintf("on trial %.1f%% of %.0f requests were turned away, elsewhere %.1f%% of %.0f",
		100*r.canary.rejectedFraction(), r.canary.arrived, 100*r.others.rejectedFraction(), r.others.arrived)
}

// basesInUse says that no further base policy can be remembered, since members have sent no status for too many
// changes.
type basesInUse struct{}

func (basesInUse) String() string {
	return "members that may still serve by older ground policies were not heard since"
}
