package choice

import "time"

// Action is an action that the node must carry out: one of the types below.
type Action interface{ action() }

type (
	// StartAttempt starts the next attempt of a request. The node gives the attempt up after Timeout. If SendBefore is
	// positive, the node must send the first byte before that clock time or not at all. Otherwise it sends the first
	// byte once the connection is established.
	StartAttempt struct {
		ID         RequestID
		Server     ServerID
		Timeout    time.Duration
		SendBefore time.Duration
	}
	// Reject ends a request that the client may safely retry, after RetryAfter. If RetryAfter is 0, the client is not
	// told how long to wait.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration
		Reason     Reason
	}
	// Fail ends a request without telling the client that a retry is safe.
	Fail struct {
		ID     RequestID
		Reason Reason
	}
	// CancelAttempt cancels an attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// HealthCheck requests a load report from a server.
	HealthCheck struct{ Server ServerID }
	// Migrate asks the client of an open connection to reconnect.
	Migrate struct{ ID RequestID }
	// SetTimer requests a TimerFired event after the given time. A timer can't be cancelled, but a timer for a request
	// need not fire after the request has ended.
	SetTimer struct {
		Token string
		After time.Duration
		For   RequestID // request that the timer is for; empty: none
	}
	// WatchList subscribes to changes of the server list from service discovery.
	WatchList struct{}
	// SendPeerMessage sends a message of at most 256 bytes to another node, by its number. The message may arrive late
	// or never.
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

// Reason is the reason why the package ends a request without a connection.
type Reason uint8

// The reasons.
const (
	Unspecified     Reason = iota
	UnknownClass           // the settings have no such class
	Overloaded             // the fleet is full, or the plan admits only a fraction of the class
	NoServer               // no server may take the request
	ServersCrowded         // all servers that may take the request are full
	AttemptsUsed           // the last attempt that the settings allow has failed
	TimeShort              // too little time is left for another attempt
	MayHaveRun             // an attempt may have run, and the request must not run twice
	DeadlineReached        // the request's deadline has been reached
	Withdrawn              // the node can't wait any longer
)

var reasonNames = [...]string{
	"unspecified", "unknown_class", "overloaded", "no_server", "servers_crowded", "attempts_used", "time_short",
	"may_have_run", "deadline_reached", "withdrawn",
}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }
