package failover

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Classes of the drawn demands.
const (
	highPriorityClass = iota
	lowPriorityClass
	regionalClass // of middle priority, and it may have to stay in its region
	testClasses
)

// TestAllocate holds for drawn demands: nothing is placed that nobody wants or no capacity takes, classes that must
// stay in their region do, no class of high priority is rejected where one of low priority is admitted beside it, and
// no more load goes to other zones than must.
func TestAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wanted := drawDemand(t)
		placed := allocate(&wanted)
		checkPlaced(t, &wanted, placed)
		if !wanted.stayInRegion[regionalClass] {
			checkEfficient(t, &wanted, placed)
		}
	})
}

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

// checkPlaced checks that each zone and class has no more than it may.
func checkPlaced(t *rapid.T, wanted *demand, placed allocation) {
	for zone := range wanted.capacity {
		taken := 0.0
		for other := range wanted.capacity {
			taken += placed.between(other, zone)
			crosses := wanted.regions[zone] != wanted.regions[other]
			if crosses && wanted.stayInRegion[regionalClass] && placed[zone][other][regionalClass] > 1e-6 {
				t.Fatalf("a class that must stay in its region went from zone %d to %d", zone, other)
			}
		}
		if taken > wanted.capacity[zone]+1e-6 {
			t.Fatalf("zone %d has capacity %v and gets %v", zone, wanted.capacity[zone], taken)
		}
		for class, load := range wanted.loads[zone] {
			if admitted := placed.admitted(zone, class); admitted > load+1e-6 || admitted < 0 {
				t.Fatalf("zone %d wants %v of class %d and gets %v", zone, load, class, admitted)
			}
		}
	}
}

// checkEfficient checks that no capacity is left over, where all classes may go anywhere.
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
		t.Fatalf("%v is admitted, want %v: %v is wanted and capacity is %v",
			admitted, min(load, capacity), load, capacity)
	}
	if load <= capacity && crossed > mustCross+tolerance {
		t.Fatalf("%v goes to other zones, only %v must", crossed, mustCross)
	}
	if highRejected > tolerance && lowAdmitted > tolerance {
		t.Fatalf("%v of the highest priority is rejected, %v of the lowest is admitted", highRejected, lowAdmitted)
	}
}
