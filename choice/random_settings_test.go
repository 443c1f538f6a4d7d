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
	// drawnSettings is how many settings a run of the tests draws; RANDOM_SETTINGS=1000 plays more.
	drawnSettings = 80
	// drawnDay is how long a drawn world has clients; then it runs on until all is answered.
	drawnDay = 16 * time.Second
	// worldLimit is how long one world may take, far over what any does (under 1 s): it detects a Step that does not
	// end.
	worldLimit = time.Minute
	// maxMessageBytes is the most bytes of a message between nodes.
	maxMessageBytes = 256
)

// drawSettings draws the settings of the nodes and the properties of the world.
func drawSettings(rng *rand.Rand) (choice.Settings, terms, []choice.Server) {
	draw := drawer{rng}
	chance, between, seconds := draw.chance, draw.between, draw.seconds
	servers, zones := 3+int(58*rng.Float64()*rng.Float64()), 1+rng.IntN(5)
	conditions := terms{
		perServer: between(6, 20), connectionTime: seconds(3, 9), listDelay: seconds(0.05, 2), lossOfList: between(0,
			0.4),
		messageLoss: between(0, 0.3), tries: 1 + rng.IntN(4), leavers: between(0, 0.2), loadsReported: chance(0.4),
		oddAnswers: between(0.02, 0.2), shedAt: between(1, 1.6), homes: 0.03, skew: 1 + rng.IntN(5),
	}
	conditions.slotsAt = conditions.shedAt * between(0.8, 1.1)
	settings := choice.Settings{
		Nodes: 1 + rng.IntN(30), Zone: "z0", GroupAffinity: chance(0.4), PacketPassThrough: chance(0.2),
		Subscribe: chance(0.5),
		Reports:   choice.ReportSource(rng.IntN(3)), Sizes: choice.SizeKind(rng.IntN(3)), DelaysObserved: chance(0.5),
		OverQuotaPriority: between(0, 1), PriorityPerWork: chance(0.5), RoundTrip: 5 * time.Millisecond,
		Limits: choice.Limits{
			MaxAttempts: 1 + rng.IntN(8), HealthChecks: chance(0.8), Cancellation: chance(0.7),
			PeerMessages: chance(0.6),
			RetryAfter:   chance(0.6), MaxRetryAfter: seconds(0.5, 3), ConnectTimeout: seconds(0.05, 0.4),
		},
		Rules: choice.Rules{
			AnswerSlack: 20 * time.Millisecond, MaxPollInterval: seconds(2, 10), DrainGrace: seconds(0.3, 5),
			SlowStartFraction: between(0.1, 0.6), WarmUp: seconds(4, 25), OverloadMultiple: between(2, 5),
			OverloadTime: seconds(1, 3),
		},
		Costs: choice.Costs{
			HealthCheck: between(0.001, 0.01), Migration: 0.01, PeerMessage: between(0, 0.02),
			CrossZone: between(0, 0.03),
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
		settings.InitialCost = 1 / conditions.perServer
	}
	settings.Classes = draw.classes()
	for i := range rng.IntN(2) * (1 + rng.IntN(4)) {
		settings.Tenants = append(settings.Tenants, choice.Tenant{
			Name: fmt.Sprint("t", i), Rate: between(1, 10), Share: 0.2,
			Connections: between(0, 1) * float64(servers) * conditions.perServer,
		})
	}
	return settings, conditions, draw.servers(servers, zones, settings.Sizes)
}

// drawer draws values from one source of random numbers.
type drawer struct{ rng *rand.Rand }

func (d drawer) chance(part float64) bool { return d.rng.Float64() < part }

func (d drawer) between(low, high float64) float64 { return low + (high-low)*d.rng.Float64() }

func (d drawer) seconds(low, high float64) time.Duration {
	return time.Duration(d.between(low, high) * float64(time.Second))
}

func (d drawer) classes() (classes []choice.Class) {
	for i := range 1 + d.rng.IntN(5) {
		class := choice.Class{
			Name: fmt.Sprint("c", i), SetupObjective: d.seconds(0.2, 0.8), Deadline: d.seconds(0.8, 4),
			Priority:         d.between(0.5, 8),
			MessageObjective: d.seconds(0.05, 0.2), Idempotency: choice.Idempotency(d.rng.IntN(3)),
		}
		if class.Idempotency == choice.IdempotentByKey {
			class.IdempotencyScope = choice.Scope(d.rng.IntN(3))
			class.IdempotencyWindow = d.seconds(0.1, 4)
		}
		classes = append(classes, class)
	}
	return classes
}

func (d drawer) servers(count, zones int, sizes choice.SizeKind) (list []choice.Server) {
	for i := range count {
		server := choice.Server{
			ID: choice.ServerID(fmt.Sprintf("h%02d", i)), Zone: fmt.Sprint("z", i%zones), Kind: fmt.Sprint("k", i%2),
			Cell: i % (2 * zones), Size: 1,
		}
		if sizes != choice.NoSize {
			server.Size = d.between(0.5, 2)
		}
		list = append(list, server)
	}
	return list
}

// playDrawn plays one drawn world and returns how often what happened.
func playDrawn(t *testing.T, seed uint64) map[string]int {
	t.Helper()
	return playDrawnWorld(t, seed, nil).counts
}

// playDrawnWorld plays one drawn world and returns it as it is at its end. The recorder sees all actions; nil: nobody
// does.
func playDrawnWorld(t *testing.T, seed uint64, r *recorder) *simulation {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	settings, conditions, list := drawSettings(rng)
	j := newRulesJudge()
	world := newSimulation(t, fmt.Sprintf("seed %d", seed), settings, conditions, list, seed, j)
	j.w, world.recorder = world, r
	watchdog := time.AfterFunc(worldLimit, func() { panic(fmt.Sprintf("seed %d: the world hangs", seed)) })
	defer watchdog.Stop()

	// new connections a second that fill all servers
	capacity := float64(len(list)) * conditions.perServer / conditions.connectionTime.Seconds()
	draw := func() *simClient {
		client := &simClient{class: world.rng.IntN(len(settings.Classes)), tenant: -1, key: world.rng.Uint64(), load: 1}
		if len(settings.Tenants) > 0 {
			client.tenant = world.rng.IntN(len(settings.Tenants))
		}
		if settings.GroupAffinity {
			client.group = world.rng.Uint64N(20)
		}
		if conditions.loadsReported {
			client.load = 0.5 + world.rng.Float64()
		}
		return client
	}
	world.arrivalsFor(drawnDay, capacity*(0.3+0.6*rng.Float64()), draw)
	world.after(world.upTo(drawnDay), func() { world.arrivalsFor(2*time.Second, capacity*2, draw) }) // a burst
	schedule(world, settings)
	world.run(world.now + drawnDay)
	stopNodes(world)
	world.terms.tries = 0 // who comes later than that has no answer within the run
	world.run(world.now + 12*time.Second)
	for _, r := range world.requests {
		if !r.answered && !r.open && !r.over && !r.gone {
			t.Fatalf("seed %d: %s never got its answer", seed, r.ID)
		}
	}
	return world
}

// schedule has the world's troubles happen.
func schedule(world *simulation, settings choice.Settings) {
	faults := []func(*simServer){world.drain, world.vanish, world.restart, world.fail}
	for i := range 8 + len(world.servers)/3 {
		h := world.servers[world.rng.IntN(len(world.servers))]
		world.after(world.upTo(drawnDay), func() { faults[i%len(faults)](h) })
	}
	if settings.Subscribe {
		for range 1 + len(world.nodes)/2 {
			n := world.nodes[world.rng.IntN(len(world.nodes))]
			world.after(world.upTo(drawnDay), func() { world.breakList(n) })
		}
	}
	if world.often(0.3) { // for a time a plan names the zones
		at, plan := world.upTo(drawnDay/2), drawPlan(world, settings)
		world.after(at, func() { world.planFor(plan) })
		world.after(at+4*time.Second, func() { world.planFor(choice.ZonePlan{}) })
	}
}

// drawPlan draws a plan that names some zones, with advice up to the most that clients heed.
func drawPlan(world *simulation, settings choice.Settings) choice.ZonePlan {
	plan := choice.ZonePlan{Grants: []choice.Grant{}, RetryAfter: world.upTo(settings.Limits.MaxRetryAfter)}
	seen := map[string]bool{}
	for _, h := range world.servers {
		if !seen[h.Zone] && world.often(0.6) {
			plan.Grants = append(plan.Grants, choice.Grant{Zone: h.Zone, Load: world.rng.Float64() * 40})
		}
		seen[h.Zone] = true
	}
	for range settings.Classes {
		plan.AdmitFraction = append(plan.AdmitFraction, 0.3+0.7*world.rng.Float64())
	}
	return plan
}

func (w *simulation) planFor(p choice.ZonePlan) {
	w.count("plans")
	for _, n := range w.nodes {
		w.deliver(n, p)
	}
}

// stopNodes has all nodes stop: each waiting request gets its answer in that step.
func stopNodes(w *simulation) {
	for _, id := range slices.Sorted(maps.Keys(w.requests)) { // the order of a map must not sway a run
		if r := w.requests[id]; !r.answered && !r.open && !r.over && !r.gone && r.deadline > w.now {
			w.count("requests that wait as their node stops")
			w.deliver(r.node, choice.TimeUp{ID: id})
		}
	}
}

// TestRandomSettingsKeepTheRules draws settings and worlds by seed and checks the rules in each: one final answer in
// time, attempts within the limit and one at a time, nothing after the end, no effect twice, nothing to servers that
// drain or are gone, and no action that the settings don't allow.
func TestRandomSettingsKeepTheRules(t *testing.T) {
	worlds := drawnSettings
	if n, err := strconv.Atoi(os.Getenv("RANDOM_SETTINGS")); err == nil {
		worlds = n
	}
	total := map[string]int{}
	for seed := range uint64(worlds) {
		counts := playDrawn(t, seed)
		for what, n := range counts {
			total[what] += n
		}
		for _, what := range []string{"requests", "sends", "connections", "slow starts"} {
			if counts[what] == 0 {
				t.Errorf("seed %d: no %s", seed, what)
			}
		}
	}
	t.Log(total)
	for _, what := range []string{
		"drains", "servers that vanish", "slow starts", "sends to servers in slow start", "failing servers", "sheds",
		"rejected by a full server", "retries", "safe repeats", "keyed repeats, scope all", "keyed repeats, scope zone",
		"keyed repeats, scope cell", "rejections of what may have run", "failures of what may have run", "rejections",
		"failures",
		"clients that leave", "clients that return", "cancels", "health checks", "moves", "messages", "lost messages",
		"failed asks",
		"broken subscriptions", "delay notes", "plans", "advice", "requests that wait as their node stops",
	} {
		if total[what] < worlds/4 {
			t.Errorf("%s: %d in %d worlds; the run shows too little of it", what, total[what], worlds)
		}
	}
}

// TestDrawnWorldsRepeat guards the seeds that a failure names: a world has to be the same each time.
func TestDrawnWorldsRepeat(t *testing.T) {
	for seed := range uint64(4) {
		if first, again := playDrawn(t, seed), playDrawn(t, seed); !maps.Equal(first, again) {
			t.Errorf("seed %d: %v, then %v", seed, first, again)
		}
	}
}
