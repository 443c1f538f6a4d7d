package faults

import (
	"cmp"
	"fmt"
	"slices"

	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
)

// Limits are the tolerances of the rules on time and amounts. Times are in seconds.
type Limits struct {
	Deadline          float64 `json:"patience"  toml:"patience"`  // in which an answer is due
	Slack             float64 `json:"slack"     toml:"slack"`     // by which a machine may be late
	Attempts          int     `json:"attempts"  toml:"attempts"`  // of one request
	CapacitySlack     float64 `json:"roomSlack" toml:"roomSlack"` // of grants over a zone's capacity, as part of it
	UnneededCrossZone float64 `json:"crossing"  toml:"crossing"`  // part of the requests that may cross without need
	RecoveryInterval  float64 `json:"turnTime"  toml:"turnTime"`  // in which a zone may recover once
	GrantLifetime     float64 `json:"life"      toml:"life"`      // that a node may cross zones without the log
	PolicyWindow      float64 `json:"window"    toml:"window"`    // after a decision, for the policy before it
}

// DefaultLimits are the figures of docs/faults.md, with the slack of a busy machine.
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

// maxViolations bounds the violations of a verdict.
const maxViolations = 50

// Names of the rules that are not those of a node's own invariant monitor.
const (
	ruleLog            = "agreed log"
	ruleSameContent    = "agreed log (1)"
	ruleNoStepBack     = "agreed log (2)"
	ruleOneEnd         = "agreed log (3)"
	ruleCapacity       = "plans (5)"
	ruleView           = "plans (6)"
	ruleOwnZone        = "plans (7)"
	ruleWithoutVoters  = "plans (8)"
	ruleReversals      = "plans: reversals"
	rulePolicyWindow   = "policy (9)"
	rulePolicyEnd      = "policy (10)"
	ruleLinearizable   = "policy (11)"
	ruleAttempts       = "placement: attempts"
	ruleTwoAtOnce      = "placement: two at once"
	ruleDrains         = "placement: drains"
	ruleInTime         = "placement: in time"
	ruleOneAnswer      = "placement: one answer"
	ruleExercise       = "exercise"
	placementRulesWord = "placement: "
)

// Details of KindCount after which a run is not judged.
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
	Why        string         `json:"why,omitempty"` // why it was not judged
	Seen       map[string]int `json:"seen"`          // what happened, and how often
	Figures    Figures        `json:"figures"`
}

// Want adds a violation for each thing that a run should have exercised and did not. expected has the least counts.
func (v *Verdict) Want(expected map[string]int) {
	for what, least := range expected {
		if v.Seen[what] >= least {
			continue
		}
		v.Violations = append(v.Violations, Violation{ruleExercise, 0, fmt.Sprintf(
			"%s was seen %d times, wanted %d: this run shows nothing", what, v.Seen[what], least)})
	}
}

// Check checks a history; it reads nothing else.
func Check(events []Event, limits Limits) Verdict {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	state := newChecker(limits)
	if err := state.readFleet(events); err != nil {
		state.verdict.Judged = false
		state.verdict.Why = "the history names no nodes: " + err.Error()
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

// checker is the state of the fleet as the history so far shows it.
type checker struct {
	verdict Verdict
	limits  Limits
	list    *membership.List
	zones   map[string]*zoneState
	nodes   map[string]*nodeState
	faults  []Event // so far

	requests requestState
	plans    planState
	policies policyState
	ends     map[string]uint64 // proposals, by their numbers on the log
}

// zoneState is what the history shows of one zone.
type zoneState struct {
	region       string
	capacity     float64 // connections
	connections  float64
	state        failover.State // in the newest plan
	hasState     bool
	healthySince float64
	isHealthy    bool
	turns        []turn
	granted      float64 // to all nodes together
}

// nodeState is what the history shows of one node.
type nodeState struct {
	live      bool
	startedAt float64
	mode      string
	newest    uint64 // plan, since its files are these
	inUse     uint64 // plan
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

// readFleet reads the zones and the nodes of a history.
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

// zone returns the state of a zone.
func (c *checker) zone(name string) *zoneState {
	if c.zones[name] == nil {
		c.zones[name] = &zoneState{}
	}
	return c.zones[name]
}

// node returns the state of a node.
func (c *checker) node(name string) *nodeState {
	if c.nodes[name] == nil {
		c.nodes[name] = &nodeState{leases: map[string]float64{}}
	}
	return c.nodes[name]
}

// isLive reports whether a node's process runs.
func (c *checker) isLive(name string) bool { return c.nodes[name] != nil && c.nodes[name].live }

// violated adds a violation.
func (c *checker) violated(rule string, at float64, format string, args ...any) {
	if len(c.verdict.Violations) < maxViolations {
		c.verdict.Violations = append(c.verdict.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
}

// count counts what happened.
func (c *checker) count(what string) { c.verdict.Seen[what]++ }

// notJudged notes that the run shows nothing since the harness itself had trouble.
func (c *checker) notJudged(format string, args ...any) {
	c.verdict.Judged = false
	c.verdict.Why = fmt.Sprintf(format, args...)
}

// check checks one event after those before it.
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
	default: // the others say nothing about a rule
	}
}

// checkHarness decides whether the harness itself was in order.
func (c *checker) checkHarness(event Event) {
	if event.Kind == KindHarnessDelay {
		if event.Value > c.limits.Slack {
			c.notJudged("the laboratory itself was late by %.2f s at %.1f s", event.Value, event.At)
		}
		return
	}
	c.verdict.Seen[event.Detail] += int(event.Value)
	if (event.Detail == countNoDescriptors || event.Detail == countEventsLost) && event.Value > 0 {
		c.notJudged("the laboratory itself: %s, %.0f times", event.Detail, event.Value)
	}
}

// checkProposalEnd checks that a proposal has one end.
func (c *checker) checkProposalEnd(event Event) {
	if number, ok := c.ends[event.ID]; ok && number != event.Number {
		c.violated(ruleOneEnd, event.At, "proposal %s ended at %d and at %d", event.ID, number, event.Number)
	}
	c.ends[event.ID] = event.Number
}

// checkConnections notes how full a zone's servers are.
func (c *checker) checkConnections(event Event) {
	zone := c.zone(event.Zone)
	zone.connections = event.Value
	if zone.capacity > 0 {
		utilization := event.Value / zone.capacity
		c.verdict.Figures.PeakUtilization = max(c.verdict.Figures.PeakUtilization, utilization)
	}
}
