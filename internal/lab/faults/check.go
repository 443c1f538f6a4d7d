package faults

import (
	"cmp"
	"fmt"
	"slices"

	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
)

// Limits are the limits and tolerances that the checker applies to times and amounts. Times are in seconds.
type Limits struct {
	Deadline          float64 `json:"patience"  toml:"patience"`  // within which a request must be answered
	Slack             float64 `json:"slack"     toml:"slack"`     // added to time limits for delays of a busy machine
	Attempts          int     `json:"attempts"  toml:"attempts"`  // at most for one request
	CapacitySlack     float64 `json:"roomSlack" toml:"roomSlack"` // fraction by which grants may exceed a capacity
	UnneededCrossZone float64 `json:"crossing"  toml:"crossing"`  // fraction of requests that may cross without need
	RecoveryInterval  float64 `json:"turnTime"  toml:"turnTime"`  // within which a zone may recover at most once
	GrantLifetime     float64 `json:"life"      toml:"life"`      // for which a node may cross zones without the log
	PolicyWindow      float64 `json:"window"    toml:"window"`    // after a decision, for use of the previous policy
}

// DefaultLimits are the limits of docs/faults.md, with slack for a busy machine.
var DefaultLimits = Limits{
	Deadline:          4,
	Slack:             0.5,
	Attempts:          4,
	CapacitySlack:     0.02,
	UnneededCrossZone: 0.02,
	RecoveryInterval:  60,
	GrantLifetime:     10,
	PolicyWindow:      5,
}

// maxViolations is the maximum number of violations that Check lists in a verdict.
const maxViolations = 50

// Names of the checker's rules. A rule of a node's invariant monitor that has no name here gets the monitor's name with
// placementRulesPrefix before it.
const (
	ruleLog              = "agreed log"
	ruleSameContent      = "agreed log (1)"
	ruleNoStepBack       = "agreed log (2)"
	ruleOneEnd           = "agreed log (3)"
	ruleCapacity         = "plans (5)"
	ruleView             = "plans (6)"
	ruleOwnZone          = "plans (7)"
	ruleWithoutVoters    = "plans (8)"
	ruleReversals        = "plans: reversals"
	rulePolicyWindow     = "policy (9)"
	rulePolicyEnd        = "policy (10)"
	ruleLinearizable     = "policy (11)"
	ruleAttempts         = "placement: attempts"
	ruleTwoAtOnce        = "placement: two at once"
	ruleDrains           = "placement: drains"
	ruleInTime           = "placement: in time"
	ruleOneAnswer        = "placement: one answer"
	ruleExercise         = "exercise"
	placementRulesPrefix = "placement: "
)

// Details of KindCount. If one of them has a count above zero, the run is not judged.
const (
	countNoDescriptors = "out of descriptors"
	countEventsLost    = "events lost"
)

// Violation is a broken rule.
type Violation struct {
	Rule string  `json:"rule"`
	At   float64 `json:"at"` // seconds since the run began
	What string  `json:"what"`
}

// Verdict is the outcome of checking a history.
type Verdict struct {
	Violations []Violation    `json:"violations"`
	Judged     bool           `json:"judged"`
	Why        string         `json:"why,omitempty"` // why the run was not judged
	Seen       map[string]int `json:"seen"`          // how often each thing happened
	Figures    Figures        `json:"figures"`
}

// Want adds a violation for each key of Seen that has a lower count than expected. Such a run did not exercise what it
// was made to test.
func (v *Verdict) Want(expected map[string]int) {
	for what, least := range expected {
		if v.Seen[what] >= least {
			continue
		}
		v.Violations = append(v.Violations, Violation{ruleExercise, 0, fmt.Sprintf(
			"%s was seen %d times, want at least %d; the run did not exercise it", what, v.Seen[what], least)})
	}
}

// Check checks a history against the rules. The events are its only input.
func Check(events []Event, limits Limits) Verdict {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	state := newChecker(limits)
	if err := state.readFleet(events); err != nil {
		state.verdict.Judged = false
		state.verdict.Why = "the history has no valid list of nodes: " + err.Error()
		return state.verdict
	}
	for _, event := range events {
		state.check(event)
	}
	state.checkPolicyEnd(events)
	state.checkCrossings()
	state.checkWithoutVoters()
	state.computeFigures()
	return state.verdict
}

// checker holds the state of the fleet, derived from the events checked so far.
type checker struct {
	verdict Verdict
	limits  Limits
	list    *membership.List
	zones   map[string]*zoneState
	nodes   map[string]*nodeState
	faults  []Event // injected so far

	requests requestState
	plans    planState
	policies policyState
	ends     map[string]uint64 // log entry number at which each proposal ended, by proposal ID
}

// zoneState is the state of one zone, derived from the history.
type zoneState struct {
	region          string
	capacity        float64 // connections
	connections     float64
	state           failover.State // according to the newest plan
	hasState        bool
	healthySince    float64
	isHealthy       bool
	lossTransitions []lossTransition
	granted         float64 // load granted to all nodes together
}

