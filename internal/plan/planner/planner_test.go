package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spurwinch/choice"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

func evening(t testing.TB) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Read("../../../deploy/fleet-evening.toml")
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func draw(f *fleet.Fleet, seed uint64, standing float64, seconds int) *workload.Load {
	return workload.Draw(f, workload.Drawn{Seed: seed, Length: time.Duration(seconds) * time.Second, Standing: standing})
}

func play(t testing.TB, f *fleet.Fleet, l *workload.Load, o Options) Run {
	t.Helper()
	r, err := Play(f, l, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestSeed checks that a run is a function of its seed.
func TestSeed(t *testing.T) {
	f := evening(t)
	l := draw(f, 1, 90, 30)
	a, b, c := play(t, f, l, Options{Seed: 3}), play(t, f, l, Options{Seed: 3}), play(t, f, l, Options{Seed: 4})
	if fmt.Sprint(a.Service, a.Stats, a.ServiceBySecond) != fmt.Sprint(b.Service, b.Stats, b.ServiceBySecond) {
		t.Errorf("one seed, two results: %v and %v", a.Stats, b.Stats)
	}
	if a.Service == c.Service {
		t.Error("two seeds, one result")
	}
}

// one is a small fleet of a centre: n servers of two cores.
func one(t testing.TB, n int) *fleet.Fleet {
	f := evening(t)
	f.Centres, f.Delays, f.Editions = f.Centres[:1], nil, nil
	f.ServerPools = []fleet.ServerPool{{Kind: "std-2c", Zone: "cluj-1", Count: n}}
	f.Nodes = []fleet.NodePool{{Zone: "cluj-1", Count: 2, Sockets: 4096}}
	f.General.ConnectionsPerCore, f.Group.Cost, f.Store.Rate = 60, 0, 0
	for i := range f.Classes {
		f.Classes[i].Lifetime = fleet.Duration(8 * time.Second)
	}
	return f
}

// filled draws a load that asks for a part of what a fleet can do, without groups and set-ups.
func filled(f *fleet.Fleet, part float64, seconds int) *workload.Load {
	return draw(f, 5, part*f.Cores()/(f.MeanLoad()*f.CoreLoad()), seconds)
}

func limitSeen(r Run, k limit) LimitUsage { return r.Limits[k] }

// TestNothingIsLeft plays random small fleets, with and without a loss, until all sessions are over: no descriptor,
// connection, group or set-up may be left, and service is a part.
func TestNothingIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := DrawTrial(TrialBase(), rapid.Uint64Range(0, 1<<20).Draw(t, "seed"), rapid.IntRange(0, 4).Draw(t, "kind"), 10*time.Second)
		o := Options{Seed: 1, Lose: tr.Lose, LoseAt: tr.LoseAt, AllCold: rapid.Bool().Draw(t, "cold")}
		w, err := newWorld(tr.Fleet, tr.Load, o)
		if err != nil {
			t.Fatal(err)
		}
		w.simulate()
		if r := w.result(); !(r.Service >= 0 && r.Service <= 1 && r.WorstWindow <= 1) {
			t.Fatalf("service %v, worst %v", r.Service, r.WorstWindow)
		}
		for i := range tr.Load.Sessions {
			if end := tr.Load.Sessions[i].Arrival + tr.Load.Sessions[i].Lifetime; end > w.now {
				w.run(end)
			}
		}
		w.run(w.now + 20*time.Second)
		for _, n := range w.nodes {
			if !n.dead && (n.open != 0 || len(n.here) != 0 || n.core.InFlight() != 0) {
				t.Fatalf("a node holds %d descriptors, %d clients, %d requests", n.open, len(n.here), n.core.InFlight())
			}
		}
		for _, h := range w.hosts {
			if !h.dead && (len(h.conns) != 0 || h.setups != 0 || len(h.groups) != 0 || h.load != 0) {
				t.Fatalf("%s holds %d connections, %d set-ups, %d groups, load %v", h.id, len(h.conns), h.setups, len(h.groups), h.load)
			}
		}
	})
}

