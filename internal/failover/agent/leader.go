package agent

import (
	"fmt"
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
)

// maxPendingAcks bounds the summaries that wait for a confirmation of leadership.
const maxPendingAcks = 4096

// pendingAck is a summary that the leader acknowledges once a majority has confirmed its leadership.
type pendingAck struct {
	confirmation uint64 // number of the voter's ConfirmLeadership call to wait for; 0: not called yet
	to           int
	summaryClock uint64
}

// tickLeader does the leader's periodic work that is due.
func (a *Agent) tickLeader(now time.Duration) {
	if a.voter == nil {
		return
	}
	if !a.voter.IsLeader() {
		a.stepDown()
		return
	}
	if a.planner == nil {
		a.becomeLeader(now)
	}
	if isDue(&a.schedule.confirm, confirmInterval, now) && len(a.pendingAcks) > 0 {
		a.confirmLeadership()
	}
	if isDue(&a.schedule.plan, failover.StepInterval, now) {
		a.advanceRollout(now)
		a.proposePlan(now)
	}
}

// becomeLeader starts the planner and the rollout of policy changes.
func (a *Agent) becomeLeader(now time.Duration) {
	a.startPlanner(now)
	a.startRollouts()
	a.options.Log("fleet_leads", "term", a.voter.Term(), "plan", a.follower.Newest(failover.PlanKind).Index)
}

// startPlanner creates a planner with the rules of the policy in force and the operators' orders.
func (a *Agent) startPlanner(now time.Duration) {
	a.planner = failover.NewPlanner(a.options.List, a.planRules(), a.planHistory, now)
	orders, err := failover.DecodeOperatorOrders(a.follower.Newest(failover.OperatorOrdersKind).Data)
	if err == nil { // the log has an entry with orders, and this version can decode it
		a.planner.ApplyOrders(orders)
	}
}

// stepDown discards the planner and the summaries that still have to be acknowledged.
func (a *Agent) stepDown() {
	if a.planner != nil {
		a.options.Log("fleet_stepped_down", "term", a.voter.Term())
	}
	a.planner = nil
	a.pendingAcks = nil
}

// proposePlan proposes the planner's next plan, if there is one.
func (a *Agent) proposePlan(now time.Duration) {
	plan := a.planner.Step(now)
	if plan == nil {
		return
	}
	err := a.voter.Propose(consensus.Proposal{
		ID:       fmt.Sprintf("plan-%08x-%d", a.incarnation, microseconds(now)),
		Kind:     failover.PlanKind,
		Replaces: a.follower.Newest(failover.PlanKind).Index,
		Data:     plan.Encode(),
	})
	if err != nil {
		a.options.Log("fleet_plan_not_proposed", "error", err.Error())
	}
}

// handleSummary processes an aggregator's summary of its zone, if this node is the leader.
func (a *Agent) handleSummary(head header, body []byte, stale bool, now time.Duration) {
	if a.voter == nil || !a.voter.IsLeader() || len(body) < 1 {
		return
	}
	summary, err := failover.DecodeEvidenceSummary(body[1:])
	if err != nil || a.options.List.Node(head.from).Zone != summary.Zone {
		a.Counts.Corrupt++
		return
	}
	a.observeSummary(head.from, summary, stale || body[0] == 1, now)
	if len(a.pendingAcks) < maxPendingAcks {
		a.pendingAcks = append(a.pendingAcks, pendingAck{to: head.from, summaryClock: head.clock})
	}
}

// observeSummary passes a zone's evidence to the planner and to the rollout of policy changes, if this node is the
// leader.
func (a *Agent) observeSummary(aggregator int, summary failover.EvidenceSummary, stale bool, now time.Duration) {
	if a.planner == nil {
		return
	}
	a.planner.Observe(aggregator, summary, stale, now)
	list := a.options.List
	for _, status := range summary.Nodes {
		if status.Policy == nil || status.Node < 0 || status.Node >= list.Len() {
			continue
		}
		if list.Node(status.Node).Zone == summary.Zone {
			a.observePolicyStatus(status.Node, *status.Policy)
		}
	}
}

// confirmLeadership requests a majority's confirmation that this node is the leader. The confirmation covers all
// summaries that the node has received so far.
func (a *Agent) confirmLeadership() {
	confirmation := a.voter.ConfirmLeadership()
	for i := range a.pendingAcks {
		if a.pendingAcks[i].confirmation == 0 {
			a.pendingAcks[i].confirmation = confirmation
		}
	}
}

// acknowledgeSummaries acknowledges the summaries for which a majority has confirmed this node's leadership.
func (a *Agent) acknowledgeSummaries(now time.Duration) {
	acknowledged := 0
	for _, pending := range a.pendingAcks {
		if pending.confirmation == 0 || pending.confirmation > a.voter.ConfirmedCall() {
			break
		}
		acknowledged++
		if pending.to == a.options.Self {
			confirmedAt := time.Duration(pending.summaryClock) * time.Microsecond
			a.confirmLeader(confirmedAt, a.follower.Newest(failover.PlanKind).Index, a.leaderNotice())
			continue
		}
		ack := summaryAck{SummaryClock: pending.summaryClock, Log: a.follower.Digest(), Notice: a.leaderNotice()}
		a.send(pending.to, kindSummaryAck, encode(ack), now)
	}
	a.pendingAcks = a.pendingAcks[acknowledged:]
}
