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
	refusing                 // it refuses connections, and those that it had break
	silent                   // nothing comes back from it
	failing                  // it answers health checks, and each request with a failure
	unresponsive             // it answers health checks, and no request
)

const (
	minNetworkDelay    = time.Millisecond
	networkDelaySpread = 1000 // µs
	crossZoneDelay     = 8 * time.Millisecond
	breakDelay         = time.Millisecond // until a node sees that a connection has broken
)

// server is a server of the platform: it bears a number of connections, and may fail.
type server struct {
	id                 choice.ServerID
	zone               string
	capacity           int // connections at a reported load of 1
	connections        map[*attempt]bool
	failure            failureMode
	reportedLoadFactor float64 // factor on its reported load
}

// load is the part of its capacity that the server reports as used.
func (s *server) load() float64 {
	return float64(len(s.connections)) / float64(s.capacity) * s.reportedLoadFactor
}

// isFull reports whether the server takes no more connections. The limit is that of the servers of lab faults, whose
// histories are checked by the same rules.
func (s *server) isFull() bool { return len(s.connections) >= faults.MaxConnections(s.capacity) }

// sortedConnections returns the server's connections in an order that is the same each time: that of the map would make
// runs of one seed differ.
func (s *server) sortedConnections() []*attempt {
	var sorted []*attempt
	for connection := range s.connections {
		sorted = append(sorted, connection)
	}
	slices.SortFunc(sorted, func(a, b *attempt) int { return cmp.Compare(a.client.id, b.client.id) })
	return sorted
}

// fail has a server fail; if it refuses connections, those that it has break.
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

// recover ends a server's failure.
func (s *server) recover() {
	s.failure = healthy
	s.reportedLoadFactor = 1
}

// networkDelay draws the time that a message from a node to a server takes.
func (n *node) networkDelay(target *server) time.Duration {
	delay := minNetworkDelay + time.Duration(n.world.rng.IntN(networkDelaySpread))*time.Microsecond
	if target.zone != n.zone {
		delay += crossZoneDelay
	}
	return delay
}

// isCutOffFrom reports whether nothing comes back from a server to the node.
func (n *node) isCutOffFrom(target *server) bool {
	return target.failure == silent || n.serversUnreachable
}

// CheckHealth implements edge.HealthChecker: it calls done once, with the server's load report, or at the deadline.
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

// recordConnections records how many connections the servers of each zone have.
func (w *World) recordConnections() {
	byZone := map[string]int{}
	for _, s := range w.servers {
		byZone[s.zone] += len(s.connections)
	}
	for _, zone := range w.zones {
		w.record(faults.Event{Kind: faults.KindConnections, Zone: zone, Value: float64(byZone[zone])})
	}
}
