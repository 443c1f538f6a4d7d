package edge

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"spurwinch/choice"
)

// world is a clock without waiting, a set of hosts with moods, and the clients of one core.
type world struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Time
	timers queue
	core   *Core
	want   [2]Counts // what clients saw, by class
	wrote  uint64    // attempts
	state  map[choice.ServerID]choice.ServerState
	since  map[choice.ServerID]time.Time // of the state
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

var seq int

func (w *world) Now() time.Time { return w.now }

func (w *world) At(at time.Time, fn func()) func() {
	seq++
	e := &event{at, seq, fn}
	heap.Push(&w.timers, e)
	return func() { e.fn = nil }
}

func (w *world) run(until time.Time) {
	for len(w.timers) > 0 && !w.timers[0].at.After(until) {
		e := heap.Pop(&w.timers).(*event)
		if e.at.After(w.now) {
			w.now = e.at
		}
		if e.fn != nil {
			e.fn()
			w.core.Flush()
		}
	}
	w.now = until
}

func (w *world) CheckHealth(h ServerEntry, by time.Time, done func(choice.Outcome, []float64)) {
	in := time.Duration(w.rng.IntN(200)) * time.Millisecond
	w.At(w.now.Add(in), func() { done(choice.Served, []float64{w.rng.Float64() * 0.6}) })
}

// client checks what the core may do with one request.
type client struct {
	w        *world
	r        *Request
	deadline time.Time
	answers  int
	attempts int
	out      *try
	open     bool
	moved    bool
	gone     bool
	over     bool // answered by the node, or its connection has ended
}

type try struct {
	c       *client
	a       *Attempt
	givenUp bool
}

func (y *try) GiveUp() {
	y.givenUp = true
	if y.c.out == y {
		y.c.out = nil
	}
}

func (c *client) Attempt(a *Attempt) UpstreamRequest {
	w := c.w
	c.attempts++
	switch {
	case c.out != nil:
		w.t.Errorf("two attempts of %s at once", c.r.ID)
	case c.attempts > 4:
		w.t.Errorf("attempt %d of %s", c.attempts, c.r.ID)
	case c.answers > 0 || c.gone:
		w.t.Errorf("an attempt of %s after its end", c.r.ID)
	case a.Expires.After(c.deadline):
		w.t.Errorf("an attempt of %s is out past its deadline", c.r.ID)
	case w.state[a.Server.ID] != choice.Ready && w.now.Sub(w.since[a.Server.ID]) > 3*time.Second:
		w.t.Errorf("an attempt of %s at a draining host", c.r.ID)
	}
	y := &try{c: c, a: a}
	c.out = y
	end := func(o choice.Outcome) {
		if c.out == y {
			c.out = nil
		}
		a.Ended(o, nil)
	}
	if w.rng.IntN(8) == 0 { // fails while it is being started
		end(choice.ConnectFailed)
		return y
	}
	in := time.Duration(w.rng.IntN(900)) * time.Millisecond
	mood := w.rng.IntN(10)
	w.At(w.now.Add(in), func() {
		if !y.givenUp && mood != 9 {
			w.wrote++
			a.Written()
			a.Written() // as a front may that hears of it twice
		}
		switch {
		case mood == 0 || y.givenUp: // silence; or an answer that comes too late, which must not count
			if y.givenUp {
				a.Established()
				a.Ended(choice.Served, nil)
			}
		case mood <= 2:
			end(choice.Full)
		case mood == 3:
			end(choice.Reset)
		default:
			if mood == 4 {
				a.Commit()
			}
			if mood == 5 {
				a.Commit()
				end(choice.Reset)
				return
			}
			a.Established()
			if c.answers++; c.answers > 1 || c.gone {
				w.t.Errorf("%s: a second answer", c.r.ID)
			}
			c.open = true
			w.want[c.r.Class].Served++
			w.At(w.now.Add(time.Duration(w.rng.IntN(9000))*time.Millisecond), func() {
				if !y.givenUp && !c.moved {
					c.over = true
					end(choice.Reset)
				}
			})
		}
	})
	return y
}

