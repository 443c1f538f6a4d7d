package failover

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
)

// Class is what a plan knows of a class of requests.
type Class struct {
	Name         string
	Priority     float64
	StayInRegion bool
}

// Rules are the operators' part of a plan.
type Rules struct {
	UtilizationLimit float64       // part of a server's capacity that is planned for
	GrantLifetime    time.Duration // for which a grant into another zone is valid without contact to a leader
	RecoveryDelay    time.Duration // for which a lost zone's servers must answer before it recovers
	RecoveryRamp     float64       // part of a returning zone's capacity that is given back each second
	Classes          []Class
	// RegionDistance is the path cost between two regions, in addition to sameRegionCost, the cost between two zones of
	// one region.
	RegionDistance func(a, b string) float64
}

// Planner makes plans, at the leader of the fleet. It exists as long as this node leads, and is owned by the agent.
// What plans that it never knew may have granted is in EarlierLoads and EarlierReserves of the next plan that it knows.
type Planner struct {
	list   *membership.List
	zones  []string
	rules  Rules
	orders OperatorOrders

	cut        *membership.CutDetector // the common view of which nodes are live
	zoneStates map[string]*zoneState
	paths      map[path]*pathStats
	adoptions  adoptions
	known      []VersionedPlan // plans that may be in use, oldest first

	startedAt  time.Duration
	proposedAt time.Duration // of the newest proposal; 0: none is undecided
	plannedAt  time.Duration // of the newest proposal, decided or not

	suspectUntil time.Duration
	suspect      bool // all zones looked lost a short while ago: the evidence is taken for wrong, and not the zones
	constrained  bool // the newest plan grants less than it should, because of older ones in use
}

// NewPlanner begins to lead, with the plans that this node has seen.
func NewPlanner(list *membership.List, rules Rules, history PlanHistory, now time.Duration) *Planner {
	planner := &Planner{
		list:       list,
		zones:      list.Zones(),
		rules:      rules,
		zoneStates: map[string]*zoneState{},
		paths:      map[path]*pathStats{},
		adoptions:  newAdoptions(list.Len()),
		known:      slices.Clone(history.Plans),
		startedAt:  now,
		plannedAt:  now,
	}
	newest := planner.newestPlan()
	for _, zone := range planner.zones {
		planner.zoneStates[zone] = newZoneState(zone, rules.Classes, newest, now)
	}
	var lostNodes []int
	if newest != nil {
		lostNodes = newest.LostNodes
	}
	planner.cut = membership.NewCutDetector(list, lostNodes, now)
	return planner
}

// CutDetector is the common view of which nodes are live.
func (p *Planner) CutDetector() *membership.CutDetector { return p.cut }

// ApplyOrders replaces the operators' orders by those that were committed to the log.
func (p *Planner) ApplyOrders(orders OperatorOrders) { p.orders = orders }

// Step makes a plan where one is wanted; nil: the newest will do. It is to be called four times a second.
func (p *Planner) Step(now time.Duration) *Plan {
	reasons := p.observeChanges(now)
	if !p.mayPlan(now, len(reasons) > 0) {
		return nil
	}
	next := p.buildPlan(now)
	if next == nil || !p.shouldPropose(next, now) {
		return nil
	}
	if count := len(p.known); count > 0 {
		next.Previous = p.known[count-1].Number
	}
	next.Reason = joinReasons(reasons)
	p.proposedAt = now
	p.plannedAt = now
	return next
}

// observeChanges updates the view of the nodes and the zones' states, and returns the changes, for which a new plan is
// made without delay.
func (p *Planner) observeChanges(now time.Duration) (reasons []string) {
	if p.cut.Step(now) {
		reasons = append(reasons, fmt.Sprintf("%d nodes are out of the view", len(p.cut.Lost())))
	}
	if p.allLookLost(now) {
		p.suspectUntil = now + suspicionDuration
	}
	p.suspect = now < p.suspectUntil
	for _, zone := range p.zones {
		p.estimateCapacity(zone, now)
		if change, changed := p.advanceState(zone, now); changed {
			reasons = append(reasons, change.String())
		}
		p.zoneStates[zone].advanceRamp(p.rules.RecoveryRamp * StepInterval.Seconds())
	}
	return reasons
}

// mayPlan reports whether it is time for a plan: a change of the view or of a zone's state doesn't wait for
// planInterval. There is no new plan while a proposal is undecided, nor within planInterval after the planner's start.
func (p *Planner) mayPlan(now time.Duration, hasChanges bool) bool {
	switch {
	case now-p.startedAt < planInterval:
		return false
	case p.proposedAt > 0 && now-p.proposedAt < proposalTimeout:
		return false
	}
	return hasChanges || now-p.plannedAt >= planInterval
}

// shouldPropose reports whether a plan differs enough from the newest one.
func (p *Planner) shouldPropose(next *Plan, now time.Duration) bool {
	newest := p.newestPlan()
	if newest == nil {
		return true
	}
	switch comparePlans(newest, next) {
	case unchanged:
		return false
	case changed:
		return p.constrained || now-p.plannedAt >= calmPlanInterval
	case urgent:
	}
	return true
}

// joinReasons is the text of a plan's Reason.
func joinReasons(reasons []string) string {
	if len(reasons) == 0 {
		return "demand and room"
	}
	return policy.TruncateReason(strings.Join(reasons, "; "), maxReason)
}
