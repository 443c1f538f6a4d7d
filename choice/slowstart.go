package choice

import (
	"math"
	"time"
)

// Slow start limits the connections sent to a server that has just started. The server's capacity grows from
// Rules.SlowStartFraction to all of it over Rules.WarmUp, and the load that all nodes send it within Rules.OverloadTime
// must stay below Rules.OverloadMultiple of that capacity. Each node has its part of this budget as a token bucket. If
// servers have owners (reservation.go), only the owner spends from its bucket, for all nodes.

const (
	// slowStartSafety is the fraction of the budget that refills a bucket. A bucket saves tokens for up to two windows
	// (see refill), so at half of the rate all nodes together can't spend more than the budget in one window.
	slowStartSafety = 0.5
	// tokenWindows is the number of windows (Rules.OverloadTime) for which a bucket saves tokens.
	tokenWindows = 2
	// commonBudget is the fraction of the sum of all slow-start budgets that refills the common bucket. The tokens of
	// this bucket may be spent on any server in slow start.
	commonBudget = 0.15
	// ownerBudget is the fraction of a server's slow-start budget that refills the owner's bucket for the server.
	ownerBudget = 0.7
	// minAverageForQuota is the lower limit of the fleet's average load in slowStartQuota, which divides the usual
	// traffic by this average to get the traffic of a full server.
	minAverageForQuota = 0.5
)

// tokenBucket is a budget that grows with time. One token pays for one mean connection. A connection of more load is
// sent as soon as the bucket has one token, and then overdraws the bucket.
type tokenBucket struct {
	tokens     float64 // may be below 0
	refilledAt time.Duration
}

// refill adds the tokens for the time since the last refill, at rate tokens per second. Tokens that are not spent
// within tokenWindows expire, because tokens saved up on many nodes would be spent by all of them at once. The
// fractional part of a token remains, so that the nodes' phases stay different.
func (c *tokenBucket) refill(now time.Duration, rate float64, window time.Duration) {
	c.tokens += rate * (now - c.refilledAt).Seconds()
	if c.tokens > 1+tokenWindows*rate*window.Seconds() {
		c.tokens = math.Mod(c.tokens, 1)
	}
	c.refilledAt = now
}

// slowStartBudget is this node's common budget for all servers in slow start, in addition to the bucket that each of
// them has in its serverEntry.
type slowStartBudget struct {
	rate   float64     // sum of the servers' budgets for this node, in mean connections per second
	common tokenBucket // for connections of groups, to any server in slow start
}

// capacityFraction returns the fraction of its capacity that a server has according to Rules.WarmUp, from
// Rules.SlowStartFraction to 1. A result of 1 means that the server is not in slow start.
func (b *Balancer) capacityFraction(server *serverEntry) float64 {
	start := server.Started
	if server.SlowStartSince > 0 {
		start = server.SlowStartSince
	}
	age := b.now - start
	if server.Started <= 0 || age >= b.settings.Rules.WarmUp {
		return 1
	}
	initial := b.settings.Rules.SlowStartFraction
	return initial + (1-initial)*max(0, age.Seconds()/b.settings.Rules.WarmUp.Seconds())
}

// hasSlowStartBudget reports whether slow start allows this node to send a request to a server: the server has warmed
// up, or the node's bucket for it has a token. For a request with affinity, a token in the common bucket is enough.
// spendSlowStart takes the token.
func (b *Balancer) hasSlowStartBudget(request *requestEntry, server *serverEntry) bool {
	if b.capacityFraction(server) == 1 {
		return true
	}
	window := b.settings.Rules.OverloadTime
	server.slowStart.refill(b.now, slowStartSafety*b.slowStartQuota(server), window)
	// A group uses few servers, and the tokens for one server expire before the group's next request arrives. Requests
	// of groups therefore also use a common bucket for all servers in slow start.
	b.slowStart.common.refill(b.now, commonBudget*b.slowStart.rate, window)
	return server.slowStart.tokens >= 1 || request.affinity != 0 && b.slowStart.common.tokens >= 1
}

// spendSlowStart takes the load of a new connection from the bucket whose token hasSlowStartBudget found. If servers
// have owners, the owner has already taken the tokens when it granted the reservation.
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

// ownerHasSlowStartBudget is hasSlowStartBudget for a server's owner, whose bucket serves all nodes of the fleet. The
// bucket is refilled at ownerBudget of the rate, and its tokens don't expire. decideReservation takes the tokens.
func (b *Balancer) ownerHasSlowStartBudget(server *serverEntry) bool {
	if b.capacityFraction(server) == 1 {
		return true
	}
	rate := ownerBudget * float64(b.fleetNodes) * b.slowStartBudgetOf(server)
	server.slowStart.tokens += rate * (b.now - server.slowStart.refilledAt).Seconds()
	server.slowStart.refilledAt = b.now
	// The bucket size is the part of the budget for one OverloadTime that refills don't add within that time, and at
	// least one connection.
	bucketSize := max(1, (1/ownerBudget-1)*rate*b.settings.Rules.OverloadTime.Seconds())
	server.slowStart.tokens = min(server.slowStart.tokens, bucketSize)
	return server.slowStart.tokens >= 1
}

// slowStartBudgetOf returns one node's part of the budget of a server in slow start, in mean connections per second,
// before any safety factor. It is based on the load that fills the server over its warm-up, and not on the usual
// traffic, which in a retry storm does not indicate the server's capacity. A node with more than its part of the
// traffic learns a cost that is too low. Therefore, if there is no other evidence of the cost because servers have
// owners or send no reports, the cost is at least the initial one.
func (b *Balancer) slowStartBudgetOf(server *serverEntry) float64 {
	rules := b.settings.Rules
	cost := server.cost * b.units.mean
	if b.reservations.enabled || b.settings.Reports == NoReports {
		cost = max(cost, b.initialConnectionCost()/b.registeredSize(server))
	}
	return rules.OverloadMultiple * b.capacityFraction(server) / (cost * rules.WarmUp.Seconds() * float64(b.fleetNodes))
}

// slowStartQuota returns the rate at which this node's bucket for a server is refilled, before slowStartSafety, in mean
// connections per second. It is the node's budget, limited to Rules.OverloadMultiple of the connections that an even
// spread of the usual traffic would bring, because the cost may not have been learned yet.
func (b *Balancer) slowStartQuota(server *serverEntry) float64 {
	fraction := b.capacityFraction(server)
	average := max(b.average.load, minAverageForQuota)
	usual := b.settings.Rules.OverloadMultiple * fraction * b.usualRate(server) / average
	return min(usual, b.slowStartBudgetOf(server))
}

// SlowStartRate returns the budget of a server in slow start for all nodes together, in mean connections per second,
// based on the costs that this node has learned. inSlowStart is false for a server that has warmed up or is unknown.
// The invariant monitor of the request core checks attempts against this rate.
func (b *Balancer) SlowStartRate(id ServerID) (rate float64, inSlowStart bool) {
	server := b.findServer(id)
	if server == nil || b.capacityFraction(server) == 1 {
		return 0, false
	}
	return b.slowStartBudgetOf(server) * float64(b.fleetNodes), true
}
