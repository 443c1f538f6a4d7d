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

func eveningFleet(tb testing.TB) *fleet.Fleet {
	tb.Helper()
	description, err := fleet.Read("../../../deploy/fleet-evening.toml")
	if err != nil {
		tb.Fatal(err)
	}
	return description
}

func draw(description *fleet.Fleet, seed uint64, sessions float64, seconds int) *workload.Load {
	length := time.Duration(seconds) * time.Second
	return workload.Generate(description, workload.GeneratorOptions{Seed: seed, Length: length, Concurrency: sessions})
}

func play(tb testing.TB, description *fleet.Fleet, load *workload.Load, options Options) Run {
	tb.Helper()
	run, err := Simulate(description, load, options)
	if err != nil {
		tb.Fatal(err)
	}
	return run
}

// TestSeedDeterminesRun checks that a run is a function of its seed.
func TestSeedDeterminesRun(t *testing.T) {
	description := eveningFleet(t)
	load := draw(description, 1, 90, 30)
	first := play(t, description, load, Options{Seed: 3})
	again := play(t, description, load, Options{Seed: 3})
	other := play(t, description, load, Options{Seed: 4})
	if fmt.Sprint(first.Service, first.Stats, first.ServiceBySecond) !=
		fmt.Sprint(again.Service, again.Stats, again.ServiceBySecond) {
		t.Errorf("one seed, two results: %v and %v", first.Stats, again.Stats)
	}
	if first.Service == other.Service {
		t.Error("two seeds, one result")
	}
}

// singleZoneFleet is a small fleet of one zone: a number of servers of two cores.
func singleZoneFleet(tb testing.TB, servers int) *fleet.Fleet {
	tb.Helper()
	description := eveningFleet(tb)
	description.Zones = description.Zones[:1]
	description.Delays = nil
	description.Tenants = nil
	description.ServerPools = []fleet.ServerPool{{Kind: "std-2c", Zone: "cluj-1", Count: servers}}
	description.NodePools = []fleet.NodePool{{Zone: "cluj-1", Count: 2, Descriptors: 4096}}
	description.General.ConnectionsPerCore = 60
	description.Group.Cost = 0
	description.Store.Rate = 0
	for i := range description.Classes {
		description.Classes[i].Lifetime = fleet.Duration(8 * time.Second)
	}
	return description
}

// drawFraction draws a load that demands a fraction of a fleet's capacity, without groups and set-ups.
func drawFraction(description *fleet.Fleet, fraction float64, seconds int) *workload.Load {
	connection := description.MeanLoad() * description.CoreLoad()
	return draw(description, 5, fraction*description.Cores()/connection, seconds)
}

// TestNothingLeaks plays random small fleets, with and without a loss, until all sessions are over: no descriptor,
// connection, group or set-up may be left, and the service is from 0 to 1.
func TestNothingLeaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(0, 1<<20).Draw(t, "seed")
		trial := GenerateTrial(TrialBase(), seed, rapid.IntRange(0, 4).Draw(t, "kind"), 10*time.Second)
		cold := rapid.Bool().Draw(t, "cold")
		options := Options{Seed: 1, LostZone: trial.LostZone, LossTime: trial.LossTime, AllWarmingUp: cold}
		sim, err := newSimulation(trial.Fleet, trial.Load, options)
		if err != nil {
			t.Fatal(err)
		}
		sim.run()
		if run := sim.result(); !(run.Service >= 0 && run.Service <= 1 && run.WorstWindow <= 1) {
			t.Fatalf("service %v, worst %v", run.Service, run.WorstWindow)
		}
		for i := range trial.Load.Sessions {
			if end := trial.Load.Sessions[i].End(); end > sim.now {
				sim.advanceTo(end)
			}
		}
		sim.advanceTo(sim.now + 20*time.Second)
		checkNodesEmpty(t, sim)
		checkServersEmpty(t, sim)
	})
}

func checkNodesEmpty(t *rapid.T, sim *simulation) {
	t.Helper()
	for _, node := range sim.nodes {
		if node.lost {
			continue
		}
		if node.connections != 0 || len(node.clients) != 0 || node.core.InFlight() != 0 {
			t.Fatalf("a node holds %d descriptors, %d clients, %d requests",
				node.connections, len(node.clients), node.core.InFlight())
		}
	}
}

func checkServersEmpty(t *rapid.T, sim *simulation) {
	t.Helper()
	for _, server := range sim.servers {
		if server.failed {
			continue
		}
		if len(server.connections) != 0 || server.setups != 0 || len(server.groups) != 0 || server.load != 0 {
			t.Fatalf("%s holds %d connections, %d set-ups, %d groups, load %v",
				server.id, len(server.connections), server.setups, len(server.groups), server.load)
		}
	}
}

