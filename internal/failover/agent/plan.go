package agent

import (
	"fmt"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
)

// ZonePlan is what the load balancer is to go by, where that has changed since the last call.
func (a *Agent) ZonePlan() (plan choice.ZonePlan, changed bool) {
	if !a.zonePlanChanged {
		return choice.ZonePlan{}, false
	}
	a.zonePlanChanged = false
	leased := failover.LeasedCapacity{ByZone: a.leasedLoads(), InRegionOnly: a.borrower.regionLoad}
	plan = failover.ZonePlanFor(a.mode, a.plan, a.options.Self, a.zone, a.options.Classes, a.options.RetryAfter, leased)
	return plan, true
}

// Mode is what this node goes by, and by which plan.
func (a *Agent) Mode() (mode failover.Mode, planNumber uint64) { return a.mode, a.planNumber }

// updateMode settles which mode this node is in.
func (a *Agent) updateMode(now time.Duration) {
	mode := failover.Standalone
	switch {
	case a.plan != nil && now < a.leaseEnd:
		mode = failover.Planned
	case a.plan != nil:
		mode = failover.OwnZoneOnly
	}
	if mode == a.mode {
		return
	}
	a.options.Log("fleet_mode", "mode", mode.String(), "plan", a.planNumber)
	a.mode = mode
	a.zonePlanChanged = true
}

// restorePlan has the node go by the newest plan that its disk has.
func (a *Agent) restorePlan(now time.Duration) {
	entry := a.follower.Newest(failover.PlanKind)
	if entry.Number == 0 {
		return
	}
	plan, err := failover.DecodePlan(entry.Data)
	if err != nil {
		return // logged when it came
	}
	a.plan = plan
	a.planNumber = entry.Number
	a.planHistory.Add(entry.Number, plan, now)
}

// acceptPlan keeps a plan in mind; the node goes by it when its disk has it. It says whether the plan can be read.
func (a *Agent) acceptPlan(entry agree.Entry, now time.Duration) bool {
	plan, err := failover.DecodePlan(entry.Data)
	if err != nil {
		a.options.Log("fleet_plan_unreadable", "number", entry.Number, "error", err.Error())
		return false
	}
	a.planHistory.Add(entry.Number, plan, now)
	if a.planner != nil {
		a.planner.ApplyPlan(entry.Number, plan, now)
	}
	return true
}

// adoptPlan has the node go by a plan that its disk has, where it is newer.
func (a *Agent) adoptPlan(entry agree.Entry) {
	if entry.Kind != failover.PlanKind || entry.Number <= a.planNumber {
		return
	}
	plan, err := failover.DecodePlan(entry.Data)
	if err != nil {
		return // logged when it came
	}
	a.plan = plan
	a.planNumber = entry.Number
	a.zonePlanChanged = true
	a.options.Log("fleet_plan_taken", "number", entry.Number, "digest", fmt.Sprintf("%016x", entry.Digest()),
		"why", plan.Reason, "plan", entry.Data)
}
