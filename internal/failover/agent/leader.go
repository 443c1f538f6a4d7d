package agent

import (
	"fmt"
	"time"

	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
	"spurwinch/internal/policy"
)

type pendingAck struct {
	call uint64
	to   int
	at   uint64
}

func (a *Agent) handleSum(h header, body []byte, stale bool, now time.Duration) {
	if a.voter == nil || !a.voter.Leads() || len(body) < 1 {
		return
	}
	s, err := failover.DecodeEvidenceSummary(body[1:])
	if err != nil || a.options.List.Node(h.from).Zone != s.Zone {
		a.Counts.Spoilt++
		return
	}
	a.observe(h.from, s, stale || body[0] == 1, now)
	if len(a.acks) < mostAcks {
		a.acks = append(a.acks, pendingAck{to: h.from, at: h.clock})
	}
}

func (a *Agent) observe(aggregator int, s failover.EvidenceSummary, stale bool, now time.Duration) {
	if a.planner != nil {
		a.planner.Observe(aggregator, s, stale, now)
		for _, w := range s.Nodes {
			if w.Policy != nil && w.Node >= 0 && w.Node < a.options.List.Len() && a.options.List.Node(w.Node).Zone == s.Zone {
				a.handlePolicy(w.Node, *w.Policy)
			}
		}
	}
}

// runLeader is what the voter that leads does from time to time.
func (a *Agent) runLeader(now time.Duration) {
	if a.voter == nil {
		return
	}
	if !a.voter.Leads() {
		a.stepDown()
		return
	}
	if a.planner == nil {
		a.beginToLead(now)
	}
	if a.isDue(&a.next.ack, ackEvery, now) && len(a.acks) > 0 {
		a.confirmAcks()
	}
	if a.isDue(&a.next.plan, planStep, now) {
		a.drivePolicy(now)
		a.proposePlan(now)
	}
}

// stepDown ends what a leader does.
func (a *Agent) stepDown() {
	if a.planner != nil {
		a.options.Log("fleet_leads_no_more", "term", a.voter.Term())
	}
	a.planner, a.acks = nil, nil
}

// beginToLead begins to make plans.
func (a *Agent) beginToLead(now time.Duration) {
	a.planner = failover.NewPlanner(a.options.List, a.rules(), a.planHistory, now)
	current, _ := a.newestPolicy()
	a.pol.lead(a.options.Policy, current.Number)
	if o, err := failover.DecodeOperatorOrders(a.follower.Newest(failover.OperatorOrdersKind).Data); err == nil {
		a.planner.ApplyOrders(o)
	}
	a.options.Log("fleet_leads", "term", a.voter.Term(), "plan", a.follower.Newest(failover.PlanKind).Number)
}

// confirmAcks has a majority confirm that this node leads; that answers all sums that came before.
func (a *Agent) confirmAcks() {
	call := a.voter.Confirm()
	for i := range a.acks {
		if a.acks[i].call == 0 {
			a.acks[i].call = call
		}
	}
}

// proposePlan proposes a plan where one is wanted.
func (a *Agent) proposePlan(now time.Duration) {
	p := a.planner.Step(now)
	if p == nil {
		return
	}
	err := a.voter.Propose(agree.Proposal{ID: fmt.Sprintf("plan-%08x-%d", a.process, micros(now)), Kind: failover.PlanKind,
		Replaces: a.follower.Newest(failover.PlanKind).Number, Data: p.Encode()})
	if err != nil {
		a.options.Log("fleet_plan_not_proposed", "error", err.Error())
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
		d := a.follower.Digest()
		if k.to == a.options.Self {
			a.extendLease(time.Duration(k.at)*time.Microsecond, a.follower.Newest(failover.PlanKind).Number, a.tellsPolicy())
			continue
		}
		a.send(k.to, ack, encode(ackBody{Answer: k.at, Digest: d, Policy: a.tellsPolicy()}), now)
	}
	a.acks = a.acks[n:]
}

// handleAck takes the answer to a sum, of the voter that leads.
func (a *Agent) handleAck(h header, body []byte, now time.Duration) {
	var k ackBody
	if a.options.List.Voter(h.from) < 0 || decoding.Unmarshal(body, &k) != nil {
		return
	}
	if sent, ok := a.peer(h.from).answered(k.Answer); ok {
		plan := uint64(0)
		for _, d := range k.Digest.Kinds {
			if d.Kind == failover.PlanKind {
				plan = d.Number
			}
		}
		a.extendLease(sent, plan, k.Policy)
	}
	a.fetchMissing(h.from, k.Digest, now)
}

// extendLease takes in that the one that leads was surely there at a time of this node's clock, with that newest plan and policy.
func (a *Agent) extendLease(at time.Duration, plan uint64, told policy.LeaderNotice) {
	if !a.leaderKnown || at > a.leaderSeen {
		a.pol.told = told
		a.leaderSeen, a.leaderKnown, a.leaderPlan = at, true, max(a.leaderPlan, plan)
	}
	if a.plan != nil && a.leaderPlan <= a.planNumber {
		a.lease = max(a.lease, a.leaderSeen+time.Duration(float64(a.plan.GrantLifetime)*float64(time.Second)))
	}
}
