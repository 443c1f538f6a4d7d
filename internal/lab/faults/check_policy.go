package faults

import (
	"maps"
	"slices"
)

// Verbs of commands: Detail of KindCommand.
const (
	verbStatus       = "status"
	verbPropose      = "propose"
	verbProposeAgain = "again" // a change that had ended, under the same ID
)

// finalSecond is how long before the end of a history, in seconds, a node's newest admission says what it serves by.
const finalSecond = 1

// policyState is what the history shows of policy changes. Policies are known by their numbers on the log.
type policyState struct {
	isUsed        bool
	digests       map[uint64]string
	decidedAt     map[uint64]float64   // when it was first known to be in force
	canaryAt      map[uint64]float64   // when canaries might first serve by it
	abandonedAt   map[uint64]float64   // when its change was given up
	learnedAt     map[uint64][]float64 // when nodes had it on their disks
	objections    map[uint64][]string  // nodes that can't serve by it
	changeEnds    map[string]Event     // by change
	lastAdmission map[string]Event     // by node: the newest by a lease
	admissions    map[string]int       // by what they were admitted by
	notAdmitted   map[string]bool      // requests that were rejected for want of a lease
	commands      []Event
	oldPolicyUse  []float64 // seconds after a decision in which the policy before was used
}

func newPolicyState() policyState {
	return policyState{
		digests:       map[uint64]string{},
		decidedAt:     map[uint64]float64{},
		canaryAt:      map[uint64]float64{},
		abandonedAt:   map[uint64]float64{},
		learnedAt:     map[uint64][]float64{},
		objections:    map[uint64][]string{},
		changeEnds:    map[string]Event{},
		lastAdmission: map[string]Event{},
		admissions:    map[string]int{},
		notAdmitted:   map[string]bool{},
	}
}

// next is the number of the policy that was decided next after another, and when.
func (p *policyState) next(number uint64) (next uint64, at float64, ok bool) {
	for decided, decidedAt := range p.decidedAt {
		if decided > number && (!ok || decided < next) {
			next = decided
			at = decidedAt
			ok = true
		}
	}
	return next, at, ok
}

// newest is the highest number that was decided.
func (p *policyState) newest() uint64 {
	newest := uint64(0)
	for number := range p.decidedAt {
		newest = max(newest, number)
	}
	return newest
}

// checkPolicy checks the rules on policies at each event.
func (c *checker) checkPolicy(event Event) {
	c.policies.isUsed = true
	switch event.Kind {
	case KindPolicy:
		c.checkDecision(event)
	case KindVerdict:
		if event.Result == ResultNo {
			c.policies.objections[event.Number] = append(c.policies.objections[event.Number], event.Node)
			c.count("verdict no")
		}
	case KindCanary:
		if _, ok := c.policies.canaryAt[event.Number]; !ok {
			c.policies.canaryAt[event.Number] = event.At
			c.count("trials")
		}
	case KindChangeEnd:
		c.checkChangeEnd(event)
	case KindAdmission:
		c.checkAdmission(event)
	case KindCommand:
		c.checkCommand(event)
	default:
	}
}

// checkDecision checks that a policy in force has one content, and that no node that is there has objected to it.
func (c *checker) checkDecision(event Event) {
	state := &c.policies
	digest, known := state.digests[event.Number]
	if known && digest != event.Digest {
		c.violated(rulePolicyEnd, event.At, "%s has number %d with digest %s, others have %s",
			event.Node, event.Number, event.Digest, digest)
	}
	state.digests[event.Number] = event.Digest
	if event.Detail == policyDecided {
		state.learnedAt[event.Number] = append(state.learnedAt[event.Number], event.At)
	}
	if _, ok := state.decidedAt[event.Number]; ok {
		return
	}
	state.decidedAt[event.Number] = event.At
	c.count("policies")
	for _, name := range state.objections[event.Number] {
		index := c.list.Index(name)
		if index >= 0 && !c.touched(c.list.Node(index)) {
			c.violated(rulePolicyEnd, event.At, "number %d is in force, and %s, which is there, had said no",
				event.Number, name)
		}
	}
}

// checkChangeEnd checks that a change has one end.
func (c *checker) checkChangeEnd(event Event) {
	if earlier, ok := c.policies.changeEnds[event.ID]; ok {
		if !sameEnd(earlier, event) {
			c.violated(rulePolicyEnd, event.At, "change %s ended %s as number %d, and %s as number %d",
				event.ID, earlier.Result, earlier.Number, event.Result, event.Number)
		}
		return
	}
	c.policies.changeEnds[event.ID] = event
	c.count("change " + string(event.Result))
	if event.Result != ResultAccepted {
		c.policies.abandonedAt[event.Number] = event.At
	}
}

// sameEnd reports whether two events tell the same end of a change.
func sameEnd(a, b Event) bool { return a.Result == b.Result && a.Number == b.Number }

