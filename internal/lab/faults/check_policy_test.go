package faults

import (
	"slices"
	"testing"
)

// policyFleet holds the first events of each history in policyCases. The fleet has one node, which is a voter.
var policyFleet = []Event{
	{Kind: KindZone, Zone: "z", Detail: "r", Value: 10},
	{Kind: KindNode, Node: "a", Zone: "z", Value: 1},
	{Kind: KindStart, Node: "a", Detail: FilesNew},
}

// decided returns the event of a policy in force that node a has stored.
func decided(at float64, number uint64, digest string) Event {
	return Event{At: at, Kind: KindPolicy, Node: "a", Number: number, Digest: digest, Detail: policyDecided}
}

// admitted returns the event of a request that node a admitted under a policy.
func admitted(at float64, number uint64) Event {
	return Event{At: at, Kind: KindAdmission, Node: "a", Number: number, Detail: AdmittedByLease, ID: "q"}
}

// canaryStarted returns the event of canaries that may use policy 1 from second 1 on.
func canaryStarted() Event { return Event{At: 1, Kind: KindCanary, Node: "a", ID: "c", Number: 1} }

// changeEnd returns the event of the end of change c as number 1.
func changeEnd(at float64, result Result) Event {
	return Event{At: at, Kind: KindChangeEnd, Node: "a", ID: "c", Result: result, Number: 1}
}

// proposed returns the event of the end of the command that proposed change c.
func proposed(start, at float64, result Result, number uint64) Event {
	return Event{At: at, Kind: KindCommand, ID: "c", Detail: verbPropose, Value: start, Result: result, Number: number}
}

// queried returns the event of the end of a command that queried the policy in force.
func queried(id string, start, at float64, number uint64) Event {
	return Event{At: at, Kind: KindCommand, ID: id, Detail: verbStatus, Value: start, Result: ResultOK, Number: number}
}

// policyCases are small histories. want is the first rule that a history breaks, or empty if the history breaks none.
var policyCases = []struct {
	name   string
	events []Event
	want   string
}{
	{"valid history", []Event{
		admitted(1, 0),
		decided(2, 1, "x"),
		admitted(2.1, 0),
		admitted(3, 1),
		changeEnd(2, ResultAccepted),
		proposed(1, 3, ResultAccepted, 1),
		queried("s", 3.1, 3.2, 1),
	}, ""},
	{"admitted under an undecided number", []Event{admitted(1, 3)}, rulePolicyWindow},
	{"admitted before the decision", []Event{admitted(1, 1), decided(3, 1, "x")}, rulePolicyWindow},
	{"admitted under the old policy after its window", []Event{
		decided(2, 1, "x"),
		decided(3, 2, "y"),
		admitted(9, 1),
	}, rulePolicyWindow},
	{"admitted by a canary", []Event{
		canaryStarted(),
		admitted(2, 1),
		changeEnd(3, ResultAbandoned),
		admitted(7, 1),
	}, ""},
	{"admitted by a canary after the change was abandoned", []Event{
		canaryStarted(),
		changeEnd(3, ResultAbandoned),
		admitted(9, 1),
	}, rulePolicyWindow},
	{"one number with two documents", []Event{decided(2, 1, "x"), decided(3, 1, "y")}, rulePolicyEnd},
	{"one change with two ends", []Event{
		changeEnd(2, ResultAccepted),
		changeEnd(3, ResultAbandoned),
	}, rulePolicyEnd},
	{"old policy in use at the end", []Event{
		decided(2, 1, "x"),
		decided(20, 2, "y"),
		admitted(26, 1),
	}, rulePolicyWindow},
	{"decided despite an objection", []Event{
		{At: 1, Kind: KindVerdict, Node: "a", Number: 1, Result: ResultNo},
		decided(2, 1, "x"),
	}, rulePolicyEnd},
	{"query returns the policy before an accepted change", []Event{
		decided(1, 1, "x"),
		changeEnd(1, ResultAccepted),
		proposed(0, 2, ResultAccepted, 1),
		queried("s", 2.5, 3, 0),
	}, ruleLinearizable},
	{"second query no longer sees a change that the first saw", []Event{
		decided(1, 1, "x"),
		changeEnd(1, ResultAccepted),
		queried("s", 1, 2, 1),
		queried("s2", 3, 4, 0),
		proposed(0, 5, ResultAccepted, 1),
	}, ruleLinearizable},
	{"rejected change is in force", []Event{
		decided(1, 1, "x"),
		changeEnd(1, ResultAccepted),
		proposed(0, 2, ResultRejected, 0),
	}, ruleLinearizable},
}

// TestCheckFindsBrokenPolicyRules checks that Check finds the broken rule in histories of policies, and no violation in
// valid ones.
func TestCheckFindsBrokenPolicyRules(t *testing.T) {
	for _, test := range policyCases {
		t.Run(test.name, func(t *testing.T) {
			verdict := Check(append(slices.Clone(policyFleet), test.events...), DefaultLimits)
			rule := ""
			if len(verdict.Violations) > 0 {
				rule = verdict.Violations[0].Rule
			}
			if rule != test.want {
				t.Errorf("Check: got violations %+v, want the first of rule %q", verdict.Violations, test.want)
			}
		})
	}
}