func (c *client) LocalReply(l LocalReply) {
	c.over = true
	if l.Rejected {
		c.w.want[c.r.Class].Rejected++
	} else {
		c.w.want[c.r.Class].Failed++
	}
	if c.answers++; c.answers > 1 || c.gone {
		c.w.t.Errorf("%s: %d answers, gone %v", c.r.ID, c.answers, c.gone)
	}
	if c.w.now.After(c.deadline.Add(20 * time.Millisecond)) {
		c.w.t.Errorf("%s: answered %v late", c.r.ID, c.w.now.Sub(c.deadline))
	}
}

func (c *client) Migrate(time.Time) {
	if !c.open || c.moved {
		c.w.t.Errorf("%s: moved twice, or not open", c.r.ID)
	}
	c.moved, c.out, c.over = true, nil, true
}

// TestRules plays random days against the core and the module: one final answer for each request, in time; four
// attempts at most and never two at once; nothing new to a draining host after its grace; nothing held at the end. The
// counted are a process's figures.
type counted struct {
	classes  map[string]*Counts
	Attempts uint64
}

func (f *counted) Attempt() { f.Attempts++ }
func (f *counted) Class(name string) *Counts {
	if f.classes[name] == nil {
		f.classes[name] = &Counts{}
	}
	return f.classes[name]
}

// figures are what the clients saw.
func TestRules(t *testing.T) {
	for seed := range uint64(40) {
		w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1.8e9, 0),
			state: map[choice.ServerID]choice.ServerState{}, since: map[choice.ServerID]time.Time{}}
		s := choice.Settings{Nodes: 1, RoundTrip: 5 * time.Millisecond, Classes: []choice.Class{{Name: "c", SetupObjective: 800 * time.Millisecond,
			Deadline: 4 * time.Second, MessageObjective: 60 * time.Millisecond, Priority: 1}, {Name: "u", SetupObjective: 800 * time.Millisecond,
			Deadline: 4 * time.Second, Priority: 1, Idempotency: choice.NotIdempotent}},
			Limits: choice.Limits{MaxAttempts: 4, Cancellation: true, HealthChecks: seed%2 == 0},
			Rules: choice.Rules{MaxPollInterval: 10 * time.Second, DrainGrace: 3 * time.Second, SlowStartFraction: .2, WarmUp: 10 * time.Second,
				OverloadMultiple: 4, OverloadTime: 2 * time.Second}}
		if seed%2 == 0 {
			s.Reports, s.ReportFields = choice.HealthCheckReports, []choice.ReportField{choice.Load}
		}
		var err error
		figures := &counted{classes: map[string]*Counts{}}
		if w.core, err = New(Options{Clock: w, Figures: figures, Settings: s, Seed: seed, HealthChecker: w, DrainPeriod: time.Duration(seed%3) * time.Second}); err != nil {
			t.Fatal(err)
		}
		var hosts []ServerEntry
		for i := range 6 {
			hosts = append(hosts, ServerEntry{Server: choice.Server{ID: choice.ServerID(fmt.Sprint("s", i)), Size: 1}})
		}
		w.core.Start(hosts)
		begin := w.now
		var all []*client
		for i := range 300 {
			w.At(begin.Add(time.Duration(w.rng.IntN(22500))*time.Millisecond), func() {
				c := &client{w: w, deadline: w.now.Add(time.Duration(200+w.rng.IntN(4000)) * time.Millisecond)}
				all = append(all, c)
				c.r = w.core.Open(Spec{ID: choice.RequestID(fmt.Sprint("r", i)), Class: i % 5 / 4, Tenant: -1, Deadline: c.deadline}, c)
				if w.rng.IntN(10) == 0 {
					w.At(w.now.Add(time.Duration(w.rng.IntN(3000))*time.Millisecond), func() {
						if c.answers == 0 || c.open && !c.moved {
							c.gone, c.over = true, true
							if w.rng.IntN(4) == 0 && !c.open { // its front has answered it, for what it sent
								w.want[c.r.Class].Failed++
								c.r.Broken()
							} else {
								c.r.Gone()
							}
						}
					})
				}
			})
		}
		for range 4 {
			w.At(begin.Add(time.Duration(w.rng.IntN(20000))*time.Millisecond), func() {
				h := hosts[w.rng.IntN(5)] // the last one stays
				h.State = choice.Draining
				if w.state[h.ID] == choice.Ready {
					w.state[h.ID], w.since[h.ID] = h.State, w.now
				}
				w.core.UpdateServers(choice.ListChange, []ServerEntry{h})
			})
		}
		for at := begin; at.Before(begin.Add(21 * time.Second)); at = at.Add(700 * time.Millisecond) {
			w.run(at)
			flying := 0
			for _, c := range all {
				if !c.over {
					flying++
				}
			}
			if g := w.core.Gauges(); g.InFlight != flying || g.ServersKnown != len(hosts) {
				t.Errorf("seed %d: gauges %+v, want %d in flight", seed, g, flying)
			}
		}
		w.run(begin.Add(21 * time.Second))
		left := false
		w.core.Drain(func() { left = true })
		w.run(w.now.Add(mostDeadline + killedAfter))
		if !left || w.core.InFlight() > 0 {
			t.Errorf("seed %d: left %v, %d requests held after the planned stop", seed, left, w.core.InFlight())
		}
		for i, name := range []string{"c", "u"} {
			if got := *figures.Class(name); got != w.want[i] {
				t.Errorf("seed %d: class %s counts %+v, want %+v", seed, name, got, w.want[i])
			}
		}
		if g := w.core.Gauges(); figures.Attempts != w.wrote || g.InFlight != 0 {
			t.Errorf("seed %d: %d attempts counted of %d, gauges %+v", seed, figures.Attempts, w.wrote, g)
		}
		for _, c := range all {
			if c.answers != 1 && !c.gone {
				t.Errorf("seed %d: %s has %d answers", seed, c.r.ID, c.answers)
			}
		}
		if len(all) != 300 {
			t.Fatal("not all requests came")
		}
		w.core.UpdateServers(choice.ListFull, hosts[5:])
		if len(w.core.hosts) != 1 {
			t.Errorf("seed %d: %d hosts are kept of a list of one", seed, len(w.core.hosts))
		}
		for id, h := range w.core.hosts {
			if h.held != 0 {
				t.Errorf("seed %d: %s holds %d", seed, id, h.held)
			}
		}
	}
}

