package faults

import "spurwinch/internal/invariant"

const (
	drainGrace = 3 // seconds after its notice in which a node may still try a draining server

	// A zone without need to cross: healthy for long and with free capacity.
	minHealthyTime     = 10  // seconds
	maxCalmFill        = 0.6 // of its capacity
	minCalmRequests    = 100
	crossZoneTolerance = 3 // requests

	minRequestsWithoutVoters = 50
	minServedWithoutVoters   = 0.9
)

// requestState is what the history shows of requests.
type requestState struct {
	answers       map[string]Event
	attempts      map[string]int
	inFlight      map[string]string // request to the server that has it
	draining      map[drainNotice]float64
	calm          int // served requests of zones without need to cross
	calmCrossZone int // of these, in another zone
	withoutVoters []Event
}

// drainNotice is a server that a node was notified of.
type drainNotice struct{ node, server string }

// guardRules are the checker's names of the rules of a node's invariant monitor, where they differ.
var guardRules = map[string]string{
	invariant.TooManyAttempts.String():   ruleAttempts,
	invariant.ConcurrentAttempt.String(): ruleTwoAtOnce,
	invariant.ServerDraining.String():    ruleDrains,
	invariant.LateAnswer.String():        ruleInTime,
	invariant.SecondAnswer.String():      ruleOneAnswer,
	invariant.Unanswered.String():        ruleOneAnswer,
}

// guardRule is the checker's name of a rule of a node's invariant monitor.
func guardRule(name string) string {
	if rule, ok := guardRules[name]; ok {
		return rule
	}
	return placementRulesWord + name
}

// checkRequest checks the rules on single requests.
func (c *checker) checkRequest(event Event) {
	switch event.Kind {
	case KindAttempt:
		c.checkAttempt(event)
	case KindAttemptEnd:
		delete(c.requests.inFlight, event.ID)
	case KindGuard: // also where no harm was done: a node that needs its monitor has a fault
		c.violated(guardRule(event.Detail), event.At, "request %s: %s's guard objected: %s",
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

// checkAttempt checks that a request may be tried at a server.
func (c *checker) checkAttempt(event Event) {
	state := &c.requests
	state.attempts[event.ID]++
	if count := state.attempts[event.ID]; count > c.limits.Attempts {
		c.violated(ruleAttempts, event.At, "request %s came to a server as attempt %d", event.ID, count)
	}
	if other, ok := state.inFlight[event.ID]; ok {
		c.violated(ruleTwoAtOnce, event.At, "request %s came to %s while %s had it", event.ID, event.To, other)
	}
	state.inFlight[event.ID] = event.To
	noticed, draining := state.draining[drainNotice{event.Node, event.To}]
	if draining && event.At-noticed > drainGrace+c.limits.Slack {
		c.violated(ruleDrains, event.At, "request %s came to %s %.1f s after %s was notified that it drains",
			event.ID, event.To, event.At-noticed, event.Node)
	}
}

// checkAnswer checks that a request has one answer, in time.
func (c *checker) checkAnswer(event Event) {
	if earlier, ok := c.requests.answers[event.ID]; ok {
		c.violated(ruleOneAnswer, event.At, "request %s was answered %s and %s", event.ID, earlier.Result, event.Result)
	}
	c.requests.answers[event.ID] = event
	if event.Result != ResultNone && event.Took > c.limits.Deadline+c.limits.Slack {
		c.violated(ruleInTime, event.At, "request %s was answered after %.2f s", event.ID, event.Took)
	}
	c.noteAnswer(event)
}

// noteAnswer notes an answer for the rules on many requests.
func (c *checker) noteAnswer(event Event) {
	if event.Result == "" || event.Result == ResultNone || event.Result == ResultNodeGone {
		return
	}
	if c.liveVoters() == 0 && !c.zoneDisturbed() && c.othersLive() {
		c.requests.withoutVoters = append(c.requests.withoutVoters, event)
	}
	if event.Result != ResultServed || !c.isCalm(event.Zone, event.At) {
		return
	}
	c.requests.calm++
	if event.To != event.Zone && event.To != "" {
		c.requests.calmCrossZone++
	}
}

// isCalm reports whether no request of a zone needs to cross: the zone has been healthy for long, has free capacity and
// most of its nodes, and no fault has touched a zone.
func (c *checker) isCalm(name string, at float64) bool {
	zone := c.zone(name)
	return zone.isHealthy && at-zone.healthySince >= minHealthyTime &&
		zone.connections <= maxCalmFill*zone.capacity && !c.zoneDisturbed() && !c.lacksNodes(name, at)
}

// checkCrossings checks that few requests have crossed zones without need.
func (c *checker) checkCrossings() {
	crossed := c.requests.calmCrossZone
	calm := c.requests.calm
	if calm >= minCalmRequests && float64(crossed) > c.limits.UnneededCrossZone*float64(calm)+crossZoneTolerance {
		c.violated(ruleOwnZone, 0, "%d of %d requests crossed zones although their own was healthy and had capacity",
			crossed, calm)
	}
}

// checkWithoutVoters checks that nodes have served on when no voter was left.
func (c *checker) checkWithoutVoters() {
	served, all := 0, 0
	for _, event := range c.requests.withoutVoters {
		if c.policies.notAdmitted[event.ID] { // as operators have wanted it
			continue
		}
		all++
		if event.Result == ResultServed {
			served++
		}
	}
	if all >= minRequestsWithoutVoters && float64(served) < minServedWithoutVoters*float64(all) {
		c.violated(ruleWithoutVoters, 0,
			"with no voter left %d of %d requests were served, although every zone was healthy", served, all)
	}
}
