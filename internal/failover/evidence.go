package failover

import (
	"fmt"
	"slices"

	"spurwinch/internal/policy"
)

// maxQuantity bounds each number in evidence: a larger one is taken for corrupt.
const maxQuantity = 1e9

// maxRequestCount bounds the counts of requests in a member's status: up to it a float64 counts exactly.
const maxRequestCount = 1e15

// EvidenceSummary is the evidence of one node, or of several nodes of one zone, added up.
type EvidenceSummary struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Classes  []string
	Arrived  []float32 // load that clients requested since the last evidence, by class
	Rejected []float32 // of it, what was rejected
	Zones    []ZoneEvidence
	Nodes    []NodeStatus
}

// ZoneEvidence is what the nodes of one zone know of the servers of a zone, added up over these nodes.
type ZoneEvidence struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Nodes    float32   // how many nodes reported
	Ready    float32   // servers that are listed as serving
	Ejected  float32   // of these, ejected after failures
	Capacity float32   // what the ready ones can do now, in complete servers
	Load     float32   // their predicted load, in complete servers
	Cost     float32   // servers that a unit of reported load takes
	Attempts float32   // since the last evidence, health checks included
	Failed   float32   // of these attempts
	OwnLoad  []float32 // load of the reporting nodes' connections there, by class
}

// NodeStatus is what one node reports of itself with its evidence.
type NodeStatus struct {
	_           struct{} `cbor:",toarray"`
	Node        int      // its index in the membership list
	Plan        uint64   // number of the newest plan that it has adopted
	Unreachable []int    // nodes that it watches and gets no heartbeats of
	Policy      *policy.MemberStatus
}

// Encode gives the form in which evidence is sent.
func (s EvidenceSummary) Encode() []byte { return must(encoding.Marshal(s)) }

// DecodeEvidenceSummary reads evidence and validates it.
func DecodeEvidenceSummary(data []byte) (summary EvidenceSummary, err error) {
	if err := decoding.Unmarshal(data, &summary); err != nil {
		return summary, fmt.Errorf("%w: %w", ErrInvalidEvidence, err)
	}
	return summary, summary.validate()
}

// validate finds what no node would report: the leader calculates with it.
func (s *EvidenceSummary) validate() error {
	classes := len(s.Classes)
	switch {
	case classes > MaxClasses || len(s.Zones) > MaxZones || len(s.Zone) > maxZoneName:
		return fmt.Errorf("%w: %d classes and %d zones are too many, or the zone's name is too long",
			ErrInvalidEvidence, classes, len(s.Zones))
	case len(s.Arrived) != classes || len(s.Rejected) != classes:
		return fmt.Errorf("%w: %d classes, but arrivals of %d and rejections of %d",
			ErrInvalidEvidence, classes, len(s.Arrived), len(s.Rejected))
	case !areQuantities(s.Arrived...) || !areQuantities(s.Rejected...):
		return fmt.Errorf("%w: arrivals or rejections are no quantities", ErrInvalidEvidence)
	}
	for i := range s.Zones {
		if !s.Zones[i].valid(classes) {
			return fmt.Errorf("%w: numbers of zone %q", ErrInvalidEvidence, s.Zones[i].Zone)
		}
	}
	for i := range s.Nodes {
		if !s.Nodes[i].valid() {
			return fmt.Errorf("%w: policy status of node %d", ErrInvalidEvidence, s.Nodes[i].Node)
		}
	}
	return nil
}

func (e *ZoneEvidence) valid(classes int) bool {
	return len(e.OwnLoad) == classes && len(e.Zone) <= maxZoneName && areQuantities(e.OwnLoad...) &&
		areQuantities(e.Nodes, e.Ready, e.Ejected, e.Capacity, e.Load, e.Cost, e.Attempts, e.Failed)
}

func (n *NodeStatus) valid() bool {
	status := n.Policy
	if status == nil {
		return true
	}
	return len(status.Reason) <= maxReason && status.Arrived >= 0 && status.Arrived < maxRequestCount &&
		status.Rejected >= 0 && status.Rejected < maxRequestCount
}

// areQuantities reports whether all numbers are finite, not negative and of a credible size.
func areQuantities(numbers ...float32) bool {
	return !slices.ContainsFunc(numbers, func(number float32) bool {
		return !isLoad(number) || number > maxQuantity
	})
}
