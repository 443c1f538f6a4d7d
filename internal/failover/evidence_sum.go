package failover

import (
	"slices"

	"spurwinch/choice"
)

// Summarize converts the observations of a node's load balancer into evidence.
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

// Accumulate adds the counts of earlier observations that were not reported yet to the counts of later observations.
// Levels, such as loads, are taken from the later observations.
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

// Add adds the evidence of other nodes of the same zone. It matches classes by name, since nodes may have different
// classes after a change of settings.
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

// matchClasses returns the indices of classes in this summary and adds the classes that the summary doesn't have. If it
// already has MaxClasses classes, it adds none, and the index of a missing class is -1.
func (s *EvidenceSummary) matchClasses(names []string) []int {
	indexes := make([]int, len(names))
	for i, name := range names {
		index := slices.Index(s.Classes, name)
		if index < 0 && len(s.Classes) < MaxClasses {
			index = len(s.Classes)
			s.addClass(name)
		}
		indexes[i] = index
	}
	return indexes
}

func (s *EvidenceSummary) addClass(name string) {
	s.Classes = append(slices.Clone(s.Classes), name) // other summaries may share the list
	s.Arrived = append(s.Arrived, 0)
	s.Rejected = append(s.Rejected, 0)
	for i := range s.Zones {
		s.Zones[i].OwnLoad = append(s.Zones[i].OwnLoad, 0)
	}
}

// addZone adds the evidence about a zone. classes are the indices of its classes in this summary.
func (s *EvidenceSummary) addZone(evidence ZoneEvidence, classes []int) {
	index := s.zoneIndex(evidence.Zone)
	if index < 0 {
		if len(s.Zones) >= MaxZones {
			return
		}
		index = len(s.Zones)
		s.Zones = append(s.Zones, ZoneEvidence{Zone: evidence.Zone, OwnLoad: make([]float32, len(s.Classes))})
	}
	sum := &s.Zones[index]
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

// zoneIndex returns the index of the evidence about a zone, or -1 if there is none.
func (s *EvidenceSummary) zoneIndex(zone string) int {
	return slices.IndexFunc(s.Zones, func(evidence ZoneEvidence) bool { return evidence.Zone == zone })
}

// ofZone returns the evidence about a zone. ok is false if there is none.
func (s *EvidenceSummary) ofZone(zone string) (evidence ZoneEvidence, ok bool) {
	index := s.zoneIndex(zone)
	if index < 0 {
		return ZoneEvidence{}, false
	}
	return s.Zones[index], true
}
