// Package edge is the core: requests, attempts, outcomes and their timers. It owns the decision module's balancer of
// one cluster, tells it what happens and carries out what it decides, in order. It knows no wire and no socket:
// fronts bring requests and carry attempts out.
//
// Everything here runs on one goroutine, the loop's.
package edge

import (
	"fmt"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

// Clock is the loop's time and timers. A timer never fires before the call that sets it has returned.
type Clock interface {
	Now() time.Time
	At(at time.Time, fn func()) (stop func())
}

// Client is a front's side of one request. Its methods are called by the core only, and never after it has told the
// core that the client is gone.
type Client interface {
	// Attempt starts the upstream request a; its outcome is told through a's methods.
	Attempt(a *Attempt) UpstreamRequest
	// LocalReply gives the client the final answer of a request that no host serves.
	LocalReply(r LocalReply)
	// Migrate asks the client of an open connection to come again, and ends its connection on both sides: between two of the
	// host's lines where the one in hand ends by the given time, else then.
	Migrate(by time.Time)
}

// UpstreamRequest is a front's side of one attempt.
type UpstreamRequest interface {
	// GiveUp stops waiting: nothing of the attempt may reach the client any more, nor the host. An attempt whose last byte is
	// not told as Written by then has not run.
	GiveUp()
}

// HealthChecker is a front's way to ask a host for its load report by a time; done is called once.
type HealthChecker interface {
	CheckHealth(h ServerEntry, by time.Time, done func(o choice.Outcome, report []float64))
}

// Observer hears what passes through a core, at once and on its goroutine: it must neither wait nor call back.
type Observer interface {
	Answered(a Answered)
	Ended(seq uint64, life time.Duration, load float64, cause EndCause)
	Report(h choice.ServerID, values []float64)
	ServerChanged(h ServerEntry) // new to the list, or changed
	Settings(s choice.Settings)
}

// Answered is a request with its one final answer.
type Answered struct {
	Spec
	Seq      uint64 // of the core's requests
	Arrived  time.Time
	Took     time.Duration
	Answer   Answer
	Attempts []AttemptResult // in order; the last one may be the connection that stands
}

// Answer is the final answer of a request.
type Answer uint8

const (
	Up Answer = iota
	Served
	Rejected
	Failed
	ClientLeft // the client left before any
)

// EndCause says who ended an open connection.
type EndCause uint8

const (
	ByClient EndCause = iota
	ByServer
	Migrated
	Transferred // it goes on in another process
)

// AttemptResult is an attempt with its outcome, as far as there is one.
type AttemptResult struct {
	Server  choice.ServerID
	Outcome choice.Outcome
	Took    time.Duration
}

// LocalReply is a final answer that the node gives by itself.
type LocalReply struct {
	Rejected   bool          // trying again does no harm; else the request failed
	RetryAfter time.Duration // advice for when to come again; 0: none
	Why        Why
	Reason     trace.Reason // for logs and figures
}

// Why tells a front the reason of a local reply, for protocols that name it.
type Why uint8

const (
	Busy           Why = iota // the module found no host that can take it
	ShuttingDown              // this node goes away
	Unreachable               // the host that the request is bound to can't be had
	ServerLost                // the host failed after its first bytes had reached the client
	DeadlinePassed            // the deadline came first
)

// ServerEntry is one entry of the cluster.
type ServerEntry struct {
	choice.Server
	Addr string
}

// Spec is what a front knows of a new request.
type Spec struct {
	ID           choice.RequestID
	Class        int
	Tenant       int
	Key          uint64
	Group        uint64
	Load         float64
	Returned     bool
	Deadline     time.Time       // absolute: by then it has its final answer
	StickyServer choice.ServerID // where what the request resumes lives, if anywhere
	OpenAt       choice.ServerID // a connection that was open at this host before the node started; else empty
}

// Options are the core's surroundings.
type Options struct {
	Clock         Clock
	Settings      choice.Settings
	Seed          uint64
	HealthChecker HealthChecker
	WatchList     func() // asks discovery for changes from now on
	// SendPeerMessage sends a message to another node by its number; nil: there are no others to speak to.
	SendPeerMessage func(to int, message []byte)
	// DrainPeriod is how long the clients of a draining host have to leave it; they are moved one by one over that time.
	// 0: hosts send their clients away themselves.
	DrainPeriod time.Duration
	// Observer hears of all that passes through; nil: nobody does.
	Observer Observer
	// Figures are the process's, counted here for all fronts; nil: nobody asks for them.
	Figures Figures
	// Monitor checks each step against the node's promises; nil: the core has one of its own.
	Monitor *invariant.Monitor
	// Trace hears what becomes of requests; nil: the core has one of its own.
	Trace *trace.Recorder
}

const (
	probeTime   = 150 * time.Millisecond // for a probe's answer: longer than any way there and back, short against a placement
	retryPinned = 250 * time.Millisecond // between tries at the host of a connection open before the run
	silentTime  = 4500 * time.Millisecond
	moveEnds    = time.Second // for the end of a host's line in hand, where a client is to be moved
)

// Core is the core of one cluster.
type Core struct {
	o        Options
	balancer *choice.Balancer
	start    time.Time
	epoch    time.Duration // the module's clock at start: Unix time
	events   []choice.Event
	stepping bool
	hosts    map[choice.ServerID]*host
	requests map[choice.RequestID]*Request
	draining bool
	leaveBy  time.Time // of a handover: when the last connections go
	end      time.Time // of a planned stop: nothing is held from then on
	moving   bool      // of a handover: they are told to move
	moved    int       // of a handover: connections that were
	spared   int       // attempts whose connection came up when nothing was to be written any more
	minAim   time.Duration
	seq      uint64
	counts   []*Counts // by class
	lease    *Lease    // nil: nothing but the settings says what is taken
	starts   discoveryClock
}

// New makes the core of one cluster. Its balancer acts first on the first Flush.
func New(o Options) (*Core, error) {
	c := &Core{o: o, start: o.Clock.Now(), hosts: map[choice.ServerID]*host{}, requests: map[choice.RequestID]*Request{}}
	c.epoch = time.Duration(c.start.UnixNano())
	b, err := choice.New(o.Settings, o.Seed, c.epoch)
	if err != nil {
		return nil, err
	}
	c.balancer = b
	if c.o.Figures == nil {
		c.o.Figures = uncounted{}
	}
	if c.o.Monitor == nil {
		c.o.Monitor = &invariant.Monitor{}
	}
	if c.o.Trace == nil {
		c.o.Trace = &trace.Recorder{}
	}
	c.adapt()
	return c, nil
}

// UpdateSettings takes in new settings, of which Check has found no fault. Classes and tenants keep their indices.
func (c *Core) UpdateSettings(s choice.Settings) {
	c.o.Settings = s
	c.adapt()
	if c.o.Observer != nil {
		c.o.Observer.Settings(s)
	}
	c.tell(choice.SettingsChanged{Settings: s})
}

func (c *Core) adapt() {
	c.minAim = 0
	for i, k := range c.o.Settings.Classes {
		if i == len(c.counts) {
			c.counts = append(c.counts, c.o.Figures.Class(k.Name))
		}
		if !k.Removed && k.MessageObjective > 0 && (c.minAim == 0 || k.MessageObjective < c.minAim) {
			c.minAim = k.MessageObjective
		}
	}
}

// clock turns a time into the module's clock: Unix time that never goes back.
func (c *Core) clock(t time.Time) time.Duration { return c.epoch + t.Sub(c.start) }

func (c *Core) tell(e choice.Event) { c.events = append(c.events, e) }

// Flush hands the module what has happened and carries out its answer, until nothing is left. The loop calls it
// after each callback.
func (c *Core) Flush() {
	if c.stepping {
		return
	}
	c.stepping = true
	for len(c.events) > 0 {
		events := c.events
		c.events = nil
		for _, a := range c.balancer.Step(c.clock(c.o.Clock.Now()), events) {
			c.carryOut(a)
		}
	}
	c.stepping = false
}

// Start hands the module the list that this node last held; the module's first actions follow.
func (c *Core) Start(known []ServerEntry) {
	c.UpdateServers(choice.ListCached, known)
	c.Flush()
}

func (c *Core) carryOut(a choice.Action) {
	now := c.o.Clock.Now()
	switch a := a.(type) {
	case choice.StartAttempt:
		if r := c.requests[a.ID]; r != nil && r.attempt == nil && !r.over {
			r.send(a.Server, earlier(now.Add(a.Timeout), r.Deadline), a.SendBefore)
		} else {
			zap.L().Error("send_without_request", zap.String("request", string(a.ID)))
		}
	case choice.Reject:
		if r := c.requests[a.ID]; r != nil {
			l := LocalReply{Rejected: true, RetryAfter: a.RetryAfter, Reason: trace.Reason(a.Reason.String())}
			if r.committed {
				l.Why = DeadlinePassed
			}
			r.conclude(l)
		}
	case choice.Fail:
		if r := c.requests[a.ID]; r != nil {
			r.conclude(LocalReply{Reason: trace.Reason(a.Reason.String())})
		}
	case choice.CancelAttempt:
		if r := c.requests[a.ID]; r != nil && r.attempt != nil && r.attempt.Number == a.Attempt && !r.open {
			r.attempt.giveUp(choice.Cancelled)
		}
	case choice.HealthCheck:
		c.probe(a.Server, now)
	case choice.Migrate:
		if r := c.requests[a.ID]; r != nil {
			r.move()
		}
	case choice.SetTimer:
		c.setTimer(a, now)
	case choice.SendPeerMessage:
		if c.o.SendPeerMessage != nil {
			c.o.SendPeerMessage(a.To, a.Data)
		}
	case choice.WatchList:
		if c.o.WatchList != nil {
			c.o.WatchList()
		}
	}
}

// setTimer sets a timer of the module's. One that is for a request goes with it: a client may name a patience of an hour.
func (c *Core) setTimer(a choice.SetTimer, now time.Time) {
	stop := c.o.Clock.At(now.Add(a.After), func() { c.tell(choice.TimerFired{Token: a.Token}) })
	if r := c.requests[a.For]; r != nil && a.For != "" {
		r.timers = append(r.timers, stop)
	}
}

func (c *Core) probe(id choice.ServerID, now time.Time) {
	h := c.hosts[id]
	done := false
	tell := func(o choice.Outcome, report []float64) {
		if done {
			return
		}
		done = true
		if c.o.Observer != nil && report != nil {
			c.o.Observer.Report(id, report)
		}
		c.tell(choice.HealthCheckResult{Server: id, Outcome: o, Took: c.o.Clock.Now().Sub(now), Report: report})
	}
	if h == nil || c.o.HealthChecker == nil {
		tell(choice.ConnectFailed, nil)
		return
	}
	c.o.HealthChecker.CheckHealth(h.ServerEntry, now.Add(probeTime), tell)
}

// Classes are the settings' classes, by index.
func (c *Core) Classes() []choice.Class { return c.o.Settings.Classes }

// ApplyZonePlan has the module go by a plan of zones from now on.
func (c *Core) ApplyZonePlan(p choice.ZonePlan) { c.tell(p) }

// Observations is what the module saw of zones since the last call.
func (c *Core) Observations() choice.Observations {
	return c.balancer.Observations(c.clock(c.o.Clock.Now()))
}

// ReceivePeerMessage takes a message of another node.
func (c *Core) ReceivePeerMessage(from int, message []byte) {
	c.tell(choice.PeerMessage{From: from, Data: message})
}

// DroppedPeerMessages counts the messages of other nodes that the module dropped.
func (c *Core) DroppedPeerMessages() int { return c.balancer.DroppedPeerMessages() }

// Gauges tells what the core holds now.
func (c *Core) Gauges() Gauges {
	g := Gauges{InFlight: len(c.requests), ServersExcluded: c.balancer.Excluded(c.clock(c.o.Clock.Now()))}
	for _, h := range c.hosts {
		if h.State != choice.Gone {
			g.ServersKnown++
		}
	}
	return g
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Draining reports whether the core turns new requests away.
func (c *Core) Draining() bool { return c.draining }

// AttemptsNeverSent counts the attempts whose connection came up when their client, their time or their host was gone: of these
// nothing was written.
func (c *Core) AttemptsNeverSent() int { return c.spared }

// InFlight counts the requests and connections that the core holds.
func (c *Core) InFlight() int { return len(c.requests) }

func (c *Core) String() string {
	return fmt.Sprintf("%d hosts, %d requests", len(c.hosts), len(c.requests))
}
