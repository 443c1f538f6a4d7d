package choice

import "time"

// Event is what a node reports to the package: one of the types below.
type Event interface{ event() }

// ListKind is the kind of a ServerList.
type ListKind uint8

// The kinds of server lists.
const (
	ListChange      ListKind = iota // changed entries only
	ListFull                        // the complete list
	ListCached                      // the complete list as this node last had it
	ListUnavailable                 // a poll failed or the subscription broke; the old list stays in force
)

// ServerState is what service discovery knows of a server.
type ServerState uint8

// The states of a server.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Server is one entry of the list. It goes to the next process with each open connection: the tags name that form.
type Server struct {
	ID   ServerID `cbor:"ID"`
	Zone string   `cbor:"Zone"`
	// Kind is the kind of machine; it is only compared for equality.
	Kind    string        `cbor:"Kind"`
	Cell    int           `cbor:"Cell"`
	State   ServerState   `cbor:"State"`
	Size    float64       `cbor:"Size"`
	Started time.Duration `cbor:"Started"` // clock time of its last start, as in the list; 0: long ago
	// SlowStartSince is when it started by the clock of Step, where that differs from the list's; 0: it does not.
	SlowStartSince time.Duration `cbor:"ColdSince"`
}

type (
	// ServerList is an update from service discovery.
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
		Load         float64  // its usual load, work a second; 0: not known
		StickyServer ServerID // where what it resumes lives: it goes there while it may; empty: nowhere
		MidFlow      bool     // packets of an open connection come here now
		Returned     bool     // the client came back after a break or a migration
	}
	// OpenConnection is a connection that is open already, as attempt 0: since before the node started, or taken over.
	OpenConnection struct {
		Request
		Server ServerID
		// OriginalClass is the class as it was when the request came to another process; nil: as in the settings.
		OriginalClass *Class
		CurrentLoad   float64 // 0: not known
	}
	// StickyServerFound says where what a request under way resumes lives.
	StickyServerFound struct {
		ID     RequestID
		Server ServerID
	}
	// Transferred says that another process of this node has an open connection from now on. It has not ended.
	Transferred struct{ ID RequestID }
	// LearnedStateReceived is what another process of this node has learned.
	LearnedStateReceived struct{ LearnedState }
	// Established says that an attempt's connection is open.
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
	// HealthCheckResult answers a HealthCheck.
	HealthCheckResult struct {
		Server  ServerID
		Outcome Outcome
		Took    time.Duration
		Report  []float64
	}
	// LoadUpdate has the present load of an open connection, work a second.
	LoadUpdate struct {
		ID      RequestID
		Attempt int
		Load    float64
	}
	// DelayObservation has the time that a message takes at a server now, as seen on one of its connections.
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
	// SettingsChanged replaces the settings. Classes and tenants keep their indices; new ones come behind. Requests
	// under way keep the class and the number of attempts that they came with.
	SettingsChanged struct{ Settings }
	// ZonePlan says where this node's requests may go from now on. Without grants nothing is placed; nil Grants end
	// the plan: the node chooses for itself, among all zones.
	ZonePlan struct {
		Grants        []Grant       // nearest zone first
		AdmitFraction []float64     // of each class's requests; classes beyond are admitted completely
		RetryAfter    time.Duration // for what is rejected, spread by half
		Nodes         int           // of the fleet that are there; 0: as in the settings
	}
	// PeerMessage is a message of another node, by its number. One that can't be read, is late or repeats is dropped.
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

// Grant lets this node's connections of the classes that it is for put so much load on a zone.
type Grant struct {
	Zone            string
	Load            float64
	ExcludedClasses []int // classes that it is not for
}

// Outcome is how an attempt or a health check ended. The numbers stand in captures.
type Outcome uint8

// The outcomes.
const (
	Served        Outcome = iota
	Failed                // the server answered with an error
	Full                  // sent back unseen: queue full, or draining
	TimedOut              // no answer in time
	ConnectFailed         // no connection could be made
	Reset                 // the connection broke
	Cancelled             // called off
	NeverSent             // superseded before anything was sent
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NeverSent }

var outcomeNames = [...]string{"served", "failed", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// String is the outcome's name in logs and figures.
func (o Outcome) String() string { return outcomeNames[o] }
