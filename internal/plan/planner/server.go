package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

const (
	minSpeedFactor    = 0.3             // lowest speed of a machine, relative to its kind
	utilizationWeight = 0.2             // weight of one step in the reported utilization, a mean over about 5 steps
	sustainedWeight   = 0.05            // weight of one step in the sustained utilization, a mean over about 20 steps
	minReportNoise    = 0.1             // lowest factor by which random noise changes a reported value
	minCores          = 1e-3            // lowest capacity from which the time of a set-up is computed
	minServedRate     = 1e-9            // weight per second up to which an entry in the account isn't worthwhile
	slowStartSlack    = 4               // connections of mean load that the budget of a slow start allows in addition
	maxStoreWait      = time.Second / 2 // a longer wait counts as reaching the limit of the session store
)

// server models the work of a server as a fluid that advances in steps, with the noise that many small jobs cause. The
// backlog is a Brownian motion reflected at zero, the diffusion limit of a queue of many small jobs near its capacity
// (Harrison, Brownian Motion and Stochastic Flow Systems, 1985). Its variance per second is the load times the work of
// a job.
type server struct {
	sim         *simulation
	id          choice.ServerID
	kind        *fleet.MachineKind
	zone        int
	speed       float64 // of a core, relative to a reference core
	slowStart   bool    // it started together with the load and warms up
	failed      bool
	connections map[*connection]struct{}
	groups      map[uint64]int // number of connections of each group
	setups      int            // number of pending set-ups
	priorities  [][]float64    // sum of the priority weights of the connections, by class and tenant

	load    float64 // of the connections and their groups, in reference cores
	work    float64 // in addition to the load, since the last step, in core seconds
	backlog float64 // in core seconds

	utilization   float64 // demand divided by capacity, mean over the last few steps
	sustained     float64 // mean of utilization over about a second, compared with the limit
	report        [3]float64
	nextReport    time.Duration
	initialLoad   float64 // of the connections that are open when the load begins, in standard connections
	slowStartLoad float64 // load of the connections opened in the last OverloadTime, in reference cores
}

// connection is a connection that is open at a server.
type connection struct {
	server  *server
	client  *client
	load    float64 // in reference cores
	process workload.LoadProcess
}

func (s *simulation) addServer(kind *fleet.MachineKind, zone int, slowStart bool) {
	added := &server{
		sim:         s,
		id:          choice.ServerID(fmt.Sprintf("s-%04d", len(s.servers))),
		kind:        kind,
		zone:        zone,
		speed:       kind.Speed * max(minSpeedFactor, 1+kind.SpeedSpread*s.rng.NormFloat64()),
		slowStart:   slowStart,
		connections: map[*connection]struct{}{},
		groups:      map[uint64]int{},
	}
	for range s.fleet.Classes {
		added.priorities = append(added.priorities, make([]float64, max(1, len(s.fleet.Tenants))))
	}
	added.nextReport = time.Duration(s.rng.Float64() * float64(s.fleet.LoadReports.Interval))
	s.servers = append(s.servers, added)
	s.serverByID[added.id] = added
}

// capacityFraction returns the fraction of its full capacity that the server has now. It is less than 1 while the
// server is warming up.
func (s *server) capacityFraction() float64 {
	slowStart := &s.sim.fleet.SlowStart
	if !s.slowStart || s.sim.now >= time.Duration(slowStart.WarmUp) {
		return 1
	}
	return slowStart.Fraction + (1-slowStart.Fraction)*s.sim.now.Seconds()/slowStart.WarmUp.Seconds()
}

// cores returns the current capacity in reference cores.
func (s *server) cores() float64 { return s.kind.Cores * s.speed * s.capacityFraction() }

// advanceServers advances all servers that have not failed by the step that ends now. It is called at each tick. It
// adds the priority weight that was served well in the step, as counted by addServedRates, to the account at the middle
// of the step, so that none of it is counted in the second that begins at the end of the step. It also compares the
// sustained demand of the whole fleet with the capacity.
func (s *simulation) advanceServers() {
	clear(s.servedRates)
	demand := 0.0
	capacity := 0.0
	for _, server := range s.servers {
		if server.failed {
			continue
		}
		cores := server.cores()
		server.advance(cores)
		demand += server.sustained * cores
		capacity += cores
	}
	tenants := len(s.tenantQuotas)
	for i, rate := range s.servedRates {
		if rate > minServedRate {
			s.account.AddServed(s.now-step/2, i/tenants, i%tenants, rate*step.Seconds())
		}
	}
	if capacity > 0 {
		s.observeLimit(limitFleet, nil, demand/capacity)
	}
}