// checkAdmission checks that a request was admitted by a policy that was in force, or on trial at canaries.
func (c *checker) checkAdmission(event Event) {
	state := &c.policies
	state.admissions[event.Detail]++
	if event.Detail == NotAdmitted && event.ID != "" {
		state.notAdmitted[event.ID] = true
	}
	if event.Detail != AdmittedByLease {
		return
	}
	state.lastAdmission[event.Node] = event
	if !c.mayBeInForce(event) {
		c.violated(rulePolicyWindow, event.At, "%s took request %s under number %d, which was not decided",
			event.Node, event.ID, event.Number)
		return
	}
	tolerance := c.limits.PolicyWindow + c.limits.Slack
	if end, ok := state.abandonedAt[event.Number]; ok && event.At > end+tolerance {
		c.violated(rulePolicyWindow, event.At, "%s took request %s under number %d, which was given up %.2f s before",
			event.Node, event.ID, event.Number, event.At-end)
	}
	_, decided := state.decidedAt[event.Number]
	next, nextAt, ok := state.next(event.Number)
	if !ok || !decided && event.Number != 0 {
		return
	}
	state.oldPolicyUse = append(state.oldPolicyUse, event.At-nextAt)
	if event.At > nextAt+tolerance {
		c.violated(rulePolicyWindow, event.At, "%s took request %s under number %d, %.2f s after %d was decided",
			event.Node, event.ID, event.Number, event.At-nextAt, next)
	}
}

// mayBeInForce reports whether a request's policy was decided or on trial when it was admitted. Number 0 is each node's
// own files, before the first policy.
func (c *checker) mayBeInForce(event Event) bool {
	race := c.limits.Slack / 5 // lines of two nodes' logs race each other
	decidedAt, decided := c.policies.decidedAt[event.Number]
	canaryAt, onTrial := c.policies.canaryAt[event.Number]
	return event.Number == 0 ||
		decided && event.At >= decidedAt-race ||
		onTrial && event.At >= canaryAt-race
}

// checkCommand checks the end of an operator's command, and keeps it for checkLinearizable.
func (c *checker) checkCommand(event Event) {
	if event.Detail != verbProposeAgain {
		c.policies.commands = append(c.policies.commands, event)
		c.count("op " + string(event.Result))
		return
	}
	c.count("proposed again")
	if event.Result != ResultAccepted && event.Result != ResultAbandoned {
		return
	}
	earlier, ok := c.policies.changeEnds[event.ID]
	if !ok || !sameEnd(earlier, event) {
		c.violated(rulePolicyEnd, event.At,
			"change %s was proposed again and ended %s as number %d, before it %s as %d",
			event.ID, event.Result, event.Number, earlier.Result, earlier.Number)
	}
}

// checkPolicyEnd checks what only the complete history shows.
func (c *checker) checkPolicyEnd(events []Event) {
	if !c.policies.isUsed {
		return
	}
	end := events[len(events)-1].At
	c.checkOnePolicyInUse(end)
	if len(c.policies.oldPolicyUse) > 0 {
		c.verdict.Figures.OldPolicy = slices.Max(c.policies.oldPolicyUse)
	}
	durations := c.changeDurations()
	c.verdict.Figures.ChangeHalf = percentile(durations, 50)
	c.verdict.Figures.Change99 = percentile(durations, 99)
	c.verdict.Figures.ChangeMost = percentile(durations, 100)
	for _, by := range []string{AdmittedByLease, AdmittedByBasePolicy, NotAdmitted} {
		c.verdict.Seen["admitted: "+by] = c.policies.admissions[by]
	}
	c.checkLinearizable(end)
}

// checkOnePolicyInUse checks that all nodes that serve at the end serve under one number.
func (c *checker) checkOnePolicyInUse(end float64) {
	newest := c.policies.newest()
	if c.policies.decidedAt[newest] >= end-c.limits.PolicyWindow-c.limits.Slack {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.policies.lastAdmission)) {
		last := c.policies.lastAdmission[name]
		serves := last.At > end-finalSecond && c.isLive(name)
		if serves && last.Number != newest && !c.onTrialAt(last.Number, end) {
			c.violated(rulePolicyEnd, end, "%s serves under number %d, %d is in force", name, last.Number, newest)
		}
	}
}

// onTrialAt reports whether canaries may serve by a policy at a time.
func (c *checker) onTrialAt(number uint64, at float64) bool {
	abandonedAt, abandoned := c.policies.abandonedAt[number]
	_, onTrial := c.policies.canaryAt[number]
	return onTrial && (!abandoned || abandonedAt > at-c.limits.PolicyWindow-c.limits.Slack)
}

// changeDurations are the times, sorted, from a command to the last node that learned of its decision. Nodes that were
// cut off learn of it later than a window, and don't count.
func (c *checker) changeDurations() []float64 {
	var durations []float64
	for _, command := range c.policies.commands {
		if command.Detail != verbPropose || command.Result != ResultAccepted {
			continue
		}
		last := 0.0
		for _, at := range c.policies.learnedAt[command.Number] {
			if at < c.policies.decidedAt[command.Number]+c.limits.PolicyWindow {
				last = max(last, at)
			}
		}
		if start := command.Value; last > start {
			durations = append(durations, last-start)
		}
	}
	slices.Sort(durations)
	return durations
}
