package choice

// The unit of connection loads. Requests and connections state their load in a unit that the deployment chooses, or
// state none. In other files, "mean connections" are connection loads divided by loadUnits.mean.

const (
	meanLoadSamples = 50 // number of samples over which a mean load is averaged
	hintMemory      = 50 // the same for the mean of the loads that requests state
)

// meanLoad is the mean of the loads that connections of one class reported.
type meanLoad struct {
	mean    float64
	samples float64
}

func (m *meanLoad) add(load float64) {
	m.samples = min(m.samples+1, meanLoadSamples)
	m.mean += (load - m.mean) / m.samples
}

// loadUnits is what the node has learned about the load of a connection.
type loadUnits struct {
	mean     float64    // mean load of a connection; 1 if none is known
	hints    int        // number of requests that stated their load
	observed meanLoad   // mean over all connections that reported their load
	byClass  []meanLoad // the same by class
}

// requestLoad returns the load of a request: the load that it states, or the expected load of its class.
func (b *Balancer) requestLoad(request Request) float64 {
	if !(request.Load > 0) || !finite(request.Load) {
		return b.expectedLoad(request.Class)
	}
	b.units.hints++
	if b.units.hints == 1 {
		b.units.mean = request.Load
		b.updateCosts()
	}
	b.units.mean += (request.Load - b.units.mean) / hintMemory
	return request.Load
}

// expectedLoad returns the load assumed for a connection whose request states none.
func (b *Balancer) expectedLoad(class int) float64 {
	if class >= 0 && class < len(b.units.byClass) && b.units.byClass[class].samples > 0 {
		return b.units.byClass[class].mean
	}
	return b.units.mean
}

// observeConnectionLoad adds a connection's load as a sample of its class. If servers send no reports and requests
// state no load, these samples alone determine the unit in which connections are counted. Without this, a connection
// would count as 1 until it reports its load, and as a small fraction of 1 afterwards. If servers send reports, costs
// and reservations are learned with the existing unit.
func (b *Balancer) observeConnectionLoad(class int, load float64) {
	if b.settings.Reports != NoReports || b.units.hints > 0 || class < 0 || !(load > 0) || !finite(load) {
		return
	}
	if b.units.observed.samples == 0 {
		b.rescale(load / b.units.mean)
	}
	b.units.observed.add(load)
	b.units.mean = b.units.observed.mean
	if class >= len(b.settings.Classes) { // the connection came from a process with other settings
		return
	}
	for len(b.units.byClass) <= class {
		b.units.byClass = append(b.units.byClass, meanLoad{})
	}
	b.units.byClass[class].add(load)
}

// rescale converts all loads that were counted before the first known load to the new unit.
func (b *Balancer) rescale(factor float64) {
	for _, request := range b.requests {
		request.load *= factor
	}
	for _, server := range b.servers {
		server.own.load *= factor
		server.own.reported *= factor
		server.own.lagged *= factor
		server.reserved.load *= factor
		server.costs.connections *= factor
	}
	for _, kind := range b.kinds {
		kind.costs.connections *= factor
	}
	b.groups.rescale(factor)
	b.zones.rescale(factor)
}
