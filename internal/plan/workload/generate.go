package workload

import (
	"math/rand/v2"
	"time"

	"spurwinch/internal/plan/fleet"
)

const (
	maxGroupSize     = 1000            // maximum number of sessions in a generated group
	meanArrivalDelay = 2 * time.Second // mean time from the first session of a group to each further one
)

// GeneratorOptions holds the options of Generate.
type GeneratorOptions struct {
	Seed          uint64
	Length        time.Duration
	Concurrency   float64 // mean number of concurrent sessions in the steady state
	StartOpen     bool    // the initial sessions are already open when the load begins, instead of arriving
	RateVariation float64 // the arrival rate rises from 1-RateVariation to 1+RateVariation times its mean
}

// Generate generates a load from a fleet's classes, tenants and groups. Groups arrive as a Poisson process. The
// fleet file gives the lifetimes of sessions and the sizes of groups. Unless StartOpen is set, the initial sessions
// arrive over a third of a mean lifetime, but over a sixth of the length at most. If all arrived at once, they would
// cause a connection storm, with which no real load begins.
func Generate(description *fleet.Fleet, options GeneratorOptions) *Load {
	g := newGenerator(description, options)
	g.initialSessions()
	g.arrivals()
	g.load.sort()
	return g.load
}

// generator draws the sessions of one load. The load that a seed produces depends on the order of the draws.
type generator struct {
	fleet        *fleet.Fleet
	options      GeneratorOptions
	rng          *rand.Rand
	load         *Load
	classShares  []float64
	tenantUsage  []float64
	zoneClients  []float64
	meanLifetime float64 // in seconds, over all classes
	groupSize    float64 // mean number of sessions in a group
}

func newGenerator(description *fleet.Fleet, options GeneratorOptions) *generator {
	gen := &generator{
		fleet:     description,
		options:   options,
		rng:       rand.New(rand.NewPCG(options.Seed, 77)),
		load:      &Load{Length: options.Length},
		groupSize: 1,
	}
	shares := 0.0
	for _, class := range description.Classes {
		gen.classShares = append(gen.classShares, class.Share)
		gen.meanLifetime += class.Share * class.Lifetime.Seconds()
		shares += class.Share
	}
	gen.meanLifetime /= shares
	for _, tenant := range description.Tenants {
		gen.tenantUsage = append(gen.tenantUsage, tenant.Share*tenant.Usage)
	}
	for _, zone := range description.Zones {
		gen.zoneClients = append(gen.zoneClients, zone.Clients)
	}
	if description.Group.Cost > 0 {
		gen.groupSize = description.Group.Size
	}
	return gen
}

// initialSessions adds the sessions with which the load begins.
func (g *generator) initialSessions() {
	count := int(g.options.Concurrency * (1 - g.options.RateVariation) / g.groupSize)
	arrivalPeriod := min(g.meanLifetime/3, g.options.Length.Seconds()/6)
	if g.options.StartOpen {
		arrivalPeriod = 0
	}
	for range count {
		g.addGroup(time.Duration(g.rng.Float64()*arrivalPeriod*float64(time.Second)), true)
	}
}

// arrivals adds the sessions that arrive at random times. It draws a Poisson process at the highest rate and thins it
// to the arrival rate at each time.
func (g *generator) arrivals() {
	length := g.options.Length.Seconds()
	variation := g.options.RateVariation
	highestRate := g.options.Concurrency / g.groupSize / g.meanLifetime * (1 + variation)
	for at := g.rng.ExpFloat64() / highestRate; at < length; at += g.rng.ExpFloat64() / highestRate {
		rate := 1 - variation + 2*variation*at/length
		if g.rng.Float64()*(1+variation) < rate {
			g.addGroup(time.Duration(at*1e9), false)
		}
	}
}

// addGroup adds a group whose first session arrives at the given time. The others follow within seconds. The sessions
// of an initial group are in the middle of their lifetimes.
func (g *generator) addGroup(arrival time.Duration, initial bool) {
	size := 1
	session := Session{Tenant: -1, AlreadyOpen: initial && g.options.StartOpen}
	if g.fleet.Group.Cost > 0 {
		session.Group = g.rng.Uint64() | 1
		mean := g.fleet.Group.Size
		for mean > 1 && g.rng.Float64() > 1/mean && size < maxGroupSize {
			size++
		}
	}
	if len(g.tenantUsage) > 0 {
		session.Tenant = WeightedIndex(g.rng, g.tenantUsage)
	}
	session.Zone = WeightedIndex(g.rng, g.zoneClients)
	for i := range size {
		session.Arrival = arrival
		if i > 0 && !session.AlreadyOpen {
			session.Arrival += time.Duration(g.rng.ExpFloat64() * meanArrivalDelay.Seconds() * float64(time.Second))
		}
		if session.Arrival < g.options.Length {
			g.addSession(session, initial)
		}
	}
}

// addSession draws the class, lifetime and client of a session and adds it.
func (g *generator) addSession(session Session, initial bool) {
	session.Class = WeightedIndex(g.rng, g.classShares)
	class := &g.fleet.Classes[session.Class]
	lifetime := class.Lifetime.Seconds() * Lognormal(g.rng, class.LifetimeSpread)
	if class.LifetimeSpread == 0 {
		lifetime = class.Lifetime.Seconds() * g.rng.ExpFloat64() // memoryless: a remainder has the same distribution
	} else if initial {
		lifetime *= g.rng.Float64()
	}
	session.Lifetime = max(minLifetime, time.Duration(lifetime*1e9))
	session.Client = g.rng.Uint64() | 1
	g.load.Sessions = append(g.load.Sessions, session)
}
