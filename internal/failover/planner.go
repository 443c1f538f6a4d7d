package failover

import (
	"fmt"
	"maps"
	"math"
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

// Known is a plan that may be in use, with the time when it became the newest here.
type Known struct {
	Number uint64
	Plan   *Plan
	From   time.Duration
}

// Knows is what a node has seen of plans: one that comes to lead must reckon with all that may be in use.
type Knows struct {
	Plans []Known // oldest first
}

// Add takes a plan in, and forgets those that were followed by another one so long ago that nobody crosses zones by them.
func (k *Knows) Add(number uint64, p *Plan, now time.Duration) {
	if n := len(k.Plans); n > 0 && k.Plans[n-1].Number >= number {
		return
	}
	k.Plans = append(k.Plans, Known{number, p, now})
	for len(k.Plans) > 1 && now-k.Plans[1].From > 2*forgetLost || len(k.Plans) > mostKnown {
		k.Plans = k.Plans[1:]
	}
}

const mostKnown = 128

type way struct {
	tried, failed float64
	at            time.Duration
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

// Hear takes the evidence of a zone's nodes. stale says that it was long on its way: it shows who is there, and nothing of how zones are.
func (p *Planner) Hear(head int, s Sum, stale bool, now time.Duration) {
	z := p.state[s.Zone]
	if z == nil {
		return
	}
	for _, w := range s.Words {
		if w.Node < 0 || w.Node >= p.list.Len() || p.list.Node(w.Node).Zone != s.Zone {
			continue
		}
		p.cut.Word(w.Node, w.Silent, now)
		p.confirm(w.Node, w.Plan, now)
	}
	if stale || head != z.head && now-z.at < freshFor/2 && len(s.Words) <= len(z.sum.Words) {
		return // the zone's other head has told the same, or more
	}
	z.head = head
	for _, r := range s.Rows {
		w := p.ways[[2]string{s.Zone, r.Zone}]
		if w == nil {
			w = &way{at: now}
			p.ways[[2]string{s.Zone, r.Zone}] = w
		}
		keep := math.Exp(-(now - w.at).Seconds())
		w.tried, w.failed, w.at = w.tried*keep+float64(r.Attempts), w.failed*keep+float64(r.Failed), now
	}
	p.ask(z, s, now)
	z.sum, z.at = s, now
}

// ask reckons what a zone's clients want: what stands, what stood before a failure, and more where some are refused.
func (p *Planner) ask(z *zoneState, s Sum, now time.Duration) {
	dt := now - z.lastWant
	z.lastWant = now
	for c, k := range p.rules.Classes {
		i := slices.Index(s.Classes, k.Name)
		if i < 0 {
			continue
		}
		held := 0.0
		for _, r := range s.Rows {
			held += float64(r.Held[i])
		}
		z.peak[c] = held + max(0, z.peak[c]-held)*math.Exp(-dt.Seconds()/peakMemory.Seconds())
		w := held + max(0, z.want[c]-held)*math.Exp(-dt.Seconds()/wantMemory.Seconds())
		// What is refused comes again and is counted again: it says that more is wanted, not how much.
		w += float64(s.Refused[i])
		z.want[c] = min(w, max(1.2*z.peak[c], 1.5*held+2))
	}
}

// view is what is known of a zone's hosts: its own nodes' view while there is one, else the others'.
func (p *Planner) view(zone string, now time.Duration) (v Row, own, ok bool) {
	if z := p.state[zone]; now-z.at <= freshFor && z.at > 0 {
		if r, there := z.sum.row(zone); there && r.Nodes > 0 {
			return r, true, true
		}
	}
	var all Sum
	for _, o := range p.zones {
		if s := p.state[o]; o != zone && s.at > 0 && now-s.at <= freshFor {
			if r, there := s.sum.row(zone); there {
				all.Add(Sum{Classes: s.sum.Classes, Arrived: make([]float32, len(s.sum.Classes)), Refused: make([]float32, len(s.sum.Classes)), Rows: []Row{r}})
			}
		}
	}
	if len(all.Rows) == 0 || all.Rows[0].Nodes == 0 {
		return Row{}, false, false
	}
	return all.Rows[0], false, true
}

func (p *Planner) bad(w *way, now time.Duration) (bad, says bool) {
	if w == nil || now-w.at > freshFor || w.tried < leastTries {
		return false, false
	}
	return w.failed > failing*w.tried, true
}

// judge says whether a zone's hosts fail, as far as is known in common.
func (p *Planner) judge(zone string, now time.Duration) (bad bool, why string) {
	v, own, ok := p.view(zone, now)
	if !ok {
		return false, ""
	}
	if v.Ready == 0 {
		return true, "no host is listed as serving"
	}
	out := float64(v.Out / v.Ready)
	yes, no := 0, 0
	for _, o := range p.zones {
		if b, says := p.bad(p.ways[[2]string{o, zone}], now); says && o != zone {
			if b {
				yes++
			} else {
				no++
			}
		}
	}
	self, says := p.bad(p.ways[[2]string{zone, zone}], now)
	switch {
	case own && says && !self: // what is left out is left out for a while yet, and what is tried answers
	case own && (out > failing || says && self && out > failing/2) && no <= yes:
		return true, fmt.Sprintf("its own nodes leave out %.0f%% of its hosts; of other zones %d say the same and %d don't", 100*out, yes, no)
	case !own && (yes > no || out > failing):
		return true, fmt.Sprintf("nothing is heard of its nodes; others leave out %.0f%% of its hosts", 100*out)
	case own && yes > no && yes >= 2 && out > failing/2:
		return true, fmt.Sprintf("%d other zones can't reach its hosts", yes)
	}
	return false, ""
}

// answers says whether a zone's hosts were tried of late and answered.
func (p *Planner) answers(zone string, now time.Duration) bool {
	for _, o := range p.zones {
		if w := p.ways[[2]string{o, zone}]; w != nil && now-w.at <= freshFor && w.tried >= 1 && w.failed < failing*w.tried {
			return true
		}
	}
	return false
}

// turn moves a zone's state on.
func (p *Planner) turn(zone string, now time.Duration) (why string) {
	z := p.state[zone]
	bad, cause := p.judge(zone, now)
	drained := slices.Contains(p.orders.Drained, zone)
	set := func(s State, text string) {
		z.state, z.since, z.goodFrom = s, now, 0
		why = fmt.Sprintf("%s %s: %s", zone, s, text)
	}
	switch {
	case drained:
		if z.state != Drained {
			set(Drained, "an operator's order")
		}
	case z.state == Drained:
		set(Returning, "the order to drain it was taken back")
		z.ramp = 0
	case p.suspect && bad && z.state != Lost:
	case p.suspect && z.state == Lost:
		if z.turned == 0 || now-z.turned >= turnHold {
			set(Returning, "every zone looks lost, which is suspect: there is nowhere else to go")
			z.turned, z.ramp = now, 1 // nobody has restarted them, as far as is known: nodes' modules go easy on those that are cold
		}
	case bad && z.state != Lost:
		if z.turned > 0 && now-z.turned < turnHold {
			z.turns++
		} else {
			z.turns = 0
		}
		set(Lost, cause)
	case z.state == Lost && bad:
		z.goodFrom = 0
	case z.state == Lost:
		if _, _, heard := p.view(zone, now); !heard {
			z.goodFrom = 0
			break
		}
		if z.goodFrom == 0 {
			// Hosts that nobody has tried of late are not well: they were left out, and the time for that is over.
			if !p.answers(zone, now) {
				break
			}
			z.goodFrom = now
		}
		hold := p.rules.Hold
		if z.turned > 0 { // at most one reversal in that time, however often it comes and goes
			hold = max(hold, turnHold-(now-z.turned))
		}
		if now-z.goodFrom >= hold {
			set(Returning, fmt.Sprintf("its hosts answer for %v", (now-z.goodFrom).Round(time.Second)))
			z.turned, z.ramp = now, 0
		}
	case z.state == Returning && z.ramp >= 1:
		set(Well, "all of its room is given back")
	}
	return why
}

// measure reckons a zone's room, as told load.
func (p *Planner) measure(zone string, now time.Duration) {
	z := p.state[zone]
	v, _, ok := p.view(zone, now)
	if !ok || v.Ready == 0 {
		if !ok && now-p.began > freshFor {
			// Nobody knows: what is not seen fades, but for what its own clients need there.
			own := 0.0
			for _, w := range z.want {
				own += w
			}
			z.room = max(0.9*z.room, min(z.room, own))
		}
		return
	}
	n := float64(v.Nodes)
	out := float64(v.Out / v.Ready)
	if p.suspect {
		out = 0
	}
	hosts := float64(v.Warm) / n * (1 - out) * p.rules.Limit
	cost := float64(v.Cost) / n
	held, whole := 0.0, true
	for _, o := range p.zones {
		s := p.state[o]
		if s.at == 0 || now-s.at > freshFor {
			whole = whole && o != zone && !p.mayCross(o, zone)
			continue
		}
		if r, there := s.sum.row(zone); there {
			for _, h := range r.Held {
				held += float64(h)
			}
			live := 0
			for _, node := range p.list.InZone(o) {
				if p.cut.Live(node) {
					live++
				}
			}
			// What some of a zone's nodes hold, against all that the hosts bear, would show hosts that are much too dear.
			whole = whole && float64(r.Nodes) > 0.9*float64(live)
		}
	}
	// What a unit of told load takes is measured where enough stands there and all who may have a part of it are heard: nodes learn it on
	// the view that all of them use all hosts alike, which under a plan they don't. It shows slow hosts as well.
	load := float64(v.Load) / n
	switch {
	case whole && load > 0.1*hosts && held > 0:
		cost = load / held
	case z.cost > 0:
		cost = z.cost
	case z.room > 0: // of the plan before
		cost = hosts / z.room
	}
	if cost <= 0 {
		return
	}
	if z.cost == 0 {
		z.cost = cost
	}
	z.cost += (cost - z.cost) * 0.3
	if room := hosts / z.cost; z.room == 0 || room < z.room || z.state == Returning { // which is given back step by step anyway
		z.room = room
	} else {
		z.room += (room - z.room) * 0.2
	}
}

// mayCross says whether a zone's nodes may have connections in another one, by any plan known here.
func (p *Planner) mayCross(from, to string) bool {
	return slices.ContainsFunc(p.known, func(k Known) bool { return k.Plan.oldGrant(from, to) > 0 })
}

// usable is what of a zone's room a plan may give.
func (z *zoneState) usable(r Rules) float64 {
	switch z.state {
	case Lost, Drained:
		return 0
	case Returning:
		return z.room * z.ramp
	}
	return z.room
}

// Newest tells which plan the log has now.
func (p *Planner) Newest(number uint64, plan *Plan, now time.Duration) {
	if n := len(p.known); n > 0 && p.known[n-1].Number >= number {
		return
	}
	p.known = append(p.known, Known{number, plan, now})
	p.proposed = 0
	least := number
	for i := range p.list.Len() {
		if at, lost := p.cut.LostSince(i); !lost || now-at < forgetLost {
			least = min(least, p.confirmed[i])
		}
	}
	// A plan that nobody can use any longer is of no more use here: all have said that they use a newer one, and crossings of those that
	// can't be heard are over.
	for len(p.known) > 1 && (p.known[1].Number <= least && now-p.known[1].From > p.rules.Life+time.Second+settles || len(p.known) > mostKnown) {
		p.known = p.known[1:]
	}
}

// Order tells what operators have ordered.
func (p *Planner) Order(o Orders) { p.orders = o }

// inUse is the most that each node may have from its zone in each zone, by its place, by any plan that it may still go by.
func (p *Planner) inUse(now time.Duration) [][]float64 {
	n := len(p.zones)
	place := map[string]int{}
	for i, z := range p.zones {
		place[z] = i
	}
	out := make([][]float64, p.list.Len())
	for i := range out {
		out[i] = make([]float64, n)
	}
	for i, k := range p.known {
		over := time.Duration(math.MaxInt64)
		if i+1 < len(p.known) {
			over = p.known[i+1].From
		}
		// Crossings of a plan end by each node's own clock some time after a newer one has come.
		crossed := now > over && now-over > p.rules.Life+time.Second
		at := make([]int, len(k.Plan.Zones)) // its zones' places here
		for z := range at {
			at[z] = -1
			if here, ok := place[k.Plan.Zones[z].Name]; ok {
				at[z] = here
			}
		}
		lost := map[int]bool{}
		for _, node := range k.Plan.Lost {
			lost[node] = true
		}
		for _, g := range k.Plan.Grants {
			z := k.Plan.Zones[g.From]
			if at[g.From] < 0 || at[g.To] < 0 || g.From != g.To && crossed {
				continue
			}
			for _, node := range p.list.InZone(z.Name) {
				if k.Number < p.confirmed[node] {
					continue // it has said that it uses a newer one
				}
				share := 0.0
				switch {
				case !lost[node] && z.Nodes > 0:
					share = float64(g.Load) / float64(z.Nodes)
				case g.From == g.To && z.Listed > 0:
					share = float64(g.Load) / float64(z.Listed)
				}
				out[node][at[g.To]] = max(out[node][at[g.To]], share)
			}
		}
	}
	// And by plans that this planner never knew: each plan tells what those before it had left in use.
	for i, k := range p.known {
		if p.follows(i) {
			continue
		}
		crossed := now-k.From > p.rules.Life+time.Second
		for from, z := range k.Plan.Zones[:min(len(k.Plan.Before), len(k.Plan.Zones))] {
			for _, node := range p.list.InZone(z.Name) {
				if p.confirmed[node] >= k.Number {
					continue
				}
				gone, forgotten := p.cut.LostSince(node)
				forgotten = forgotten && now-gone >= forgetLost
				for to, share := range k.Plan.Before[from] {
					here, ok := place[k.Plan.Zones[to].Name]
					if !ok || from != to && crossed || from == to && forgotten {
						continue
					}
					out[node][here] = max(out[node][here], float64(share))
				}
			}
		}
	}
	return out
}

// follows says that the plan before a known one is known too.
func (p *Planner) follows(i int) bool {
	return i > 0 && p.known[i].Plan.Prev == p.known[i-1].Number
}

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

// differs says how much: 0 not to speak of, 1 some, 2 so that it presses.
func differs(a, b *Plan) int {
	if len(a.Zones) != len(b.Zones) || !slices.Equal(a.Lost, b.Lost) || !slices.Equal(a.Classes, b.Classes) {
		return 2
	}
	most := 0
	for i, z := range b.Zones {
		if a.Zones[i].State != z.State || a.Zones[i].Nodes != z.Nodes || a.Zones[i].Name != z.Name || a.Zones[i].Lender != z.Lender {
			return 2
		}
		for c := range z.Want {
			if d := a.Admit[i][c] - b.Admit[i][c]; d > 12 || d < -12 {
				most = max(most, 1)
			}
		}
		if x, y := float64(a.Zones[i].Reserve), float64(z.Reserve); math.Abs(x-y) > 0.1*float64(z.Room)+0.5 && math.Abs(x-y) > 0.15*max(x, y) {
			most = max(most, 1)
		}
		have, get, want := 0.0, 0.0, 0.0 // of the zone's clients, in all zones
		for _, w := range z.Want {
			want += float64(w)
		}
		for j := range b.Zones {
			have, get = have+a.grant(i, j), get+b.grant(i, j)
		}
		if have < 1.3*want && get > have+0.03*want+0.5 {
			most = max(most, 1)
		}
		for j := range b.Zones {
			x, y := a.grant(i, j), b.grant(i, j)
			if d := math.Abs(x - y); d > 0.1*float64(z.Room)+0.5 && d > 0.15*max(x, y) {
				most = max(most, 1)
			}
			if i != j && x < 0.5*y && y > 0.5 {
				most = 2 // somebody has nowhere to go
			}
		}
		if z.State == Returning && float64(a.Zones[i].Room) < 0.9*float64(z.Room) {
			most = 2
		}
	}
	return most
}

// make makes the plan for now.
func (p *Planner) make(now time.Duration) *Plan {
	n, classes := len(p.zones), len(p.rules.Classes)
	plan := &Plan{Life: float32(p.rules.Life.Seconds()), Lost: p.cut.Lost()}
	d := demand{room: make([]float64, n), region: make([]string, n)}
	heard := 0
	for _, k := range p.rules.Classes {
		plan.Classes, plan.Stay = append(plan.Classes, k.Name), append(plan.Stay, k.Stay)
		d.worth, d.stay = append(d.worth, k.Worth), append(d.stay, k.Stay)
	}
	for i, name := range p.zones {
		z := p.state[name]
		d.room[i], d.region[i] = z.usable(p.rules), p.list.Region(name)
		d.want = append(d.want, z.want)
		if z.at > 0 {
			heard++
		}
		zone := Zone{Name: name, Region: d.region[i], State: z.state, Listed: len(p.list.InZone(name)), Lender: p.lender(name), Turns: z.turns, Room: float32(d.room[i])}
		for _, node := range p.list.InZone(name) {
			if p.cut.Live(node) {
				zone.Nodes++
			}
		}
		for c := range classes {
			zone.Want = append(zone.Want, float32(z.want[c]))
		}
		plan.Zones = append(plan.Zones, zone)
	}
	if heard == 0 {
		return nil
	}
	for o := range n {
		row := make([]float64, n)
		for t := range n {
			row[t] = p.distance(o, t, now)
		}
		d.far = append(d.far, row)
	}
	a := allot(d)
	p.grants(plan, d, a, now)
	for o := range n {
		admit := make([]int, classes)
		for c := range admit {
			admit[c] = 255
			if w, let := d.want[o][c], a.let(o, c); w > 0.5 && let < 0.98*w {
				admit[c] = int(math.Ceil(255 * let / w))
			}
		}
		plan.Admit = append(plan.Admit, admit)
	}
	return plan
}

// distance is the cost of a way; one that is seen to be bad is none.
func (p *Planner) distance(o, t int, now time.Duration) float64 {
	if o == t {
		return 0
	}
	if bad, _ := p.bad(p.ways[[2]string{p.zones[o], p.zones[t]}], now); bad {
		return math.Inf(1)
	}
	a, b := p.list.Region(p.zones[o]), p.list.Region(p.zones[t])
	if a == b {
		return 1
	}
	return 1 + p.rules.Far(a, b)
}

// grants turns what was allotted into grants. All plans that may still be in use count: what stays within a zone's room is the sum of the
// most that any of them gives each node.
func (p *Planner) grants(plan *Plan, d demand, a allotted, now time.Duration) {
	n := len(p.zones)
	wants := make([][]float64, n)
	for o := range wants {
		wants[o] = make([]float64, n)
	}
	for t := range n {
		for o := range n {
			wants[o][t] = a.between(o, t)
		}
	}
	// Clients come to a zone's nodes by chance, and more of them come than are reckoned: each zone should have some more than it needs,
	// or its nodes turn away what others have room for.
	short := make([]float64, n)
	for o := range n {
		want := 0.0
		for _, v := range d.want[o] {
			want += v
		}
		guests := max(0, want-wants[o][o]) // in their own zone nodes may each have more than their part
		short[o] = want + math.Sqrt(guests*float64(max(1, plan.Zones[o].Nodes)))
		for t := range n {
			short[o] -= wants[o][t]
		}
		if plan.Zones[o].Nodes == 0 {
			short[o] = 0
		}
	}
	// Near room first: own zone, then the region, then the rest.
	free := make([]float64, n)
	for t := range n {
		free[t] = d.room[t]
		for o := range n {
			free[t] -= wants[o][t]
		}
		free[t] = max(0, free[t])
	}
	for _, step := range d.steps() {
		asked := make([]float64, n)
		give := make([][]float64, n)
		for o := range n {
			give[o] = make([]float64, n)
			sum := 0.0
			for t := range n {
				if d.far[o][t] == step {
					sum += free[t]
				}
			}
			for t := range n {
				if d.far[o][t] == step && sum > 1e-9 && short[o] > 0 {
					give[o][t] = min(short[o], sum) * free[t] / sum
					asked[t] += give[o][t]
				}
			}
		}
		for o := range n {
			for t := range n {
				if give[o][t] > 0 {
					v := give[o][t] * min(1, free[t]/asked[t])
					wants[o][t] += v
					short[o] -= v
				}
			}
		}
		for t := range n {
			free[t] = max(0, free[t]-asked[t])
		}
	}
	reserve := make([]float64, n)
	for t := range n {
		switch z := p.state[p.zones[t]]; z.state {
		case Lost: // for its own nodes' trials, one for each
			wants[t][t] = max(trial*z.room, float64(plan.Zones[t].Listed))
			plan.Zones[t].Room = float32(wants[t][t])
			continue
		case Drained:
			continue
		}
		wants[t][t] += ownExtra * free[t]
		reserve[t] = (1 - ownExtra) * (1 - standBy) * free[t]
		// The rest stands by: whoever's own zone fails can go there at once, before any plan says so, and also when there is nobody who
		// could make one.
		weight := make([]float64, n)
		sum := 0.0
		for o := range n {
			if o == t || plan.Zones[o].Nodes == 0 || math.IsInf(d.far[o][t], 1) {
				continue
			}
			weight[o] = 1
			for _, v := range d.want[o] {
				weight[o] += v
			}
			weight[o] /= max(1, d.far[o][t]*d.far[o][t])
			sum += weight[o]
		}
		for o := range n {
			if weight[o] > 0 {
				wants[o][t] += (1 - ownExtra) * standBy * free[t] * weight[o] / sum
			}
		}
	}
	tight := map[string]bool{}
	wanted, room := map[string]float64{}, map[string]float64{}
	for o := range n {
		for _, v := range d.want[o] {
			wanted[d.region[o]] += v
		}
		room[d.region[o]] += d.room[o]
	}
	for r := range wanted {
		tight[r] = wanted[r] > 0.8*room[r]
	}
	p.short = false
	using := p.inUse(now)
	for o := range n { // for a planner that knows this plan and none before it
		row := make([]float32, n)
		for _, node := range p.list.InZone(p.zones[o]) {
			for t, v := range using[node] {
				row[t] = max(row[t], float32(v))
			}
		}
		plan.Before = append(plan.Before, row)
	}
	for t := range n {
		used := make([]float64, n) // by giving zone: what older plans may have there
		total := 0.0
		order := []int{t}
		for o := range n {
			for _, node := range p.list.InZone(p.zones[o]) {
				used[o] += using[node][t]
			}
			total += used[o]
			if o != t {
				order = append(order, o)
			}
		}
		lending, lent := p.lending(p.zones[t], now)
		total += lent
		for _, l := range slices.Sorted(maps.Keys(lending)) {
			plan.Lends = append(plan.Lends, Lend{Zone: t, Lender: l, Load: float32(lending[l])})
		}
		for o := range n {
			if o != t {
				plan.Zones[t].Guests += float32(a.between(o, t))
			}
		}
		g := make([]float64, n)
		// What clients need goes before what stands by for them; a zone's own clients go first.
		sum := 0.0 // of the new grants
		for pass, want := range []func(o int) float64{func(o int) float64 { return a.between(o, t) }, func(o int) float64 { return wants[o][t] }} {
			for _, o := range order {
				room := plan.Zones[t].Room
				if p.state[p.zones[t]].state == Lost && o != t {
					room = 0
				}
				if z := plan.Zones[t]; o == t && z.Listed > z.Nodes { // those out of the view may be there, with a part of their own
					room /= 1 + float32(z.Listed-z.Nodes)/float32(z.Listed)
				}
				v := min(want(o), p.fit(plan, using, o, t, max(0, float64(room)-(total-used[o]))))
				if pass > 0 { // to spare is only what the new grants together leave
					v = min(v, float64(room)-(sum-g[o]))
				}
				v = max(g[o], v)
				spent := p.spent(plan, using, o, t, v)
				total, sum = total+spent-used[o], sum+v-g[o]
				g[o], used[o] = v, spent
			}
		}
		// Where a zone's room has shrunk, what nodes have already is more than it: they are to have less, guests first. Those out of the
		// view may be there, with a part of their own.
		away := 1 + float64(plan.Zones[t].Listed-plan.Zones[t].Nodes)/float64(max(1, plan.Zones[t].Listed))
		whole := float64(plan.Zones[t].Room)
		g[t] = min(g[t], whole/away)
		guests := 0.0
		for o := range n {
			if o != t {
				guests += g[o]
			}
		}
		if left := max(0, whole-g[t]*away); guests > left {
			for o := range n {
				if o != t {
					g[o] *= left / guests
				}
			}
			guests = left
		}
		sum = g[t]*away + guests
		// What nobody needs and nobody stands by for is lent. A lender may have lent by its older plans what its new one takes back.
		z := &plan.Zones[t]
		if s := p.state[z.Name].state; z.Lender >= 0 && (s == Well || s == Returning) {
			unmet := 0.0 // by its grants so far: it is lent meanwhile, and becomes grants as older plans go out of use
			for o := range n {
				if o != t {
					unmet += max(0, a.between(o, t)-g[o])
				}
			}
			v := min(max(reserve[t], lentOn*unmet), float64(z.Room)-sum, float64(z.Room)-(total-lending[z.Lender]))
			z.Reserve = float32(max(0, v))
		}
		meant := reserve[t] - float64(z.Reserve)
		for o := range n {
			meant += max(0, wants[o][t]-g[o])
		}
		p.short = p.short || meant > 0.05*float64(z.Room)
		for _, o := range order {
			if g[o] > 1e-3 {
				stay := 0.0
				for c, k := range p.rules.Classes {
					if k.Stay && tight[d.region[t]] { // else there is no need to keep others away
						stay += a[o][t][c]
					}
				}
				plan.Grants = append(plan.Grants, Grant{From: o, To: t, Load: float32(g[o]), Stay: float32(min(1.3*stay, g[o]))})
			}
		}
	}
}

func (p *Plan) oldGrant(from, to string) float64 {
	a, b := p.zone(from), p.zone(to)
	if a < 0 || b < 0 {
		return 0
	}
	return p.grant(a, b)
}

// spent is what all nodes of a zone may have in another, once a grant of g is added to the plans in use.
func (p *Planner) spent(plan *Plan, using [][]float64, o, t int, g float64) (sum float64) {
	z := plan.Zones[o]
	for _, node := range p.list.InZone(z.Name) {
		share := 0.0
		switch live := p.cut.Live(node); {
		case live && z.Nodes > 0:
			share = g / float64(z.Nodes)
		case o == t && z.Listed > 0:
			share = g / float64(z.Listed)
		}
		sum += max(share, using[node][t])
	}
	return sum
}

// fit is the largest grant with which a zone's nodes stay within a room; what they may have by older plans can't be taken back here.
func (p *Planner) fit(plan *Plan, using [][]float64, o, t int, room float64) float64 {
	lo, hi := 0.0, room*2+1
	// What each node of the zone may have already, nobody else was promised: so much always fits.
	z := plan.Zones[o]
	least := math.Inf(1)
	for _, node := range p.list.InZone(z.Name) {
		if p.cut.Live(node) {
			least = min(least, using[node][t])
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	kept := least * float64(z.Nodes)
	if p.spent(plan, using, o, t, kept) >= room {
		return kept
	}
	for range 40 {
		mid := (lo + hi) / 2
		if p.spent(plan, using, o, t, mid) <= room {
			lo = mid
		} else {
			hi = mid
		}
	}
	return max(lo, kept)
}

// Seen is what is known of a node.
type Seen struct {
	Live bool
	Plan uint64
	Ago  float64 // seconds since it was heard; under 0: never
}

// Seen tells what is known of a node.
func (p *Planner) Seen(node int, now time.Duration) Seen {
	s := Seen{Live: p.cut.Live(node), Plan: p.confirmed[node], Ago: -1}
	if at, ok := p.cut.Heard(node); ok {
		s.Ago = (now - at).Seconds()
	}
	return s
}

// Explain tells in lines what led to a zone's state.
func (p *Planner) Explain(zone string, now time.Duration) (lines []string) {
	z := p.state[zone]
	if z == nil {
		return nil
	}
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	say("%s is %s since %v", zone, z.state, (now - z.since).Round(time.Second))
	v, own, ok := p.view(zone, now)
	switch {
	case !ok:
		say("nobody has told of its hosts within %v", freshFor)
	default:
		who := "its own nodes tell"
		if !own {
			who = "other zones' nodes tell"
		}
		n := float64(max(v.Nodes, 1))
		say("%s (%.0f of them): %.1f hosts serve, %.1f are left out, together they can do %.1f and have %.1f", who, n, float64(v.Ready)/n,
			float64(v.Out)/n, float64(v.Warm)/n, float64(v.Load)/n)
	}
	if bad, why := p.judge(zone, now); bad {
		say("it is taken for bad: %s", why)
	} else if z.state == Lost {
		say("it is well again since %v; it comes back after %v, and %v after it last came back", (now - z.goodFrom).Round(time.Second), p.rules.Hold, turnHold)
	}
	say("room %.1f in told load, of which %.1f may be given now", z.room, z.usable(p.rules))
	for _, o := range p.zones {
		if w := p.ways[[2]string{o, zone}]; w != nil && now-w.at < freshFor && w.tried >= 1 {
			say("from %s: %.0f tries of late, %.0f failed", o, w.tried, w.failed)
		}
	}
	for c, k := range p.rules.Classes {
		say("its clients want %.1f of class %s", z.want[c], k.Name)
	}
	return lines
}
