package choice_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"spurwinch/choice"
)

// slowStartFleet is a fleet whose nodes together must not overload a server in slow start.
type slowStartFleet struct {
	name           string
	nodes          int
	servers        int // about a quarter of them gets into slow start
	reports        choice.ReportSource
	peerMessages   bool // nodes may send each other messages, so that servers have owners
	rules          choice.Rules
	trafficSkew    int     // factor by which a fifth of the nodes gets more traffic than the others
	stickyFraction float64 // fraction of the requests that resume a session on some server
	costKnown      bool    // the settings contain the load of a mean connection
	burstFactor    float64 // additional arrivals in the burst as a multiple of the usual rate; 0: no burst
	seed           uint64
}

const (
	connectionsPerServer = 20.0 // mean connections that fill a server of capacity 1 that has warmed up
	connectionTime       = 20 * time.Second
	fleetLoad            = 0.6
	settlingTime         = 30 * time.Second // until the load of the fleet is balanced
)

// shortWarmUp and longWarmUp are typical rules of sites.
var (
	shortWarmUp = choice.Rules{
		AnswerSlack: 20 * time.Millisecond, MaxPollInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond,
		SlowStartFraction: 0.2, WarmUp: 10 * time.Second, OverloadMultiple: 3, OverloadTime: time.Second,
	}
	longWarmUp = choice.Rules{
		AnswerSlack: 20 * time.Millisecond, MaxPollInterval: 10 * time.Second, DrainGrace: 3 * time.Second,
		SlowStartFraction: 0.14, WarmUp: 24 * time.Second, OverloadMultiple: 4, OverloadTime: 2 * time.Second,
	}
)

// slowStartStats are the statistics of servers in slow start in one run, or the combined ones of several runs.
type slowStartStats struct {
	worstRatio       float64 // arrivals in the fullest window, as a multiple of the limit for the window
	worstRequests    int     // arrivals in that window
	worstBudget      float64 // windowBudget of that window
	windowsOverLimit int     // windows over the limit
	violations       int     // windows over the limit in which over two thirds came from nodes that knew of the start
	budgetFraction   float64 // arrivals as a fraction of the budget of all servers in slow start
	fairShare        float64 // arrivals as a fraction of an even share by the capacity during slow start
	minFairShare     float64 // lowest fairShare of a single slow start
}

// noChecker is the checker of simulations whose statistics are tested, not the rules.
type noChecker struct{}

func (noChecker) onEvent(*simNode, choice.Event)                   {}
func (noChecker) onAction(*simNode, choice.Action)                 {}
func (noChecker) onStep(*simNode, []choice.Event, []choice.Action) {}

func (f slowStartFleet) settings() choice.Settings {
	settings := choice.Settings{
		Nodes: f.nodes, Zone: "z0", Reports: f.reports, Sizes: choice.NominalSize, RoundTrip: 5 * time.Millisecond,
		Classes: []choice.Class{{
			Name: "c", SetupObjective: 800 * time.Millisecond, Deadline: 4 * time.Second,
			MessageObjective: 100 * time.Millisecond, Priority: 1,
		}},
		Limits: choice.Limits{
			MaxAttempts: 4, HealthChecks: true, Cancellation: true, PeerMessages: f.peerMessages,
			ConnectTimeout: 100 * time.Millisecond,
		},
		Rules: f.rules,
		Costs: choice.Costs{HealthCheck: 0.002, Migration: 0.01, PeerMessage: 0.01},
	}
	if f.reports != choice.NoReports {
		settings.ReportFields, settings.Sizes = []choice.ReportField{choice.Load, choice.Utilization}, choice.NoSize
	}
	if f.costKnown {
		settings.InitialCost = 1 / connectionsPerServer
	}
	return settings
}

// run simulates the fleet and returns the statistics. The fleet first settles until its load is balanced. During a
// burst, servers then join in slow start, and others restart in slow start.
func (f slowStartFleet) run(t *testing.T) slowStartStats {
	t.Helper()
	return f.runRecorded(t, false, nil).slowStartStats(f)
}

