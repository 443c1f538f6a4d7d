package failover

import (
	"maps"
	"math"
	"slices"
	"time"

	"spurwinch/choice"
)

const (
	// LeaseDuration is how long a loan lasts: at the borrower from when it asked, at the lender from when it heard.
	LeaseDuration = 2 * time.Second
	// settles is how long after a lender's last word a loan of its may still be in use.
	settles  = LeaseDuration + 500*time.Millisecond
	nearly   = 0.75 // of what a node may have: from here on it borrows ahead
	leastAsk = 0.5  // told load under which nothing is asked for
	badZone  = 0.5  // of a zone's hosts left out: from here on nothing is borrowed there
)

// LeaseOwner lends one zone's reserve. What it has lent counts until the borrower's time is surely over, also when a newer plan leaves
// less to lend.
type LeaseOwner struct {
	out  map[int][]lent
	from time.Duration // what a process before this one has lent is over by then
}

type lent struct {
	load  float64
	until time.Duration
}

// NewLeaseOwner begins to lend, where an earlier process of this node may have lent.
func NewLeaseOwner(now time.Duration) *LeaseOwner {
	return &LeaseOwner{out: map[int][]lent{}, from: now + settles}
}

// Grant gives a node up to what it asks for. One that asks for less than it has goes by less already.
func (l *LeaseOwner) Grant(node int, asks, reserve float64, now time.Duration) float64 {
	if now < l.from || !(asks >= 0) || !(reserve >= 0) {
		return 0
	}
	for n, all := range l.out {
		if l.out[n] = slices.DeleteFunc(all, func(x lent) bool { return x.until <= now }); len(l.out[n]) == 0 {
			delete(l.out, n)
		}
	}
	others := 0.0
	for _, n := range slices.Sorted(maps.Keys(l.out)) { // sums of floats are alike in one order only
		if n != node {
			others += most(l.out[n])
		}
	}
	mine := l.out[node]
	for i := range mine {
		mine[i].load = min(mine[i].load, asks)
	}
	free := max(0, reserve-others)
	give := min(asks, free)
	if give > 0 {
		l.out[node] = append(slices.DeleteFunc(mine, func(x lent) bool { return x.load <= give }), lent{give, now + settles})
	}
	return give
}

func most(all []lent) (sum float64) {
	for _, x := range all {
		sum = max(sum, x.load)
	}
	return sum
}

// Reserved is all that is out.
func (l *LeaseOwner) Reserved(now time.Duration) (sum float64) {
	for _, n := range slices.Sorted(maps.Keys(l.out)) {
		sum += most(slices.DeleteFunc(slices.Clone(l.out[n]), func(x lent) bool { return x.until <= now }))
	}
	return sum
}

// LeaseDemand is what a node of a zone wants to borrow, by zone, after what its module saw in a time of dt. had is the most that stood at the node of
// late, got what it has been lent, and full the zones whose lenders gave less than was asked.
func LeaseDemand(m Mode, p *Plan, node int, zone string, n choice.Observations, dt time.Duration, had float64, got map[string]float64, full map[string]bool) map[string]float64 {
	asks := map[string]float64{}
	if p == nil || p.zone(zone) < 0 || m == Standalone || dt <= 0 {
		return asks
	}
	seen := summarize(n, zone)
	// What it may have without loans, in zones whose hosts answer.
	may, near := 0.0, 0.0
	for _, g := range ZonePlanFor(m, p, node, zone, p.Classes, 0, LeasedCapacity{}).Grants {
		if !seen.bad[g.Zone] {
			may += g.Load
		}
		if g.Zone == zone {
			near += g.Load
		}
	}
	if ask := askOwnZone(p.Zones[p.zone(zone)], seen, near); ask > 0 {
		asks[zone] = ask
		may += ask
	}
	want := seen.held + seen.expected(zone, may, had, dt) - may
	if math.IsNaN(want) {
		return asks
	}
	for _, zones := range p.ranks(p.zone(zone)) {
		if want < leastAsk {
			break
		}
		want = p.askZones(asks, zones, want, seen.bad, got, full)
	}
	return asks
}

// moduleView is what a node's module saw, summed up for borrowing.
type moduleView struct {
	held, arrived, refused float64         // told load, in all zones and of all classes
	heldNear               float64         // in the node's own zone
	bad                    map[string]bool // zones whose hosts fail
}

func summarize(n choice.Observations, zone string) moduleView {
	v := moduleView{bad: map[string]bool{}}
	for _, z := range n.Zones {
		v.bad[z.Zone] = ZoneFailing(z)
		for _, load := range z.OwnLoad {
			v.held += load
			if z.Zone == zone {
				v.heldNear += load
			}
		}
	}
	for _, c := range n.Classes {
		v.arrived += c.Arrived
		v.refused += c.Rejected
	}
	return v
}

// expected is the load that comes soon beyond what stands: what comes within a second, and some for chance, since what is asked for at need comes
// too late for it. may is what the node may have, had the most that stood at it of late.
func (v moduleView) expected(zone string, may, had float64, dt time.Duration) (soon float64) {
	if v.refused > 0 || v.held > nearly*may {
		soon = min(v.arrived/dt.Seconds(), had/2) + math.Sqrt(v.held)
	}
	if v.refused > 0 && v.bad[zone] { // its own zone failed: those who stood there come back at once
		soon = max(soon, had-v.held)
	}
	return soon
}

