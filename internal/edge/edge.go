// Package edge is the core: requests, attempts, outcomes and their timers. It owns the decision module's balancer of
// one cluster, tells it what happens and carries out what it decides, in order. It knows no wire and no socket:
// fronts bring requests and carry attempts out.
//
// Everything here runs on one goroutine, the loop's.
package edge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

// Clock is the loop's time and timers. A timer never fires before the call that sets it has returned.
type Clock interface {
	Now() time.Time
	At(at time.Time, fn func()) (stop func())
}

// Client is a front's side of one request. Its methods are called by the core only, and never after it has told the
// core that the client is gone.
type Client interface {
	// Attempt starts the upstream request a; its outcome is told through a's methods.
	Attempt(a *Attempt) UpstreamRequest
	// LocalReply gives the client the final answer of a request that no host serves.
	LocalReply(r LocalReply)
	// Move asks the client of an open connection to come again, and ends its connection on both sides: between two of the
	// host's lines where the one in hand ends by the given time, else then.
	Move(by time.Time)
}

// UpstreamRequest is a front's side of one attempt.
type UpstreamRequest interface {
	// GiveUp stops waiting: nothing of the attempt may reach the client any more, nor the host. An attempt whose last byte is
	// not told as Written by then has not run.
	GiveUp()
}

// Prober is a front's way to ask a host for its load report by a time; done is called once.
type Prober interface {
	Probe(h UpstreamHost, by time.Time, done func(o choice.Outcome, report []float64))
}

// Observer hears what passes through a core, at once and on its goroutine: it must neither wait nor call back.
type Observer interface {
	Answered(a Answered)
	Ended(seq uint64, life time.Duration, load float64, cause EndCause)
	Report(h choice.ServerID, values []float64)
	Host(h UpstreamHost) // new to the list, or changed
	Settings(s choice.Settings)
}

// Answered is a request with its one final answer.
type Answered struct {
	Spec
	Seq     uint64 // of the core's requests
	Arrived time.Time
	Took    time.Duration
	Answer  Answer
	Tries   []Try // in order; the last one may be the connection that stands
}

// Answer is the final answer of a request.
type Answer uint8

const (
	Up Answer = iota
	Served
	Refused
	Failed
	Left // the client left before any
)

// EndCause says who ended an open connection.
type EndCause uint8

const (
	ByClient EndCause = iota
	ByHost
	Moved
	Carried // it goes on in another process
)

// Try is an attempt with its outcome, as far as there is one.
type Try struct {
	Host    choice.ServerID
	Outcome choice.Outcome
	Took    time.Duration
}

// LocalReply is a final answer that the node gives by itself.
type LocalReply struct {
	Refused bool          // trying again does no harm; else the request failed
	After   time.Duration // advice for when to come again; 0: none
	Why     Why
	Reason  trace.Reason // for logs and figures
}

// Why tells a front the reason of a local reply, for protocols that name it.
type Why uint8

const (
	Busy         Why = iota // the module found no host that can take it
	ShuttingDown            // this node goes away
	Unreachable             // the host that the request is bound to can't be had
	HostLost                // the host failed after its first bytes had reached the client
	Late                    // the deadline came first
)

// UpstreamHost is one entry of the cluster.
type UpstreamHost struct {
	choice.Server
	Addr string
}

// Spec is what a front knows of a new request.
type Spec struct {
	ID       choice.RequestID
	Class    int
	Tenant   int
	Key      uint64
	Group    uint64
	Load     float64
	Returned bool
	Deadline time.Time       // absolute: by then it has its final answer
	Home     choice.ServerID // where what the request resumes lives, if anywhere
	At       choice.ServerID // a connection that was open at this host before the node started; else empty
}

// Options are the core's surroundings.
type Options struct {
	Clock    Clock
	Settings choice.Settings
	Seed     uint64
	Prober   Prober
	Follow   func() // asks discovery for changes from now on
	// Tell sends a message to another node by its number; nil: there are no others to speak to.
	Tell func(to int, message []byte)
	// Leave is how long the clients of a draining host have to leave it; they are moved one by one over that time.
	// 0: hosts send their clients away themselves.
	Leave time.Duration
	// Observer hears of all that passes through; nil: nobody does.
	Observer Observer
	// Figures are the process's, counted here for all fronts; nil: nobody asks for them.
	Figures Figures
	// Monitor checks each step against the node's promises; nil: the core has one of its own.
	Monitor *invariant.Monitor
	// Trace hears what becomes of requests; nil: the core has one of its own.
	Trace *trace.Recorder
}

