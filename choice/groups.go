package choice

import (
	"math"
	"time"
)

// Affinity of groups: connections of one group share work on a server, so they go to as few servers as have the
// capacity for the group, and to the same ones from each node.

const (
	groupServerLoad = 0.7  // load that one group may put on a server before it takes a further one
	overflowMargin  = 0.15 // predicted load over the average from which on a group's next server is taken
	returnSpread    = 3    // further servers of its group for a client that returns after a break or a migration
	// groupMemory is about how long a connection is open: a group that was not seen on a server for so long may have
	// none there.
	groupMemory = 40 * time.Second

	// minOverflowLoad is the least load up to which a group stays on its server, however low the average is.
	minOverflowLoad = 0.5
)

// groupTable is the load of this node's own connections by group.
type groupTable struct {
	load map[uint64]float64
}

func (g *groupTable) add(group uint64, load float64) {
	g.load[group] += load
	if g.load[group] < negligibleLoad {
		delete(g.load, group)
	}
}

func (g *groupTable) rescale(factor float64) {
	for group := range g.load {
		g.load[group] *= factor
	}
}

// groupSpread is how many servers a request's group is spread over: as few as have the capacity for it, by
// groupServerLoad each, since each server pays once for a group's shared work.
func (b *Balancer) groupSpread(request *requestEntry) int {
	// This node's connections are a sample of the group: one connection at one of many nodes says little of its size,
	// and nodes that estimate it differently would scatter the group. So the estimate has a prior, initialGroupLoad.
	cost := max(b.meanCost(), 1e-9) * b.units.mean
	connections := b.groups.load[request.affinity]/b.units.mean + 1
	size := connections / (1/float64(b.settings.Nodes) + cost/b.initialGroupLoad())
	return int(clamp(math.Ceil(size*cost/groupServerLoad), 1, float64(len(b.servers))))
}

// initialGroupLoad is the load that a group is taken to have before connections of it are seen: half of
// groupServerLoad, or all of it where nothing is reported and too few servers would show only by dropped connections.
func (b *Balancer) initialGroupLoad() float64 {
	if b.settings.Reports == NoReports {
		return groupServerLoad
	}
	return groupServerLoad / 2
}

// overflowLoad is the predicted load up to which a group stays on its server: overflowMargin over the fleet's average.
func (b *Balancer) overflowLoad() float64 {
	return clamp(b.average.load+overflowMargin, minOverflowLoad, crowded)
}

// countUnreported counts the first servers in the order of a request's group of which nothing was seen lately.
func (b *Balancer) countUnreported(request *requestEntry, count int) (unreported int) {
	first := lowest(b.servers, count, func(server *serverEntry) float64 {
		if !b.eligible(request, server) {
			return never
		}
		return -math.Log(b.draw(request, server))
	})
	for _, server := range first {
		if !server.report.known || b.now-server.report.at > 2*tick {
			unreported++
		}
	}
	return unreported
}
