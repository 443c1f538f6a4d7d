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

// Options are the options of a run.
type Options struct {
	Program string // path of the spurwinch program; spurwinch-voter must be in the same directory
	// ProgramOf, if set, replaces Program, so that a fleet can have nodes of several versions. It is called at each
	// start of a node with the node's index. Operators' commands still use the spurwinchctl in Program's directory.
	ProgramOf  func(index int) string
	Dir        string // directory for configurations, files and logs
	Seed       uint64
	Nodes      int  // 0: the number in the scenario
	Standalone bool // the nodes run without a fleet, and each decides alone
}

const (
	// MaxNodes is the maximum number of nodes in one run. Each node is a process.
	MaxNodes = 240

	startTimeout       = 30 * time.Second // for one node
	firstPlanTimeout   = 12 * time.Second
	maxEvents          = 4 << 20                // in a history; further events are counted as lost
	slowFactor         = 3                      // factor on the load that servers of a slow zone report
	acceptClientsDelay = 500 * time.Millisecond // after a node starts or resumes, before clients reach it
	fleetKey           = "a key of the laboratory, nobody's secret"
	minServerCapacity  = 50 // connections
	// connectionsPerNode is the capacity of all servers, in connections, for each node, unless the scenario sets it.
	// With the default utilization clients use about 16 of them. Large fleets get less, since each connection uses
	// descriptors of the harness and the number of descriptors is limited.
	connectionsPerNode      = 36
	connectionsPerNodeLarge = 18
	largeFleet              = 30 // fleets with more nodes are large
)

// Random streams of one seed, and the distance between the seeds of two nodes.
const (
	clientStream     = 1
	stepStream       = 5
	firstArrivals    = 100 // stream of the first zone's arrivals; the other zones follow
	nodeSeedDistance = 977
)

// ErrNodeCount is wrapped by the error of Run for a number of nodes that the scenario or MaxNodes doesn't allow.
var ErrNodeCount = errors.New("number of nodes out of range")

// harness plays one run. It owns the servers, the nodes and the relay.
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

	done       chan struct{} // closed when the run ends
	ended      atomic.Bool
	running    atomic.Bool // the scenario is being played, so all events are recorded
	background sync.WaitGroup
	clients    atomic.Int64
	commands   atomic.Int64 // number of operators' commands so far

	mu         sync.Mutex
	events     []Event
	lostEvents int
}

// Run plays a scenario and returns its history. Before it returns it stops all processes and goroutines that it has
// started, also if the context ends first.
func Run(ctx context.Context, scenario *Scenario, options Options) (events []Event, err error) {
	fleet := scenario.Fleet
	if options.Nodes == 0 {
		options.Nodes = fleet.Nodes
	}
	if options.Nodes < fleet.Voters || options.Nodes < fleet.Zones || options.Nodes > MaxNodes {
		return nil, fmt.Errorf("%w: got %d nodes; must be at least the number of voters and of zones, and at most %d",
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
	created := &harness{
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
	created.endpoints = &endpointList{harness: created, changed: make(chan struct{})}
	return created
}

// serverCapacityFor returns the capacity of each server in connections.
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

// zoneCapacity returns the capacity of the servers of one zone together, in connections.
func (h *harness) zoneCapacity() int { return h.scenario.Fleet.ServersPerZone * h.serverCapacity }

// isRecordedBeforeRun reports whether events of a kind are recorded even before the scenario is played. The checker
// needs these events to know the fleet.
func isRecordedBeforeRun(kind Kind) bool {
	switch kind {
	case KindZone, KindNode, KindStart, KindPlan, KindMode, KindLeader, KindProposalEnd:
		return true
	default:
		return false
	}
}

// record adds an event to the history. An event without a time gets the current time.
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

// seconds returns the time since the run began, in seconds.
func (h *harness) seconds() float64 { return time.Since(h.start).Seconds() }

// over reports whether the run has ended.
func (h *harness) over() bool { return h.ended.Load() }

// pause waits for a time. It returns false if the run ends meanwhile.
func (h *harness) pause(length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-h.done:
		return false
	}
}

// nodeFor returns the node to which the front end directs a client of a zone: a random node of the zone that accepts
// clients, or of any zone if the zone has none. It returns nil if no node accepts clients.
func (h *harness) nodeFor(zone string, rng *rand.Rand) *node {
	var sameZone, all []*node
	for _, n := range h.nodes {
		if !n.acceptsClients() {
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

// leader returns the node that reported that it leads in the highest term. It returns the first node if none did.
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

// close stops all processes, servers and goroutines of the run.
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

// end kills a node's process, even a paused one, and waits until it has exited.
func (n *node) end() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}
