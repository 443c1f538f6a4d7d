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

// Trial is a small random fleet with a load. It serves to compare a forecast with what a replay measures.
type Trial struct {
	Number      int
	Scenario    string // the scenario, in words
	Fleet       *fleet.Fleet
	Concurrency float64 // mean number of sessions
	Load        *workload.Load
	LostZone    string // zone that is lost; empty: none
	LossTime    time.Duration
}

const (
	trialLifetime     = 8 * time.Second // mean of each class, before its own factor is drawn
	overQuotaUsage    = 5               // arrivals of the tenant that is over its quota, relative to its share
	storeRateHeadroom = 4               // store calls a second that are possible, relative to those of the arrivals
	lossTimeDivisor   = 3               // a zone is lost after the first third of the load
)

// scenario is what a trial is about.
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

// TrialBase returns the fleet that trials are derived from where no fleet file is named: the example under deploy/.
func TrialBase() *fleet.Fleet {
	base, err := fleet.Parse("the built-in fleet", deploy.ExampleFleet)
	if err != nil {
		panic(err) // a test reads it
	}
	return base
}

// GenerateTrial draws the trial with the given number, from 0, from a base fleet, which it leaves as it is. The same
// base, seed, number and length give the same trial. The scenarios take turns by the number.
func GenerateTrial(base *fleet.Fleet, seed uint64, number int, length time.Duration) Trial {
	drawn := scenario(number % int(scenarioCount))
	gen := &trialGenerator{
		rng:      rand.New(rand.NewPCG(seed, uint64(number))),
		scenario: drawn,
		fleet:    base.Clone(),
	}
	gen.fleet.General.Name = fmt.Sprintf("trial %d", number)
	gen.drawTables(base)
	gen.drawServers()
	trial := Trial{Number: number, Scenario: drawn.String(), Fleet: gen.fleet}
	switch drawn {
	case scenarioLargeGroups:
		gen.fleet.Group.Cost = 2 + 2*gen.rng.Float64()
		gen.fleet.Group.Size = 5 + 3*gen.rng.Float64()
	case scenarioOverQuota:
		gen.fleet.Tenants[gen.rng.IntN(len(gen.fleet.Tenants))].Usage = overQuotaUsage
	case scenarioZoneLoss:
		trial.LostZone = gen.fleet.Zones[len(gen.fleet.Zones)-1].Name
		trial.LossTime = length / lossTimeDivisor
	default: // as drawn
	}
	trial.Concurrency = gen.drawConcurrency()
	gen.fleet.Store.Rate = storeRateHeadroom * trial.Concurrency / trialLifetime.Seconds()
	options := workload.GeneratorOptions{Seed: gen.rng.Uint64(), Length: length, Concurrency: trial.Concurrency}
	trial.Load = workload.Generate(gen.fleet, options)
	return trial
}

// trialGenerator draws the fleet of one trial. The order of its draws is part of what a seed means.
type trialGenerator struct {
	rng      *rand.Rand
	scenario scenario
	fleet    *fleet.Fleet
}

// drawTables draws the zones, classes and tenants.
func (g *trialGenerator) drawTables(base *fleet.Fleet) {
	g.fleet.General.ConnectionsPerCore = 35 + 30*g.rng.Float64() // enough that chance doesn't hide an error
	g.fleet.Zones = slices.Clone(base.Zones[:min(len(base.Zones), 2+g.rng.IntN(2))])
	g.fleet.Delays = nil
	g.fleet.Classes = slices.Clone(base.Classes)
	for i := range g.fleet.Classes {
		class := &g.fleet.Classes[i]
		class.Share *= 0.6 + 0.8*g.rng.Float64()
		class.Load *= 0.5 + 0.6*g.rng.Float64() // small fleets: no connection may fill a server
		class.LoadSpread *= 0.3 + 0.7*g.rng.Float64()
		class.Lifetime = fleet.Duration(float64(trialLifetime) * (0.7 + 0.8*g.rng.Float64()))
	}
	g.fleet.Tenants = slices.Clone(base.Tenants)
}

// drawServers draws the servers of the first two kinds, and adds a node for each zone.
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

// addServers spreads a number of servers evenly over the zones, the first ones of which take what is left over.
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

// drawConcurrency draws how many sessions there are: from a light load to one that is too much.
func (g *trialGenerator) drawConcurrency() float64 {
	connection := g.fleet.MeanLoad() * g.fleet.CoreLoad()
	if group := &g.fleet.Group; group.Cost > 0 {
		connection += group.Cost * g.fleet.CoreLoad() / group.Size * 1.5
	}
	return g.fleet.Cores() * (0.45 + 0.6*g.rng.Float64()) / connection
}
