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
	Name  string
	Worth float64
	Stay  bool // it is kept in its region
}

// Rules are the operators' part of a plan.
type Rules struct {
	Limit   float64       // part of a host that is planned for
	Life    time.Duration // of a grant into another zone, without word of the one that leads
	Hold    time.Duration // a zone is well so long before it takes load again
	Ramp    float64       // part of a returning zone's room that is given back each second
	Classes []Class
	// Far is the cost of the way between two regions, 1 within one.
	Far func(a, b string) float64
}

const (
	freshFor    = 3 * time.Second // evidence that is older says nothing of now
	planEvery   = time.Second     // between two plans, and the first one's wait for evidence
	calmEvery   = 5 * time.Second // the same, where nothing presses
	decidedBy   = 3 * time.Second // a proposal that is not decided by then is made anew
	turnHold    = 60 * time.Second
	forgetLost  = time.Minute      // a node out of the view so long has no part kept for it but a lost one's
	trial       = 0.05             // of a lost zone's room, for its own nodes: somebody must see when it is back
	ownExtra    = 0.1              // of the room that nobody needs: the zone's own
	standBy     = 0.85             // of the rest, that stands by for other zones; what is left is lent
	lentOn      = 0.8              // of what guests need and have no grant for yet, that is lent on
	doubtFor    = 20 * time.Second // after every zone looked lost: nodes leave hosts out for 16 s at most
	failing     = 0.5              // of the attempts, or of the hosts: from here on a zone, or a way, is bad
	leastTries  = 4                // attempts that say something of a way
	uneven      = 2.5              // standard deviations of a node's part that it gets on top, where there is room
	guestUneven = 1.5              // the same of a guest
	wantMemory  = time.Minute      // what was asked for before a failure is still wanted
	peakMemory  = 2 * time.Minute
)

// Planner makes plans, at the one that leads. What plans that it never knew may have granted, the next plan that it knows tells.
type Planner struct {
	list      *membership.List
	rules     Rules
	cut       *membership.Cut
	zones     []string
	state     map[string]*zoneState
	ways      map[[2]string]*way
	confirmed map[int]uint64
	newer     [][]said // by node: when it went over to which plans
	known     []Known
	began     time.Duration
	proposed  time.Duration // the newest proposal's time; 0: none is out
	lastPlan  time.Duration
	orders    Orders
	doubt     time.Duration
	suspect   bool // every zone looked lost of late: that is what is seen, and not the zones
	short     bool // the newest plan gives less than it should, because of older ones in use
}

type zoneState struct {
	state    State
	since    time.Duration
	goodFrom time.Duration // while lost: well since then; 0: not well
	turns    int
	turned   time.Duration // when it last came back
	ramp     float64       // room given back so far, while returning
	room     float64       // smoothed, as told load
	cost     float64
	sum      Sum
	at       time.Duration // of the sum
	head     int           // who sent it
	want     []float64     // by class of the rules
	peak     []float64
	lastWant time.Duration
	refused  float64 // since the last plan
}

// NewPlanner begins to lead.
func NewPlanner(l *membership.List, r Rules, k Knows, now time.Duration) *Planner {
	var newest *Plan
	if n := len(k.Plans); n > 0 {
		newest = k.Plans[n-1].Plan
	}
	p := &Planner{list: l, rules: r, zones: l.Zones(), state: map[string]*zoneState{}, ways: map[[2]string]*way{},
		confirmed: map[int]uint64{}, newer: make([][]said, l.Len()), began: now, lastPlan: now, known: slices.Clone(k.Plans)}
	var lost []int
	for _, z := range p.zones {
		s := &zoneState{want: make([]float64, len(r.Classes)), peak: make([]float64, len(r.Classes)), since: now, lastWant: now}
		if newest != nil {
			if i := newest.zone(z); i >= 0 {
				old := newest.Zones[i]
				s.state, s.turns, s.room, s.turned = old.State, old.Turns, float64(old.Room), now
				for c, k := range r.Classes {
					if j := slices.Index(newest.Classes, k.Name); j >= 0 {
						s.want[c] = float64(old.Want[j])
						s.peak[c] = s.want[c]
					}
				}
			}
		}
		p.state[z] = s
	}
	if newest != nil {
		lost = newest.Lost
	}
	p.cut = membership.NewCut(l, lost, now)
	return p
}

// Cut is the common view.
func (p *Planner) Cut() *membership.Cut { return p.cut }

// Order tells what operators have ordered.
func (p *Planner) Order(o Orders) { p.orders = o }

// Step makes a plan where one is wanted; nil: the newest will do.
func (p *Planner) Step(now time.Duration) *Plan {
	viewChanged := p.cut.Step(now)
	var whys []string
	if viewChanged {
		whys = append(whys, fmt.Sprintf("%d nodes are out of the view", len(p.cut.Lost())))
	}
	dt := time.Second / 4
	all := true
	for _, z := range p.zones {
		bad, _ := p.judge(z, now)
		all = all && (bad || p.state[z].state == Lost || p.state[z].state == Drained)
	}
	if all {
		p.doubt = now + doubtFor
	}
	p.suspect = now < p.doubt
	for _, z := range p.zones {
		p.measure(z, now)
		if why := p.turn(z, now); why != "" {
			whys = append(whys, why)
		}
		if s := p.state[z]; s.state == Returning {
			s.ramp = min(1, s.ramp+p.rules.Ramp*dt.Seconds())
		}
	}
	refused := 0.0
	for _, z := range p.zones {
		refused += p.state[z].refused
	}
	pressing := len(whys) > 0
	if now-p.began < planEvery || p.proposed > 0 && now-p.proposed < decidedBy || now-p.lastPlan < planEvery && !pressing {
		return nil
	}
	next := p.make(now)
	if next == nil {
		return nil
	}
	if n := len(p.known); n > 0 {
		change := differs(p.known[n-1].Plan, next)
		if change == 0 || change == 1 && now-p.lastPlan < calmEvery && refused < 1 && !p.short {
			return nil
		}
	}
	if n := len(p.known); n > 0 {
		next.Prev = p.known[n-1].Number
	}
	next.Why = strings.Join(whys, "; ")
	if next.Why == "" {
		next.Why = "demand and room"
	}
	if len(next.Why) > 400 {
		next.Why = next.Why[:400]
	}
	p.proposed, p.lastPlan = now, now
	for _, z := range p.state {
		z.refused = 0
	}
	return next
}