// TestStandingBegin checks that a load cut out of a longer one begins with its connections standing, and served.
func TestStandingBegin(t *testing.T) {
	f := one(t, 4)
	l := filled(f, 0.5, 40)
	cut := l.Cut(20*time.Second, 30*time.Second)
	a, b := play(t, f, l, Options{Seed: 1}), play(t, f, cut, Options{Seed: 1})
	want, _ := a.Account.ServiceBetween(20*time.Second, 30*time.Second)
	if first, _ := b.Account.ServiceBetween(0, time.Second); first < 0.8*want {
		t.Errorf("the cut load's first second is served %.2f, the whole load's like part %.2f", first, want)
	}
}

// TestReturnsFeedSetups checks the load just past the point where set-ups and returns feed each other: refused and broken
// clients come again, and the work of setting them up takes what is left. Without work for set-ups the same load is served.
func TestReturnsFeedSetups(t *testing.T) {
	f := one(t, 4)
	l := filled(f, 0.65, 30)
	cheap := play(t, f, l, Options{Seed: 1})
	for i := range f.Classes {
		f.Classes[i].SetupWork = fleet.Duration(80 * time.Millisecond)
	}
	dear := play(t, f, l, Options{Seed: 1})
	if cheap.Service < 0.85 || dear.Service > cheap.Service-0.3 || dear.Stats.Requests < 2*cheap.Stats.Requests {
		t.Errorf("service %.2f with %d requests; with dear set-ups %.2f with %d", cheap.Service, cheap.Stats.Requests, dear.Service, dear.Stats.Requests)
	}
}

// TestLargeGroup checks one group larger than any server: it is told at once, and still served on several.
func TestLargeGroup(t *testing.T) {
	f := one(t, 4)
	f.Group.Cost = 1
	l := &workload.Load{Length: 20 * time.Second}
	for i := range 200 {
		l.Sessions = append(l.Sessions, workload.Session{Arrival: time.Duration(i) * 10 * time.Millisecond, Lifetime: 20 * time.Second, Tenant: -1,
			Zone: 0, Client: uint64(i + 1), Group: 9, Load: 1})
	}
	if c := fmt.Sprint(UpperBound(f, l).Cannot); !strings.Contains(c, "one group asks for up to") {
		t.Errorf("the bound tells %s", c)
	}
	r := play(t, f, l, Options{Seed: 1})
	if share := 1.94 / (200.0 / 60); r.Service < share*1.1 {
		t.Errorf("service %.2f; one server alone bears %.2f", r.Service, share)
	}
}

// TestCold checks that servers that start with the load serve less of it, are not pushed over by the module's guard, and
// are by what passes it.
func TestCold(t *testing.T) {
	f := one(t, 4)
	l := filled(f, 0.4, 20)
	warm, cold := play(t, f, l, Options{Seed: 1}), play(t, f, l, Options{Seed: 1, AllCold: true})
	if cold.Service > warm.Service-0.2 || cold.Stats.Overloaded > 0 {
		t.Errorf("warm %.2f, cold %.2f, %d fell over", warm.Service, cold.Service, cold.Stats.Overloaded)
	}
	w, err := newWorld(f, l, Options{Seed: 1, AllCold: true})
	if err != nil {
		t.Fatal(err)
	}
	h := w.hosts[0]
	for i := range 200 { // a crowd that no module held back
		h.setup(&client{w: w, s: &workload.Session{Client: uint64(i), Lifetime: time.Second}, try: &attempt{node: w.nodes[0], closed: true}}, func(choice.Outcome, *conn) {})
		w.run(w.now + 5*time.Millisecond)
	}
	if w.stats.Overloaded != 1 || !h.dead || limitSeen(w.result(), limitCold).Reached == 0 {
		t.Errorf("a crowd at a cold server: %+v", w.stats)
	}
}

