package failover

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"spurwinch/internal/membership"
)

// Class is what a plan knows of a class of requests.
type Class struct {
	Name         string
	Priority     float64
	StayInRegion bool // it is kept in its region
}

// Rules are the operators' part of a plan.
type Rules struct {
	UtilizationLimit float64       // part of a host that is planned for
	GrantLifetime    time.Duration // of a grant into another zone, without word of the one that leads
	RecoveryDelay    time.Duration // a zone is well so long before it takes load again
	RecoveryRamp     float64       // part of a returning zone's room that is given back each second
	Classes          []Class
	// RegionDistance is the cost of the way between two regions, 1 within one.
	RegionDistance func(a, b string) float64
}

const (
	freshFor      = 3 * time.Second // evidence that is older says nothing of now
	stepEvery     = time.Second / 4 // between two calls of Step
	planEvery     = time.Second     // between two plans, and the first one's wait for evidence
	calmEvery     = 5 * time.Second // the same, where nothing presses
	decidedBy     = 3 * time.Second // a proposal that is not decided by then is made anew
	turnHold      = 60 * time.Second
	forgetLost    = time.Minute      // a node out of the view so long has no part kept for it but a lost one's
	trial         = 0.05             // of a lost zone's room, for its own nodes: somebody must see when it is back
	ownExtra      = 0.1              // of the room that nobody needs: the zone's own
	standBy       = 0.85             // of the rest, that stands by for other zones; what is left is lent
	lentOn        = 0.8              // of what guests need and have no grant for yet, that is lent on
	tightAt       = 0.8              // of a region's room: from here on room is kept for classes that must stay in the region
	constrainedAt = 0.05             // of a zone's room: a plan that misses more of its targets is made anew soon
	doubtFor      = 20 * time.Second // after every zone looked lost: nodes leave hosts out for 16 s at most
	failing       = 0.5              // of the attempts, or of the hosts: from here on a zone, or a path, is bad
	leastTries    = 4                // attempts that say something of a path
	uneven        = 2.5              // standard deviations of a node's part that it gets on top, where there is room
	guestUneven   = 1.5              // the same of a guest
	wantMemory    = time.Minute      // what was asked for before a failure is still wanted
	peakMemory    = 2 * time.Minute
	longestReason = 400 // bytes of a plan's reason
)

// Planner makes plans, at the one that leads. What plans that it never knew may have granted, the next plan that it knows tells.
type Planner struct {
	list        *membership.List
	rules       Rules
	cut         *membership.Cut
	zones       []string
	state       map[string]*zoneState
	paths       map[[2]string]*pathStats // by the zone that tries and the zone that is tried
	confirmed   map[int]uint64           // by node: the newest plan that it has said to use
	newer       [][]said                 // by node: when it went over to which plans
	known       []VersionedPlan
	began       time.Duration
	proposed    time.Duration // the newest proposal's time; 0: none is out
	lastPlan    time.Duration
	orders      OperatorOrders
	suspectTill time.Duration
	suspect     bool // every zone looked lost of late: that is what is seen, and not the zones
	constrained bool // the newest plan gives less than it should, because of older ones in use
}

// zoneState is what the planner knows of a zone.
type zoneState struct {
	state      State
	since      time.Duration // in this state
	goodFrom   time.Duration // while lost: well since then; 0: not well
	turns      int           // how often it was lost soon after it came back
	turned     time.Duration // when it last came back
	ramp       float64       // room given back so far, while returning
	room       float64       // smoothed, as told load
	cost       float64       // hosts that a unit of told load takes, smoothed
	sum        EvidenceSummary
	at         time.Duration // of the sum
	aggregator int           // who sent it
	want       []float64     // by class of the rules
	peak       []float64     // the same: the most that stood of late
	lastWant   time.Duration
}

// NewPlanner begins to lead.
func NewPlanner(l *membership.List, r Rules, k PlanHistory, now time.Duration) *Planner {
	p := &Planner{list: l, rules: r, zones: l.Zones(), state: map[string]*zoneState{}, paths: map[[2]string]*pathStats{},
		confirmed: map[int]uint64{}, newer: make([][]said, l.Len()), began: now, lastPlan: now, known: slices.Clone(k.Plans)}
	newest := p.newestPlan()
	for _, zone := range p.zones {
		p.state[zone] = newZoneState(zone, r.Classes, newest, now)
	}
	var lost []int
	if newest != nil {
		lost = newest.LostNodes
	}
	p.cut = membership.NewCut(l, lost, now)
	return p
}

