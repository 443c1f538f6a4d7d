// Package explore plays a fleet in simulated time: hundreds of nodes, each with its own module (choice), core (edge) and part in the fleet
// (failover/agent), as they are in service; the network, clocks, disks, hosts and clients are drawn by seed. What happens is a history as
// the processes' laboratory writes it, and the same checker reads it.
package explore

import (
	"cmp"
	"container/heap"
	crypto "crypto/rand"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/agree"
	"spurwinch/internal/agree/voter"
	"spurwinch/internal/edge"
	"spurwinch/internal/failover"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/lab/faults"
	"spurwinch/internal/membership"
	"spurwinch/internal/wire"
)

// Options say what is played.
type Options struct {
	Seed     uint64
	Nodes    int
	Zones    int
	Regions  int
	Hosts    int           // in each zone
	Bears    int           // connections, a host
	Use      float64       // part of what all hosts bear that clients ask for
	Life     time.Duration // of a connection, in the mean
	Length   time.Duration
	Loss     float64 // of messages between nodes
	Faults   string  // a name of Scenarios, or "drawn"
	Policy   Policy
	Voters   int
	Messages int // the longest time on the way, ms
	Mutation string
	Light    bool // no hosts and no clients: changes of policy
}

// Policy says who decides where clients of a zone go.
type Policy string

const (
	Common Policy = "common" // the plan decided in common
	Each   Policy = "each"   // each node for itself, among all zones: the program before
	Static Policy = "static" // each node for itself, by a fixed order of zones: own, region, others
)

// Usual fills in what is left out.
func (o Options) Usual() Options {
	fill := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	fill(&o.Nodes, 30)
	fill(&o.Zones, 3)
	fill(&o.Regions, min(3, o.Zones))
	fill(&o.Hosts, 4)
	fill(&o.Bears, max(50, 36*o.Nodes/o.Zones/o.Hosts)) // some 16 connections a node
	fill(&o.Voters, 3)
	if o.Use == 0 {
		o.Use = 0.45
	}
	if o.Life == 0 {
		o.Life = 12 * time.Second
	}
	if o.Length == 0 {
		o.Length = 40 * time.Second
	}
	if o.Policy == "" {
		o.Policy = Common
	}
	return o
}

// NewVoter makes a voter.
func NewVoter(self, n int, kept []agree.Record, rng *rand.Rand) (agent.Voter, error) {
	return voter.New(self, n, kept, rng)
}

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type item struct {
	at  time.Duration
	seq uint64
	fn  func()
	off bool
	pos int
}

type queue []*item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i]; q[i].pos, q[j].pos = i, j }
func (q *queue) Push(x any)   { it := x.(*item); it.pos = len(*q); *q = append(*q, it) }
func (q *queue) Pop() any {
	old := *q
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	it.pos = -1
	return it
}

// World is one run.
type World struct {
	o        Options
	rng      *rand.Rand
	now      time.Duration
	q        queue
	seq      uint64
	list     *membership.List
	nodes    []*node
	hosts    []*host
	byID     map[choice.ServerID]*host
	zones    []string
	events   []faults.Event
	ids      int
	cut      map[[2]string]bool // nodes' messages from zone to zone are lost
	cutHosts map[[2]string]bool // and lines to hosts
	loss     float64
	late     time.Duration // more on the way for evidence of lateZone
	repeat   float64
	bytes    uint64
	sent     uint64
	settings choice.Settings
	classes  []string
	saves    int
	served   map[string][2]int // by class: served, all
	ops      []*operator
	opPause  time.Duration
	patience time.Duration // of an operator's call, where it is longer than usual
	olds     bool          // some nodes are of an older version
	crashy   float64       // part of the steps of policies at which the node is killed
}

type host struct {
	id    choice.ServerID
	zone  string
	bears int
	held  map[*try]bool
	down  string // "", "refuses", "silent", "fails" what it is sent, "mute" after it was sent something
	slow  float64
}

type node struct {
	w        *World
	i        int
	name     string
	zone     string
	core     *edge.Core
	agent    *agent.Agent
	disk     []agree.Record
	born     int // processes so far
	up       bool
	still    time.Duration // stopped until then
	deaf     bool          // its link is bad: nothing comes or goes to other nodes
	hard     bool          // it hears nobody, and is heard
	badLine  bool          // its lines to hosts fail
	diskBad  bool
	diskSlow time.Duration
	busy     bool // a record is on its way to the disk
	list     []edge.UpstreamHost
	old      bool // of a version that doesn't know all keys
	reached  bool // by operators, though nothing comes or goes to other nodes
	came     float64
	away     float64
}

