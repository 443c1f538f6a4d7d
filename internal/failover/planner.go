package failover

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
)

// Class holds the rules of planning for a class of requests.
type Class struct {
	Name         string
	Priority     float64
	StayInRegion bool
}

// Rules are the settings of operators for planning.
type Rules struct {
	UtilizationLimit float64       // fraction of a server's capacity that plans use
	GrantLifetime    time.Duration // how long a grant into another zone is valid without contact to a leader
	RecoveryDelay    time.Duration // how long a lost zone's servers must answer before the zone recovers
	RecoveryRamp     float64       // fraction of a returning zone's capacity by which plans use more each second
	Classes          []Class
	// RegionDistance is the path cost between two regions, in addition to sameRegionCost, the cost between two zones of
	// one region.
	RegionDistance func(a, b string) float64
}

// Planner makes the plans at the leader of the fleet. The agent owns it, and keeps it as long as this node leads. A
// Planner need not know all plans that may be in use: EarlierLoads and EarlierReserves of the next plan that it knows
// state what the unknown plans before it may have granted.
type Planner struct {
	list   *membership.List
	zones  []string
	rules  Rules
	orders OperatorOrders

	cutDetector *membership.CutDetector // the common view of which nodes are live
	zoneStates  map[string]*zoneState
	paths       map[path]*pathStats
	adoptions   adoptions
	knownPlans  []VersionedPlan // plans that may be in use, oldest first

	startedAt  time.Duration
	proposedAt time.Duration // when the undecided proposal was made; 0: no proposal is undecided
	plannedAt  time.Duration // when the newest proposal was made, decided or not

	suspectUntil time.Duration
	suspect      bool // all zones looked lost within suspicionDuration, so the planner distrusts the evidence
	constrained  bool // the newest plan grants less than its targets because older plans are still in use
}

// NewPlanner returns the planner of a new leader, which knows the plans in its node's history.
func NewPlanner(list *membership.List, rules Rules, history PlanHistory, now time.Duration) *Planner {
	planner := &Planner{
		list:       list,
		zones:      list.Zones(),
		rules:      rules,
		zoneStates: map[string]*zoneState{},
		paths:      map[path]*pathStats{},
		adoptions:  newAdoptions(list.Len()),
		knownPlans: slices.Clone(history.Plans),
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
	planner.cutDetector = membership.NewCutDetector(list, lostNodes, now)
	return planner
}

// CutDetector returns the detector of lost nodes, which keeps the common view of which nodes are live.
func (p *Planner) CutDetector() *membership.CutDetector { return p.cutDetector }

// ApplyOrders replaces the operators' orders with newly committed ones.
func (p *Planner) ApplyOrders(orders OperatorOrders) { p.orders = orders }

// Step returns a new plan to propose, or nil while the newest plan needs no replacement. The caller calls it once per
// StepInterval.
func (p *Planner) Step(now time.Duration) *Plan {
	reasons := p.observeChanges(now)
	if !p.mayPlan(now, len(reasons) > 0) {
		return nil
	}
	next := p.buildPlan(now)
	if next == nil || !p.shouldPropose(next, now) {
		return nil
	}
	if count := len(p.knownPlans); count > 0 {
		next.Previous = p.knownPlans[count-1].Number
	}
	next.Reason = joinReasons(reasons)
	p.proposedAt = now
	p.plannedAt = now
	return next
}

// observeChanges updates the view of live nodes and the states of the zones. It returns the changes, which allow a new
// plan before planInterval has passed.
func (p *Planner) observeChanges(now time.Duration) (reasons []string) {
	if p.cutDetector.Step(now) {
		reasons = append(reasons, fmt.Sprintf("%d nodes are out of the view", len(p.cutDetector.Lost())))
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

// mayPlan reports whether the planner may make a plan now. A change of the view or of a zone's state doesn't wait for
// planInterval. The planner makes no plan while a proposal is undecided, nor within planInterval after its start.
func (p *Planner) mayPlan(now time.Duration, hasChanges bool) bool {
	switch {
	case now-p.startedAt < planInterval:
		return false
	case p.proposedAt > 0 && now-p.proposedAt < proposalTimeout:
		return false
	}
	return hasChanges || now-p.plannedAt >= planInterval
}

// shouldPropose reports whether a plan differs enough from the newest one to be proposed now.
func (p *Planner) shouldPropose(next *Plan, now time.Duration) bool {
	newest := p.newestPlan()
	if newest == nil {
		return true
	}
	switch comparePlans(newest, next) {
	case unchanged:
		return false
	case changed:
		return p.constrained || now-p.plannedAt >= minorChangeInterval
	case urgent:
	}
	return true
}

// joinReasons returns the text for Plan.Reason. The result is cut to maxReason bytes.
func joinReasons(reasons []string) string {
	if len(reasons) == 0 {
		return "demand and room"
	}
	return policy.TruncateReason(strings.Join(reasons, "; "), maxReason)
}
