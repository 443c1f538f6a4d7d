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

// sessionTimeout is the time without activity of a client after which its next request begins a new session.
const sessionTimeout = 15 * time.Second

// UnknownClassError reports that a capture has a class that the fleet file does not define.
type UnknownClassError struct {
	Class string
	Known []string // classes of the fleet
}

func (e *UnknownClassError) Error() string {
	return fmt.Sprintf(
		"the capture has class %q, which the fleet file does not define: add a [[class]]; the file defines %s",
		e.Class, strings.Join(e.Known, ", "))
}

// UnknownTenantError reports that a capture has a tenant that a fleet file with tenants does not define.
type UnknownTenantError struct{ Tenant string }

func (e *UnknownTenantError) Error() string {
	return fmt.Sprintf("the capture has edition %q, which the fleet file does not define: add an [[edition]]",
		e.Tenant)
}

// classIndexes returns the index in the fleet of each class of a capture. The error is an *UnknownClassError.
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

// tenantIndexes returns the index in the fleet of each tenant of a capture, or -1 if the fleet has no tenants. The
// error is an *UnknownTenantError.
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

// Sessions joins the requests and connections of each client, retries and reconnects included, into sessions of a
// fleet. A connection that was open at the end of the capture lasts for a further time, drawn at random with the mean
// lifetime of its class. If the files contain only a share of the load, Sessions scales it up with copies. The error is
// an *UnknownClassError or an *UnknownTenantError.
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

// meanLoads returns the mean of the known loads of each class of the fleet, in the unit of the servers' load reports.
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
		sums[class] /= counts[class] // NaN for a class without known loads, for which add does not use it
	}
	return sums
}

// sessionBuilder joins requests into sessions. The requests must be added in time order.
type sessionBuilder struct {
	fleet     *fleet.Fleet
	classes   []int     // index in the fleet of each class of the capture
	tenants   []int     // index in the fleet of each tenant of the capture; -1: none
	meanLoads []float64 // by class of the fleet
	rng       *rand.Rand
	load      *Load
	latest    map[uint64]int  // index of the latest session of each client
	lastSeen  []time.Duration // latest known activity of each session
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
	if load := request.load(); load > 0 { // relative to the class, because servers report load in their own unit
		session.Load = load / b.meanLoads[class] * b.fleet.Classes[class].Load
	}
	b.latest[session.Client] = len(b.load.Sessions)
	b.lastSeen = append(b.lastSeen, end)
	b.load.Sessions = append(b.load.Sessions, session)
}

// extend adds a request to its client's latest session. It returns false if that session does not exist, is over or has
// another class.
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

// finish draws a lifetime for each session that was never served, with the mean lifetime of its class, as an estimate
// of the lifetime that the client wanted.
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
