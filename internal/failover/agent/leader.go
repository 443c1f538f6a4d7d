package agent

import (
	"fmt"
	"time"

	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
	"spurwinch/internal/policy"
)

type due struct {
	call uint64
	to   int
	at   uint64
}

func (a *Agent) hearSum(h header, body []byte, stale bool, now time.Duration) {
	if a.voter == nil || !a.voter.Leads() || len(body) < 1 {
		return
	}
	s, err := failover.DecodeSum(body[1:])
	if err != nil || a.o.List.Node(h.from).Zone != s.Zone {
		a.Counts.Spoilt++
		return
	}
	a.leaderHears(h.from, s, stale || body[0] == 1, now)
	if len(a.acks) < 4096 {
		a.acks = append(a.acks, due{to: h.from, at: h.clock})
	}
}

func (a *Agent) leaderHears(head int, s failover.Sum, stale bool, now time.Duration) {
	if a.planner != nil {
		a.planner.Observe(head, s, stale, now)
		for _, w := range s.Words {
			if w.Policy != nil && w.Node >= 0 && w.Node < a.o.List.Len() && a.o.List.Node(w.Node).Zone == s.Zone {
				a.hearPolicy(w.Node, *w.Policy)
			}
		}
	}
}

// leadOn is what the voter that leads does from time to time.
func (a *Agent) leadOn(now time.Duration) {
	if a.voter == nil {
		return
	}
	if !a.voter.Leads() {
		if a.planner != nil {
			a.o.Log("fleet_leads_no_more", "term", a.voter.Term())
		}
		a.planner, a.acks = nil, nil
		return
	}
	if a.planner == nil {
		e := a.follow.Newest(failover.PlanKind)
		a.planner = failover.NewPlanner(a.o.List, a.rules(), a.knows, now)
		current, _ := a.newestPolicy()
		a.pol.lead(a.o.Policy, current.Number)
		if o, err := failover.DecodeOrders(a.follow.Newest(failover.OrdersKind).Data); err == nil {
			a.planner.Order(o)
		}
		a.o.Log("fleet_leads", "term", a.voter.Term(), "plan", e.Number)
	}
	if a.due(&a.next.ack, ackEvery, now) && len(a.acks) > 0 {
		call := a.voter.Confirm()
		for i := range a.acks {
			if a.acks[i].call == 0 {
				a.acks[i].call = call
			}
		}
	}
	if a.due(&a.next.plan, planStep, now) {
		a.drivePolicy(now)
		if p := a.planner.Step(now); p != nil {
			err := a.voter.Propose(agree.Proposal{ID: fmt.Sprintf("plan-%08x-%d", a.process, micros(now)), Kind: failover.PlanKind,
				Replaces: a.follow.Newest(failover.PlanKind).Number, Data: p.Encode()})
			if err != nil {
				a.o.Log("fleet_plan_not_proposed", "error", err.Error())
			}
		}
	}
}

// acknowledge answers the sums that came before a confirmed call.
func (a *Agent) acknowledge(now time.Duration) {
	n := 0
	for _, k := range a.acks {
		if k.call == 0 || k.call > a.voter.Confirmed() {
			break
		}
		n++
		d := a.follow.Digest()
		if k.to == a.o.Self {
			a.led(time.Duration(k.at)*time.Microsecond, a.follow.Newest(failover.PlanKind).Number, a.tellsPolicy())
			continue
		}
		a.send(k.to, ack, encode(ackBody{Answer: k.at, Digest: d, Policy: a.tellsPolicy()}), now)
	}
	a.acks = a.acks[n:]
}

func (a *Agent) hearAck(h header, body []byte, now time.Duration) {
	var k ackBody
	if a.o.List.Voter(h.from) < 0 || decoding.Unmarshal(body, &k) != nil {
		return
	}
	p := a.peer(h.from)
	if at, ok := p.asked[k.Answer]; ok {
		delete(p.asked, k.Answer)
		plan := uint64(0)
		for _, d := range k.Digest.Kinds {
			if d.Kind == failover.PlanKind {
				plan = d.Number
			}
		}
		a.led(at, plan, k.Policy)
	}
	a.lacks(h.from, k.Digest, now)
}

// led takes in that the one that leads was surely there at a time of this node's clock, with that newest plan and policy.
func (a *Agent) led(at time.Duration, plan uint64, told policy.Told) {
	if !a.leadNow || at > a.lead {
		a.pol.told = told
		a.lead, a.leadNow, a.ackPlan = at, true, max(a.ackPlan, plan)
	}
	if a.plan != nil && a.ackPlan <= a.number {
		a.lease = max(a.lease, a.lead+time.Duration(float64(a.plan.Life)*float64(time.Second)))
	}
}
