package simulation

import (
	"cmp"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/faults"
)

// failureMode is the way in which a server fails.
type failureMode int

const (
	healthy      failureMode = iota
	refusing                 // the server refuses connections, and its open connections break
	silent                   // the server answers neither requests nor health checks
	failing                  // the server answers health checks, but each request fails
	unresponsive             // the server answers health checks, but no requests
)

const (
	minNetworkDelay    = time.Millisecond
	networkDelaySpread = 1000 // µs
	crossZoneDelay     = 8 * time.Millisecond
	breakDelay         = time.Millisecond // until a node notices that a connection has broken
)

// server is a simulated server with a limited number of connections. It may fail.
type server struct {
	id                 choice.ServerID
	zone               string
	capacity           int // connections at a reported load of 1
	connections        map[*attempt]bool
	failure            failureMode
	reportedLoadFactor float64 // ratio of the reported load to the real load
}

// load returns the fraction of its capacity that the server reports as used.
func (s *server) load() float64 {
	return float64(len(s.connections)) / float64(s.capacity) * s.reportedLoadFactor
}

// isFull reports whether the server accepts no more connections. The limit is the same as for the servers of
// spurwinchctl lab faults, because the histories of both are checked by the same rules.
func (s *server) isFull() bool { return len(s.connections) >= faults.MaxConnections(s.capacity) }

// sortedConnections returns the server's connections in a fixed order. With the order of the map, runs with the same
// seed would differ.
func (s *server) sortedConnections() []*attempt {
	var sorted []*attempt
	for connection := range s.connections {
		sorted = append(sorted, connection)
	}
	slices.SortFunc(sorted, func(a, b *attempt) int { return cmp.Compare(a.client.id, b.client.id) })
	return sorted
}

// fail makes the server fail in the given mode. If the mode is refusing, its open connections break.
func (s *server) fail(w *World, mode failureMode) {
	s.failure = mode
	if mode != refusing {
		return
	}
	for _, connection := range s.sortedConnections() {
		delete(s.connections, connection)
		connection.client.node.schedule(w.now+breakDelay, func() {
			connection.upstream.Ended(choice.Reset, nil)
		})
		connection.client.reconnect()
	}
}

// recover makes the server healthy again and its load reports accurate.
func (s *server) recover() {
	s.failure = healthy
	s.reportedLoadFactor = 1
}

// networkDelay draws the transmission time of a message from the node to a server.
func (n *node) networkDelay(target *server) time.Duration {
	delay := minNetworkDelay + time.Duration(n.world.rng.IntN(networkDelaySpread))*time.Microsecond
	if target.zone != n.zone {
		delay += crossZoneDelay
	}
	return delay
}

// isCutOffFrom reports whether the node gets no answers from a server.
func (n *node) isCutOffFrom(target *server) bool {
	return target.failure == silent || n.serversUnreachable
}

// CheckHealth implements edge.HealthChecker. It calls done once, when the server reports its load or refuses the
// connection, or at the deadline if neither happens in time.
func (n *node) CheckHealth(entry edge.ServerEntry, deadline time.Time, done func(choice.Outcome, []float64)) {
	target := n.world.serverByID[entry.ID]
	answered := false
	finish := func(outcome choice.Outcome, report []float64) {
		if !answered {
			answered = true
			done(outcome, report)
		}
	}
	n.schedule(deadline.Sub(epoch), func() { finish(choice.TimedOut, nil) })
	if n.isCutOffFrom(target) {
		return
	}
	n.schedule(n.world.now+n.networkDelay(target), func() {
		if target.failure == refusing {
			finish(choice.ConnectFailed, nil)
			return
		}
		load := target.load()
		finish(choice.Served, []float64{1, min(1, load), load})
	})
}

// recordConnections records the number of connections of each zone's servers.
func (w *World) recordConnections() {
	byZone := map[string]int{}
	for _, s := range w.servers {
		byZone[s.zone] += len(s.connections)
	}
	for _, zone := range w.zones {
		w.record(faults.Event{Kind: faults.KindConnections, Zone: zone, Value: float64(byZone[zone])})
	}
}
