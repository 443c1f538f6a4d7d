package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validPolicy = `attempts = 3
over_share_worth = 0.1
[[class]]
name = "gold"
aim = "500ms"
patience = "3s"
worth = 2.0
without = "ground"
[[class]]
name = "plain"
aim = "800ms"
patience = "4s"
[[tenant]]
name = "t"
connections = 40.0
[ground]
attempts = 1
patience = "2s"
[needs]
descriptors = 512
[plan]
stay = ["plain"]
[[far]]
between = ["a", "b"]
cost = 2.0
`

// TestReadPolicyValuesAndFaults checks the values of a valid document, and that the error for an invalid one gives the
// line and what is allowed.
func TestReadPolicyValuesAndFaults(t *testing.T) {
	document, err := ReadPolicy("p", []byte(validPolicy), 0)
	if err != nil {
		t.Fatal(err)
	}
	gold := document.Classes[0]
	if document.Attempts != 3 || document.RetryAfter != time.Second {
		t.Errorf("ReadPolicy: got %+v, want 3 attempts and a retry after 1s", document)
	}
	if gold.Deadline != 3*time.Second || !gold.ServedByBase || document.Classes[1].Priority != 1 {
		t.Errorf("classes: got %+v, want gold with 3s and the base policy, plain with priority 1", document.Classes)
	}
	if document.Failover.UtilizationLimit != 0.85 || document.Failover.RegionDistances[0].Cost != 2 {
		t.Errorf("failover rules: got %+v, want the limit 0.85 and the cost 2", document.Failover)
	}
	for _, test := range []struct {
		old, new, want string
		level          int
	}{
		{"attempts = 3", "attempts = 9", "p:1: attempts = 9: must be between 1 and 4", 0},
		{"attempts = 3", "atempts = 3", "p:1: unknown key \"atempts\"", 0},
		{
			`without = "ground"`, `without = "x"`,
			`p:8: class "gold": without = "x": must be "refuse" or "ground"`, 0,
		},
		{
			`patience = "2s"`, `patience = "9s"`,
			`p:18: [ground] patience = 9s: must be at most the patience of class "gold", 3s`, 0,
		},
		{`stay = ["plain"]`, `stay = ["none"]`, `p:22: stay: no class "none"`, 0},
		{"", "", `p:2: unknown key "over_share_worth"`, 1},
		{`between = ["a", "b"]`, `between = ["a"]`, "p:24: [[far]]: between", 0},
	} {
		_, err := ReadPolicy("p", []byte(strings.Replace(validPolicy, test.old, test.new, 1)), test.level)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("ReadPolicy with %s: got error %v, want %s", test.new, err, test.want)
		}
	}
}

// fleetFiles writes a key, a list of nodes with a [policy] table and an operator's file with a [fleet] table, and
// returns the path of the operator's file. policy and fleet are additional lines of the two tables.
func fleetFiles(t *testing.T, policy, fleet string) string {
	t.Helper()
	dir := t.TempDir()
	write := func(name string, lines ...string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	key := write("key", strings.Repeat("k", minFleetKeyBytes))
	nodes := write("nodes",
		"[policy]", policy,
		"[[node]]", `name = "a"`, `addr = "127.0.0.1:1"`, `zone = "z"`,
		"[[node]]", `name = "v"`, `addr = "127.0.0.1:2"`, `zone = "z"`, "voter = true")
	return write("operator",
		"[fleet]", `self = "a"`, `listen = "127.0.0.1:0"`, `nodes = "`+nodes+`"`, `key_file = "`+key+`"`, fleet)
}

// TestFleetPolicyRequirements checks the errors for an operator's file of a fleet that has its policy on the log.
func TestFleetPolicyRequirements(t *testing.T) {
	for _, test := range []struct{ policy, fleet, want string }{
		{"", `dir = "d"`, ""},
		{`window = "1s"`, `dir = "d"`, "[policy] window = \"1s\": must be between 2s and 5m"},
		{"", "", "[fleet] without dir: the fleet has its policy on the log"},
		{
			"", "dir = \"d\"\ncluster = \"c\"",
			"[fleet] cluster = \"c\": a fleet with its policy on the log serves the platform's front end",
		},
		{"", "dir = \"d\"\npolicy_level = 9", "[fleet] policy_level = 9: must be 0 (all levels) or 1 to 2"},
	} {
		_, err := ReadOperator(fleetFiles(t, test.policy, test.fleet))
		if test.want == "" && err != nil {
			t.Errorf("ReadOperator with policy %q and fleet %q: got error %v, want none", test.policy, test.fleet, err)
		}
		if test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
			t.Errorf("ReadOperator with policy %q and fleet %q: got error %v, want %q",
				test.policy, test.fleet, err, test.want)
		}
	}
}
