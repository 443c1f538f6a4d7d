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

func generateLoad(description *fleet.Fleet, seed uint64, sessions float64, seconds int) *workload.Load {
	length := time.Duration(seconds) * time.Second
	return workload.Generate(description, workload.GeneratorOptions{Seed: seed, Length: length, Concurrency: sessions})
}

func simulate(tb testing.TB, description *fleet.Fleet, load *workload.Load, options Options) Run {
	tb.Helper()
	run, err := Simulate(description, load, options)
	if err != nil {
		tb.Fatal(err)
	}
	return run
}

// TestSeedDeterminesRun checks that the same seed gives the same run and that another seed gives a different one.
func TestSeedDeterminesRun(t *testing.T) {
	description := eveningFleet(t)
	load := generateLoad(description, 1, 90, 30)
	first := simulate(t, description, load, Options{Seed: 3})
	again := simulate(t, description, load, Options{Seed: 3})
	other := simulate(t, description, load, Options{Seed: 4})
	if fmt.Sprint(first.Service, first.Stats, first.ServiceBySecond) !=
		fmt.Sprint(again.Service, again.Stats, again.ServiceBySecond) {
		t.Errorf("Simulate twice with the same seed: got stats %v and %v, want the same stats and service",
			first.Stats, again.Stats)
	}
	if first.Service == other.Service {
		t.Error("Simulate with another seed: got the same service, want a different one")
	}
}

// singleZoneFleet returns a small fleet of one zone with the given number of servers, which have two cores each.
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

// generateLoadFraction generates a load that demands a fraction of a fleet's capacity, apart from groups and set-ups.
func generateLoadFraction(description *fleet.Fleet, fraction float64, seconds int) *workload.Load {
	connectionLoad := description.MeanLoad() * description.CoreLoad()
	return generateLoad(description, 5, fraction*description.Cores()/connectionLoad, seconds)
}

// TestResourcesAreReleasedAfterAllSessions simulates random small fleets, with and without the loss of a zone, until
// all sessions are over. It checks that no descriptor, connection, group or set-up is left and that the service is from
// 0 to 1.
func TestResourcesAreReleasedAfterAllSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(0, 1<<20).Draw(t, "seed")
		trial := GenerateTrial(TrialBase(), seed, rapid.IntRange(0, 4).Draw(t, "scenario"), 10*time.Second)
		warmingUp := rapid.Bool().Draw(t, "warmingUp")
		options := Options{Seed: 1, LostZone: trial.LostZone, LossTime: trial.LossTime, AllWarmingUp: warmingUp}
		sim, err := newSimulation(trial.Fleet, trial.Load, options)
		if err != nil {
			t.Fatal(err)
		}
		sim.run()
		if run := sim.result(); !(run.Service >= 0 && run.Service <= 1 && run.WorstWindow <= 1) {
			t.Fatalf("result: got service %v and worst window %v, want service from 0 to 1 and worst window at most 1",
				run.Service, run.WorstWindow)
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
			t.Fatalf("node after all sessions: got %d descriptors, %d clients, %d requests, want 0 of each",
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
			t.Fatalf("server %s after all sessions: got %d connections, %d set-ups, %d groups, load %v, want 0 of each",
				server.id, len(server.connections), server.setups, len(server.groups), server.load)
		}
	}
}

// TestCutLoadBeginsWithOpenConnections checks that a load that is cut out of a longer one begins with its connections
// open and served.
func TestCutLoadBeginsWithOpenConnections(t *testing.T) {
	description := singleZoneFleet(t, 4)
	load := generateLoadFraction(description, 0.5, 40)
	full := simulate(t, description, load, Options{Seed: 1})
	cut := simulate(t, description, load.Cut(20*time.Second, 30*time.Second), Options{Seed: 1})
	want, _ := full.Account.ServiceBetween(20*time.Second, 30*time.Second)
	if first, _ := cut.Account.ServiceBetween(0, time.Second); first < 0.8*want {
		t.Errorf("first second of the cut load: got service %.2f, want at least 0.8 of %.2f as in the whole load",
			first, want)
	}
}

