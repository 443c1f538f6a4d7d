package choice

// Costs. The cost of a server is the load that a unit of connection load adds to the server. It is learned from
// reports.

const (
	serverCostMemory   = 0.9  // decay factor of a server's cost evidence, per report
	kindCostMemory     = 0.98 // the same for a kind; higher, since costs change slowly and noise quickly
	defaultInitialCost = 0.02 // load of a mean connection before anything is learned
	serverCostPrior    = 3.0  // own mean connections above which a server's own cost outweighs its kind's cost
	fleetCostPrior     = 4.0  // own mean connections on all servers above which the learned cost outweighs the initial
	fleetLoadPrior     = 0.5  // the initial cost counts in the fleet's cost like an observed load of this size
	maxInitialCost     = 0.5  // bounds of an initial cost that is computed from quotas or observed loads
	minInitialCost     = defaultInitialCost / 4

	peerMessageUnit = 256 // number of bytes that Costs.PeerMessage refers to
)

// costStats is the evidence for a cost: the reported load, the fleet's connection load that caused it, and the number
// of reports. All values decay.
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

// learnCost adds a load, and the fleet's connection load that caused it, to the cost evidence of a server and its kind.
func (b *Balancer) learnCost(server *serverEntry, load, connections float64) {
	server.costs.add(load, connections, serverCostMemory)
	server.kind.costs.add(load, connections, kindCostMemory)
}

// updateCosts updates each server's cost and base weight, and decides whether servers have owners.
func (b *Balancer) updateCosts() {
	ready := b.countKinds()
	initial := b.initialConnectionCost()
	fleetCost := b.fleetCost(initial, ready)
	b.reservations.enabled = b.reservationsWorthwhile(initial)
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

// countKinds counts the ready servers, in total and by kind, and sums up this node's load on each kind.
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

// fleetCost returns the cost on the mean server. This node's connections are a sample of the fleet's. On a large fleet
// the sample has few connections or none, and reported load divided by almost none would be meaningless. Therefore the
// initial cost serves as a prior.
func (b *Balancer) fleetCost(initial, ready float64) float64 {
	nodes := float64(b.settings.Nodes)
	load := fleetLoadPrior
	connections := fleetLoadPrior * b.units.mean / initial
	for _, kind := range b.kindOrder {
		prior := 0.0
		if !b.inFlightReported { // on a large fleet, own load on one server is noise, so use the mean of the kind
			kind.costs.connections = kind.costs.reports * nodes * kind.ownLoad / max(kind.ready, 1)
			prior = kind.costs.reports * nodes * fleetCostPrior * b.units.mean / max(ready, 1)
		}
		load = load + kind.costs.load + prior*initial/b.units.mean
		connections = connections + kind.costs.connections + prior
	}
	return load / connections
}

// updateCost sets a server's cost and base weight. The cost is the ratio of reported load to connection load. Since a
// ratio over few connections is noise, it is shrunk towards the kind's ratio, and the kind's towards the fleet's.
// Before any report, the cost is the fleet's cost divided by the server's size.
func (b *Balancer) updateCost(server *serverEntry, fleetCost float64) {
	if !b.average.known {
		server.baseWeight = server.Size
		server.cost = fleetCost / server.Size
		return
	}
	kind := server.kind
	prior := serverCostPrior * b.units.mean * float64(b.settings.Nodes)
	reports := max(1, kind.costs.reports/max(kind.ready, 1)) // mean number of reports per server in the sum
	kindCost := (kind.costs.load + prior*reports*fleetCost) / (kind.costs.connections + prior*reports)
	if b.reservations.enabled { // all reports cover the same few connections of this node, so they count as one
		prior *= max(1, server.costs.reports)
	}
	server.cost = (server.costs.load + prior*kindCost) / (server.costs.connections + prior)
	server.baseWeight = fleetCost / server.cost
	if b.settings.Sizes == LiveSize {
		server.baseWeight = server.Size
	}
}

// reservationsWorthwhile reports whether servers should have owners (reservation.go). They should if a node has less
// than one connection per full server on average, there is no zone plan, and a peer request with its reply costs no
// more than a health check. Owners also need peer messages, health checks and servers that send load reports.
func (b *Balancer) reservationsWorthwhile(initial float64) bool {
	limits, costs := b.settings.Limits, b.settings.Costs
	return limits.PeerMessages && limits.HealthChecks && b.settings.Reports != NoReports &&
		initial*float64(b.reservations.nodes()) > 1 && b.zones.plan == nil &&
		costs.PeerMessage*(requestBytes+replyBytes)/peerMessageUnit <= costs.HealthCheck
}

// initialConnectionCost returns the load of a mean connection before anything is learned. If the tenants' quotas are
// known as numbers of connections, their sum is assumed to be the capacity of all servers.
func (b *Balancer) initialConnectionCost() float64 {
	quotas := 0.0
	for _, tenant := range b.settings.Tenants {
		quotas += max(0, tenant.Connections)
	}
	servers := float64(len(b.servers))
	if b.settings.InitialCost == 0 && quotas > 0 && finite(quotas) && servers > 0 {
		return clamp(servers/quotas, minInitialCost, maxInitialCost)
	}
	// Loads are in core seconds, and sizes approximately in cores.
	if b.units.observed.samples > 0 && b.settings.Sizes == NominalSize {
		return min(b.units.mean, maxInitialCost)
	}
	return b.initialCost
}

// meanCost returns the load that a unit of connection load adds to the mean server.
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

// resetEstimates discards everything learned from reports, after a change of settings that changes the meaning of
// reports.
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