type drawn struct{ *rand.Rand }

func (d drawn) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(d.Uint64())
	}
	return len(p), nil
}

// New makes a world. Worlds of one process are made and played one after another: Raft draws its patience from crypto/rand.
func New(o Options) (*World, error) {
	o = o.Usual()
	w := &World{o: o, rng: rand.New(rand.NewPCG(o.Seed, 77)), byID: map[choice.ServerID]*host{}, cut: map[[2]string]bool{},
		cutHosts: map[[2]string]bool{}, loss: o.Loss, served: map[string][2]int{}}
	crypto.Reader = drawn{rand.New(rand.NewPCG(o.Seed, 78))}
	var nodes []membership.Node
	region := map[string]string{}
	for z := range o.Zones {
		name := fmt.Sprintf("z%d", z)
		w.zones = append(w.zones, name)
		region[name] = fmt.Sprintf("r%d", z*o.Regions/o.Zones)
		w.note(faults.Event{Kind: faults.KindZone, Zone: name, Detail: region[name], Value: float64(o.Hosts * o.Bears)})
		for range o.Hosts {
			h := &host{id: choice.ServerID(fmt.Sprintf("h%03d", len(w.hosts))), zone: name, bears: o.Bears, held: map[*try]bool{}, slow: 1}
			w.hosts = append(w.hosts, h)
			w.byID[h.id] = h
		}
	}
	for i := range o.Nodes {
		z := w.zones[i%o.Zones]
		// Voters stand in different zones.
		nodes = append(nodes, membership.Node{Name: fmt.Sprintf("n%04d", i), Zone: z, Region: region[z], Voter: i < o.Voters})
	}
	var err error
	if w.list, err = membership.NewList(nodes); err != nil {
		return nil, err
	}
	s, err := Settings(o.Nodes, 0, w.zones[0])
	if err != nil {
		return nil, err
	}
	w.settings = s.Settings
	for _, c := range s.Classes {
		w.classes = append(w.classes, c.Name)
	}
	for i := range w.list.Len() {
		n := &node{w: w, i: i, name: w.list.Node(i).Name, zone: w.list.Node(i).Zone}
		v := 0.0
		if w.list.Node(i).Voter {
			v = 1
		}
		w.note(faults.Event{Kind: faults.KindNode, Node: n.name, Zone: n.zone, Value: v})
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := n.start("new"); err != nil {
			return nil, err
		}
	}
	if o.Light {
		w.opPause = 700 * time.Millisecond
		w.operators(3)
		return w, nil
	}
	for _, z := range w.zones {
		w.arrivals(z)
		// Who would stand there already comes over the first seconds.
		for range int(o.Use * float64(o.Hosts*o.Bears)) {
			w.at(3*time.Second+time.Duration(w.rng.Float64()*float64(4*time.Second)), func() { w.newClient(z).come() })
		}
	}
	w.every(500*time.Millisecond, w.sample)
	return w, nil
}

// Settings are what a node of the laboratory is told.
func Settings(nodes, index int, zone string) (wire.Settings, error) {
	return wire.DecodeSettings(faults.SettingsJSON(nodes, index, zone))
}

func rules() failover.Rules {
	r := failover.Rules{Limit: 0.85, Life: 30 * time.Second, Hold: 4 * time.Second, Ramp: 0.2, Far: func(a, b string) float64 { return 1 }}
	for _, c := range faults.Classes {
		r.Classes = append(r.Classes, failover.Class{Name: c.Name, Worth: c.Worth, Stay: c.Stay})
	}
	return r
}

func (w *World) note(e faults.Event) {
	e.At = w.now.Seconds()
	w.events = append(w.events, e)
}

func (w *World) at(d time.Duration, fn func()) *item {
	w.seq++
	it := &item{at: max(w.now, d), seq: w.seq, fn: fn}
	heap.Push(&w.q, it)
	return it
}

func (w *World) every(d time.Duration, fn func()) {
	w.at(w.now+d, func() { fn(); w.every(d, fn) })
}

// Run plays the world to its end and gives its history.
func (w *World) Run() []faults.Event {
	for len(w.q) > 0 && w.q[0].at <= w.o.Length {
		it := heap.Pop(&w.q).(*item)
		w.now = it.at
		if !it.off {
			it.fn()
		}
	}
	return w.events
}

