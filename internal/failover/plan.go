package failover

import "spurwinch/internal/consensus"

// Kinds of entries on the consensus log.
const (
	PlanKind           consensus.Kind = 1
	OperatorOrdersKind consensus.Kind = 2
)

const (
	noLeaseOwner  = -1  // Zone.LeaseOwner where nobody leases the reserve out
	fullAdmission = 255 // Plan.AdmitFractions are 255ths
)

// State is what a plan takes a zone for. Its number is part of a plan's form.
type State uint8

// The states of a zone.
const (
	Healthy   State = iota
	Lost            // its servers fail: nothing new goes there but the attempts by which its own nodes watch it
	Returning       // its servers work again; its capacity is given back step by step
	Drained         // by an operator's order
)

func (s State) String() string {
	names := [...]string{"well", "lost", "returning", "drained"} // as operators and logs know them
	return names[min(s, Drained)]
}

// Plan says how much load of each zone's clients may go to which zone. It doesn't change once it is made.
type Plan struct {
	_              struct{} `cbor:",toarray"`
	Zones          []Zone
	Classes        []string
	Grants         []Grant
	StayInRegion   []bool  // by class: it is placed in its client's region only
	AdmitFractions [][]int // by zone and class, in 255ths: which part of the arrivals is admitted
	GrantLifetime  float32 // seconds for which a grant into another zone is valid without contact to a leader
	LostNodes      []int   // nodes out of the common view, by their indices in the membership list
	Reason         string  // why it was made, for operators

	// EarlierLoads is what earlier plans had left in use when this one was made: the most load that a node of a zone
	// (first index, a place in Zones) may still have in a zone (second index). A leader that never knew those plans
	// uses it.
	EarlierLoads [][]float32
	// EarlierReserves is the same for capacity leases: what their owners may still have leased out by earlier plans.
	EarlierReserves []CapacityReserve
	Previous        uint64 // number of the plan before this one; 0: there was none
}

// Zone is a zone in a plan.
type Zone struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	Region    string
	State     State
	Nodes     int       // that share its grants
	Listed    int       // nodes that it has in the membership list
	Capacity  float32   // load that all grants together may put there
	Demand    []float32 // by class: estimate of the load that its clients want
	GuestLoad float32   // what clients of other zones need there now
	Flaps     int       // how often it was lost soon after it had come back

	LeaseOwner int     // node that leases the reserve out; -1: nobody
	Reserve    float32 // part of the capacity that the owner may lease to nodes of any zone
}

// Grant is the most load that the nodes of one zone together may have in a zone.
type Grant struct {
	_          struct{} `cbor:",toarray"`
	From, To   int      // places in Plan.Zones
	Load       float32
	RegionLoad float32 // part of Load that is reserved for classes that must stay in their region
}

// CapacityReserve is what a lease owner may still have leased out of a zone's capacity.
type CapacityReserve struct {
	_     struct{} `cbor:",toarray"`
	Zone  int      // place in Plan.Zones
	Owner int      // node
	Load  float32
}

// OperatorOrders are what operators have ordered.
type OperatorOrders struct {
	_       struct{} `cbor:",toarray"`
	Drained []string // zones
}
