package edge

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/choice"
)

// scenario is a random simulation of hundreds of clients of one core and its balancer, with servers that answer, hang,
// fail and drain. It records the answers that the clients get.
type scenario struct {
	*harness
	seed     uint64
	figures  *figureCounts
	want     [2]Counts // answers that the clients got, by class
	wantSent uint64    // number of attempts that were written
	servers  []ServerEntry
	state    map[choice.ServerID]choice.ServerState
	since    map[choice.ServerID]time.Time // when the server entered its state
	clients  []*client
}

// figureCounts holds the counters of a process.
type figureCounts struct {
	classes  map[string]*Counts
	attempts uint64
}

func (f *figureCounts) Attempt() { f.attempts++ }
func (f *figureCounts) Class(name string) *Counts {
	if f.classes[name] == nil {
		f.classes[name] = &Counts{}
	}
	return f.classes[name]
}

// client checks the core's calls for one request.
type client struct {
	scenario *scenario
	request  *Request
	deadline time.Time
	answers  int
	attempts int
	upstream *upstream // the attempt in flight; nil: none
	open     bool
	migrated bool
	gone     bool
	ended    bool // answered by the node, gone, or its connection has ended
}

// upstream is a client's attempt at a server with a random behavior.
type upstream struct {
	client  *client
	attempt *Attempt
	givenUp bool
}

func (u *upstream) GiveUp() {
	u.givenUp = true
	if u.client.upstream == u {
		u.client.upstream = nil
	}
}

// end reports the attempt's outcome.
func (u *upstream) end(outcome choice.Outcome) {
	if u.client.upstream == u {
		u.client.upstream = nil
	}
	u.attempt.Ended(outcome, nil)
}

func (c *client) Attempt(a *Attempt) UpstreamRequest {
	scenario := c.scenario
	c.attempts++
	c.checkAttempt(a)
	created := &upstream{client: c, attempt: a}
	c.upstream = created
	if scenario.rng.IntN(8) == 0 { // the attempt fails while it is being started
		created.end(choice.ConnectFailed)
		return created
	}
	delay := time.Duration(scenario.rng.IntN(900)) * time.Millisecond
	behavior := scenario.rng.IntN(10)
	scenario.At(scenario.now.Add(delay), func() { created.simulate(behavior) })
	return created
}

// checkAttempt checks that the core may start the attempt now.
func (c *client) checkAttempt(attempt *Attempt) {
	scenario := c.scenario
	id := c.request.ID
	switch {
	case c.upstream != nil:
		scenario.t.Errorf("seed %d: got concurrent attempts of %s, want one at a time", scenario.seed, id)
	case c.attempts > 4:
		scenario.t.Errorf("seed %d: got attempt number %d of %s, want 4 at most", scenario.seed, c.attempts, id)
	case c.answers > 0 || c.gone:
		scenario.t.Errorf("seed %d: got an attempt of %s after its end, want none", scenario.seed, id)
	case attempt.Expires.After(c.deadline):
		scenario.t.Errorf("seed %d: attempt of %s: got expiry %v, want its deadline %v at the latest",
			scenario.seed, id, attempt.Expires, c.deadline)
	case scenario.state[attempt.Server.ID] != choice.Ready &&
		scenario.now.Sub(scenario.since[attempt.Server.ID]) > 3*time.Second:
		scenario.t.Errorf("seed %d: got an attempt of %s at server %s, which has drained for more than 3 s; want none",
			scenario.seed, id, attempt.Server.ID)
	}
}

// simulate simulates how a server with the given behavior handles the attempt. With behavior 9 the front end doesn't
// report the attempt as written.
func (u *upstream) simulate(behavior int) {
	scenario := u.client.scenario
	if !u.givenUp && behavior != 9 {
		scenario.wantSent++
		u.attempt.Written()
		u.attempt.Written() // a front end that is notified twice may call it twice
	}
	switch {
	case u.givenUp: // an answer that arrives too late must have no effect
		u.attempt.Established()
		u.attempt.Ended(choice.Served, nil)
	case behavior == 0: // the server never answers
	case behavior <= 2:
		u.end(choice.Full)
	case behavior == 3:
		u.end(choice.Reset)
	case behavior == 4:
		u.attempt.Commit()
		u.establish()
	case behavior == 5:
		u.attempt.Commit()
		u.end(choice.Reset)
	default:
		u.establish()
	}
}