// TestPlannedStopTakesTheTimeThereIs checks that open connections stay as long as the platform's time for a stop allows,
// since the node that left before may not be back yet, and that nothing is held well before the process may be killed.
func TestPlannedStopTakesTheTimeThereIs(t *testing.T) {
	for _, c := range []struct{ patience, first, last time.Duration }{
		{4 * time.Second, 1500 * time.Millisecond, 3200 * time.Millisecond},
		{time.Second, 450 * time.Millisecond, 1200 * time.Millisecond},
	} {
		begin := time.Unix(1_800_000_000, 0)
		w := &world{t: t, now: begin, rng: rand.New(rand.NewPCG(1, 1)), state: map[choice.ServerID]choice.ServerState{"s": choice.Ready}}
		var err error
		w.core, err = New(Options{Clock: w, HealthChecker: w, Settings: choice.Settings{
			Classes: []choice.Class{{Name: "c", SetupObjective: c.patience / 2, Deadline: c.patience}}, Limits: choice.Limits{MaxAttempts: 4}}})
		if err != nil {
			t.Fatal(err)
		}
		w.core.Start([]ServerEntry{{Server: choice.Server{ID: "s", Size: 1}}})
		var all []*stayer
		for i := range 20 {
			s := &stayer{w: w}
			w.core.Open(Spec{ID: choice.RequestID(fmt.Sprint(i)), Tenant: -1, OpenAt: "s", Deadline: w.now.Add(c.patience)}, s)
			all = append(all, s)
		}
		w.run(begin.Add(time.Second / 4))
		from := w.now
		w.core.Drain(func() {})
		w.run(from.Add(mostDeadline + killedAfter))
		first, last := time.Duration(1<<62), time.Duration(0)
		for _, s := range all {
			first, last = min(first, s.moved.Sub(from)), max(last, s.by.Sub(from)) // its host may have stopped amid a line
		}
		if first < c.first || last > c.last || last-first < (c.last-c.first)/2 {
			t.Errorf("patience %v: moved from %v to %v", c.patience, first, last)
		}
	}
}

// stayer is a client whose connection stands until it is moved.
type stayer struct {
	w         *world
	moved, by time.Time
}

func (s *stayer) Attempt(a *Attempt) UpstreamRequest {
	s.w.At(s.w.now, a.Established)
	return s
}
func (s *stayer) GiveUp()               {}
func (s *stayer) LocalReply(LocalReply) {}
func (s *stayer) Migrate(by time.Time)  { s.moved, s.by = s.w.now, by }
