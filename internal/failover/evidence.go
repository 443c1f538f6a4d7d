package failover

import (
	"fmt"
	"slices"

	"spurwinch/internal/policy"
)

// maxQuantity bounds each number in evidence. A message with a larger number is invalid.
const maxQuantity = 1e9

// maxRequestCount bounds the counts of requests in a member's status. A float64 counts exactly up to this number.
const maxRequestCount = 1e15

// EvidenceSummary is the evidence of one node, or the sum of the evidence of several nodes of one zone.
type EvidenceSummary struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Classes  []string
	Arrived  []float32 // load that clients requested since the last evidence, by class
	Rejected []float32 // rejected part of Arrived, by class
	Zones    []ZoneEvidence
	Nodes    []NodeStatus
}

// ZoneEvidence is the evidence of one zone's nodes about the servers of a zone, summed over these nodes.
type ZoneEvidence struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Nodes    float32   // number of nodes that reported
	Ready    float32   // servers that are listed as serving
	Ejected  float32   // of these servers, those that are ejected after failures
	Capacity float32   // present capacity of the ready servers, in complete servers
	Load     float32   // predicted load of the ready servers, in complete servers
	Cost     float32   // servers that a unit of reported load occupies
	Attempts float32   // attempts since the last evidence, health checks included
	Failed   float32   // of these attempts, those that failed
	OwnLoad  []float32 // load of the reporting nodes' connections to these servers, by class
}

// NodeStatus is what one node reports about itself with its evidence.
type NodeStatus struct {
	_           struct{} `cbor:",toarray"`
	Node        int      // its index in the membership list
	Plan        uint64   // number of the newest plan that it has adopted
	Unreachable []int    // watched nodes from which it receives no heartbeats
	Policy      *policy.MemberStatus
}

// Encode returns the evidence as it is sent between nodes.
func (s EvidenceSummary) Encode() []byte { return must(encoding.Marshal(s)) }

// DecodeEvidenceSummary decodes and validates evidence.
func DecodeEvidenceSummary(data []byte) (summary EvidenceSummary, err error) {
	if err := decoding.Unmarshal(data, &summary); err != nil {
		return summary, fmt.Errorf("%w: %w", ErrInvalidEvidence, err)
	}
	return summary, summary.validate()
}

// validate rejects evidence that no correct node reports, since the leader uses the numbers in its calculations.
func (s *EvidenceSummary) validate() error {
	classes := len(s.Classes)
	switch {
	case classes > MaxClasses || len(s.Zones) > MaxZones || len(s.Zone) > maxZoneName:
		return fmt.Errorf("%w: %d classes and %d zones are too many, or the zone's name is too long",
			ErrInvalidEvidence, classes, len(s.Zones))
	case len(s.Arrived) != classes || len(s.Rejected) != classes:
		return fmt.Errorf("%w: %d classes, but arrivals for %d and rejections for %d",
			ErrInvalidEvidence, classes, len(s.Arrived), len(s.Rejected))
	case !validQuantities(s.Arrived...) || !validQuantities(s.Rejected...):
		return fmt.Errorf("%w: arrivals and rejections must be finite and from 0 to 1e9", ErrInvalidEvidence)
	}
	for i := range s.Zones {
		if !s.Zones[i].valid(classes) {
			return fmt.Errorf("%w: invalid numbers, class count or name of zone %q",
				ErrInvalidEvidence, s.Zones[i].Zone)
		}
	}
	for i := range s.Nodes {
		if !s.Nodes[i].valid() {
			return fmt.Errorf("%w: invalid policy status of node %d", ErrInvalidEvidence, s.Nodes[i].Node)
		}
	}
	return nil
}

func (e *ZoneEvidence) valid(classes int) bool {
	return len(e.OwnLoad) == classes && len(e.Zone) <= maxZoneName && validQuantities(e.OwnLoad...) &&
		validQuantities(e.Nodes, e.Ready, e.Ejected, e.Capacity, e.Load, e.Cost, e.Attempts, e.Failed)
}

func (n *NodeStatus) valid() bool {
	status := n.Policy
	if status == nil {
		return true
	}
	return len(status.Reason) <= maxReason && status.Arrived >= 0 && status.Arrived < maxRequestCount &&
		status.Rejected >= 0 && status.Rejected < maxRequestCount
}

// validQuantities reports whether all numbers are finite, not negative and at most maxQuantity.
func validQuantities(numbers ...float32) bool {
	return !slices.ContainsFunc(numbers, func(number float32) bool {
		return !isValidLoad(number) || number > maxQuantity
	})
}