// establish opens the connection, which the server closes after a random time.
func (u *upstream) establish() {
	client := u.client
	scenario := client.scenario
	u.attempt.Established()
	client.answers++
	if client.answers > 1 || client.gone {
		scenario.t.Errorf("seed %d: %s: got %d answers, gone %v; want one answer to a client that is not gone",
			scenario.seed, client.request.ID, client.answers, client.gone)
	}
	client.open = true
	scenario.want[client.request.Class].Served++
	scenario.At(scenario.now.Add(time.Duration(scenario.rng.IntN(9000))*time.Millisecond), func() {
		if !u.givenUp && !client.migrated {
			client.ended = true
			u.end(choice.Reset)
		}
	})
}

func (c *client) LocalReply(reply LocalReply) {
	scenario := c.scenario
	id := c.request.ID
	c.ended = true
	if reply.Rejected {
		scenario.want[c.request.Class].Rejected++
	} else {
		scenario.want[c.request.Class].Failed++
	}
	c.answers++
	if c.answers > 1 || c.gone {
		scenario.t.Errorf("seed %d: %s: got %d answers, gone %v; want one answer to a client that is not gone",
			scenario.seed, id, c.answers, c.gone)
	}
	if scenario.now.After(c.deadline.Add(20 * time.Millisecond)) {
		scenario.t.Errorf("seed %d: answer to %s: got a delay of %v after the deadline, want 20ms at most",
			scenario.seed, id, scenario.now.Sub(c.deadline))
	}
}

func (c *client) Migrate(time.Time) {
	if !c.open || c.migrated {
		c.scenario.t.Errorf("seed %d: Migrate of %s: got open %v, migrated before %v; want true, false",
			c.scenario.seed, c.request.ID, c.open, c.migrated)
	}
	c.migrated = true
	c.upstream = nil
	c.ended = true
}

// disconnect makes the client leave, if it still waits or its connection is open.
func (c *client) disconnect() {
	if c.answers != 0 && (!c.open || c.migrated) {
		return
	}
	c.gone = true
	c.ended = true
	if c.scenario.rng.IntN(4) == 0 && !c.open { // the front end has answered a protocol violation
		c.scenario.want[c.request.Class].Failed++
		c.request.ClientBrokeProtocol()
	} else {
		c.request.ClientGone()
	}
}

// newScenario creates a scenario with six servers and a core whose settings depend on the seed.
func newScenario(t *testing.T, seed uint64) *scenario {
	t.Helper()
	created := &scenario{
		harness: newHarness(t, time.Unix(1.8e9, 0), seed, 9), seed: seed,
		figures: &figureCounts{classes: map[string]*Counts{}},
		state:   map[choice.ServerID]choice.ServerState{}, since: map[choice.ServerID]time.Time{},
	}
	settings := choice.Settings{
		Nodes: 1, RoundTrip: 5 * time.Millisecond,
		Classes: []choice.Class{
			{
				Name: "c", SetupObjective: 800 * time.Millisecond, Deadline: 4 * time.Second,
				MessageObjective: 60 * time.Millisecond, Priority: 1,
			},
			{
				Name: "u", SetupObjective: 800 * time.Millisecond, Deadline: 4 * time.Second, Priority: 1,
				Idempotency: choice.NotIdempotent,
			},
		},
		Limits: choice.Limits{MaxAttempts: 4, Cancellation: true, HealthChecks: seed%2 == 0},
		Rules: choice.Rules{
			MaxPollInterval: 10 * time.Second, DrainGrace: 3 * time.Second, SlowStartFraction: .2,
			WarmUp:           10 * time.Second,
			OverloadMultiple: 4, OverloadTime: 2 * time.Second,
		},
	}
	if seed%2 == 0 {
		settings.Reports = choice.HealthCheckReports
		settings.ReportFields = []choice.ReportField{choice.Load}
	}
	created.create(Options{
		Figures: created.figures, Settings: settings, Seed: seed,
		DrainPeriod: time.Duration(seed%3) * time.Second,
	})
	created.servers = serversNamed("s0", "s1", "s2", "s3", "s4", "s5")
	created.core.Start(created.servers)
	return created
}

