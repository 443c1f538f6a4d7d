package agent

import (
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
	"spurwinch/internal/policy"
)

// leaderContact is the newest proof that the fleet has a leader. The time of the proof determines how long this node
// may serve by a policy and use grants in other zones.
type leaderContact struct {
	known       bool
	confirmedAt time.Duration       // time by this node's clock at which the leader certainly led
	plan        uint64              // number of the leader's newest plan at that time
	notice      policy.LeaderNotice // the leader's notice of the policy at that time
}

// handleSummaryAck processes the leader's reply to a summary.
func (a *Agent) handleSummaryAck(head header, ack summaryAck, now time.Duration) {
	if a.options.List.VoterIndex(head.from) < 0 {
		return
	}
	if sentAt, ok := a.peer(head.from).takeSendTime(ack.SummaryClock); ok {
		a.confirmLeader(sentAt, planNumberIn(ack.Log), ack.Notice)
	}
	a.fetchMissing(head.from, ack.Log, now)
}

// planNumberIn returns the number of the newest plan in a digest, or 0 if it contains none.
func planNumberIn(digest consensus.Digest) (number uint64) {
	for _, kind := range digest.Kinds {
		if kind.Kind == failover.PlanKind {
			number = kind.Index
		}
	}
	return number
}

// confirmLeader records that the fleet certainly had a leader at a time of this node's clock, and the leader's newest
// plan and notice. It extends the validity of grants in other zones, unless the leader has a plan that this node
// doesn't have yet.
func (a *Agent) confirmLeader(at time.Duration, plan uint64, notice policy.LeaderNotice) {
	if !a.leader.known || at > a.leader.confirmedAt {
		a.leader = leaderContact{known: true, confirmedAt: at, plan: max(a.leader.plan, plan), notice: notice}
	}
	if a.plan != nil && a.leader.plan <= a.planNumber {
		lifetime := time.Duration(float64(a.plan.GrantLifetime) * float64(time.Second))
		a.grantsValidUntil = max(a.grantsValidUntil, a.leader.confirmedAt+lifetime)
	}
}