// Served tells, by class, how many requests came up, of how many.
func (w *World) Served() map[string][2]int { return w.served }

// Bytes tells the bytes that nodes have sent one another.
func (w *World) Bytes() uint64 { return w.bytes }

// on runs fn at a node, unless its process is another one by then; while it is stopped it waits.
func (n *node) on(at time.Duration, fn func()) *item {
	born := n.born
	var run func()
	run = func() {
		if !n.up || n.born != born {
			return
		}
		if n.still > n.w.now {
			n.w.at(n.still, run)
			return
		}
		fn()
		n.settle()
	}
	return n.w.at(at, run)
}

// settle carries out what a callback has led to.
func (n *node) settle() {
	if !n.up {
		return
	}
	if n.core != nil {
		n.core.Flush()
	}
	if n.agent != nil {
		n.pump()
	}
}

// Now and At make a node the core's clock.
func (n *node) Now() time.Time { return begin.Add(n.w.now) }

func (n *node) At(at time.Time, fn func()) (stop func()) {
	off := false
	n.on(max(at.Sub(begin), n.w.now), func() {
		if !off {
			fn()
		}
	})
	return func() { off = true }
}

func (n *node) start(files string) error {
	w := n.w
	n.born++
	n.up = true
	if files == "lost" {
		n.disk = nil
	}
	w.note(faults.Event{Kind: faults.KindStart, Node: n.name, Zone: n.zone, Detail: files})
	if w.o.Light {
		n.came, n.away = 0, 0
		return n.join()
	}
	set, err := Settings(w.o.Nodes, n.i, n.zone)
	if err != nil {
		return err
	}
	n.core, err = edge.New(edge.Options{Clock: n, Settings: set.Settings, Seed: w.o.Seed*4099 + uint64(n.i)*7 + uint64(n.born), Prober: n,
		Follow: func() {}})
	if err != nil {
		return err
	}
	n.list = nil
	for _, h := range w.hosts {
		n.list = append(n.list, edge.UpstreamHost{Server: choice.Server{ID: h.id, Zone: h.zone, Kind: "k", Size: 1}})
	}
	n.core.Start(n.list)
	n.agent = nil
	if w.o.Policy != Common {
		if w.o.Policy == Static {
			n.core.Plan(n.static())
		}
		n.core.Flush()
		return nil
	}
	return n.join()
}

const labKey = "a key of the laboratory"

// join begins the node's part in the fleet.
func (n *node) join() (err error) {
	w := n.w
	o := agent.Options{List: w.list, Self: n.i, Key: []byte(labKey), Rules: rules(), Classes: w.classes,
		ComeAgain: time.Second, Kept: n.disk, Seed: w.o.Seed*31 + uint64(n.i)*1009 + uint64(n.born), Log: n.log, Voter: NewVoter}
	if w.o.Light {
		o.Policy = n.policyOptions()
	}
	if n.agent, err = agent.New(o, n.clock()); err != nil {
		return err
	}
	if w.o.Light {
		n.admits()
	}
	n.tick()
	n.settle()
	return nil
}

// clock is the node's own monotonic time.
func (n *node) clock() time.Duration { return n.w.now + time.Duration(n.i)*time.Hour }

func (n *node) tick() {
	n.on(n.w.now+agree.Tick, func() {
		n.agent.Tick(n.clock())
		if n.agent.Wants(n.clock()) {
			if n.core == nil {
				n.agent.Tell(n.lightNews(), n.clock())
			} else {
				n.agent.Tell(n.core.News(), n.clock())
			}
		}
		n.tick()
	})
}

// static is the order of zones that a node goes by alone.
func (n *node) static() choice.ZonePlan {
	p := choice.ZonePlan{}
	own := n.w.list.Region(n.zone)
	for rank := range 3 {
		for _, z := range n.w.zones {
			r := 2
			if z == n.zone {
				r = 0
			} else if n.w.list.Region(z) == own {
				r = 1
			}
			if r == rank {
				g := choice.Grant{Zone: z, Load: math.Inf(1)}
				for c, k := range faults.Classes {
					if k.Stay && r == 2 {
						g.Except = append(g.Except, c)
					}
				}
				p.Grants = append(p.Grants, g)
			}
		}
	}
	return p
}

func (n *node) pump() {
	a := n.agent
	for range 8 {
		if p, changed := a.Use(); changed && n.core != nil {
			n.core.Plan(p)
			n.core.Flush()
		}
		n.save()
		out := a.Out()
		if len(out) == 0 {
			return
		}
		for _, m := range out {
			n.send(m)
		}
	}
}

