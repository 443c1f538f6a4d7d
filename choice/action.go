package choice

import "time"

// Action is what the package has the node do: one of the types below.
type Action interface{ action() }

type (
	// StartAttempt starts the next attempt of a request; it is given up after Timeout. Its first byte goes out before
	// the clock time SendBefore or not at all; 0 or less: whenever its connection is up.
	StartAttempt struct {
		ID         RequestID
		Server     ServerID
		Timeout    time.Duration
		SendBefore time.Duration
	}
	// Reject ends a request that may be retried without harm. RetryAfter is for the client; 0: nothing is said.
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
	// Migrate asks the client of an open connection to connect anew.
	Migrate struct{ ID RequestID }
	// SetTimer asks for a TimerFired after a time. It cannot be taken back, but one that is for a request need not fire
	// once that is over.
	SetTimer struct {
		Token string
		After time.Duration
		For   RequestID // empty: for none
	}
	// WatchList asks service discovery for changes from now on.
	WatchList struct{}
	// SendPeerMessage sends another node, by its number, a message of at most 256 bytes. It may come late or never.
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

// Reason is why the package ends a request without a connection.
type Reason uint8

// The reasons.
const (
	Unspecified     Reason = iota
	UnknownClass           // no such class in the settings
	Overloaded             // the fleet is full, or the plan admits only a fraction of the class
	NoServer               // no server may take it
	ServersCrowded         // those that may are full
	AttemptsUsed           // the last attempt that the settings allow has failed
	TimeShort              // too little time is left for another attempt
	MayHaveRun             // an attempt may have run, and must not run twice
	DeadlineReached        // its time is up
	Withdrawn              // the node can't wait any longer
)

var reasonNames = [...]string{
	"unspecified", "unknown_class", "overloaded", "no_server", "servers_crowded", "attempts_used", "time_short",
	"may_have_run", "deadline_reached", "withdrawn",
}

// String is the reason's name in logs and figures.
func (r Reason) String() string { return reasonNames[r] }
