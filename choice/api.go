package choice

import "time"

// ServerID and RequestID are opaque: the module compares, sorts and hashes them and reads nothing in them.
type (
	ServerID  string
	RequestID string
)

// Settings is what one node is told at start. Zero values mean "not told" or "not allowed".
type Settings struct {
	Nodes             int    // nodes that share the fleet, this one among them
	Node              int    // this node's number, from 0
	Processes         int    // processes that share this node's part for now, alike; 0: one
	Zone              string // this node's zone
	Classes           []Class
	Tenants           []Tenant
	GroupAffinity     bool // connections of one group share work: each server that holds any of a group pays for it
	PacketPassThrough bool // packets pass through: an open connection can reach another node as a mid-flow request
	Park              time.Duration
	Subscribe         bool          // the server list must be asked for; else changes are pushed
	Reports           ReportSource  // where load reports come from
	ReportFields      []ReportField // the values of a report, in order
	Sizes             SizeKind      // what Server.Size means
	// DelaysObserved says that a DelayNote comes where messages take long; without it only reports show a full server.
	DelaysObserved bool
	// OverQuotaPriority is the part of its worth that a connection keeps beyond its tenant's quota.
	OverQuotaPriority float64
	PriorityPerWork   bool // worth counts for each unit of work, not for each request
	RoundTrip         time.Duration
	InitialCost       float64 // load that a mean connection puts on a server of size 1, where it is known; 0: guessed until learned
	Limits            Limits
	Rules             Rules
	Costs             Costs
}

// Class is a class of requests. Its CBOR form goes from one process of a node to the next one: the tags are its names there.
type Class struct {
	Name              string        `cbor:"Name"`
	Removed           bool          `cbor:"Former"`     // it left the settings: only what came before has it, and what was on the way then
	SetupObjective    time.Duration `cbor:"SetupAim"`   // wanted time to set a connection up
	Deadline          time.Duration `cbor:"Deadline"`   // the client's whole patience
	MessageObjective  time.Duration `cbor:"MessageAim"` // wanted time of a message on an open connection; 0 where not told
	Priority          float64       `cbor:"Worth"`
	Idempotency       Idempotency   `cbor:"Repeat"`
	IdempotencyScope  Scope         `cbor:"Scope"`  // Keyed: the servers that drop repeats of a request
	IdempotencyWindow time.Duration `cbor:"Window"` // Keyed: how long they remember, from the send of the attempt that may have run
}

// forgets is when servers no longer tell a repeat of what was sent then from a new request; 0: the class has no such time.
func (c *Class) forgets(sent time.Duration) time.Duration {
	if c.Idempotency != IdempotentByKey {
		return 0
	}
	return sent + c.IdempotencyWindow
}

// Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name        string
	Rate        float64 // requests a second inside its share, over all nodes
	Connections float64 // open connections inside its share, over all nodes; 0 where not told
	Share       float64
}

// Idempotency says what happens when a request runs twice.
type Idempotency uint8

const (
	Idempotent      Idempotency = iota // harmless
	IdempotentByKey                    // harmless inside Scope and Window
	NotIdempotent                      // never allowed
)

// Scope is the group of servers that share what they know of a keyed request.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// ReportSource says where load reports come from.
type ReportSource uint8

const (
	NoReports          ReportSource = iota
	HealthCheckReports              // in probe results only
	AllReports                      // in probe results and outcomes
)

// ReportField names one value of a load report.
type ReportField uint8

const (
	OtherField  ReportField = iota // a value the module has no use for
	Load                           // load asked over what the server can do
	Backlog                        // seconds of work piled up
	InFlight                       // requests or connections held
	Queue                          // requests waiting
	Utilization                    // busy part of the CPU
	Latency                        // recent service time, ms
	Throughput                     // requests served a second
	ErrorRate                      // errors a second
)

// SizeKind says what Server.Size means.
type SizeKind uint8

const (
	NoSize      SizeKind = iota
	NominalSize          // the registered size, or about
	LiveSize             // the registered size over 1 + requests held a core, some time ago
)

// Limits is what a node may do.
type Limits struct {
	MaxAttempts    int // most attempts for one request
	HealthChecks   bool
	Cancellation   bool
	PeerMessages   bool // nodes may send one another messages
	HedgedRequests bool // two attempts of one request may be out at once; the module never uses it
	RetryAfter     bool // clients are told how long to stay away
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
}

