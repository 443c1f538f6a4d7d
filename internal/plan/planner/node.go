package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/plan/fleet"
)

// reservedDescriptors is the number of a node's descriptors that connections can't use, as in internal/node.
const reservedDescriptors = 48

// epoch is the start of the simulated clock. It is not 0 because the decision module's clock is Unix time, in which 0
// means "long ago".
var epoch = time.Unix(1_800_000_000, 0)

// simulatedClock is the clock of a node's core.
type simulatedClock struct {
	sim  *simulation
	node *node
}

// Now returns the simulated time.
func (c simulatedClock) Now() time.Time { return epoch.Add(c.sim.now) }

// At schedules fn, which is skipped if the node is lost by then. The returned function cancels the call.
func (c simulatedClock) At(at time.Time, fn func()) func() {
	event := c.sim.schedule(at.Sub(epoch), c.node, func() {
		if !c.node.lost {
			fn()
		}
	})
	return func() { event.action = nil }
}

// node is a node of the fleet. It runs the real core and counts descriptors as the front end would.
type node struct {
	sim            *simulation
	core           *edge.Core
	zone           int
	maxConnections int // connections to clients and servers together
	connections    int // open connections to clients and servers together
	lost           bool
	clients        map[*client]struct{}
}

// addNode adds a node of a pool. total is the number of nodes in the fleet.
func (s *simulation) addNode(pool fleet.NodePool, total int) error {
	added := &node{
		sim:            s,
		zone:           s.fleet.ZoneIndex(pool.Zone),
		maxConnections: pool.Descriptors - reservedDescriptors,
		clients:        map[*client]struct{}{},
	}
	settings, err := s.fleet.Settings(len(s.nodes), total, pool.Zone)
	if err != nil {
		return fmt.Errorf("planner: node settings: %w", err)
	}
	added.core, err = edge.New(edge.Options{
		Clock:         simulatedClock{s, added},
		Settings:      settings.Settings,
		Seed:          s.options.Seed*1000 + uint64(len(s.nodes)),
		HealthChecker: added,
	})
	if err != nil {
		return fmt.Errorf("planner: %w", err)
	}
	s.nodes = append(s.nodes, added)
	return nil
}

// endpointList returns the endpoint list that discovery would send.
func (s *simulation) endpointList() []edge.ServerEntry {
	var entries []edge.ServerEntry
	for _, server := range s.servers {
		entry := choice.Server{ID: server.id, Zone: s.fleet.Zones[server.zone].Name, Kind: server.kind.Name, Size: 1}
		if server.slowStart {
			entry.Started = time.Duration(epoch.UnixNano())
		}
		if server.failed {
			entry.State = choice.Gone
		}
		entries = append(entries, edge.ServerEntry{Server: entry})
	}
	return entries
}

// updateEndpointLists sends the current endpoint list to all nodes that are not lost.
func (s *simulation) updateEndpointLists() {
	for _, node := range s.nodes {
		if !node.lost {
			node.core.UpdateServers(choice.ListFull, s.endpointList())
			node.core.Flush()
		}
	}
}

// CheckHealth requests a server's load report. The request costs the server some work, and each direction takes the
// latency between the zones.
func (n *node) CheckHealth(entry edge.ServerEntry, _ time.Time, done func(choice.Outcome, []float64)) {
	sim := n.sim
	server := sim.serverByID[entry.ID]
	if n.lost {
		return
	}
	latency := sim.latencies[n.zone][server.zone]
	sim.schedule(sim.now+latency, nil, func() {
		if server.failed {
			sim.schedule(sim.now+latency, n, func() { done(choice.ConnectFailed, nil) })
			return
		}
		server.work += sim.fleet.LoadReports.HealthCheckWork.Seconds()
		report := server.loadReport()
		sim.schedule(sim.now+latency, n, func() { done(choice.Served, report) })
	})
}

// sortedClients returns the node's clients in the order of their keys, because map order must not affect a run.
func (n *node) sortedClients() []*client {
	var clients []*client
	for client := range n.clients {
		clients = append(clients, client)
	}
	slices.SortFunc(clients, func(a, b *client) int { return cmp.Compare(a.session.Client, b.session.Client) })
	return clients
}
