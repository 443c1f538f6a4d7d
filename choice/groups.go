package choice

import (
	"math"
	"time"
)

// Group affinity. Connections of one group share work on a server. All nodes therefore place a group on the same
// servers, and on as few servers as have the capacity for the group.

const (
	groupServerLoad = 0.7  // load that one group may add to a server before the group uses another server
	overflowMargin  = 0.15 // excess of predicted load over the average at which a group uses its next server
	returnSpread    = 3    // additional servers of the group for a client that returns after a break or a migration
	// groupMemory is approximately how long a connection is open. A group that was not seen on a server for this long
	// may have no connection there.
	groupMemory = 40 * time.Second

	// minOverflowLoad is the load up to which a group stays on its server even if the average is low.
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

// groupSpread returns the number of servers over which a request's group is spread: as few as have the capacity for the
// group, at groupServerLoad each, since each server has to do the group's shared work once.
func (b *Balancer) groupSpread(request *requestEntry) int {
	// This node's connections are a sample of the group. One connection on one of many nodes is weak evidence of the
	// group's size, and nodes with different estimates would scatter the group. Therefore the estimate has a prior,
	// initialGroupLoad.
	cost := max(b.meanCost(), 1e-9) * b.units.mean
	connections := b.groups.load[request.affinity]/b.units.mean + 1
	size := connections / (1/float64(b.settings.Nodes) + cost/b.initialGroupLoad())
	return int(clamp(math.Ceil(size*cost/groupServerLoad), 1, float64(len(b.servers))))
}

// initialGroupLoad returns the load assumed for a group before any of its connections are seen: half of
// groupServerLoad, or all of it if servers send no reports, because then only dropped connections would show that the
// group has too few servers.
func (b *Balancer) initialGroupLoad() float64 {
	if b.settings.Reports == NoReports {
		return groupServerLoad
	}
	return groupServerLoad / 2
}

// overflowLoad returns the predicted load up to which a group stays on its server: the fleet's average plus
// overflowMargin, between minOverflowLoad and crowdedLoad.
func (b *Balancer) overflowLoad() float64 {
	return clamp(b.average.load+overflowMargin, minOverflowLoad, crowdedLoad)
}

// countUnreported counts, among the first count servers in the order of a request's group, those without a report
// within the last two ticks.
func (b *Balancer) countUnreported(request *requestEntry, count int) (unreported int) {
	first := selectLowest(b.servers, count, func(server *serverEntry) float64 {
		if !b.eligible(request, server) {
			return excludedKey
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
