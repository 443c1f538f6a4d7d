package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options are a run's surroundings.
type Options struct {
	Program string // the spurwinch program; spurwinch-voter stands beside it
	// ProgramOf, if set, names the program of the node with an index at each of its starts, in place of Program: for
	// fleets of several versions. Operators' commands stay those beside Program.
	ProgramOf func(index int) string
	Dir       string // for configurations, files and logs
	Seed      uint64
	Nodes     int  // 0: as the scenario says
	Alone     bool // each node for itself: the program before
	Hosts     int
	Bears     int
	Use       float64
	Life      time.Duration
}

const (
	// MostNodes bounds the processes of one run.
	MostNodes   = 240
	startTime   = 30 * time.Second
	readyWait   = 12 * time.Second // for a first plan
	labTick     = 50 * time.Millisecond
	mostEvent   = 4 << 20
	longestLine = 4 << 20 // of a process's log
	slowFactor  = 3       // of a slow zone's hosts
)

// Lab is one run.
type Lab struct {
	o        Options
	s        *Scenario
	begin    time.Time
	relay    *Relay
	hosts    []*host
	byID     map[string]*host
	zones    []string
	region   map[string]string
	nodes    []*proc
	list     *list
	done     chan struct{}
	ended    atomic.Bool
	wait     sync.WaitGroup
	clients  atomic.Int64
	mu       sync.Mutex
	events   []Event
	rng      *rand.Rand
	running  atomic.Bool
	key      []byte
	overflow int
	ops      atomic.Int64 // operators' commands so far
}

func (lab *Lab) note(e Event) {
	if !lab.running.Load() && e.Kind != KindZone && e.Kind != KindNode && e.Kind != KindStart && e.Kind != KindPlan && e.Kind != KindMode && e.Kind != KindLeads && e.Kind != KindProposalEnd {
		return
	}
	lab.mu.Lock()
	defer lab.mu.Unlock()
	if len(lab.events) >= mostEvent {
		lab.overflow++
		return
	}
	if e.At == 0 { // else it is told with its time
		e.At = time.Since(lab.begin).Seconds()
	}
	lab.events = append(lab.events, e)
}

func (lab *Lab) over() bool { return lab.ended.Load() }

func (lab *Lab) host(id string) *host { return lab.byID[id] }

// alive says whether a node's process has run since then.
func (lab *Lab) alive(n *proc, since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && n.died.Before(since) && !n.still && n.since.Before(since)
}

// pick is what the front does: a node of the zone that runs, or of any zone where none does.
func (lab *Lab) pick(zone string, rng *rand.Rand) *proc {
	var near, any []*proc
	for _, n := range lab.nodes {
		n.mu.Lock()
		up := n.cmd != nil && !n.still && time.Since(n.since) > 500*time.Millisecond
		n.mu.Unlock()
		if up {
			any = append(any, n)
			if n.zone == zone {
				near = append(near, n)
			}
		}
	}
	if len(near) == 0 {
		near = any
	}
	if len(near) == 0 {
		return nil
	}
	return near[rng.IntN(len(near))]
}

// Run plays a scenario and gives its history. All that was started has ended when it returns, also when the context ends first.
func Run(ctx context.Context, s *Scenario, o Options) (events []Event, err error) {
	if o.Nodes == 0 {
		o.Nodes = s.Fleet.Nodes
	}
	if o.Nodes < s.Fleet.Voters || o.Nodes < s.Fleet.Zones || o.Nodes > MostNodes {
		return nil, fmt.Errorf("%d nodes: as many as voters and zones at least, %d at most", o.Nodes, MostNodes)
	}
	o.Hosts, o.Bears, o.Use, o.Life = s.Fleet.Hosts, s.Fleet.Bears, s.Fleet.Use, time.Duration(s.Fleet.Life)
	if o.Bears == 0 { // some 16 connections a node
		each := 36
		if o.Nodes > 30 { // the laboratory has a part of each connection, and its descriptors are bounded
			each = 18
		}
		o.Bears = max(50, each*o.Nodes/s.Fleet.Zones/o.Hosts)
	}
	lab := &Lab{o: o, s: s, begin: time.Now(), relay: NewRelay(o.Seed), byID: map[string]*host{}, region: map[string]string{}, done: make(chan struct{}),
		rng: rand.New(rand.NewPCG(o.Seed, 5)), key: []byte("a key of the laboratory, nobody's secret")}
	lab.list = &list{lab: lab, version: 1, news: make(chan struct{})}
	defer func() {
		lab.ended.Store(true)
		close(lab.done)
		lab.stop()
		lab.relay.Close()
		for _, h := range lab.hosts {
			h.listen.Close()
			h.set("refuses", 1)
		}
		lab.wait.Wait()
		events = lab.events
	}()
	if err := lab.build(ctx); err != nil {
		return nil, err
	}
	return nil, lab.play(ctx)
}

func (lab *Lab) stop() {
	for _, n := range lab.nodes {
		n.mu.Lock()
		if n.cmd != nil {
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.cmd.Process.Kill()
		}
		gone := n.gone
		n.mu.Unlock()
		if gone != nil {
			<-gone
		}
	}
}
