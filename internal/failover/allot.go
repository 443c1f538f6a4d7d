package failover

import (
	"cmp"
	"math"
	"slices"
)

// demand is what is to be placed, and where there is room.
type demand struct {
	want   [][]float64 // by zone and class
	room   []float64   // by zone
	far    [][]float64 // cost of the way from zone to zone; infinite: no way
	region []string
	worth  []float64 // by class
	stay   []bool    // by class: not out of its region
}

// allotted is how a demand is placed: by giving zone, taking zone and class.
type allotted [][][]float64

func newAllotted(n, classes int) allotted {
	a := make(allotted, n)
	for o := range a {
		a[o] = make([][]float64, n)
		for t := range a[o] {
			a[o][t] = make([]float64, classes)
		}
	}
	return a
}

// between is all that goes from one zone to another.
func (a allotted) between(o, t int) (sum float64) {
	for _, v := range a[o][t] {
		sum += v
	}
	return sum
}

// let is what is placed of a zone's class.
func (a allotted) let(o, c int) (sum float64) {
	for t := range a[o] {
		sum += a[o][t][c]
	}
	return sum
}

// allot places a demand: where not all fits, what is worth more goes first; of what fits, as much as can stays in its own zone, then in
// its region, and only the rest goes further.
func allot(d demand) allotted {
	n, classes := len(d.room), len(d.worth)
	order := make([]int, classes)
	for c := range order {
		order[c] = c
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(d.worth[b], d.worth[a]) })
	by := newAllotted(n, classes)
	room := slices.Clone(d.room)
	for _, c := range order {
		d.place(by, room, d.want, c)
	}
	// What is let in is known now; once more, with all classes' own zones before any other zone.
	let := make([][]float64, n)
	for o := range let {
		let[o] = make([]float64, classes)
		for c := range let[o] {
			let[o][c] = by.let(o, c)
		}
	}
	near := newAllotted(n, classes)
	room = slices.Clone(d.room)
	for _, c := range order { // what must stay has the first go at what is near
		if d.stay[c] {
			d.place(near, room, let, c)
		}
	}
	for o := range let {
		for _, c := range order {
			if v := min(let[o][c]-near.let(o, c), room[o]); v > 0 && !math.IsInf(d.far[o][o], 1) {
				near[o][o][c] += v
				room[o] -= v
			}
		}
	}
	for _, c := range order {
		d.place(near, room, let, c)
	}
	for o := range let {
		for c := range let[o] {
			if near.let(o, c) < let[o][c]-1e-6*(1+let[o][c]) {
				return by // something that fits only the other way
			}
		}
	}
	return near
}

// steps are the costs of ways, the least first.
func (d demand) steps() (steps []float64) {
	costs := map[float64]bool{}
	for o := range d.far {
		for _, f := range d.far[o] {
			if !math.IsInf(f, 1) {
				costs[f] = true
			}
		}
	}
	for f := range costs {
		steps = append(steps, f)
	}
	slices.Sort(steps)
	return steps
}

// place puts what is left of a class where there is room, nearest first for all zones alike; zones that want the same room share it
// by what they have left.
func (d demand) place(a allotted, room []float64, want [][]float64, c int) {
	n := len(room)
	left := make([]float64, n)
	for o := range left {
		left[o] = max(0, want[o][c]-a.let(o, c))
	}
	steps := d.steps()
	for _, f := range steps {
		for range 8 { // what one zone leaves of its part, others take
			claims := make([][]float64, n)
			asked := make([]float64, n)
			moved := 0.0
			for o := range left {
				claims[o] = make([]float64, n)
				sum := 0.0
				for t := range room {
					if d.far[o][t] == f && (!d.stay[c] || d.region[o] == d.region[t]) {
						sum += room[t]
					}
				}
				if left[o] <= 1e-9 || sum <= 1e-9 {
					continue
				}
				for t := range room {
					if d.far[o][t] == f && (!d.stay[c] || d.region[o] == d.region[t]) {
						claims[o][t] = left[o] * room[t] / sum
						asked[t] += claims[o][t]
					}
				}
			}
			for o := range claims {
				for t, v := range claims[o] {
					if v <= 0 {
						continue
					}
					v *= min(1, room[t]/asked[t])
					a[o][t][c] += v
					left[o] -= v
					moved += v
				}
			}
			for t := range room {
				room[t] = max(0, room[t]-min(asked[t], room[t]))
			}
			if moved <= 1e-6 {
				break
			}
		}
	}
}
