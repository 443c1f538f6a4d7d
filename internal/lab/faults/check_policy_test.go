package faults

import (
	"slices"
	"testing"
)

// policyFleet begins each history of policies: one node, which votes.
var policyFleet = []Event{
	{Kind: KindZone, Zone: "z", Detail: "r", Value: 10},
	{Kind: KindNode, Node: "a", Zone: "z", Value: 1},
	{Kind: KindStart, Node: "a", Detail: FilesNew},
}

// decided is the event of a policy in force.
func decided(at float64, number uint64, digest string) Event {
	return Event{At: at, Kind: KindPolicy, Node: "a", Number: number, Digest: digest, Detail: policyDecided}
}

// admitted is the event of a request that was admitted under a policy.
func admitted(at float64, number uint64) Event {
	return Event{At: at, Kind: KindAdmission, Node: "a", Number: number, Detail: AdmittedByLease, ID: "q"}
}

// onTrial is the event of canaries that may serve by policy 1 from second 1 on.
func onTrial() Event { return Event{At: 1, Kind: KindCanary, Node: "a", ID: "c", Number: 1} }

// changeEnd is the event of the end of change c as number 1.
func changeEnd(at float64, result Result) Event {
	return Event{At: at, Kind: KindChangeEnd, Node: "a", ID: "c", Result: result, Number: 1}
}

// proposed is the event of the end of the command that proposed change c.
func proposed(start, at float64, result Result, number uint64) Event {
	return Event{At: at, Kind: KindCommand, ID: "c", Detail: verbPropose, Value: start, Result: result, Number: number}
}

// queried is the event of the end of a command that asked for the policy in force.
func queried(id string, start, at float64, number uint64) Event {
	return Event{At: at, Kind: KindCommand, ID: id, Detail: verbStatus, Value: start, Result: ResultOK, Number: number}
}

// policyCases are small histories with the first rule that each breaks; empty: none.
var policyCases = []struct {
	name   string
	events []Event
	want   string
}{
	{"sound", []Event{
		admitted(1, 0),
		decided(2, 1, "x"),
		admitted(2.1, 0),
		admitted(3, 1),
		changeEnd(2, ResultAccepted),
		proposed(1, 3, ResultAccepted, 1),
		queried("s", 3.1, 3.2, 1),
	}, ""},
	{"under a number that nobody decided", []Event{admitted(1, 3)}, rulePolicyWindow},
	{"before the decision", []Event{admitted(1, 1), decided(3, 1, "x")}, rulePolicyWindow},
	{"the old one after its window", []Event{
		decided(2, 1, "x"),
		decided(3, 2, "y"),
		admitted(9, 1),
	}, rulePolicyWindow},
	{"on trial", []Event{
		onTrial(),
		admitted(2, 1),
		changeEnd(3, ResultAbandoned),
		admitted(7, 1),
	}, ""},
	{"on trial after it was abandoned", []Event{
		onTrial(),
		changeEnd(3, ResultAbandoned),
		admitted(9, 1),
	}, rulePolicyWindow},
	{"one number, two documents", []Event{decided(2, 1, "x"), decided(3, 1, "y")}, rulePolicyEnd},
	{"one change, two ends", []Event{
		changeEnd(2, ResultAccepted),
		changeEnd(3, ResultAbandoned),
	}, rulePolicyEnd},
	{"somebody serves by the old one at the end", []Event{
		decided(2, 1, "x"),
		decided(20, 2, "y"),
		admitted(26, 1),
	}, rulePolicyWindow},
	{"a no that did not count", []Event{
		{At: 1, Kind: KindVerdict, Node: "a", Number: 1, Result: ResultNo},
		decided(2, 1, "x"),
	}, rulePolicyEnd},
	{"a query that returns what was in force before", []Event{
		decided(1, 1, "x"),
		changeEnd(1, ResultAccepted),
		proposed(0, 2, ResultAccepted, 1),
		queried("s", 2.5, 3, 0),
	}, ruleLinearizable},
	{"two queries that see a change and its undoing", []Event{
		decided(1, 1, "x"),
		changeEnd(1, ResultAccepted),
		queried("s", 1, 2, 1),
		queried("s2", 3, 4, 0),
		proposed(0, 5, ResultAccepted, 1),
	}, ruleLinearizable},
	{"rejected, and in force", []Event{
		decided(1, 1, "x"),
		changeEnd(1, ResultAccepted),
		proposed(0, 2, ResultRejected, 0),
	}, ruleLinearizable},
}

// TestCheckPolicy checks that histories that break a rule on policies are found, and a sound one is not.
func TestCheckPolicy(t *testing.T) {
	for _, test := range policyCases {
		t.Run(test.name, func(t *testing.T) {
			verdict := Check(append(slices.Clone(policyFleet), test.events...), DefaultLimits)
			rule := ""
			if len(verdict.Violations) > 0 {
				rule = verdict.Violations[0].Rule
			}
			if rule != test.want {
				t.Errorf("violations %+v; wanted %q", verdict.Violations, test.want)
			}
		})
	}
}
