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

// node is one node: its core with the module, its agent and its disk.
type node struct {
	w        *World
	i        int
	name     string
	zone     string
	core     *edge.Core
	agent    *agent.Agent
	disk     []consensus.Record
	born     int // processes so far
	up       bool
	still    time.Duration // stopped until then
	deaf     bool          // its link is bad: nothing comes or goes to other nodes
	hard     bool          // it hears nobody, and is heard
	badLine  bool          // its lines to hosts fail
	diskBad  bool
	diskSlow time.Duration
	busy     bool // a record is on its way to the disk
	list     []edge.ServerEntry
	old      bool // of a version that doesn't know all keys
	reached  bool // by operators, though nothing comes or goes to other nodes
	came     float64
	away     float64
}

// NewVoter makes a voter.
func NewVoter(self, n int, kept []consensus.Record, rng *rand.Rand) (agent.Voter, error) {
	return replica.New(self, n, kept, rng)
}

// rules are the plans' rules of the simulated fleet.
func rules() failover.Rules {
	r := failover.Rules{UtilizationLimit: 0.85, GrantLifetime: 30 * time.Second, RecoveryDelay: 4 * time.Second, RecoveryRamp: 0.2, RegionDistance: func(a, b string) float64 { return 1 }}
	for _, c := range faults.Classes {
		r.Classes = append(r.Classes, failover.Class{Name: c.Name, Priority: c.Worth, StayInRegion: c.Stay})
	}
	return r
}

const labKey = "a key of the laboratory"

// on runs fn at a node, unless its process is another one by then; while it is stopped it waits.
func (n *node) on(at time.Duration, fn func()) *item {
	born := n.born
	var run func()
	run = func() {
		if !n.up || n.born != born {
			return
		}
		if n.still > n.w.now {
			n.w.at(n.still, run)
			return
		}
		fn()
		n.settle()
	}
	return n.w.at(at, run)
}

// settle carries out what a callback has led to.
func (n *node) settle() {
	if !n.up {
		return
	}
	if n.core != nil {
		n.core.Flush()
	}
	if n.agent != nil {
		n.pump()
	}
}

// Now and At make a node the core's clock.
func (n *node) Now() time.Time { return begin.Add(n.w.now) }

func (n *node) At(at time.Time, fn func()) (stop func()) {
	off := false
	n.on(max(at.Sub(begin), n.w.now), func() {
		if !off {
			fn()
		}
	})
	return func() { off = true }
}

// start starts a process of the node, with its files as they are to be.
func (n *node) start(files string) error {
	w := n.w
	n.born++
	n.up = true
	if files == "lost" {
		n.disk = nil
	}
	w.note(faults.Event{Kind: faults.KindStart, Node: n.name, Zone: n.zone, Detail: files})
	if w.o.Light {
		n.came, n.away = 0, 0
		return n.join()
	}
	if err := n.startCore(); err != nil {
		return err
	}
	n.agent = nil
	if w.o.Policy == Common {
		return n.join()
	}
	if w.o.Policy == Static {
		n.core.ApplyZonePlan(n.staticPlan())
	}
	n.core.Flush()
	return nil
}

// objects notes what the core's guard kept it from.
func (n *node) objects(v invariant.Violation) {
	n.w.note(faults.Event{Kind: faults.KindGuard, ID: v.Request, Node: n.name, Zone: n.zone, To: v.Server, Detail: v.Rule.String()})
}

// startCore makes the node's core, which knows all hosts.
func (n *node) startCore() error {
	w := n.w
	told, err := Settings(w.o.Nodes, n.i, n.zone)
	if err != nil {
		return err
	}
	n.core, err = edge.New(edge.Options{Clock: n, Settings: told.Settings, Seed: w.o.Seed*4099 + uint64(n.i)*7 + uint64(n.born), HealthChecker: n,
		WatchList: func() {}, Monitor: &invariant.Monitor{OnViolation: n.objects}})
	if err != nil {
		return err
	}
	n.list = nil
	for _, h := range w.hosts {
		n.list = append(n.list, edge.ServerEntry{Server: choice.Server{ID: h.id, Zone: h.zone, Kind: "k", Size: 1}})
	}
	n.core.Start(n.list)
	return nil
}

// join begins the node's part in the fleet.
func (n *node) join() (err error) {
	w := n.w
	o := agent.Options{List: w.list, Self: n.i, Key: []byte(labKey), Rules: rules(), Classes: w.classes,
		RetryAfter: time.Second, Records: n.disk, Seed: w.o.Seed*31 + uint64(n.i)*1009 + uint64(n.born), Log: n.log, Voter: NewVoter}
	if w.o.Light {
		o.Policy = n.policyOptions()
	}
	if n.agent, err = agent.New(o, n.clock()); err != nil {
		return err
	}
	if w.o.Light {
		n.admits()
	}
	n.tick()
	n.settle()
	return nil
}

