package choice

// Slow start: what a server that has just started is sent. Its capacity grows over Rules.WarmUp, and what all nodes send it in
// Rules.OverloadTime is bounded by Rules.OverloadMultiple of that.

// warm is the part of its capacity that a server is sure to have.
func (b *Balancer) warm(s *server) float64 {
	start := s.Started
	if s.SlowStartSince > 0 {
		start = s.SlowStartSince
	}
	age := b.now - start
	if s.Started <= 0 || age >= b.set.Rules.WarmUp {
		return 1
	}
	cold := b.set.Rules.SlowStartFraction
	return cold + (1-cold)*max(0, age.Seconds()/b.set.Rules.WarmUp.Seconds())
}

// coldCredit guards a cold server: this node's part of what all may send it, as leave for one mean
// connection now and then, at a seeded phase. Leave that is not used lapses: saved up at many nodes, it
// would come all at once.
func (b *Balancer) coldCredit(r *request, s *server) bool {
	if b.warm(s) == 1 {
		return true
	}
	s.credit, s.creditAt = b.accrue(s.credit, s.creditAt, coldSafety*b.coldRate(s)), b.now
	// A group wants few servers, and leave for one of them lapses before its next request comes: some more is
	// given for all cold servers together.
	b.coldLeave, b.coldLeaveAt = b.accrue(b.coldLeave, b.coldLeaveAt, coldCommon*b.coldBudgets), b.now
	return s.credit >= 1 || r.bind != 0 && b.coldLeave >= 1
}

// keptCredit is the same for a server's keeper, which spends the budget for all, as leave for one at a time.
func (b *Balancer) keptCredit(s *server) bool {
	if b.warm(s) == 1 {
		return true
	}
	rate := coldKept * float64(b.all) * b.coldBudget(s)
	s.credit, s.creditAt = s.credit+rate*(b.now-s.creditAt).Seconds(), b.now
	// What comes in one FallTime stays under the budget, but for the first connection.
	s.credit = min(s.credit, max(1, (1/coldKept-1)*rate*b.set.Rules.OverloadTime.Seconds()))
	return s.credit >= 1
}

// coldBudget is what a cold server bears from each node, in mean connections a second: the rule counts by what fills it
// over its warm-up, since in a storm of retries the usual traffic says nothing of what a server can do. A node with more
// than its part of the traffic learns a cost too low, so the first guess is the least.
func (b *Balancer) coldBudget(s *server) float64 {
	rules := b.set.Rules
	cost := s.cost * b.unit
	if b.keeps || b.set.Reports == NoReports {
		cost = max(cost, b.firstCost()/b.registered(s))
	}
	return rules.OverloadMultiple * b.warm(s) / (cost * rules.WarmUp.Seconds() * float64(b.all))
}

// SlowStartRate is the connections a second that a server in slow start bears from all nodes together, as far as this node can tell;
// cold is false for one that is warm or not known.
func (b *Balancer) SlowStartRate(id ServerID) (rate float64, cold bool) {
	s := b.find(id)
	if s == nil || b.warm(s) == 1 {
		return 0, false
	}
	return b.coldBudget(s) * float64(b.all), true
}

// coldRate is what this node may send to a cold server: its budget, and no more than a multiple of what an even spread of the
// usual traffic would bring, while costs are still a guess.
func (b *Balancer) coldRate(s *server) float64 {
	return min(b.set.Rules.OverloadMultiple*b.warm(s)*b.usualRate(s)/max(b.avg, 0.5), b.coldBudget(s))
}