// newZoneState begins where the newest plan, if there is one, left a zone.
func newZoneState(zone string, classes []Class, newest *Plan, now time.Duration) *zoneState {
	z := &zoneState{want: make([]float64, len(classes)), peak: make([]float64, len(classes)), since: now, lastWant: now}
	if newest == nil || newest.zone(zone) < 0 {
		return z
	}
	planned := newest.Zones[newest.zone(zone)]
	z.state, z.turns, z.room, z.turned = planned.State, planned.Flaps, float64(planned.Capacity), now
	for i, class := range classes {
		if j := slices.Index(newest.Classes, class.Name); j >= 0 {
			z.want[i] = float64(planned.Demand[j])
			z.peak[i] = z.want[i]
		}
	}
	return z
}

// newestPlan is the newest plan known; nil: there is none.
func (p *Planner) newestPlan() *Plan {
	if len(p.known) == 0 {
		return nil
	}
	return p.known[len(p.known)-1].Plan
}

// Cut is the common view.
func (p *Planner) Cut() *membership.Cut { return p.cut }

// ApplyOrders tells what operators have ordered.
func (p *Planner) ApplyOrders(o OperatorOrders) { p.orders = o }

// Step makes a plan where one is wanted; nil: the newest will do.
func (p *Planner) Step(now time.Duration) *Plan {
	reasons := p.observeChanges(now)
	if !p.mayPlan(now, len(reasons) > 0) {
		return nil
	}
	next := p.makePlan(now)
	if next == nil || !p.worthProposing(next, now) {
		return nil
	}
	if n := len(p.known); n > 0 {
		next.Previous = p.known[n-1].Number
	}
	next.Reason = reasonText(reasons)
	p.proposed, p.lastPlan = now, now
	return next
}

// observeChanges moves the view and the zones' states on, and gives the reasons that press for a new plan.
func (p *Planner) observeChanges(now time.Duration) (reasons []string) {
	if p.cut.Step(now) {
		reasons = append(reasons, fmt.Sprintf("%d nodes are out of the view", len(p.cut.Lost())))
	}
	if p.allLookLost(now) {
		p.suspectTill = now + doubtFor
	}
	p.suspect = now < p.suspectTill
	for _, zone := range p.zones {
		p.measure(zone, now)
		if why := p.advanceState(zone, now); why != "" {
			reasons = append(reasons, why)
		}
		if z := p.state[zone]; z.state == Returning {
			z.ramp = min(1, z.ramp+p.rules.RecoveryRamp*stepEvery.Seconds())
		}
	}
	return reasons
}

// allLookLost says whether there is no zone left that looks well.
func (p *Planner) allLookLost(now time.Duration) bool {
	for _, zone := range p.zones {
		if s := p.state[zone].state; s == Lost || s == Drained {
			continue
		}
		if bad, _ := p.judge(zone, now); !bad {
			return false
		}
	}
	return true
}

// mayPlan says whether it is time for a plan: pressing reasons don't wait.
func (p *Planner) mayPlan(now time.Duration, pressing bool) bool {
	switch {
	case now-p.began < planEvery:
		return false
	case p.proposed > 0 && now-p.proposed < decidedBy:
		return false
	}
	return pressing || now-p.lastPlan >= planEvery
}

// worthProposing says whether a plan differs enough from the newest one.
func (p *Planner) worthProposing(next *Plan, now time.Duration) bool {
	newest := p.newestPlan()
	if newest == nil {
		return true
	}
	switch compare(newest, next) {
	case unchanged:
		return false
	case changed:
		return p.constrained || now-p.lastPlan >= calmEvery
	}
	return true
}

func reasonText(reasons []string) string {
	if len(reasons) == 0 {
		return "demand and room"
	}
	text := strings.Join(reasons, "; ")
	return text[:min(len(text), longestReason)]
}
