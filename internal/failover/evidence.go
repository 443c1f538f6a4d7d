// Package failover decides for a fleet where the clients of each zone go: evidence of zones is summed on its way to the one that leads, which
// makes a plan of grants. Free of I/O; time is a value.
package failover

import (
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"spurwinch/choice"
	"spurwinch/internal/policy"
)

const (
	// MaxZones and MostClasses bound what a plan speaks of.
	MaxZones   = 64
	MaxClasses = 32
)

var (
	encoding = must(cbor.EncOptions{Sort: cbor.SortCanonical, ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoding = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 8192, MaxMapPairs: 256}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // fixed options and plain types: wrong at each start or at none
	}
	return v
}

// NodeStatus is what one node says of itself with its evidence.
type NodeStatus struct {
	_           struct{} `cbor:",toarray"`
	Node        int      // its number in the list
	Plan        uint64   // the newest plan that it uses
	Unreachable []int    // whom it watches and doesn't hear
	Policy      *policy.MemberStatus
}

// ZoneEvidence is what nodes of one zone know of a zone's hosts, summed over these nodes.
type ZoneEvidence struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Nodes    float32 // how many nodes told
	Ready    float32 // hosts that are listed as serving
	Ejected  float32 // left out after failures
	Capacity float32 // whole hosts that the ready ones can do now
	Load     float32 // their predicted load, in whole hosts
	Cost     float32 // hosts that a unit of told load takes
	Attempts float32
	Failed   float32
	OwnLoad  []float32 // told load there by class
}

// EvidenceSummary is the evidence of one zone's nodes, or of one node.
type EvidenceSummary struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Classes  []string
	Arrived  []float32 // told load by class, since the last evidence
	Rejected []float32
	Zones    []ZoneEvidence
	Nodes    []NodeStatus
}

// Summarize makes a node's evidence of what its module saw.
func Summarize(zone string, classes []string, n choice.Observations, w NodeStatus) EvidenceSummary {
	s := EvidenceSummary{Zone: zone, Classes: classes, Arrived: make([]float32, len(classes)), Rejected: make([]float32, len(classes)), Nodes: []NodeStatus{w}}
	for c := range min(len(classes), len(n.Classes)) {
		s.Arrived[c], s.Rejected[c] = float32(n.Classes[c].Arrived), float32(n.Classes[c].Rejected)
	}
	for _, z := range n.Zones[:min(len(n.Zones), MaxZones)] {
		r := ZoneEvidence{Zone: z.Zone, Nodes: 1, Ready: float32(z.Ready), Ejected: float32(z.Ejected), Capacity: float32(z.Capacity), Load: float32(z.Load),
			Cost: float32(z.Cost), Attempts: float32(z.Attempts), Failed: float32(z.Failed), OwnLoad: make([]float32, len(classes))}
		for c := range min(len(classes), len(z.OwnLoad)) {
			r.OwnLoad[c] = float32(z.OwnLoad[c])
		}
		s.Zones = append(s.Zones, r)
	}
	return s
}

// Accumulate adds what was counted before to what a module saw last; what stands is as it was seen last.
func Accumulate(before, n choice.Observations) choice.Observations {
	out := choice.Observations{Zones: slices.Clone(n.Zones), Classes: slices.Clone(n.Classes)}
	for i, c := range before.Classes[:min(len(before.Classes), len(out.Classes))] {
		out.Classes[i].Arrived += c.Arrived
		out.Classes[i].Rejected += c.Rejected
	}
	for i := range out.Zones {
		for _, z := range before.Zones {
			if z.Zone == out.Zones[i].Zone {
				out.Zones[i].Attempts += z.Attempts
				out.Zones[i].Failed += z.Failed
			}
		}
	}
	return out
}

