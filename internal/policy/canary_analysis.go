package policy

import "time"

// minCanaryRequests is how many requests the canary must have had before its rejections count.
const minCanaryRequests = 20

// requestCounts are requests that arrived, and those of them that were rejected or failed.
type requestCounts struct{ arrived, rejected float64 }

func (c requestCounts) rejectedFraction() float64 {
	if c.arrived == 0 {
		return 0
	}
	return c.rejected / c.arrived
}

// memberTraffic are a member's counts when the observation of the canary began, and the newest ones.
type memberTraffic struct{ first, latest requestCounts }

// Observe takes in a member's newest status. It counts only while all of the canary serve by the change.
func (r *Rollout) Observe(node int, status MemberStatus) {
	if r.canaryServedSince == 0 {
		return
	}
	counts := requestCounts{arrived: status.Arrived, rejected: status.Rejected}
	member := r.traffic[node]
	if member == nil {
		member = &memberTraffic{first: counts}
		r.traffic[node] = member
	}
	// A status comes on two ways, and an older one may come last.
	member.latest.arrived = max(member.latest.arrived, counts.arrived)
	member.latest.rejected = max(member.latest.rejected, counts.rejected)
}

// judgeCanary waits until all live members of the canary serve by the change, and then compares their rejections with
// those of all others for the canary's time. passed says that they served well, and long enough; failure is why the
// change is aborted, nil where it is not.
func (r *Rollout) judgeCanary(
	now time.Duration, change *Change, members []Member,
) (passed bool, failure abortReason) {
	live, serving := countCanary(change, members)
	if live == 0 {
		return false, canaryEmpty{}
	}
	if r.canaryServedSince == 0 {
		return false, r.awaitCanary(now, live, serving)
	}
	canary, others := r.compareTraffic(change.Canary, members)
	mostRejected := others.rejectedFraction() + change.Canary.MaxExtraRejections
	if canary.arrived >= minCanaryRequests && canary.rejectedFraction() > mostRejected {
		return false, canaryRejectsMore{canary: canary, others: others}
	}
	return now-r.canaryServedSince >= change.Canary.duration(), nil
}

// awaitCanary begins the observation when all live members of the canary serve by the change. The change fails if they
// don't after the time in which each has to acknowledge it, and the window after which the policy before is out of use.
func (r *Rollout) awaitCanary(now time.Duration, live, serving int) abortReason {
	if serving == live {
		r.canaryServedSince = now
		return nil
	}
	timeout := r.rules.AnswerTimeout + r.rules.Window
	if now-r.entrySeen > timeout {
		return canaryNotServing{serving: serving, live: live, timeout: timeout}
	}
	return nil
}

// countCanary counts the live members of a change's canary, and those of them that serve by the change.
func countCanary(change *Change, members []Member) (live, serving int) {
	for _, member := range members {
		if !member.Live || !change.Canary.Includes(member.Node, member.Zone) {
			continue
		}
		live++
		if member.serves(change.Number) {
			serving++
		}
	}
	return live, serving
}

// compareTraffic sums up the requests since the observation began, of the canary and of all others.
func (r *Rollout) compareTraffic(canary Canary, members []Member) (ofCanary, ofOthers requestCounts) {
	for _, member := range members {
		traffic := r.traffic[member.Node]
		if traffic == nil {
			continue
		}
		sum := &ofOthers
		if canary.Includes(member.Node, member.Zone) {
			sum = &ofCanary
		}
		sum.arrived = sum.arrived + traffic.latest.arrived - traffic.first.arrived
		sum.rejected = sum.rejected + traffic.latest.rejected - traffic.first.rejected
	}
	return ofCanary, ofOthers
}