// save has the disk take a while, and lets a crash come before or after.
func (n *node) save() {
	rec, whole, ok := n.agent.Save()
	if !ok || n.busy {
		return
	}
	n.w.saves++
	born := n.born
	n.busy = true
	n.w.at(n.w.now+n.diskSlow+time.Duration(1+n.w.rng.IntN(8))*time.Millisecond, func() {
		if n.born != born || !n.up {
			return
		}
		n.busy = false
		if n.diskBad {
			n.w.at(n.w.now+200*time.Millisecond, func() {
				if n.born == born && n.up {
					n.save()
				}
			})
			return
		}
		if whole {
			n.disk = nil
		}
		n.disk = append(n.disk, rec)
		n.on(n.w.now, func() { n.agent.Kept(n.clock()) })
	})
}

func (n *node) send(m agent.Message) {
	w, to := n.w, n.w.nodes[m.To]
	w.sent++
	w.bytes += uint64(len(m.Data))
	if n.deaf || to.deaf || to.hard || w.cut[[2]string{n.zone, to.zone}] || w.rng.Float64() < w.loss {
		return
	}
	way := func() time.Duration {
		d := 200*time.Microsecond + time.Duration(w.rng.Float64()*float64(time.Millisecond))
		if n.zone != to.zone {
			d += 4 * time.Millisecond
		}
		if w.o.Messages > 0 && w.rng.Float64() < 0.1 {
			d += time.Duration(w.rng.IntN(w.o.Messages)) * time.Millisecond
		}
		if !agent.OfVoters(m.Data) { // else the log stands still, and nothing of what is late matters
			d += w.late/2 + time.Duration(w.rng.Float64()*float64(w.late)) // what is late overtakes
		}
		return d
	}
	deliver := func() { to.on(w.now+way(), func() { to.agent.Receive(m.Data, to.clock()) }) }
	if to.up {
		deliver()
		if w.rng.Float64() < w.repeat {
			deliver()
		}
	}
}

// log makes events of what the node would write to its log.
func (n *node) log(event string, fields ...any) {
	get := func(name string) any {
		for i := 0; i+1 < len(fields); i += 2 {
			if fields[i] == name {
				return fields[i+1]
			}
		}
		return nil
	}
	text := func(name string) string { s, _ := get(name).(string); return s }
	num := func(name string) uint64 { v, _ := get(name).(uint64); return v }
	e := faults.Event{Node: n.name, Zone: n.zone}
	switch event {
	case "fleet_plan_taken":
		e.Kind, e.Number, e.Digest = faults.KindPlan, num("number"), text("digest")
		e.Plan, _ = get("plan").([]byte)
	case "fleet_mode":
		e.Kind, e.Mode, e.Number = faults.KindMode, text("mode"), num("plan")
	case "fleet_loan":
		e.Kind, e.To = faults.KindLoan, text("zone")
		e.Value, _ = get("load").(float64)
	case "fleet_policy_committed", "fleet_policy_decided":
		e.Kind, e.Number, e.Digest, e.Detail = faults.KindPolicy, num("number"), text("digest"), strings.TrimPrefix(event, "fleet_policy_")
	case "fleet_policy_change":
		e.Kind, e.ID, e.Number, e.Result = faults.KindVerdict, text("id"), num("number"), "yes"
		if strings.HasPrefix(text("verdict"), "no") {
			e.Result = "no"
		}
	case "fleet_policy_trial":
		e.Kind, e.ID, e.Number = faults.KindTrial, text("id"), num("number")
	case "fleet_policy_ended":
		e.Kind, e.ID, e.Number, e.Result, e.Detail = faults.KindEnded, text("id"), num("number"), "given up", text("why")
		if taken, _ := get("taken").(bool); taken {
			e.Result = "taken"
		}
	case "fleet_leads":
		e.Kind, e.Number = faults.KindLeads, num("term")
	case "fleet_decided":
		e.Kind, e.ID, e.Number, e.Result = faults.KindDecided, text("id"), num("number"), "taken"
	default:
		e.Kind, e.Detail = "log", event+fmt.Sprint(fields...)
	}
	n.w.note(e)
	if w := n.w; w.crashy > 0 && strings.HasPrefix(event, "fleet_policy_") && w.now < w.o.Length-14*time.Second && w.rng.Float64() < w.crashy {
		born := n.born
		w.at(w.now, func() {
			if n.born == born {
				w.note(faults.Event{Kind: faults.KindFault, Detail: "killed at a step", Node: n.name})
				w.restart(n, "kept", time.Duration(100+w.rng.IntN(4000))*time.Millisecond)
			}
		})
	}
}