// scheduleRequest makes a request arrive at a random time, and makes the clients of some requests leave later.
func (s *scenario) scheduleRequest(begin time.Time, number int) {
	s.At(begin.Add(time.Duration(s.rng.IntN(22500))*time.Millisecond), func() {
		c := &client{scenario: s, deadline: s.now.Add(time.Duration(200+s.rng.IntN(4000)) * time.Millisecond)}
		s.clients = append(s.clients, c)
		spec := Spec{
			ID: choice.RequestID(fmt.Sprint("r", number)), Class: number % 5 / 4, Tenant: -1,
			Deadline: c.deadline,
		}
		c.request = s.core.Open(spec, c)
		if s.rng.IntN(10) == 0 {
			s.At(s.now.Add(time.Duration(s.rng.IntN(3000))*time.Millisecond), c.disconnect)
		}
	})
}

// drainOne makes a random server begin to drain at a random time. The last server never drains.
func (s *scenario) drainOne(begin time.Time) {
	s.At(begin.Add(time.Duration(s.rng.IntN(20000))*time.Millisecond), func() {
		server := s.servers[s.rng.IntN(5)]
		server.State = choice.Draining
		if s.state[server.ID] == choice.Ready {
			s.state[server.ID] = server.State
			s.since[server.ID] = s.now
		}
		s.core.UpdateServers(choice.ListChange, []ServerEntry{server})
	})
}

// checkGauges checks that the core's gauges match the state of the clients.
func (s *scenario) checkGauges() {
	inFlight := 0
	for _, c := range s.clients {
		if !c.ended {
			inFlight++
		}
	}
	if gauges := s.core.Gauges(); gauges.InFlight != inFlight || gauges.ServersKnown != len(s.servers) {
		s.t.Errorf("seed %d: Gauges: got %+v, want %d in flight and %d servers",
			s.seed, gauges, inFlight, len(s.servers))
	}
}

// checkEnd checks that the counters match the answers that the clients got, and that nothing is left after the
// shutdown.
func (s *scenario) checkEnd() {
	for i, name := range []string{"c", "u"} {
		if got := *s.figures.Class(name); got != s.want[i] {
			s.t.Errorf("seed %d: counts of class %s: got %+v, want %+v", s.seed, name, got, s.want[i])
		}
	}
	if gauges := s.core.Gauges(); s.figures.attempts != s.wantSent || gauges.InFlight != 0 {
		s.t.Errorf("seed %d: got %d attempts counted, want %d; got gauges %+v, want none in flight",
			s.seed, s.figures.attempts, s.wantSent, gauges)
	}
	for _, c := range s.clients {
		if c.answers != 1 && !c.gone {
			s.t.Errorf("seed %d: %s: got %d answers at the end, want 1", s.seed, c.request.ID, c.answers)
		}
	}
	if len(s.clients) != 300 {
		s.t.Fatalf("seed %d: got %d requests, want 300", s.seed, len(s.clients))
	}
	s.core.UpdateServers(choice.ListFull, s.servers[5:])
	if len(s.core.servers) != 1 {
		s.t.Errorf("seed %d: servers after a list of one server: got %d, want 1", s.seed, len(s.core.servers))
	}
	for id, server := range s.core.servers {
		if server.inFlight != 0 {
			s.t.Errorf("seed %d: at the end: got %d in flight at %s, want 0", s.seed, server.inFlight, id)
		}
	}
}

// TestRequestRulesInRandomScenarios runs the core and its balancer through random scenarios. It checks that each
// request gets one final answer in time and at most four attempts, never two at once; that a draining server gets no
// attempt after its grace; that nothing is left at the end; and that the counters match the answers that the clients
// got.
func TestRequestRulesInRandomScenarios(t *testing.T) {
	for seed := range uint64(40) {
		scenario := newScenario(t, seed)
		begin := scenario.now
		for number := range 300 {
			scenario.scheduleRequest(begin, number)
		}
		for range 4 {
			scenario.drainOne(begin)
		}
		for at := begin; at.Before(begin.Add(21 * time.Second)); at = at.Add(700 * time.Millisecond) {
			scenario.run(at)
			scenario.checkGauges()
		}
		scenario.run(begin.Add(21 * time.Second))
		stopped := false
		scenario.core.Drain(func() { stopped = true })
		scenario.run(scenario.now.Add(maxDeadline + killDelay))
		if !stopped || scenario.core.InFlight() > 0 {
			t.Errorf("seed %d: after the planned shutdown: got stopped %v with %d requests in flight, want true and 0",
				seed, stopped, scenario.core.InFlight())
		}
		scenario.checkEnd()
	}
}
