// Package planner forecasts what a fleet makes of a load. Nodes in the model are the real core and the real decision
// module (edge.Core, choice.Balancer) on a simulated clock; servers, store, list and clients are models, described in
// docs/planner.md. A run is a pure function of fleet, load, options and seed.
package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

const (
	step       = 50 * time.Millisecond // of the servers' work
	spareSlots = 48                    // descriptors of a node that are not for connections, as in internal/node
	window     = 10 * time.Second      // the worst one counts on its own
	afterBreak = time.Second
	settleTime = 2 * time.Second // a wave of first arrivals is no load that breaks anything
)

// Options change a run.
type Options struct {
	Seed uint64
	// Lose takes a centre away, its nodes and servers, at LoseAt.
	Lose   string
	LoseAt time.Duration
	// AllCold starts all servers with the load.
	AllCold bool
	// Floor ends a run that can no longer reach this service; what it would have got at most stands for its service.
	MinService float64
	// StopBroken ends a run some seconds after a limit was reached: what breaks is known then.
	StopAtLimit bool
}

type event struct {
	fn   func()
	node *node // whose core's events are handed on after fn; those of a dead one are nobody's
}

// events is a heap by time, and by order of coming at one time. It has four children a place and no interface between:
// half of a long run is spent here.
type events []slot

type slot struct {
	at  time.Duration
	seq uint64
	e   *event
}

func (a slot) before(b slot) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (q *events) push(x slot) {
	h := append(*q, x)
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !x.before(h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = x
	*q = h
}

func (q *events) pop() slot {
	h := *q
	top, x := h[0], h[len(h)-1]
	h[len(h)-1] = slot{}
	h = h[:len(h)-1]
	*q = h
	if len(h) == 0 {
		return top
	}
	i := 0
	for {
		least := 4*i + 1
		if least >= len(h) {
			break
		}
		for k := least + 1; k < min(4*i+5, len(h)); k++ {
			if h[k].before(h[least]) {
				least = k
			}
		}
		if !h[least].before(x) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = x
	return top
}

// epoch is when the simulated clock starts: the module's clock is Unix time, in which 0 means "long ago".
var epoch = time.Unix(1_800_000_000, 0)

// world is one run.
type simulation struct {
	fleet    *fleet.Fleet
	load     *workload.Load
	opts     Options
	rng      *rand.Rand
	now      time.Duration
	seq      uint64
	queue    events
	hosts    []*server
	byID     map[choice.ServerID]*server
	nodes    []*node
	storeAt  time.Duration // when the store is free again
	account  *workload.Account
	worths   []float64 // of a second of each session
	held     []int     // sessions that want a connection, by edition
	quota    []float64
	limits   limits
	ids      int
	brokeAt  time.Duration
	ended    float64 // the most that a run ended early could have got; 0: it ran on
	near     []*node // room for picking one
	far      []*node
	got      []float64 // worth a second well served in the step in hand, by class and edition
	ways     [][]time.Duration
	stats    Stats
	requests []int // by second
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

func (w *simulation) at(t time.Duration, n *node, fn func()) *event {
	w.seq++
	e := &event{fn, n}
	w.queue.push(slot{max(t, w.now), w.seq, e})
	return e
}

func (w *simulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := w.queue.pop()
		w.now = next.at
		e := next.e
		if e.fn == nil {
			continue
		}
		e.fn()
		if e.node != nil && !e.node.dead {
			e.node.core.Flush()
		}
	}
	w.now = until
}

// clock is the simulated clock as a core sees it.
type clock struct {
	w *simulation
	n *node
}

func (c clock) Now() time.Time { return epoch.Add(c.w.now) }

func (c clock) At(at time.Time, fn func()) func() {
	e := c.w.at(at.Sub(epoch), c.n, func() {
		if !c.n.dead {
			fn()
		}
	})
	return func() { e.fn = nil }
}

// node is a node of the fleet: the real core, with the descriptors that its front would count.
type node struct {
	w      *simulation
	core   *edge.Core
	centre int
	most   int // connections of both sides
	open   int
	dead   bool
	here   map[*client]struct{}
}

func newWorld(f *fleet.Fleet, l *workload.Load, o Options) (*simulation, error) {
	w := &simulation{fleet: f, load: l, opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1213)), byID: map[choice.ServerID]*server{}}
	w.account, w.worths = workload.NewAccount(f, l.Length), workload.Priorities(f, l)
	w.account.AddDemand(l, w.worths)
	w.requests = make([]int, len(w.account.DemandBySecond))
	editions := max(1, len(f.Editions))
	w.got = make([]float64, len(f.Classes)*editions)
	w.held, w.quota = make([]int, editions), make([]float64, editions)
	for i := range w.quota {
		if w.quota[i] = math.Inf(1); len(f.Editions) > 0 {
			w.quota[i] = f.Quota(i)
		}
	}
	for a := range f.Centres {
		var row []time.Duration
		for b := range f.Centres {
			row = append(row, f.OneWay(a, b))
		}
		w.ways = append(w.ways, row)
	}
	for _, s := range f.ServerPools {
		for range s.Count {
			w.addHost(f.MachineKind(s.Kind), f.Centre(s.Zone), s.WarmingUp || o.AllCold)
		}
	}
	total := 0
	for _, n := range f.Nodes {
		total += n.Count
	}
	for _, n := range f.Nodes {
		for range n.Count {
			if err := w.addNode(n, total); err != nil {
				return nil, err
			}
		}
	}
	return w, nil
}

