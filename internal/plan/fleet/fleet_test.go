package fleet

import (
	"fmt"
	"strings"
	"testing"
)

// smallFleet is a valid fleet file with few keys.
const smallFleet = `[fleet]
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

// TestInvalidValueIsReportedWithItsLine checks that Parse reports each invalid value with its line and that the message
// says which values are valid.
func TestInvalidValueIsReportedWithItsLine(t *testing.T) {
	if _, err := Parse("f", []byte(smallFleet)); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ from, to, want string }{
		{"cores = 2", "cores = 0", "f:7: cores = 0: must be over 0 and at most 4096"},
		{"cores = 2", "cores = nan", "f:7: cores = NaN"},
		{"cores = 2", "cores = \"2\"", "f:7: toml"},
		{"cores = 2", "coers = 2", "f:7: unknown key \"kind.coers\""},
		{"kind = \"k\"", "kind = \"x\"", "f:9: unknown kind \"x\": no [[kind]] has this name"},
		{"count = 3", "count = 30000", "f:8: 30000 servers in total: must be at most 20000"},
		{
			"[[class]]\nname = \"c\"\n",
			"[[class]]\nname = \"c\"\n[[class]]\nname = \"c\"\n",
			"f:18: duplicate class \"c\"",
		},
		{"[[class]]\nname = \"c\"\n", "", "no [[class]]"},
		{
			"name = \"c\"",
			"name = \"c\"\nmessage_aim = \"4ms\"",
			"f:17: class \"c\": message_aim = 4ms must be longer than message_work = 5ms",
		},
		{"name = \"c\"", "name = \"c\"\nlife = \"long\"", "f:17:"},
		{"name = \"c\"", "name = \"c", "f:16: toml"},
	} {
		_, err := Parse("f", []byte(strings.Replace(smallFleet, test.from, test.to, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("parse with %q: got error %v, want %q", test.to, err, test.want)
		}
	}
}

// TestFleetMayHaveMoreThan1024Nodes checks that Parse accepts a fleet of more than 1,024 nodes and servers.
func TestFleetMayHaveMoreThan1024Nodes(t *testing.T) {
	enlarge := strings.NewReplacer("count = 1\n", "count = 1100\n", "count = 3\n", "count = 1100\n")
	f, err := Parse("f", []byte(enlarge.Replace(smallFleet)))
	if err != nil {
		t.Fatal(err)
	}
	if len(f.NodePools) != 1 || f.NodePools[0].Count != 1100 || f.ServerCount() != 1100 {
		t.Errorf("parse: got nodes %+v and %d servers, want one pool of 1100 nodes and 1100 servers",
			f.NodePools, f.ServerCount())
	}
}

// TestResizeKeepsProportions checks that rounding neither loses nor adds a server and that each pool keeps its
// proportion to within one server.
func TestResizeKeepsProportions(t *testing.T) {
	original, err := Read("../../../deploy/fleet-evening.toml")
	if err != nil {
		t.Fatal(err)
	}
	for servers := range 60 {
		resized := original.Resize(servers)
		if resized.ServerCount() != servers {
			t.Errorf("resize to %d: got %d servers, want the requested number", servers, resized.ServerCount())
		}
		for i, pool := range resized.ServerPools {
			want := float64(servers*original.ServerPools[i].Count) / float64(original.ServerCount())
			if float64(pool.Count) < want-1 || float64(pool.Count) > want+1 {
				t.Errorf("resize to %d: got %d servers of kind %s in zone %s, want %.1f to within 1",
					servers, pool.Count, pool.Kind, pool.Zone, want)
			}
		}
	}
	if got := fmt.Sprint(original.Resize(original.ServerCount()).ServerPools); got != fmt.Sprint(original.ServerPools) {
		t.Errorf("resize to the same size: got %s, want the original pools", got)
	}
}

// TestNodeSettingsMatchFleetFile checks that the decoded settings of a node have the values of the fleet file.
func TestNodeSettingsMatchFleetFile(t *testing.T) {
	for _, path := range []string{"../../../deploy/fleet-evening.toml", "../../../deploy/fleet-large.toml"} {
		f, err := Read(path)
		if err != nil {
			t.Fatal(err)
		}
		s, err := f.Settings(1, 4, "iasi-1")
		if err != nil || len(s.Classes) != len(f.Classes) || len(s.Tenants) != len(f.Tenants) || s.Zone != "iasi-1" ||
			s.Rules.SlowStartFraction != f.SlowStart.Fraction || s.Classes[2].Priority != f.Classes[2].Priority ||
			s.Tenants[0].Connections != f.Quota(0) {
			t.Errorf("settings of a node of %s: got %+v, %v, want the values of the file and no error", path, s, err)
		}
	}
}
