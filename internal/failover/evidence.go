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
	// MostZones and MostClasses bound what a plan speaks of.
	MostZones   = 64
	MostClasses = 32
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

// Word is what one node says of itself with its evidence.
type Word struct {
	_      struct{} `cbor:",toarray"`
	Node   int      // its number in the list
	Plan   uint64   // the newest plan that it uses
	Silent []int    // whom it watches and doesn't hear
	Policy *policy.Word
}

// Row is what nodes of one zone know of a zone's hosts, summed over these nodes.
type Row struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Nodes    float32 // how many nodes told
	Ready    float32 // hosts that are listed as serving
	Out      float32 // left out after failures
	Warm     float32 // whole hosts that the ready ones can do now
	Load     float32 // their predicted load, in whole hosts
	Cost     float32 // hosts that a unit of told load takes
	Attempts float32
	Failed   float32
	Held     []float32 // told load there by class
}

// Sum is the evidence of one zone's nodes, or of one node.
type Sum struct {
	_       struct{} `cbor:",toarray"`
	Zone    string
	Classes []string
	Arrived []float32 // told load by class, since the last evidence
	Refused []float32
	Rows    []Row
	Words   []Word
}

// Tell makes a node's evidence of what its module saw.
func Tell(zone string, classes []string, n choice.Observations, w Word) Sum {
	s := Sum{Zone: zone, Classes: classes, Arrived: make([]float32, len(classes)), Refused: make([]float32, len(classes)), Words: []Word{w}}
	for c := range min(len(classes), len(n.Classes)) {
		s.Arrived[c], s.Refused[c] = float32(n.Classes[c].Arrived), float32(n.Classes[c].Rejected)
	}
	for _, z := range n.Zones[:min(len(n.Zones), MostZones)] {
		r := Row{Zone: z.Zone, Nodes: 1, Ready: float32(z.Ready), Out: float32(z.Ejected), Warm: float32(z.Capacity), Load: float32(z.Load),
			Cost: float32(z.Cost), Attempts: float32(z.Attempts), Failed: float32(z.Failed), Held: make([]float32, len(classes))}
		for c := range min(len(classes), len(z.OwnLoad)) {
			r.Held[c] = float32(z.OwnLoad[c])
		}
		s.Rows = append(s.Rows, r)
	}
	return s
}

// Since adds what was counted before to what a module saw last; what stands is as it was seen last.
func Since(before, n choice.Observations) choice.Observations {
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
func (s *Sum) Check() error {
	sane := func(v ...float32) bool {
		return !slices.ContainsFunc(v, func(x float32) bool { return !(x >= 0) || math.IsInf(float64(x), 0) || x > 1e9 })
	}
	n := len(s.Classes)
	if n > MostClasses || len(s.Arrived) != n || len(s.Refused) != n || len(s.Rows) > MostZones || len(s.Zone) > 64 {
		return fmt.Errorf("evidence of %d classes and %d zones: its lists don't fit", n, len(s.Rows))
	}
	for _, r := range s.Rows {
		if len(r.Held) != n || len(r.Zone) > 64 || !sane(r.Held...) || !sane(r.Nodes, r.Ready, r.Out, r.Warm, r.Load, r.Cost, r.Attempts, r.Failed) {
			return fmt.Errorf("evidence of zone %q: no sound numbers", r.Zone)
		}
	}
	for _, w := range s.Words {
		if p := w.Policy; p != nil && (len(p.Why) > 400 || !(p.Arrived >= 0 && p.Away >= 0 && p.Arrived < 1e15 && p.Away < 1e15)) {
			return fmt.Errorf("evidence of node %d: no sound word of the policy", w.Node)
		}
	}
	if !sane(s.Arrived...) || !sane(s.Refused...) {
		return fmt.Errorf("evidence of classes: no sound numbers")
	}
	return nil
}

// Encode and DecodeSum are its form on the wire.
func (s Sum) Encode() []byte { return must(encoding.Marshal(s)) }

// DecodeSum reads evidence and checks it.
func DecodeSum(p []byte) (s Sum, err error) {
	if err = decoding.Unmarshal(p, &s); err == nil {
		err = s.Check()
	}
	return s, err
}

// Add adds other nodes' evidence of the same zone. Nodes may know other classes, after a change of settings: they are
// matched by name.
func (s *Sum) Add(o Sum) {
	at := make([]int, len(o.Classes))
	for i, c := range o.Classes {
		k := slices.Index(s.Classes, c)
		if k < 0 && len(s.Classes) < MostClasses {
			k = len(s.Classes)
			s.Classes = append(slices.Clone(s.Classes), c)
			s.Arrived, s.Refused = append(s.Arrived, 0), append(s.Refused, 0)
			for j := range s.Rows {
				s.Rows[j].Held = append(s.Rows[j].Held, 0)
			}
		}
		at[i] = k
	}
	for i, k := range at {
		if k >= 0 {
			s.Arrived[k] += o.Arrived[i]
			s.Refused[k] += o.Refused[i]
		}
	}
	for _, r := range o.Rows {
		j := slices.IndexFunc(s.Rows, func(x Row) bool { return x.Zone == r.Zone })
		if j < 0 {
			if len(s.Rows) >= MostZones {
				continue
			}
			j = len(s.Rows)
			s.Rows = append(s.Rows, Row{Zone: r.Zone, Held: make([]float32, len(s.Classes))})
		}
		t := &s.Rows[j]
		t.Nodes, t.Ready, t.Out, t.Warm, t.Load = t.Nodes+r.Nodes, t.Ready+r.Ready, t.Out+r.Out, t.Warm+r.Warm, t.Load+r.Load
		t.Cost, t.Attempts, t.Failed = t.Cost+r.Cost, t.Attempts+r.Attempts, t.Failed+r.Failed
		for i, k := range at {
			if k >= 0 {
				t.Held[k] += r.Held[i]
			}
		}
	}
	s.Words = append(s.Words, o.Words...)
}

func (s *Sum) row(zone string) (Row, bool) {
	i := slices.IndexFunc(s.Rows, func(r Row) bool { return r.Zone == zone })
	if i < 0 {
		return Row{}, false
	}
	return s.Rows[i], true
}
