package failover

import (
	"math"
	"slices"
)

// difference says how much two plans differ.
type difference int

const (
	unchanged difference = iota // not to speak of
	changed                     // some: it can wait
	urgent                      // so that it presses
)

// compare tells how much a new plan differs from an old one.
func compare(old, next *Plan) difference {
	if len(old.Zones) != len(next.Zones) || !slices.Equal(old.LostNodes, next.LostNodes) || !slices.Equal(old.Classes, next.Classes) {
		return urgent
	}
	most := unchanged
	for zone := range next.Zones {
		most = max(most, compareZone(old, next, zone))
		if most == urgent {
			break
		}
	}
	return most
}

// compareZone tells how much one zone's entries and grants differ.
func compareZone(old, next *Plan, zone int) difference {
	a, b := old.Zones[zone], next.Zones[zone]
	switch {
	case a.State != b.State || a.Nodes != b.Nodes || a.Name != b.Name || a.LeaseOwner != b.LeaseOwner:
		return urgent
	case b.State == Returning && float64(a.Capacity) < 0.9*float64(b.Capacity):
		return urgent
	case opensWay(old, next, zone):
		return urgent
	case admitsOtherwise(old, next, zone), differ(float64(a.Reserve), float64(b.Reserve), b), givesMore(old, next, zone), grantsOtherwise(old, next, zone):
		return changed
	}
	return unchanged
}

// differ says whether two loads of a zone differ noticeably, against its room and against each other.
func differ(x, y float64, zone Zone) bool {
	d := math.Abs(x - y)
	return d > 0.1*float64(zone.Capacity)+0.5 && d > 0.15*max(x, y)
}

// opensWay says whether a zone's clients get much more in another zone than they had: until then somebody has nowhere to go.
func opensWay(old, next *Plan, from int) bool {
	for to := range next.Zones {
		if granted := next.grant(from, to); from != to && granted > 0.5 && old.grant(from, to) < 0.5*granted {
			return true
		}
	}
	return false
}

// admitsOtherwise says whether the admitted part of a class's arrivals differs by more than a twentieth.
func admitsOtherwise(old, next *Plan, zone int) bool {
	const tolerance = 12 // of 255
	for class := range next.Zones[zone].Demand {
		if d := old.AdmitFractions[zone][class] - next.AdmitFractions[zone][class]; d > tolerance || d < -tolerance {
			return true
		}
	}
	return false
}

// givesMore says whether a zone's clients, who have little to spare in all zones together, get noticeably more.
func givesMore(old, next *Plan, from int) bool {
	had, gets, want := 0.0, 0.0, 0.0
	for _, load := range next.Zones[from].Demand {
		want += float64(load)
	}
	for to := range next.Zones {
		had += old.grant(from, to)
		gets += next.grant(from, to)
	}
	return had < 1.3*want && gets > had+0.03*want+0.5
}

// grantsOtherwise says whether a grant to a zone's clients differs noticeably.
func grantsOtherwise(old, next *Plan, from int) bool {
	for to := range next.Zones {
		if differ(old.grant(from, to), next.grant(from, to), next.Zones[from]) {
			return true
		}
	}
	return false
}