// runRecorded does the same as run, optionally with clients in groups, and records all actions.
func (f slowStartFleet) runRecorded(t *testing.T, grouped bool, recorder *recorder) *simulation {
	t.Helper()
	var servers []choice.Server
	for i := range f.servers {
		server := choice.Server{
			ID: choice.ServerID(fmt.Sprintf("h%02d", i)), Zone: "z0", Kind: fmt.Sprint("k", i%2),
			Size: 1 - 0.4*float64(i%2),
		}
		if i%8 == 3 { // joins later
			server.State = choice.Gone
		}
		servers = append(servers, server)
	}
	env := environment{
		serverCapacity: connectionsPerServer, connectionTime: connectionTime, maxListDelay: 300 * time.Millisecond,
		maxClientRequests: 6, failedSetupRate: 0.02, shedThreshold: 1.3,
		rejectThreshold: 1.3, messageLossRate: 0.02, trafficSkew: f.trafficSkew, stickyFraction: f.stickyFraction,
	}
	settings := f.settings()
	settings.GroupAffinity = grouped
	sim := newSimulation(t, f.name, settings, env, servers, f.seed, noChecker{})
	sim.recorder = recorder
	var capacity float64
	for _, server := range sim.servers {
		capacity += server.capacity
		if settings.Sizes == choice.NoSize { // nodes have to learn the capacity
			server.Size = 1
		}
	}
	rate := fleetLoad * capacity * connectionsPerServer / connectionTime.Seconds()
	newClient := func() *simClient {
		client := &simClient{tenant: -1, key: sim.rng.Uint64(), load: 1}
		if grouped {
			client.group = 1 + client.key%30
		}
		return client
	}
	duration := settlingTime + f.rules.WarmUp + 4*time.Second
	sim.scheduleArrivals(duration, rate, newClient)
	if f.burstFactor > 0 {
		sim.after(settlingTime+time.Second, func() {
			sim.scheduleArrivals(5*time.Second, rate*f.burstFactor, newClient)
		})
	}
	for i, server := range sim.servers {
		switch at := settlingTime + sim.randomUpTo(3*time.Second); {
		case i%8 == 3:
			sim.after(at, func() { sim.start(server) })
		case i%8 == 6:
			sim.after(at, func() { sim.crash(server) })
		case i%8 == 5 && i < 8: // one server restarts again during its warm-up
			sim.after(at, func() { sim.restart(server) })
			sim.after(at+f.rules.WarmUp/2, func() { sim.restart(server) })
		}
	}
	sim.run(sim.now + duration)
	// A run without these incidents would not test slow start.
	for _, incident := range []string{"slow starts", "attempts at servers in slow start", "client retries", "retries"} {
		if sim.counts[incident] == 0 {
			t.Errorf("%s: %s: got 0, want at least 1", f.name, incident)
		}
	}
	return sim
}

// warmFractionAt returns the fraction of its capacity that a server has at the given age after a slow start.
func warmFractionAt(rules choice.Rules, age time.Duration) float64 {
	return min(1, rules.SlowStartFraction+(1-rules.SlowStartFraction)*age.Seconds()/rules.WarmUp.Seconds())
}

// windowBudget returns how many requests of mean work a server in slow start may get in a window that ends at the given
// age of the server. It is the product of the rate that fills the server over its warm-up, the fraction of its capacity
// that it has, the overload multiple and the length of a window. overloadLimit adds the slack for random variation.
func windowBudget(rules choice.Rules, capacity float64, age time.Duration) float64 {
	return rules.OverloadMultiple * warmFractionAt(rules, age) * capacity * connectionsPerServer /
		rules.WarmUp.Seconds() * rules.OverloadTime.Seconds()
}

// overloadLimit returns the number of requests in a window above which a server in slow start becomes overloaded.
func overloadLimit(budget float64) float64 { return budget + 2*math.Sqrt(budget) + 2 }

// slowStartStats returns the statistics of the arrivals at all servers in slow start.
func (s *simulation) slowStartStats(fleet slowStartFleet) (stats slowStartStats) {
	stats.minFairShare = math.Inf(1)
	var total, budget, evenTotal float64
	for _, server := range s.servers {
		for i, start := range server.slowStarts {
			end := min(start+fleet.rules.WarmUp, s.now)
			if i+1 < len(server.slowStarts) {
				end = min(end, server.slowStarts[i+1])
			}
			arrived := stats.addSlowStart(fleet, server, start, end)
			age := end - start
			meanFraction := (warmFractionAt(fleet.rules, 0) + warmFractionAt(fleet.rules, age)) / 2
			total += arrived
			budget += fleet.rules.OverloadMultiple * meanFraction * server.capacity * connectionsPerServer *
				age.Seconds() / fleet.rules.WarmUp.Seconds()
			share := s.evenShare(server, start, end) * meanFraction
			evenTotal += share
			stats.minFairShare = min(stats.minFairShare, arrived/share)
		}
	}
	stats.budgetFraction, stats.fairShare = total/budget, total/evenTotal
	return stats
}

// countArrivals returns the number of arrivals since a time, and how many of them came from nodes that knew of the
// server's start.
func countArrivals(arrivals []arrival, from time.Duration) (total, withStartKnown int) {
	for _, arrival := range arrivals {
		if arrival.at < from {
			continue
		}
		total++
		if arrival.startKnown {
			withStartKnown++
		}
	}
	return total, withStartKnown
}

