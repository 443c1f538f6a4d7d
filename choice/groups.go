package choice

import (
	"math"
	"time"
)

// Affinity of groups: connections of one group go to as few servers as bear it, the same from each node.

const (
	groupServerLoad = 0.7  // load that one group may put on a server before it takes a further one
	overflowMargin  = 0.15 // predicted load over the average from which on a group's next server is taken
	returnSpread    = 3    // more servers of its group, for a client that one has sent away
	// groupMemory is about as long as a connection is open: after that its group may be gone from a server.
	groupMemory = 40 * time.Second
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

// groupSpread is on how many servers a request's group goes: as few as bear it, since each pays for the group once; but
// one large group must not fill server after server while others idle.
func (b *Balancer) groupSpread(request *requestEntry) int {
	// What this node holds is a sample of the group: one connection at one of many nodes says little of its size, and
	// nodes that guess differently scatter it.
	cost := max(b.meanCost(), 1e-9) * b.units.mean
	connections := b.groups.load[request.affinity]/b.units.mean + 1
	size := connections / (1/float64(b.settings.Nodes) + cost/b.initialGroupLoad())
	return int(clamp(math.Ceil(size*cost/groupServerLoad), 1, float64(len(b.servers))))
}

// initialGroupLoad is the load that a group is taken for before anything of it is seen: half of what goes on one
// server, or all of it where too few servers would show only once they drop connections.
func (b *Balancer) initialGroupLoad() float64 {
	if b.settings.Reports == NoReports {
		return groupServerLoad
	}
	return groupServerLoad / 2
}

// overflowLoad is the predicted load up to which a group stays on its server.
func (b *Balancer) overflowLoad() float64 { return clamp(b.average.load+overflowMargin, 0.5, crowded) }

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
