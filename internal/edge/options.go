package edge

import (
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"
)

// Clock provides the event loop's time and timers. A timer never fires before the call that sets it has returned.
type Clock interface {
	Now() time.Time
	At(at time.Time, fn func()) (stop func())
}

// Client is the front end's side of one request. Only the core calls its methods, and never after the front end has
// called Request.ClientGone.
type Client interface {
	// Attempt starts the upstream request for a. The front end reports its progress and outcome by calling a's methods.
	Attempt(a *Attempt) UpstreamRequest
	// LocalReply sends the client the node's own final answer to a request that no server serves.
	LocalReply(reply LocalReply)
	// Migrate asks the client of an open connection to reconnect, and ends its connection on both sides. The connection
	// ends after the server's current line, or at the given time if that line is not complete by then.
	Migrate(by time.Time)
}

// UpstreamRequest is the front end's side of one attempt.
type UpstreamRequest interface {
	// GiveUp cancels the attempt. From now on the front end sends none of its bytes to the client or to the server. An
	// attempt for which the front end has not called Attempt.Written counts as not run.
	GiveUp()
}

// HealthChecker is implemented by a front end. CheckHealth requests a server's load report and calls done once, by the
// given time.
type HealthChecker interface {
	CheckHealth(server ServerEntry, by time.Time, done func(outcome choice.Outcome, report []float64))
}

// ServerEntry is one entry of the cluster's endpoint list, with the server's address.
type ServerEntry struct {
	choice.Server
	Addr string
}

// Spec describes a new request, as far as the front end knows it.
type Spec struct {
	ID           choice.RequestID
	Class        int // index in Settings.Classes
	Tenant       int // index in Settings.Tenants; -1: none
	Key          uint64
	Group        uint64  // affinity group; 0: none
	Load         float64 // expected load, in work per second; 0: unknown
	Returned     bool    // the client came back after a broken connection or a migration
	Deadline     time.Time
	StickyServer choice.ServerID // server that holds the session which the request resumes; empty: none
	OpenAt       choice.ServerID // server of a connection that was open before the node started; empty: a new one
}

// Options configures a core.
type Options struct {
	Clock         Clock
	Settings      choice.Settings
	Seed          uint64 // seed of the balancer's random numbers
	HealthChecker HealthChecker
	WatchList     func() // asks service discovery to push changes of the endpoint list
	// SendPeerMessage sends a message to the node with the given number; nil: there are no peers.
	SendPeerMessage func(to int, message []byte)
	// AskOtherProcesses asks the other processes of the node whether a request with an id is open there. It reports
	// whether there is one to ask; if so, done is called once, after AskOtherProcesses has returned. nil: requests have
	// ids that no other process has.
	AskOtherProcesses func(id choice.RequestID, done func(inUse bool)) (asked bool)
	// DrainPeriod is the time over which the core migrates a draining server's clients, one by one. 0: the core
	// migrates none; the servers themselves ask their clients to reconnect.
	DrainPeriod time.Duration
	// Observer is notified of all requests, connections, load reports and servers of the core; nil: no observer.
	Observer Observer
	// Figures are the counters of the process, which the core increments for all front ends; nil: no counters.
	Figures Figures
	// Monitor checks each step of a request against the node's invariants; nil: the core creates its own.
	Monitor *invariant.Monitor
	// Trace records the steps of each request; nil: the core creates its own.
	Trace *trace.Recorder
}

// withDefaults returns the options with the defaults of optional fields filled in.
func (o Options) withDefaults() Options {
	if o.Figures == nil {
		o.Figures = discardFigures{}
	}
	if o.Monitor == nil {
		o.Monitor = &invariant.Monitor{}
	}
	if o.Trace == nil {
		o.Trace = &trace.Recorder{}
	}
	return o
}