// TestSlowStore checks a store slower than the returns after a loss: set-ups wait there, and the limit is named.
func TestSlowStore(t *testing.T) {
	f := evening(t)
	f.General.ConnectionsPerCore = 60
	f.Group.Cost = 0
	l := draw(f, 5, 300, 40)
	o := Options{Seed: 1, Lose: "bucuresti-1", LoseAt: 20 * time.Second}
	f.Store.Rate = 0
	fast := play(t, f, l, o)
	f.Store.Rate = 12
	slow := play(t, f, l, o)
	a, _ := fast.Account.ServiceBetween(21*time.Second, 35*time.Second)
	b, _ := slow.Account.ServiceBetween(21*time.Second, 35*time.Second)
	if b > a-0.1 || limitSeen(slow, limitStore).Reached == 0 || limitSeen(fast, limitStore).Reached != 0 {
		t.Errorf("after the loss %.2f, with a slow store %.2f; %+v", a, b, limitSeen(slow, limitStore))
	}
}

// TestNoFleet checks a fleet that can't serve at all, and a load of nothing.
func TestNoFleet(t *testing.T) {
	f := one(t, 3)
	l := filled(f, 0.3, 10)
	if r := play(t, f.Resize(0), l, Options{Seed: 1}); r.Service != 0 {
		t.Errorf("no server serves %.2f", r.Service)
	}
	if c := fmt.Sprint(UpperBound(f.Resize(0), l).Cannot); !strings.Contains(c, "no server") {
		t.Error(c)
	}
	f.Store.Rate = 0.01 // a set-up in a hundred seconds
	s, err := LeastServers(f, l, SizeOptions{Options: Options{Seed: 1}, Target: 0.9, Reps: 2, Most: 12})
	if err != nil || s.Reached || !strings.Contains(s.Why, "session store") {
		t.Errorf("%+v, %v", s, err)
	}
	empty := &workload.Load{Length: 10 * time.Second}
	if r := play(t, f, empty, Options{Seed: 1}); r.Service != 1 {
		t.Errorf("nothing wanted: %.2f of it is served", r.Service)
	}
	if b, err := FirstToBreak(f, empty, Options{Seed: 1}, nil); err != nil || !b.None {
		t.Errorf("nothing wanted: %+v, %v", b, err)
	}
}

// TestSizeIsLeast checks that the least fleet reaches its target, one less of any kind does not, and that a search on the
// busiest stretch of a load finds the same within a server.
func TestSizeIsLeast(t *testing.T) {
	f := one(t, 4)
	f.ServerPools = append(f.ServerPools, fleet.ServerPool{Kind: "slow-2c", Zone: "cluj-1", Count: 4})
	l := filled(one(t, 4), 0.7, 60)
	o := SizeOptions{Options: Options{Seed: 1}, Target: 0.9, Reps: 3, Most: 60}
	s, err := LeastServers(f, l, o)
	if err != nil || !s.Reached || s.Least.Service.Mean < 0.9 {
		t.Fatalf("%+v, %v", s, err)
	}
	for k, b := range s.OneBelow {
		if b.Service.Mean >= 0.9 || b.Servers != s.Least.Servers-1 {
			t.Errorf("one %s less: %+v", k, b)
		}
	}
	o.Window = 20 * time.Second
	w, err := LeastServers(f, l, o)
	if d := w.Least.Servers - s.Least.Servers; err != nil || w.Whole == nil || d < -1 || d > 1 {
		t.Errorf("least %d, on the busiest stretch %d (%v)", s.Least.Servers, w.Least.Servers, err)
	}
}

// TestFirstToBreak checks that the limit that was made the tightest is the one named, at a multiple near where arithmetic
// puts it.
func TestFirstToBreak(t *testing.T) {
	f := one(t, 20)
	l := filled(one(t, 4), 0.5, 20)
	for i := range f.Nodes {
		f.Nodes[i].Sockets = 48 + int(2*l.Standing()) // two nodes: room for twice the load
	}
	b, err := FirstToBreak(f, l, Options{Seed: 1}, nil)
	if err != nil || b.Limit != limitNames[limitSockets] || b.Multiple < 1 || b.Multiple > 2.2 {
		t.Errorf("%+v, %v", b, err)
	}
}
