package failover

import (
	"fmt"
	"math"
	"slices"

	"spurwinch/internal/agree"
)

// Kinds of entries on the agreed log.
const (
	PlanKind           agree.Kind = 1
	OperatorOrdersKind agree.Kind = 2
)

// State is what the plan takes a zone for.
type State uint8

const (
	Healthy   State = iota
	Lost            // its hosts fail: nothing new goes there but its own nodes' trials
	Returning       // well again; its room grows step by step
	Drained         // by an operator's order
)

func (s State) String() string {
	return [...]string{"well", "lost", "returning", "drained"}[min(s, 3)]
}

// Plan says how much load of each zone's clients may stand in which zone.
type Plan struct {
	_              struct{} `cbor:",toarray"`
	Zones          []Zone
	Classes        []string
	Grants         []Grant
	StayInRegion   []bool  // by class: it doesn't leave its region
	AdmitFractions [][]int // by zone and class, in 255ths: what part of the arrivals is let in
	GrantLifetime  float32 // seconds that a grant into another zone holds without word of the one that leads
	LostNodes      []int   // nodes out of the common view, by their numbers
	Reason         string
	// What plans before this one had left in use when it was made: the most that a node of a zone may still have in a zone, by
	// places in Zones, and what lenders may still have lent. One that comes to lead reckons with it, though it never knew them.
	Before   [][]float32
	Reserves []CapacityReserve
	Previous uint64 // the plan before this one; 0: there was none
}

// Zone is a zone in a plan.
type Zone struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	Region    string
	State     State
	Nodes     int       // that share its grants
	Listed    int       // that it has
	Capacity  float32   // told load that all grants together may put there
	Demand    []float32 // by class: what its clients ask for, reckoned
	GuestLoad float32   // what clients of other zones need there now
	Flaps     int       // how often it was lost and came back of late

	LeaseOwner int     // the node that lends the reserve; -1: nobody
	Reserve    float32 // told load that the lender lends to nodes of any zone
}

// Grant is the most that the nodes of one zone together may have in a zone.
type Grant struct {
	_          struct{} `cbor:",toarray"`
	From, To   int      // places in Zones
	Load       float32
	RegionLoad float32 // of it, kept for classes that must stay in the region: others may go elsewhere
}

// CapacityReserve is what a lender may still have lent of a zone's room.
type CapacityReserve struct {
	_     struct{} `cbor:",toarray"`
	Zone  int      // its place in Zones
	Owner int
	Load  float32
}

// OperatorOrders are what operators have asked for.
type OperatorOrders struct {
	_       struct{} `cbor:",toarray"`
	Drained []string
}

// Encode is a plan's form on the log.
func (p *Plan) Encode() []byte { return must(encoding.Marshal(p)) }

// DecodePlan reads a plan and checks that its parts fit together.
func DecodePlan(b []byte) (*Plan, error) {
	p := &Plan{}
	if err := decoding.Unmarshal(b, p); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	bad := len(p.Zones) > MaxZones || len(p.Classes) > MaxClasses || len(p.StayInRegion) != len(p.Classes) || len(p.AdmitFractions) != len(p.Zones) ||
		!(p.GrantLifetime >= 0 && p.GrantLifetime < 3600)
	for i, z := range p.Zones {
		bad = bad || !(z.Reserve >= 0) || math.IsInf(float64(z.Reserve), 0) || z.LeaseOwner < -1 || len(z.Demand) != len(p.Classes) || z.Nodes < 0 || z.Listed < z.Nodes || i < len(p.AdmitFractions) && len(p.AdmitFractions[i]) != len(p.Classes)
	}
	for _, g := range p.Grants {
		bad = bad || g.From < 0 || g.From >= len(p.Zones) || g.To < 0 || g.To >= len(p.Zones) || !(g.Load >= 0) || math.IsInf(float64(g.Load), 0) || !(g.RegionLoad >= 0 && g.RegionLoad <= g.Load)
	}
	sane := func(v float32) bool { return v >= 0 && !math.IsInf(float64(v), 0) }
	bad = bad || len(p.Before) != 0 && len(p.Before) != len(p.Zones) || len(p.Reserves) > 4*MaxZones
	for _, row := range p.Before {
		bad = bad || len(row) != len(p.Zones) || slices.ContainsFunc(row, func(v float32) bool { return !sane(v) })
	}
	for _, l := range p.Reserves {
		bad = bad || l.Zone < 0 || l.Zone >= len(p.Zones) || l.Owner < 0 || !sane(l.Load)
	}
	if bad {
		return nil, fmt.Errorf("plan: its parts don't fit together")
	}
	return p, nil
}

