package choice

import (
	"math"
	"time"
)

// Load prediction (the paper, section 3, "Model-based load estimation"): the load of a server is the load of its
// connections times what a unit of that costs there, anchored at the server's last report.

const (
	reportMemory   = 8 * time.Second // a report's information fades with this: loads change, other nodes place too
	reportLag      = time.Second     // about as long as a placement takes to show in a report
	sharePrior     = 4.0             // weight of the prior that a server has the average load, in mean connections
	averageMemory  = 0.97            // of the average, at each report
	rateMemory     = 10 * time.Second
	maxAverageLoad = 1.2  // most that a server's load counts in the average: a few slow ones must not stop admission
	negligibleLoad = 1e-9 // rounding error of a sum of loads: less counts as 0
)

// ownLoad is the load of this node's own connections on a server.
type ownLoad struct {
	load     float64       // now
	reported float64       // as the last report shows it
	lagged   float64       // load, following it by reportLag
	laggedAt time.Duration // up to when it has followed
}

// add adds load of new connections, or with a negative sign of ended ones.
func (o *ownLoad) add(now time.Duration, load float64) {
	o.lagged = o.load + fade(o.lagged-o.load, now-o.laggedAt, reportLag)
	o.laggedAt = now
	o.load = max(0, o.load+load)
}

// loadReport is the last observed load of a server: from a load report, a reply of its owner, or an inference.
type loadReport struct {
	load  float64
	at    time.Duration
	known bool
}

// fresh reports whether a health check would bring nothing new.
func (l *loadReport) fresh(now time.Duration) bool { return l.known && now-l.at < freshFor }

// fleetAverage is the mean load of the fleet, by the base weight of its servers. Slow messages don't count in it, since
// they come from overloaded servers alone.
type fleetAverage struct {
	load      float64
	known     bool          // there was a report
	loadSum   float64       // of reported loads by weight, decayed
	weightSum float64       // of weights, decayed
	at        time.Duration // of the last report
}

func (f *fleetAverage) add(now time.Duration, load, weight float64) {
	age := now - f.at
	f.loadSum = fade(f.loadSum, age, rateMemory)*averageMemory + weight*min(load, maxAverageLoad)
	f.weightSum = fade(f.weightSum, age, rateMemory)*averageMemory + weight
	f.at = now
	f.load = f.loadSum / f.weightSum
}

// decayToPrior has the average return to priorAverageLoad, of some weight, while there are no observations: rejections
// bring none, so admission that an overload has stopped would stay so for ever.
func (f *fleetAverage) decayToPrior(now time.Duration, weight float64) {
	age := now - f.at
	if sum := fade(f.weightSum, age, rateMemory) + weight; sum > 0 {
		f.load = (fade(f.loadSum, age, rateMemory) + weight*priorAverageLoad) / sum
	}
}

// arrivalRate follows the load of this node's new connections.
type arrivalRate struct {
	sum    float64 // in mean connections, decayed over rateMemory
	at     time.Duration
	recent float64 // sum, faded to the present step
}

func (a *arrivalRate) refresh(now time.Duration) { a.recent = fade(a.sum, now-a.at, rateMemory) }

func (a *arrivalRate) add(now time.Duration, connections float64) {
	a.sum = fade(a.sum, now-a.at, rateMemory) + connections
	a.at = now
}

// setReport takes a load seen now as the server's; it shows this node's connections as they were a little ago.
func (b *Balancer) setReport(server *serverEntry, load float64) {
	server.own.add(b.now, 0)
	server.report = loadReport{load: load, at: b.now, known: true}
	server.own.reported = server.own.lagged
}

// observeLoad takes a load seen now as the server's and into the average.
func (b *Balancer) observeLoad(server *serverEntry, load float64) {
	// As its owner: the report shows what was reserved before it.
	server.reserved.load = fade(server.reserved.load, b.now-server.report.at, reportLag)
	b.setReport(server, load)
	b.average.known = true
	b.average.add(b.now, server.report.load, server.baseWeight)
}

// predictedLoad is a server's load as a fraction of its capacity: its last report, which decays to the fleet's average
// as it ages, and what the connections that the report doesn't show yet add.
func (b *Balancer) predictedLoad(server *serverEntry) float64 {
	if !b.average.known {
		return server.cost * server.own.load
	}
	if !server.report.known {
		return b.average.load
	}
	average := b.average.load
	return average + fade(server.report.load-average, b.now-server.report.at, reportMemory) +
		server.cost*b.fleetMultiple(server)*(server.own.load-server.own.reported)
}

// fleetMultiple is how much load the fleet likely put on a server for each unit that this node did: its own part is
// sure, the other nodes draw alike; the less a node sees of a server, the more the fleet's average counts.
func (b *Balancer) fleetMultiple(server *serverEntry) float64 {
	// Mean connections on a server of this cost at average load:
	mean := max(b.average.load, 0.1) / (server.cost * b.units.mean)
	if sharePrior*float64(b.settings.Nodes) > mean { // too small a part of them to judge by
		return 1
	}
	return 1 / (sharePrior/mean + 1/float64(b.settings.Nodes))
}

// usualRate is what an even spread of this node's usual traffic brings to a server, in mean connections a second.
func (b *Balancer) usualRate(server *serverEntry) float64 {
	total := max(b.totalBaseWeight, server.baseWeight)
	return max(b.arrivals.recent/rateMemory.Seconds()*server.baseWeight/total, 1e-9)
}

// leastLoad is the least predicted load of the servers that may be used, or one so low that the rest makes no
// difference to relieve: on a large fleet the complete search, at each report, would be most of a node's time.
func (b *Balancer) leastLoad() float64 {
	least := math.Inf(1)
	for _, server := range b.servers {
		if server.State != Ready || server.outlier.ejected(b.now) {
			continue
		}
		least = min(least, b.predictedLoad(server))
		if least <= crowded-2*overflowMargin {
			break
		}
	}
	return least
}
