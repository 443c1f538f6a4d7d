package edge

import (
	"fmt"
	"time"

	"spurwinch/choice"
)

// Core is the request core of one cluster.
type Core struct {
	options  Options
	balancer *choice.Balancer

	startedAt     time.Time
	epoch         time.Duration  // startedAt by the balancer's clock (Unix time)
	pendingEvents []choice.Event // events that Flush has not yet passed to the balancer
	flushing      bool

	servers    map[choice.ServerID]*serverState
	startTimes startTimeClock

	requests     map[choice.RequestID]*Request
	lastSequence uint64    // sequence number of the newest request; the first request has 1
	answerCounts []*Counts // by class
	neverSent    int       // see AttemptsNeverSent
	// strictestMessageObjective is the shortest message latency objective of all classes; 0: no class has one.
	strictestMessageObjective time.Duration

	lease *Lease // nil: the core admits requests without a policy lease
	drain drainState
}

// New creates the core of one cluster. Its balancer takes no action before the first Flush.
func New(options Options) (*Core, error) {
	core := &Core{
		options:   options.withDefaults(),
		startedAt: options.Clock.Now(),
		servers:   map[choice.ServerID]*serverState{},
		requests:  map[choice.RequestID]*Request{},
	}
	core.epoch = time.Duration(core.startedAt.UnixNano())
	balancer, err := choice.New(options.Settings, options.Seed, core.epoch)
	if err != nil {
		return nil, fmt.Errorf("create the balancer: %w", err)
	}
	core.balancer = balancer
	core.applySettings()
	return core, nil
}

// Start passes the endpoint list that this node cached last to the balancer, and performs the balancer's first actions.
func (c *Core) Start(cached []ServerEntry) {
	c.UpdateServers(choice.ListCached, cached)
	c.Flush()
}

// UpdateSettings replaces the settings. The caller must have validated the new settings, in which each existing class
// and tenant keeps its index.
func (c *Core) UpdateSettings(settings choice.Settings) {
	c.options.Settings = settings
	c.applySettings()
	if c.options.Observer != nil {
		c.options.Observer.Settings(settings)
	}
	c.notify(choice.SettingsChanged{Settings: settings})
}

// applySettings updates the state that the core derives from the classes of the settings: their counters and
// strictestMessageObjective.
func (c *Core) applySettings() {
	c.strictestMessageObjective = 0
	for i, class := range c.options.Settings.Classes {
		if i == len(c.answerCounts) {
			c.answerCounts = append(c.answerCounts, c.options.Figures.Class(class.Name))
		}
		objective := class.MessageObjective
		if class.Removed || objective <= 0 {
			continue
		}
		if c.strictestMessageObjective == 0 || objective < c.strictestMessageObjective {
			c.strictestMessageObjective = objective
		}
	}
}

// Classes returns the classes of the settings, in the order of their indices.
func (c *Core) Classes() []choice.Class { return c.options.Settings.Classes }

// ApplyZonePlan makes the balancer place new requests according to a zone plan.
func (c *Core) ApplyZonePlan(plan choice.ZonePlan) { c.notify(plan) }

// Observations returns what the balancer has observed of the zones since the last call.
func (c *Core) Observations() choice.Observations {
	return c.balancer.Observations(c.balancerTime(c.options.Clock.Now()))
}

// ReceivePeerMessage passes a message from another node to the balancer.
func (c *Core) ReceivePeerMessage(from int, message []byte) {
	c.notify(choice.PeerMessage{From: from, Data: message})
}

// DroppedPeerMessages returns how many messages from other nodes the balancer has dropped.
func (c *Core) DroppedPeerMessages() int { return c.balancer.DroppedPeerMessages() }

// AttemptsNeverSent returns how many attempts sent nothing because, when the upstream connection was established, the
// client had left, the time to send the attempt was over or the server was draining.
func (c *Core) AttemptsNeverSent() int { return c.neverSent }

// InFlight returns the number of requests in flight and open connections.
func (c *Core) InFlight() int { return len(c.requests) }

// String summarizes the core for logs.
func (c *Core) String() string {
	return fmt.Sprintf("%d servers, %d requests", len(c.servers), len(c.requests))
}

// balancerTime converts a time to the balancer's clock, which starts at the Unix time of the core's start and is
// monotonic from then on.
func (c *Core) balancerTime(t time.Time) time.Duration { return c.epoch + t.Sub(c.startedAt) }

// runNext calls fn after the current callback of the event loop has returned.
func (c *Core) runNext(fn func()) { c.options.Clock.At(c.options.Clock.Now(), fn) }

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
