package agent

import (
	"cmp"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/failover"
)

// aggregatorsPerZone is the number of aggregators to which a node sends its evidence.
const aggregatorsPerZone = 2

// WantsObservations reports whether a call of Observe is due.
func (a *Agent) WantsObservations(now time.Duration) bool { return now >= a.schedule.observe }

// Observe processes the load balancer's observations since the last call. It sends evidence to the aggregators and
// requests capacity leases.
func (a *Agent) Observe(observations choice.Observations, now time.Duration) {
	isDue(&a.schedule.observe, observeInterval, now) // schedules the next call
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
		aggregator.recordSendTime(clock, now)
	}
}

// aggregators returns the nodes of this zone to which this node currently sends its evidence. They are the first nodes
// that respond to this node, in an order that is the same for all nodes. This node itself may be one of them.
func (a *Agent) aggregators(now time.Duration) (chosen []int) {
	for _, node := range a.aggregatorOrder() {
		if node != a.options.Self && a.peer(node).shouldSkip(now) {
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
	slices.SortFunc(nodes, func(x, y int) int {
		return cmp.Compare(list.RendezvousHash(x, x), list.RendezvousHash(y, y))
	})
	return nodes
}

// handleEvidenceAck processes an aggregator's reply to evidence, which says when the leader was last confirmed.
func (a *Agent) handleEvidenceAck(head header, ack evidenceAck, now time.Duration) {
	aggregator := a.peer(head.from)
	sentAt, ok := aggregator.takeSendTime(ack.EvidenceClock)
	if !ok {
		return
	}
	aggregator.unansweredSince = 0
	aggregator.unresponsiveSince = 0
	if ack.LeaderAge >= 0 {
		// Subtracting the age from the send time, not from the reply's arrival, errs on the safe side: the leader was
		// confirmed at this time or later.
		confirmedAt := sentAt - time.Duration(ack.LeaderAge)*time.Microsecond
		a.confirmLeader(confirmedAt, ack.LeaderPlan, ack.Notice)
	}
	a.fetchMissing(head.from, ack.Log, now)
}
