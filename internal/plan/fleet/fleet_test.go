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

// TestFaults checks that each invalid value is reported with its line and with what is valid.
func TestFaults(t *testing.T) {
	if _, err := Parse("f", []byte(small)); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ from, to, want string }{
		{"cores = 2", "cores = 0", "f:7: cores = 0: a value over 0, up to 4096, is wanted"},
		{"cores = 2", "cores = nan", "f:7: cores = NaN"},
		{"cores = 2", "cores = \"2\"", "f:7: toml"},
		{"cores = 2", "coers = 2", "f:7: unknown key \"kind.coers\""},
		{"kind = \"k\"", "kind = \"x\"", "f:9: unknown kind \"x\": no [[kind]] has this name"},
		{"count = 3", "count = 30000", "f:8: 30000 servers: 20000 at most"},
		{
			"[[class]]\nname = \"c\"\n",
			"[[class]]\nname = \"c\"\n[[class]]\nname = \"c\"\n",
			"f:18: class \"c\" stands twice",
		},
		{"[[class]]\nname = \"c\"\n", "", "no [[class]]"},
		{
			"name = \"c\"",
			"name = \"c\"\nmessage_aim = \"4ms\"",
			"f:17: class \"c\": no message can be answered within 4ms",
		},
		{"name = \"c\"", "name = \"c\"\nlife = \"long\"", "f:17:"},
		{"name = \"c\"", "name = \"c", "f:16: toml"},
	} {
		_, err := Parse("f", []byte(strings.Replace(small, test.from, test.to, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: %v, want %q", test.to, err, test.want)
		}
	}
}

// TestManyNodes checks that a fleet may have more nodes and servers than 1,024.
func TestManyNodes(t *testing.T) {
	enlarge := strings.NewReplacer("count = 1\n", "count = 1100\n", "count = 3\n", "count = 1100\n")
	f, err := Parse("f", []byte(enlarge.Replace(small)))
	if err != nil {
		t.Fatal(err)
	}
	if len(f.NodePools) != 1 || f.NodePools[0].Count != 1100 || f.ServerCount() != 1100 {
		t.Errorf("nodes %+v, %d servers", f.NodePools, f.ServerCount())
	}
}

// TestResize checks that the proportions hold and that rounding neither loses nor adds a server.
func TestResize(t *testing.T) {
	original, err := Read("../../../deploy/fleet-evening.toml")
	if err != nil {
		t.Fatal(err)
	}
	for n := range 60 {
		resized := original.Resize(n)
		if resized.ServerCount() != n {
			t.Errorf("resized to %d: %d servers", n, resized.ServerCount())
		}
		for i, pool := range resized.ServerPools {
			want := float64(n*original.ServerPools[i].Count) / float64(original.ServerCount())
			if float64(pool.Count) < want-1 || float64(pool.Count) > want+1 {
				t.Errorf("resized to %d: %d of %s in %s, %.1f wanted", n, pool.Count, pool.Kind, pool.Zone, want)
			}
		}
	}
	if got := fmt.Sprint(original.Resize(original.ServerCount()).ServerPools); got != fmt.Sprint(original.ServerPools) {
		t.Errorf("resized to its own size: %s", got)
	}
}

// TestSettings checks that the settings of a node decode to what the fleet file says.
func TestSettings(t *testing.T) {
	for _, path := range []string{"../../../deploy/fleet-evening.toml", "../../../deploy/fleet-large.toml"} {
		f, err := Read(path)
		if err != nil {
			t.Fatal(err)
		}
		s, err := f.Settings(1, 4, "iasi-1")
		if err != nil || len(s.Classes) != len(f.Classes) || len(s.Tenants) != len(f.Tenants) || s.Zone != "iasi-1" ||
			s.Rules.SlowStartFraction != f.SlowStart.Fraction || s.Classes[2].Priority != f.Classes[2].Priority ||
			s.Tenants[0].Connections != f.Quota(0) {
			t.Errorf("%s: %+v, %v", path, s, err)
		}
	}
}
