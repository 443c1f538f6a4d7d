package faults

import (
	"maps"
	"slices"

	"spurwinch/internal/failover"
)

// planState is what the history shows of plans.
type planState struct {
	digests   map[uint64]string
	decoded   map[uint64]*failover.Plan
	firstSeen map[uint64]float64
	spread    []float64      // seconds from the first node that adopted a plan to the others
	users     map[uint64]int // nodes that go by a plan
}

// turn is a change of a zone from lost to not lost, or back.
type turn struct {
	at   float64
	lost bool
}

// grants is what a node may have in each zone, by a plan and its leases.
type grants struct {
	plan uint64
	load map[string]float64
}

// Tolerances in comparing loads.
const (
	loadTolerance     = 0.1
	increaseTolerance = 1e-6
)

// checkNode follows the state of a node, and checks that it doesn't go back to an older plan.
func (c *checker) checkNode(event Event) {
	node := c.node(event.Node)
	switch event.Kind {
	case KindStart:
		node.start(event)
	case KindCrash:
		node.live = false
		clear(node.leases)
	case KindLease:
		node.leases[event.To] = event.Value
	case KindMode:
		node.mode = event.Mode
		if event.Number < node.newest {
			c.violated(ruleNoStepBack, event.At, "%s goes by %d and had %d before",
				event.Node, event.Number, node.newest)
		}
	default:
	}
	c.updateGrants(event.Node, event.At)
}

// start notes the start of a node's process, which goes by the plan in its files.
func (n *nodeState) start(event Event) {
	n.live = true
	n.startedAt = event.At
	n.mode = failover.Standalone.String()
	n.inUse = 0
	if event.Detail != FilesIntact {
		n.newest = 0
		return
	}
	n.inUse = n.newest
	if n.inUse > 0 {
		n.mode = failover.OwnZoneOnly.String()
	}
}

// checkPlan checks a plan that a node adopts.
func (c *checker) checkPlan(event Event) {
	digest, known := c.plans.digests[event.Number]
	if known && digest != event.Digest {
		c.violated(ruleSameContent, event.At, "%s acts on number %d with digest %s, others on %s",
			event.Node, event.Number, event.Digest, digest)
	}
	c.plans.digests[event.Number] = event.Digest
	node := c.node(event.Node)
	if event.Number < node.newest {
		c.violated(ruleNoStepBack, event.At, "%s went back from %d to %d", event.Node, node.newest, event.Number)
	}
	node.newest = event.Number
	node.inUse = event.Number
	if first, ok := c.plans.firstSeen[event.Number]; ok {
		c.plans.spread = append(c.plans.spread, event.At-first)
	} else {
		c.plans.firstSeen[event.Number] = event.At
		c.checkNewPlan(event)
	}
	c.updateGrants(event.Node, event.At)
}

// checkNewPlan checks the content of a plan that no node has adopted before.
func (c *checker) checkNewPlan(event Event) {
	c.count("plans")
	plan, err := failover.DecodePlan(event.Plan)
	if err != nil {
		c.violated(ruleLog, event.At, "plan %d can't be read: %v", event.Number, err)
		return
	}
	c.plans.decoded[event.Number] = plan
	for _, zone := range plan.Zones {
		c.checkZoneState(event.At, zone)
	}
	c.checkView(event.At, plan)
}

// checkZoneState follows the state of a zone in the plans, and checks that it doesn't flap.
func (c *checker) checkZoneState(when float64, planned failover.Zone) {
	zone := c.zone(planned.Name)
	if !zone.hasState || zone.state != planned.State {
		zone.hasState = true
		zone.state = planned.State
		zone.isHealthy = planned.State == failover.Healthy
		zone.healthySince = when
		c.count("zone " + planned.State.String())
	}
	lost := planned.State == failover.Lost
	wasLost := len(zone.turns) > 0 && zone.turns[len(zone.turns)-1].lost
	if lost == wasLost {
		return
	}
	if len(zone.turns) >= 2 { // lost, recovered, and now lost again
		c.verdict.Figures.Reversals++
	}
	zone.turns = append(zone.turns, turn{when, lost})
	if count := zone.recoveries(when - c.limits.RecoveryInterval); count > 1 {
		c.violated(ruleReversals, when, "zone %s came back %d times within %.0f s",
			planned.Name, count, c.limits.RecoveryInterval)
	}
}

// recoveries is the number of times that a zone has recovered after a time.
func (z *zoneState) recoveries(after float64) int {
	count := 0
	for _, turn := range z.turns {
		if !turn.lost && turn.at > after {
			count++
		}
	}
	return count
}

// checkView checks that no plan leaves out a node that no fault has touched: a single node, or a minority, changes no
// plan.
func (c *checker) checkView(at float64, plan *failover.Plan) {
	for _, index := range plan.LostNodes {
		if index < 0 || index >= c.list.Len() {
			continue
		}
		if node := c.list.Node(index); !c.touched(node) {
			c.violated(ruleView, at, "%s is out of the view, and nothing happened to it", node.Name)
		}
	}
}

// updateGrants follows what a node may have in each zone, and checks that all nodes together may have no more in a zone
// than the capacity that a plan in use states for it.
func (c *checker) updateGrants(name string, at float64) {
	node := c.node(name)
	before := node.grants
	c.release(before)
	node.grants = c.currentGrants(name, node)
	c.reserve(node.grants)
	for _, zone := range slices.Sorted(maps.Keys(node.grants.load)) {
		if node.grants.load[zone] > before.load[zone]+increaseTolerance {
			c.checkCapacity(name, node.grants.plan, zone, at)
		}
	}
}

// currentGrants is what a node may have by its plan and its leases; nothing, where it goes by no plan.
func (c *checker) currentGrants(name string, node *nodeState) grants {
	plan := c.plans.decoded[node.inUse]
	index := c.list.Index(name)
	if !node.live || plan == nil || node.mode == failover.Standalone.String() || index < 0 {
		return grants{}
	}
	mode := failover.Planned
	if node.mode == failover.OwnZoneOnly.String() {
		mode = failover.OwnZoneOnly
	}
	load := failover.GrantShare(mode, plan, index, c.list.Node(index).Zone)
	for zone, leased := range node.leases {
		load[zone] += leased
	}
	return grants{plan: node.inUse, load: load}
}

// release ends what a node had.
func (c *checker) release(ended grants) {
	if ended.plan > 0 {
		c.plans.users[ended.plan]--
		if c.plans.users[ended.plan] == 0 {
			delete(c.plans.users, ended.plan)
		}
	}
	for zone, load := range ended.load {
		c.zone(zone).granted -= load
	}
}

// reserve begins what a node may have.
func (c *checker) reserve(begun grants) {
	if begun.load == nil {
		return
	}
	c.plans.users[begun.plan]++
	for zone, load := range begun.load {
		c.zone(zone).granted += load
	}
}

// checkCapacity checks what all nodes together may have in a zone.
func (c *checker) checkCapacity(node string, number uint64, zone string, when float64) {
	stated := 0.0
	for used := range c.plans.users {
		if plan := c.plans.decoded[used]; plan != nil {
			stated = max(stated, plan.StatedCapacity(zone))
		}
	}
	granted := c.zone(zone).granted
	if granted > stated*(1+c.limits.CapacitySlack)+loadTolerance {
		c.violated(ruleCapacity, when,
			"with plan %d at %s all nodes together may have %.2f in zone %s, its stated capacity is %.2f",
			number, node, granted, zone, stated)
	}
}