// TestExpensiveSetupsAndReconnectsReduceService checks a load just past the point where set-ups and reconnects
// reinforce each other. Rejected and reset clients connect again, and the work of their set-ups takes the remaining
// capacity. With cheap set-ups the fleet serves the same load.
func TestExpensiveSetupsAndReconnectsReduceService(t *testing.T) {
	description := singleZoneFleet(t, 4)
	load := generateLoadFraction(description, 0.65, 30)
	cheap := simulate(t, description, load, Options{Seed: 1})
	for i := range description.Classes {
		description.Classes[i].SetupWork = fleet.Duration(80 * time.Millisecond)
	}
	expensive := simulate(t, description, load, Options{Seed: 1})
	if cheap.Service < 0.85 || expensive.Service > cheap.Service-0.3 ||
		expensive.Stats.Requests < 2*cheap.Stats.Requests {
		t.Errorf("cheap set-ups: got service %.2f (want 0.85), %d requests; expensive: got %.2f (0.3 less), %d (twice)",
			cheap.Service, cheap.Stats.Requests, expensive.Service, expensive.Stats.Requests)
	}
}

// TestGroupLargerThanAnyServerIsSpread checks that the bound reports a group that is larger than any server, and that
// several servers together serve the group.
func TestGroupLargerThanAnyServerIsSpread(t *testing.T) {
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
	infeasible := fmt.Sprint(UpperBound(description, load).Infeasible)
	if !strings.Contains(infeasible, "one group demands up to") {
		t.Errorf("UpperBound of one large group: got reasons %s, want \"one group demands up to\"", infeasible)
	}
	run := simulate(t, description, load, Options{Seed: 1})
	// One server has 1.94 reference cores. 200 connections at 60 connections per core demand 200/60 cores.
	if oneServer := 1.94 / (200.0 / 60); run.Service < oneServer*1.1 {
		t.Errorf("Simulate: got service %.2f, want at least 1.1 times the %.2f of one server", run.Service, oneServer)
	}
}

// TestSlowStartReducesServiceAndPreventsOverload checks that servers that start together with the load serve less of
// it, that the slow start of the decision module keeps them from failing, and that they fail if set-ups bypass it.
func TestSlowStartReducesServiceAndPreventsOverload(t *testing.T) {
	description := singleZoneFleet(t, 4)
	load := generateLoadFraction(description, 0.4, 20)
	warmedUp := simulate(t, description, load, Options{Seed: 1})
	warmingUp := simulate(t, description, load, Options{Seed: 1, AllWarmingUp: true})
	if warmingUp.Service > warmedUp.Service-0.2 || warmingUp.Stats.Overloaded > 0 {
		t.Errorf("warmed up: service %.2f; in slow start: got %.2f and %d overloaded servers, want 0.2 less and 0",
			warmedUp.Service, warmingUp.Service, warmingUp.Stats.Overloaded)
	}
	sim, err := newSimulation(description, load, Options{Seed: 1, AllWarmingUp: true})
	if err != nil {
		t.Fatal(err)
	}
	server := sim.servers[0]
	for i := range 200 { // set-ups that bypass the decision module
		extraClient := &client{
			sim:     sim,
			session: &workload.Session{Client: uint64(i), Lifetime: time.Second},
			attempt: &attempt{node: sim.nodes[0], closed: true},
		}
		server.setUp(extraClient, func(choice.Outcome, *connection) {})
		sim.advanceTo(sim.now + 5*time.Millisecond)
	}
	if sim.stats.Overloaded != 1 || !server.failed || sim.result().Limits[limitSlowStart].TimesReached == 0 {
		t.Errorf("200 set-ups at a server in slow start: got %+v, want 1 overloaded server and the limit reached",
			sim.stats)
	}
}

// TestSlowStoreDelaysSetupsAfterZoneLoss checks that set-ups wait for a session store that is slower than the
// reconnects after the loss of a zone, and that the limit of the store is reported.
func TestSlowStoreDelaysSetupsAfterZoneLoss(t *testing.T) {
	description := eveningFleet(t)
	description.General.ConnectionsPerCore = 60
	description.Group.Cost = 0
	load := generateLoad(description, 5, 300, 40)
	options := Options{Seed: 1, LostZone: "bucuresti-1", LossTime: 20 * time.Second}
	description.Store.Rate = 0
	fast := simulate(t, description, load, options)
	description.Store.Rate = 12
	slow := simulate(t, description, load, options)
	fastService, _ := fast.Account.ServiceBetween(21*time.Second, 35*time.Second)
	slowService, _ := slow.Account.ServiceBetween(21*time.Second, 35*time.Second)
	usage := slow.Limits[limitStore]
	if slowService > fastService-0.1 || usage.TimesReached == 0 || fast.Limits[limitStore].TimesReached != 0 {
		t.Errorf("fast store: got service %.2f; slow store: got %.2f and %+v, want 0.1 less and only its limit reached",
			fastService, slowService, usage)
	}
}

