package policy

import (
	"fmt"
	"time"
)

// abortReason is the reason why the leader aborts a change without an operator's request. Its text is stored in the
// change's outcome in the log and shown to operators.
type abortReason interface{ String() string }

// rejectedByMember means that a live member reported that it can't apply the change.
type rejectedByMember struct{ member, reason string }

func (r rejectedByMember) String() string { return r.member + ": " + r.reason }

// memberUnreachable means that a live member did not acknowledge the change in time.
type memberUnreachable struct {
	member  string
	timeout time.Duration
}

func (r memberUnreachable) String() string {
	return fmt.Sprintf("%s did not answer within %v", r.member, r.timeout)
}

// canaryEmpty means that the canary has no live member.
type canaryEmpty struct{}

func (canaryEmpty) String() string { return "no live member is of the part" }

// canaryNotServing means that some live members of the canary did not apply the change in time.
type canaryNotServing struct {
	serving, live int
	timeout       time.Duration
}

func (r canaryNotServing) String() string {
	return fmt.Sprintf("%d of the part's %d members serve by it after %v", r.serving, r.live, r.timeout)
}

// canaryRejectsMore means that the canary rejected too many requests compared with all other members.
type canaryRejectsMore struct{ canary, others requestCounts }

func (r canaryRejectsMore) String() string {
	return fmt.Sprintf("on trial %.1f%% of %.0f requests were turned away, elsewhere %.1f%% of %.0f",
		100*r.canary.rejectedFraction(), r.canary.arrived, 100*r.others.rejectedFraction(), r.others.arrived)
}

// tooManyBases means that the state has no room for another base policy, because some members have not sent a status
// for too many changes.
type tooManyBases struct{}

func (tooManyBases) String() string {
	return "members that may still serve by older ground policies were not heard since"
}