func (n *node) crash() {
	if !n.up {
		return
	}
	n.w.note(faults.Event{Kind: faults.KindCrash, Node: n.name, Zone: n.zone})
	n.up, n.busy, n.still = false, false, 0
	for _, h := range n.w.hosts {
		for _, t := range h.inOrder() {
			if t.c.node == n {
				delete(h.held, t)
				t.c.again()
			}
		}
	}
}

// Hosts and clients.

// Probe asks a host for its report.
func (n *node) Probe(h edge.UpstreamHost, by time.Time, done func(choice.Outcome, []float64)) {
	w, t := n.w, n.w.byID[h.ID]
	answered := false
	end := func(o choice.Outcome, r []float64) {
		if !answered {
			answered = true
			done(o, r)
		}
	}
	n.on(by.Sub(begin), func() { end(choice.TimedOut, nil) })
	if t.down == "silent" || n.badLine || w.cutHosts[[2]string{n.zone, t.zone}] {
		return
	}
	n.on(w.now+n.way(t), func() {
		if t.down == "refuses" {
			end(choice.ConnectFailed, nil)
			return
		}
		x := t.load()
		end(choice.Served, []float64{1, min(1, x), x})
	})
}

func (h *host) load() float64 { return float64(len(h.held)) / float64(h.bears) * h.slow }

func (n *node) way(h *host) time.Duration {
	d := time.Millisecond + time.Duration(n.w.rng.IntN(1000))*time.Microsecond
	if h.zone != n.zone {
		d += 8 * time.Millisecond
	}
	return d
}

// client is one request of a client, from its coming to its end.
type client struct {
	w     *World
	node  *node
	zone  string
	class int
	id    string
	came  time.Duration
	until time.Duration // when it wants its connection no longer
	tries int
	r     *edge.Request
	on    *try
	over  bool
}

type try struct {
	c    *client
	a    *edge.Attempt
	host *host
	off  bool
}

func (w *World) arrivals(zone string) {
	rate := w.o.Use * float64(w.o.Hosts*w.o.Bears) / w.o.Life.Seconds()
	w.at(w.now+time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		c := w.newClient(zone)
		if w.now > 3*time.Second {
			c.come()
		}
		w.arrivals(zone)
	})
}

func (w *World) newClient(zone string) *client {
	life := time.Duration(w.rng.ExpFloat64() * float64(w.o.Life))
	c := &client{w: w, zone: zone, until: w.now + min(life, 4*w.o.Life)}
	x := w.rng.Float64()
	for c.class = 0; c.class < len(faults.Classes)-1 && x > faults.Classes[c.class].Part; c.class++ {
		x -= faults.Classes[c.class].Part
	}
	return c
}

// come brings the client through the front: to a node of its zone that is up, else to any.
func (c *client) come() {
	w := c.w
	var near, any []*node
	for _, n := range w.nodes {
		if n.up {
			any = append(any, n)
			if n.zone == c.zone {
				near = append(near, n)
			}
		}
	}
	if len(near) == 0 {
		near = any
	}
	if len(near) == 0 || w.now >= c.until {
		return
	}
	// Another one from here on: what a stopped node still has of the one before is that one's.
	c = &client{w: w, zone: c.zone, class: c.class, until: c.until, tries: c.tries, node: near[w.rng.IntN(len(near))]}
	w.ids++
	c.id, c.came = fmt.Sprintf("q%d", w.ids), w.now
	patience := w.settings.Classes[c.class].Deadline
	n, id := c.node, c.id
	n.on(w.now, func() {
		if c.over {
			return // it went before its line was read
		}
		c.r = n.core.Open(edge.Spec{ID: choice.RequestID(id), Class: c.class, Tenant: -1, Deadline: begin.Add(w.now + patience)}, c)
	})
	w.at(w.now+patience+100*time.Millisecond, func() {
		if !c.over {
			c.answer("none", nil)
			if c.r != nil {
				n.on(w.now, c.r.Gone)
			}
			c.later(0)
		}
	})
}

