package failover

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Classes of the randomly drawn demands.
const (
	highPriorityClass = iota
	lowPriorityClass
	regionalClass // of medium priority; in some demands it must stay in its region
	testClasses
)

// TestAllocateRandomDemands checks allocations of random demands. An allocation exceeds neither the demand nor the
// capacity, and keeps a class in its region that must stay there. If no class must, the allocation rejects no load of
// high priority while it admits load of low priority, and sends no more load to other zones than necessary.
func TestAllocateRandomDemands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wanted := drawDemand(t)
		placed := allocate(&wanted)
		checkPlaced(t, &wanted, placed)
		if !wanted.stayInRegion[regionalClass] {
			checkEfficient(t, &wanted, placed)
		}
	})
}

// drawDemand draws the demand of up to six zones, two to a region.
func drawDemand(t *rapid.T) demand {
	zones := rapid.IntRange(1, 6).Draw(t, "zones")
	wanted := demand{
		priority:     []float64{3, 1, 1.5},
		stayInRegion: []bool{false, false, rapid.Bool().Draw(t, "stay in region")},
	}
	for zone := range zones {
		wanted.capacity = append(wanted.capacity, rapid.Float64Range(0, 100).Draw(t, "capacity"))
		wanted.regions = append(wanted.regions, fmt.Sprint(zone/2))
		var loads []float64
		for range testClasses {
			loads = append(loads, rapid.Float64Range(0, 40).Draw(t, "load"))
		}
		wanted.loads = append(wanted.loads, loads)
	}
	for from := range zones {
		var costs []float64
		for to := range zones {
			switch {
			case from == to:
				costs = append(costs, 0)
			case wanted.regions[from] == wanted.regions[to]:
				costs = append(costs, 1)
			default:
				costs = append(costs, 2)
			}
		}
		wanted.pathCosts = append(wanted.pathCosts, costs)
	}
	return wanted
}

// checkPlaced checks that the allocation exceeds neither the capacity of a zone nor the demand of a class, and that
// the regional class stays in its region if it must.
func checkPlaced(t *rapid.T, wanted *demand, placed allocation) {
	for zone := range wanted.capacity {
		taken := 0.0
		for other := range wanted.capacity {
			taken += placed.between(other, zone)
			crosses := wanted.regions[zone] != wanted.regions[other]
			if crosses && wanted.stayInRegion[regionalClass] && placed[zone][other][regionalClass] > 1e-6 {
				t.Fatalf("allocate: got load of zone %d in zone %d, want its regional class to stay in its region",
					zone, other)
			}
		}
		if taken > wanted.capacity[zone]+1e-6 {
			t.Fatalf("allocate: zone %d of capacity %v: got load %v, want at most the capacity",
				zone, wanted.capacity[zone], taken)
		}
		for class, load := range wanted.loads[zone] {
			if admitted := placed.admitted(zone, class); admitted > load+1e-6 || admitted < 0 {
				t.Fatalf("allocate: zone %d, demand %v of class %d: got %v admitted, want 0 to the demand",
					zone, load, class, admitted)
			}
		}
	}
}

// checkEfficient checks an allocation for a demand whose classes may all go to any zone. The allocation must admit as
// much of the demand as the capacity allows, send no more load to other zones than necessary, and prefer the class of
// high priority.
func checkEfficient(t *rapid.T, wanted *demand, placed allocation) {
	load := 0.0
	capacity := 0.0
	admitted := 0.0
	crossed := 0.0
	mustCross := 0.0
	highRejected := 0.0
	lowAdmitted := 0.0
	for zone := range wanted.capacity {
		load += wanted.ofZone(zone)
		capacity += wanted.capacity[zone]
		mustCross += max(0, wanted.ofZone(zone)-wanted.capacity[zone])
		for other := range wanted.capacity {
			if other != zone {
				crossed += placed.between(zone, other)
			}
		}
		for class := range testClasses {
			admitted += placed.admitted(zone, class)
		}
		highRejected += wanted.loads[zone][highPriorityClass] - placed.admitted(zone, highPriorityClass)
		lowAdmitted += placed.admitted(zone, lowPriorityClass)
	}
	tolerance := 1e-3 * (1 + load)
	if math.Abs(admitted-min(load, capacity)) > tolerance {
		t.Fatalf("allocate: got %v admitted, want %v, for demand %v and capacity %v",
			admitted, min(load, capacity), load, capacity)
	}
	if load <= capacity && crossed > mustCross+tolerance {
		t.Fatalf("allocate: got %v placed in other zones, want at most %v", crossed, mustCross)
	}
	if highRejected > tolerance && lowAdmitted > tolerance {
		t.Fatalf("allocate: rejected %v of the highest priority and admitted %v of the lowest, want one of them 0",
			highRejected, lowAdmitted)
	}
}