// Rules holds the figures of the four rules.
type Rules struct {
	AnswerSlack       time.Duration
	MaxPollInterval   time.Duration // the longest time without asking for the list
	DrainGrace        time.Duration
	SlowStartFraction float64       // a server starts at this part of its capacity or more
	WarmUp            time.Duration // and is warm after this
	OverloadMultiple  float64       // sent more than this multiple of what it can do
	OverloadTime      time.Duration // for this long, it falls over
}

// Costs are parts of the service taken off for each unit a first try.
type Costs struct {
	HealthCheck float64
	Migration   float64
	PeerMessage float64 // 256 bytes of messages to other nodes
	CrossZone   float64
	LateFailure float64
	Waste       float64
}

// Event is what a node tells the module: one of the types below.
type Event interface{ event() }

// ListKind is the kind of a ServerList.
type ListKind uint8

const (
	ListChange      ListKind = iota // changed entries only
	ListFull                        // the whole list
	ListCached                      // the whole list as this node last had it
	ListUnavailable                 // an ask failed or the subscription broke; the old list stands
)

// ServerState is what discovery knows of a server.
type ServerState uint8

const (
	Ready ServerState = iota
	Draining
	Gone
)

// Server is one entry of the list. Its CBOR form goes from one process of a node to the next one: the tags are its names there.
type Server struct {
	ID      ServerID      `cbor:"ID"`
	Zone    string        `cbor:"Zone"`
	Kind    string        `cbor:"Kind"` // machine kind; only compared for equality
	Cell    int           `cbor:"Cell"`
	State   ServerState   `cbor:"State"`
	Size    float64       `cbor:"Size"`
	Started time.Duration `cbor:"Started"` // clock time of its last start, as the list tells it; 0: long ago
	// SlowStartSince is when it started by the clock of Step, where that differs from the list's; 0: it does not.
	SlowStartSince time.Duration `cbor:"ColdSince"`
}

type (
	// ServerList is news from discovery.
	ServerList struct {
		Kind    ListKind
		Servers []Server
	}
	// Request is a new request of a client; it gets exactly one final answer.
	Request struct {
		ID           RequestID
		Class        int // index in Settings.Classes
		Tenant       int // index in Settings.Tenants; -1 without tenants
		Key          uint64
		Group        uint64 // 0: none
		TimeLeft     time.Duration
		Load         float64  // told usual load, work a second; 0: not told
		StickyServer ServerID // where what it resumes lives: it goes there while it may; empty: nowhere
		MidFlow      bool     // packets of an open connection come here now
		Returned     bool     // the client came back after a break or a move
	}
	// OpenConnection is a connection that stands already, bound as attempt 0: open when the node starts, or taken over.
	OpenConnection struct {
		Request
		Server        ServerID
		OriginalClass *Class  // its class as it was when its request came, for one that another process has had; nil: as the settings say
		CurrentLoad   float64 // its load now; 0: not told
	}
	// StickyServerFound tells where what a request under way resumes lives.
	StickyServerFound struct {
		ID     RequestID
		Server ServerID
	}
	// Transferred says that another process of this node has an open connection from now on. It has not ended.
	Transferred struct{ ID RequestID }
	// LearnedStateReceived is what another process of this node has found out.
	LearnedStateReceived struct{ LearnedState }
	// Established says that an attempt's connection stands.
	Established struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Took    time.Duration
	}
	// AttemptEnded is the one outcome of an attempt. Final: the request is over.
	AttemptEnded struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Outcome Outcome
		Took    time.Duration
		Final   bool
		Report  []float64
	}
	// HealthCheckResult answers a Probe.
	HealthCheckResult struct {
		Server  ServerID
		Outcome Outcome
		Took    time.Duration
		Report  []float64
	}
	// LoadUpdate tells the present load of an open connection, work a second.
	LoadUpdate struct {
		ID      RequestID
		Attempt int
		Load    float64
	}
	// DelayObservation tells how long a message takes at a server now, as seen on one of its connections.
	DelayObservation struct {
		ID     RequestID
		Server ServerID
		Took   time.Duration
	}
	// ClientGone says that nobody waits for the request any more.
	ClientGone struct{ ID RequestID }
	// TimeUp says that the node can't wait any longer: the request gets its answer now.
	TimeUp struct{ ID RequestID }
	// TimerFired brings back a SetTimer.
	TimerFired struct{ Token string }
	// SettingsChanged replaces the settings. Classes and tenants keep their indices; new ones come behind. Requests under way
	// keep the class and the number of attempts that they came with.
	SettingsChanged struct{ Settings }
	// ZonePlan says where this node's requests may go from now on. Without grants nothing is placed; nil Grants end the
	// plan: the node chooses for itself, among all zones.
	ZonePlan struct {
		Grants        []Grant       // nearest zone first
		AdmitFraction []float64     // part of each class's requests that is let in; classes beyond are let in whole
		RetryAfter    time.Duration // advice for what is refused, spread by half
		Nodes         int           // of the fleet that are there; 0: as the settings say
	}
	// PeerMessage is a message of another node, by its number. What can't be read, is late or repeats is dropped.
	PeerMessage struct {
		From int
		Data []byte
	}
)

