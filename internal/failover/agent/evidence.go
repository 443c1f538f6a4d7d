package agent

import (
	"cmp"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/failover"
)

type told struct {
	sum   failover.Sum
	at    time.Duration
	fresh bool // not in a sum yet
	stale bool
}

// Wants says that it is time for what the module saw: Tell is to be called.
func (a *Agent) Wants(now time.Duration) bool { return now >= a.next.look }

// Tell takes what the module saw since the last call.
func (a *Agent) Tell(n choice.News, now time.Duration) {
	a.due(&a.next.look, lookEvery, now)
	a.seen = failover.Since(a.seen, n)
	if a.due(&a.next.evidence, evidenceEvery, now) {
		a.tell(a.seen, now)
		a.seen = choice.News{}
	}
	a.borrow(n, now)
	a.work(now)
}

// tell sends evidence to the heads of this zone.
func (a *Agent) tell(n choice.News, now time.Duration) {
	s := failover.Tell(a.zone, a.o.Classes, n, failover.Word{Node: a.o.Self, Plan: a.number, Silent: a.watch.Silent(now),
		Policy: a.policyWord(now)})
	body := s.Encode()
	chosen := a.heads(now)
	if len(chosen) < heads || slices.Contains(chosen, a.o.Self) {
		a.hold(a.o.Self, s, false, now)
	}
	for _, h := range chosen {
		if h == a.o.Self {
			continue
		}
		p := a.peer(h)
		at := a.send(h, evidence, body, now)
		if p.sent == 0 {
			p.sent = now
		}
		if p.asked == nil || len(p.asked) > 32 {
			p.asked = map[uint64]time.Duration{}
		}
		p.asked[at] = now
	}
}

// heads are the nodes of this zone that sum its evidence now, as this node sees it: the first ones in an order that is the same for all,
// of those that answer.
func (a *Agent) heads(now time.Duration) (chosen []int) {
	for _, h := range a.order() {
		p := a.peer(h)
		if h != a.o.Self {
			if p.sent > 0 && now-p.sent > deafAfter && p.deaf == 0 {
				p.deaf = now
			}
			if p.deaf > 0 {
				if now-p.deaf < retryHead {
					continue
				}
				p.deaf, p.sent = 0, 0 // it may be back: one more go
			}
		}
		if chosen = append(chosen, h); len(chosen) == heads {
			break
		}
	}
	return chosen
}

func (a *Agent) order() []int {
	all := slices.Clone(a.o.List.InZone(a.zone))
	slices.SortFunc(all, func(x, y int) int { return cmp.Compare(a.o.List.Key(x, x), a.o.List.Key(y, y)) })
	return all
}

func (a *Agent) hold(node int, s failover.Sum, stale bool, now time.Duration) {
	old := a.told[node]
	if old != nil && old.fresh { // what is not in a sum yet goes into the next one
		add := func(to, from []float32) {
			for i := range min(len(to), len(from)) {
				to[i] += from[i]
			}
		}
		if slices.Equal(old.sum.Classes, s.Classes) {
			add(s.Arrived, old.sum.Arrived)
			add(s.Refused, old.sum.Refused)
		}
		for i, r := range s.Rows {
			for _, q := range old.sum.Rows {
				if q.Zone == r.Zone {
					s.Rows[i].Attempts, s.Rows[i].Failed = r.Attempts+q.Attempts, r.Failed+q.Failed
				}
			}
		}
	}
	a.told[node] = &told{sum: s, at: now, fresh: true, stale: stale}
}

func (a *Agent) hearEvidence(h header, body []byte, stale bool, now time.Duration) {
	s, err := failover.DecodeSum(body)
	if err != nil || s.Zone != a.zone || len(s.Words) != 1 || s.Words[0].Node != h.from {
		a.Counts.Spoilt++
		return
	}
	a.hold(h.from, s, stale, now)
	w := wordBody{Answer: h.clock, Age: -1, Plan: a.ackPlan, Digest: a.follow.Digest(), Policy: a.pol.told}
	if a.leadNow {
		w.Age = int64((now - a.lead) / time.Microsecond)
	}
	a.send(h.from, word, encode(w), now)
}

func (a *Agent) hearWord(h header, body []byte, now time.Duration) {
	var w wordBody
	if decoding.Unmarshal(body, &w) != nil {
		return
	}
	p := a.peer(h.from)
	at, ok := p.asked[w.Answer]
	if !ok {
		return // of an evidence that was not sent, or answered before
	}
	delete(p.asked, w.Answer)
	p.sent, p.deaf = 0, 0
	if w.Age >= 0 {
		// The one that leads was there when this evidence left, less the age that the head tells: the way back is on the safe side.
		a.led(at-time.Duration(w.Age)*time.Microsecond, w.Plan, w.Policy)
	}
	a.lacks(h.from, w.Digest, now)
}

// sendSum tells the voters what this node knows of its zone.
func (a *Agent) sendSum(now time.Duration) {
	var all failover.Sum
	stale := true
	for _, i := range a.o.List.InZone(a.zone) {
		t := a.told[i]
		if t == nil || now-t.at > heardFor {
			delete(a.told, i)
			continue
		}
		s := t.sum
		if !t.fresh {
			s.Arrived, s.Refused = make([]float32, len(s.Classes)), make([]float32, len(s.Classes))
			s.Rows = slices.Clone(s.Rows)
			for k := range s.Rows {
				s.Rows[k].Attempts, s.Rows[k].Failed = 0, 0
			}
		}
		if t.stale { // it shows who is there
			s.Rows = nil
		} else {
			stale = false
		}
		t.fresh = false
		if all.Zone == "" {
			all.Zone = a.zone
		}
		all.Add(s)
	}
	if all.Zone == "" {
		return
	}
	body := append([]byte{0}, all.Encode()...)
	if stale {
		body[0] = 1
	}
	for _, v := range a.o.List.Voters() {
		if v == a.o.Self {
			a.leaderHears(a.o.Self, all, stale, now)
			a.acks = append(a.acks, due{to: v, at: micros(now)})
			continue
		}
		p := a.peer(v)
		at := a.send(v, sum, body, now)
		if p.asked == nil || len(p.asked) > 32 {
			p.asked = map[uint64]time.Duration{}
		}
		p.asked[at] = now
	}
}
