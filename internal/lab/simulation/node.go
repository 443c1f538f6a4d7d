package simulation

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/consensus"
	"spurwinch/internal/consensus/replica"
	"spurwinch/internal/edge"
	"spurwinch/internal/failover"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/invariant"
	"spurwinch/internal/lab/faults"
)

// fleetKey authenticates the messages between nodes.
const fleetKey = "a key of the laboratory"

// Parameters of the simulated fleet's plans.
const (
	utilizationLimit = 0.85
	grantLifetime    = 30 * time.Second
	recoveryDelay    = 4 * time.Second
	recoveryRamp     = 0.2
	retryAfter       = time.Second
)

// clockSkew is the difference between the monotonic clocks of nodes with consecutive indexes, so that no two nodes have
// the same clock.
const clockSkew = time.Hour

// node is a simulated node with its core, its fleet agent and its disk. The core contains the decision module.
type node struct {
	world       *World
	index       int
	name        string
	zone        string
	up          bool
	incarnation int // number of processes started so far
	pausedUntil time.Duration
	core        *edge.Core   // nil in a run without servers
	agent       *agent.Agent // nil if the node decides without a common plan

	disk      []consensus.Record
	diskFull  bool
	diskDelay time.Duration // added to the usual time of a write
	writing   bool          // a record is being written

	isolated             bool // all messages to and from other nodes are lost
	receivesNothing      bool // all messages from other nodes are lost
	serversUnreachable   bool
	reachableByOperators bool // even while isolated

	olderVersion bool    // the node doesn't know all keys of a policy document
	requests     float64 // counted only in a run without servers
	rejections   float64 // counted only in a run without servers
}

// planRules returns the rules of the simulated fleet's plans.
func planRules() failover.Rules {
	rules := failover.Rules{
		UtilizationLimit: utilizationLimit,
		GrantLifetime:    grantLifetime,
		RecoveryDelay:    recoveryDelay,
		RecoveryRamp:     recoveryRamp,
		RegionDistance:   func(_, _ string) float64 { return 1 },
	}
	for _, class := range faults.Classes {
		rules.Classes = append(rules.Classes, failover.Class{
			Name: class.Name, Priority: class.Priority, StayInRegion: class.StayInRegion,
		})
	}
	return rules
}

// isVoter reports whether the node is a voter of the fleet's log.
func (n *node) isVoter() bool { return n.world.list.Node(n.index).Voter }

// schedule runs a function at the node at a given time, unless the current process has ended by then. While the node is
// paused, the function waits.
func (n *node) schedule(when time.Duration, run func()) {
	incarnation := n.incarnation
	var runOrWait func()
	runOrWait = func() {
		if !n.up || n.incarnation != incarnation {
			return
		}
		if n.pausedUntil > n.world.now {
			n.world.schedule(n.pausedUntil, runOrWait)
			return
		}
		run()
		n.flush()
	}
	n.world.schedule(when, runOrWait)
}

// scheduleWhileUp runs a function after a delay, unless the node's current process has ended by then. Unlike schedule,
// it doesn't wait while the node is paused, because disks and links keep working.
func (n *node) scheduleWhileUp(after time.Duration, run func()) {
	incarnation := n.incarnation
	n.world.schedule(n.world.now+after, func() {
		if n.incarnation == incarnation && n.up {
			run()
		}
	})
}

// flush carries out the pending actions of the core and of the agent after a callback.
func (n *node) flush() {
	if !n.up {
		return
	}
	if n.core != nil {
		n.core.Flush()
	}
	if n.agent != nil {
		n.handleAgentOutput()
	}
}

// Now implements edge.Clock.
func (n *node) Now() time.Time { return epoch.Add(n.world.now) }

// At implements edge.Clock. It runs a function at a given time, unless stop is called earlier.
func (n *node) At(at time.Time, run func()) (stop func()) {
	stopped := false
	n.schedule(max(at.Sub(epoch), n.world.now), func() {
		if !stopped {
			run()
		}
	})
	return func() { stopped = true }
}

// clock returns the time on the node's own monotonic clock.
func (n *node) clock() time.Duration { return n.world.now + time.Duration(n.index)*clockSkew }

// start starts a process of the node. files is the state of the files on the node's disk, such as faults.FilesIntact.
func (n *node) start(files string) error {
	n.incarnation++
	n.up = true
	if files == faults.FilesLost {
		n.disk = nil
	}
	n.world.record(faults.Event{Kind: faults.KindStart, Node: n.name, Zone: n.zone, Detail: files})
	if n.world.options.FleetOnly {
		n.requests = 0
		n.rejections = 0
		return n.startAgent()
	}
	if err := n.startCore(); err != nil {
		return err
	}
	n.agent = nil
	switch n.world.options.Policy {
	case CommonPlan:
		return n.startAgent()
	case StaticOrder:
		n.core.ApplyZonePlan(n.staticPlan())
	case EachNode:
		// without a plan, the node chooses among all zones
	}
	n.core.Flush()
	return nil
}