func (w *simulation) addNode(spec fleet.NodePool, total int) error {
	n := &node{w: w, centre: w.fleet.Centre(spec.Zone), most: spec.Sockets - spareSlots}
	s, err := w.fleet.Settings(len(w.nodes), total, spec.Zone)
	if err != nil {
		return fmt.Errorf("planner: settings of a node: %w", err)
	}
	n.core, err = edge.New(edge.Options{Clock: clock{w, n}, Settings: s.Settings, Seed: w.opts.Seed*1000 + uint64(len(w.nodes)), HealthChecker: n})
	if err != nil {
		return fmt.Errorf("planner: %w", err)
	}
	w.nodes = append(w.nodes, n)
	return nil
}

// list is the list of servers as discovery tells it.
func (w *simulation) list() []edge.ServerEntry {
	var all []edge.ServerEntry
	for _, h := range w.hosts {
		s := choice.Server{ID: h.id, Zone: w.fleet.Centres[h.centre].Name, Kind: h.kind.Name, Size: 1}
		if h.cold {
			s.Started = time.Duration(epoch.UnixNano())
		}
		if h.dead {
			s.State = choice.Gone
		}
		all = append(all, edge.ServerEntry{Server: s})
	}
	return all
}

// CheckHealth asks a server for its report, as the platform's probes do.
func (n *node) CheckHealth(u edge.ServerEntry, by time.Time, done func(choice.Outcome, []float64)) {
	w, h := n.w, n.w.byID[u.ID]
	if n.dead {
		return
	}
	way := w.ways[n.centre][h.centre]
	w.at(w.now+way, nil, func() {
		if h.dead {
			w.at(w.now+way, n, func() { done(choice.ConnectFailed, nil) })
			return
		}
		h.work += w.fleet.LoadReports.HealthCheckWork.Seconds()
		report := h.report()
		w.at(w.now+way, n, func() { done(choice.Served, report) })
	})
}

// simulate plays the whole load.
func (w *simulation) simulate() {
	for _, n := range w.nodes {
		n.core.Start(w.list())
	}
	first := 0
	for ; first < len(w.load.Sessions) && w.load.Sessions[first].AlreadyOpen; first++ {
		w.arrive(&w.load.Sessions[first], w.worths[first], true)
	}
	w.arrivals(first)
	var tick func()
	tick = func() {
		w.advance()
		if w.now+step <= w.load.Length && !w.hopeless() {
			w.at(w.now+step, nil, tick)
		}
	}
	w.at(step, nil, tick)
	if c := w.fleet.Centre(w.opts.Lose); c >= 0 {
		w.at(w.opts.LoseAt, nil, func() { w.lose(c) })
	}
	w.run(w.load.Length)
}

// hopeless ends a run early, once a second, when all that is still to come could not bring the service to the floor.
func (w *simulation) hopeless() bool {
	if w.now%time.Second != 0 {
		return false
	}
	if w.opts.StopAtLimit && w.limits.broken() {
		if w.brokeAt == 0 {
			w.brokeAt = w.now
		}
		if w.now >= w.brokeAt+afterBreak {
			w.ended, _ = w.account.ServiceBetween(0, w.now)
			w.ended = max(w.ended, 1e-9)
			w.queue = nil
			return true
		}
	}
	if w.opts.MinService <= 0 {
		return false
	}
	all, lost := w.account.LostUntil(w.now)
	if all > 0 && 1-lost/all < w.opts.MinService {
		w.ended = 1 - lost/all
		w.queue = nil
		return true
	}
	return false
}

// arrivals has the sessions come from number i on, one event at a time: the queue stays small.
func (w *simulation) arrivals(i int) {
	if i < len(w.load.Sessions) {
		s := &w.load.Sessions[i]
		w.at(s.Arrival, nil, func() {
			w.arrive(s, w.worths[i], false)
			w.arrivals(i + 1)
		})
	}
}

// lose takes a centre away: its connections break, its nodes are gone for the front at once, and the others' lists tell of
// its servers when discovery does.
func (w *simulation) lose(centre int) {
	for _, n := range w.nodes {
		if n.centre == centre {
			n.dead = true
		}
	}
	for _, h := range w.hosts {
		if h.centre == centre {
			h.dead = true
			h.breakAll()
		}
	}
	for _, n := range w.nodes {
		if n.dead {
			for _, c := range n.clients() {
				c.nodeLost()
			}
		}
	}
	w.at(w.now+time.Duration(w.fleet.Discovery.Delay), nil, func() {
		for _, n := range w.nodes {
			if !n.dead {
				n.core.UpdateServers(choice.ListFull, w.list())
				n.core.Flush()
			}
		}
	})
}