// askOwnZone is what a node asks its own zone's lender for, before any other's: one that has held what others of its zone should, while they were
// away, finds its part full although the zone has room. near is what it may have there.
func askOwnZone(own Zone, v moduleView, near float64) float64 {
	if !v.bad[own.Name] && own.lends() && v.heldNear > nearly*near {
		if ask := min(v.heldNear+math.Sqrt(v.heldNear)-near, float64(own.Reserve)); ask >= leastAsk {
			return ask
		}
	}
	return 0
}

// askZones adds to what is asked of zones that are equally near, each by its reserve, and gives what is still wanted of others: lenders that
// gave less than they were asked for will not give more.
func (p *Plan) askZones(asks map[string]float64, zones []int, want float64, bad map[string]bool, got map[string]float64,
	full map[string]bool) (left float64) {
	lenders := slices.DeleteFunc(slices.Clone(zones), func(i int) bool { return !p.Zones[i].lends() || bad[p.Zones[i].Name] })
	sum := 0.0
	for _, i := range lenders {
		sum += float64(p.Zones[i].Reserve)
	}
	left = want
	for _, i := range lenders {
		zone := p.Zones[i]
		ask := want * float64(zone.Reserve) / sum
		asks[zone.Name] += ask
		if full[zone.Name] {
			left -= min(ask, got[zone.Name])
		} else {
			left -= ask
		}
	}
	return left
}

// lends says whether somebody lends a reserve of the zone's room.
func (z Zone) lends() bool { return z.LeaseOwner >= 0 && z.Reserve > 0 }

// ZoneFailing says that a node finds half of a zone's hosts out of use, or none.
func ZoneFailing(z choice.ZoneObservations) bool {
	return float64(z.Ejected) >= badZone*float64(z.Ready)
}

// ranks is the zones by nearness to one: itself, its region, the rest.
func (p *Plan) ranks(own int) (out [3][]int) {
	for i, z := range p.Zones {
		switch {
		case i == own:
			out[0] = append(out[0], i)
		case z.Region == p.Zones[own].Region:
			out[1] = append(out[1], i)
		default:
			out[2] = append(out[2], i)
		}
	}
	return out
}

// lender is who lends a zone's reserve: the same as before while it is there.
func (p *Planner) lender(zone string) int {
	live := slices.DeleteFunc(slices.Clone(p.list.InZone(zone)), func(n int) bool { return !p.cut.Live(n) })
	if len(live) == 0 {
		return -1
	}
	if n := len(p.known); n > 0 {
		if old := p.known[n-1].Plan; old.zone(zone) >= 0 {
			if l := old.Zones[old.zone(zone)].LeaseOwner; slices.Contains(live, l) {
				return l
			}
		}
	}
	return slices.MinFunc(live, func(a, b int) int {
		if p.list.Key(a, a) < p.list.Key(b, b) {
			return -1
		}
		return 1
	})
}

// lending is the most that each lender may have lent of a zone's room by plans that may still be in use, and all of it.
func (p *Planner) lending(zone string, now time.Duration) (out map[int]float64, all float64) {
	out = map[int]float64{}
	over := func(lender int, newer uint64) bool { // it has lent by a newer plan for longer than a loan lasts
		from := p.newerThan(lender, newer-1)
		return from > 0 && now-from > settles
	}
	for i, k := range p.known {
		for _, l := range k.Plan.Reserves { // by plans before this one, where they aren't known
			if !p.follows(i) && k.Plan.Zones[l.Zone].Name == zone && !over(l.Owner, k.Number) && now-k.From <= p.crossingsEnd()+settles {
				out[l.Owner] = max(out[l.Owner], float64(l.Load))
			}
		}
		at := k.Plan.zone(zone)
		if at < 0 || k.Plan.Zones[at].LeaseOwner < 0 || k.Plan.Zones[at].Reserve <= 0 || over(k.Plan.Zones[at].LeaseOwner, k.Number+1) ||
			i+1 < len(p.known) && now-p.known[i+1].From > p.crossingsEnd()+settles {
			continue
		}
		lender := k.Plan.Zones[at].LeaseOwner
		out[lender] = max(out[lender], float64(k.Plan.Zones[at].Reserve))
	}
	for _, n := range slices.Sorted(maps.Keys(out)) {
		all += out[n]
	}
	return out, all
}

// said is when a node was first heard to go by a plan.
type said struct {
	plan uint64
	at   time.Duration
}

// confirm takes a node's word of the plan that it goes by.
func (p *Planner) confirm(node int, plan uint64, now time.Duration) {
	if plan <= p.confirmed[node] {
		return
	}
	p.confirmed[node] = plan
	if p.newer[node] = append(p.newer[node], said{plan, now}); len(p.newer[node]) > 64 {
		p.newer[node] = p.newer[node][1:] // what is forgotten counts from a later word: longer than needed
	}
}

// newerThan is when a node was first heard to go by a plan newer than that one; 0: not heard.
func (p *Planner) newerThan(node int, plan uint64) time.Duration {
	if node >= len(p.newer) {
		return 0
	}
	for _, s := range p.newer[node] {
		if s.plan > plan {
			return s.at
		}
	}
	return 0
}