func (ServerList) event()           {}
func (Request) event()              {}
func (OpenConnection) event()       {}
func (StickyServerFound) event()    {}
func (Transferred) event()          {}
func (LearnedStateReceived) event() {}
func (Established) event()          {}
func (AttemptEnded) event()         {}
func (HealthCheckResult) event()    {}
func (LoadUpdate) event()           {}
func (DelayObservation) event()     {}
func (ClientGone) event()           {}
func (TimeUp) event()               {}
func (TimerFired) event()           {}
func (SettingsChanged) event()      {}
func (ZonePlan) event()             {}
func (PeerMessage) event()          {}

// Grant lets this node's connections of the classes that it is for have so much told load in a zone.
type Grant struct {
	Zone            string
	Load            float64
	ExcludedClasses []int // classes that it is not for
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

const (
	Served        Outcome = iota
	Failed                // the server answered with an error
	Full                  // sent back unseen: queue full, or draining
	TimedOut              // no answer in time
	ConnectFailed         // no connection could be made
	Reset                 // the connection broke
	Cancelled             // called off
	NeverSent             // never sent
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NeverSent }

var outcomeNames = [...]string{"served", "failed", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// String is the outcome's name in logs and figures.
func (o Outcome) String() string { return outcomeNames[o] }

// Reason is why the module ends a request without a connection.
type Reason uint8

const (
	Unspecified     Reason = iota
	UnknownClass           // no such class in the settings
	Overloaded             // the fleet is full as a whole, or the plan lets in only a part of the class
	NoServer               // no server may take it
	ServersCrowded         // those that may are full
	AttemptsUsed           // the last attempt that the settings allow has failed
	TimeShort              // too little time is left for another attempt
	MayHaveRun             // an attempt may have run, and must not run twice
	DeadlineReached        // its time is up
	Withdrawn              // the node can't wait any longer
)

var reasonNames = [...]string{"unspecified", "unknown_class", "overloaded", "no_server", "servers_crowded", "attempts_used", "time_short",
	"may_have_run", "deadline_reached", "withdrawn"}

// String is the reason's name in logs and figures.
func (r Reason) String() string { return reasonNames[r] }

// Action is what the module asks the node to do: one of the types below.
type Action interface{ action() }

type (
	// StartAttempt starts the next attempt of a request; it is given up after Cap. Its first byte goes out before the clock time By or
	// not at all; 0 or under: whenever its connection is up.
	StartAttempt struct {
		ID         RequestID
		Server     ServerID
		Timeout    time.Duration
		SendBefore time.Duration
	}
	// Reject ends a request: trying again does no harm. After is advice; 0 gives none.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration
		Reason     Reason
	}
	// Fail ends a request and promises nothing.
	Fail struct {
		ID     RequestID
		Reason Reason
	}
	// CancelAttempt calls an attempt off.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// HealthCheck asks a server for its load report.
	HealthCheck struct{ Server ServerID }
	// Migrate asks the client of an open connection to come again.
	Migrate struct{ ID RequestID }
	// SetTimer asks for a TimerFired after a time. It cannot be taken back, but one that is for a request need not fire when that is over.
	SetTimer struct {
		Token string
		After time.Duration
		For   RequestID // empty: for none
	}
	// WatchList asks discovery for changes from now on.
	WatchList struct{}
	// SendPeerMessage sends another node a message of at most 256 bytes, by its number. It may come late or never.
	SendPeerMessage struct {
		To   int
		Data []byte
	}
)

func (StartAttempt) action()    {}
func (Reject) action()          {}
func (Fail) action()            {}
func (CancelAttempt) action()   {}
func (HealthCheck) action()     {}
func (Migrate) action()         {}
func (SetTimer) action()        {}
func (WatchList) action()       {}
func (SendPeerMessage) action() {}
