package choice

import "time"

// Event is an event that the node reports to the package: one of the types below.
type Event interface{ event() }

// ListKind is the kind of a ServerList.
type ListKind uint8

// The kinds of server lists.
const (
	ListChange      ListKind = iota // changed entries only
	ListFull                        // the complete list
	ListCached                      // the last complete list that this node received
	ListUnavailable                 // a poll failed or the subscription broke; the old list stays in force
)

// ServerState is a server's state according to service discovery.
type ServerState uint8

// The states of a server.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Server is one entry of the server list. It is passed to the next process with each open connection, and the tags are
// the field names in that encoding.
type Server struct {
	ID   ServerID `cbor:"ID"`
	Zone string   `cbor:"Zone"`
	// Kind is the kind of machine; it is only compared for equality.
	Kind    string        `cbor:"Kind"`
	Cell    int           `cbor:"Cell"`
	State   ServerState   `cbor:"State"`
	Size    float64       `cbor:"Size"`
	Started time.Duration `cbor:"Started"` // clock time of the last start, as in the list; 0: long ago
	// SlowStartSince is the time of the last start by the clock of Step, if that clock differs from the list's; 0: it
	// does not differ.
	SlowStartSince time.Duration `cbor:"ColdSince"`
}

type (
	// ServerList is an update from service discovery.
	ServerList struct {
		Kind    ListKind
		Servers []Server
	}
	// Request is a new request of a client. It gets exactly one final answer.
	Request struct {
		ID           RequestID
		Class        int // index in Settings.Classes
		Tenant       int // index in Settings.Tenants; -1 without tenants
		Key          uint64
		Group        uint64 // 0: none
		TimeLeft     time.Duration
		Load         float64  // usual load, in work per second; 0: unknown
		StickyServer ServerID // server of the session that the request resumes; preferred if allowed; empty: none
		MidFlow      bool     // the packets of an open connection now arrive at this node
		Returned     bool     // the client reconnects after a break or a migration
	}
	// OpenConnection is a connection that is already open, as attempt 0. It was opened before the node started or taken
	// over from another process.
	OpenConnection struct {
		Request
		Server ServerID
		// OriginalClass is the class as configured when the request arrived at another process; nil: as in the
		// settings.
		OriginalClass *Class
		CurrentLoad   float64 // 0: unknown
	}
	// StickyServerFound reports the server of the session that a request in progress resumes.
	StickyServerFound struct {
		ID     RequestID
		Server ServerID
	}
	// Transferred reports that an open connection was transferred to another process of this node. The connection has
	// not ended.
	Transferred struct{ ID RequestID }
	// LearnedStateReceived has the learned state of another process of this node.
	LearnedStateReceived struct{ LearnedState }
	// Established reports that an attempt's connection is open.
	Established struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Took    time.Duration
	}
	// AttemptEnded reports the outcome of an attempt, exactly once per attempt. If Final is set, the request has ended.
	AttemptEnded struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Outcome Outcome
		Took    time.Duration
		Final   bool
		Report  []float64
	}
	// HealthCheckResult reports the result of a HealthCheck.
	HealthCheckResult struct {
		Server  ServerID
		Outcome Outcome
		Took    time.Duration
		Report  []float64
	}
	// LoadUpdate reports the current load of an open connection, in work per second.
	LoadUpdate struct {
		ID      RequestID
		Attempt int
		Load    float64
	}
	// DelayObservation reports how long a message currently takes on a server, as seen on one of its connections.
	DelayObservation struct {
		ID     RequestID
		Server ServerID
		Took   time.Duration
	}
	// ClientGone reports that the client no longer waits for the request.
	ClientGone struct{ ID RequestID }
	// TimeUp reports that the node can't wait any longer. The request gets its answer now.
	TimeUp struct{ ID RequestID }
	// TimerFired reports that the timer of a SetTimer has fired.
	TimerFired struct{ Token string }
	// SettingsChanged replaces the settings. Classes and tenants keep their indices, and new ones are appended.
	// Requests in progress keep the class and the maximum number of attempts that they arrived with.
	SettingsChanged struct{ Settings }
	// ZonePlan determines the zones that this node's requests may go to from now on. If Grants is empty but not nil,
	// nothing is placed. If Grants is nil, the plan ends, and the node chooses among all zones by itself.
	ZonePlan struct {
		Grants        []Grant       // nearest zone first
		AdmitFraction []float64     // admitted fraction of requests by class; further classes are admitted completely
		RetryAfter    time.Duration // for rejected requests; varied at random by up to half
		LiveNodes     int           // live nodes of all zones when the plan was made; 0: as in the settings
	}
	// PeerMessage is a message from another node, by its number. Messages that are invalid, late or repeated are
	// dropped.
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

// Grant allows this node's connections to use a zone, up to a total load of Load. It covers all classes except
// ExcludedClasses.
type Grant struct {
	Zone            string
	Load            float64
	ExcludedClasses []int // classes that the grant does not cover
}

// Outcome is how an attempt or a health check ended. Captures record the numbers, so they must not change.
type Outcome uint8

// The outcomes.
const (
	Served        Outcome = iota
	Failed                // the server answered with an error
	Full                  // the server returned the request unprocessed: its queue is full, or it is draining
	TimedOut              // no answer in time
	ConnectFailed         // the connection could not be established
	Reset                 // the connection broke
	Cancelled             // the attempt was cancelled
	NeverSent             // the attempt became obsolete before anything was sent
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NeverSent }

var outcomeNames = [...]string{"served", "failed", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }
