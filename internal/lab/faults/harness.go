package faults

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options say how a scenario is played.
type Options struct {
	Program string // the spurwinch program; spurwinch-voter stands beside it
	// ProgramOf, if set, names the program of the node with an index at each of its starts, in place of Program: for
	// fleets of several versions. Operators' commands stay those beside Program.
	ProgramOf  func(index int) string
	Dir        string // for configurations, files and logs
	Seed       uint64
	Nodes      int  // 0: as the scenario says
	Standalone bool // each node decides for itself, without a fleet
}

const (
	// MaxNodes bounds the processes of one run.
	MaxNodes = 240

	startTimeout      = 30 * time.Second // of one node
	firstPlanTimeout  = 12 * time.Second
	maxEvents         = 4 << 20
	slowFactor        = 3 // of a slow zone's servers
	admissionDelay    = 500 * time.Millisecond
	fleetKey          = "a key of the laboratory, nobody's secret"
	minServerCapacity = 50
	// connectionsPerNode are those that all servers bear for each node, if the scenario doesn't say it; clients ask for
	// some 16 of them. The harness has a part of each connection, and its descriptors are bounded: large fleets get
	// less.
	connectionsPerNode      = 36
	connectionsPerNodeLarge = 18
	largeFleet              = 30 // nodes
)

// Streams of the random generators of one seed.
const (
	clientStream      = 1
	stepStream        = 5
	firstArrivalsOf   = 100 // and one stream for each zone
	nodeSeedsDistance = 977
)

// ErrNodeCount is wrapped by the error of Run for a number of nodes that can't be played.
var ErrNodeCount = errors.New("number of nodes out of range")

// harness is one run. It owns the servers, the nodes and the relay.
type harness struct {
	options        Options
	scenario       *Scenario
	serverCapacity int
	start          time.Time
	relay          *Relay
	zones          []string
	regionOf       map[string]string
	servers        []*server
	serverByID     map[string]*server
	nodes          []*node
	endpoints      *endpointList
	rng            *rand.Rand

	done       chan struct{} // closed at the end
	ended      atomic.Bool
	running    atomic.Bool // the scenario is played: all events are recorded
	background sync.WaitGroup
	clients    atomic.Int64
	commands   atomic.Int64 // of operators so far

	mu         sync.Mutex
	events     []Event
	lostEvents int
}

// Run plays a scenario and returns its history. All that was started has ended when it returns, also when the context
// ends first.
func Run(ctx context.Context, scenario *Scenario, options Options) (events []Event, err error) {
	fleet := scenario.Fleet
	if options.Nodes == 0 {
		options.Nodes = fleet.Nodes
	}
	if options.Nodes < fleet.Voters || options.Nodes < fleet.Zones || options.Nodes > MaxNodes {
		return nil, fmt.Errorf("%w: %d nodes: as many as voters and zones at least, %d at most",
			ErrNodeCount, options.Nodes, MaxNodes)
	}
	h := newHarness(scenario, options)
	defer func() {
		h.close()
		events = h.events
	}()
	if err := h.setUp(ctx); err != nil {
		return nil, err
	}
	return nil, h.play(ctx)
}

func newHarness(scenario *Scenario, options Options) *harness {
	made := &harness{
		options:        options,
		scenario:       scenario,
		serverCapacity: serverCapacityFor(scenario.Fleet, options.Nodes),
		start:          time.Now(),
		relay:          NewRelay(options.Seed),
		regionOf:       map[string]string{},
		serverByID:     map[string]*server{},
		rng:            rand.New(rand.NewPCG(options.Seed, stepStream)),
		done:           make(chan struct{}),
	}
	made.endpoints = &endpointList{harness: made, changed: make(chan struct{})}
	return made
}

// serverCapacityFor is the number of connections that each server bears.
func serverCapacityFor(fleet Fleet, nodes int) int {
	if fleet.ServerCapacity > 0 {
		return fleet.ServerCapacity
	}
	perNode := connectionsPerNode
	if nodes > largeFleet {
		perNode = connectionsPerNodeLarge
	}
	return max(minServerCapacity, perNode*nodes/fleet.Zones/fleet.ServersPerZone)
}

// zoneCapacity is the number of connections that the servers of one zone bear.
func (h *harness) zoneCapacity() int { return h.scenario.Fleet.ServersPerZone * h.serverCapacity }

// isRecordedBeforeRun reports whether events of a kind are recorded also before the scenario is played: those without
// which the checker does not know the fleet.
func isRecordedBeforeRun(kind Kind) bool {
	switch kind {
	case KindZone, KindNode, KindStart, KindPlan, KindMode, KindLeader, KindProposalEnd:
		return true
	default:
		return false
	}
}

// record adds an event to the history, at the current time if it has none.
func (h *harness) record(event Event) {
	if !h.running.Load() && !isRecordedBeforeRun(event.Kind) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.events) >= maxEvents {
		h.lostEvents++
		return
	}
	if event.At == 0 {
		event.At = h.seconds()
	}
	h.events = append(h.events, event)
}

// recordCount records how often something happened.
func (h *harness) recordCount(what string, count int64) {
	h.record(Event{Kind: KindCount, Detail: what, Value: float64(count)})
}

// seconds is the time since the run began.
func (h *harness) seconds() float64 { return time.Since(h.start).Seconds() }

// over reports whether the run has ended.
func (h *harness) over() bool { return h.ended.Load() }

// pause waits for a time, and reports false if the run has ended meanwhile.
func (h *harness) pause(length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-h.done:
		return false
	}
}

// nodeFor returns the node that the front brings a client of a zone to: one of the zone that runs, of any zone where
// none of its own does; nil, where none runs.
func (h *harness) nodeFor(zone string, rng *rand.Rand) *node {
	var sameZone, all []*node
	for _, n := range h.nodes {
		if !n.takesClients() {
			continue
		}
		all = append(all, n)
		if n.zone == zone {
			sameZone = append(sameZone, n)
		}
	}
	if len(sameZone) == 0 {
		sameZone = all
	}
	if len(sameZone) == 0 {
		return nil
	}
	return sameZone[rng.IntN(len(sameZone))]
}

// leader is the node that reported last that it leads; the first one, if none did.
func (h *harness) leader() *node {
	h.mu.Lock()
	defer h.mu.Unlock()
	leader := h.nodes[0]
	term := uint64(0)
	for _, event := range h.events {
		if event.Kind != KindLeader || event.Number < term {
			continue
		}
		for _, n := range h.nodes {
			if n.name == event.Node {
				leader = n
				term = event.Number
			}
		}
	}
	return leader
}

// close ends all that the run has started.
func (h *harness) close() {
	h.ended.Store(true)
	close(h.done)
	for _, n := range h.nodes {
		n.end()
	}
	h.relay.Close()
	for _, s := range h.servers {
		closeQuietly(s.listener)
		s.setFailure(FailureRefuses, 1)
	}
	h.background.Wait()
}

// end ends a node's process, also a paused one, and waits for that.
func (n *node) end() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	gone := n.gone
	n.mu.Unlock()
	if gone != nil {
		<-gone
	}
}
