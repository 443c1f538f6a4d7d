// Package explore plays a fleet in simulated time: hundreds of nodes, each with its own module (choice), core (edge) and part in the fleet
// (failover/agent), as they are in service; the network, clocks, disks, hosts and clients are drawn by seed. What happens is a history as
// the processes' laboratory writes it, and the same checker reads it.
package explore

import (
	"container/heap"
	crypto "crypto/rand"
	"fmt"
	"math/rand/v2"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/lab/faults"
	"spurwinch/internal/membership"
	"spurwinch/internal/wire"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

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

func (w *World) note(e faults.Event) {
	e.At = w.now.Seconds()
	w.events = append(w.events, e)
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

// Rate is the bytes that nodes sent one another, a node and second.
func (w *World) Rate() float64 {
	return float64(w.bytes) / float64(len(w.nodes)) / w.o.Length.Seconds()
}
