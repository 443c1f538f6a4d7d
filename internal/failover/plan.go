package failover

import "spurwinch/internal/consensus"

// Kinds of entries in the consensus log.
const (
	PlanKind           consensus.Kind = 1
	OperatorOrdersKind consensus.Kind = 2
)

const (
	noLeaseOwner  = -1  // Zone.LeaseOwner of a zone without a lease owner
	fullAdmission = 255 // the value in Plan.AdmitFractions that admits all arrivals
)

// State is the state of a zone in a plan. Its number is part of the encoding of a plan.
type State uint8

// The states of a zone.
const (
	Healthy   State = iota
	Lost            // its servers fail; nothing new is placed there but the attempts by which its nodes detect recovery
	Returning       // its servers work again; plans use its capacity again step by step
	Drained         // an operator has ordered it to be drained
)

func (s State) String() string {
	names := [...]string{"well", "lost", "returning", "drained"} // names in logs and operators' output
	return names[min(s, Drained)]
}

// Plan defines how much load of each zone's clients may go to which zone. A Plan is immutable.
type Plan struct {
	_              struct{} `cbor:",toarray"`
	Zones          []Zone
	Classes        []string
	Grants         []Grant
	StayInRegion   []bool  // by class: whether its requests are placed in their client's region only
	AdmitFractions [][]int // by zone and class: the fraction of the arrivals to admit, in 255ths
	GrantLifetime  float32 // seconds for which a grant into another zone is valid without contact to a leader
	LostNodes      []int   // nodes that the leader considers lost, by their indices in the membership list
	Reason         string  // why the leader made the plan, for operators

	// EarlierLoads is the most load that a node of a zone (first index) may still have in a zone (second index) under
	// plans that were in use when this plan was made. Both are indices in Zones. A leader that doesn't know the earlier
	// plans uses EarlierLoads in their place.
	EarlierLoads [][]float32
	// EarlierReserves is the load that lease owners may still have leased out under earlier plans.
	EarlierReserves []CapacityReserve
	Previous        uint64 // number of the plan before this one; 0: this is the first plan
}

// Zone is a plan's entry for a zone.
type Zone struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	Region    string
	State     State
	Nodes     int       // live nodes of the zone; they share its grants
	Listed    int       // nodes of the zone in the membership list
	Capacity  float32   // load that all grants together may place in the zone
	Demand    []float32 // by class: estimated load of the zone's clients
	GuestLoad float32   // load that clients of other zones need in this zone now
	Flaps     int       // consecutive losses of the zone soon after a recovery

	LeaseOwner int     // node that leases out the reserve, by its index in the membership list; -1: none
	Reserve    float32 // part of the capacity that the lease owner may lease to nodes of any zone
}

// Grant is the most load that the nodes of one zone together may have in a zone.
type Grant struct {
	_          struct{} `cbor:",toarray"`
	From, To   int      // indices in Plan.Zones
	Load       float32
	RegionLoad float32 // part of Load that is reserved for classes that must stay in their region
}

// CapacityReserve is the load that a lease owner may still have leased out of a zone's capacity.
type CapacityReserve struct {
	_     struct{} `cbor:",toarray"`
	Zone  int      // index in Plan.Zones
	Owner int      // node, by its index in the membership list
	Load  float32
}

// OperatorOrders are the orders of operators that are in force.
type OperatorOrders struct {
	_       struct{} `cbor:",toarray"`
	Drained []string // zones to drain
}