// nodeState is the state of one node, derived from the history.
type nodeState struct {
	live      bool
	startedAt float64
	mode      string
	newest    uint64 // number of the newest plan in the node's files
	inUse     uint64 // number of the plan that the node uses
	leases    map[string]float64
	grants    grants
}

func newChecker(limits Limits) *checker {
	return &checker{
		verdict: Verdict{Violations: []Violation{}, Judged: true, Seen: map[string]int{}},
		limits:  limits,
		zones:   map[string]*zoneState{},
		nodes:   map[string]*nodeState{},
		requests: requestState{
			answers:  map[string]Event{},
			attempts: map[string]int{},
			inFlight: map[string]string{},
			draining: map[drainNotice]float64{},
		},
		plans: planState{
			digests:   map[uint64]string{},
			decoded:   map[uint64]*failover.Plan{},
			firstSeen: map[uint64]float64{},
			users:     map[uint64]int{},
		},
		policies: newPolicyState(),
		ends:     map[string]uint64{},
	}
}

// readFleet reads the fleet's zones and nodes from a history.
func (c *checker) readFleet(events []Event) error {
	var nodes []membership.Node
	for _, event := range events {
		switch event.Kind {
		case KindZone:
			zone := c.zone(event.Zone)
			zone.region = event.Detail
			zone.capacity = event.Value
		case KindNode:
			nodes = append(nodes, membership.Node{Name: event.Node, Zone: event.Zone, Voter: event.Value > 0})
		default:
		}
	}
	for i := range nodes {
		nodes[i].Region = c.zone(nodes[i].Zone).region
	}
	list, err := membership.NewList(nodes)
	c.list = list
	return err
}

// zone returns the state of a zone; it adds the zone if it is new.
func (c *checker) zone(name string) *zoneState {
	if c.zones[name] == nil {
		c.zones[name] = &zoneState{}
	}
	return c.zones[name]
}

// node returns the state of a node; it adds the node if it is new.
func (c *checker) node(name string) *nodeState {
	if c.nodes[name] == nil {
		c.nodes[name] = &nodeState{leases: map[string]float64{}}
	}
	return c.nodes[name]
}

// isLive reports whether a node's process is running.
func (c *checker) isLive(name string) bool { return c.nodes[name] != nil && c.nodes[name].live }

// violated adds a violation to the verdict, unless the verdict already has maxViolations of them.
func (c *checker) violated(rule string, at float64, format string, args ...any) {
	if len(c.verdict.Violations) < maxViolations {
		c.verdict.Violations = append(c.verdict.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
}

// count counts one occurrence in Verdict.Seen.
func (c *checker) count(what string) { c.verdict.Seen[what]++ }

// notJudged marks the run as not judged, since the harness itself had a problem.
func (c *checker) notJudged(format string, args ...any) {
	c.verdict.Judged = false
	c.verdict.Why = fmt.Sprintf(format, args...)
}

// check checks one event. The events must be checked in the order of their times.
func (c *checker) check(event Event) {
	c.count(string(event.Kind))
	switch event.Kind {
	case KindFault:
		c.count("fault " + event.Detail)
		c.faults = append(c.faults, event)
	case KindCount, KindHarnessDelay:
		c.checkHarness(event)
	case KindStart, KindCrash, KindMode, KindLease:
		c.checkNode(event)
	case KindPlan:
		c.checkPlan(event)
	case KindProposalEnd:
		c.checkProposalEnd(event)
	case KindPolicy, KindVerdict, KindCanary, KindChangeEnd, KindAdmission, KindCommand:
		c.checkPolicy(event)
	case KindAttempt, KindAttemptEnd, KindAnswer, KindGuard, KindDrain:
		c.checkRequest(event)
	case KindConnections:
		c.checkConnections(event)
	default: // no rule depends on the other kinds
	}
}

// checkHarness marks the run as not judged if the harness was late, had no descriptors left or lost events.
func (c *checker) checkHarness(event Event) {
	if event.Kind == KindHarnessDelay {
		if event.Value > c.limits.Slack {
			c.notJudged("the harness was late by %.2f s at %.1f s", event.Value, event.At)
		}
		return
	}
	c.verdict.Seen[event.Detail] += int(event.Value)
	if (event.Detail == countNoDescriptors || event.Detail == countEventsLost) && event.Value > 0 {
		c.notJudged("problem of the harness: %s, %.0f times", event.Detail, event.Value)
	}
}

// checkProposalEnd checks that all reports of a proposal's end name the same log entry.
func (c *checker) checkProposalEnd(event Event) {
	if number, ok := c.ends[event.ID]; ok && number != event.Number {
		c.violated(ruleOneEnd, event.At, "proposal %s ended at log entries %d and %d", event.ID, number, event.Number)
	}
	c.ends[event.ID] = event.Number
}

// checkConnections records the connections of a zone's servers and the peak utilization.
func (c *checker) checkConnections(event Event) {
	zone := c.zone(event.Zone)
	zone.connections = event.Value
	if zone.capacity > 0 {
		utilization := event.Value / zone.capacity
		c.verdict.Figures.PeakUtilization = max(c.verdict.Figures.PeakUtilization, utilization)
	}
}
