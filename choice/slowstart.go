package choice

import (
	"math"
	"time"
)

// Slow start: how many connections a server that has just started is sent. Its capacity grows from
// Rules.SlowStartFraction to all of it over Rules.WarmUp, and the load that all nodes send it within Rules.OverloadTime
// must stay under Rules.OverloadMultiple of that capacity. Each node has a part of that as a token bucket. Where
// servers have owners (reservation.go), the owner alone spends the bucket, for all nodes.

const (
	// slowStartSafety is the fraction of the budget that refills a bucket. A bucket saves up to two windows of refill
	// (see refill), so half of the rate keeps what all nodes can spend in one window within the budget.
	slowStartSafety = 0.5
	// tokenWindows is for how many windows (Rules.OverloadTime) a bucket saves tokens up.
	tokenWindows = 2
	// commonBudget is the fraction of all budgets for servers in slow start that may go to any of these.
	commonBudget = 0.15
	// ownerBudget is the fraction of its budget that a server's owner spends steadily.
	ownerBudget = 0.7
	// minAverageForQuota is the least average load by which the usual traffic is scaled up to a full server's.
	minAverageForQuota = 0.5
)

// tokenBucket is a budget that grows with time. One token pays for one mean connection; a connection of more load is
// sent as soon as there is one token, and then overdraws the bucket.
type tokenBucket struct {
	tokens     float64 // may be under 0
	refilledAt time.Duration
}

// refill adds the tokens since the last time, at a rate a second. Tokens that are not spent within tokenWindows
// lapse, but for a fraction of one that keeps the phase: saved up at many nodes, they would be spent by all at once.
func (c *tokenBucket) refill(now time.Duration, rate float64, window time.Duration) {
	c.tokens += rate * (now - c.refilledAt).Seconds()
	if c.tokens > 1+tokenWindows*rate*window.Seconds() {
		c.tokens = math.Mod(c.tokens, 1)
	}
	c.refilledAt = now
}

// slowStartBudget is this node's budget for all servers in slow start together, beside the bucket that each of them
// has in its serverEntry.
type slowStartBudget struct {
	rate   float64     // sum of their budgets for this node, in mean connections a second
	common tokenBucket // for connections of groups, to any of these servers
}

// capacityFraction is the part of its capacity that a server has by the rules' warm-up, from Rules.SlowStartFraction to
// 1, which also means that it is not in slow start.
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

// hasSlowStartBudget reports whether this node may send a request to a server as far as slow start goes: the server has
// warmed up, or this node's bucket for it has a token. spendSlowStart takes the token.
func (b *Balancer) hasSlowStartBudget(request *requestEntry, server *serverEntry) bool {
	if b.capacityFraction(server) == 1 {
		return true
	}
	window := b.settings.Rules.OverloadTime
	server.slowStart.refill(b.now, slowStartSafety*b.slowStartQuota(server), window)
	// A group wants few servers, and tokens for one of them lapse before its next request comes: so there is a bucket
	// for all servers in slow start together.
	b.slowStart.common.refill(b.now, commonBudget*b.slowStart.rate, window)
	return server.slowStart.tokens >= 1 || request.affinity != 0 && b.slowStart.common.tokens >= 1
}

// spendSlowStart takes the load of a connection that is started out of the bucket that hasSlowStartBudget allowed it
// by. Where servers have owners, the owner has done so when it granted the reservation.
func (b *Balancer) spendSlowStart(server *serverEntry, load float64) {
	if b.reservations.enabled || !(b.capacityFraction(server) < 1) {
		return
	}
	if server.slowStart.tokens >= 1 {
		server.slowStart.tokens -= load / b.units.mean
	} else {
		b.slowStart.common.tokens -= load / b.units.mean
	}
}

// ownerHasSlowStartBudget is hasSlowStartBudget for a server's owner, whose bucket is for all nodes of the fleet. It is
// refilled at ownerBudget of the rate, without lapses; decideReservation takes the tokens.
func (b *Balancer) ownerHasSlowStartBudget(server *serverEntry) bool {
	if b.capacityFraction(server) == 1 {
		return true
	}
	rate := ownerBudget * float64(b.fleetNodes) * b.slowStartBudgetOf(server)
	server.slowStart.tokens += rate * (b.now - server.slowStart.refilledAt).Seconds()
	server.slowStart.refilledAt = b.now
	// The bucket's size: full, it has the part of the budget of one OverloadTime that refills don't spend in that time,
	// and at least one connection.
	most := max(1, (1/ownerBudget-1)*rate*b.settings.Rules.OverloadTime.Seconds())
	server.slowStart.tokens = min(server.slowStart.tokens, most)
	return server.slowStart.tokens >= 1
}

// slowStartBudgetOf is one node's part of the budget of a server in slow start, in mean connections a second, before
// any safety factor. It counts by the load that fills the server over its warm-up, not by the usual traffic, which in a
// storm of retries says nothing of a server's capacity. A node with more than its part of the traffic learns a cost too
// low, so without other evidence the cost is no less than the initial one.
func (b *Balancer) slowStartBudgetOf(server *serverEntry) float64 {
	rules := b.settings.Rules
	cost := server.cost * b.units.mean
	if b.reservations.enabled || b.settings.Reports == NoReports {
		cost = max(cost, b.initialConnectionCost()/b.registeredSize(server))
	}
	return rules.OverloadMultiple * b.capacityFraction(server) / (cost * rules.WarmUp.Seconds() * float64(b.fleetNodes))
}

// slowStartQuota is the rate by which this node's bucket for a server is filled, before slowStartSafety, in mean
// connections a second: its budget, but at most Rules.OverloadMultiple of what an even spread of the usual traffic
// would bring, since costs may still be a guess.
func (b *Balancer) slowStartQuota(server *serverEntry) float64 {
	fraction := b.capacityFraction(server)
	average := max(b.average.load, minAverageForQuota)
	usual := b.settings.Rules.OverloadMultiple * fraction * b.usualRate(server) / average
	return min(usual, b.slowStartBudgetOf(server))
}

// SlowStartRate is the budget of a server in slow start for all nodes together, in mean connections a second, by the
// costs that this node has learned; slow is false for a server that has warmed up or is not known. The request core's
// invariant monitor checks attempts against it.
func (b *Balancer) SlowStartRate(id ServerID) (rate float64, slow bool) {
	server := b.findServer(id)
	if server == nil || b.capacityFraction(server) == 1 {
		return 0, false
	}
	return b.slowStartBudgetOf(server) * float64(b.fleetNodes), true
}