// clock is the node's own monotonic time.
func (n *node) clock() time.Duration { return n.w.now + time.Duration(n.i)*time.Hour }

// tick has the agent hear the time again and again.
func (n *node) tick() {
	n.on(n.w.now+consensus.TickInterval, func() {
		n.agent.Tick(n.clock())
		if n.agent.WantsObservations(n.clock()) {
			n.agent.Observe(n.moduleNews(), n.clock())
		}
		n.tick()
	})
}

// moduleNews is what the node's module saw since the last call.
func (n *node) moduleNews() choice.Observations {
	if n.core == nil {
		return n.lightNews()
	}
	return n.core.Observations()
}

// staticPlan is the order of zones that a node goes by alone: its own, those of its region, the others. Classes that must stay in their region
// don't go to the others.
func (n *node) staticPlan() choice.ZonePlan {
	var staying []int
	for class, rule := range faults.Classes {
		if rule.Stay {
			staying = append(staying, class)
		}
	}
	var own, near, far []choice.Grant
	for _, zone := range n.w.zones {
		grant := choice.Grant{Zone: zone, Load: math.Inf(1)}
		switch {
		case zone == n.zone:
			own = append(own, grant)
		case n.w.list.Region(zone) == n.w.list.Region(n.zone):
			near = append(near, grant)
		default:
			grant.ExcludedClasses = staying
			far = append(far, grant)
		}
	}
	return choice.ZonePlan{Grants: slices.Concat(own, near, far)}
}

// pump passes on what the agent has for the core, the disk and other nodes, until it has nothing more.
func (n *node) pump() {
	const rounds = 8
	for range rounds {
		if p, changed := n.agent.ZonePlan(); changed && n.core != nil {
			n.core.ApplyZonePlan(p)
			n.core.Flush()
		}
		n.save()
		out := n.agent.TakeMessages()
		if len(out) == 0 {
			return
		}
		for _, m := range out {
			n.send(m)
		}
	}
}

// save has the disk take a while, and lets a crash come before or after.
func (n *node) save() {
	rec, whole, ok := n.agent.NextRecord()
	if !ok || n.busy {
		return
	}
	n.w.saves++
	n.busy = true
	n.later(n.diskSlow+time.Duration(1+n.w.rng.IntN(8))*time.Millisecond, func() {
		n.busy = false
		if n.diskBad {
			n.later(200*time.Millisecond, n.save)
			return
		}
		if whole {
			n.disk = nil
		}
		n.disk = append(n.disk, rec)
		n.on(n.w.now, func() { n.agent.Persisted(n.clock()) })
	})
}

// later runs fn after a time, unless the node's process is another one by then. Other than on, it doesn't wait for a stopped node: disks and
// links work on.
func (n *node) later(after time.Duration, fn func()) {
	born := n.born
	n.w.at(n.w.now+after, func() {
		if n.born == born && n.up {
			fn()
		}
	})
}

// send has a message arrive at another node, once, twice or never.
func (n *node) send(m agent.Message) {
	w, to := n.w, n.w.nodes[m.To]
	w.sent++
	w.bytes += uint64(len(m.Data))
	if n.deaf || to.deaf || to.hard || w.cut[[2]string{n.zone, to.zone}] || w.rng.Float64() < w.loss || !to.up {
		return
	}
	deliver := func() { to.on(w.now+n.latency(to, m), func() { to.agent.Receive(m.Data, to.clock()) }) }
	deliver()
	if w.rng.Float64() < w.repeat {
		deliver()
	}
}

// latency draws how long a message is on its way.
func (n *node) latency(to *node, m agent.Message) time.Duration {
	w := n.w
	d := 200*time.Microsecond + time.Duration(w.rng.Float64()*float64(time.Millisecond))
	if n.zone != to.zone {
		d += 4 * time.Millisecond
	}
	if w.o.Messages > 0 && w.rng.Float64() < 0.1 {
		d += time.Duration(w.rng.IntN(w.o.Messages)) * time.Millisecond
	}
	if !agent.IsConsensusMessage(m.Data) { // else the log stands still, and nothing of what is late matters
		d += w.late/2 + time.Duration(w.rng.Float64()*float64(w.late)) // what is late overtakes
	}
	return d
}

// crash ends the node's process. Its clients come again.
func (n *node) crash() {
	if !n.up {
		return
	}
	n.w.note(faults.Event{Kind: faults.KindCrash, Node: n.name, Zone: n.zone})
	n.up, n.busy, n.still = false, false, 0
	for _, h := range n.w.hosts {
		for _, t := range h.inOrder() {
			if t.c.node == n {
				delete(h.held, t)
				t.c.again()
			}
		}
	}
}
