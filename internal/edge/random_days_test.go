package edge

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/choice"
)

// A random day plays hundreds of clients against a core and its balancer, with servers that answer, hang, fail and
// drain.

// day is a world with what its clients saw.
type day struct {
	*world
	seed     uint64
	figures  *figureCounts
	want     [2]Counts // what clients saw, by class
	wantSent uint64    // attempts that were written
	servers  []ServerEntry
	state    map[choice.ServerID]choice.ServerState
	since    map[choice.ServerID]time.Time // of the state
	clients  []*client
}

// figureCounts are a process's figures.
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

// client checks what the core may do with one request.
type client struct {
	day        *day
	request    *Request
	deadline   time.Time
	answers    int
	attempts   int
	upstream   *upstream // the one that is out
	open       bool
	migrated   bool
	gone       bool
	overForAll bool // answered by the node, or its connection has ended
}

// upstream is a client's attempt at a server of some mood.
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

// end gives the attempt its outcome.
func (u *upstream) end(outcome choice.Outcome) {
	if u.client.upstream == u {
		u.client.upstream = nil
	}
	u.attempt.Ended(outcome, nil)
}

func (c *client) Attempt(a *Attempt) UpstreamRequest {
	day := c.day
	c.attempts++
	c.checkAttempt(a)
	made := &upstream{client: c, attempt: a}
	c.upstream = made
	if day.rng.IntN(8) == 0 { // fails while it is being started
		made.end(choice.ConnectFailed)
		return made
	}
	in := time.Duration(day.rng.IntN(900)) * time.Millisecond
	mood := day.rng.IntN(10)
	day.At(day.now.Add(in), func() { made.play(mood) })
	return made
}

// checkAttempt holds that the core may make the attempt now.
func (c *client) checkAttempt(attempt *Attempt) {
	day := c.day
	id := c.request.ID
	switch {
	case c.upstream != nil:
		day.t.Errorf("seed %d: a second attempt of %s at once, want one at a time", day.seed, id)
	case c.attempts > 4:
		day.t.Errorf("seed %d: attempt %d of %s, want 4 at most", day.seed, c.attempts, id)
	case c.answers > 0 || c.gone:
		day.t.Errorf("seed %d: an attempt of %s after its end, want none", day.seed, id)
	case attempt.Expires.After(c.deadline):
		day.t.Errorf("seed %d: an attempt of %s expires at %v, want its deadline %v at the latest",
			day.seed, id, attempt.Expires, c.deadline)
	case day.state[attempt.Server.ID] != choice.Ready && day.now.Sub(day.since[attempt.Server.ID]) > 3*time.Second:
		day.t.Errorf("seed %d: an attempt of %s at server %s, which drains for more than 3 s",
			day.seed, id, attempt.Server.ID)
	}
}

// play is what the server does with the attempt.
func (u *upstream) play(mood int) {
	day := u.client.day
	if !u.givenUp && mood != 9 {
		day.wantSent++
		u.attempt.Written()
		u.attempt.Written() // as a front may that is notified twice
	}
	switch {
	case u.givenUp: // an answer that comes too late, which must not count
		u.attempt.Established()
		u.attempt.Ended(choice.Served, nil)
	case mood == 0: // silence
	case mood <= 2:
		u.end(choice.Full)
	case mood == 3:
		u.end(choice.Reset)
	case mood == 4:
		u.attempt.Commit()
		u.establish()
	case mood == 5:
		u.attempt.Commit()
		u.end(choice.Reset)
	default:
		u.establish()
	}
}

// establish opens the connection, which the server ends after some time.
func (u *upstream) establish() {
	client := u.client
	day := client.day
	u.attempt.Established()
	client.answers++
	if client.answers > 1 || client.gone {
		day.t.Errorf("seed %d: %s has %d answers, gone %v, want one answer to a client that is there",
			day.seed, client.request.ID, client.answers, client.gone)
	}
	client.open = true
	day.want[client.request.Class].Served++
	day.At(day.now.Add(time.Duration(day.rng.IntN(9000))*time.Millisecond), func() {
		if !u.givenUp && !client.migrated {
			client.overForAll = true
			u.end(choice.Reset)
		}
	})
}

func (c *client) LocalReply(reply LocalReply) {
	day := c.day
	id := c.request.ID
	c.overForAll = true
	if reply.Rejected {
		day.want[c.request.Class].Rejected++
	} else {
		day.want[c.request.Class].Failed++
	}
	c.answers++
	if c.answers > 1 || c.gone {
		day.t.Errorf("seed %d: %s has %d answers, gone %v, want one answer to a client that is there",
			day.seed, id, c.answers, c.gone)
	}
	if day.now.After(c.deadline.Add(20 * time.Millisecond)) {
		day.t.Errorf("seed %d: %s is answered %v late, want 20ms at most", day.seed, id, day.now.Sub(c.deadline))
	}
}

func (c *client) Migrate(time.Time) {
	if !c.open || c.migrated {
		c.day.t.Errorf("seed %d: %s is migrated, open %v, migrated before %v; want an open connection once",
			c.day.seed, c.request.ID, c.open, c.migrated)
	}
	c.migrated = true
	c.upstream = nil
	c.overForAll = true
}