// Check finds what no node would tell: others reckon with it.
func (s *EvidenceSummary) Check() error {
	sane := func(v ...float32) bool {
		return !slices.ContainsFunc(v, func(x float32) bool { return !(x >= 0) || math.IsInf(float64(x), 0) || x > 1e9 })
	}
	n := len(s.Classes)
	if n > MaxClasses || len(s.Arrived) != n || len(s.Rejected) != n || len(s.Zones) > MaxZones || len(s.Zone) > 64 {
		return fmt.Errorf("evidence of %d classes and %d zones: its lists don't fit", n, len(s.Zones))
	}
	for _, r := range s.Zones {
		if len(r.OwnLoad) != n || len(r.Zone) > 64 || !sane(r.OwnLoad...) || !sane(r.Nodes, r.Ready, r.Ejected, r.Capacity, r.Load, r.Cost, r.Attempts, r.Failed) {
			return fmt.Errorf("evidence of zone %q: no sound numbers", r.Zone)
		}
	}
	for _, w := range s.Nodes {
		if p := w.Policy; p != nil && (len(p.Reason) > 400 || !(p.Arrived >= 0 && p.Rejected >= 0 && p.Arrived < 1e15 && p.Rejected < 1e15)) {
			return fmt.Errorf("evidence of node %d: no sound word of the policy", w.Node)
		}
	}
	if !sane(s.Arrived...) || !sane(s.Rejected...) {
		return fmt.Errorf("evidence of classes: no sound numbers")
	}
	return nil
}

// Encode and DecodeSum are its form on the wire.
func (s EvidenceSummary) Encode() []byte { return must(encoding.Marshal(s)) }

// DecodeEvidenceSummary reads evidence and checks it.
func DecodeEvidenceSummary(p []byte) (s EvidenceSummary, err error) {
	if err = decoding.Unmarshal(p, &s); err == nil {
		err = s.Check()
	}
	return s, err
}

// Add adds other nodes' evidence of the same zone. Nodes may know other classes, after a change of settings: they are
// matched by name.
func (s *EvidenceSummary) Add(o EvidenceSummary) {
	at := make([]int, len(o.Classes))
	for i, c := range o.Classes {
		k := slices.Index(s.Classes, c)
		if k < 0 && len(s.Classes) < MaxClasses {
			k = len(s.Classes)
			s.Classes = append(slices.Clone(s.Classes), c)
			s.Arrived, s.Rejected = append(s.Arrived, 0), append(s.Rejected, 0)
			for j := range s.Zones {
				s.Zones[j].OwnLoad = append(s.Zones[j].OwnLoad, 0)
			}
		}
		at[i] = k
	}
	for i, k := range at {
		if k >= 0 {
			s.Arrived[k] += o.Arrived[i]
			s.Rejected[k] += o.Rejected[i]
		}
	}
	for _, r := range o.Zones {
		j := slices.IndexFunc(s.Zones, func(x ZoneEvidence) bool { return x.Zone == r.Zone })
		if j < 0 {
			if len(s.Zones) >= MaxZones {
				continue
			}
			j = len(s.Zones)
			s.Zones = append(s.Zones, ZoneEvidence{Zone: r.Zone, OwnLoad: make([]float32, len(s.Classes))})
		}
		t := &s.Zones[j]
		t.Nodes, t.Ready, t.Ejected, t.Capacity, t.Load = t.Nodes+r.Nodes, t.Ready+r.Ready, t.Ejected+r.Ejected, t.Capacity+r.Capacity, t.Load+r.Load
		t.Cost, t.Attempts, t.Failed = t.Cost+r.Cost, t.Attempts+r.Attempts, t.Failed+r.Failed
		for i, k := range at {
			if k >= 0 {
				t.OwnLoad[k] += r.OwnLoad[i]
			}
		}
	}
	s.Nodes = append(s.Nodes, o.Nodes...)
}

func (s *EvidenceSummary) row(zone string) (ZoneEvidence, bool) {
	i := slices.IndexFunc(s.Zones, func(r ZoneEvidence) bool { return r.Zone == zone })
	if i < 0 {
		return ZoneEvidence{}, false
	}
	return s.Zones[i], true
}
