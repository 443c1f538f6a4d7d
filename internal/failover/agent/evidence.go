package agent

import (
	"cmp"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/failover"
)

// aggregatorsPerZone is the number of aggregators that a node sends its evidence.
const aggregatorsPerZone = 2

// WantsObservations says whether Observe is due.
func (a *Agent) WantsObservations(now time.Duration) bool { return now >= a.schedule.observe }

// Observe processes what the load balancer observed since the last call: evidence for the aggregators and demand for
// capacity leases.
func (a *Agent) Observe(observations choice.Observations, now time.Duration) {
	isDue(&a.schedule.observe, observeInterval, now) // moves the time of the next call on
	a.observed = failover.Accumulate(a.observed, observations)
	if isDue(&a.schedule.evidence, evidenceInterval, now) {
		a.sendEvidence(a.observed, now)
		a.observed = choice.Observations{}
	}
	a.requestLeases(observations, now)
	a.advance(now)
}

// sendEvidence sends this node's evidence to the aggregators of its zone.
func (a *Agent) sendEvidence(observations choice.Observations, now time.Duration) {
	evidence := failover.Summarize(a.zone, a.options.Classes, observations, failover.NodeStatus{
		Node:        a.options.Self,
		Plan:        a.planNumber,
		Unreachable: a.detector.Unreachable(now),
		Policy:      a.policyStatus(now),
	})
	body := evidence.Encode()
	aggregators := a.aggregators(now)
	if len(aggregators) < aggregatorsPerZone || slices.Contains(aggregators, a.options.Self) {
		a.storeEvidence(a.options.Self, evidence, false, now)
	}
	for _, node := range aggregators {
		if node == a.options.Self {
			continue
		}
		aggregator := a.peer(node)
		clock := a.send(node, kindEvidence, body, now)
		if aggregator.unansweredSince == 0 {
			aggregator.unansweredSince = now
		}
		aggregator.awaitAnswer(clock, now)
	}
}

// aggregators are the nodes of this zone that aggregate its evidence now, as this node sees it: the first ones that
// answer, in an order that is the same for all nodes.
func (a *Agent) aggregators(now time.Duration) (chosen []int) {
	for _, node := range a.aggregatorOrder() {
		if node != a.options.Self && a.peer(node).isPassedOver(now) {
			continue
		}
		chosen = append(chosen, node)
		if len(chosen) == aggregatorsPerZone {
			break
		}
	}
	return chosen
}

func (a *Agent) aggregatorOrder() []int {
	list := a.options.List
	nodes := slices.Clone(list.InZone(a.zone))
	slices.SortFunc(nodes, func(x, y int) int { return cmp.Compare(list.Key(x, x), list.Key(y, y)) })
	return nodes
}

// handleEvidenceAck processes an aggregator's answer to evidence: when the leader was last confirmed.
func (a *Agent) handleEvidenceAck(head header, ack evidenceAck, now time.Duration) {
	aggregator := a.peer(head.from)
	sentAt, ok := aggregator.answered(ack.EvidenceClock)
	if !ok {
		return
	}
	aggregator.unansweredSince = 0
	aggregator.unresponsiveSince = 0
	if ack.LeaderAge >= 0 {
		// Counted from when the evidence was sent, not from when the answer came: that errs on the safe side.
		confirmedAt := sentAt - time.Duration(ack.LeaderAge)*time.Microsecond
		a.confirmLeader(confirmedAt, ack.LeaderPlan, ack.Notice)
	}
	a.fetchMissing(head.from, ack.Log, now)
}