// startCore creates the node's core and starts it with an endpoint list of all servers.
func (n *node) startCore() error {
	world := n.world
	decoded, err := nodeSettings(world.options.Nodes, n.index, n.zone)
	if err != nil {
		return err
	}
	n.core, err = edge.New(edge.Options{
		Clock:         n,
		Settings:      decoded.Settings,
		Seed:          world.options.Seed*4099 + uint64(n.index)*7 + uint64(n.incarnation),
		HealthChecker: n,
		WatchList:     func() {},
		Monitor:       &invariant.Monitor{OnViolation: n.recordViolation},
	})
	if err != nil {
		return err
	}
	var endpoints []edge.ServerEntry
	for _, s := range world.servers {
		endpoints = append(endpoints, edge.ServerEntry{
			Server: choice.Server{ID: s.id, Zone: s.zone, Kind: "k", Size: 1},
		})
	}
	n.core.Start(endpoints)
	return nil
}

// startAgent starts the node's fleet agent from the records on its disk.
func (n *node) startAgent() error {
	world := n.world
	options := agent.Options{
		List:       world.list,
		Self:       n.index,
		Key:        []byte(fleetKey),
		Rules:      planRules(),
		Classes:    world.classes,
		RetryAfter: retryAfter,
		Records:    n.disk,
		Seed:       world.options.Seed*31 + uint64(n.index)*1009 + uint64(n.incarnation),
		Log:        n.log,
		Voter:      newVoter,
	}
	if world.options.FleetOnly {
		options.Policy = n.policyOptions()
	}
	started, err := agent.New(options, n.clock())
	n.agent = started
	if err != nil {
		return err
	}
	if world.options.FleetOnly {
		n.scheduleRequest()
	}
	n.scheduleTick()
	n.flush()
	return nil
}

// recordViolation records a step that the core's invariant monitor prevented.
func (n *node) recordViolation(violation invariant.Violation) {
	n.world.record(faults.Event{
		Kind: faults.KindGuard, ID: violation.Request, Node: n.name, Zone: n.zone, To: violation.Server,
		Detail: violation.Rule.String(),
	})
}

// scheduleTick calls the agent's Tick at each interval and passes it the observations when it asks for them.
func (n *node) scheduleTick() {
	n.schedule(n.world.now+consensus.TickInterval, func() {
		n.agent.Tick(n.clock())
		if n.agent.WantsObservations(n.clock()) {
			n.agent.Observe(n.observations(), n.clock())
		}
		n.scheduleTick()
	})
}

// observations returns what the node's decision module has observed since the last call.
func (n *node) observations() choice.Observations {
	if n.core == nil {
		return n.healthyObservations()
	}
	return n.core.Observations()
}

// staticPlan returns the fixed zone order of a node that decides for itself: its own zone, the other zones of its
// region, then all other zones. Classes that must stay in their region are excluded from the zones of other regions.
func (n *node) staticPlan() choice.ZonePlan {
	var staying []int
	for class, settings := range faults.Classes {
		if settings.StayInRegion {
			staying = append(staying, class)
		}
	}
	var own, sameRegion, others []choice.Grant
	for _, zone := range n.world.zones {
		grant := choice.Grant{Zone: zone, Load: math.Inf(1)}
		switch {
		case zone == n.zone:
			own = append(own, grant)
		case n.world.list.Region(zone) == n.world.list.Region(n.zone):
			sameRegion = append(sameRegion, grant)
		default:
			grant.ExcludedClasses = staying
			others = append(others, grant)
		}
	}
	return choice.ZonePlan{Grants: slices.Concat(own, sameRegion, others)}
}

// crash ends the node's process. The clients that were connected through it connect again.
func (n *node) crash() {
	if !n.up {
		return
	}
	n.world.record(faults.Event{Kind: faults.KindCrash, Node: n.name, Zone: n.zone})
	n.up = false
	n.writing = false
	n.pausedUntil = 0
	for _, s := range n.world.servers {
		for _, connection := range s.sortedConnections() {
			if connection.client.node == n {
				delete(s.connections, connection)
				connection.client.reconnect()
			}
		}
	}
}

// restart crashes the node and starts it again after a delay, with its files in the given state.
func (n *node) restart(files string, after time.Duration) {
	n.crash()
	n.world.schedule(n.world.now+after, func() {
		if n.up {
			return
		}
		if err := n.start(files); err != nil {
			n.world.recordStartFailure(n, err)
		}
	})
}

// pause suspends the node's process for a given time.
func (n *node) pause(length time.Duration) { n.pausedUntil = n.world.now + length }

// newVoter creates the consensus replica of a voter.
func newVoter(self, replicas int, records []consensus.Record, rng *rand.Rand) (agent.Voter, error) {
	voter, err := replica.New(self, replicas, records, rng)
	if err != nil {
		return nil, err
	}
	return voter, nil
}