const (
	probeTime   = 150 * time.Millisecond // for a probe's answer: longer than any way there and back, short against a placement
	retryPinned = 250 * time.Millisecond // between tries at the host of a connection open before the run
	silentTime  = 4500 * time.Millisecond
	moveEnds    = time.Second // for the end of a host's line in hand, where a client is to be moved
)

// Core is the core of one cluster.
type Core struct {
	o        Options
	balancer *choice.Balancer
	start    time.Time
	epoch    time.Duration // the module's clock at start: Unix time
	events   []choice.Event
	stepping bool
	hosts    map[choice.ServerID]*host
	requests map[choice.RequestID]*Request
	draining bool
	leaveBy  time.Time // of a handover: when the last connections go
	end      time.Time // of a planned stop: nothing is held from then on
	moving   bool      // of a handover: they are told to move
	moved    int       // of a handover: connections that were
	spared   int       // attempts whose connection came up when nothing was to be written any more
	minAim   time.Duration
	seq      uint64
	counts   []*Counts // by class
	lease    *Lease    // nil: nothing but the settings says what is taken
	starts   discoveryClock
}

type host struct {
	UpstreamHost
	network time.Duration // least time seen to connect: what a message takes on the way
	noted   time.Time     // when the module was last told of slow messages here
	slow    bool
	held    int                   // attempts and connections there now
	leaving time.Time             // since when it is known to drain or to be gone; zero: it serves
	calls   *invariant.CallWindow // what this node sent it since its start
}

// New makes the core of one cluster. Its balancer acts first on the first Flush.
func New(o Options) (*Core, error) {
	c := &Core{o: o, start: o.Clock.Now(), hosts: map[choice.ServerID]*host{}, requests: map[choice.RequestID]*Request{}}
	c.epoch = time.Duration(c.start.UnixNano())
	b, err := choice.New(o.Settings, o.Seed, c.epoch)
	if err != nil {
		return nil, err
	}
	c.balancer = b
	if c.o.Figures == nil {
		c.o.Figures = uncounted{}
	}
	if c.o.Monitor == nil {
		c.o.Monitor = &invariant.Monitor{}
	}
	if c.o.Trace == nil {
		c.o.Trace = &trace.Recorder{}
	}
	c.adapt()
	return c, nil
}

// Adapt takes in new settings, of which Check has found no fault. Classes and tenants keep their indices.
func (c *Core) Adapt(s choice.Settings) {
	c.o.Settings = s
	c.adapt()
	if c.o.Observer != nil {
		c.o.Observer.Settings(s)
	}
	c.tell(choice.NewSettings{Settings: s})
}

func (c *Core) adapt() {
	c.minAim = 0
	for i, k := range c.o.Settings.Classes {
		if i == len(c.counts) {
			c.counts = append(c.counts, c.o.Figures.Class(k.Name))
		}
		if !k.Former && k.MessageAim > 0 && (c.minAim == 0 || k.MessageAim < c.minAim) {
			c.minAim = k.MessageAim
		}
	}
}

// clock turns a time into the module's clock: Unix time that never goes back.
func (c *Core) clock(t time.Time) time.Duration { return c.epoch + t.Sub(c.start) }

func (c *Core) tell(e choice.Event) { c.events = append(c.events, e) }

// withdraw takes a request back of which the module has not heard yet.
func (c *Core) withdraw(id choice.RequestID) bool {
	i := slices.IndexFunc(c.events, func(e choice.Event) bool {
		q, ok := e.(choice.Request)
		return ok && q.ID == id
	})
	if i < 0 {
		return false
	}
	c.events = slices.Delete(c.events, i, i+1)
	return true
}

// Flush hands the module what has happened and carries out its answer, until nothing is left. The loop calls it
// after each callback.
func (c *Core) Flush() {
	if c.stepping {
		return
	}
	c.stepping = true
	for len(c.events) > 0 {
		events := c.events
		c.events = nil
		for _, a := range c.balancer.Step(c.clock(c.o.Clock.Now()), events) {
			c.carryOut(a)
		}
	}
	c.stepping = false
}

// Start hands the module the list that this node last held; the module's first actions follow.
func (c *Core) Start(known []UpstreamHost) {
	c.List(choice.ListCached, known)
	c.Flush()
}