// TestAlreadyOpenSessions checks that a load cut out of a longer one begins with its connections open, and served.
func TestAlreadyOpenSessions(t *testing.T) {
	description := singleZoneFleet(t, 4)
	load := drawFraction(description, 0.5, 40)
	full := play(t, description, load, Options{Seed: 1})
	part := play(t, description, load.Cut(20*time.Second, 30*time.Second), Options{Seed: 1})
	want, _ := full.Account.ServiceBetween(20*time.Second, 30*time.Second)
	if first, _ := part.Account.ServiceBetween(0, time.Second); first < 0.8*want {
		t.Errorf("the cut load's first second is served %.2f, that part of the whole load %.2f", first, want)
	}
}

// TestReconnectsCostSetups checks the load just past the point where set-ups and reconnects feed each other: rejected
// and reset clients connect again, and the work of their set-ups takes what is left. Without work for set-ups the same
// load is served.
func TestReconnectsCostSetups(t *testing.T) {
	description := singleZoneFleet(t, 4)
	load := drawFraction(description, 0.65, 30)
	cheap := play(t, description, load, Options{Seed: 1})
	for i := range description.Classes {
		description.Classes[i].SetupWork = fleet.Duration(80 * time.Millisecond)
	}
	expensive := play(t, description, load, Options{Seed: 1})
	if cheap.Service < 0.85 || expensive.Service > cheap.Service-0.3 ||
		expensive.Stats.Requests < 2*cheap.Stats.Requests {
		t.Errorf("service %.2f with %d requests; with expensive set-ups %.2f with %d",
			cheap.Service, cheap.Stats.Requests, expensive.Service, expensive.Stats.Requests)
	}
}

// TestLargeGroup checks one group larger than any server: the bound reports it, and it is still served on several.
func TestLargeGroup(t *testing.T) {
	description := singleZoneFleet(t, 4)
	description.Group.Cost = 1
	load := &workload.Load{Length: 20 * time.Second}
	for i := range 200 {
		load.Sessions = append(load.Sessions, workload.Session{
			Arrival:  time.Duration(i) * 10 * time.Millisecond,
			Lifetime: 20 * time.Second,
			Tenant:   -1,
			Zone:     0,
			Client:   uint64(i + 1),
			Group:    9,
			Load:     1,
		})
	}
	cannot := fmt.Sprint(UpperBound(description, load).Infeasible)
	if !strings.Contains(cannot, "one group asks for up to") {
		t.Errorf("the bound reports %s", cannot)
	}
	run := play(t, description, load, Options{Seed: 1})
	if alone := 1.94 / (200.0 / 60); run.Service < alone*1.1 {
		t.Errorf("service %.2f; one server alone serves %.2f", run.Service, alone)
	}
}

// TestSlowStart checks that servers that start with the load serve less of it, that the slow start of the decision
// module keeps them from failing, and that they fail of what passes it.
func TestSlowStart(t *testing.T) {
	description := singleZoneFleet(t, 4)
	load := drawFraction(description, 0.4, 20)
	warm := play(t, description, load, Options{Seed: 1})
	cold := play(t, description, load, Options{Seed: 1, AllWarmingUp: true})
	if cold.Service > warm.Service-0.2 || cold.Stats.Overloaded > 0 {
		t.Errorf("warm %.2f, in slow start %.2f, %d failed", warm.Service, cold.Service, cold.Stats.Overloaded)
	}
	sim, err := newSimulation(description, load, Options{Seed: 1, AllWarmingUp: true})
	if err != nil {
		t.Fatal(err)
	}
	server := sim.servers[0]
	for i := range 200 { // that no decision module held back
		crowd := &client{
			sim:     sim,
			session: &workload.Session{Client: uint64(i), Lifetime: time.Second},
			attempt: &attempt{node: sim.nodes[0], closed: true},
		}
		server.setUp(crowd, func(choice.Outcome, *connection) {})
		sim.advanceTo(sim.now + 5*time.Millisecond)
	}
	if sim.stats.Overloaded != 1 || !server.failed || sim.result().Limits[limitSlowStart].TimesReached == 0 {
		t.Errorf("200 set-ups at a server in slow start: %+v", sim.stats)
	}
}

