package agent

import (
	"fmt"
	"slices"
	"time"

	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
)

// fetchMissing asks another node for what it has and this one doesn't.
func (a *Agent) fetchMissing(from int, d agree.Digest, now time.Duration) {
	kinds, err := a.follower.Lacks(d)
	if err != nil {
		a.options.Log("fleet_log_conflict", "from", a.options.List.Node(from).Name, "error", err.Error())
		return
	}
	if len(kinds) > 0 {
		a.send(from, fetch, encode(kinds), now)
	}
}

func (a *Agent) sendEntry(to int, k agree.Kind, now time.Duration) {
	if e := a.follower.Newest(k); e.Number > 0 {
		a.send(to, give, encode(giveBody{Log: a.follower.Log(), Entry: e}), now)
	}
}

// acceptEntry takes an entry in and passes it on: an aggregator to the nodes that send it evidence, the one that leads to the aggregators.
func (a *Agent) acceptEntry(log uint64, e agree.Entry, from int, now time.Duration) {
	taken, err := a.follower.Apply(log, e)
	if err != nil {
		name := "its own log"
		if from >= 0 {
			name = a.options.List.Node(from).Name
		}
		a.options.Log("fleet_log_conflict", "from", name, "error", err.Error())
		return
	}
	if !taken {
		return
	}
	a.unsaved = true
	switch e.Kind {
	case failover.PlanKind:
		if !a.acceptPlan(e, now) {
			return
		}
	case failover.OperatorOrdersKind:
		a.acceptOrders(e)
	}
	body := encode(giveBody{Log: log, Entry: e})
	for _, to := range a.subscribers(now) {
		if to != from {
			a.send(to, give, body, now)
		}
	}
	a.updateMode(now)
}

// acceptPlan keeps a plan in mind; the node goes by it when its disk has it. It says whether the plan can be read.
func (a *Agent) acceptPlan(e agree.Entry, now time.Duration) bool {
	p, err := failover.DecodePlan(e.Data)
	if err != nil {
		a.options.Log("fleet_plan_unreadable", "number", e.Number, "error", err.Error())
		return false
	}
	a.planHistory.Add(e.Number, p, now)
	if a.planner != nil {
		a.planner.ApplyPlan(e.Number, p, now)
	}
	return true
}

// acceptOrders tells the planner what operators have ordered.
func (a *Agent) acceptOrders(e agree.Entry) {
	if o, err := failover.DecodeOperatorOrders(e.Data); err == nil && a.planner != nil {
		a.planner.ApplyOrders(o)
	}
	a.options.Log("fleet_orders_taken", "number", e.Number)
}

// handleFetch sends the entries that another node asks for.
func (a *Agent) handleFetch(h header, body []byte, now time.Duration) {
	var kinds []agree.Kind
	if decoding.Unmarshal(body, &kinds) != nil {
		return
	}
	for _, k := range kinds[:min(len(kinds), agree.MostKinds)] {
		a.sendEntry(h.from, k, now)
	}
}

// adoptPlans has the node go by a plan that its disk has: after a crash it must not go by an older one than it told others of.
func (a *Agent) adoptPlans(kept []agree.Entry, now time.Duration) {
	for _, e := range kept {
		a.adoptPolicy(e)
		if e.Kind != failover.PlanKind || e.Number <= a.planNumber {
			continue
		}
		p, err := failover.DecodePlan(e.Data)
		if err != nil {
			continue // told when it came
		}
		a.plan, a.planNumber, a.changed = p, e.Number, true
		a.options.Log("fleet_plan_taken", "number", e.Number, "digest", fmt.Sprintf("%016x", e.Digest()), "why", p.Reason, "plan", e.Data)
	}
	a.updateMode(now)
}

// subscribers are the nodes that wait for this one's word: those that send it evidence, and for the one that leads the aggregators as well.
func (a *Agent) subscribers(now time.Duration) (all []int) {
	for i, t := range a.reports {
		if i != a.options.Self && now-t.at <= heardFor {
			all = append(all, i)
		}
	}
	if a.planner != nil {
		for i, p := range a.peers {
			if p.newest[sum] > 0 && now-p.at <= heardFor {
				all = append(all, i)
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