func (c *Core) carryOut(a choice.Action) {
	now := c.o.Clock.Now()
	switch a := a.(type) {
	case choice.Send:
		if r := c.requests[a.ID]; r != nil && r.attempt == nil && !r.over {
			r.send(a.Server, earlier(now.Add(a.Cap), r.Deadline), a.By)
		} else {
			zap.L().Error("send_without_request", zap.String("request", string(a.ID)))
		}
	case choice.Refuse:
		if r := c.requests[a.ID]; r != nil {
			l := LocalReply{Refused: true, After: a.After, Reason: trace.Reason(a.Reason.String())}
			if r.committed {
				l.Why = Late
			}
			r.conclude(l)
		}
	case choice.Fail:
		if r := c.requests[a.ID]; r != nil {
			r.conclude(LocalReply{Reason: trace.Reason(a.Reason.String())})
		}
	case choice.Cancel:
		if r := c.requests[a.ID]; r != nil && r.attempt != nil && r.attempt.Number == a.Attempt && !r.open {
			r.attempt.giveUp(choice.Cancelled)
		}
	case choice.Probe:
		c.probe(a.Server, now)
	case choice.Move:
		if r := c.requests[a.ID]; r != nil {
			r.move()
		}
	case choice.SetTimer:
		c.setTimer(a, now)
	case choice.Tell:
		if c.o.Tell != nil {
			c.o.Tell(a.To, a.Data)
		}
	case choice.Follow:
		if c.o.Follow != nil {
			c.o.Follow()
		}
	}
}

// setTimer sets a timer of the module's. One that is for a request goes with it: a client may name a patience of an hour.
func (c *Core) setTimer(a choice.SetTimer, now time.Time) {
	stop := c.o.Clock.At(now.Add(a.After), func() { c.tell(choice.TimerFired{Token: a.Token}) })
	if r := c.requests[a.For]; r != nil && a.For != "" {
		r.timers = append(r.timers, stop)
	}
}

func (c *Core) probe(id choice.ServerID, now time.Time) {
	h := c.hosts[id]
	done := false
	tell := func(o choice.Outcome, report []float64) {
		if done {
			return
		}
		done = true
		if c.o.Observer != nil && report != nil {
			c.o.Observer.Report(id, report)
		}
		c.tell(choice.ProbeResult{Server: id, Outcome: o, Took: c.o.Clock.Now().Sub(now), Report: report})
	}
	if h == nil || c.o.Prober == nil {
		tell(choice.ConnectFailed, nil)
		return
	}
	c.o.Prober.Probe(h.UpstreamHost, now.Add(probeTime), tell)
}

// List takes in news of the cluster.
func (c *Core) List(kind choice.ListKind, hosts []UpstreamHost) {
	l := choice.ServerList{Kind: kind}
	var leaving []*host
	heard, corrected := c.clock(c.o.Clock.Now()), false
	for _, h := range hosts {
		corrected = c.starts.hear(h.Server, heard) || corrected
	}
	for _, h := range hosts {
		h.ColdSince = c.starts.reckon(h.Started)
		l.Servers = append(l.Servers, h.Server)
		if k := c.hosts[h.ID]; c.o.Observer != nil && (k == nil || k.State != h.State || k.Started != h.Started) {
			c.o.Observer.Host(h)
		}
		k := c.hosts[h.ID]
		if k == nil {
			k = &host{UpstreamHost: h}
			c.hosts[h.ID] = k
		} else {
			if k.Started != h.Started {
				k.slow, k.network, k.calls = false, 0, nil
			}
			left := k.State == choice.Ready && h.State != choice.Ready
			k.UpstreamHost = h
			if left {
				leaving = append(leaving, k)
			}
		}
		k.noteState(c.o.Clock.Now())
	}
	if kind == choice.ListWhole { // a host that a whole list doesn't name is gone
		named := map[choice.ServerID]bool{}
		for _, h := range hosts {
			named[h.ID] = true
		}
		for id, h := range c.hosts {
			if !named[id] && h.State != choice.Gone {
				ready := h.State == choice.Ready
				h.State = choice.Gone
				h.noteState(c.o.Clock.Now())
				if c.o.Observer != nil {
					c.o.Observer.Host(h.UpstreamHost)
				}
				if ready {
					leaving = append(leaving, h)
				}
			}
		}
	}
	for id, h := range c.hosts { // the module is told once more what is gone; here nothing more comes of it
		if h.State == choice.Gone && h.held == 0 {
			delete(c.hosts, id)
		}
	}
	if kind == choice.ListWhole || kind == choice.ListChange {
		c.starts.listed(heard, c.hosts)
	}
	if corrected && kind == choice.ListChange {
		l.Servers = append(l.Servers, c.reckonAgain(hosts)...)
	}
	c.tell(l) // first: what is called off goes to none of them
	for _, h := range leaving {
		c.callOff(h)
		if c.o.Leave > 0 {
			c.leave(h)
		}
	}
}