// disconnect has the client go, where it still waits or its connection is open.
func (c *client) disconnect() {
	if c.answers != 0 && (!c.open || c.migrated) {
		return
	}
	c.gone = true
	c.overForAll = true
	if c.day.rng.IntN(4) == 0 && !c.open { // its front has answered it, for what it sent
		c.day.want[c.request.Class].Failed++
		c.request.ClientBrokeProtocol()
	} else {
		c.request.ClientGone()
	}
}

// newDay is a day of six servers and a core whose settings depend on the seed.
func newDay(t *testing.T, seed uint64) *day {
	t.Helper()
	created := &day{
		world: newWorld(t, time.Unix(1.8e9, 0), seed, 9), seed: seed,
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

// scheduleRequest sets the arrival of a request at a random time, and now and then the moment when its client leaves.
func (d *day) scheduleRequest(begin time.Time, number int) {
	d.At(begin.Add(time.Duration(d.rng.IntN(22500))*time.Millisecond), func() {
		c := &client{day: d, deadline: d.now.Add(time.Duration(200+d.rng.IntN(4000)) * time.Millisecond)}
		d.clients = append(d.clients, c)
		spec := Spec{
			ID: choice.RequestID(fmt.Sprint("r", number)), Class: number % 5 / 4, Tenant: -1,
			Deadline: c.deadline,
		}
		c.request = d.core.Open(spec, c)
		if d.rng.IntN(10) == 0 {
			d.At(d.now.Add(time.Duration(d.rng.IntN(3000))*time.Millisecond), c.disconnect)
		}
	})
}

// drainOne sets a random time at which a random server but the last one begins to drain.
func (d *day) drainOne(begin time.Time) {
	d.At(begin.Add(time.Duration(d.rng.IntN(20000))*time.Millisecond), func() {
		server := d.servers[d.rng.IntN(5)]
		server.State = choice.Draining
		if d.state[server.ID] == choice.Ready {
			d.state[server.ID] = server.State
			d.since[server.ID] = d.now
		}
		d.core.UpdateServers(choice.ListChange, []ServerEntry{server})
	})
}

// checkGauges holds that the core's gauges are what the clients see.
func (d *day) checkGauges() {
	inFlight := 0
	for _, c := range d.clients {
		if !c.overForAll {
			inFlight++
		}
	}
	if gauges := d.core.Gauges(); gauges.InFlight != inFlight || gauges.ServersKnown != len(d.servers) {
		d.t.Errorf("seed %d: gauges %+v, want %d in flight and %d servers", d.seed, gauges, inFlight, len(d.servers))
	}
}

// checkEnd holds that the figures are what the clients saw, and that nothing is left after the stop.
func (d *day) checkEnd() {
	for i, name := range []string{"c", "u"} {
		if got := *d.figures.Class(name); got != d.want[i] {
			d.t.Errorf("seed %d: class %s counts %+v, want %+v", d.seed, name, got, d.want[i])
		}
	}
	if gauges := d.core.Gauges(); d.figures.attempts != d.wantSent || gauges.InFlight != 0 {
		d.t.Errorf("seed %d: %d attempts counted, want %d; gauges %+v, want none in flight",
			d.seed, d.figures.attempts, d.wantSent, gauges)
	}
	for _, c := range d.clients {
		if c.answers != 1 && !c.gone {
			d.t.Errorf("seed %d: %s has %d answers, want 1", d.seed, c.request.ID, c.answers)
		}
	}
	if len(d.clients) != 300 {
		d.t.Fatalf("seed %d: %d requests came, want 300", d.seed, len(d.clients))
	}
	d.core.UpdateServers(choice.ListFull, d.servers[5:])
	if len(d.core.servers) != 1 {
		d.t.Errorf("seed %d: %d servers remain of a list of one, want 1", d.seed, len(d.core.servers))
	}
	for id, server := range d.core.servers {
		if server.inFlight != 0 {
			d.t.Errorf("seed %d: %d in flight at %s, want 0", d.seed, server.inFlight, id)
		}
	}
}

// TestRules plays random days against the core and the balancer: one final answer for each request, in time; four
// attempts at most and never two at once; nothing new to a draining server after its grace; nothing left at the end.
// The figures are what the clients saw.
func TestRules(t *testing.T) {
	for seed := range uint64(40) {
		day := newDay(t, seed)
		begin := day.now
		for number := range 300 {
			day.scheduleRequest(begin, number)
		}
		for range 4 {
			day.drainOne(begin)
		}
		for at := begin; at.Before(begin.Add(21 * time.Second)); at = at.Add(700 * time.Millisecond) {
			day.run(at)
			day.checkGauges()
		}
		day.run(begin.Add(21 * time.Second))
		stopped := false
		day.core.Drain(func() { stopped = true })
		day.run(day.now.Add(maxDeadline + killDelay))
		if !stopped || day.core.InFlight() > 0 {
			t.Errorf("seed %d: stopped %v with %d requests in flight after the planned stop, want true and 0",
				seed, stopped, day.core.InFlight())
		}
		day.checkEnd()
	}
}
