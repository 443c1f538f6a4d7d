package agent

import (
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
	"spurwinch/internal/policy"
)

// leaderContact is the newest proof that the fleet has a leader. All leases of this node, to serve by a policy and to
// use grants in other zones, run from it.
type leaderContact struct {
	known       bool
	confirmedAt time.Duration       // when the leader surely led, by this node's clock
	plan        uint64              // its newest plan then
	notice      policy.LeaderNotice // its notice of the policy then
}

// handleSummaryAck processes the leader's answer to a summary.
func (a *Agent) handleSummaryAck(head header, ack summaryAck, now time.Duration) {
	if a.options.List.Voter(head.from) < 0 {
		return
	}
	if sentAt, ok := a.peer(head.from).answered(ack.SummaryClock); ok {
		a.confirmLeader(sentAt, planNumberIn(ack.Log), ack.Notice)
	}
	a.fetchMissing(head.from, ack.Log, now)
}

// planNumberIn is the number of the newest plan that a digest names; 0: none.
func planNumberIn(digest consensus.Digest) (number uint64) {
	for _, kind := range digest.Kinds {
		if kind.Kind == failover.PlanKind {
			number = kind.Index
		}
	}
	return number
}

// confirmLeader records that the leader surely led at a time of this node's clock, with that newest plan and notice. It
// extends the validity of grants into other zones, unless there is a plan that this node doesn't have yet.
func (a *Agent) confirmLeader(at time.Duration, plan uint64, notice policy.LeaderNotice) {
	if !a.leader.known || at > a.leader.confirmedAt {
		a.leader = leaderContact{known: true, confirmedAt: at, plan: max(a.leader.plan, plan), notice: notice}
	}
	if a.plan != nil && a.leader.plan <= a.planNumber {
		lifetime := time.Duration(float64(a.plan.GrantLifetime) * float64(time.Second))
		a.grantsValidUntil = max(a.grantsValidUntil, a.leader.confirmedAt+lifetime)
	}
}
