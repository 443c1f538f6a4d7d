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
	epoch         time.Duration  // the balancer's clock at startedAt: Unix time
	pendingEvents []choice.Event // for the balancer, not flushed yet
	flushing      bool

	servers    map[choice.ServerID]*serverState
	startTimes startTimeClock

	requests     map[choice.RequestID]*Request
	lastSequence uint64    // of the newest request; the first one is 1
	answerCounts []*Counts // by class
	neverSent    int       // see AttemptsNeverSent
	// strictestMessageObjective is the least latency objective of a message, over all classes; 0: none has one.
	strictestMessageObjective time.Duration

	lease *Lease // nil: requests are taken by the settings alone
	drain drainState
}

// New makes the core of one cluster. Its balancer acts first on the first Flush.
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

// Start hands the balancer the endpoint list that this node last cached; the balancer's first actions follow.
func (c *Core) Start(cached []ServerEntry) {
	c.UpdateServers(choice.ListCached, cached)
	c.Flush()
}

// UpdateSettings replaces the settings by ones that the caller has checked. Classes and tenants keep their indices.
func (c *Core) UpdateSettings(settings choice.Settings) {
	c.options.Settings = settings
	c.applySettings()
	if c.options.Observer != nil {
		c.options.Observer.Settings(settings)
	}
	c.notify(choice.SettingsChanged{Settings: settings})
}

// applySettings derives from the settings what the core keeps by class.
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

// Classes are the settings' classes, by index.
func (c *Core) Classes() []choice.Class { return c.options.Settings.Classes }

// ApplyZonePlan has the balancer place requests by a plan of zones from now on.
func (c *Core) ApplyZonePlan(plan choice.ZonePlan) { c.notify(plan) }

// Observations is what the balancer saw of zones since the last call.
func (c *Core) Observations() choice.Observations {
	return c.balancer.Observations(c.balancerTime(c.options.Clock.Now()))
}

// ReceivePeerMessage takes a message of another node.
func (c *Core) ReceivePeerMessage(from int, message []byte) {
	c.notify(choice.PeerMessage{From: from, Data: message})
}

// DroppedPeerMessages counts the messages of other nodes that the balancer dropped.
func (c *Core) DroppedPeerMessages() int { return c.balancer.DroppedPeerMessages() }

// AttemptsNeverSent counts the attempts of which nothing was written, since their client was gone, their time was over
// or their server was draining when their connection came up.
func (c *Core) AttemptsNeverSent() int { return c.neverSent }

// InFlight counts the requests in flight and the open connections.
func (c *Core) InFlight() int { return len(c.requests) }

// String describes the core in a line of a log.
func (c *Core) String() string {
	return fmt.Sprintf("%d servers, %d requests", len(c.servers), len(c.requests))
}

// balancerTime converts a time to the balancer's clock: Unix time at the core's start, and monotonic from then on.
func (c *Core) balancerTime(t time.Time) time.Duration { return c.epoch + t.Sub(c.startedAt) }

// runNext calls fn once the current callback of the loop has returned.
func (c *Core) runNext(fn func()) { c.options.Clock.At(c.options.Clock.Now(), fn) }

// earlier is the first of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
