package workload

import (
	"math/rand/v2"
	"time"

	"spurwinch/internal/plan/fleet"
)

const (
	maxGroupSize   = 1000            // sessions of a generated group
	groupArrivalIn = 2 * time.Second // mean time after its first session at which another one of a group arrives
)

// GeneratorOptions are the options of Generate.
type GeneratorOptions struct {
	Seed          uint64
	Length        time.Duration
	Concurrency   float64 // mean number of concurrent sessions of the plateau
	StartOpen     bool    // the first sessions are already open when the load begins; else they arrive
	RateVariation float64 // of the arrival rate, which climbs from 1 less this to 1 and this, times its mean
}

// Generate generates a load from a fleet's classes, tenants and groups: Poisson arrivals of groups, with lifetimes and
// sizes as the file says. The sessions of its beginning arrive over the first third of a mean lifetime, a sixth of the
// length at most: all at once they would be a storm that no evening begins with.
func Generate(description *fleet.Fleet, options GeneratorOptions) *Load {
	g := newGenerator(description, options)
	g.initialSessions()
	g.arrivals()
	g.load.sort()
	return g.load
}

// generator draws the sessions of one load. The order of its draws is part of what a seed means.
type generator struct {
	fleet        *fleet.Fleet
	options      GeneratorOptions
	rng          *rand.Rand
	load         *Load
	classShares  []float64
	tenantUsage  []float64
	zoneClients  []float64
	meanLifetime float64 // in seconds, over all classes
	groupSize    float64 // mean
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

// initialSessions adds the sessions that the load begins with.
func (g *generator) initialSessions() {
	count := int(g.options.Concurrency * (1 - g.options.RateVariation) / g.groupSize)
	over := min(g.meanLifetime/3, g.options.Length.Seconds()/6)
	if g.options.StartOpen {
		over = 0
	}
	for range count {
		g.addGroup(time.Duration(g.rng.Float64()*over*float64(time.Second)), true)
	}
}

// arrivals adds the sessions that arrive at random times: a Poisson process of the highest rate, thinned to the rate of
// each moment.
func (g *generator) arrivals() {
	length := g.options.Length.Seconds()
	swing := g.options.RateVariation
	highest := g.options.Concurrency / g.groupSize / g.meanLifetime * (1 + swing)
	for at := g.rng.ExpFloat64() / highest; at < length; at += g.rng.ExpFloat64() / highest {
		rate := 1 - swing + 2*swing*at/length
		if g.rng.Float64()*(1+swing) < rate {
			g.addGroup(time.Duration(at*1e9), false)
		}
	}
}

// addGroup adds a group whose first session arrives as given; the others follow within seconds. The sessions of an
// initial group are in the middle of their lifetimes.
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
			session.Arrival += time.Duration(g.rng.ExpFloat64() * groupArrivalIn.Seconds() * float64(time.Second))
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
		lifetime = class.Lifetime.Seconds() * g.rng.ExpFloat64() // without memory: what is left of it is as long
	} else if initial {
		lifetime *= g.rng.Float64()
	}
	session.Lifetime = max(minLifetime, time.Duration(lifetime*1e9))
	session.Client = g.rng.Uint64() | 1
	g.load.Sessions = append(g.load.Sessions, session)
}
