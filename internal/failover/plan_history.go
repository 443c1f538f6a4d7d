package failover

import (
	"slices"
	"time"
)

// maxKnownPlans bounds the plans that are remembered: the oldest are forgotten even if they may be in use.
const maxKnownPlans = 128

// VersionedPlan is a plan that may be in use, with its number on the consensus log.
type VersionedPlan struct {
	Number uint64
	Plan   *Plan
	From   time.Duration // when it became the newest here
}

// PlanHistory is what a node has seen of plans. One that comes to lead must consider all that may be in use.
type PlanHistory struct {
	Plans []VersionedPlan // oldest first
}

// Add takes a plan in, and forgets those that were superseded so long ago that nobody uses other zones by them.
func (h *PlanHistory) Add(number uint64, plan *Plan, now time.Duration) {
	if count := len(h.Plans); count > 0 && h.Plans[count-1].Number >= number {
		return
	}
	h.Plans = append(h.Plans, VersionedPlan{number, plan, now})
	for len(h.Plans) > 1 && now-h.Plans[1].From > 2*lostNodeMemory || len(h.Plans) > maxKnownPlans {
		h.Plans = h.Plans[1:]
	}
}

// ApplyPlan records the plan that was committed to the consensus log, and forgets those that no node can use any
// longer. The agent calls it for each committed plan; one that is not newer than the last changes nothing.
func (p *Planner) ApplyPlan(number uint64, plan *Plan, now time.Duration) {
	if count := len(p.known); count > 0 && p.known[count-1].Number >= number {
		return
	}
	p.known = append(p.known, VersionedPlan{number, plan, now})
	p.proposedAt = 0
	oldest := p.oldestAdopted(number, now)
	for len(p.known) > 1 && (p.supersedesOlder(p.known[1], oldest, now) || len(p.known) > maxKnownPlans) {
		p.known = p.known[1:]
	}
}

// newestPlan is the newest plan known; nil: there is none.
func (p *Planner) newestPlan() *Plan {
	if len(p.known) == 0 {
		return nil
	}
	return p.known[len(p.known)-1].Plan
}

// oldestAdopted is the number of the oldest plan that any node may still use in its own zone, newest at most. Nodes
// that were lost for lostNodeMemory don't count.
func (p *Planner) oldestAdopted(newest uint64, now time.Duration) uint64 {
	oldest := newest
	for node := range p.list.Len() {
		if at, lost := p.cut.LostSince(node); !lost || now-at < lostNodeMemory {
			oldest = min(oldest, p.adoptions.newestOf(node))
		}
	}
	return oldest
}

// supersedesOlder reports whether no node can use plans before this one any longer: all nodes have reported that they
// adopted it or a newer one, and unreachable ones have lost their grants into other zones by the older ones.
func (p *Planner) supersedesOlder(plan VersionedPlan, oldestAdopted uint64, now time.Duration) bool {
	return plan.Number <= oldestAdopted && now-plan.From > p.crossZonePeriod()+leaseSettlePeriod
}

// crossZonePeriod is how long after a newer plan nodes may still use other zones by the older one: a grant's lifetime,
// which each node counts by its own clock, and a margin.
func (p *Planner) crossZonePeriod() time.Duration { return p.rules.GrantLifetime + crossZoneMargin }

// followsKnown reports whether the plan before a known one is known too.
func (p *Planner) followsKnown(place int) bool {
	return place > 0 && p.known[place].Plan.Previous == p.known[place-1].Number
}

// mayUseZone reports whether a zone's nodes may have connections in another one, by any known plan.
func (p *Planner) mayUseZone(from, to string) bool {
	return slices.ContainsFunc(p.known, func(known VersionedPlan) bool {
		return known.Plan.grantedLoadByName(from, to) > 0
	})
}
