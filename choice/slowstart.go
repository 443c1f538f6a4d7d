package choice

import (
	"math"
	"time"
)

// Slow start: what a server that has just started is sent. Its capacity grows over Rules.WarmUp, and what all nodes
// send it in Rules.OverloadTime is bounded by Rules.OverloadMultiple of that.

const (
	// slowStartSafety is the fraction of the budget that is used: what all nodes may save up is then all of it.
	slowStartSafety = 0.5
	// commonBudget is the fraction of all budgets for servers in slow start that may go to any of these.
	commonBudget = 0.15
	// ownerBudget is the fraction of its budget that a server's owner spends steadily.
	ownerBudget = 0.7
)

// credit is a budget that grows with time, in mean connections.
type credit struct {
	amount float64
	at     time.Duration // up to when it has grown
}

// accrue adds what came since the last time. What is not used within twice the window lapses: saved up at many nodes,
// it would be spent by all at once.
func (c *credit) accrue(now time.Duration, rate float64, window time.Duration) {
	c.amount += rate * (now - c.at).Seconds()
	if c.amount > 1+2*rate*window.Seconds() {
		c.amount = math.Mod(c.amount, 1)
	}
	c.at = now
}

// slowStartBudget is what this node may send to servers in slow start, beside the credit that each of them has.
type slowStartBudget struct {
	rate   float64 // what all of them bear of this node, in mean connections a second
	common credit  // may go to any of them
}

// capacityFraction is the part of its capacity that a server is sure to have; 1 once it has warmed up.
func (b *Balancer) capacityFraction(server *serverEntry) float64 {
	start := server.Started
	if server.SlowStartSince > 0 {
		start = server.SlowStartSince
	}
	age := b.now - start
	if server.Started <= 0 || age >= b.settings.Rules.WarmUp {
		return 1
	}
	first := b.settings.Rules.SlowStartFraction
	return first + (1-first)*max(0, age.Seconds()/b.settings.Rules.WarmUp.Seconds())
}

// mayStartSlowly reports whether this node has budget for a server: its quota of what all nodes may send one in slow
// start, as credit for one mean connection now and then, at a seeded phase.
func (b *Balancer) mayStartSlowly(request *requestEntry, server *serverEntry) bool {
	if b.capacityFraction(server) == 1 {
		return true
	}
	window := b.settings.Rules.OverloadTime
	server.slowStart.accrue(b.now, slowStartSafety*b.slowStartQuota(server), window)
	// A group wants few servers, and credit for one of them lapses before its next request comes: some more is given
	// for all servers in slow start together.
	b.slowStart.common.accrue(b.now, commonBudget*b.slowStart.rate, window)
	return server.slowStart.amount >= 1 || request.affinity != 0 && b.slowStart.common.amount >= 1
}

// spendSlowStart takes a connection that is started off the budget.
func (b *Balancer) spendSlowStart(server *serverEntry, load float64) {
	if b.reservations.enabled || !(b.capacityFraction(server) < 1) {
		return
	}
	if server.slowStart.amount >= 1 {
		server.slowStart.amount -= load / b.units.mean
	} else {
		b.slowStart.common.amount -= load / b.units.mean
	}
}

// ownerMayGrant is mayStartSlowly for a server's owner, which spends the budget for all nodes.
func (b *Balancer) ownerMayGrant(server *serverEntry) bool {
	if b.capacityFraction(server) == 1 {
		return true
	}
	rate := ownerBudget * float64(b.fleetNodes) * b.slowStartBudgetOf(server)
	server.slowStart.amount += rate * (b.now - server.slowStart.at).Seconds()
	server.slowStart.at = b.now
	// What comes in one OverloadTime stays under the budget, but for the first connection.
	most := max(1, (1/ownerBudget-1)*rate*b.settings.Rules.OverloadTime.Seconds())
	server.slowStart.amount = min(server.slowStart.amount, most)
	return server.slowStart.amount >= 1
}

// slowStartBudgetOf is what a server in slow start bears from each node, in mean connections a second: the rule counts
// by what fills it over its warm-up, since in a storm of retries the usual traffic says nothing of what a server can
// do. A node with more than its quota of the traffic learns a cost too low, so the first guess is the least.
func (b *Balancer) slowStartBudgetOf(server *serverEntry) float64 {
	rules := b.settings.Rules
	cost := server.cost * b.units.mean
	if b.reservations.enabled || b.settings.Reports == NoReports {
		cost = max(cost, b.initialConnectionCost()/b.registeredSize(server))
	}
	return rules.OverloadMultiple * b.capacityFraction(server) / (cost * rules.WarmUp.Seconds() * float64(b.fleetNodes))
}

// slowStartQuota is what this node may send to a server in slow start: its budget, and no more than a multiple of what
// an even spread of the usual traffic would bring, while costs are still a guess.
func (b *Balancer) slowStartQuota(server *serverEntry) float64 {
	fraction := b.capacityFraction(server)
	usual := b.settings.Rules.OverloadMultiple * fraction * b.usualRate(server) / max(b.average.load, 0.5)
	return min(usual, b.slowStartBudgetOf(server))
}

// SlowStartRate is the connections a second that a server in slow start bears from all nodes together, as far as this
// node knows; slow is false for one that has warmed up or is not known.
func (b *Balancer) SlowStartRate(id ServerID) (rate float64, slow bool) {
	server := b.findServer(id)
	if server == nil || b.capacityFraction(server) == 1 {
		return 0, false
	}
	return b.slowStartBudgetOf(server) * float64(b.fleetNodes), true
}
