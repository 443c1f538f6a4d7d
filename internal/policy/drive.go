package policy

import (
	"fmt"
	"time"
)

// Verdict is a member's answer to a check.
type Verdict uint8

const (
	VerdictPending Verdict = iota
	VerdictAccept
	VerdictReject
)

// MemberStatus is what a member says of the policy.
type MemberStatus struct {
	_            struct{} `cbor:",toarray"`
	Entry        uint64   // the state's entry that its disk has
	Verdict      Verdict  // on the change of that entry
	Reason       string   // of a no
	KnownNumber  uint64   // the newest number that its disk knows to be in force
	ServedNumber uint64   // the number that it serves under
	MayServe     bool     // it may serve: it has a lease and the document
	Arrived      float64  // requests since the process began
	Rejected     float64  // of these, turned away or failed
}

// Member is one of the list, as the one that leads knows it.
type Member struct {
	Name   string
	Node   int
	Zone   string
	Live   bool
	Heard  bool         // by this leader
	Status MemberStatus // the newest
}

// Rollout moves a change on, at the one that leads.
type Rollout struct {
	rules Rules
	entry uint64
	since time.Duration
	tried time.Duration // when the whole part served by the change; 0: not yet
	quiet time.Duration // since when somebody is waited for; 0: nobody is
	sums  map[int]*counts
}

type counted struct{ arrived, away float64 }

// counts are a member's when its part's trial began, and now. Two heads tell the same, and not in the same order.
type counts struct{ first, now counted }

// NewRollout begins to lead.
func NewRollout(r Rules) *Rollout { return &Rollout{rules: r, sums: map[int]*counts{}} }

// leastSeen is the number of requests that tell something of a trial.
const leastSeen = 20

// Observe counts what a member saw of a trial.
func (d *Rollout) Observe(node int, w MemberStatus) {
	if d.tried == 0 {
		return
	}
	c := d.sums[node]
	if c == nil {
		c = &counts{first: counted{w.Arrived, w.Rejected}}
		d.sums[node] = c
	}
	c.now = counted{max(c.now.arrived, w.Arrived), max(c.now.away, w.Rejected)}
}

// Step says what becomes of the change on its way; nil: nothing yet. doc is the change's document as this member reads it.
func (d *Rollout) Step(now time.Duration, entry uint64, s *State, doc *Document, members []Member) *State {
	c := s.Change
	if c == nil {
		return nil
	}
	if entry != d.entry {
		d.entry, d.since, d.tried, d.quiet = entry, now, 0, 0
		clear(d.sums)
	}
	silent := ""
	least := c.Number
	for _, m := range members {
		if m.Heard {
			least = min(least, m.Status.KnownNumber)
		} else {
			least = 0 // it may have any
		}
		if !m.Live {
			continue
		}
		w := m.Status
		switch {
		case !m.Heard || w.Entry != entry || w.Verdict == VerdictPending:
			if silent == "" {
				silent = m.Name
			}
		case w.Verdict == VerdictReject:
			return s.Abort(m.Name + ": " + w.Reason)
		}
	}
	if silent != "" { // in a trial too: one that came meanwhile has to answer
		if d.quiet == 0 {
			d.quiet = now
		}
		if now-d.quiet > d.rules.AnswerTimeout {
			return s.Abort(fmt.Sprintf("%s did not answer within %v", silent, d.rules.AnswerTimeout))
		}
		return nil
	}
	d.quiet = 0
	if c.Stage == StageChecking && c.Canary != (Canary{}) {
		return s.StartCanary()
	}
	if c.Stage == StageCanary {
		if end, next := d.watch(now, s, members); !end {
			return next
		}
	}
	if doc == nil || s.BasesFull(doc.Base) {
		return s.Abort("members that may still serve by older ground policies were not heard since")
	}
	return s.Commit(doc.Base, least)
}

// watch compares the part with the rest. end: it went well, and long enough.
func (d *Rollout) watch(now time.Duration, s *State, members []Member) (end bool, next *State) {
	c := s.Change
	var part, rest counted
	serving, all := 0, 0
	for _, m := range members {
		in := c.Canary.Includes(m.Node, m.Zone)
		if in && m.Live {
			all++
			if m.Status.MayServe && m.Status.ServedNumber == c.Number {
				serving++
			}
		}
		if x := d.sums[m.Node]; x != nil {
			to := &rest
			if in {
				to = &part
			}
			to.arrived, to.away = to.arrived+x.now.arrived-x.first.arrived, to.away+x.now.away-x.first.away
		}
	}
	if all == 0 {
		return false, s.Abort("no live member is of the part")
	}
	if d.tried == 0 {
		if serving == all {
			d.tried = now
		} else if now-d.since > d.rules.AnswerTimeout+d.rules.Window {
			return false, s.Abort(fmt.Sprintf("%d of the part's %d members serve by it after %v", serving, all, d.rules.AnswerTimeout+d.rules.Window))
		}
		return false, nil
	}
	share := func(x counted) float64 {
		if x.arrived == 0 {
			return 0
		}
		return x.away / x.arrived
	}
	if part.arrived >= leastSeen && share(part) > share(rest)+c.Canary.MaxExtraRejections {
		return false, s.Abort(fmt.Sprintf("on trial %.1f%% of %.0f requests were turned away, elsewhere %.1f%% of %.0f", 100*share(part), part.arrived,
			100*share(rest), rest.arrived))
	}
	return now-d.tried >= time.Duration(c.Canary.Seconds*float64(time.Second)), nil
}