func (c *client) answer(result string, h *host) {
	if c.over {
		return
	}
	c.over = true
	e := faults.Event{Kind: faults.KindAnswer, ID: c.id, Node: c.node.name, Zone: c.node.zone, Class: faults.Classes[c.class].Name, Result: result,
		Took: (c.w.now - c.came).Seconds()}
	s := c.w.served[e.Class]
	s[1]++
	if h != nil {
		e.To = h.zone
		s[0]++
	}
	c.w.served[e.Class] = s
	c.w.note(e)
}

// later has a client that was turned away come again.
func (c *client) later(after time.Duration) {
	w := c.w
	if c.tries++; c.tries > 3 {
		c.tries = 0
		after = max(after, 4*time.Second)
	}
	w.at(w.now+max(after, 100*time.Millisecond)+time.Duration(w.rng.IntN(300))*time.Millisecond, c.come)
}

// again has a client whose connection broke or was moved come again.
func (c *client) again() {
	c.tries = 0
	c.w.at(c.w.now+time.Duration(60+c.w.rng.IntN(1200))*time.Millisecond, c.come)
}

// LocalReply and the rest make a client the core's.
func (c *client) LocalReply(r edge.LocalReply) {
	if r.Refused {
		c.answer("refused", nil)
	} else {
		c.answer("failed", nil)
	}
	c.later(r.After)
}

func (c *client) Move(time.Time) {
	if c.on != nil {
		delete(c.on.host.held, c.on)
	}
	c.again()
}

func (c *client) Attempt(a *edge.Attempt) edge.UpstreamRequest {
	w, n := c.w, c.node
	h := w.byID[a.Host.ID]
	t := &try{c: c, a: a, host: h}
	w.note(faults.Event{Kind: faults.KindTry, ID: c.id, Node: n.name, Zone: n.zone, To: string(h.id)})
	a.Begin()
	a.Written()
	if h.down == "silent" || n.badLine || w.cutHosts[[2]string{n.zone, h.zone}] {
		n.on(a.ConnectBy().Sub(begin), func() { t.end(choice.ConnectFailed) })
		return t
	}
	n.on(w.now+n.way(h), func() {
		switch {
		case t.off:
		case h.down == "silent", h.down == "mute":
		case h.down == "fails":
			t.end(choice.Failed)
		case h.down != "":
			t.end(choice.ConnectFailed)
		case len(h.held) >= h.bears*6/5:
			t.end(choice.Full)
		default:
			h.held[t] = true
			c.on = t
			a.Established()
			w.note(faults.Event{Kind: faults.KindTried, ID: c.id, To: string(h.id)})
			c.answer("up", h)
			w.at(max(c.until, w.now+100*time.Millisecond), func() {
				if h.held[t] {
					delete(h.held, t)
					n.on(w.now, c.r.Gone)
				}
			})
		}
	})
	return t
}

func (t *try) end(o choice.Outcome) {
	if !t.off {
		t.off = true
		t.c.w.note(faults.Event{Kind: faults.KindTried, ID: t.c.id, To: string(t.host.id)})
		t.a.Ended(o, nil)
	}
}

// GiveUp ends what is left of an attempt.
func (t *try) GiveUp() {
	if !t.off {
		t.off = true
		if !t.host.held[t] {
			t.c.w.note(faults.Event{Kind: faults.KindTried, ID: t.c.id, To: string(t.host.id)})
		}
	}
	delete(t.host.held, t)
}

// inOrder is what a host holds, the same each time: a map's order would draw other chances.
func (h *host) inOrder() (all []*try) {
	for t := range h.held {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.c.id, b.c.id) })
	return all
}

// fail has a host end, or fall silent; its connections break where it ends.
func (h *host) fail(w *World, how string) {
	h.down = how
	if how != "refuses" {
		return
	}
	for _, t := range h.inOrder() {
		delete(h.held, t)
		c := t.c
		c.node.on(w.now+time.Millisecond, func() {
			t.a.Ended(choice.Reset, nil)
		})
		c.again()
	}
}

// sample notes what the zones' hosts hold.
func (w *World) sample() {
	held := map[string]int{}
	for _, h := range w.hosts {
		held[h.zone] += len(h.held)
	}
	for _, z := range w.zones {
		w.note(faults.Event{Kind: faults.KindHeld, Zone: z, Value: float64(held[z])})
	}
}

// JSON is a short form of options, to play a run again.
func (o Options) JSON() string {
	b, err := json.Marshal(o)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(b))
}

// Rate is the bytes that nodes sent one another, a node and second.
func (w *World) Rate() float64 {
	return float64(w.bytes) / float64(len(w.nodes)) / w.o.Length.Seconds()
}
