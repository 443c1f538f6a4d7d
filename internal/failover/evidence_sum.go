package failover

import (
	"slices"

	"spurwinch/choice"
)

// Summarize makes a node's evidence of what its load balancer observed.
func Summarize(
	zone string, classes []string, observed choice.Observations, status NodeStatus,
) EvidenceSummary {
	summary := EvidenceSummary{
		Zone:     zone,
		Classes:  classes,
		Arrived:  make([]float32, len(classes)),
		Rejected: make([]float32, len(classes)),
		Nodes:    []NodeStatus{status},
	}
	for class := range min(len(classes), len(observed.Classes)) {
		summary.Arrived[class] = float32(observed.Classes[class].Arrived)
		summary.Rejected[class] = float32(observed.Classes[class].Rejected)
	}
	for _, zoneObserved := range observed.Zones[:min(len(observed.Zones), MaxZones)] {
		summary.Zones = append(summary.Zones, summarizeZone(zoneObserved, len(classes)))
	}
	return summary
}

func summarizeZone(observed choice.ZoneObservations, classes int) ZoneEvidence {
	evidence := ZoneEvidence{
		Zone:     observed.Zone,
		Nodes:    1,
		Ready:    float32(observed.Ready),
		Ejected:  float32(observed.Ejected),
		Capacity: float32(observed.Capacity),
		Load:     float32(observed.Load),
		Cost:     float32(observed.Cost),
		Attempts: float32(observed.Attempts),
		Failed:   float32(observed.Failed),
		OwnLoad:  make([]float32, classes),
	}
	for class := range min(classes, len(observed.OwnLoad)) {
		evidence.OwnLoad[class] = float32(observed.OwnLoad[class])
	}
	return evidence
}

// Accumulate adds the counts of earlier observations, not reported yet, to those of later ones. Levels, such as loads,
// are the later ones.
func Accumulate(earlier, later choice.Observations) choice.Observations {
	sum := choice.Observations{Zones: slices.Clone(later.Zones), Classes: slices.Clone(later.Classes)}
	for i, class := range earlier.Classes[:min(len(earlier.Classes), len(sum.Classes))] {
		sum.Classes[i].Arrived += class.Arrived
		sum.Classes[i].Rejected += class.Rejected
	}
	for i := range sum.Zones {
		zone := &sum.Zones[i]
		for _, before := range earlier.Zones {
			if before.Zone == zone.Zone {
				zone.Attempts += before.Attempts
				zone.Failed += before.Failed
			}
		}
	}
	return sum
}

// Add adds other nodes' evidence of the same zone. Nodes may know other classes, after a change of settings: classes
// are matched by name.
func (s *EvidenceSummary) Add(other EvidenceSummary) {
	classes := s.matchClasses(other.Classes)
	for i, class := range classes {
		if class < 0 {
			continue
		}
		s.Arrived[class] += other.Arrived[i]
		s.Rejected[class] += other.Rejected[i]
	}
	for _, evidence := range other.Zones {
		s.addZone(evidence, classes)
	}
	s.Nodes = append(s.Nodes, other.Nodes...)
}

// matchClasses gives the places of classes in this summary, which takes up those that it doesn't know; -1 is the place
// of one beyond MaxClasses.
func (s *EvidenceSummary) matchClasses(names []string) []int {
	places := make([]int, len(names))
	for i, name := range names {
		place := slices.Index(s.Classes, name)
		if place < 0 && len(s.Classes) < MaxClasses {
			place = len(s.Classes)
			s.addClass(name)
		}
		places[i] = place
	}
	return places
}

func (s *EvidenceSummary) addClass(name string) {
	s.Classes = append(slices.Clone(s.Classes), name) // the list may be another summary's as well
	s.Arrived = append(s.Arrived, 0)
	s.Rejected = append(s.Rejected, 0)
	for i := range s.Zones {
		s.Zones[i].OwnLoad = append(s.Zones[i].OwnLoad, 0)
	}
}

// addZone adds evidence of a zone. classes are the places of its classes in this summary.
func (s *EvidenceSummary) addZone(evidence ZoneEvidence, classes []int) {
	place := s.zoneIndex(evidence.Zone)
	if place < 0 {
		if len(s.Zones) >= MaxZones {
			return
		}
		place = len(s.Zones)
		s.Zones = append(s.Zones, ZoneEvidence{Zone: evidence.Zone, OwnLoad: make([]float32, len(s.Classes))})
	}
	sum := &s.Zones[place]
	sum.Nodes += evidence.Nodes
	sum.Ready += evidence.Ready
	sum.Ejected += evidence.Ejected
	sum.Capacity += evidence.Capacity
	sum.Load += evidence.Load
	sum.Cost += evidence.Cost
	sum.Attempts += evidence.Attempts
	sum.Failed += evidence.Failed
	for i, class := range classes {
		if class >= 0 {
			sum.OwnLoad[class] += evidence.OwnLoad[i]
		}
	}
}

// zoneIndex is the place of a zone's evidence; -1: there is none.
func (s *EvidenceSummary) zoneIndex(zone string) int {
	return slices.IndexFunc(s.Zones, func(evidence ZoneEvidence) bool { return evidence.Zone == zone })
}

// ofZone is the evidence of a zone, if there is any.
func (s *EvidenceSummary) ofZone(zone string) (evidence ZoneEvidence, ok bool) {
	place := s.zoneIndex(zone)
	if place < 0 {
		return ZoneEvidence{}, false
	}
	return s.Zones[place], true
}
