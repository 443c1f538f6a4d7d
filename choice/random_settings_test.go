package choice_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"spurwinch/choice"
)

const (
	// randomRuns is the number of simulations, each with other random settings, in a test run. The environment variable
	// RANDOM_SETTINGS replaces it: RANDOM_SETTINGS=1000 runs 1000 simulations.
	randomRuns = 80
	// arrivalPeriod is how long clients arrive in a simulation, which then continues until all requests are answered.
	arrivalPeriod = 16 * time.Second
	// simulationTimeout detects a Step that does not return. Every simulation takes less than 1 s.
	simulationTimeout = time.Minute
	// maxPeerMessageBytes is the maximum size of a message between nodes.
	maxPeerMessageBytes = 256
)

// randomSettings returns random settings of the nodes, a random environment and a random server list.
func randomSettings(rng *rand.Rand) (choice.Settings, environment, []choice.Server) {
	generator := generator{rng}
	chance, uniform, seconds := generator.chance, generator.uniform, generator.seconds
	serverCount, zoneCount := 3+int(58*rng.Float64()*rng.Float64()), 1+rng.IntN(5)
	env := environment{
		serverCapacity: uniform(6, 20), connectionTime: seconds(3, 9), maxListDelay: seconds(0.05, 2),
		watchFailureRate: uniform(0, 0.4),
		messageLossRate:  uniform(0, 0.3), maxClientRequests: 1 + rng.IntN(4), abandonRate: uniform(0, 0.2),
		requestLoadKnown: chance(0.4),
		failedSetupRate:  uniform(0.02, 0.2), shedThreshold: uniform(1, 1.6), stickyFraction: 0.03,
		trafficSkew: 1 + rng.IntN(5),
	}
	env.rejectThreshold = env.shedThreshold * uniform(0.8, 1.1)
	settings := choice.Settings{
		Nodes: 1 + rng.IntN(30), Zone: "z0", GroupAffinity: chance(0.4), PacketPassThrough: chance(0.2),
		Subscribe: chance(0.5),
		Reports:   choice.ReportSource(rng.IntN(3)), Sizes: choice.SizeKind(rng.IntN(3)), DelaysObserved: chance(0.5),
		OverQuotaPriority: uniform(0, 1), PriorityPerWork: chance(0.5), RoundTrip: 5 * time.Millisecond,
		Limits: choice.Limits{
			MaxAttempts: 1 + rng.IntN(8), HealthChecks: chance(0.8), Cancellation: chance(0.7),
			PeerMessages: chance(0.6),
			RetryAfter:   chance(0.6), MaxRetryAfter: seconds(0.5, 3), ConnectTimeout: seconds(0.05, 0.4),
		},
		Rules: choice.Rules{
			AnswerSlack: 20 * time.Millisecond, MaxPollInterval: seconds(2, 10), DrainGrace: seconds(0.3, 5),
			SlowStartFraction: uniform(0.1, 0.6), WarmUp: seconds(4, 25), OverloadMultiple: uniform(2, 5),
			OverloadTime: seconds(1, 3),
		},
		Costs: choice.Costs{
			HealthCheck: uniform(0.001, 0.01), Migration: 0.01, PeerMessage: uniform(0, 0.02),
			CrossZone: uniform(0, 0.03),
		},
	}
	if settings.Reports != choice.NoReports {
		settings.ReportFields = []choice.ReportField{
			choice.Load, choice.Backlog, choice.InFlight, choice.Queue,
			choice.Utilization, choice.Latency,
		}
		rng.Shuffle(len(settings.ReportFields), func(a, b int) {
			settings.ReportFields[a], settings.ReportFields[b] = settings.ReportFields[b], settings.ReportFields[a]
		})
		settings.ReportFields = settings.ReportFields[:1+rng.IntN(4)]
	}
	if chance(0.5) {
		settings.InitialCost = 1 / env.serverCapacity
	}
	settings.Classes = generator.classes()
	for i := range rng.IntN(2) * (1 + rng.IntN(4)) {
		settings.Tenants = append(settings.Tenants, choice.Tenant{
			Name: fmt.Sprint("t", i), Rate: uniform(1, 10), Share: 0.2,
			Connections: uniform(0, 1) * float64(serverCount) * env.serverCapacity,
		})
	}
	return settings, env, generator.servers(serverCount, zoneCount, settings.Sizes)
}

// generator generates random values from one source of random numbers.
type generator struct{ rng *rand.Rand }

