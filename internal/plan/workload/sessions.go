package workload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"spurwinch/internal/operations/capture"
	"spurwinch/internal/plan/fleet"
)

// sessionTimeout is how long after its last sign a client that returns with the same key is in the same session.
const sessionTimeout = 15 * time.Second

// UnknownClassError says that a capture has a class that the fleet lacks.
type UnknownClassError struct {
	Class string
	Known []string // classes of the fleet
}

func (e *UnknownClassError) Error() string {
	return fmt.Sprintf("the capture holds class %q, the fleet file has none of this name: add a [[class]]; it has %s",
		e.Class, strings.Join(e.Known, ", "))
}

// UnknownTenantError says that a capture has a tenant that a fleet with tenants lacks.
type UnknownTenantError struct{ Tenant string }

func (e *UnknownTenantError) Error() string {
	return fmt.Sprintf("the capture holds edition %q, the fleet file has none of this name: add an [[edition]]",
		e.Tenant)
}

// classIndexes returns the index in a fleet of each class of a capture, or an *UnknownClassError.
func classIndexes(c *Captured, description *fleet.Fleet) ([]int, error) {
	indexes := make([]int, len(c.Classes))
	for i, name := range c.Classes {
		indexes[i] = slices.IndexFunc(description.Classes, func(class fleet.Class) bool { return class.Name == name })
		if indexes[i] < 0 {
			return nil, &UnknownClassError{Class: name, Known: classNames(description)}
		}
	}
	return indexes, nil
}

// tenantIndexes returns the index in a fleet of each tenant of a capture, -1 where the fleet has no tenants, or an
// *UnknownTenantError.
func tenantIndexes(c *Captured, description *fleet.Fleet) ([]int, error) {
	indexes := make([]int, len(c.Tenants))
	for i, name := range c.Tenants {
		indexes[i] = slices.IndexFunc(description.Tenants, func(tenant fleet.Tenant) bool {
			return tenant.Name == name
		})
		if indexes[i] < 0 && len(description.Tenants) > 0 {
			return nil, &UnknownTenantError{Tenant: name}
		}
	}
	return indexes, nil
}

func classNames(description *fleet.Fleet) []string {
	var names []string
	for _, class := range description.Classes {
		names = append(names, class.Name)
	}
	return names
}

// Sessions joins the attempts, returns and connections of each client into sessions of a fleet. A connection that was
// open at the end lasts on for a random time of its class. Where only a share of the load was captured, copies make up
// for the rest. The error is an *UnknownClassError or an *UnknownTenantError.
func (c *Captured) Sessions(description *fleet.Fleet, seed uint64) (*Load, error) {
	classes, err := classIndexes(c, description)
	if err != nil {
		return nil, err
	}
	tenants, err := tenantIndexes(c, description)
	if err != nil {
		return nil, err
	}
	builder := &sessionBuilder{
		fleet:     description,
		classes:   classes,
		tenants:   tenants,
		meanLoads: c.meanLoads(description, classes),
		rng:       rand.New(rand.NewPCG(seed, 31)),
		load:      &Load{Length: c.Length},
		latest:    map[uint64]int{},
	}
	for i := range c.Requests {
		builder.add(&c.Requests[i])
	}
	load := builder.finish()
	if c.Share < 1 {
		return load.Scale(1/c.Share, seed), nil
	}
	return load, nil
}

// meanLoads returns the mean of the known loads of each class of the fleet, in the servers' own unit.
func (c *Captured) meanLoads(description *fleet.Fleet, classes []int) []float64 {
	sums := make([]float64, len(description.Classes))
	counts := make([]float64, len(description.Classes))
	for i := range c.Requests {
		request := &c.Requests[i]
		if load := request.load(); load > 0 {
			sums[classes[request.Class]] += load
			counts[classes[request.Class]]++
		}
	}
	for class := range sums {
		sums[class] /= counts[class] // not a number, and not used, where no load is known
	}
	return sums
}

// sessionBuilder joins requests, in the order of time, into sessions.
type sessionBuilder struct {
	fleet     *fleet.Fleet
	classes   []int     // index in the fleet of each class of the capture
	tenants   []int     // likewise of each tenant
	meanLoads []float64 // by class of the fleet
	rng       *rand.Rand
	load      *Load
	latest    map[uint64]int  // index of the latest session of a client
	lastSeen  []time.Duration // latest sign of each session
}

func (b *sessionBuilder) add(request *Request) {
	class := b.classes[request.Class]
	begin := request.At
	end := begin + capture.Duration(request.Took) + request.Lifetime
	if !request.Ended && request.Answer == capture.Open {
		end += time.Duration(b.rng.ExpFloat64() * float64(b.fleet.Classes[class].Lifetime))
	}
	if b.extend(request.Client, class, begin, end) {
		return
	}
	session := Session{
		Arrival:  begin,
		Lifetime: max(end-begin, minLifetime),
		Class:    class,
		Tenant:   -1,
		Zone:     b.fleet.ZoneIndex(request.Zone),
		Client:   request.Client,
		Group:    request.Group,
	}
	if request.Tenant >= 0 {
		session.Tenant = b.tenants[request.Tenant]
	}
	if session.Client == 0 {
		session.Client = b.rng.Uint64() | 1
	}
	if load := request.load(); load > 0 { // relative to the class: the unit is the servers' own
		session.Load = load / b.meanLoads[class] * b.fleet.Classes[class].Load
	}
	b.latest[session.Client] = len(b.load.Sessions)
	b.lastSeen = append(b.lastSeen, end)
	b.load.Sessions = append(b.load.Sessions, session)
}

// extend makes a request part of its client's latest session. It reports false where that is over, or of another class.
func (b *sessionBuilder) extend(client uint64, class int, begin, end time.Duration) bool {
	if client == 0 {
		return false
	}
	i, ok := b.latest[client]
	if !ok {
		return false
	}
	session := &b.load.Sessions[i]
	if session.Class != class || begin-b.lastSeen[i] >= sessionTimeout {
		return false
	}
	session.Lifetime = max(session.Lifetime, end-session.Arrival)
	b.lastSeen[i] = max(b.lastSeen[i], end)
	return true
}

// finish gives the sessions that were never served a lifetime of their class, which is what they wanted.
func (b *sessionBuilder) finish() *Load {
	for i := range b.load.Sessions {
		session := &b.load.Sessions[i]
		if session.Lifetime <= minLifetime {
			session.Lifetime = time.Duration(b.rng.ExpFloat64() * float64(b.fleet.Classes[session.Class].Lifetime))
		}
	}
	b.load.sort()
	return b.load
}
