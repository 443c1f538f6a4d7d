package faults

import (
	"bytes"
	"slices"
	"testing"

	"spurwinch/internal/failover"
)

// encodedPlan is a plan of one zone with a capacity of 10, in which each of two nodes may have a load.
func encodedPlan(load float32) []byte {
	plan := &failover.Plan{
		Zones:          []failover.Zone{{Name: "z", Nodes: 2, Listed: 2, Capacity: 10, Demand: []float32{}}},
		AdmitFractions: [][]int{{}},
		Grants:         []failover.Grant{{Load: load}},
	}
	return plan.Encode()
}

// plan is the event of a node that adopts a plan.
func plan(at float64, node string, number uint64, digest string, encoded []byte) Event {
	return Event{At: at, Kind: KindPlan, Node: node, Zone: "z", Number: number, Digest: digest, Plan: encoded}
}

// mode is the event of a node that changes its mode.
func mode(at float64, node, name string, number uint64) Event {
	return Event{At: at, Kind: KindMode, Node: node, Mode: name, Number: number}
}

// answer is the event of an answer to the request q.
func answer(result Result, took float64) Event {
	return Event{Kind: KindAnswer, ID: "q", Zone: "z", Result: result, Took: took}
}

// crash is the event of a node that crashes.
func crash(at float64) Event { return Event{At: at, Kind: KindCrash, Node: "a"} }

// restart is the event of a node that starts again.
func restart(at float64, files string) Event {
	return Event{At: at, Kind: KindStart, Node: "a", Detail: files}
}

// fleetEvents begin each history of the tests: two nodes in a zone, of which one votes.
var fleetEvents = []Event{
	{Kind: KindZone, Zone: "z", Detail: "r", Value: 100},
	{Kind: KindNode, Node: "a", Zone: "z", Value: 1},
	{Kind: KindNode, Node: "b", Zone: "z"},
	{Kind: KindStart, Node: "a", Detail: FilesNew},
	{Kind: KindStart, Node: "b", Detail: FilesNew},
}

var (
	soundPlan    = encodedPlan(10)
	overfullPlan = encodedPlan(30)
)

// checkCases are small histories with the first rule that each breaks; empty: none.
var checkCases = []struct {
	name   string
	events []Event
	rule   string
	judged bool
}{
	{"sound", []Event{
		plan(1, "a", 3, "x", soundPlan),
		plan(2, "b", 3, "x", soundPlan),
		mode(2, "a", "planned", 3),
		mode(2, "b", "planned", 3),
		{At: 3, Kind: KindAnswer, ID: "q", Zone: "z", To: "z", Result: ResultServed, Took: 0.1},
	}, "", true},
	{"two contents", []Event{
		plan(1, "a", 3, "x", soundPlan),
		plan(2, "b", 3, "y", soundPlan),
	}, ruleSameContent, true},
	{"a number goes back", []Event{
		plan(1, "a", 3, "x", soundPlan),
		plan(2, "a", 2, "y", soundPlan),
	}, ruleNoStepBack, true},
	{"through a crash", []Event{
		plan(1, "a", 3, "x", soundPlan),
		crash(2),
		restart(3, FilesIntact),
		mode(3, "a", "ground", 2),
	}, ruleNoStepBack, true},
	{"files lost", []Event{
		plan(1, "a", 3, "x", soundPlan),
		crash(2),
		restart(3, FilesLost),
		plan(4, "a", 2, "y", soundPlan),
	}, "", true},
	{"a proposal ends twice", []Event{
		{Kind: KindProposalEnd, ID: "p", Number: 4},
		{Kind: KindProposalEnd, ID: "p", Number: 5},
	}, ruleOneEnd, true},
	{"over the capacity", []Event{
		plan(1, "a", 3, "x", overfullPlan),
		mode(2, "a", "planned", 3),
	}, ruleCapacity, true},
	{"two answers", []Event{answer(ResultServed, 0), answer(ResultRejected, 0)}, ruleOneAnswer, true},
	{"a late answer", []Event{answer(ResultServed, 5)}, ruleInTime, true},
	{"two at once", []Event{
		{Kind: KindAttempt, ID: "q", To: "h"},
		{Kind: KindAttempt, ID: "q", To: "i"},
	}, ruleTwoAtOnce, true},
	{"five attempts", slices.Repeat([]Event{
		{Kind: KindAttempt, ID: "q", To: "h"},
		{Kind: KindAttemptEnd, ID: "q", To: "h"},
	}, 5), ruleAttempts, true},
	{"a step that the monitor prevented", []Event{
		{Kind: KindGuard, ID: "q", Node: "a", Detail: "too_many_attempts"},
	}, ruleAttempts, true},
	{"another one", []Event{
		{Kind: KindGuard, ID: "q", Node: "a", Detail: "unsafe_repeat"},
	}, "placement: unsafe_repeat", true},
	{"the harness was late", []Event{{Kind: KindHarnessDelay, Value: 3}}, "", false},
	{"it had no descriptor left", []Event{{Kind: KindCount, Detail: countNoDescriptors, Value: 1}}, "", false},
}

// TestCheck checks, for small histories, which rule each breaks, and that a sound one breaks none. Each is written and
// read before.
func TestCheck(t *testing.T) {
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
				t.Errorf("violations %v, judged %v; wanted %q, %v",
					verdict.Violations, verdict.Judged, test.rule, test.judged)
			}
			verdict.Want(map[string]int{"never": 1})
			if last := verdict.Violations[len(verdict.Violations)-1]; last.Rule != ruleExercise {
				t.Errorf("what did not happen is not missed: %v", last)
			}
		})
	}
}
