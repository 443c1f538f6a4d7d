package choice

import (
	"math"
	"time"
)

// Load prediction (the paper, section 3, "Model-based load estimation"). The predicted load of a server is its last
// reported load plus the load that the connections placed since then add: their connection load multiplied by the
// server's cost.

const (
	reportMemory   = 8 * time.Second  // decay time of a report: loads change, and other nodes place connections too
	reportLag      = time.Second      // approximate time until a placement shows in a report
	sharePrior     = 4.0              // weight of the prior that a server has the average load, in mean connections
	averageMemory  = 0.97             // decay factor of the average, per report
	rateMemory     = 10 * time.Second // decay time of the average and of the arrival rate
	maxAverageLoad = 1.2              // limit of a load in the average, so that a few slow servers can't stop admission
	negligibleLoad = 1e-9             // a smaller sum of loads is a rounding error and counts as 0
)

// ownLoad is the load of this node's own connections on a server.
type ownLoad struct {
	load     float64       // current load
	reported float64       // load that the last report shows
	lagged   float64       // load as a report would show it, delayed by reportLag
	laggedAt time.Duration // time up to which lagged is computed
}

// add adds the load of new connections. The load of ended connections is negative.
func (o *ownLoad) add(now time.Duration, load float64) {
	o.lagged = o.load + decay(o.lagged-o.load, now-o.laggedAt, reportLag)
	o.laggedAt = now
	o.load = max(0, o.load+load)
}

// loadReport is the last observed load of a server, from a load report, a reply of the server's owner or an inference.
type loadReport struct {
	load  float64
	at    time.Duration
	known bool
}

// fresh reports whether the report is recent enough that a health check would add no information.
func (l *loadReport) fresh(now time.Duration) bool { return l.known && now-l.at < freshFor }

// fleetAverage is the mean load of the fleet, weighted by the base weight of its servers. It does not include the loads
// that observeDelay sets, since only overloaded servers have slow messages.
type fleetAverage struct {
	load      float64
	known     bool          // at least one report was received
	loadSum   float64       // decayed sum of reported loads, weighted
	weightSum float64       // decayed sum of weights
	at        time.Duration // time of the last report
}

func (f *fleetAverage) add(now time.Duration, load, weight float64) {
	age := now - f.at
	f.loadSum = decay(f.loadSum, age, rateMemory)*averageMemory + weight*min(load, maxAverageLoad)
	f.weightSum = decay(f.weightSum, age, rateMemory)*averageMemory + weight
	f.at = now
	f.load = f.loadSum / f.weightSum
}

// decayToPrior moves the average towards priorAverageLoad while there are no new observations. weight is the weight of
// priorAverageLoad in the average. Rejected requests give no observations, so without this, admission that an overload
// has stopped would never resume.
func (f *fleetAverage) decayToPrior(now time.Duration, weight float64) {
	age := now - f.at
	if sum := decay(f.weightSum, age, rateMemory) + weight; sum > 0 {
		f.load = (decay(f.loadSum, age, rateMemory) + weight*priorAverageLoad) / sum
	}
}

// arrivalRate tracks the load of this node's new connections.
type arrivalRate struct {
	sum    float64 // in mean connections, decayed over rateMemory
	at     time.Duration
	recent float64 // sum, decayed to the current step
}

func (a *arrivalRate) refresh(now time.Duration) { a.recent = decay(a.sum, now-a.at, rateMemory) }

func (a *arrivalRate) add(now time.Duration, connections float64) {
	a.sum = decay(a.sum, now-a.at, rateMemory) + connections
	a.at = now
}

// setReport sets a server's last observed load. The observation shows this node's connections with a delay (reportLag).
func (b *Balancer) setReport(server *serverEntry, load float64) {
	server.own.add(b.now, 0)
	server.report = loadReport{load: load, at: b.now, known: true}
	server.own.reported = server.own.lagged
}

// observeLoad sets a server's last observed load and adds it to the fleet's average.
func (b *Balancer) observeLoad(server *serverEntry, load float64) {
	// If this node owns the server: the new report shows the load that was reserved before it.
	server.reserved.load = decay(server.reserved.load, b.now-server.report.at, reportLag)
	b.setReport(server, load)
	b.average.known = true
	b.average.add(b.now, server.report.load, server.baseWeight)
}

// predictedLoad returns a server's predicted load as a fraction of its capacity: its last report, which decays to the
// fleet's average as it ages, plus the load of connections that the report doesn't show yet.
func (b *Balancer) predictedLoad(server *serverEntry) float64 {
	if !b.average.known {
		return server.cost * server.own.load
	}
	if !server.report.known {
		return b.average.load
	}
	average := b.average.load
	return average + decay(server.report.load-average, b.now-server.report.at, reportMemory) +
		server.cost*b.fleetMultiple(server)*(server.own.load-server.own.reported)
}

// fleetMultiple returns how much load the fleet likely added to a server for each unit that this node added. This
// node's own part is certain, and the other nodes draw servers in the same way. The fewer of a server's connections a
// node has, the more the fleet's average counts.
func (b *Balancer) fleetMultiple(server *serverEntry) float64 {
	// Number of mean connections on a server of this cost at average load.
	mean := max(b.average.load, 0.1) / (server.cost * b.units.mean)
	if sharePrior*float64(b.settings.Nodes) > mean { // this node has too few of them for an estimate
		return 1
	}
	return 1 / (sharePrior/mean + 1/float64(b.settings.Nodes))
}

// usualRate returns the rate at which an even spread of this node's usual traffic reaches a server, in mean connections
// per second.
func (b *Balancer) usualRate(server *serverEntry) float64 {
	total := max(b.totalBaseWeight, server.baseWeight)
	return max(b.arrivals.recent/rateMemory.Seconds()*server.baseWeight/total, 1e-9)
}

// leastLoad returns the lowest predicted load of all usable servers. It stops at the first load so low that a lower one
// makes no difference to relieve, since on a large fleet a complete search at each report would take most of a node's
// time.
func (b *Balancer) leastLoad() float64 {
	least := math.Inf(1)
	for _, server := range b.servers {
		if server.State != Ready || server.outlier.ejected(b.now) {
			continue
		}
		least = min(least, b.predictedLoad(server))
		if least <= crowdedLoad-2*overflowMargin {
			break
		}
	}
	return least
}
