package agent

import (
	"cmp"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/failover"
)

type report struct {
	sum   failover.EvidenceSummary
	at    time.Duration
	fresh bool // not in a sum yet
	stale bool
}

// Wants says that it is time for what the module saw: Tell is to be called.
func (a *Agent) Wants(now time.Duration) bool { return now >= a.next.look }

// Observe takes what the module saw since the last call.
func (a *Agent) Observe(n choice.Observations, now time.Duration) {
	a.isDue(&a.next.look, lookEvery, now)
	a.news = failover.Accumulate(a.news, n)
	if a.isDue(&a.next.evidence, evidenceEvery, now) {
		a.sendEvidence(a.news, now)
		a.news = choice.Observations{}
	}
	a.borrow(n, now)
	a.advance(now)
}

// sendEvidence sends evidence to the nodes of this zone that sum it.
func (a *Agent) sendEvidence(n choice.Observations, now time.Duration) {
	s := failover.Summarize(a.zone, a.options.Classes, n, failover.NodeStatus{Node: a.options.Self, Plan: a.planNumber, Unreachable: a.watch.Silent(now),
		Policy: a.policyWord(now)})
	body := s.Encode()
	chosen := a.aggregators(now)
	if len(chosen) < aggregatorsPerZone || slices.Contains(chosen, a.options.Self) {
		a.storeReport(a.options.Self, s, false, now)
	}
	for _, to := range chosen {
		if to == a.options.Self {
			continue
		}
		p := a.peer(to)
		clock := a.send(to, evidence, body, now)
		if p.sent == 0 {
			p.sent = now
		}
		p.expect(clock, now)
	}
}

// aggregators are the nodes of this zone that sum its evidence now, as this node sees it: the first ones in an order that is the same for all,
// of those that answer.
func (a *Agent) aggregators(now time.Duration) (chosen []int) {
	for _, node := range a.aggregatorOrder() {
		if node != a.options.Self && a.peer(node).passedOver(now) {
			continue
		}
		if chosen = append(chosen, node); len(chosen) == aggregatorsPerZone {
			break
		}
	}
	return chosen
}

// passedOver says whether a peer that is sent evidence has not answered for so long that another one is sent it. From time to time it is tried
// again.
func (p *peer) passedOver(now time.Duration) bool {
	if p.sent > 0 && now-p.sent > deafAfter && p.deaf == 0 {
		p.deaf = now
	}
	if p.deaf == 0 {
		return false
	}
	if now-p.deaf < retryAggregator {
		return true
	}
	p.deaf, p.sent = 0, 0
	return false
}

func (a *Agent) aggregatorOrder() []int {
	all := slices.Clone(a.options.List.InZone(a.zone))
	slices.SortFunc(all, func(x, y int) int { return cmp.Compare(a.options.List.Key(x, x), a.options.List.Key(y, y)) })
	return all
}

// storeReport keeps a node's evidence for the next sum. What was counted before and is in no sum yet is added to it.
func (a *Agent) storeReport(node int, s failover.EvidenceSummary, stale bool, now time.Duration) {
	if old := a.reports[node]; old != nil && old.fresh {
		addCounted(&s, old.sum)
	}
	a.reports[node] = &report{sum: s, at: now, fresh: true, stale: stale}
}

// addCounted adds what evidence counts since the last one: arrivals, refusals and attempts. What stands is as it was told last.
func addCounted(s *failover.EvidenceSummary, old failover.EvidenceSummary) {
	if slices.Equal(old.Classes, s.Classes) {
		addEach(s.Arrived, old.Arrived)
		addEach(s.Rejected, old.Rejected)
	}
	for i := range s.Zones {
		row := &s.Zones[i]
		for _, before := range old.Zones {
			if before.Zone == row.Zone {
				row.Attempts += before.Attempts
				row.Failed += before.Failed
			}
		}
	}
}

func addEach(to, from []float32) {
	for i := range min(len(to), len(from)) {
		to[i] += from[i]
	}
}

// withoutCounted is evidence without what it counts, which a sum has already.
func withoutCounted(s failover.EvidenceSummary) failover.EvidenceSummary {
	s.Arrived, s.Rejected = make([]float32, len(s.Classes)), make([]float32, len(s.Classes))
	s.Zones = slices.Clone(s.Zones)
	for i := range s.Zones {
		s.Zones[i].Attempts, s.Zones[i].Failed = 0, 0
	}
	return s
}

func (a *Agent) handleEvidence(h header, body []byte, stale bool, now time.Duration) {
	s, err := failover.DecodeEvidenceSummary(body)
	if err != nil || s.Zone != a.zone || len(s.Nodes) != 1 || s.Nodes[0].Node != h.from {
		a.Counts.Spoilt++
		return
	}
	a.storeReport(h.from, s, stale, now)
	w := wordBody{Answer: h.clock, Age: -1, Plan: a.leaderPlan, Digest: a.follower.Digest(), Policy: a.pol.told}
	if a.leaderKnown {
		w.Age = int64((now - a.leaderSeen) / time.Microsecond)
	}
	a.send(h.from, word, encode(w), now)
}

// handleWord takes the answer to evidence: when the one that leads was last there.
func (a *Agent) handleWord(h header, body []byte, now time.Duration) {
	var w wordBody
	if decoding.Unmarshal(body, &w) != nil {
		return
	}
	p := a.peer(h.from)
	sent, ok := p.answered(w.Answer)
	if !ok {
		return
	}
	p.sent, p.deaf = 0, 0
	if w.Age >= 0 {
		// The one that leads was there when this evidence left, less the age that the answer tells: the way back is on the safe side.
		a.extendLease(sent-time.Duration(w.Age)*time.Microsecond, w.Plan, w.Policy)
	}
	a.fetchMissing(h.from, w.Digest, now)
}

// sendSum tells the voters what this node knows of its zone.
func (a *Agent) sendSum(now time.Duration) {
	all, stale, ok := a.sumReports(now)
	if !ok {
		return
	}
	body := append([]byte{0}, all.Encode()...)
	if stale {
		body[0] = 1
	}
	for _, voter := range a.options.List.Voters() {
		if voter == a.options.Self {
			a.observe(a.options.Self, all, stale, now)
			a.acks = append(a.acks, pendingAck{to: voter, at: micros(now)})
			continue
		}
		clock := a.send(voter, sum, body, now)
		a.peer(voter).expect(clock, now)
	}
}

// sumReports sums the evidence of this zone's nodes. stale says that all of it was long on its way, ok that there is any.
func (a *Agent) sumReports(now time.Duration) (all failover.EvidenceSummary, stale, ok bool) {
	stale = true
	for _, node := range a.options.List.InZone(a.zone) {
		r := a.reports[node]
		if r == nil || now-r.at > heardFor {
			delete(a.reports, node)
			continue
		}
		s := r.sum
		if !r.fresh {
			s = withoutCounted(s)
		}
		if r.stale { // it shows who is there
			s.Zones = nil
		} else {
			stale = false
		}
		r.fresh = false
		all.Zone, ok = a.zone, true
		all.Add(s)
	}
	return all, stale, ok
}
