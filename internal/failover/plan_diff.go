package failover

import (
	"math"
	"slices"
)

// difference is how much two plans differ.
type difference int

const (
	unchanged difference = iota // too little for a new plan
	changed                     // a new plan is due, but not urgent
	urgent                      // a new plan is due at once
)

// Thresholds for a change between two plans. Two loads differ noticeably only if their difference exceeds loadTolerance
// as well as the sum of capacityTolerance and minLoadDifference.
const (
	capacityTolerance  = 0.1  // of the zone's capacity
	loadTolerance      = 0.15 // of the larger load
	minLoadDifference  = 0.5  // load, whatever the capacity of the zone
	returnTolerance    = 0.9  // of a returning zone's capacity; a plan that states less is replaced
	newPathFraction    = 0.5  // of a new grant to another zone; an older grant below that left clients nowhere to go
	admissionTolerance = 12   // 255ths
	scarceFraction     = 1.3  // of a zone's demand; a zone with smaller grants has little to spare
	scarceTolerance    = 0.03 // of the demand of such a zone; its grants rise noticeably by this and minLoadDifference
)

// comparePlans returns how much a new plan differs from an old one.
func comparePlans(older, newer *Plan) difference {
	if len(older.Zones) != len(newer.Zones) || !slices.Equal(older.LostNodes, newer.LostNodes) ||
		!slices.Equal(older.Classes, newer.Classes) {
		return urgent
	}
	largest := unchanged
	for zone := range newer.Zones {
		largest = max(largest, compareZone(older, newer, zone))
		if largest == urgent {
			break
		}
	}
	return largest
}

// compareZone returns how much the entries and grants of one zone differ.
func compareZone(older, newer *Plan, zone int) difference {
	before := &older.Zones[zone]
	after := &newer.Zones[zone]
	switch {
	case before.State != after.State || before.Nodes != after.Nodes || before.Name != after.Name:
		return urgent
	case before.LeaseOwner != after.LeaseOwner:
		return urgent
	case after.State == Returning && float64(before.Capacity) < returnTolerance*float64(after.Capacity):
		return urgent
	case opensPath(older, newer, zone):
		return urgent
	case admissionDiffers(older, newer, zone):
		return changed
	case after.loadsDiffer(float64(before.Reserve), float64(after.Reserve)):
		return changed
	case relievesScarcity(older, newer, zone) || grantsDiffer(older, newer, zone):
		return changed
	}
	return unchanged
}

// loadsDiffer reports whether two loads differ noticeably, relative to the zone's capacity and to the larger load.
func (z *Zone) loadsDiffer(a, b float64) bool {
	apart := math.Abs(a - b)
	return apart > capacityTolerance*float64(z.Capacity)+minLoadDifference && apart > loadTolerance*max(a, b)
}

// opensPath reports whether a zone's clients get much more load in another zone than before. Until the new plan is in
// use, some of these clients have nowhere to go.
func opensPath(older, newer *Plan, from int) bool {
	for to := range newer.Zones {
		granted := newer.grantedLoad(from, to)
		if from != to && granted > minLoadDifference && older.grantedLoad(from, to) < newPathFraction*granted {
			return true
		}
	}
	return false
}

// admissionDiffers reports whether the admitted fraction of any class's arrivals differs noticeably.
func admissionDiffers(older, newer *Plan, zone int) bool {
	for class := range newer.Zones[zone].Demand {
		apart := older.AdmitFractions[zone][class] - newer.AdmitFractions[zone][class]
		if apart > admissionTolerance || apart < -admissionTolerance {
			return true
		}
	}
	return false
}

// relievesScarcity reports whether a zone whose grants in all zones together exceed its demand by little, or not at
// all, gets noticeably more.
func relievesScarcity(older, newer *Plan, from int) bool {
	wanted := 0.0
	for _, load := range newer.Zones[from].Demand {
		wanted += float64(load)
	}
	before := 0.0
	after := 0.0
	for to := range newer.Zones {
		before += older.grantedLoad(from, to)
		after += newer.grantedLoad(from, to)
	}
	return before < scarceFraction*wanted && after > before+scarceTolerance*wanted+minLoadDifference
}

// grantsDiffer reports whether any grant to a zone's clients differs noticeably.
func grantsDiffer(older, newer *Plan, from int) bool {
	for to := range newer.Zones {
		if newer.Zones[from].loadsDiffer(older.grantedLoad(from, to), newer.grantedLoad(from, to)) {
			return true
		}
	}
	return false
}