// TestFleetWithoutCapacityAndLoadWithoutSessions checks fleets that can't serve their load and a load without sessions.
func TestFleetWithoutCapacityAndLoadWithoutSessions(t *testing.T) {
	description := singleZoneFleet(t, 3)
	load := generateLoadFraction(description, 0.3, 10)
	if run := simulate(t, description.Resize(0), load, Options{Seed: 1}); run.Service != 0 {
		t.Errorf("Simulate without servers: got service %.2f, want 0", run.Service)
	}
	infeasible := fmt.Sprint(UpperBound(description.Resize(0), load).Infeasible)
	if !strings.Contains(infeasible, "no server") {
		t.Error(infeasible)
	}
	description.Store.Rate = 0.01 // one set-up per 100 s
	sizeOptions := SizeOptions{Options: Options{Seed: 1}, Target: 0.9, Replications: 2, MaxServers: 12}
	sizing, err := MinimumServers(description, load, sizeOptions)
	if err != nil || sizing.Reached || !strings.Contains(sizing.Reason, "session store") {
		t.Errorf("MinimumServers with a slow store: got %+v, %v, want a miss because of the session store", sizing, err)
	}
	empty := &workload.Load{Length: 10 * time.Second}
	if run := simulate(t, description, empty, Options{Seed: 1}); run.Service != 1 {
		t.Errorf("Simulate without sessions: got service %.2f, want 1", run.Service)
	}
	if found, err := FindBreakpoint(description, empty, Options{Seed: 1}, nil); err != nil || !found.None {
		t.Errorf("FindBreakpoint without sessions: got %+v, %v, want no breakpoint", found, err)
	}
}

// TestMinimumServersReachTarget checks that the smallest fleet reaches its target, that it misses the target with one
// server of any kind less, and that a search on the busiest window of a load differs by at most one server.
func TestMinimumServersReachTarget(t *testing.T) {
	description := singleZoneFleet(t, 4)
	slow := fleet.ServerPool{Kind: "slow-2c", Zone: "cluj-1", Count: 4}
	description.ServerPools = append(description.ServerPools, slow)
	load := generateLoadFraction(singleZoneFleet(t, 4), 0.7, 60)
	options := SizeOptions{Options: Options{Seed: 1}, Target: 0.9, Replications: 3, MaxServers: 60}
	sizing, err := MinimumServers(description, load, options)
	if err != nil || !sizing.Reached || sizing.Minimum.Service.Mean < 0.9 {
		t.Fatalf("MinimumServers: got %+v, %v, want a service of at least 0.9", sizing, err)
	}
	for kind, smaller := range sizing.OneServerLess {
		if smaller.Service.Mean >= 0.9 || smaller.Servers != sizing.Minimum.Servers-1 {
			t.Errorf("one %s less: got %+v, want one server less and a service below 0.9", kind, smaller)
		}
	}
	options.Window = 20 * time.Second
	windowed, err := MinimumServers(description, load, options)
	difference := windowed.Minimum.Servers - sizing.Minimum.Servers
	if err != nil || windowed.FullLoad == nil || difference < -1 || difference > 1 {
		t.Errorf("MinimumServers: got %d servers, on the busiest window %d (%v), want at most 1 apart and FullLoad set",
			sizing.Minimum.Servers, windowed.Minimum.Servers, err)
	}
}

// TestFindBreakpointReportsTightestLimit checks that FindBreakpoint reports the limit that the test made the tightest,
// at a load factor near the one for which the descriptors suffice.
func TestFindBreakpointReportsTightestLimit(t *testing.T) {
	description := singleZoneFleet(t, 20)
	load := generateLoadFraction(singleZoneFleet(t, 4), 0.5, 20)
	for i := range description.NodePools { // both nodes together have descriptors for twice the load
		description.NodePools[i].Descriptors = 48 + int(2*load.MeanConcurrency())
	}
	found, err := FindBreakpoint(description, load, Options{Seed: 1}, nil)
	if err != nil || found.Limit != limitDescriptors.String() || found.LoadFactor < 1 || found.LoadFactor > 2.2 {
		t.Errorf("FindBreakpoint: got %+v, %v, want the descriptors of a node at load factor 1 to 2.2", found, err)
	}
}
