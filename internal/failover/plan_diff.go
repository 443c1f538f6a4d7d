package failover

import (
	"math"
	"slices"
)

// difference says how much two plans differ.
type difference int

const (
	unchanged difference = iota // too little for a new plan
	changed                     // somewhat: it can wait
	urgent                      // so that it presses
)

// What counts as a change, as parts of a zone's capacity or of what was granted before.
const (
	capacityTolerance  = 0.1  // of the zone's capacity, and
	loadTolerance      = 0.15 // of the larger load: loads that differ by less are alike
	minLoadDifference  = 0.5  // load: whatever the capacity is
	returnTolerance    = 0.9  // a returning zone's plan states at least so much of its capacity
	newPathFraction    = 0.5  // of a new grant to another zone: an older one below that left clients nowhere to go
	admissionTolerance = 12   // 255ths
	scarceFraction     = 1.3  // of its demand: a zone whose grants are less has little to spare
	scarceTolerance    = 0.03 // of its demand: such a zone gets noticeably more from here on
)

// comparePlans is how much a new plan differs from an old one.
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

// compareZone is how much one zone's entries and grants differ.
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

// loadsDiffer reports whether two loads differ noticeably, against the zone's capacity and against each other.
func (z *Zone) loadsDiffer(a, b float64) bool {
	apart := math.Abs(a - b)
	return apart > capacityTolerance*float64(z.Capacity)+minLoadDifference && apart > loadTolerance*max(a, b)
}

// opensPath reports whether a zone's clients get much more in another zone than they had: until then somebody has
// nowhere to go.
func opensPath(older, newer *Plan, from int) bool {
	for to := range newer.Zones {
		granted := newer.grantedLoad(from, to)
		if from != to && granted > minLoadDifference && older.grantedLoad(from, to) < newPathFraction*granted {
			return true
		}
	}
	return false
}

// admissionDiffers reports whether the admitted part of a class's arrivals differs noticeably.
func admissionDiffers(older, newer *Plan, zone int) bool {
	for class := range newer.Zones[zone].Demand {
		apart := older.AdmitFractions[zone][class] - newer.AdmitFractions[zone][class]
		if apart > admissionTolerance || apart < -admissionTolerance {
			return true
		}
	}
	return false
}

// relievesScarcity reports whether a zone's clients, who have little to spare in all zones together, get noticeably
// more.
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

// grantsDiffer reports whether a grant to a zone's clients differs noticeably.
func grantsDiffer(older, newer *Plan, from int) bool {
	for to := range newer.Zones {
		if newer.Zones[from].loadsDiffer(older.grantedLoad(from, to), newer.grantedLoad(from, to)) {
			return true
		}
	}
	return false
}
