package fleet

import (
	"fmt"
	"strings"
	"testing"
)

const small = `[fleet]
name = "small"
[[centre]]
name = "a"
[[kind]]
name = "k"
cores = 2
[[servers]]
kind = "k"
centre = "a"
count = 3
[[node]]
centre = "a"
count = 1
[[class]]
name = "c"
`

// TestFaults checks that what can't be is told with its line and with what would be right.
func TestFaults(t *testing.T) {
	if _, err := Parse("f", []byte(small)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{"cores = 2", "cores = 0", "f:7: cores = 0: a value over 0, up to 4096, is wanted"},
		{"cores = 2", "cores = nan", "f:7: cores = NaN"},
		{"cores = 2", "cores = \"2\"", "f:7: toml"},
		{"cores = 2", "coers = 2", "f:7: unknown key \"kind.coers\""},
		{"kind = \"k\"", "kind = \"x\"", "f:9: unknown kind \"x\": no [[kind]] has this name"},
		{"count = 3", "count = 30000", "f:8: 30000 servers: 20000 at most"},
		{"[[class]]\nname = \"c\"\n", "[[class]]\nname = \"c\"\n[[class]]\nname = \"c\"\n", "f:18: class \"c\" stands twice"},
		{"[[class]]\nname = \"c\"\n", "", "no [[class]]"},
		{"name = \"c\"", "name = \"c\"\nmessage_aim = \"4ms\"", "f:17: class \"c\": no message can be answered within 4ms"},
		{"name = \"c\"", "name = \"c\"\nlife = \"long\"", "f:17:"},
		{"name = \"c\"", "name = \"c", "f:16: toml"},
	} {
		_, err := Parse("f", []byte(strings.Replace(small, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.to, err, c.want)
		}
	}
}

// TestManyNodes takes fleets with more nodes and servers than any bound on their lists may be.
func TestManyNodes(t *testing.T) {
	f, err := Parse("f", []byte(strings.NewReplacer("count = 1\n", "count = 1100\n", "count = 3\n", "count = 1100\n").Replace(small)))
	if err != nil {
		t.Fatal(err)
	}
	if len(f.Nodes) != 1 || f.Nodes[0].Count != 1100 || f.Count() != 1100 {
		t.Errorf("nodes %+v, %d servers", f.Nodes, f.Count())
	}
}

// TestResize checks that proportions hold and no server is lost or made up in rounding.
func TestResize(t *testing.T) {
	f, err := Read("../../../deploy/fleet-evening.toml")
	if err != nil {
		t.Fatal(err)
	}
	for n := range 60 {
		c := f.Resize(n)
		if c.Count() != n {
			t.Errorf("resized to %d: %d servers", n, c.Count())
		}
		for i, s := range c.Servers {
			if want := float64(n*f.Servers[i].Count) / float64(f.Count()); float64(s.Count) < want-1 || float64(s.Count) > want+1 {
				t.Errorf("resized to %d: %d of %s in %s, %.1f wanted", n, s.Count, s.Kind, s.Centre, want)
			}
		}
	}
	if got := fmt.Sprint(f.Resize(f.Count()).Servers); got != fmt.Sprint(f.Servers) {
		t.Errorf("resized to its own size: %s", got)
	}
}

// TestNodeReadsSettings checks that what a node is told decodes to what the fleet file says.
func TestNodeReadsSettings(t *testing.T) {
	for _, path := range []string{"../../../deploy/fleet-evening.toml", "../../../deploy/fleet-large.toml"} {
		f, err := Read(path)
		if err != nil {
			t.Fatal(err)
		}
		s, err := f.Settings(1, 4, "iasi-1")
		if err != nil || len(s.Classes) != len(f.Classes) || len(s.Tenants) != len(f.Editions) || s.Zone != "iasi-1" ||
			s.Rules.SlowStartFraction != f.Cold.Share || s.Classes[2].Priority != f.Classes[2].Worth || s.Tenants[0].Connections != f.Quota(0) {
			t.Errorf("%s: %+v, %v", path, s, err)
		}
	}
}
