package policy

import "time"

// minCanaryRequests is the number of requests that the canary must have received before its rejections are evaluated.
const minCanaryRequests = 20

// requestCounts holds the number of requests that arrived, and how many of these were rejected or failed.
type requestCounts struct{ arrived, rejected float64 }

// rejectedFraction returns the rejected fraction of the requests, or 0 if none arrived.
func (c requestCounts) rejectedFraction() float64 {
	if c.arrived == 0 {
		return 0
	}
	return c.rejected / c.arrived
}

// memberTraffic holds a member's request counts at the start of the canary's observation and its latest counts.
type memberTraffic struct{ first, latest requestCounts }

// Observe records a member's request counts. It ignores them until all live members of the canary have applied the
// change.
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
	// A status is delivered over two paths, and an older one may arrive after a newer one.
	member.latest.arrived = max(member.latest.arrived, counts.arrived)
	member.latest.rejected = max(member.latest.rejected, counts.rejected)
}

// evaluateCanary waits until all live members of the canary have applied the change, and then compares their rejections
// with those of all other members for the canary's duration. passed reports whether the canary has completed the
// observation successfully. failure is the reason to abort the change, or nil.
func (r *Rollout) evaluateCanary(
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
	maxRejectedFraction := others.rejectedFraction() + change.Canary.MaxExtraRejections
	if canary.arrived >= minCanaryRequests && canary.rejectedFraction() > maxRejectedFraction {
		return false, canaryRejectsMore{canary: canary, others: others}
	}
	return now-r.canaryServedSince >= change.Canary.duration(), nil
}

// awaitCanary begins the observation once all live members of the canary have applied the change. It returns a reason
// to abort if some have not done so within the answer timeout plus the window, after which the previous policy is no
// longer in use.
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

// countCanary counts the live members of a change's canary, and how many of them have applied the change.
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

// compareTraffic sums the requests since the observation began, separately for the canary and for all other members.
func (r *Rollout) compareTraffic(canary Canary, members []Member) (canaryCounts, otherCounts requestCounts) {
	for _, member := range members {
		traffic := r.traffic[member.Node]
		if traffic == nil {
			continue
		}
		sum := &otherCounts
		if canary.Includes(member.Node, member.Zone) {
			sum = &canaryCounts
		}
		sum.arrived = sum.arrived + traffic.latest.arrived - traffic.first.arrived
		sum.rejected = sum.rejected + traffic.latest.rejected - traffic.first.rejected
	}
	return canaryCounts, otherCounts
}