// AnotherList says that the next list is another discovery's, whose hosts may have started at any time.
func (c *Core) AnotherList() { c.starts.another() }

// reckonAgain has the starts of all hosts but those of a change be reckoned by a clock that was corrected, and gives those hosts.
func (c *Core) reckonAgain(change []UpstreamHost) (all []choice.Server) {
	for _, h := range c.hosts {
		if slices.ContainsFunc(change, func(o UpstreamHost) bool { return o.ID == h.ID }) || h.Started <= 0 {
			continue
		}
		h.ColdSince = c.starts.reckon(h.Started)
		all = append(all, h.Server)
	}
	slices.SortFunc(all, func(a, b choice.Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Listed are the hosts that are not gone, by id.
func (c *Core) Listed() []UpstreamHost {
	var all []UpstreamHost
	for _, h := range c.hosts {
		if h.State != choice.Gone {
			all = append(all, h.UpstreamHost)
		}
	}
	slices.SortFunc(all, func(a, b UpstreamHost) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Classes are the settings' classes, by index.
func (c *Core) Classes() []choice.Class { return c.o.Settings.Classes }

// Plan has the module go by a plan of zones from now on.
func (c *Core) Plan(p choice.ZonePlan) { c.tell(p) }

// News is what the module saw of zones since the last call.
func (c *Core) News() choice.News { return c.balancer.News(c.clock(c.o.Clock.Now())) }

// Heard takes a message of another node.
func (c *Core) Heard(from int, message []byte) {
	c.tell(choice.PeerMessage{From: from, Data: message})
}

// Unbelieved counts the messages of other nodes that the module dropped.
func (c *Core) Unbelieved() int { return c.balancer.Dropped() }

// Request is one request of a client, from its taking until its connection has ended.
type Request struct {
	Spec
	core     *Core
	client   Client
	attempt  *Attempt
	attempts int
	open     bool // established: the connection stands
	over     bool // has its final answer, or nobody waits for it
	lent     bool // off the loop: another process may have it
	class    choice.Class
	stop     func()
	timers   []func()    // stop those that the module has set for it
	parting  *LocalReply // the core has the module answer it: with whatever it answers, this goes along

	committed bool // bytes of a host have reached the client: no other host can take over
	guard     *invariant.Request

	retryAfter string // the outcome of the last attempt; empty: there was none

	// For the observer.
	seq      uint64
	arrived  time.Time
	stood    time.Time
	load     float64
	tries    []Try
	answered bool
}

// observe tells the request's final answer, once.
func (r *Request) observe(a Answer) {
	o := r.core.o.Observer
	if o == nil || r.answered {
		return
	}
	r.answered = true
	o.Answered(Answered{Spec: r.Spec, Seq: r.seq, Arrived: r.arrived, Took: r.core.o.Clock.Now().Sub(r.arrived), Answer: a, Tries: r.tries})
}

// observeEnd tells that the connection that stood has ended.
func (r *Request) observeEnd(cause EndCause) {
	if o := r.core.o.Observer; o != nil && !r.stood.IsZero() {
		o.Ended(r.seq, r.core.o.Clock.Now().Sub(r.stood), r.load, cause)
		r.stood = time.Time{}
	}
}

func (r *Request) observeTry(a *Attempt, o choice.Outcome) {
	if r.core.o.Observer != nil && !r.answered {
		r.tries = append(r.tries, Try{a.host.ID, o, r.core.o.Clock.Now().Sub(a.started)})
	}
}

// count is the counter of the request's class.
func (r *Request) count() *Counts { return r.core.counts[r.Class] }

// Refuse refuses a request that the node has no room to take: the client hears of it like Open's.
func (c *Core) Refuse(s Spec, client Client, after time.Duration) {
	r := &Request{Spec: s, core: c, client: client, arrived: c.o.Clock.Now(), class: c.o.Settings.Classes[s.Class]}
	c.seq++
	r.seq = c.seq
	r.watch()
	r.answer(LocalReply{Refused: true, After: after, Reason: trace.NoDescriptor})
}

// Gauges tells what the core holds now.
func (c *Core) Gauges() Gauges {
	g := Gauges{InFlight: len(c.requests), HostsExcluded: c.balancer.Avoided(c.clock(c.o.Clock.Now()))}
	for _, h := range c.hosts {
		if h.State != choice.Gone {
			g.HostsKnown++
		}
	}
	return g
}

// Open takes a new request. The client hears of it through c's methods, at the earliest when this has returned.
func (c *Core) Open(s Spec, client Client) *Request {
	c.seq++
	r := &Request{Spec: s, core: c, client: client, seq: c.seq, arrived: c.o.Clock.Now(), class: c.o.Settings.Classes[s.Class]}
	r.watch()
	switch {
	case c.requests[s.ID] != nil:
		// Guards against two requests under one id, of which the module would know only the first.
		c.o.Clock.At(c.o.Clock.Now(), func() { r.answer(LocalReply{Reason: trace.IDInUse}) })
		return r
	case c.draining:
		c.requests[s.ID] = r
		c.o.Clock.At(c.o.Clock.Now(), func() { r.answer(c.leaving()) })
		return r
	}
	if after, ok := c.takes(r); !ok {
		c.requests[s.ID] = r
		c.o.Clock.At(c.o.Clock.Now(), func() { r.answer(LocalReply{Refused: true, After: after, Reason: trace.NoPolicy}) })
		return r
	}
	s = r.Spec
	c.requests[s.ID] = r
	c.o.Trace.Read(string(s.ID), r.class.Name, s.Deadline.Sub(r.arrived))
	// The module owns the deadline; this guards against a request that it has lost.
	r.stop = c.o.Clock.At(s.Deadline, r.expired)
	if s.At != "" {
		c.o.Clock.At(c.o.Clock.Now(), r.sendPinned)
		return r
	}
	c.tell(r.event())
	return r
}

func (r *Request) event() choice.Request {
	return choice.Request{ID: r.ID, Class: r.Class, Tenant: r.Tenant, Key: r.Key, Group: r.Group, Load: r.Load,
		Returned: r.Returned, Home: r.Home, Left: r.Deadline.Sub(r.core.o.Clock.Now())}
}

func (r *Request) expired() {
	if r.over || r.open {
		return
	}
	zap.L().Error("deadline_unanswered", zap.String("request", string(r.ID)))
	r.refuse(LocalReply{Refused: true, Reason: trace.PastDeadline})
	r.core.o.Clock.At(r.core.o.Clock.Now(), func() {
		if !r.over && !r.open { // the module doesn't know it: what was sent may have run
			r.core.tell(choice.ClientGone{ID: r.ID})
			r.cut(LocalReply{Refused: r.attempts == 0, Reason: trace.LostByModule})
		}
	})
}

// refuse has the module answer a request now, and calls off what it has out. Whether trying again is harmless hangs on what
// may have run and on the class: the module says so, and l is what else is to be told.
func (r *Request) refuse(l LocalReply) {
	switch {
	case r.over || r.open:
	case r.At != "" || r.core.requests[r.ID] != r: // none of the module's
		r.cut(l)
	default:
		r.parting = &l
		r.core.tell(choice.TimeUp{ID: r.ID})
	}
}

// conclude gives the module's answer.
func (r *Request) conclude(l LocalReply) {
	if r.parting == nil {
		r.answer(l)
		return
	}
	if r.parting.Refused = l.Refused; !l.Refused {
		r.parting.After = 0
	}
	r.cut(*r.parting)
}

// cut answers a request and calls off what it has out.
func (r *Request) cut(l LocalReply) {
	r.answer(l)
	if r.attempt != nil && !r.open {
		r.attempt.giveUp(choice.Cancelled)
	}
}

func (r *Request) sendPinned() {
	if !r.over {
		r.send(r.At, r.Deadline, 0)
	}
}

func (r *Request) send(id choice.ServerID, until time.Time, by time.Duration) {
	a := &Attempt{request: r, Number: r.attempts, Until: until, started: r.core.o.Clock.Now()}
	if by > 0 {
		a.by = r.core.start.Add(by - r.core.epoch)
	}
	r.attempts++
	r.attempt = a
	c := r.core
	h := c.hosts[id]
	if h == nil {
		a.host = &host{UpstreamHost: UpstreamHost{Server: choice.Server{ID: id}}, held: 1}
		a.Ended(choice.ConnectFailed, nil)
		return
	}
	a.host, a.Host = h, h.UpstreamHost
	h.held++
	if a.guarded = r.guard.Start(c.facts(h), a.started) == invariant.Kept; !a.guarded {
		a.Ended(choice.Moot, nil)
		return
	}
	if r.retryAfter != "" {
		c.o.Trace.Retried(string(r.ID), r.retryAfter)
	}
	c.o.Trace.Started(string(r.ID), a.Number, string(h.ID))
	a.stop = c.o.Clock.At(until, func() { a.giveUp(choice.TimedOut) })
	if u := r.client.Attempt(a); !a.ended {
		a.upstream = u
	}
}

// answer gives the final answer, unless there is one already.
func (r *Request) answer(l LocalReply) {
	if r.over || r.open {
		return
	}
	r.over = true
	if r.guard.Answer(l.Refused, r.core.o.Clock.Now()) == invariant.UnsafeRefusal {
		l.Refused, l.After, l.Reason = false, 0, trace.UnsafeToRefuse
	}
	r.core.o.Trace.Answered(string(r.ID), l.Refused, l.Reason)
	if l.Refused {
		r.count().Refused++
		r.observe(Refused)
	} else {
		r.count().Failed++
		r.observe(Failed)
	}
	r.client.LocalReply(l)
	r.settle()
}

// settle forgets a request of which nothing is left.
func (r *Request) settle() {
	if r.over && r.attempt == nil && r.core.requests[r.ID] == r {
		delete(r.core.requests, r.ID)
	}
	if r.over {
		r.cancelTimers()
	}
}

// cancelTimers ends what was set for a request that has its answer.
func (r *Request) cancelTimers() {
	if r.stop != nil {
		r.stop()
		r.stop = nil
	}
	for _, stop := range r.timers {
		stop()
	}
	r.timers = nil
}

// Broken says that the client broke the protocol and its front has answered it so.
func (r *Request) Broken() {
	if !r.over && !r.open {
		r.count().Failed++
	}
	r.Gone() // for the guard, too: what its front owes a client that broke the protocol it has paid
}

// Gone says that the client left, before its answer or on an open connection.
func (r *Request) Gone() {
	if r.over {
		return
	}
	r.over = true
	r.guard.Gone()
	if r.open {
		r.observeEnd(ByClient)
	} else {
		r.observe(Left)
	}
	// A second request under the id of another is not the module's, and must not end the first one there.
	if !r.open && r.core.requests[r.ID] == r && !r.core.withdraw(r.ID) {
		r.core.tell(choice.ClientGone{ID: r.ID})
	}
	if r.attempt != nil {
		r.attempt.giveUp(choice.Cancelled)
	}
	r.settle()
}

// move sends the client of an open connection away.
func (r *Request) move() {
	if !r.open || r.over || r.lent {
		return
	}
	r.over = true
	if !r.core.leaveBy.IsZero() {
		r.core.moved++
	}
	r.observeEnd(Moved)
	by := r.core.o.Clock.Now().Add(moveEnds)
	if end := r.core.end; !end.IsZero() { // a host that stopped amid a line must not have its client held past the stop
		by = earlier(by, end)
	}
	r.client.Move(by)
	r.attempt.Ended(choice.Cancelled, nil)
	r.settle()
}

// Serving reports whether a host takes new requests, as the process that started then.
func (c *Core) Serving(id choice.ServerID, started time.Duration) bool {
	h := c.hosts[id]
	return h != nil && h.State == choice.Ready && h.Started == started
}

// MayTurn reports whether a request that has no answer yet may go to another host with one more attempt.
func (r *Request) MayTurn(home choice.ServerID) bool {
	h := r.core.hosts[home]
	return !r.over && !r.open && r.At == "" && r.attempt != nil && r.attempts < r.core.o.Settings.Limits.Attempts &&
		h != nil && h.State == choice.Ready
}

// Turn calls the attempt in hand off and tells the module where what the request resumes lives. The front answers for it
// that nothing the client has seen of the first host binds it to that one.
func (r *Request) Turn(home choice.ServerID) {
	r.Home, r.committed = home, false
	r.core.tell(choice.Homed{ID: r.ID, Server: home})
	r.attempt.giveUp(choice.Cancelled)
}

// Redirected says that a host has named another one, by its address or id, before its attempt ends. One that is not in the list, or
// leaves, is nobody's to go to.
func (r *Request) Redirected(to string) {
	for _, h := range r.core.hosts {
		if (h.Addr == to || string(h.ID) == to) && h.State == choice.Ready {
			r.core.tell(choice.Homed{ID: r.ID, Server: h.ID})
		}
	}
}

// Attempt is one upstream request.
type Attempt struct {
	request  *Request
	host     *host
	upstream UpstreamRequest
	stop     func()
	started  time.Time
	by       time.Time // its first byte is out before, or it is not sent; zero: whenever
	begun    bool      // it may be out
	guarded  bool      // the guard has let it start
	written  bool
	ended    bool

	Number int
	Host   UpstreamHost
	Until  time.Time // absolute: given up then
}

// Standing says that the attempt is for a connection that was open at its host before the node started.
func (a *Attempt) Standing() bool { return a.request.At != "" }

// ConnectBy is when the attempt's connection must be up.
func (a *Attempt) ConnectBy() time.Time {
	by := a.Until
	if t := a.request.core.o.Settings.Limits.ConnectTimeout; t > 0 {
		by = earlier(by, a.started.Add(t))
	}
	if !a.by.IsZero() {
		by = earlier(by, a.by)
	}
	return by
}

// Begin reports whether the attempt's first byte may go out. A connection may take long to come up, and what made the decision
// right may be over by then; the attempt is, where this says no, and never ran.
func (a *Attempt) Begin() bool {
	now := a.request.core.o.Clock.Now()
	switch {
	case a.ended:
	case !now.Before(a.Until):
		a.giveUp(choice.TimedOut)
	case !a.by.IsZero() && !now.Before(a.by):
		a.giveUp(choice.Cancelled)
	case a.request.guard.Send(a.request.core.facts(a.host), now) != invariant.Kept:
		a.giveUp(choice.Cancelled)
	default:
		a.begun = true
		a.request.core.o.Trace.Sent(string(a.request.ID), a.Number, string(a.host.ID))
		return true
	}
	a.request.core.spared++
	return false
}

// Written says that the attempt's last byte is with the kernel: from here on it counts.
func (a *Attempt) Written() {
	if !a.written {
		a.written = true
		a.request.core.o.Figures.Attempt()
	}
}

// Connected tells what the way to the host takes, so that it isn't held against the host.
func (a *Attempt) Connected() {
	took := a.request.core.o.Clock.Now().Sub(a.started)
	if h := a.host; h.network == 0 || took < h.network {
		h.network = took
	}
}

// Established says that the host took the connection.
func (a *Attempt) Established() {
	r := a.request
	if a.ended || r.over || r.open {
		return
	}
	r.open = true
	r.guard.Served(true, r.core.o.Clock.Now())
	r.core.o.Trace.Served(string(r.ID), string(a.host.ID))
	r.count().Served++
	r.observeTry(a, choice.Served)
	r.observe(Up)
	r.stood = r.core.o.Clock.Now()
	if a.stop != nil {
		a.stop()
	}
	r.cancelTimers()
	if r.At != "" {
		a.Number = 0
		r.core.tell(choice.OpenConnection{Request: r.event(), Server: r.At})
	} else {
		r.core.tell(choice.Established{ID: r.ID, Attempt: a.Number, Server: a.host.ID, Took: r.core.o.Clock.Now().Sub(a.started)})
	}
	r.leaveWith(a.host, r.core.o.Clock.Now())
}

// Commit says that bytes of the host are about to reach the client: no other host can take over from here, and so
// the attempt may use all the time that the client has.
func (a *Attempt) Commit() {
	r := a.request
	if a.ended || r.open || r.committed {
		return
	}
	r.committed = true
	a.Until = r.Deadline
	a.stop()
	a.stop = r.core.o.Clock.At(a.Until, func() { a.giveUp(choice.TimedOut) })
}

// Ended gives the attempt's one outcome. What is told after it, or after GiveUp, doesn't count.
func (a *Attempt) Ended(o choice.Outcome, report []float64) {
	if a.ended {
		return
	}
	a.ended = true
	a.host.held--
	if a.guarded {
		a.request.guard.Ended(a.begun && !o.NeverRan())
	}
	if a.stop != nil {
		a.stop()
	}
	r := a.request
	r.attempt, r.retryAfter = nil, o.String()
	r.core.o.Trace.Ended(string(r.ID), a.Number, string(a.host.ID), o.String(), a.written, r.core.o.Clock.Now().Sub(a.started))
	final := r.over || r.open || r.committed || o == choice.Served
	switch r.observeTry(a, o); {
	case r.open:
		r.observeEnd(ByHost)
	case o == choice.Served && !r.over:
		r.guard.Served(false, r.core.o.Clock.Now())
		r.core.o.Trace.Served(string(r.ID), string(a.host.ID))
		r.count().Served++
		r.observe(Served)
	}
	// What the module knows under this id may be another request, of one that came from another process with it.
	if (r.At == "" || r.open) && r.core.requests[r.ID] == r {
		r.core.tell(choice.AttemptEnded{ID: r.ID, Attempt: a.Number, Server: a.host.ID, Outcome: o,
			Took: r.core.o.Clock.Now().Sub(a.started), Final: final, Report: report})
	}
	switch {
	case r.over || r.open || o == choice.Served:
		r.over = true
	case r.committed && o == choice.TimedOut:
		r.answer(LocalReply{Refused: true, Why: Late, Reason: trace.PastDeadline})
	case r.committed:
		r.answer(LocalReply{Refused: true, Why: HostLost, Reason: trace.HostLost})
	case r.At != "":
		// The host of a connection open before the run is no choice: only ever this one.
		now := r.core.o.Clock.Now()
		if now.Add(retryPinned).Before(r.Deadline) {
			r.core.o.Clock.At(now.Add(retryPinned), r.sendPinned)
		} else {
			r.answer(LocalReply{Refused: true, Why: Unreachable, Reason: trace.Unreachable})
		}
	}
	r.settle()
}

func (a *Attempt) giveUp(o choice.Outcome) {
	if a.ended {
		return
	}
	if a.upstream != nil {
		a.upstream.GiveUp()
	}
	switch { // what was never written whole has not run
	case a.written:
	case o == choice.TimedOut:
		o = choice.ConnectFailed
	case o == choice.Cancelled && !a.request.open:
		o = choice.Moot
	}
	a.Ended(o, nil)
}

// Load tells the connection's present load.
func (a *Attempt) Load(x float64) {
	if !a.ended && a.request.open {
		a.request.load = x
		a.request.core.tell(choice.LoadNote{ID: a.request.ID, Attempt: a.Number, Load: x})
	}
}

// Delay tells how long a message took on the connection, or has taken so far.
func (a *Attempt) Delay(took time.Duration) {
	r := a.request
	c := r.core
	if a.ended || !r.open || r.over {
		return
	}
	took = max(took-a.host.network, time.Microsecond)
	now := c.o.Clock.Now()
	slow := took > c.minAim/3
	if slow && now.Sub(a.host.noted) >= time.Second || !slow && a.host.slow {
		a.host.noted, a.host.slow = now, slow
		c.tell(choice.DelayNote{ID: r.ID, Server: a.host.ID, Took: took})
	}
}

// SilentAfter is how long a connection may return nothing to a message before its client is moved: its host is
// lost although the connection stands.
func (a *Attempt) SilentAfter() time.Duration { return silentTime }

// Silent moves the client of a connection that returns nothing.
func (a *Attempt) Silent() {
	if !a.ended {
		zap.L().Warn("host_silent_client_moved", zap.String("host", string(a.host.ID)))
		a.request.move()
	}
}

func (c *Core) leaving() LocalReply {
	l := LocalReply{Refused: true, Why: ShuttingDown, Reason: trace.Stopping}
	if c.o.Settings.Limits.RetryAdvice {
		l.After = min(leaveAdvice, c.o.Settings.Limits.MaxRetryAdvice)
	}
	return l
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// On counts the requests and connections that the core has at a host.
func (c *Core) On(id choice.ServerID) int {
	if h := c.hosts[id]; h != nil {
		return h.held
	}
	return 0
}

// Draining reports whether the core turns new requests away.
func (c *Core) Draining() bool { return c.draining }

// Spared counts the attempts whose connection came up when their client, their time or their host was gone: of these
// nothing was written.
func (c *Core) Spared() int { return c.spared }

// Held counts the requests and connections that the core holds.
func (c *Core) Held() int { return len(c.requests) }

func (c *Core) String() string {
	return fmt.Sprintf("%d hosts, %d requests", len(c.hosts), len(c.requests))
}
