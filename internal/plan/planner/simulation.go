// Package planner forecasts how a fleet serves a load. The nodes of the model are the real core and the real decision
// module (edge.Core, choice.Balancer) on a simulated clock; servers, session store, endpoint list and clients are
// models, described in docs/planner.md. A run is a pure function of fleet, load, options and seed.
package planner

import (
	"math"
	"math/rand/v2"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

const (
	step             = 50 * time.Millisecond // of the servers' work
	worstWindow      = 10 * time.Second      // length of the window whose service a run reports by itself
	settleTime       = 2 * time.Second       // initial arrivals reach no limit in it, slow start apart
	continueAtLimit  = time.Second           // how long a run with StopAtLimit goes on after a limit was reached
	minStoppedResult = 1e-9                  // a run that ended early has a service over 0, which means that it did not
)

// Options change a run.
type Options struct {
	Seed uint64
	// LostZone is lost, with its nodes and servers, at LossTime. Empty: none.
	LostZone string
	LossTime time.Duration
	// AllWarmingUp starts all servers with the load, in slow start.
	AllWarmingUp bool
	// MinService ends a run that can no longer reach this service. Its result is the most that it could have reached.
	MinService float64
	// StopAtLimit ends a run soon after a limit was reached.
	StopAtLimit bool
}

// Stats counts what happened in a run.
type Stats struct {
	Sessions    int `json:"Sessions"`
	Requests    int `json:"Requests"`
	Established int `json:"Up"`
	Rejected    int `json:"Refused"`
	Failed      int `json:"Failed"`
	Migrations  int `json:"Moves"`
	Resets      int `json:"Breaks"`
	Sheds       int `json:"Sheds"`
	Overloaded  int `json:"Fallen"` // servers in slow start that failed of too many new connections
}

// simulation is one run.
type simulation struct {
	fleet   *fleet.Fleet
	load    *workload.Load
	options Options
	rng     *rand.Rand

	now      time.Duration // since the beginning of the load
	sequence uint64        // of the event that was scheduled last
	queue    eventQueue

	servers    []*server
	serverByID map[choice.ServerID]*server
	nodes      []*node
	latencies  [][]time.Duration // one way, by zones
	storeFree  time.Duration     // when the session store is free again

	requests      int   // number of the last one
	tenantHolds   []int // sessions that want a connection, by tenant
	tenantQuotas  []float64
	priorities    []float64 // of a second of each session
	servedRates   []float64 // weight a second that is served well in the current step, by class and tenant
	nearby, other []*node   // scratch space of pickNode

	account          *workload.Account
	limits           [limitCount]LimitUsage
	limitReachedAt   time.Duration // with StopAtLimit; 0: not yet
	earlyService     float64       // the most that a run that ended early could have reached; 0: it did not end early
	stats            Stats
	requestsBySecond []int
}

func newSimulation(description *fleet.Fleet, load *workload.Load, options Options) (*simulation, error) {
	tenants := max(1, len(description.Tenants))
	sim := &simulation{
		fleet:        description,
		load:         load,
		options:      options,
		rng:          rand.New(rand.NewPCG(options.Seed, 1213)),
		serverByID:   map[choice.ServerID]*server{},
		tenantHolds:  make([]int, tenants),
		tenantQuotas: make([]float64, tenants),
		priorities:   workload.Priorities(description, load),
		servedRates:  make([]float64, len(description.Classes)*tenants),
		account:      workload.NewAccount(description, load.Length),
	}
	sim.account.AddDemand(load, sim.priorities)
	sim.requestsBySecond = make([]int, len(sim.account.DemandBySecond))
	for i := range sim.tenantQuotas {
		sim.tenantQuotas[i] = math.Inf(1)
		if len(description.Tenants) > 0 {
			sim.tenantQuotas[i] = description.Quota(i)
		}
	}
	for from := range description.Zones {
		var row []time.Duration
		for to := range description.Zones {
			row = append(row, description.OneWay(from, to))
		}
		sim.latencies = append(sim.latencies, row)
	}
	for _, pool := range description.ServerPools {
		for range pool.Count {
			kind := description.MachineKind(pool.Kind)
			sim.addServer(kind, description.ZoneIndex(pool.Zone), pool.WarmingUp || options.AllWarmingUp)
		}
	}
	for _, pool := range description.NodePools {
		for range pool.Count {
			if err := sim.addNode(pool, description.NodeCount()); err != nil {
				return nil, err
			}
		}
	}
	return sim, nil
}

// schedule has an action happen at a time, or now where that is past. The core of the node, if one is given, is flushed
// after it.
func (s *simulation) schedule(at time.Duration, flushed *node, action func()) *event {
	s.sequence++
	scheduled := &event{action, flushed}
	s.queue.push(scheduledEvent{max(at, s.now), s.sequence, scheduled})
	return scheduled
}

// advanceTo has all events up to a time happen.
func (s *simulation) advanceTo(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := s.queue.pop()
		s.now = next.at
		if next.event.action == nil {
			continue
		}
		next.event.action()
		if node := next.event.node; node != nil && !node.lost {
			node.core.Flush()
		}
	}
	s.now = until
}