// addSlowStart adds the windows of one slow start and returns the number of arrivals during it. Each arrival ends one
// window of length OverloadTime, or shorter if the start was less than that ago.
func (stats *slowStartStats) addSlowStart(fleet slowStartFleet, server *simServer,
	start, end time.Duration,
) (arrived float64) {
	for i, last := range server.arrivals {
		if last.at < start || last.at >= end {
			continue
		}
		arrived++
		total, withStartKnown := countArrivals(server.arrivals[:i+1], max(start, last.at-fleet.rules.OverloadTime+1))
		budget := windowBudget(fleet.rules, server.capacity, last.at-start)
		ratio := float64(total) / overloadLimit(budget)
		if ratio > 1 {
			if stats.windowsOverLimit++; 3*withStartKnown > 2*total {
				stats.violations++
			}
		}
		if ratio > stats.worstRatio {
			stats.worstRatio, stats.worstRequests, stats.worstBudget = ratio, total, budget
		}
	}
	return arrived
}

// evenShare returns the number of arrivals that a server would get in a period if all arrivals were spread in
// proportion to the servers' capacities.
func (s *simulation) evenShare(server *simServer, from, to time.Duration) float64 {
	arrived, capacity := 0.0, 0.0
	for _, other := range s.servers {
		capacity += other.capacity
		for _, arrival := range other.arrivals {
			if arrival.at >= from && arrival.at < to {
				arrived++
			}
		}
	}
	return arrived * server.capacity / capacity
}

// TestSlowStartLimitsLoadOfManyNodes compares the requests that all nodes together send to a server in slow start with
// the limit above which they overload it. Meanwhile the traffic differs between nodes, a burst arrives, servers join,
// crash and restart, and clients retry. A window over the limit violates the rule if over two thirds of its requests
// came from nodes that knew of the start, because the other nodes can't know of it. Servers in slow start must also get
// at least a fraction of what an even spread by capacity would send them.
//
// With 300 nodes and without owners, a server in slow start gets almost no requests. For these cases the fraction is
// logged but has no lower bound.
func TestSlowStartLimitsLoadOfManyNodes(t *testing.T) {
	for _, test := range []struct {
		nodes         int
		reports       choice.ReportSource
		peerMessages  bool
		costKnown     bool
		seeds         uint64
		wantFairShare float64
	}{
		{3, choice.NoReports, false, true, 4, 0.3},
		{3, choice.HealthCheckReports, false, false, 3, 0.25},
		{3, choice.AllReports, true, true, 3, 0.25},
		{30, choice.NoReports, false, true, 3, 0.03},
		{30, choice.HealthCheckReports, false, false, 3, 0.3},
		{30, choice.AllReports, false, true, 3, 0.2},
		{300, choice.NoReports, false, true, 1, 0},
		{300, choice.HealthCheckReports, false, false, 1, 0},
		{300, choice.HealthCheckReports, true, false, 1, 1},
		{300, choice.AllReports, true, true, 1, 1},
	} {
		for _, rules := range []choice.Rules{shortWarmUp, longWarmUp} {
			name := fmt.Sprintf("%d nodes, reports %d, peer messages %v, warm after %v", test.nodes, test.reports,
				test.peerMessages, rules.WarmUp)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				var total slowStartStats
				for seed := range test.seeds {
					fleet := slowStartFleet{
						name: fmt.Sprintf("%s, seed %d", name, seed), nodes: test.nodes, servers: 24,
						reports: test.reports, peerMessages: test.peerMessages,
						rules: rules, trafficSkew: 4, costKnown: test.costKnown, burstFactor: 4, seed: seed,
					}
					total.add(fleet.run(t), test.seeds)
				}
				t.Logf("fullest window %.2f of its limit (%d requests, budget %.1f), over limit %d, violations %d; "+
					"fraction of the budget %.2f, "+
					"of an even share %.2f, lowest %.2f", total.worstRatio, total.worstRequests, total.worstBudget,
					total.windowsOverLimit, total.violations, total.budgetFraction,
					total.fairShare, total.minFairShare)
				if total.violations > 0 {
					t.Errorf("windows over a slow-start limit, mostly by nodes that knew of the start: got %d, want 0",
						total.violations)
				}
				if total.fairShare < test.wantFairShare {
					t.Errorf("arrivals in slow start: got %.2f of an even share, want at least wantFairShare",
						total.fairShare)
				}
			})
		}
	}
}

// add adds the statistics of one of several runs. It keeps the maximum of worstRatio, sums the counts and averages the
// rest over runs.
func (stats *slowStartStats) add(run slowStartStats, runs uint64) {
	if run.worstRatio > stats.worstRatio {
		stats.worstRatio, stats.worstRequests, stats.worstBudget = run.worstRatio, run.worstRequests, run.worstBudget
	}
	stats.windowsOverLimit, stats.violations = stats.windowsOverLimit+run.windowsOverLimit,
		stats.violations+run.violations
	stats.budgetFraction += run.budgetFraction / float64(runs)
	stats.fairShare += run.fairShare / float64(runs)
	stats.minFairShare += run.minFairShare / float64(runs)
}
