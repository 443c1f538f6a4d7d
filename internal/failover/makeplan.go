package failover

import (
	"maps"
	"math"
	"slices"
	"time"
)

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
