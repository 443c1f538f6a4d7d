package agent

import (
	"fmt"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
)

// ZonePlan returns the load balancer's plan if it has changed since the last call.
func (a *Agent) ZonePlan() (plan choice.ZonePlan, changed bool) {
	if !a.zonePlanChanged {
		return choice.ZonePlan{}, false
	}
	a.zonePlanChanged = false
	leased := failover.LeasedCapacity{ByZone: a.leasedLoads(), InRegionOnly: a.leaseHolder.reservedRegionLoad}
	plan = failover.ZonePlanFor(a.mode, a.plan, a.options.Self, a.zone, a.options.Classes, a.options.RetryAfter, leased)
	return plan, true
}

// Mode returns this node's mode and the number of the plan in effect; 0: none.
func (a *Agent) Mode() (mode failover.Mode, planNumber uint64) { return a.mode, a.planNumber }

// updateMode determines this node's mode: Planned while it has a plan with valid grants, OwnZoneOnly after the grants
// have expired, Standalone without a plan.
func (a *Agent) updateMode(now time.Duration) {
	mode := failover.Standalone
	switch {
	case a.plan != nil && now < a.grantsValidUntil:
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

// restorePlan puts the newest plan on disk into effect when the agent starts.
func (a *Agent) restorePlan(now time.Duration) {
	entry := a.follower.Newest(failover.PlanKind)
	if entry.Index == 0 {
		return
	}
	plan, err := failover.DecodePlan(entry.Data)
	if err != nil {
		return // acceptPlan logged the error when the plan was received
	}
	a.plan = plan
	a.planNumber = entry.Index
	a.planHistory.Add(entry.Index, plan, now)
}

// acceptPlan adds a received plan to the history and reports whether this version can decode it. The plan takes effect
// once it is on disk.
func (a *Agent) acceptPlan(entry consensus.Entry, now time.Duration) bool {
	plan, err := failover.DecodePlan(entry.Data)
	if err != nil {
		a.options.Log("fleet_plan_unreadable", "number", entry.Index, "error", err.Error())
		return false
	}
	a.planHistory.Add(entry.Index, plan, now)
	if a.planner != nil {
		a.planner.ApplyPlan(entry.Index, plan, now)
	}
	return true
}

// adoptPlan puts a plan that is on disk into effect if it is newer than the current one.
func (a *Agent) adoptPlan(entry consensus.Entry) {
	if entry.Kind != failover.PlanKind || entry.Index <= a.planNumber {
		return
	}
	plan, err := failover.DecodePlan(entry.Data)
	if err != nil {
		return // acceptPlan logged the error when the plan was received
	}
	a.plan = plan
	a.planNumber = entry.Index
	a.zonePlanChanged = true
	a.options.Log("fleet_plan_taken", "number", entry.Index, "digest", fmt.Sprintf("%016x", entry.Digest()),
		"why", plan.Reason, "plan", entry.Data)
}
