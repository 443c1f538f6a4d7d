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
	minSpeedFactor     = 0.3  // least speed of a machine, relative to its kind
	utilizationWeight  = 0.2  // of one step in the reported utilization: a mean over some 5 steps
	sustainedWeight    = 0.05 // of one step in the utilization that is compared with the limit: over some 20 steps
	minReportNoise     = 0.1  // least factor of a report's noise
	minCores           = 1e-3 // least capacity that a set-up's time is computed with
	minServedRate      = 1e-9 // weight a second that is not worth an entry in the account
	slowStartSlack     = 4    // connections of mean load beyond the budget of a slow start
	storeLimitReaction = time.Second / 2
)

// server models a server as a fluid of work, in steps, with the noise that small jobs make of it. The backlog is a
// Brownian motion reflected at zero, the diffusion limit of a queue of many small jobs near its capacity (Harrison,
// Brownian Motion and Stochastic Flow Systems, 1985); its variance a second is the load times the work of a job.
type server struct {
	sim         *simulation
	id          choice.ServerID
	kind        *fleet.MachineKind
	zone        int
	speed       float64 // of a core
	slowStart   bool    // it started with the load
	failed      bool
	connections map[*connection]struct{}
	groups      map[uint64]int // connections of each group
	setups      int            // pending
	priorities  [][]float64    // sum over the connections, by class and tenant

	load    float64 // of the connections, in reference cores
	work    float64 // beside the load, since the last step, in core seconds
	backlog float64 // in core seconds

	utilization     float64 // demand over capacity, mean of the last steps
	sustained       float64 // likewise, of about a second
	report          [3]float64
	nextReport      time.Duration
	initialLoad     float64 // in standard connections, of those that are open when the load begins
	slowStartBudget float64 // load of the new connections of the last OverloadTime, in reference cores
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

// warmth returns the fraction of its capacity that the server has now.
func (s *server) warmth() float64 {
	slowStart := &s.sim.fleet.SlowStart
	if !s.slowStart || s.sim.now >= time.Duration(slowStart.WarmUp) {
		return 1
	}
	return slowStart.Fraction + (1-slowStart.Fraction)*s.sim.now.Seconds()/slowStart.WarmUp.Seconds()
}

// cores returns the present capacity in reference cores.
func (s *server) cores() float64 { return s.kind.Cores * s.speed * s.warmth() }

// advanceServers moves all servers that have not failed on by the step that ends now. It is called at each tick. What
// was served well in the step, as addServedRates counts it, goes into the account at the step's middle, so that none is
// counted in the second that begins at its end. The sustained demand of the whole fleet is compared with its capacity.
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

// advance moves the server on by a step, in which it has a number of reference cores.
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

// addServedRates adds the connections whose messages are answered within their objective in this step, which began with
// a backlog.
func (s *server) addServedRates(backlogBefore, cores float64) {
	if len(s.connections) == 0 {
		return
	}
	job := s.sim.fleet.General.MessageWork.Seconds()
	tenants := len(s.sim.tenantQuotas)
	for class := range s.priorities {
		objective := s.sim.fleet.Classes[class].MessageObjective.Seconds()
		limit := (objective - job/s.speed) * cores // backlog with which a message still meets it
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

// fractionBelow returns the fraction of a step in which a value that goes evenly from one to another is under a bound.
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

// loadReport returns the present report, with the fields that fleet.Settings names.
func (s *server) loadReport() []float64 { return slices.Clone(s.report[:]) }

// setUp sets up a new connection for a client. done is called once, when the server knows the outcome.
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
		took := time.Duration((s.backlog/max(s.cores(), minCores) + work/s.speed) * 1e9)
		sim.schedule(sim.now+took, nil, func() {
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

// callStore returns how long a call to the session store takes now.
func (s *simulation) callStore() time.Duration {
	store := &s.fleet.Store
	if store.Rate <= 0 {
		return time.Duration(store.Latency)
	}
	begin := max(s.now, s.storeFree)
	s.storeFree = begin + time.Duration(1e9/store.Rate)
	wait := begin - s.now
	if wait > storeLimitReaction {
		s.observeLimit(limitStore, nil, 1+wait.Seconds())
	}
	return wait + time.Duration(store.Latency)
}

// groupLoad returns the cost of a group on a server that holds any of it, in reference cores.
func (s *simulation) groupLoad() float64 { return s.fleet.Group.Cost * s.fleet.CoreLoad() }

// open adds a connection.
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

// spendSlowStartBudget counts a new connection of a server in slow start. Beyond the budget the server fails and stays
// down.
func (s *server) spendSlowStartBudget(opened *connection) {
	if !s.slowStart || s.warmth() == 1 {
		return
	}
	slowStart := &s.sim.fleet.SlowStart
	coreLoad := s.sim.fleet.CoreLoad()
	load := opened.client.class().Load * coreLoad
	s.slowStartBudget += load
	s.sim.schedule(s.sim.now+time.Duration(slowStart.OverloadTime), nil, func() { s.slowStartBudget -= load })
	// The new connections that would fill the server over its warm-up, times its warmth; and some slack for chance.
	usual := s.cores() / slowStart.WarmUp.Seconds() * slowStart.OverloadTime.Seconds()
	slack := slowStartSlack * s.sim.fleet.MeanLoad() * coreLoad
	budget := slowStart.OverloadMultiple*usual + slack
	if s.slowStartBudget > budget {
		s.sim.stats.Overloaded++
		s.sim.observeLimit(limitSlowStart, s, s.slowStartBudget/budget)
		s.failed = true
		s.resetAll()
		s.sim.schedule(s.sim.now+time.Duration(s.sim.fleet.Discovery.Delay), nil, s.sim.updateEndpointLists)
	}
}

// changeLoad draws the connection's load for the time to come.
func (c *connection) changeLoad() {
	server := c.server
	if _, open := server.connections[c]; !open {
		return
	}
	load, lasts := c.process.Next()
	load *= server.sim.fleet.CoreLoad()
	server.load += load - c.load
	c.load = load
	if lasts > 0 {
		server.sim.schedule(server.sim.now+lasts, nil, c.changeLoad)
	}
}

// close removes a connection that is open; of another one it is a no-op.
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
	if len(s.connections) == 0 { // sums and differences leave a remainder
		s.load = 0
		for class := range s.priorities {
			clear(s.priorities[class])
		}
	}
}

// shed resets the connection of the highest load, as servers do when their backlog is too long.
func (s *server) shed() {
	var heaviest *connection
	for candidate := range s.connections {
		if heaviest == nil || candidate.load > heaviest.load ||
			candidate.load == heaviest.load && candidate.client.session.Client < heaviest.client.session.Client {
			heaviest = candidate
		}
	}
	if heaviest != nil {
		s.sim.stats.Sheds++
		s.close(heaviest)
		heaviest.client.connectionReset()
	}
}

// resetAll resets all connections, in the order of their clients' keys: the order of a map must not change a run.
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