// run plays the whole load.
func (s *simulation) run() {
	for _, node := range s.nodes {
		node.core.Start(s.endpointList())
	}
	first := 0
	for first < len(s.load.Sessions) && s.load.Sessions[first].AlreadyOpen {
		s.startSession(first)
		first++
	}
	s.scheduleArrival(first)
	s.schedule(step, nil, s.tick)
	if zone := s.fleet.ZoneIndex(s.options.LostZone); zone >= 0 {
		s.schedule(s.options.LossTime, nil, func() { s.loseZone(zone) })
	}
	s.advanceTo(s.load.Length)
}

// tick ends a step of the servers' work.
func (s *simulation) tick() {
	s.advanceServers()
	if s.now+step <= s.load.Length && !s.stopsEarly() {
		s.schedule(s.now+step, nil, s.tick)
	}
}

// scheduleArrival has the session of an index arrive, and then the next one: one event at a time keeps the queue small.
func (s *simulation) scheduleArrival(index int) {
	if index < len(s.load.Sessions) {
		s.schedule(s.load.Sessions[index].Arrival, nil, func() {
			s.startSession(index)
			s.scheduleArrival(index + 1)
		})
	}
}

// stopsEarly reports, once a second, whether the options end the run now. It then empties the queue.
func (s *simulation) stopsEarly() bool {
	if s.now%time.Second != 0 {
		return false
	}
	if s.options.StopAtLimit && s.limitReached() {
		if s.limitReachedAt == 0 {
			s.limitReachedAt = s.now
		}
		if s.now >= s.limitReachedAt+continueAtLimit {
			service, _ := s.account.ServiceBetween(0, s.now)
			s.earlyService = max(service, minStoppedResult)
			s.queue = nil
			return true
		}
	}
	if s.options.MinService <= 0 {
		return false
	}
	demand, lost := s.account.LostUntil(s.now)
	if demand > 0 && 1-lost/demand < s.options.MinService {
		s.earlyService = 1 - lost/demand
		s.queue = nil
		return true
	}
	return false
}

// loseZone takes a zone away: its connections are reset, its nodes are gone for clients at once, and the endpoint lists
// of other nodes lack its servers once discovery has noticed.
func (s *simulation) loseZone(zone int) {
	for _, node := range s.nodes {
		if node.zone == zone {
			node.lost = true
		}
	}
	for _, server := range s.servers {
		if server.zone == zone {
			server.failed = true
			server.resetAll()
		}
	}
	for _, node := range s.nodes {
		if node.lost {
			for _, client := range node.sortedClients() {
				client.loseNode()
			}
		}
	}
	s.schedule(s.now+time.Duration(s.fleet.Discovery.Delay), nil, s.updateEndpointLists)
}