func (g generator) chance(probability float64) bool { return g.rng.Float64() < probability }

func (g generator) uniform(low, high float64) float64 { return low + (high-low)*g.rng.Float64() }

func (g generator) seconds(low, high float64) time.Duration {
	return time.Duration(g.uniform(low, high) * float64(time.Second))
}

func (g generator) classes() (classes []choice.Class) {
	for i := range 1 + g.rng.IntN(5) {
		class := choice.Class{
			Name: fmt.Sprint("c", i), SetupObjective: g.seconds(0.2, 0.8), Deadline: g.seconds(0.8, 4),
			Priority:         g.uniform(0.5, 8),
			MessageObjective: g.seconds(0.05, 0.2), Idempotency: choice.Idempotency(g.rng.IntN(3)),
		}
		if class.Idempotency == choice.IdempotentByKey {
			class.IdempotencyScope = choice.Scope(g.rng.IntN(3))
			class.IdempotencyWindow = g.seconds(0.1, 4)
		}
		classes = append(classes, class)
	}
	return classes
}

func (g generator) servers(serverCount, zoneCount int, sizes choice.SizeKind) (list []choice.Server) {
	for i := range serverCount {
		server := choice.Server{
			ID: choice.ServerID(fmt.Sprintf("h%02d", i)), Zone: fmt.Sprint("z", i%zoneCount),
			Kind: fmt.Sprint("k", i%2), Cell: i % (2 * zoneCount), Size: 1,
		}
		if sizes != choice.NoSize {
			server.Size = g.uniform(0.5, 2)
		}
		list = append(list, server)
	}
	return list
}

// randomRunCounts runs a simulation with random settings and returns how often each kind of incident occurred.
func randomRunCounts(t *testing.T, seed uint64) map[string]int {
	t.Helper()
	return runRandomSimulation(t, seed, nil).counts
}

// runRandomSimulation runs a simulation with random settings and returns it in its final state. The recorder records
// all actions; nil: none.
func runRandomSimulation(t *testing.T, seed uint64, recorder *recorder) *simulation {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	settings, env, servers := randomSettings(rng)
	checker := newSimulationChecker()
	sim := newSimulation(t, fmt.Sprintf("seed %d", seed), settings, env, servers, seed, checker)
	checker.sim, sim.recorder = sim, recorder
	watchdog := time.AfterFunc(simulationTimeout, func() {
		panic(fmt.Sprintf("seed %d: the simulation takes longer than its timeout", seed))
	})
	defer watchdog.Stop()

	// new connections per second that fill all servers
	capacity := float64(len(servers)) * env.serverCapacity / env.connectionTime.Seconds()
	newClient := func() *simClient {
		client := &simClient{class: sim.rng.IntN(len(settings.Classes)), tenant: -1, key: sim.rng.Uint64(), load: 1}
		if len(settings.Tenants) > 0 {
			client.tenant = sim.rng.IntN(len(settings.Tenants))
		}
		if settings.GroupAffinity {
			client.group = sim.rng.Uint64N(20)
		}
		if env.requestLoadKnown {
			client.load = 0.5 + sim.rng.Float64()
		}
		return client
	}
	sim.scheduleArrivals(arrivalPeriod, capacity*(0.3+0.6*rng.Float64()), newClient)
	sim.after(sim.randomUpTo(arrivalPeriod), func() { // a burst
		sim.scheduleArrivals(2*time.Second, capacity*2, newClient)
	})
	scheduleFaults(sim, settings)
	sim.run(sim.now + arrivalPeriod)
	stopNodes(sim)
	sim.env.maxClientRequests = 0 // clients no longer retry, because the answers would come after the run
	sim.run(sim.now + 12*time.Second)
	for _, request := range sim.requests {
		if !request.answered && !request.open && !request.ended && !request.clientGone {
			t.Fatalf("seed %d: final answer to %s: got none, want one", seed, request.ID)
		}
	}
	return sim
}

