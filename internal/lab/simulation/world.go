// Package simulation plays a fleet in simulated time: hundreds of nodes, each with its own decision module (choice),
// core (edge) and fleet agent (failover/agent), as they are in service. The network, clocks, disks, servers and clients
// are simulated, and all chance is drawn from one seed: a run of one seed is the same each time. What happens is
// recorded as a history in the format of internal/lab/faults, and its checker judges it.
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
	firstClientTime      = 3 * time.Second // when the first clients connect: there are plans by then
	initialClientsSpread = 4 * time.Second // over which the clients that stand there at the start connect
	samplingInterval     = 500 * time.Millisecond
	defaultOperators     = 3
	operatorPause        = 700 * time.Millisecond // mean, between two commands of an operator
)

// Streams of the random generators of one seed.
const (
	worldStream  = 77
	cryptoStream = 78
)

// epoch is the start of simulated time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// zonePair names two zones, from the first to the second.
type zonePair struct{ from, to string }

// World is one run. It owns all state of the simulation; nothing in it is safe for concurrent use.
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
	requests   int // of clients so far
	operators  []*operator

	network        network
	minCallTimeout time.Duration // of operators' calls, if longer than usual
	hasOlderNodes  bool
	stepCrashRate  float64 // part of the steps of policy changes at which the node crashes
}

// network is the state of the links between nodes, and from nodes to servers.
type network struct {
	partitions    map[zonePair]bool // messages between nodes of these zones are lost
	lossRate      float64
	extraDelay    time.Duration // mean, of messages that are not of the consensus
	duplicateRate float64
	bytesSent     uint64
}

// seededReader makes a seeded random source a reader of random bytes.
type seededReader struct{ *rand.Rand }

func (r seededReader) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = byte(r.Uint64())
	}
	return len(buffer), nil
}

// New makes a world and starts its nodes. Worlds of one process are made and played one after another: the Raft library
// draws its election timeouts from crypto/rand, whose reader is replaced by a seeded one.
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

// makeZones makes the zones with their servers and returns the region of each zone.
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

// makeNodes makes the list of nodes and the nodes. Zones take turns, so voters, the first ones, are in different zones.
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

// startClients has clients connect in each zone. Those that stand there at the start connect over some seconds after
// the first plans.
func (w *World) startClients() {
	for _, zone := range w.zones {
		w.scheduleArrival(zone)
		for range int(w.options.Utilization * float64(w.options.zoneCapacity())) {
			at := firstClientTime + time.Duration(w.rng.Float64()*float64(initialClientsSpread))
			w.schedule(at, func() { w.newClient(zone).connect() })
		}
	}
}

// nodeSettings are the settings that the platform gives a node.
func nodeSettings(nodes, index int, zone string) (simwire.Settings, error) {
	return simwire.DecodeSettings(faults.NodeSettings(nodes, index, zone))
}

// record adds an event to the history.
func (w *World) record(e faults.Event) {
	e.At = w.now.Seconds()
	w.history = append(w.history, e)
}

// recordStartFailure adds to the history what the simulation could not do.
func (w *World) recordStartFailure(n *node, err error) {
	w.record(faults.Event{Kind: faults.KindLog, Node: n.name, Detail: "start: " + err.Error()})
}

// Run plays the world to its end and returns its history.
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

// BytesSent returns the number of bytes that nodes have sent one another.
func (w *World) BytesSent() uint64 { return w.network.bytesSent }

// Rate returns the bytes that a node sent to others in a second, in the mean.
func (w *World) Rate() float64 {
	return float64(w.network.bytesSent) / float64(len(w.nodes)) / w.options.Length.Seconds()
}
