package choice_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"spurwinch/choice"
)

// slowStartFleet is a fleet whose nodes together must not push a server in slow start over.
type slowStartFleet struct {
	name      string
	nodes     int
	servers   int // one in four of them is in slow start
	reports   choice.ReportSource
	peers     bool // nodes may send one another messages: servers have owners
	rules     choice.Rules
	skew      int     // a fifth of the nodes gets this many times the traffic of the others
	homes     float64 // part of the requests that resume on some server
	costKnown bool    // the settings have the load of a mean connection
	burst     float64
	seed      uint64
}

const (
	connectionsPerServer = 20.0 // mean connections that fill a warm server
	connectionTime       = 20 * time.Second
	fleetLoad            = 0.6
	beforeStarts         = 30 * time.Second // until the fleet is in balance
)

// shortWarmUp and longWarmUp are rules as sites have them.
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

// slowStartFigures say how servers in slow start fared in one run.
type slowStartFigures struct {
	worst      float64 // the most that one got in a window, over its budget then
	worstSum   int
	worstBears float64
	windows    int     // windows over its budget
	broken     int     // of these: over two thirds came from nodes that knew of the start
	budgetPart float64 // of all that servers in slow start might get
	fairPart   float64 // of an even part of all connections placed, for what a server in slow start can do
	least      float64 // the least fair part of one
}

// noJudge lets all pass.
type noJudge struct{}

func (noJudge) delivered(*simNode, choice.Event)                  {}
func (noJudge) acted(*simNode, choice.Action)                     {}
func (noJudge) stepped(*simNode, []choice.Event, []choice.Action) {}

