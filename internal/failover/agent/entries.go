package agent

import (
	"fmt"
	"slices"
	"time"

	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
)

// lacks asks another node for what it has and this one doesn't.
func (a *Agent) lacks(from int, d agree.Digest, now time.Duration) {
	kinds, err := a.follow.Lacks(d)
	if err != nil {
		a.o.Log("fleet_log_conflict", "from", a.o.List.Node(from).Name, "error", err.Error())
		return
	}
	if len(kinds) > 0 {
		a.send(from, fetch, encode(kinds), now)
	}
}

func (a *Agent) give(to int, k agree.Kind, now time.Duration) {
	if e := a.follow.Newest(k); e.Number > 0 {
		a.send(to, give, encode(giveBody{Log: a.follow.Log(), Entry: e}), now)
	}
}

// take takes an entry in and passes it on: a head to the nodes that tell it, the one that leads to the heads.
func (a *Agent) take(log uint64, e agree.Entry, from int, now time.Duration) {
	taken, err := a.follow.Take(log, e)
	if err != nil {
		name := "its own log"
		if from >= 0 {
			name = a.o.List.Node(from).Name
		}
		a.o.Log("fleet_log_conflict", "from", name, "error", err.Error())
		return
	}
	if !taken {
		return
	}
	a.dirty = true
	switch e.Kind {
	case failover.PlanKind:
		p, err := failover.DecodePlan(e.Data)
		if err != nil {
			a.o.Log("fleet_plan_unreadable", "number", e.Number, "error", err.Error())
			return
		}
		a.knows.Add(e.Number, p, now)
		if a.planner != nil {
			a.planner.Newest(e.Number, p, now)
		}
	case failover.OrdersKind:
		if o, err := failover.DecodeOrders(e.Data); err == nil && a.planner != nil {
			a.planner.Order(o)
		}
		a.o.Log("fleet_orders_taken", "number", e.Number)
	}
	body := encode(giveBody{Log: log, Entry: e})
	for _, to := range a.below(now) {
		if to != from {
			a.send(to, give, body, now)
		}
	}
	a.goBy(now)
}

// adopt has the node go by a plan that its disk has: after a crash it must not go by an older one than it told others of.
func (a *Agent) adopt(kept []agree.Entry, now time.Duration) {
	for _, e := range kept {
		a.adoptPolicy(e)
		if e.Kind != failover.PlanKind || e.Number <= a.number {
			continue
		}
		p, err := failover.DecodePlan(e.Data)
		if err != nil {
			continue // told when it came
		}
		a.plan, a.number, a.changed = p, e.Number, true
		a.o.Log("fleet_plan_taken", "number", e.Number, "digest", fmt.Sprintf("%016x", e.Digest()), "why", p.Why, "plan", e.Data)
	}
	a.goBy(now)
}

// below are the nodes that wait for this one's word: those that send it evidence, and for the one that leads the heads as well.
func (a *Agent) below(now time.Duration) (all []int) {
	for i, t := range a.told {
		if i != a.o.Self && now-t.at <= heardFor {
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
