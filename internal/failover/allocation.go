package failover

import (
	"math"
	"slices"
)

// allocation is the placement of a demand. It holds loads, indexed by the zone that a load comes from, the zone that
// takes it, and its class.
type allocation [][][]float64

func newAllocation(zones, classes int) allocation {
	placed := make(allocation, zones)
	for from := range placed {
		placed[from] = make([][]float64, zones)
		for to := range placed[from] {
			placed[from][to] = make([]float64, classes)
		}
	}
	return placed
}

// between returns the load of all classes that goes from one zone to another.
func (a allocation) between(from, to int) float64 { return sumOf(a[from][to]) }

// admitted returns the load of a zone's class that is placed in any zone.
func (a allocation) admitted(from, class int) (load float64) {
	for to := range a[from] {
		load += a[from][to][class]
	}
	return load
}

// allocate places a demand. If not all of it fits, classes of higher priority go first. As much as possible of the
// admitted load stays in its own zone, then in its region, and only the rest goes further.
func allocate(wanted *demand) allocation {
	classes := wanted.classesByPriority()
	byPriority := newAllocation(len(wanted.capacity), len(wanted.priority))
	capacity := slices.Clone(wanted.capacity)
	for _, class := range classes {
		wanted.place(byPriority, capacity, wanted.loads, class)
	}
	// This pass determined which load is admitted. Place that load again, for all classes in their own zones before
	// any load goes to another zone.
	admitted := byPriority.admittedLoads()
	nearFirst := wanted.allocateNearFirst(classes, admitted)
	if !nearFirst.admitsAll(admitted) { // some load fits only in the order of priority
		return byPriority
	}
	return nearFirst
}

// allocateNearFirst places admitted loads, as much as possible in their own zones.
func (d *demand) allocateNearFirst(classes []int, loads [][]float64) allocation {
	placed := newAllocation(len(d.capacity), len(d.priority))
	capacity := slices.Clone(d.capacity)
	for _, class := range classes { // classes that must stay in their region get near capacity first
		if d.stayInRegion[class] {
			d.place(placed, capacity, loads, class)
		}
	}
	for zone := range loads {
		for _, class := range classes {
			load := min(loads[zone][class]-placed.admitted(zone, class), capacity[zone])
			if load > 0 && !math.IsInf(d.pathCosts[zone][zone], 1) {
				placed[zone][zone][class] += load
				capacity[zone] -= load
			}
		}
	}
	for _, class := range classes {
		d.place(placed, capacity, loads, class)
	}
	return placed
}

// admittedLoads returns the placed load, indexed by the zone that it comes from and its class.
func (a allocation) admittedLoads() [][]float64 {
	loads := make([][]float64, len(a))
	for from := range a {
		loads[from] = make([]float64, len(a[from][from]))
		for class := range loads[from] {
			loads[from][class] = a.admitted(from, class)
		}
	}
	return loads
}

// admitsAll reports whether the allocation places all of the loads, except for a negligible rest.
func (a allocation) admitsAll(loads [][]float64) bool {
	for from := range loads {
		for class, load := range loads[from] {
			if a.admitted(from, class) < load-negligibleLoad*(1+load) {
				return false
			}
		}
	}
	return true
}

// place assigns the unplaced load of a class to zones with capacity left, and subtracts it from their capacity. It
// proceeds from the lowest path cost to the highest, for all zones at once.
func (d *demand) place(placed allocation, capacity []float64, loads [][]float64, class int) {
	unplaced := make([]float64, len(capacity))
	for from := range unplaced {
		unplaced[from] = max(0, loads[from][class]-placed.admitted(from, class))
	}
	for _, cost := range d.distinctPathCosts() {
		for range placementRounds { // in each further round, zones with more demand take capacity that others left
			if d.placeRound(placed, capacity, unplaced, class, cost) <= negligibleLoad {
				break
			}
		}
	}
}

// placeRound places load at one path cost and returns how much it placed. Zones that claim the same capacity share it
// in proportion to their claims.
func (d *demand) placeRound(placed allocation, capacity, unplaced []float64, class int, cost float64) (total float64) {
	claims, claimed := d.claims(capacity, unplaced, class, cost)
	for from := range claims {
		for to, claim := range claims[from] {
			if claim <= 0 {
				continue
			}
			load := claim * min(1, capacity[to]/claimed[to])
			placed[from][to][class] += load
			unplaced[from] -= load
			total += load
		}
	}
	for to := range capacity {
		capacity[to] = max(0, capacity[to]-min(claimed[to], capacity[to]))
	}
	return total
}

// claims divides the unplaced load of each zone among the capacities at one path cost, and sums the claims on each
// capacity.
func (d *demand) claims(capacity, unplaced []float64, class int, cost float64) (claims [][]float64, claimed []float64) {
	claims = newMatrix(len(unplaced))
	claimed = make([]float64, len(unplaced))
	for from := range unplaced {
		reachable := 0.0
		for to := range capacity {
			if d.mayPlace(from, to, class, cost) {
				reachable += capacity[to]
			}
		}
		if unplaced[from] <= negligibleCapacity || reachable <= negligibleCapacity {
			continue
		}
		for to := range capacity {
			if d.mayPlace(from, to, class, cost) {
				claims[from][to] = unplaced[from] * capacity[to] / reachable
				claimed[to] += claims[from][to]
			}
		}
	}
	return claims, claimed
}

// newMatrix returns a square matrix of zeros.
func newMatrix(size int) [][]float64 {
	rows := make([][]float64, size)
	for i := range rows {
		rows[i] = make([]float64, size)
	}
	return rows
}