// TestSlowStore checks a store slower than the reconnects after a loss: set-ups wait there, and the limit is named.
func TestSlowStore(t *testing.T) {
	description := eveningFleet(t)
	description.General.ConnectionsPerCore = 60
	description.Group.Cost = 0
	load := draw(description, 5, 300, 40)
	options := Options{Seed: 1, LostZone: "bucuresti-1", LossTime: 20 * time.Second}
	description.Store.Rate = 0
	fast := play(t, description, load, options)
	description.Store.Rate = 12
	slow := play(t, description, load, options)
	fastService, _ := fast.Account.ServiceBetween(21*time.Second, 35*time.Second)
	slowService, _ := slow.Account.ServiceBetween(21*time.Second, 35*time.Second)
	usage := slow.Limits[limitStore]
	if slowService > fastService-0.1 || usage.TimesReached == 0 || fast.Limits[limitStore].TimesReached != 0 {
		t.Errorf("after the loss %.2f, with a slow store %.2f; %+v", fastService, slowService, usage)
	}
}

// TestNothingToServe checks a fleet that can't serve at all, and a load without a session.
func TestNothingToServe(t *testing.T) {
	description := singleZoneFleet(t, 3)
	load := drawFraction(description, 0.3, 10)
	if run := play(t, description.Resize(0), load, Options{Seed: 1}); run.Service != 0 {
		t.Errorf("no server serves %.2f", run.Service)
	}
	cannot := fmt.Sprint(UpperBound(description.Resize(0), load).Infeasible)
	if !strings.Contains(cannot, "no server") {
		t.Error(cannot)
	}
	description.Store.Rate = 0.01 // a set-up in a hundred seconds
	sizeOptions := SizeOptions{Options: Options{Seed: 1}, Target: 0.9, Replications: 2, MaxServers: 12}
	sizing, err := MinimumServers(description, load, sizeOptions)
	if err != nil || sizing.Reached || !strings.Contains(sizing.Reason, "session store") {
		t.Errorf("%+v, %v", sizing, err)
	}
	empty := &workload.Load{Length: 10 * time.Second}
	if run := play(t, description, empty, Options{Seed: 1}); run.Service != 1 {
		t.Errorf("nothing demanded: %.2f of it is served", run.Service)
	}
	if broken, err := FindBreakpoint(description, empty, Options{Seed: 1}, nil); err != nil || !broken.None {
		t.Errorf("nothing demanded: %+v, %v", broken, err)
	}
}

// TestMinimumServers checks that the least fleet reaches its target, that one server less of any kind does not, and
// that a search on the busiest window of a load finds the same within a server.
func TestMinimumServers(t *testing.T) {
	description := singleZoneFleet(t, 4)
	slow := fleet.ServerPool{Kind: "slow-2c", Zone: "cluj-1", Count: 4}
	description.ServerPools = append(description.ServerPools, slow)
	load := drawFraction(singleZoneFleet(t, 4), 0.7, 60)
	options := SizeOptions{Options: Options{Seed: 1}, Target: 0.9, Replications: 3, MaxServers: 60}
	sizing, err := MinimumServers(description, load, options)
	if err != nil || !sizing.Reached || sizing.Minimum.Service.Mean < 0.9 {
		t.Fatalf("%+v, %v", sizing, err)
	}
	for kind, below := range sizing.OneServerLess {
		if below.Service.Mean >= 0.9 || below.Servers != sizing.Minimum.Servers-1 {
			t.Errorf("one %s less: %+v", kind, below)
		}
	}
	options.Window = 20 * time.Second
	windowed, err := MinimumServers(description, load, options)
	difference := windowed.Minimum.Servers - sizing.Minimum.Servers
	if err != nil || windowed.FullLoad == nil || difference < -1 || difference > 1 {
		t.Errorf("least %d, on the busiest window %d (%v)", sizing.Minimum.Servers, windowed.Minimum.Servers, err)
	}
}

// TestFindBreakpoint checks that the limit that was made the tightest is the one named, at a multiple near where
// arithmetic puts it.
func TestFindBreakpoint(t *testing.T) {
	description := singleZoneFleet(t, 20)
	load := drawFraction(singleZoneFleet(t, 4), 0.5, 20)
	for i := range description.NodePools { // two nodes: enough for twice the load
		description.NodePools[i].Descriptors = 48 + int(2*load.MeanConcurrency())
	}
	broken, err := FindBreakpoint(description, load, Options{Seed: 1}, nil)
	if err != nil || broken.Limit != limitDescriptors.String() || broken.LoadFactor < 1 || broken.LoadFactor > 2.2 {
		t.Errorf("%+v, %v", broken, err)
	}
}
