// Package simulation runs a fleet in simulated time. The fleet has hundreds of nodes, each with its own decision module
// (choice), core (edge) and fleet agent (failover/agent), which are the same code as in production. The network,
// clocks, disks, servers and clients are simulated. All random numbers are drawn from one seed, so that runs with the
// same seed are identical. Each run is recorded as a history in the format of internal/lab/faults and is checked by the
// checker of that package.
package simulation

import (
	crypto "crypto/rand"
	"fmt"
	"math/rand/v2"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/lab/faults"
	"spurwinch/internal/membership"
	"spurwinch/internal/simwire"
)

const (
	firstClientTime      = 3 * time.Second // when the first clients connect; the first plans exist by then
	initialClientsSpread = 4 * time.Second // time over which the initial clients connect
	samplingInterval     = 500 * time.Millisecond
	defaultOperators     = 3
	operatorPause        = 700 * time.Millisecond // mean time between two commands of an operator
)

// Streams of the random generators, which share one seed.
const (
	worldStream  = 77
	cryptoStream = 78
)

// epoch is the start of simulated time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// zonePair is one direction of the messages between two zones.
type zonePair struct{ from, to string }

// World holds the whole state of one simulation run. It is not safe for concurrent use.
type World struct {
	options      Options
	rng          *rand.Rand
	now          time.Duration
	queue        eventQueue
	lastSequence uint64
	history      []faults.Event

	zones      []string
	list       *membership.List
	nodes      []*node
	servers    []*server
	serverByID map[choice.ServerID]*server
	settings   choice.Settings
	classes    []string
	requests   int // number of requests of clients so far
	operators  []*operator

	network        network
	minCallTimeout time.Duration // minimum timeout of operators' calls, which applies if it is longer than callTimeout
	hasOlderNodes  bool
	stepCrashRate  float64 // probability that a node crashes at a step of a policy change
}

// network is the state of the links between nodes. Its loss rate applies to operators' calls, too.
type network struct {
	partitions    map[zonePair]bool // messages from nodes of the first zone to nodes of the second are lost
	lossRate      float64
	extraDelay    time.Duration // mean extra delay of all messages but consensus messages
	duplicateRate float64
	bytesSent     uint64
}

// seededReader reads random bytes from a seeded random generator.
type seededReader struct{ *rand.Rand }

func (r seededReader) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = byte(r.Uint64())
	}
	return len(buffer), nil
}

// New creates a world and starts its nodes. A process must create and run its worlds one after another, because New
// replaces the reader of crypto/rand, from which the Raft library draws its election timeouts, with a seeded reader.
func New(options Options) (*World, error) {
	options = options.withDefaults()
	world := &World{
		options:    options,
		rng:        rand.New(rand.NewPCG(options.Seed, worldStream)),
		serverByID: map[choice.ServerID]*server{},
		network:    network{partitions: map[zonePair]bool{}, lossRate: options.Loss},
	}
	crypto.Reader = seededReader{rand.New(rand.NewPCG(options.Seed, cryptoStream))}
	regions := world.makeZones()
	if err := world.readSettings(); err != nil {
		return nil, err
	}
	if err := world.makeNodes(regions); err != nil {
		return nil, err
	}
	for _, n := range world.nodes {
		if err := n.start(faults.FilesNew); err != nil {
			return nil, fmt.Errorf("start %s: %w", n.name, err)
		}
	}
	if options.FleetOnly {
		world.addOperators(defaultOperators)
		return world, nil
	}
	world.startClients()
	world.scheduleEvery(samplingInterval, world.recordConnections)
	return world, nil
}

// makeZones creates the zones with their servers and returns the region of each zone.
func (w *World) makeZones() map[string]string {
	regions := map[string]string{}
	for i := range w.options.Zones {
		zone := fmt.Sprintf("z%d", i)
		region := fmt.Sprintf("r%d", i*w.options.Regions/w.options.Zones)
		w.zones = append(w.zones, zone)
		regions[zone] = region
		w.record(faults.Event{
			Kind: faults.KindZone, Zone: zone, Detail: region, Value: float64(w.options.zoneCapacity()),
		})
		for range w.options.ServersPerZone {
			added := &server{
				id:                 choice.ServerID(fmt.Sprintf("h%03d", len(w.servers))),
				zone:               zone,
				capacity:           w.options.ConnectionsPerServer,
				connections:        map[*attempt]bool{},
				reportedLoadFactor: 1,
			}
			w.servers = append(w.servers, added)
			w.serverByID[added.id] = added
		}
	}
	return regions
}

// readSettings reads the settings that all nodes share.
func (w *World) readSettings() error {
	decoded, err := nodeSettings(w.options.Nodes, 0, w.zones[0])
	if err != nil {
		return err
	}
	w.settings = decoded.Settings
	for _, class := range decoded.Classes {
		w.classes = append(w.classes, class.Name)
	}
	return nil
}

// makeNodes creates the membership list and the nodes. Consecutive nodes are in different zones, so that the voters,
// which are the first nodes, are spread over the zones.
func (w *World) makeNodes(regions map[string]string) error {
	var members []membership.Node
	for i := range w.options.Nodes {
		zone := w.zones[i%w.options.Zones]
		members = append(members, membership.Node{
			Name: fmt.Sprintf("n%04d", i), Zone: zone, Region: regions[zone], Voter: i < w.options.Voters,
		})
	}
	list, err := membership.NewList(members)
	if err != nil {
		return err
	}
	w.list = list
	for i := range list.Len() {
		member := list.Node(i)
		votes := 0.0
		if member.Voter {
			votes = 1
		}
		w.record(faults.Event{Kind: faults.KindNode, Node: member.Name, Zone: member.Zone, Value: votes})
		w.nodes = append(w.nodes, &node{world: w, index: i, name: member.Name, zone: member.Zone})
	}
	return nil
}

// startClients makes clients connect in each zone. The initial clients connect during a few seconds after the first
// plans. Other clients arrive throughout the run.
func (w *World) startClients() {
	for _, zone := range w.zones {
		w.scheduleArrival(zone)
		for range int(w.options.Utilization * float64(w.options.zoneCapacity())) {
			at := firstClientTime + time.Duration(w.rng.Float64()*float64(initialClientsSpread))
			w.schedule(at, func() { w.newClient(zone).connect() })
		}
	}
}

// nodeSettings returns the settings that the platform gives a node.
func nodeSettings(nodes, index int, zone string) (simwire.Settings, error) {
	return simwire.DecodeSettings(faults.NodeSettings(nodes, index, zone))
}

// record adds an event to the history.
func (w *World) record(event faults.Event) {
	event.At = w.now.Seconds()
	w.history = append(w.history, event)
}

// recordStartFailure records that a node could not be started, and the error.
func (w *World) recordStartFailure(n *node, err error) {
	w.record(faults.Event{Kind: faults.KindLog, Node: n.name, Detail: "start: " + err.Error()})
}

// Run runs the simulation to its end and returns its history.
func (w *World) Run() []faults.Event {
	for {
		next := w.queue.next(w.options.Length)
		if next == nil {
			return w.history
		}
		w.now = next.at
		next.run()
	}
}

// BytesSent returns the total number of bytes that nodes have sent to other nodes.
func (w *World) BytesSent() uint64 { return w.network.bytesSent }

// Rate returns the mean number of bytes per second that a node sent to other nodes.
func (w *World) Rate() float64 {
	return float64(w.network.bytesSent) / float64(len(w.nodes)) / w.options.Length.Seconds()
}