// scheduleFaults schedules server faults, broken subscriptions and a temporary zone plan.
func scheduleFaults(sim *simulation, settings choice.Settings) {
	faults := []func(*simServer){sim.drain, sim.crash, sim.restart, sim.failTemporarily}
	for i := range 8 + len(sim.servers)/3 {
		server := sim.servers[sim.rng.IntN(len(sim.servers))]
		sim.after(sim.randomUpTo(arrivalPeriod), func() { faults[i%len(faults)](server) })
	}
	if settings.Subscribe {
		for range 1 + len(sim.nodes)/2 {
			node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
			sim.after(sim.randomUpTo(arrivalPeriod), func() { sim.breakSubscription(node) })
		}
	}
	if sim.chance(0.3) { // a plan restricts the zones temporarily
		at, plan := sim.randomUpTo(arrivalPeriod/2), randomPlan(sim, settings)
		sim.after(at, func() { sim.deliverPlan(plan) })
		sim.after(at+4*time.Second, func() { sim.deliverPlan(choice.ZonePlan{}) })
	}
}

// randomPlan returns a plan for some of the zones, with a retry-after time of at most Limits.MaxRetryAfter.
func randomPlan(sim *simulation, settings choice.Settings) choice.ZonePlan {
	plan := choice.ZonePlan{Grants: []choice.Grant{}, RetryAfter: sim.randomUpTo(settings.Limits.MaxRetryAfter)}
	visitedZones := map[string]bool{}
	for _, server := range sim.servers {
		if !visitedZones[server.Zone] && sim.chance(0.6) {
			plan.Grants = append(plan.Grants, choice.Grant{Zone: server.Zone, Load: sim.rng.Float64() * 40})
		}
		visitedZones[server.Zone] = true
	}
	for range settings.Classes {
		plan.AdmitFraction = append(plan.AdmitFraction, 0.3+0.7*sim.rng.Float64())
	}
	return plan
}

func (s *simulation) deliverPlan(plan choice.ZonePlan) {
	s.count("zone plans")
	for _, node := range s.nodes {
		s.deliver(node, plan)
	}
}

// stopNodes stops all nodes. Each pending request gets its answer in that step.
func stopNodes(sim *simulation) {
	for _, id := range slices.Sorted(maps.Keys(sim.requests)) { // the iteration order of a map must not affect a run
		if request := sim.requests[id]; !request.answered && !request.open && !request.ended && !request.clientGone &&
			request.deadline > sim.now {
			sim.count("requests pending when their node stops")
			sim.deliver(request.node, choice.TimeUp{ID: id})
		}
	}
}

// TestRulesHoldWithRandomSettings runs simulations with random settings and checks the rules in each. A request gets
// one final answer in time, has at most the allowed number of attempts, one at a time and none after its end, and never
// has its effect twice. Servers that drain or are gone get no requests. Nodes perform no action that the settings
// forbid. The test also fails if the simulations contain too few incidents of a kind to test the rules.
func TestRulesHoldWithRandomSettings(t *testing.T) {
	runs := randomRuns
	if count, err := strconv.Atoi(os.Getenv("RANDOM_SETTINGS")); err == nil {
		runs = count
	}
	total := map[string]int{}
	for seed := range uint64(runs) {
		counts := randomRunCounts(t, seed)
		for incident, count := range counts {
			total[incident] += count
		}
		for _, incident := range []string{"requests", "attempts", "connections", "slow starts"} {
			if counts[incident] == 0 {
				t.Errorf("seed %d: %s: got 0, want at least 1", seed, incident)
			}
		}
	}
	t.Log(total)
	for _, incident := range []string{
		"drains", "crashes", "slow starts", "attempts at servers in slow start", "failing servers", "shed connections",
		"rejected by a full server", "retries", "retries of idempotent requests",
		"retries with idempotency key, scope all", "retries with idempotency key, scope zone",
		"retries with idempotency key, scope cell", "rejections of requests that may have run",
		"failures of requests that may have run", "rejections",
		"failures",
		"abandoned requests", "client retries", "cancellations", "health checks", "migrations", "peer messages",
		"lost peer messages", "failed list requests",
		"broken subscriptions", "delay observations", "zone plans", "retry-after times",
		"requests pending when their node stops",
	} {
		if total[incident] < runs/4 {
			t.Errorf("%s: got %d in %d simulations, want at least one in four simulations", incident, total[incident],
				runs)
		}
	}
}

// TestRandomSimulationIsReproducible checks that two runs with the same seed are equal, so that the seed in a failure
// message reproduces the failure.
func TestRandomSimulationIsReproducible(t *testing.T) {
	for seed := range uint64(4) {
		if first, again := randomRunCounts(t, seed), randomRunCounts(t, seed); !maps.Equal(first, again) {
			t.Errorf("seed %d: got %v in the first run and %v in the second, want equal counts", seed, first, again)
		}
	}
}
