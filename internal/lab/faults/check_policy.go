package faults

import (
	"maps"
	"slices"
)

// Verbs of commands: Detail of KindCommand.
const (
	verbStatus       = "status"
	verbPropose      = "propose"
	verbProposeAgain = "again" // proposes a change again that has ended, with the same ID
)

// finalAdmissionTime is the length, in seconds, of the end of a history in which a node's newest admission must lie to
// show which policy the node uses at the end.
const finalAdmissionTime = 1

// policyState is the state of policies and policy changes, derived from the history. Policies are known by their
// numbers on the log.
type policyState struct {
	isUsed        bool
	digests       map[uint64]string
	decidedAt     map[uint64]float64   // when the policy was first known to be in force
	canaryAt      map[uint64]float64   // when canaries could first use the policy
	abandonedAt   map[uint64]float64   // when the policy's change was abandoned
	learnedAt     map[uint64][]float64 // when nodes had stored the policy on their disks
	objections    map[uint64][]string  // names of the nodes that can't use the policy
	changeEnds    map[string]Event     // by change ID
	lastAdmission map[string]Event     // newest admission under a lease, by node
	admissions    map[string]int       // number of admissions, by Detail such as AdmittedByLease
	notAdmitted   map[string]bool      // IDs of requests that were rejected because the node had no lease
	commands      []Event
	oldPolicyUse  []float64 // seconds from a decision to each later use of the previous policy
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

// next returns the lowest decided number above number, and when it was decided. ok is false if there is none.
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

// newest returns the highest decided number.
func (p *policyState) newest() uint64 {
	newest := uint64(0)
	for number := range p.decidedAt {
		newest = max(newest, number)
	}
	return newest
}

// checkPolicy checks the rules on policies for one event.
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

// checkDecision checks that a policy in force has the same content at all nodes. It also checks that no node has
// objected to the policy, except nodes that are down or that a fault may have affected.
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
		if index >= 0 && !c.mayBeAffected(c.list.Node(index)) {
			c.violated(rulePolicyEnd, event.At, "number %d is in force, but %s, which no fault affected, objected",
				event.Number, name)
		}
	}
}

// checkChangeEnd checks that all reports of a change's end agree.
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

// sameEnd reports whether two events report the same end of a change.
func sameEnd(a, b Event) bool { return a.Result == b.Result && a.Number == b.Number }

// checkAdmission checks that a request was admitted under a policy that was in force or that canaries could use.
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
		c.violated(rulePolicyWindow, event.At, "%s admitted request %s under number %d, which was not decided",
			event.Node, event.ID, event.Number)
		return
	}
	tolerance := c.limits.PolicyWindow + c.limits.Slack
	if end, ok := state.abandonedAt[event.Number]; ok && event.At > end+tolerance {
		c.violated(rulePolicyWindow, event.At, "%s admitted request %s under number %d, abandoned %.2f s before",
			event.Node, event.ID, event.Number, event.At-end)
	}
	_, decided := state.decidedAt[event.Number]
	next, nextAt, ok := state.next(event.Number)
	if !ok || !decided && event.Number != 0 {
		return
	}
	state.oldPolicyUse = append(state.oldPolicyUse, event.At-nextAt)
	if event.At > nextAt+tolerance {
		c.violated(rulePolicyWindow, event.At, "%s admitted request %s under number %d, %.2f s after %d was decided",
			event.Node, event.ID, event.Number, event.At-nextAt, next)
	}
}

// mayBeInForce reports whether a request's policy was decided, or open to canaries, when the request was admitted.
// Number 0 stands for each node's own files before the first policy.
func (c *checker) mayBeInForce(event Event) bool {
	reorderingTolerance := c.limits.Slack / 5 // log lines of two nodes may arrive in the wrong order
	decidedAt, decided := c.policies.decidedAt[event.Number]
	canaryAt, isCanary := c.policies.canaryAt[event.Number]
	return event.Number == 0 ||
		decided && event.At >= decidedAt-reorderingTolerance ||
		isCanary && event.At >= canaryAt-reorderingTolerance
}

// checkCommand checks that a change that is proposed again reports the same end. It keeps all other commands for
// checkLinearizable.
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
			"change %s was proposed again and ended %s as number %d, before it ended %s as number %d",
			event.ID, event.Result, event.Number, earlier.Result, earlier.Number)
	}
}

// checkPolicyEnd checks the rules on policies that need the complete history, and computes the figures on policies.
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

// checkOnePolicyInUse checks that all nodes that serve at the end use the newest policy or one that canaries may use.
// It skips the check if the nodes may still use the previous policy at the end, since the decision was so recent.
func (c *checker) checkOnePolicyInUse(end float64) {
	newest := c.policies.newest()
	if c.policies.decidedAt[newest] >= end-c.limits.PolicyWindow-c.limits.Slack {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.policies.lastAdmission)) {
		last := c.policies.lastAdmission[name]
		serves := last.At > end-finalAdmissionTime && c.isLive(name)
		if serves && last.Number != newest && !c.isCanaryAt(last.Number, end) {
			c.violated(rulePolicyEnd, end, "%s serves under number %d, but %d is in force", name, last.Number, newest)
		}
	}
}

// isCanaryAt reports whether canaries may use a policy at a time.
func (c *checker) isCanaryAt(number uint64, at float64) bool {
	abandonedAt, abandoned := c.policies.abandonedAt[number]
	_, isCanary := c.policies.canaryAt[number]
	return isCanary && (!abandoned || abandonedAt > at-c.limits.PolicyWindow-c.limits.Slack)
}

// changeDurations returns the sorted times from each command to the last node that learned of its decision. It ignores
// nodes that learned of it later than PolicyWindow, since these were cut off.
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
