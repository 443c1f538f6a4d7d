package faults

import (
	"maps"
	"slices"

	"spurwinch/internal/failover"
)

// planState is the state of the plans, derived from the history. Plans are known by their numbers.
type planState struct {
	digests   map[uint64]string
	decoded   map[uint64]*failover.Plan
	firstSeen map[uint64]float64
	spread    []float64      // seconds from the first node that adopted a plan to the others
	users     map[uint64]int // number of nodes that use a plan
}

// lossTransition is a change of a zone from lost to not lost, or from not lost to lost.
type lossTransition struct {
	at   float64
	lost bool
}

// grants is the load that a node may have in each zone, according to a plan and the node's capacity leases.
type grants struct {
	plan uint64
	load map[string]float64
}

// Tolerances for comparisons of loads.
const (
	loadTolerance     = 0.1
	increaseTolerance = 1e-6
)

// checkNode updates the state of a node, and checks that the node doesn't return to an older plan.
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
			c.violated(ruleNoStepBack, event.At, "%s uses plan %d after plan %d",
				event.Node, event.Number, node.newest)
		}
	default:
	}
	c.updateGrants(event.Node, event.At)
}

// start records the start of a node's process. The process uses the plan in its files if they are intact.
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

// checkPlan checks that a node adopts a plan with the same content as other nodes, and no older plan than before.
func (c *checker) checkPlan(event Event) {
	digest, known := c.plans.digests[event.Number]
	if known && digest != event.Digest {
		c.violated(ruleSameContent, event.At, "%s uses plan %d with digest %s, others use digest %s",
			event.Node, event.Number, event.Digest, digest)
	}
	c.plans.digests[event.Number] = event.Digest
	node := c.node(event.Node)
	if event.Number < node.newest {
		c.violated(ruleNoStepBack, event.At, "%s returned from plan %d to %d", event.Node, node.newest, event.Number)
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
	c.checkLostNodes(event.At, plan)
}

// checkZoneState updates the state of a zone from a plan, and checks that the zone doesn't recover too often.
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
	wasLost := len(zone.lossTransitions) > 0 && zone.lossTransitions[len(zone.lossTransitions)-1].lost
	if lost == wasLost {
		return
	}
	if len(zone.lossTransitions) >= 2 { // the zone was lost, has recovered and is lost again
		c.verdict.Figures.Reversals++
	}
	zone.lossTransitions = append(zone.lossTransitions, lossTransition{when, lost})
	if count := zone.recoveries(when - c.limits.RecoveryInterval); count > 1 {
		c.violated(ruleReversals, when, "zone %s recovered %d times within %.0f s",
			planned.Name, count, c.limits.RecoveryInterval)
	}
}

// recoveries returns how often a zone has recovered since a time.
func (z *zoneState) recoveries(after float64) int {
	count := 0
	for _, transition := range z.lossTransitions {
		if !transition.lost && transition.at > after {
			count++
		}
	}
	return count
}

// checkLostNodes checks that a plan lists only nodes as lost that a fault may have affected, since a single node or a
// minority can't change a plan.
func (c *checker) checkLostNodes(at float64, plan *failover.Plan) {
	for _, index := range plan.LostNodes {
		if index < 0 || index >= c.list.Len() {
			continue
		}
		if node := c.list.Node(index); !c.mayBeAffected(node) {
			c.violated(ruleView, at, "the plan lists %s as lost, but no fault affected the node", node.Name)
		}
	}
}

// updateGrants updates the load that a node may have in each zone, and checks that the grants of all nodes together
// don't exceed the highest capacity that a plan in use states for the zone.
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

// currentGrants returns a node's grants according to its plan and its capacity leases. They are empty if the node is
// down or uses no plan.
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
	load := failover.NodeShares(mode, plan, index, c.list.Node(index).Zone)
	for zone, leased := range node.leases {
		load[zone] += leased
	}
	return grants{plan: node.inUse, load: load}
}

// release removes a node's earlier grants from the sums.
func (c *checker) release(removed grants) {
	if removed.plan > 0 {
		c.plans.users[removed.plan]--
		if c.plans.users[removed.plan] == 0 {
			delete(c.plans.users, removed.plan)
		}
	}
	for zone, load := range removed.load {
		c.zone(zone).granted -= load
	}
}

// reserve adds a node's new grants to the sums.
func (c *checker) reserve(added grants) {
	if added.load == nil {
		return
	}
	c.plans.users[added.plan]++
	for zone, load := range added.load {
		c.zone(zone).granted += load
	}
}

// checkCapacity checks that the grants of all nodes together in a zone don't exceed the zone's stated capacity.
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
			"with plan %d at %s all nodes together have grants of %.2f in zone %s, want at most stated capacity %.2f",
			number, node, granted, zone, stated)
	}
}
