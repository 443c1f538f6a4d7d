package faults

import (
	"bytes"
	"slices"
	"testing"

	"spurwinch/internal/failover"
)

// encodedPlan returns an encoded plan of one zone with a capacity of 10. It grants load, which its two nodes share
// equally.
func encodedPlan(load float32) []byte {
	plan := &failover.Plan{
		Zones:          []failover.Zone{{Name: "z", Nodes: 2, Listed: 2, Capacity: 10, Demand: []float32{}}},
		AdmitFractions: [][]int{{}},
		Grants:         []failover.Grant{{Load: load}},
	}
	return plan.Encode()
}

// plan returns the event of a node that adopts a plan.
func plan(at float64, node string, number uint64, digest string, encoded []byte) Event {
	return Event{At: at, Kind: KindPlan, Node: node, Zone: "z", Number: number, Digest: digest, Plan: encoded}
}

// mode returns the event of a node that changes its mode.
func mode(at float64, node, name string, number uint64) Event {
	return Event{At: at, Kind: KindMode, Node: node, Mode: name, Number: number}
}

// answer returns the event of an answer to request q.
func answer(result Result, took float64) Event {
	return Event{Kind: KindAnswer, ID: "q", Zone: "z", Result: result, Took: took}
}

// crash returns the event of a crash of node a.
func crash(at float64) Event { return Event{At: at, Kind: KindCrash, Node: "a"} }

// restart returns the event of a restart of node a.
func restart(at float64, files string) Event {
	return Event{At: at, Kind: KindStart, Node: "a", Detail: files}
}

// fleetEvents are the first events of each history in checkCases. The fleet has one zone with two nodes; one of them is
// a voter.
var fleetEvents = []Event{
	{Kind: KindZone, Zone: "z", Detail: "r", Value: 100},
	{Kind: KindNode, Node: "a", Zone: "z", Value: 1},
	{Kind: KindNode, Node: "b", Zone: "z"},
	{Kind: KindStart, Node: "a", Detail: FilesNew},
	{Kind: KindStart, Node: "b", Detail: FilesNew},
}

var (
	validPlan         = encodedPlan(10)
	overcommittedPlan = encodedPlan(30)
)

// checkCases are small histories. rule is the first rule that a history breaks, or empty if the history breaks none.
var checkCases = []struct {
	name   string
	events []Event
	rule   string
	judged bool
}{
	{"valid history", []Event{
		plan(1, "a", 3, "x", validPlan),
		plan(2, "b", 3, "x", validPlan),
		mode(2, "a", "planned", 3),
		mode(2, "b", "planned", 3),
		{At: 3, Kind: KindAnswer, ID: "q", Zone: "z", To: "z", Result: ResultServed, Took: 0.1},
	}, "", true},
	{"one plan number with two contents", []Event{
		plan(1, "a", 3, "x", validPlan),
		plan(2, "b", 3, "y", validPlan),
	}, ruleSameContent, true},
	{"node adopts an older plan", []Event{
		plan(1, "a", 3, "x", validPlan),
		plan(2, "a", 2, "y", validPlan),
	}, ruleNoStepBack, true},
	{"older plan after a crash with intact files", []Event{
		plan(1, "a", 3, "x", validPlan),
		crash(2),
		restart(3, FilesIntact),
		mode(3, "a", "ground", 2),
	}, ruleNoStepBack, true},
	{"older plan after a crash that lost the files", []Event{
		plan(1, "a", 3, "x", validPlan),
		crash(2),
		restart(3, FilesLost),
		plan(4, "a", 2, "y", validPlan),
	}, "", true},
	{"proposal ends at two log entries", []Event{
		{Kind: KindProposalEnd, ID: "p", Number: 4},
		{Kind: KindProposalEnd, ID: "p", Number: 5},
	}, ruleOneEnd, true},
	{"grants exceed the capacity", []Event{
		plan(1, "a", 3, "x", overcommittedPlan),
		mode(2, "a", "planned", 3),
	}, ruleCapacity, true},
	{"two answers", []Event{answer(ResultServed, 0), answer(ResultRejected, 0)}, ruleOneAnswer, true},
	{"late answer", []Event{answer(ResultServed, 5)}, ruleInTime, true},
	{"two attempts at once", []Event{
		{Kind: KindAttempt, ID: "q", To: "h"},
		{Kind: KindAttempt, ID: "q", To: "i"},
	}, ruleTwoAtOnce, true},
	{"five attempts", slices.Repeat([]Event{
		{Kind: KindAttempt, ID: "q", To: "h"},
		{Kind: KindAttemptEnd, ID: "q", To: "h"},
	}, 5), ruleAttempts, true},
	{"invariant monitor prevented an attempt", []Event{
		{Kind: KindGuard, ID: "q", Node: "a", Detail: "too_many_attempts"},
	}, ruleAttempts, true},
	{"invariant monitor prevented a repeat", []Event{
		{Kind: KindGuard, ID: "q", Node: "a", Detail: "unsafe_repeat"},
	}, "placement: unsafe_repeat", true},
	{"harness was late", []Event{{Kind: KindHarnessDelay, Value: 3}}, "", false},
	{"harness had no descriptors left", []Event{{Kind: KindCount, Detail: countNoDescriptors, Value: 1}}, "", false},
}

// TestCheckFindsBrokenRules checks that Check finds the broken rule in small histories, and no violation in valid ones.
// It writes and reads each history first, and checks that Want reports an expectation that was not met.
func TestCheckFindsBrokenRules(t *testing.T) {
	for _, test := range checkCases {
		t.Run(test.name, func(t *testing.T) {
			var file bytes.Buffer
			if err := Write(&file, append(slices.Clone(fleetEvents), test.events...)); err != nil {
				t.Fatal(err)
			}
			events, err := Read(&file)
			if err != nil {
				t.Fatal(err)
			}
			verdict := Check(events, DefaultLimits)
			rule := ""
			if len(verdict.Violations) > 0 {
				rule = verdict.Violations[0].Rule
			}
			if rule != test.rule || verdict.Judged != test.judged {
				t.Errorf("Check: got violations %v, judged %v, want the first of rule %q, judged %v",
					verdict.Violations, verdict.Judged, test.rule, test.judged)
			}
			verdict.Want(map[string]int{"never": 1})
			if last := verdict.Violations[len(verdict.Violations)-1]; last.Rule != ruleExercise {
				t.Errorf("Want with an unmet expectation: got last violation %v, want one of rule \"exercise\"", last)
			}
		})
	}
}