func (f slowStartFleet) settings() choice.Settings {
	settings := choice.Settings{
		Nodes: f.nodes, Zone: "z0", Reports: f.reports, Sizes: choice.NominalSize, RoundTrip: 5 * time.Millisecond,
		Classes: []choice.Class{{
			Name: "c", SetupObjective: 800 * time.Millisecond, Deadline: 4 * time.Second,
			MessageObjective: 100 * time.Millisecond, Priority: 1,
		}},
		Limits: choice.Limits{
			MaxAttempts: 4, HealthChecks: true, Cancellation: true, PeerMessages: f.peers,
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

// play has the fleet come into balance, then servers in slow start join and others come back in slow start, under a
// burst, and counts.
func (f slowStartFleet) play(t *testing.T) slowStartFigures {
	t.Helper()
	return f.playRecorded(t, false, nil).slowStartFigures(f)
}

// playRecorded is the same, with the clients in groups or not, and all actions recorded.
func (f slowStartFleet) playRecorded(t *testing.T, grouped bool, recorder *recorder) *simulation {
	t.Helper()
	var list []choice.Server
	for i := range f.servers {
		h := choice.Server{
			ID: choice.ServerID(fmt.Sprintf("h%02d", i)), Zone: "z0", Kind: fmt.Sprint("k", i%2),
			Size: 1 - 0.4*float64(i%2),
		}
		if i%8 == 3 { // joins
			h.State = choice.Gone
		}
		list = append(list, h)
	}
	conditions := terms{
		perServer: connectionsPerServer, connectionTime: connectionTime, listDelay: 300 * time.Millisecond, tries: 6,
		oddAnswers: 0.02, shedAt: 1.3,
		slotsAt: 1.3, messageLoss: 0.02, skew: f.skew, homes: f.homes,
	}
	s := f.settings()
	s.GroupAffinity = grouped
	world := newSimulation(t, f.name, s, conditions, list, f.seed, noJudge{})
	world.recorder = recorder
	var strength float64
	for _, h := range world.servers {
		strength += h.strength
		if s.Sizes == choice.NoSize { // nodes have to learn it
			h.Size = 1
		}
	}
	rate := fleetLoad * strength * connectionsPerServer / connectionTime.Seconds()
	draw := func() *simClient {
		c := &simClient{tenant: -1, key: world.rng.Uint64(), load: 1}
		if grouped {
			c.group = 1 + c.key%30
		}
		return c
	}
	day := beforeStarts + f.rules.WarmUp + 4*time.Second
	world.arrivalsFor(day, rate, draw)
	if f.burst > 0 {
		world.after(beforeStarts+time.Second, func() { world.arrivalsFor(5*time.Second, rate*f.burst, draw) })
	}
	for i, h := range world.servers {
		switch at := beforeStarts + world.upTo(3*time.Second); {
		case i%8 == 3:
			world.after(at, func() { world.start(h) })
		case i%8 == 6:
			world.after(at, func() { world.vanish(h) })
		case i%8 == 5 && i < 8: // one restarts again in its warm-up
			world.after(at, func() { world.restart(h) })
			world.after(at+f.rules.WarmUp/2, func() { world.restart(h) })
		}
	}
	world.run(world.now + day)
	for _, what := range []string{"slow starts", "sends to servers in slow start", "clients that return", "retries"} {
		if world.counts[what] == 0 {
			t.Errorf("%s: no %s; the run shows nothing", f.name, what)
		}
	}
	return world
}

// warmAt is the part of its capacity that a server has so long after a slow start.
func warmAt(r choice.Rules, age time.Duration) float64 {
	return min(1, r.SlowStartFraction+(1-r.SlowStartFraction)*age.Seconds()/r.WarmUp.Seconds())
}

// bears is how many requests of mean work a server in slow start is allowed in a window that ends so long after its
// start: what fills it over its warm-up, by the part of its capacity that it has, by the multiple. The slack for
// chance comes on top.
func bears(r choice.Rules, strength float64, age time.Duration) float64 {
	return r.OverloadMultiple * warmAt(r, age) * strength * connectionsPerServer / r.WarmUp.Seconds() *
		r.OverloadTime.Seconds()
}

// withSlack is the sum from which on a server in slow start falls.
func withSlack(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// slowStartFigures reads the arrivals at all servers in slow start.
func (w *simulation) slowStartFigures(fleet slowStartFleet) (c slowStartFigures) {
	c.least = math.Inf(1)
	var got, might, even float64
	for _, server := range w.servers {
		for i, start := range server.starts {
			end := min(start+fleet.rules.WarmUp, w.now)
			if i+1 < len(server.starts) {
				end = min(end, server.starts[i+1])
			}
			n := c.addStart(fleet, server, start, end)
			age := end - start
			mean := (warmAt(fleet.rules, 0) + warmAt(fleet.rules, age)) / 2
			got += n
			might += fleet.rules.OverloadMultiple * mean * server.strength * connectionsPerServer *
				age.Seconds() / fleet.rules.WarmUp.Seconds()
			part := w.evenPart(server, start, end) * mean
			even += part
			c.least = min(c.least, n/part)
		}
	}
	c.budgetPart, c.fairPart = got/might, got/even
	return c
}

// arrivalsSince counts the arrivals from a time on, and those from nodes that knew of the server's start.
func arrivalsSince(arrivals []arrival, from time.Duration) (sum, informed int) {
	for _, arrival := range arrivals {
		if arrival.at < from {
			continue
		}
		sum++
		if arrival.informed {
			informed++
		}
	}
	return sum, informed
}

// addStart takes in the windows of one slow start, and returns how much the server got in it.
func (c *slowStartFigures) addStart(f slowStartFleet, h *simServer, start, end time.Duration) (got float64) {
	for i, last := range h.arrivals {
		if last.at < start || last.at >= end {
			continue
		}
		got++
		sum, informed := arrivalsSince(h.arrivals[:i+1], max(start, last.at-f.rules.OverloadTime+1))
		n := bears(f.rules, h.strength, last.at-start)
		over := float64(sum) / withSlack(n)
		if over > 1 {
			if c.windows++; 3*informed > 2*sum {
				c.broken++
			}
		}
		if over > c.worst {
			c.worst, c.worstSum, c.worstBears = over, sum, n
		}
	}
	return got
}

// evenPart is what a server would get of all that reached servers in a time, if it came by strength.
func (w *simulation) evenPart(server *simServer, from, to time.Duration) float64 {
	all, strength := 0.0, 0.0
	for _, h := range w.servers {
		strength += h.strength
		for _, a := range h.arrivals {
			if a.at >= from && a.at < to {
				all++
			}
		}
	}
	return all * server.strength / strength
}

// TestSlowStartUnderManyNodes sets the sum of what all nodes send to a server in slow start against what makes it
// fall, while traffic is uneven between nodes, a burst comes, servers join, vanish and restart, and clients retry. A
// window over the limit breaks the rule if over two thirds of it came from nodes that knew of the start; the
// others can't know. Nor may servers in slow start starve: they get at least a part of what an even spread by
// capacity would bring them.
//
// Without owners a server in slow start of 300 nodes gets next to nothing: for these the part is logged and has no
// bound.
func TestSlowStartUnderManyNodes(t *testing.T) {
	for _, test := range []struct {
		nodes     int
		reports   choice.ReportSource
		peers     bool
		costKnown bool
		seeds     uint64
		leastFair float64
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
			name := fmt.Sprintf("%d nodes, reports %d, peers %v, warm after %v", test.nodes, test.reports, test.peers,
				rules.WarmUp)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				var sum slowStartFigures
				for seed := range test.seeds {
					f := slowStartFleet{
						name: fmt.Sprintf("%s, seed %d", name, seed), nodes: test.nodes, servers: 24,
						reports: test.reports, peers: test.peers,
						rules: rules, skew: 4, costKnown: test.costKnown, burst: 4, seed: seed,
					}
					sum.add(f.play(t), test.seeds)
				}
				t.Logf("worst window %.2f of the limit (%d requests, N %.1f), over it %d, rule broken %d; "+
					"part of the budget %.2f, "+
					"of an even spread %.2f, least %.2f", sum.worst, sum.worstSum, sum.worstBears, sum.windows,
					sum.broken, sum.budgetPart,
					sum.fairPart, sum.least)
				if sum.broken > 0 {
					t.Errorf("%d windows over a slow-start budget, sent by nodes that knew of its start",
						sum.broken)
				}
				if sum.fairPart < test.leastFair {
					t.Errorf("servers in slow start get %.2f of an even part", sum.fairPart)
				}
			})
		}
	}
}

// add takes in another run, as one of so many.
func (c *slowStartFigures) add(o slowStartFigures, runs uint64) {
	if o.worst > c.worst {
		c.worst, c.worstSum, c.worstBears = o.worst, o.worstSum, o.worstBears
	}
	c.windows, c.broken = c.windows+o.windows, c.broken+o.broken
	c.budgetPart += o.budgetPart / float64(runs)
	c.fairPart += o.fairPart / float64(runs)
	c.least += o.least / float64(runs)
}
