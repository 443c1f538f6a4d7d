package agent

import (
	"slices"
	"time"

	"spurwinch/internal/failover"
)

// peerTimeout is how long evidence is valid. It is also how long a node that has sent evidence or a summary receives
// new log entries from the receiver.
const peerTimeout = 2500 * time.Millisecond

// nodeEvidence is the newest evidence from a node, stored by an aggregator of the node's zone.
type nodeEvidence struct {
	evidence failover.EvidenceSummary
	at       time.Duration // when the evidence arrived
	fresh    bool          // the evidence is not in a summary yet
	stale    bool          // the evidence may have been delayed in the network
}

// handleEvidence stores a node's evidence and replies with what this aggregator knows about the leader and the log.
func (a *Agent) handleEvidence(head header, body []byte, stale bool, now time.Duration) {
	evidence, err := failover.DecodeEvidenceSummary(body)
	if err != nil || evidence.Zone != a.zone || len(evidence.Nodes) != 1 || evidence.Nodes[0].Node != head.from {
		a.Counts.Corrupt++
		return
	}
	a.storeEvidence(head.from, evidence, stale, now)
	ack := evidenceAck{
		EvidenceClock: head.clock,
		LeaderAge:     -1,
		LeaderPlan:    a.leader.plan,
		Log:           a.follower.Digest(),
		Notice:        a.leader.notice,
	}
	if a.leader.known {
		ack.LeaderAge = int64((now - a.leader.confirmedAt) / time.Microsecond)
	}
	a.send(head.from, kindEvidenceAck, encode(ack), now)
}

// storeEvidence stores a node's evidence for the next summary. It adds the counts of the node's earlier evidence if no
// summary includes them yet.
func (a *Agent) storeEvidence(node int, evidence failover.EvidenceSummary, stale bool, now time.Duration) {
	if before := a.evidence[node]; before != nil && before.fresh {
		addCounters(&evidence, before.evidence)
	}
	a.evidence[node] = &nodeEvidence{evidence: evidence, at: now, fresh: true, stale: stale}
}

// sendSummary sends the voters a summary of the evidence that this node has collected as an aggregator of its zone.
func (a *Agent) sendSummary(now time.Duration) {
	summary, stale, ok := a.summarizeZone(now)
	if !ok {
		return
	}
	body := append([]byte{0}, summary.Encode()...)
	if stale {
		body[0] = 1
	}
	for _, voter := range a.options.List.Voters() {
		if voter == a.options.Self {
			a.observeSummary(a.options.Self, summary, stale, now)
			a.pendingAcks = append(a.pendingAcks, pendingAck{to: voter, summaryClock: microseconds(now)})
			continue
		}
		clock := a.send(voter, kindSummary, body, now)
		a.peer(voter).recordSendTime(clock, now)
	}
}

// summarizeZone adds up the evidence of this zone's nodes. stale is true if all of the evidence may have been delayed
// in the network; ok is false if there is no valid evidence.
func (a *Agent) summarizeZone(now time.Duration) (summary failover.EvidenceSummary, stale, ok bool) {
	stale = true
	for _, node := range a.options.List.InZone(a.zone) {
		known := a.evidence[node]
		if known == nil || now-known.at > peerTimeout {
			delete(a.evidence, node)
			continue
		}
		evidence := known.evidence
		if !known.fresh {
			evidence = withoutCounters(evidence)
		}
		if known.stale { // only the node's status is used
			evidence.Zones = nil
		} else {
			stale = false
		}
		known.fresh = false
		summary.Zone = a.zone
		summary.Add(evidence)
		ok = true
	}
	return summary, stale, ok
}

// addCounters adds the counters of earlier evidence to newer evidence: arrivals, rejections, attempts and failures.
// Current values, such as loads and capacities, stay as in the newer evidence.
func addCounters(evidence *failover.EvidenceSummary, before failover.EvidenceSummary) {
	if slices.Equal(before.Classes, evidence.Classes) {
		addEach(evidence.Arrived, before.Arrived)
		addEach(evidence.Rejected, before.Rejected)
	}
	for i := range evidence.Zones {
		zone := &evidence.Zones[i]
		for _, old := range before.Zones {
			if old.Zone == zone.Zone {
				zone.Attempts += old.Attempts
				zone.Failed += old.Failed
			}
		}
	}
}

func addEach(to, from []float32) {
	for i := range min(len(to), len(from)) {
		to[i] += from[i]
	}
}

// withoutCounters returns evidence with its counters set to zero, for evidence whose counters are in a summary already.
func withoutCounters(evidence failover.EvidenceSummary) failover.EvidenceSummary {
	evidence.Arrived = make([]float32, len(evidence.Classes))
	evidence.Rejected = make([]float32, len(evidence.Classes))
	evidence.Zones = slices.Clone(evidence.Zones)
	for i := range evidence.Zones {
		evidence.Zones[i].Attempts = 0
		evidence.Zones[i].Failed = 0
	}
	return evidence
}
