package faults

import "testing"

// TestPolicyRules holds that histories that break a rule of policies are found, and a sound one is not.
func TestPolicyRules(t *testing.T) {
	start := []Event{{Kind: KindZone, Zone: "z", Detail: "r", Value: 10}, {Kind: KindNode, Node: "a", Zone: "z", Value: 1}, {Kind: KindStart, Node: "a", Detail: "new"}}
	decided := func(at float64, number uint64, digest string) Event {
		return Event{At: at, Kind: KindPolicy, Node: "a", Number: number, Digest: digest, Detail: "decided"}
	}
	admit := func(at float64, number uint64) Event {
		return Event{At: at, Kind: KindAdmission, Node: "a", Number: number, Detail: "lease", ID: "q"}
	}
	op := func(verb, id string, began, at float64, result Result, number uint64) Event {
		return Event{At: at, Kind: KindCommand, ID: id, Detail: verb, Value: began, Result: result, Number: number}
	}
	ended := func(at float64, id string, result Result, number uint64) Event {
		return Event{At: at, Kind: KindChangeEnd, Node: "a", ID: id, Result: result, Number: number}
	}
	for _, c := range []struct {
		name   string
		events []Event
		want   string
	}{
		{"sound", []Event{admit(1, 0), decided(2, 1, "x"), admit(2.1, 0), admit(3, 1), ended(2, "c", "taken", 1), op("propose", "c", 1, 3, "taken", 1), op("status", "s", 3.1, 3.2, "ok", 1)}, ""},
		{"under a number that nobody decided", []Event{admit(1, 3)}, "policy (9)"},
		{"before the decision", []Event{admit(1, 1), decided(3, 1, "x")}, "policy (9)"},
		{"the old one after its window", []Event{decided(2, 1, "x"), decided(3, 2, "y"), admit(9, 1)}, "policy (9)"},
		{"on trial", []Event{{At: 1, Kind: KindCanary, Node: "a", ID: "c", Number: 1}, admit(2, 1), ended(3, "c", "given up", 1), admit(7, 1)}, ""},
		{"on trial after it was given up", []Event{{At: 1, Kind: KindCanary, Node: "a", ID: "c", Number: 1}, ended(3, "c", "given up", 1), admit(9, 1)}, "policy (9)"},
		{"one number, two documents", []Event{decided(2, 1, "x"), decided(3, 1, "y")}, "policy (10)"},
		{"one change, two ends", []Event{ended(2, "c", "taken", 1), ended(3, "c", "given up", 1)}, "policy (10)"},
		{"somebody serves by the old one at the end", []Event{decided(2, 1, "x"), decided(20, 2, "y"), admit(26, 1)}, "policy (9)"},
		{"a no that did not count", []Event{{At: 1, Kind: KindVerdict, Node: "a", Number: 1, Result: "no"}, decided(2, 1, "x")}, "policy (10)"},
		{"told what was in force before", []Event{decided(1, 1, "x"), ended(1, "c", "taken", 1), op("propose", "c", 0, 2, "taken", 1), op("status", "s", 2.5, 3, "ok", 0)}, "policy (11)"},
		{"two that see a change and its undoing", []Event{decided(1, 1, "x"), ended(1, "c", "taken", 1), op("status", "s", 1, 2, "ok", 1), op("status", "s2", 3, 4, "ok", 0), op("propose", "c", 0, 5, "taken", 1)}, "policy (11)"},
		{"refused, and in force", []Event{decided(1, 1, "x"), ended(1, "c", "taken", 1), op("propose", "c", 0, 2, "refused", 0)}, "policy (11)"},
	} {
		v := Check(append(append([]Event{}, start...), c.events...), UsualLimits)
		if c.want == "" && len(v.Violations) > 0 || c.want != "" && (len(v.Violations) == 0 || v.Violations[0].Rule != c.want) {
			t.Errorf("%s: %+v, wanted %q", c.name, v.Violations, c.want)
		}
	}
}
