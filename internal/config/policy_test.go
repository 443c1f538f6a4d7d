package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const soundPolicy = `attempts = 3
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

// TestPolicy holds what a document says, and that a fault is told with its line and what would be right.
func TestPolicy(t *testing.T) {
	d, err := ReadPolicy("p", []byte(soundPolicy), 0)
	if err != nil {
		t.Fatal(err)
	}
	if g := d.Classes[0]; d.Attempts != 3 || g.Deadline != 3*time.Second || !g.ServedByBase || d.Classes[1].Priority != 1 || d.Failover.Limit != 0.85 || d.Failover.Far[0].Cost != 2 || d.RetryAfter != time.Second {
		t.Errorf("%+v", d)
	}
	for _, c := range []struct {
		old, new, want string
		level          int
	}{
		{"attempts = 3", "attempts = 9", "p:1: attempts = 9: 1 to 4 are wanted", 0},
		{"attempts = 3", "atempts = 3", "p:1: unknown key \"atempts\"", 0},
		{`without = "ground"`, `without = "x"`, `p:8: class "gold": without = "x": "refuse" or "ground" is wanted`, 0},
		{`patience = "2s"`, `patience = "9s"`, `p:18: [ground] patience = 9s: class "gold" has 3s`, 0},
		{`stay = ["plain"]`, `stay = ["none"]`, `p:22: stay: no class "none"`, 0},
		{"", "", `p:2: unknown key "over_share_worth"`, 1},
		{`between = ["a", "b"]`, `between = ["a"]`, "p:23: [[far]]: between", 0},
	} {
		_, err := ReadPolicy("p", []byte(strings.Replace(soundPolicy, c.old, c.new, 1)), c.level)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, wanted %s", c.new, err, c.want)
		}
	}
}

// TestFleetPolicy holds what a fleet with its policy on the log needs.
func TestFleetPolicy(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	key := write("key", strings.Repeat("k", 32))
	for _, c := range []struct{ policy, fleet, want string }{
		{"", "dir = \"d\"", ""},
		{"window = \"1s\"", "dir = \"d\"", "[policy] window = \"1s\": 2s to 5m are possible"},
		{"", "", "[fleet] without dir: the fleet has its policy on the log"},
		{"", "dir = \"d\"\ncluster = \"c\"", "[fleet] cluster = \"c\": a fleet with its policy on the log serves the platform's front"},
		{"", "dir = \"d\"\npolicy_level = 9", "[fleet] policy_level = 9: 1 to 2 are known"},
	} {
		nodes := write("nodes", "[policy]\n"+c.policy+"\n[[node]]\nname = \"a\"\naddr = \"127.0.0.1:1\"\nzone = \"z\"\n[[node]]\nname = \"v\"\naddr = \"127.0.0.1:2\"\nzone = \"z\"\nvoter = true\n")
		_, err := ReadOperator(write("op", "[fleet]\nself = \"a\"\nlisten = \"127.0.0.1:0\"\nnodes = \""+nodes+"\"\nkey_file = \""+key+"\"\n"+c.fleet+"\n"))
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q %q: %v, wanted %q", c.policy, c.fleet, err, c.want)
		}
	}
}
