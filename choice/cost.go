package choice

// Costs: the load that a unit of connection load puts on a server, learned from reports.

const (
	serverCostMemory   = 0.9  // of a server's own cost at each report
	kindCostMemory     = 0.98 // of a kind's cost at each report: costs are slow, noise is not
	defaultInitialCost = 0.02 // load of a mean connection before anything is learned
	serverCostPrior    = 3.0  // own mean connections from which a server's own cost outweighs its kind's
	fleetCostPrior     = 4.0  // the same on all servers, for the initial cost against what is learned
	fleetLoadPrior     = 0.5  // load of a server by which the initial cost counts in the fleet's from the start
	maxInitialCost     = 0.5  // bounds of the initial cost that is computed from quotas or observed loads
	minInitialCost     = defaultInitialCost / 4

	peerMessageUnit = 256 // bytes that Costs.PeerMessage is for
)

// costStats is the evidence of a cost: reported load over the fleet's connection load, and the number of reports, all
// decayed.
type costStats struct {
	load        float64
	connections float64
	reports     float64
}

func (c *costStats) add(load, connections, memory float64) {
	c.load = c.load*memory + load
	c.connections = c.connections*memory + connections
	c.reports = c.reports*memory + 1
}

// learnCost takes a load, and the fleet's connection load that made it, as evidence of a server's cost and of its
// kind's.
func (b *Balancer) learnCost(server *serverEntry, load, connections float64) {
	server.costs.add(load, connections, serverCostMemory)
	server.kind.costs.add(load, connections, kindCostMemory)
}

// updateCosts sets each server's cost and base weight, and whether servers have owners.
func (b *Balancer) updateCosts() {
	ready := b.countKinds()
	initial := b.initialConnectionCost()
	fleetCost := b.fleetCost(initial, ready)
	b.reservations.enabled = b.reservationsPay(initial)
	b.totalBaseWeight = 0
	b.slowStart.rate = 0
	ownLoads := 0.0
	for _, server := range b.servers {
		b.updateCost(server, fleetCost)
		if server.State == Ready {
			b.totalBaseWeight += server.baseWeight
			if b.capacityFraction(server) < 1 {
				b.slowStart.rate += b.slowStartBudgetOf(server)
			}
		}
		ownLoads += server.cost * server.own.load
	}
	if !b.average.known && len(b.servers) > 0 {
		b.average.load = ownLoads / float64(len(b.servers))
	}
}

// countKinds counts the ready servers, and those of each kind with this node's load on them.
func (b *Balancer) countKinds() (ready float64) {
	for _, kind := range b.kindOrder {
		kind.ownLoad = 0
		kind.ready = 0
	}
	for _, server := range b.servers {
		if server.State == Ready {
			server.kind.ownLoad += server.own.load
			server.kind.ready++
			ready++
		}
	}
	return ready
}

// fleetCost is the cost on the mean server. What this node holds is a sample of the fleet, on a large one of a few
// connections or none: then the initial cost of a connection is taken, not reported load over next to nothing.
func (b *Balancer) fleetCost(initial, ready float64) float64 {
	nodes := float64(b.settings.Nodes)
	load := fleetLoadPrior
	connections := fleetLoadPrior * b.units.mean / initial
	for _, kind := range b.kindOrder {
		prior := 0.0
		if !b.inFlightReported { // one server's own load is noise on a large fleet: take the kind's
			kind.costs.connections = kind.costs.reports * nodes * kind.ownLoad / max(kind.ready, 1)
			prior = kind.costs.reports * nodes * fleetCostPrior * b.units.mean / max(ready, 1)
		}
		load = load + kind.costs.load + prior*initial/b.units.mean
		connections = connections + kind.costs.connections + prior
	}
	return load / connections
}

// updateCost sets a server's cost and base weight. The cost is the ratio of reported load to connection load, shrunk
// towards the one of its kind, and that towards the fleet's, since a ratio of few connections is noise. Before any
// report it is the fleet's cost over the server's size.
func (b *Balancer) updateCost(server *serverEntry, fleetCost float64) {
	if !b.average.known {
		server.baseWeight = server.Size
		server.cost = fleetCost / server.Size
		return
	}
	kind := server.kind
	prior := serverCostPrior * b.units.mean * float64(b.settings.Nodes)
	reports := max(1, kind.costs.reports/max(kind.ready, 1)) // reports of one server that were summed
	kindCost := (kind.costs.load + prior*reports*fleetCost) / (kind.costs.connections + prior*reports)
	if b.reservations.enabled { // all reports show the same few connections of this node: they weigh as one
		prior *= max(1, server.costs.reports)
	}
	server.cost = (server.costs.load + prior*kindCost) / (server.costs.connections + prior)
	server.baseWeight = fleetCost / server.cost
	if b.settings.Sizes == LiveSize {
		server.baseWeight = server.Size
	}
}

// reservationsPay reports whether servers are to have owners (reservation.go): where a node has under one connection of
// a server on average, there is no plan of zones, and a request and its reply cost no more than a health check.
func (b *Balancer) reservationsPay(initial float64) bool {
	limits, costs := b.settings.Limits, b.settings.Costs
	return limits.PeerMessages && limits.HealthChecks && b.settings.Reports != NoReports &&
		initial*float64(b.reservations.nodes()) > 1 && b.zones.plan == nil &&
		costs.PeerMessage*(requestBytes+replyBytes)/peerMessageUnit <= costs.HealthCheck
}

// initialConnectionCost is the load of a mean connection before anything is learned. The tenants' quotas, where they
// are known as connections, together are taken for the capacity of all servers.
func (b *Balancer) initialConnectionCost() float64 {
	quotas := 0.0
	for _, tenant := range b.settings.Tenants {
		quotas += max(0, tenant.Connections)
	}
	servers := float64(len(b.servers))
	if b.settings.InitialCost == 0 && quotas > 0 && finite(quotas) && servers > 0 {
		return clamp(servers/quotas, minInitialCost, maxInitialCost)
	}
	// Loads are in seconds of a core, and sizes about in cores:
	if b.units.observed.samples > 0 && b.settings.Sizes == NominalSize {
		return min(b.units.mean, maxInitialCost)
	}
	return b.initialCost
}

// meanCost is the load that a unit of connection load puts on the mean server.
func (b *Balancer) meanCost() float64 {
	sum, ready := 0.0, 0.0
	for _, server := range b.servers {
		if server.State == Ready {
			sum += server.cost
			ready++
		}
	}
	return sum / max(ready, 1)
}

// resetEstimates forgets all that was learned from reports, after a change of settings that gives reports another
// meaning.
func (b *Balancer) resetEstimates() {
	for _, kind := range b.kinds {
		kind.costs = costStats{}
	}
	for _, server := range b.servers {
		server.costs = costStats{}
		server.report = loadReport{}
		server.pid = pidState{}
		server.reserved.load = 0
		server.deniedUntil = 0
	}
	b.average = fleetAverage{}
	b.inFlightReported = false
	b.admission.passRate = 1
}
