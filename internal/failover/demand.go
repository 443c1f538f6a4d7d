package failover

import (
	"cmp"
	"math"
	"slices"
)

// demand holds the load to place and the capacity of each zone. Zones and classes are given by their indices in the
// plan.
type demand struct {
	loads        [][]float64 // load of the zone's clients, by zone and class
	capacity     []float64   // by zone
	pathCosts    [][]float64 // from zone to zone; infinite if attempts on the path fail
	regions      []string    // by zone
	priority     []float64   // by class
	stayInRegion []bool      // by class: whether it must stay in its client's region
}

// ofZone returns the demand of a zone's clients, over all classes.
func (d *demand) ofZone(zone int) float64 { return sumOf(d.loads[zone]) }

// classesByPriority returns all classes, the highest priority first.
func (d *demand) classesByPriority() []int {
	classes := make([]int, len(d.priority))
	for class := range classes {
		classes[class] = class
	}
	slices.SortStableFunc(classes, func(a, b int) int { return cmp.Compare(d.priority[b], d.priority[a]) })
	return classes
}

// distinctPathCosts returns the finite path costs between all zones in ascending order, each once.
func (d *demand) distinctPathCosts() (costs []float64) {
	seen := map[float64]bool{}
	for from := range d.pathCosts {
		for _, cost := range d.pathCosts[from] {
			if !math.IsInf(cost, 1) {
				seen[cost] = true
			}
		}
	}
	for cost := range seen {
		costs = append(costs, cost)
	}
	slices.Sort(costs)
	return costs
}

// mayPlace reports whether a class's load may go from one zone to another in the round for this path cost.
func (d *demand) mayPlace(from, to, class int, cost float64) bool {
	return d.pathCosts[from][to] == cost && (!d.stayInRegion[class] || d.regions[from] == d.regions[to])
}
