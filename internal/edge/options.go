package edge

import (
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"
)

// Clock is the event loop's time and timers. A timer never fires before the call that sets it has returned.
type Clock interface {
	Now() time.Time
	At(at time.Time, fn func()) (stop func())
}

// Client is a front's side of one request. Its methods are called by the core alone, and never after the front has
// reported by Request.ClientGone that the client is gone.
type Client interface {
	// Attempt starts the upstream request a; its outcome is reported by a's methods.
	Attempt(a *Attempt) UpstreamRequest
	// LocalReply gives the client the final answer of a request that no server serves.
	LocalReply(reply LocalReply)
	// Migrate asks the client of an open connection to reconnect, and ends its connection on both sides: between two of
	// the server's lines where the current one ends by the given time, else then.
	Migrate(by time.Time)
}

// UpstreamRequest is a front's side of one attempt.
type UpstreamRequest interface {
	// GiveUp stops waiting: nothing of the attempt may reach the client any more, nor the server. An attempt whose last
	// byte is not reported as Written by then has not run.
	GiveUp()
}

// HealthChecker is a front's way to ask a server for its load report by a time; done is called once.
type HealthChecker interface {
	CheckHealth(server ServerEntry, by time.Time, done func(outcome choice.Outcome, report []float64))
}

// ServerEntry is one entry of the cluster's endpoint list with its address.
type ServerEntry struct {
	choice.Server
	Addr string
}

// Spec is what a front knows of a new request.
type Spec struct {
	ID           choice.RequestID
	Class        int // index in Settings.Classes
	Tenant       int // index in Settings.Tenants; -1: none
	Key          uint64
	Group        uint64  // affinity group; 0: none
	Load         float64 // expected load, work a second; 0: not known
	Returned     bool    // the client came back after a broken connection or a migration
	Deadline     time.Time
	StickyServer choice.ServerID // where the session that it resumes lives; empty: nowhere
	OpenAt       choice.ServerID // a connection that was open at this server before the node started; else empty
}

// Options are what a core works with.
type Options struct {
	Clock         Clock
	Settings      choice.Settings
	Seed          uint64 // of the balancer's random numbers
	HealthChecker HealthChecker
	WatchList     func() // has discovery push changes from now on
	// SendPeerMessage sends a message to another node by its number; nil: there are no peers.
	SendPeerMessage func(to int, message []byte)
	// DrainPeriod is how long the migration of a draining server's clients, one by one, takes. 0: servers have their
	// clients reconnect themselves.
	DrainPeriod time.Duration
	// Observer is notified of all that passes through; nil: nobody is.
	Observer Observer
	// Figures are the process's counters, raised here for all fronts; nil: nothing is counted.
	Figures Figures
	// Monitor checks each step against the node's promises; nil: the core has one of its own.
	Monitor *invariant.Monitor
	// Trace records what becomes of requests; nil: the core has one of its own.
	Trace *trace.Recorder
}

// withDefaults fills in what may be left out.
func (o Options) withDefaults() Options {
	if o.Figures == nil {
		o.Figures = uncounted{}
	}
	if o.Monitor == nil {
		o.Monitor = &invariant.Monitor{}
	}
	if o.Trace == nil {
		o.Trace = &trace.Recorder{}
	}
	return o
}