// advance advances the server by one step, in which its capacity is the given number of reference cores.
func (s *server) advance(cores float64) {
	job := s.sim.fleet.General.MessageWork.Seconds()
	capacity := cores * step.Seconds()
	arrived := s.load*step.Seconds() + s.work
	s.work = 0
	before := s.backlog
	s.backlog = max(0, s.backlog+arrived-capacity+math.Sqrt(arrived*job)*s.sim.rng.NormFloat64())
	s.utilization += (arrived/capacity - s.utilization) * utilizationWeight
	s.sustained += (s.utilization - s.sustained) * sustainedWeight
	s.addServedRates(before, cores)
	s.refreshReport()
	s.sim.observeLimit(limitServer, s, s.sustained)
	shedAfter := time.Duration(s.kind.ShedAfter).Seconds()
	if shedAfter > 0 && s.backlog > shedAfter*cores {
		s.shed()
	}
}

// addServedRates adds the priority weight of the connections whose messages were answered within their objective in
// this step to the served rates of the simulation. backlogBefore is the backlog at the beginning of the step.
func (s *server) addServedRates(backlogBefore, cores float64) {
	if len(s.connections) == 0 {
		return
	}
	job := s.sim.fleet.General.MessageWork.Seconds()
	tenants := len(s.sim.tenantQuotas)
	for class := range s.priorities {
		objective := s.sim.fleet.Classes[class].MessageObjective.Seconds()
		limit := (objective - job/s.speed) * cores // highest backlog with which a message still meets the objective
		fraction := fractionBelow(backlogBefore, s.backlog, limit)
		if fraction <= 0 {
			continue
		}
		rates := s.sim.servedRates[class*tenants : (class+1)*tenants]
		for tenant, priority := range s.priorities[class] {
			rates[tenant] += priority * fraction
		}
	}
}

// fractionBelow returns the fraction of a step in which a value that changes linearly from before to after is below
// bound.
func fractionBelow(before, after, bound float64) float64 {
	switch {
	case bound <= 0:
		return 0
	case before <= bound && after <= bound:
		return 1
	case before > bound && after > bound:
		return 0
	case before <= bound:
		return (bound - before) / (after - before)
	default:
		return (bound - after) / (before - after)
	}
}

func (s *server) refreshReport() {
	if s.sim.now < s.nextReport {
		return
	}
	reports := &s.sim.fleet.LoadReports
	s.nextReport += time.Duration(reports.Interval)
	noise := func() float64 { return max(minReportNoise, 1+reports.Noise*s.sim.rng.NormFloat64()) }
	latency := 1000 * s.sim.fleet.General.MessageWork.Seconds() / s.speed
	utilization := min(1, s.utilization) * noise()
	load := s.utilization * noise()
	s.report = [3]float64{latency, utilization, load}
}

// loadReport returns a copy of the current report, whose fields fleet.Settings names.
func (s *server) loadReport() []float64 { return slices.Clone(s.report[:]) }

// setUp sets up a new connection for a client. It calls done once, when the server knows the outcome.
func (s *server) setUp(client *client, done func(choice.Outcome, *connection)) {
	sim := s.sim
	pending := len(s.connections) + s.setups
	switch {
	case s.failed:
		done(choice.ConnectFailed, nil)
		return
	case pending >= s.kind.Connections:
		sim.observeLimit(limitConnections, s, float64(pending+1)/float64(s.kind.Connections))
		done(choice.Full, nil)
		return
	case s.setups >= s.kind.SetupQueue:
		sim.observeLimit(limitSetups, s, float64(s.setups+1)/float64(s.kind.SetupQueue))
		done(choice.Full, nil)
		return
	}
	s.setups++
	class := client.class()
	sim.schedule(sim.now+sim.callStore(), nil, func() {
		work := class.SetupWork.Seconds()
		s.work += work
		duration := time.Duration((s.backlog/max(s.cores(), minCores) + work/s.speed) * 1e9)
		sim.schedule(sim.now+duration, nil, func() {
			s.setups--
			if s.failed {
				done(choice.Reset, nil)
				return
			}
			opened := newConnection(s, client)
			s.open(opened)
			if s.failed {
				done(choice.Reset, nil)
				return
			}
			done(choice.Served, opened)
		})
	})
}

func newConnection(server *server, client *client) *connection {
	seed := server.sim.options.Seed ^ client.session.Client
	return &connection{
		server:  server,
		client:  client,
		process: workload.NewLoadProcess(seed, client.class(), client.session.Load),
	}
}

