package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"spurwinch/deploy"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// Trial is a small random fleet with a load, used to compare a forecast with the measurements of a replay.
type Trial struct {
	Number      int
	Scenario    string // description of the scenario
	Fleet       *fleet.Fleet
	Concurrency float64 // mean number of sessions
	Load        *workload.Load
	LostZone    string // zone that is lost; empty if no zone is lost
	LossTime    time.Duration
}

const (
	trialLifetime     = 8 * time.Second // mean of each class before a random factor is applied
	overQuotaUsage    = 5               // arrivals of the tenant that exceeds its quota, relative to its share
	storeRateHeadroom = 4               // calls per second that the session store can serve, relative to arrivals
	lossTimeDivisor   = 3               // a zone is lost after the first third of the load
)

// scenario is the situation that a trial covers.
type scenario int

const (
	scenarioUsual scenario = iota
	scenarioSlowServers
	scenarioLargeGroups
	scenarioOverQuota
	scenarioZoneLoss
	scenarioCount // number of scenarios
)

func (s scenario) String() string {
	return [scenarioCount]string{
		scenarioUsual:       "usual",
		scenarioSlowServers: "mostly slow",
		scenarioLargeGroups: "group-heavy",
		scenarioOverQuota:   "edition over its share",
		scenarioZoneLoss:    "lost centre",
	}[s]
}

// TrialBase returns the example fleet under deploy/, from which trials are derived if no fleet file is named.
func TrialBase() *fleet.Fleet {
	base, err := fleet.Parse("the built-in fleet", deploy.ExampleFleet)
	if err != nil {
		panic(err) // a test checks that the example can be parsed
	}
	return base
}

// GenerateTrial draws a trial from a base fleet, which it does not modify. Trials are numbered from 0. The same base,
// seed, number and length give the same trial. The number modulo scenarioCount selects the scenario.
func GenerateTrial(base *fleet.Fleet, seed uint64, number int, length time.Duration) Trial {
	selected := scenario(number % int(scenarioCount))
	gen := &trialGenerator{
		rng:      rand.New(rand.NewPCG(seed, uint64(number))),
		scenario: selected,
		fleet:    base.Clone(),
	}
	gen.fleet.General.Name = fmt.Sprintf("trial %d", number)
	gen.drawZonesAndClasses(base)
	gen.drawServers()
	trial := Trial{Number: number, Scenario: selected.String(), Fleet: gen.fleet}
	switch selected {
	case scenarioLargeGroups:
		gen.fleet.Group.Cost = 2 + 2*gen.rng.Float64()
		gen.fleet.Group.Size = 5 + 3*gen.rng.Float64()
	case scenarioOverQuota:
		gen.fleet.Tenants[gen.rng.IntN(len(gen.fleet.Tenants))].Usage = overQuotaUsage
	case scenarioZoneLoss:
		trial.LostZone = gen.fleet.Zones[len(gen.fleet.Zones)-1].Name
		trial.LossTime = length / lossTimeDivisor
	default: // the other scenarios need no further change
	}
	trial.Concurrency = gen.drawConcurrency()
	gen.fleet.Store.Rate = storeRateHeadroom * trial.Concurrency / trialLifetime.Seconds()
	options := workload.GeneratorOptions{Seed: gen.rng.Uint64(), Length: length, Concurrency: trial.Concurrency}
	trial.Load = workload.Generate(gen.fleet, options)
	return trial
}

// trialGenerator draws the fleet of one trial. A change to the order of its draws changes the trial of a seed.
type trialGenerator struct {
	rng      *rand.Rand
	scenario scenario
	fleet    *fleet.Fleet
}

// drawZonesAndClasses draws the zones, the classes and the number of connections per core, and copies the tenants.
func (g *trialGenerator) drawZonesAndClasses(base *fleet.Fleet) {
	g.fleet.General.ConnectionsPerCore = 35 + 30*g.rng.Float64() // many, so that random variation hides no error
	g.fleet.Zones = slices.Clone(base.Zones[:min(len(base.Zones), 2+g.rng.IntN(2))])
	g.fleet.Delays = nil
	g.fleet.Classes = slices.Clone(base.Classes)
	for i := range g.fleet.Classes {
		class := &g.fleet.Classes[i]
		class.Share *= 0.6 + 0.8*g.rng.Float64()
		class.Load *= 0.5 + 0.6*g.rng.Float64() // no single connection may fill a server of a small fleet
		class.LoadSpread *= 0.3 + 0.7*g.rng.Float64()
		class.Lifetime = fleet.Duration(float64(trialLifetime) * (0.7 + 0.8*g.rng.Float64()))
	}
	g.fleet.Tenants = slices.Clone(base.Tenants)
}

// drawServers draws servers of the first two machine kinds and adds a node for each zone.
func (g *trialGenerator) drawServers() {
	servers := 5 + g.rng.IntN(5)
	slowFraction := 0.2 + 0.4*g.rng.Float64()
	if g.scenario == scenarioSlowServers {
		slowFraction = 0.55
	}
	slow := int(float64(servers)*slowFraction + 0.5)
	g.fleet.ServerPools = nil
	g.addServers(g.fleet.MachineKinds[0].Name, servers-slow)
	if len(g.fleet.MachineKinds) > 1 {
		g.addServers(g.fleet.MachineKinds[1].Name, slow)
	}
	g.fleet.NodePools = nil
	for _, zone := range g.fleet.Zones {
		g.fleet.NodePools = append(g.fleet.NodePools, fleet.NodePool{Zone: zone.Name, Count: 1, Descriptors: 1024})
	}
}

// addServers spreads a number of servers evenly over the zones. The first zones take the remainder.
func (g *trialGenerator) addServers(kind string, servers int) {
	zones := g.fleet.Zones
	for i := range zones {
		count := servers / len(zones)
		if i < servers%len(zones) {
			count++
		}
		if count > 0 {
			pool := fleet.ServerPool{Kind: kind, Zone: zones[i].Name, Count: count}
			g.fleet.ServerPools = append(g.fleet.ServerPools, pool)
		}
	}
}

// drawConcurrency draws the mean number of sessions, which ranges from a light load to an overload.
func (g *trialGenerator) drawConcurrency() float64 {
	connectionLoad := g.fleet.MeanLoad() * g.fleet.CoreLoad()
	if group := &g.fleet.Group; group.Cost > 0 {
		connectionLoad += group.Cost * g.fleet.CoreLoad() / group.Size * 1.5
	}
	return g.fleet.Cores() * (0.45 + 0.6*g.rng.Float64()) / connectionLoad
}
