package faults

import "spurwinch/internal/invariant"

const (
	drainGrace = 3 // seconds for which a node may still try a draining server after the notice

	// Conditions of a stable zone. No request needs to leave such a zone, since it has been healthy for long and has
	// free capacity.
	minHealthyTime       = 10  // seconds
	maxStableUtilization = 0.6 // of the zone's capacity
	minStableRequests    = 100
	crossZoneTolerance   = 3 // requests

	minRequestsWithoutVoters = 50
	minServedWithoutVoters   = 0.9
)

// requestState is the state of the requests, derived from the history. Maps with string keys are keyed by request ID.
type requestState struct {
	answers         map[string]Event
	attempts        map[string]int
	inFlight        map[string]string       // server that has the request
	draining        map[drainNotice]float64 // time of the first notice
	stableZone      int                     // served requests of stable zones
	stableCrossZone int                     // requests among these that were served in another zone
	withoutVoters   []Event                 // answers while no voter was running
}

// drainNotice identifies the notice by which a node learned that a server drains.
type drainNotice struct{ node, server string }

// monitorRules maps the invariant monitor's names of rules to the checker's names, where the two differ.
var monitorRules = map[string]string{
	invariant.TooManyAttempts.String():   ruleAttempts,
	invariant.ConcurrentAttempt.String(): ruleTwoAtOnce,
	invariant.ServerDraining.String():    ruleDrains,
	invariant.LateAnswer.String():        ruleInTime,
	invariant.SecondAnswer.String():      ruleOneAnswer,
	invariant.Unanswered.String():        ruleOneAnswer,
}

// monitorRule returns the checker's name for a rule of a node's invariant monitor.
func monitorRule(name string) string {
	if rule, ok := monitorRules[name]; ok {
		return rule
	}
	return placementRulesPrefix + name
}

// checkRequest checks the rules on a single request.
func (c *checker) checkRequest(event Event) {
	switch event.Kind {
	case KindAttempt:
		c.checkAttempt(event)
	case KindAttemptEnd:
		delete(c.requests.inFlight, event.ID)
	case KindGuard: // a violation even without harm, since a node that needs its monitor has a fault
		c.violated(monitorRule(event.Detail), event.At,
			"request %s: the invariant monitor of %s prevented a step that breaks rule %s",
			event.ID, event.Node, event.Detail)
	case KindDrain:
		notice := drainNotice{event.Node, event.To}
		if _, ok := c.requests.draining[notice]; !ok {
			c.requests.draining[notice] = event.At
		}
	case KindAnswer:
		c.checkAnswer(event)
	default:
	}
}

// checkAttempt checks that a request has not too many attempts and no other attempt in flight, and that its server has
// not been draining for too long.
func (c *checker) checkAttempt(event Event) {
	state := &c.requests
	state.attempts[event.ID]++
	if count := state.attempts[event.ID]; count > c.limits.Attempts {
		c.violated(ruleAttempts, event.At, "request %s reached a server as attempt %d", event.ID, count)
	}
	if other, ok := state.inFlight[event.ID]; ok {
		c.violated(ruleTwoAtOnce, event.At, "request %s reached %s while %s had it", event.ID, event.To, other)
	}
	state.inFlight[event.ID] = event.To
	noticed, draining := state.draining[drainNotice{event.Node, event.To}]
	if draining && event.At-noticed > drainGrace+c.limits.Slack {
		c.violated(ruleDrains, event.At, "request %s reached %s %.1f s after %s was notified that it drains",
			event.ID, event.To, event.At-noticed, event.Node)
	}
}

// checkAnswer checks that a request has only one answer, within the deadline.
func (c *checker) checkAnswer(event Event) {
	if earlier, ok := c.requests.answers[event.ID]; ok {
		c.violated(ruleOneAnswer, event.At, "request %s was answered %s and %s", event.ID, earlier.Result, event.Result)
	}
	c.requests.answers[event.ID] = event
	if event.Result != ResultNone && event.Took > c.limits.Deadline+c.limits.Slack {
		c.violated(ruleInTime, event.At, "request %s was answered after %.2f s", event.ID, event.Took)
	}
	c.countAnswer(event)
}

// countAnswer counts an answer for checkCrossings and checkWithoutVoters, which run at the end.
func (c *checker) countAnswer(event Event) {
	if event.Result == "" || event.Result == ResultNone || event.Result == ResultNodeGone {
		return
	}
	if c.liveVoters() == 0 && !c.zoneFaultInjected() && c.nonVotersLive() {
		c.requests.withoutVoters = append(c.requests.withoutVoters, event)
	}
	if event.Result != ResultServed || !c.isStable(event.Zone, event.At) {
		return
	}
	c.requests.stableZone++
	if event.To != event.Zone && event.To != "" {
		c.requests.stableCrossZone++
	}
}

// isStable reports whether no request of a zone needs to cross: the zone has been healthy for long, has free capacity
// and most of its nodes, and no fault has affected any zone.
func (c *checker) isStable(name string, at float64) bool {
	zone := c.zone(name)
	return zone.isHealthy && at-zone.healthySince >= minHealthyTime &&
		zone.connections <= maxStableUtilization*zone.capacity && !c.zoneFaultInjected() && !c.lacksNodes(name, at)
}

// checkCrossings checks that only few requests have crossed zones without need.
func (c *checker) checkCrossings() {
	crossed := c.requests.stableCrossZone
	stable := c.requests.stableZone
	if stable >= minStableRequests && float64(crossed) > c.limits.UnneededCrossZone*float64(stable)+crossZoneTolerance {
		c.violated(ruleOwnZone, 0, "%d of %d requests crossed zones although their own was healthy and had capacity",
			crossed, stable)
	}
}

// checkWithoutVoters checks that nodes continued to serve while no voter was running.
func (c *checker) checkWithoutVoters() {
	served, all := 0, 0
	for _, event := range c.requests.withoutVoters {
		if c.policies.notAdmitted[event.ID] { // the operators' policy rejects requests without a lease
			continue
		}
		all++
		if event.Result == ResultServed {
			served++
		}
	}
	if all >= minRequestsWithoutVoters && float64(served) < minServedWithoutVoters*float64(all) {
		c.violated(ruleWithoutVoters, 0,
			"with no voter running %d of %d requests were served, although every zone was healthy", served, all)
	}
}
