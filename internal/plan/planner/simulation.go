// Package planner forecasts how well a fleet serves a load. Its nodes run the real core and the real decision module
// (edge.Core, choice.Balancer) on a simulated clock. Servers, session store, endpoint list and clients are models,
// described in docs/planner.md. A run is a pure function of fleet, load, options and seed.
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
	step            = 50 * time.Millisecond // in which the servers' work advances
	worstWindow     = 10 * time.Second      // length of the window for which a run reports the worst service
	settleTime      = 2 * time.Second       // limits other than slow start are not observed during the initial arrivals
	continueAtLimit = time.Second           // how long a run with StopAtLimit continues after it reached a limit
	minEarlyService = 1e-9                  // lower bound of earlyService, since 0 means that the run did not end early
)

// Options configure a run.
type Options struct {
	Seed uint64
	// LostZone names the zone that is lost, with its nodes and servers, at LossTime. If it is empty, no zone is lost.
	LostZone string
	LossTime time.Duration
	// AllWarmingUp makes all servers start together with the load, in slow start.
	AllWarmingUp bool
	// MinService ends a run that can no longer reach this service. The resulting service is then the highest that the
	// run could have reached.
	MinService float64
	// StopAtLimit ends a run soon after it reached a limit. The resulting service is then the service until that time.
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
	Overloaded  int `json:"Fallen"` // servers in slow start that failed because of too many new connections
}

// simulation is the state of one run.
type simulation struct {
	fleet   *fleet.Fleet
	load    *workload.Load
	options Options
	rng     *rand.Rand

	now      time.Duration // since the beginning of the load
	sequence uint64        // sequence number of the event that was scheduled last
	queue    eventQueue

	servers     []*server
	serverByID  map[choice.ServerID]*server
	nodes       []*node
	latencies   [][]time.Duration // one way, by zones
	storeFreeAt time.Duration     // when the session store can take the next call

	requests        int   // number of requests so far, from which request IDs are made
	tenantSessions  []int // number of sessions that are not over, by tenant
	tenantQuotas    []float64
	priorities      []float64 // weight of a second of each session
	servedRates     []float64 // weight per second that is served well in the current step, by class and tenant
	nearby, running []*node   // scratch space of pickNode

	account          *workload.Account
	limits           [limitCount]LimitUsage
	limitReachedAt   time.Duration // set only with StopAtLimit; 0 if no limit was reached yet
	earlyService     float64       // service of a run that ended early, as Run.EndedEarly describes; otherwise 0
	stats            Stats
	requestsBySecond []int
}

func newSimulation(description *fleet.Fleet, load *workload.Load, options Options) (*simulation, error) {
	tenants := max(1, len(description.Tenants))
	sim := &simulation{
		fleet:          description,
		load:           load,
		options:        options,
		rng:            rand.New(rand.NewPCG(options.Seed, 1213)),
		serverByID:     map[choice.ServerID]*server{},
		tenantSessions: make([]int, tenants),
		tenantQuotas:   make([]float64, tenants),
		priorities:     workload.Priorities(description, load),
		servedRates:    make([]float64, len(description.Classes)*tenants),
		account:        workload.NewAccount(description, load.Length),
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

// schedule schedules an action at a time, or now if that time has passed. If flushedNode is not nil, its core is
// flushed after the action.
func (s *simulation) schedule(at time.Duration, flushedNode *node, action func()) *event {
	s.sequence++
	scheduled := &event{action, flushedNode}
	s.queue.push(scheduledEvent{max(at, s.now), s.sequence, scheduled})
	return scheduled
}

// advanceTo runs all events up to a time and sets the clock to it.
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

// run simulates the whole load.
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

// tick completes a step of the servers' work and schedules the next step unless the run is over.
func (s *simulation) tick() {
	s.advanceServers()
	if s.now+step <= s.load.Length && !s.stopsEarly() {
		s.schedule(s.now+step, nil, s.tick)
	}
}

// scheduleArrival schedules the arrival of the session with the given index. The arrival schedules the next one, so
// that the queue stays small.
func (s *simulation) scheduleArrival(index int) {
	if index < len(s.load.Sessions) {
		s.schedule(s.load.Sessions[index].Arrival, nil, func() {
			s.startSession(index)
			s.scheduleArrival(index + 1)
		})
	}
}

// stopsEarly checks once a second whether the options end the run now, and if so, empties the queue.
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
			s.earlyService = max(service, minEarlyService)
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

// loseZone simulates the loss of a zone. Its connections are reset and its nodes are unavailable to clients at once.
// The endpoint lists of the other nodes mark its servers as gone after the delay of discovery.
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
