// Package simulation plays a fleet in simulated time: hundreds of nodes, each with its own module (choice), core (edge) and part in the fleet
// (failover/agent), as they are in service; the network, clocks, disks, hosts and clients are drawn by seed. What happens is a history as
// the processes' laboratory writes it, and the same checker reads it.
package simulation

import (
	"container/heap"
	crypto "crypto/rand"
	"fmt"
	"math/rand/v2"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/lab/faults"
	"spurwinch/internal/membership"
	"spurwinch/internal/simwire"
)

// firstClients is when the first clients come: there are plans by then.
const firstClients = 3 * time.Second

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

// seededReader makes a source drawn by seed a reader of random bytes.
type seededReader struct{ *rand.Rand }

func (d seededReader) Read(p []byte) (int, error) {
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
	crypto.Reader = seededReader{rand.New(rand.NewPCG(o.Seed, 78))}
	region := w.makeZones()
	if err := w.readSettings(); err != nil {
		return nil, err
	}
	if err := w.makeNodes(region); err != nil {
		return nil, err
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
	w.startClients()
	w.every(500*time.Millisecond, w.sample)
	return w, nil
}

// makeZones makes the zones with their hosts, and gives the zones' regions.
func (w *World) makeZones() map[string]string {
	o, region := w.o, map[string]string{}
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
	return region
}

// readSettings reads the settings that all nodes are told alike.
func (w *World) readSettings() error {
	s, err := Settings(w.o.Nodes, 0, w.zones[0])
	if err != nil {
		return err
	}
	w.settings = s.Settings
	for _, class := range s.Classes {
		w.classes = append(w.classes, class.Name)
	}
	return nil
}

// makeNodes makes the list of nodes and the nodes. Zones take turns, so voters, the first ones, stand in different zones.
func (w *World) makeNodes(region map[string]string) (err error) {
	var members []membership.Node
	for i := range w.o.Nodes {
		zone := w.zones[i%w.o.Zones]
		members = append(members, membership.Node{Name: fmt.Sprintf("n%04d", i), Zone: zone, Region: region[zone], Voter: i < w.o.Voters})
	}
	if w.list, err = membership.NewList(members); err != nil {
		return err
	}
	for i := range w.list.Len() {
		member := w.list.Node(i)
		votes := 0.0
		if member.Voter {
			votes = 1
		}
		w.note(faults.Event{Kind: faults.KindNode, Node: member.Name, Zone: member.Zone, Value: votes})
		w.nodes = append(w.nodes, &node{w: w, i: i, name: member.Name, zone: member.Zone})
	}
	return nil
}

// startClients has clients come to each zone. Who would stand there already comes over some seconds after the first plans.
func (w *World) startClients() {
	for _, zone := range w.zones {
		w.arrivals(zone)
		for range int(w.o.Use * float64(w.o.Hosts*w.o.Bears)) {
			w.at(firstClients+time.Duration(w.rng.Float64()*float64(4*time.Second)), func() { w.newClient(zone).come() })
		}
	}
}

// Settings are what a node of the laboratory is told.
func Settings(nodes, index int, zone string) (simwire.Settings, error) {
	return simwire.DecodeSettings(faults.SettingsJSON(nodes, index, zone))
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
