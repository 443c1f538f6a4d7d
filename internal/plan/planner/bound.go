package planner

import (
	"fmt"
	"math"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// Bound is what arithmetic alone tells: no placement can do better, however good.
type Bound struct {
	Service   float64  `json:"service"` // at most
	Cores     float64  `json:"cores"`   // that all servers have, warm
	Demand    float64  `json:"asked"`   // in the busiest 10 s, with each group paid for once
	DemandAtS float64  `json:"asked_at_s"`
	Cannot    []string `json:"cannot"` // what can't work, in words
}

// Bounds takes the load in windows of 10 s against what the fleet has. A window that asks for more than all servers can do
// is served in part at most: what earns most for its load first.
func UpperBound(f *fleet.Fleet, l *workload.Load) Bound {
	b := Bound{Cores: f.Cores(), Service: 1}
	n := int(l.Length/window) + 1

	wins := make([]cell, n)
	classes := make([][]cell, n)
	for i := range classes {
		classes[i] = make([]cell, len(f.Classes))
	}
	groups := map[uint64][]*workload.Session{}
	var groupIDs []uint64 // by first arrival: sums in the order of a map differ in their last digits
	usual := f.CoreLoad()
	eachWindow := func(from, to time.Duration, fn func(i int, part float64)) {
		to = min(to, l.Length)
		for i := int(from / window); i < n && time.Duration(i)*window < to; i++ {
			a, z := max(from, time.Duration(i)*window), min(to, time.Duration(i+1)*window)
			fn(i, float64(z-a)/float64(window))
		}
	}
	for i := range l.Sessions {
		s := &l.Sessions[i]
		c := f.Classes[s.Class]
		x := s.Load
		if x == 0 {
			x = c.Load
		}
		eachWindow(s.Arrival, s.Arrival+s.Lifetime, func(i int, part float64) {
			wins[i].work += x * usual * part
			wins[i].worth += c.Priority * part
			wins[i].standing += part
			classes[i][s.Class].work += x * usual * part
			classes[i][s.Class].worth += c.Priority * part
		})
		if i := int(s.Arrival / window); i < n {
			wins[i].work += c.SetupWork.Seconds() / window.Seconds()
			wins[i].setups += 1 / window.Seconds()
		}
		if s.Group != 0 && f.Group.Cost > 0 {
			if groups[s.Group] == nil {
				groupIDs = append(groupIDs, s.Group)
			}
			groups[s.Group] = append(groups[s.Group], s)
		}
	}
	biggest := 0.0 // load of one group at once, with its cost
	for _, id := range groupIDs {
		g := groups[id]
		from, to, sum := g[0].Arrival, g[0].Arrival, 0.0
		for _, s := range g {
			from, to = min(from, s.Arrival), max(to, s.Arrival+s.Lifetime)
			x := s.Load
			if x == 0 {
				x = f.Classes[s.Class].Load
			}
			sum += x * usual
		}
		biggest = max(biggest, sum+f.Group.Cost*usual)
		eachWindow(from, to, func(i int, part float64) { wins[i].work += f.Group.Cost * usual * part })
	}
	want, got := 0.0, 0.0
	peak, setups := cell{}, 0.0
	for i, c := range wins {
		want += c.worth
		got += most(classes[i], c, b.Cores)
		if c.work > b.Demand {
			b.Demand, b.DemandAtS = c.work, float64(i)*window.Seconds()
		}
		peak.standing = max(peak.standing, c.standing)
		setups = max(setups, c.setups)
	}
	if want > 0 {
		b.Service = min(1, got/want)
	}
	if b.Cores <= 0 {
		b.Cannot = append(b.Cannot, "there is no server at all")
	} else if b.Demand > b.Cores {
		b.Cannot = append(b.Cannot, fmt.Sprintf("the busiest 10 s, from %.0f s on, ask for %.1f cores; all servers have %.1f", b.DemandAtS, b.Demand, b.Cores))
	}
	if r := f.Store.Rate; r > 0 && setups > r {
		b.Cannot = append(b.Cannot, fmt.Sprintf("%.1f new connections a second need the session store, which bears %.1f", setups, r))
	}
	slots, caps := 0.0, 0.0
	for _, k := range f.Nodes {
		slots += float64(k.Count) * math.Max(0, float64(k.Sockets-spareSlots)) / 2
	}
	for _, s := range f.ServerPools {
		caps += float64(s.Count) * float64(f.MachineKind(s.Kind).Connections)
	}
	if peak.standing > slots {
		b.Cannot = append(b.Cannot, fmt.Sprintf("%.0f standing connections need two descriptors each; all nodes have room for %.0f", peak.standing, slots))
	}
	if peak.standing > caps {
		b.Cannot = append(b.Cannot, fmt.Sprintf("%.0f standing connections; all servers hold %.0f at most", peak.standing, caps))
	}
	one := 0.0
	for _, s := range f.ServerPools {
		if k := f.MachineKind(s.Kind); s.Count > 0 {
			one = max(one, k.Cores*k.Speed)
		}
	}
	if biggest > one && one > 0 {
		b.Cannot = append(b.Cannot, fmt.Sprintf("one group asks for up to %.2f cores; the largest server has %.2f: it must be spread, and each server pays for it", biggest, one))
	}
	return b
}

// most is the most worth that a window's work can earn on so many cores: the best by its work first, groups and set-ups
// for nothing.
func most(classes []cell, c cell, cores float64) float64 {
	if c.work <= cores {
		return c.worth
	}
	got, left := 0.0, cores
	used := make([]bool, len(classes))
	for range classes {
		best := -1
		for k, x := range classes {
			if !used[k] && x.work > 0 && (best < 0 || x.worth/x.work > classes[best].worth/classes[best].work) {
				best = k
			}
		}
		if best < 0 {
			break
		}
		used[best] = true
		part := min(1, left/classes[best].work)
		got += classes[best].worth * part
		left -= classes[best].work * part
	}
	return got
}

// cell is what a window asks for: cores, worth a second, new connections a second, standing connections.
type cell struct{ work, worth, setups, standing float64 }
