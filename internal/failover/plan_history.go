package failover

import (
	"slices"
	"time"
)

// maxKnownPlans bounds the number of plans kept. Beyond it, the oldest are dropped even if they may be in use.
const maxKnownPlans = 128

// VersionedPlan is a plan that may be in use, with its number in the consensus log.
type VersionedPlan struct {
	Number      uint64
	Plan        *Plan
	NewestSince time.Duration // when it became the newest plan on this node
}

// PlanHistory holds the plans that a node has seen. A node that becomes leader must consider all plans that may be in
// use.
type PlanHistory struct {
	Plans []VersionedPlan // oldest first
}

// Add adds a plan, and drops plans that were superseded so long ago that no node uses other zones under them.
func (h *PlanHistory) Add(number uint64, plan *Plan, now time.Duration) {
	if count := len(h.Plans); count > 0 && h.Plans[count-1].Number >= number {
		return
	}
	h.Plans = append(h.Plans, VersionedPlan{number, plan, now})
	for len(h.Plans) > 1 && now-h.Plans[1].NewestSince > 2*lostNodeMemory || len(h.Plans) > maxKnownPlans {
		h.Plans = h.Plans[1:]
	}
}

// ApplyPlan records a plan that was committed to the consensus log, and drops the plans that no node can still use. The
// agent calls it for each committed plan. A plan that is not newer than the newest known one has no effect.
func (p *Planner) ApplyPlan(number uint64, plan *Plan, now time.Duration) {
	if count := len(p.knownPlans); count > 0 && p.knownPlans[count-1].Number >= number {
		return
	}
	p.knownPlans = append(p.knownPlans, VersionedPlan{number, plan, now})
	p.proposedAt = 0
	oldest := p.oldestAdopted(number, now)
	for len(p.knownPlans) > 1 &&
		(p.supersedesOlder(p.knownPlans[1], oldest, now) || len(p.knownPlans) > maxKnownPlans) {
		p.knownPlans = p.knownPlans[1:]
	}
}

// newestPlan returns the newest known plan, or nil if no plan is known.
func (p *Planner) newestPlan() *Plan {
	if len(p.knownPlans) == 0 {
		return nil
	}
	return p.knownPlans[len(p.knownPlans)-1].Plan
}

// oldestAdopted returns the number of the oldest plan that any node may still use in its own zone. The result is at
// most newest. Nodes that have been lost for lostNodeMemory are ignored.
func (p *Planner) oldestAdopted(newest uint64, now time.Duration) uint64 {
	oldest := newest
	for node := range p.list.Len() {
		if at, lost := p.cutDetector.LostSince(node); !lost || now-at < lostNodeMemory {
			oldest = min(oldest, p.adoptions.newestPlanOf(node))
		}
	}
	return oldest
}

// supersedesOlder reports whether no node can still use plans older than this one. This is so once all nodes have
// reported that they adopted it or a newer plan, and the grants of older plans into other zones, which unreachable
// nodes may have used, have expired.
func (p *Planner) supersedesOlder(plan VersionedPlan, oldestAdopted uint64, now time.Duration) bool {
	return plan.Number <= oldestAdopted && now-plan.NewestSince > p.crossZonePeriod()+leaseSettlePeriod
}

// crossZonePeriod returns how long after a newer plan nodes may still use other zones under the older plan. It is the
// lifetime of a grant, which each node measures on its own clock, plus a margin.
func (p *Planner) crossZonePeriod() time.Duration { return p.rules.GrantLifetime + crossZoneMargin }

// previousPlanKnown reports whether the predecessor of a known plan is known too.
func (p *Planner) previousPlanKnown(planIndex int) bool {
	return planIndex > 0 && p.knownPlans[planIndex].Plan.Previous == p.knownPlans[planIndex-1].Number
}

// mayUseZone reports whether any known plan allows nodes in zone from to have connections in zone to.
func (p *Planner) mayUseZone(from, to string) bool {
	return slices.ContainsFunc(p.knownPlans, func(known VersionedPlan) bool {
		return known.Plan.grantedLoadByName(from, to) > 0
	})
}