// callStore adds a call to the queue of the session store and returns how long the call takes, including its wait in
// the queue.
func (s *simulation) callStore() time.Duration {
	store := &s.fleet.Store
	if store.Rate <= 0 {
		return time.Duration(store.Latency)
	}
	begin := max(s.now, s.storeFreeAt)
	s.storeFreeAt = begin + time.Duration(1e9/store.Rate)
	wait := begin - s.now
	if wait > maxStoreWait {
		s.observeLimit(limitStore, nil, 1+wait.Seconds())
	}
	return wait + time.Duration(store.Latency)
}

// groupLoad returns the cost of a group on each server that holds at least one of its connections, in reference cores.
func (s *simulation) groupLoad() float64 { return s.fleet.Group.Cost * s.fleet.CoreLoad() }

// open adds a connection to the server.
func (s *server) open(opened *connection) {
	s.connections[opened] = struct{}{}
	session := opened.client.session
	if session.Group != 0 && s.sim.fleet.Group.Cost > 0 {
		s.groups[session.Group]++
		if s.groups[session.Group] == 1 {
			s.load += s.sim.groupLoad()
		}
	}
	s.priorities[session.Class][max(0, session.Tenant)] += opened.client.priority
	s.spendSlowStartBudget(opened)
	opened.changeLoad()
}

// spendSlowStartBudget counts a new connection against the budget of a server in slow start. A server that exceeds its
// budget fails and stays down.
func (s *server) spendSlowStartBudget(opened *connection) {
	if !s.slowStart || s.capacityFraction() == 1 {
		return
	}
	slowStart := &s.sim.fleet.SlowStart
	coreLoad := s.sim.fleet.CoreLoad()
	load := opened.client.class().Load * coreLoad
	s.slowStartLoad += load
	s.sim.schedule(s.sim.now+time.Duration(slowStart.OverloadTime), nil, func() { s.slowStartLoad -= load })
	// usual is the load of the new connections per OverloadTime that would fill the server during its warm-up, times
	// the fraction of the capacity that it has now. The slack allows for random variation.
	usual := s.cores() / slowStart.WarmUp.Seconds() * slowStart.OverloadTime.Seconds()
	slack := slowStartSlack * s.sim.fleet.MeanLoad() * coreLoad
	budget := slowStart.OverloadMultiple*usual + slack
	if s.slowStartLoad > budget {
		s.sim.stats.Overloaded++
		s.sim.observeLimit(limitSlowStart, s, s.slowStartLoad/budget)
		s.failed = true
		s.resetAll()
		s.sim.schedule(s.sim.now+time.Duration(s.sim.fleet.Discovery.Delay), nil, s.sim.updateEndpointLists)
	}
}

// changeLoad draws the connection's next load and schedules the change that follows.
func (c *connection) changeLoad() {
	server := c.server
	if _, open := server.connections[c]; !open {
		return
	}
	load, duration := c.process.Next()
	load *= server.sim.fleet.CoreLoad()
	server.load += load - c.load
	c.load = load
	if duration > 0 {
		server.sim.schedule(server.sim.now+duration, nil, c.changeLoad)
	}
}

// close removes a connection from the server. It does nothing if the connection is not open.
func (s *server) close(closed *connection) {
	if _, open := s.connections[closed]; !open {
		return
	}
	delete(s.connections, closed)
	s.load -= closed.load
	session := closed.client.session
	if session.Group != 0 && s.sim.fleet.Group.Cost > 0 {
		s.groups[session.Group]--
		if s.groups[session.Group] == 0 {
			delete(s.groups, session.Group)
			s.load -= s.sim.groupLoad()
		}
	}
	s.priorities[session.Class][max(0, session.Tenant)] -= closed.client.priority
	if len(s.connections) == 0 { // adding and subtracting leaves rounding errors
		s.load = 0
		for class := range s.priorities {
			clear(s.priorities[class])
		}
	}
}

// shed resets the connection with the highest load, as servers do when their backlog is too long.
func (s *server) shed() {
	var highest *connection
	for candidate := range s.connections {
		if highest == nil || candidate.load > highest.load ||
			candidate.load == highest.load && candidate.client.session.Client < highest.client.session.Client {
			highest = candidate
		}
	}
	if highest != nil {
		s.sim.stats.Sheds++
		s.close(highest)
		highest.client.connectionReset()
	}
}

// resetAll resets all connections in the order of their clients' keys, because map order must not affect a run.
func (s *server) resetAll() {
	var connections []*connection
	for open := range s.connections {
		connections = append(connections, open)
	}
	slices.SortFunc(connections, func(a, b *connection) int {
		return cmp.Compare(a.client.session.Client, b.client.session.Client)
	})
	for _, open := range connections {
		s.close(open)
		open.client.connectionReset()
	}
}
