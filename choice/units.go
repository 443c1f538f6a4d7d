package choice

// The unit of connection loads: requests and connections bring their load in a unit of the deployment's, or not at all.
// "Mean connections" elsewhere are connection loads over loadUnits.mean.

const (
	meanLoadSamples = 50 // loads that a mean remembers
	hintMemory      = 50 // the same for the mean of the loads that requests bring
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

// loadUnits is what is known of the load of a connection.
type loadUnits struct {
	mean     float64    // of a connection; 1 where none is known
	hints    int        // requests that brought their load
	observed meanLoad   // of all connections that reported their load
	byClass  []meanLoad // the same by class
}

// requestLoad is the load that a request counts: its own, or what is expected of its class.
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

// expectedLoad is the load of a connection that brings no hint.
func (b *Balancer) expectedLoad(class int) float64 {
	if class >= 0 && class < len(b.units.byClass) && b.units.byClass[class].samples > 0 {
		return b.units.byClass[class].mean
	}
	return b.units.mean
}

// observeConnectionLoad takes a connection's load as a sample of its class. Where nothing reports and requests bring no
// hint, these loads alone give the unit in which connections are counted: without this, a connection counts 1 until it
// reports its load and a small part of that afterwards. Where servers report, costs and reservations are learned with
// the unit as it is.
func (b *Balancer) observeConnectionLoad(class int, load float64) {
	if b.settings.Reports != NoReports || b.units.hints > 0 || class < 0 || !(load > 0) || !finite(load) {
		return
	}
	if b.units.observed.samples == 0 {
		b.rescale(load / b.units.mean)
	}
	b.units.observed.add(load)
	b.units.mean = b.units.observed.mean
	if class >= len(b.settings.Classes) { // of a connection that another process had under other settings
		return
	}
	for len(b.units.byClass) <= class {
		b.units.byClass = append(b.units.byClass, meanLoad{})
	}
	b.units.byClass[class].add(load)
}

// rescale changes the unit of all loads that were counted before any was known.
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