// Encode is the orders' form on the log.
func (o OperatorOrders) Encode() []byte { return must(encoding.Marshal(o)) }

// DecodeOperatorOrders reads orders.
func DecodeOperatorOrders(b []byte) (o OperatorOrders, err error) {
	if err = decoding.Unmarshal(b, &o); err == nil && len(o.Drained) > MaxZones {
		err = fmt.Errorf("orders for %d zones: %d at most", len(o.Drained), MaxZones)
	}
	return o, err
}

func (p *Plan) zone(name string) int {
	return slices.IndexFunc(p.Zones, func(z Zone) bool { return z.Name == name })
}

func (p *Plan) grant(from, to int) float64 {
	for _, g := range p.Grants {
		if g.From == from && g.To == to {
			return float64(g.Load)
		}
	}
	return 0
}

// kept is the part of a grant that is kept for classes that must stay.
func (p *Plan) kept(from, to int) float64 {
	for _, g := range p.Grants {
		if g.From == from && g.To == to && g.Load > 0 {
			return float64(g.RegionLoad / g.Load)
		}
	}
	return 0
}

// share is what one node of a zone may have in another zone, or its own.
func (p *Plan) share(from, to int, lost bool) float64 {
	return p.Zones[from].nodeShare(p.grant(from, to), from == to, lost)
}

// nodeShare is one node's part of a grant to its zone. A node that is out of the common view counts with all that are listed, in its own zone:
// it may be there after all, and must find something to serve by.
func (z Zone) nodeShare(grant float64, ownZone, lost bool) float64 {
	switch {
	case !lost && z.Nodes > 0:
		return grant / float64(z.Nodes)
	case ownZone && z.Listed > 0:
		return grant / float64(z.Listed)
	}
	return 0
}

// Mode is how a node goes by a plan.
type Mode uint8

const (
	// Standalone is the state before any plan is known: the own zone, as the node itself sees it.
	Standalone Mode = iota
	// Planned is a plan that is in force as far as this node can know.
	Planned
	// OwnZoneOnly is what is left of a plan when nothing is heard any more: the node's part of its own zone, which nobody else was promised.
	OwnZoneOnly
)

func (m Mode) String() string { return [...]string{"alone", "planned", "ground"}[min(m, 2)] }

// GrantShare is what a node may have in each zone by a plan, as the sums of plans reckon with it.
func GrantShare(m Mode, p *Plan, node int, zone string) map[string]float64 {
	out := map[string]float64{}
	own := p.zone(zone)
	if m == Standalone || own < 0 {
		return out
	}
	lost := slices.Contains(p.LostNodes, node)
	for to := range p.Zones {
		if s := p.share(own, to, lost); s > 0 && (to == own || m == Planned) {
			out[p.Zones[to].Name] = s
		}
	}
	return out
}

// nearest is the zones in the order of a zone's grants: itself, its region, then the rest, the larger grant first.
func (p *Plan) nearest(own int) []int {
	var all []int
	for i := range p.Zones {
		all = append(all, i)
	}
	rank := func(i int) int {
		switch {
		case i == own:
			return 0
		case p.Zones[i].Region == p.Zones[own].Region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(all, func(a, b int) int {
		if r := rank(a) - rank(b); r != 0 {
			return r
		}
		switch x, y := p.grant(own, a), p.grant(own, b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return all
}

// StatedCapacity is the room that a plan states for a zone.
func (p *Plan) StatedCapacity(zone string) float64 {
	if i := p.zone(zone); i >= 0 {
		return float64(p.Zones[i].Capacity)
	}
	return 0
}
