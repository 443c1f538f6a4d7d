package choice

import "time"

// Loads where servers report nothing: the loads of connections, setup times, slow messages, and connections that stay
// or are dropped become values of the same kind as reports.

const (
	// singleDropLoad is the load of a server that dropped one connection: it gets others only where there is no better.
	singleDropLoad = 0.8
	overloadedLoad = 1.3 // load of a server that drops connections or makes setups slow
	// unsuspiciousLoad is most that a server is taken for of which nothing bad is seen: slower messages would show.
	unsuspiciousLoad = 0.7
	maxInferredLoad  = 1.5 // as for reports: how far over its capacity a server is makes no difference
	restingLoad      = 0.5 // of the average server, while little or nothing is seen
	restingWeight    = 3.0 // observations that this belief is worth
	estimatePrior    = 4.0 // connections' worth of belief that a server has the average load
	// setupSteps is from nothing to the typical setup time: the median is followed, outliers don't count.
	setupSteps        = 20
	slowSetupMultiple = 2 // of the typical setup time that is still no sign of load
)

// inferenceState is what setups and messages have shown so far.
type inferenceState struct {
	typicalSetup time.Duration
	slowMessages bool // slow messages were seen: where they never are, silence says nothing
}

// estimateLoad is the load of a server as this node's own connections there suggest it. They are a sample of the
// fleet's: few say little, so the estimate leans on the average (the mean of a Gamma prior after a Poisson count).
func (b *Balancer) estimateLoad(server *serverEntry) float64 {
	average := clamp(b.average.load, 0.1, 1)
	perConnection := server.cost * b.units.mean * float64(b.settings.Nodes) / b.capacityFraction(server)
	return (estimatePrior + server.own.load/b.units.mean) / (estimatePrior/average + 1/perConnection)
}

// inferLoad takes an observation for a report: a load over capacity as it was seen, and 0 as the sign that there was
// none. Costs learn from it what they would from reports.
func (b *Balancer) inferLoad(server *serverEntry, seen float64) {
	estimated := b.estimateLoad(server)
	load := min(estimated, unsuspiciousLoad)
	if seen > 0 {
		load = min(max(seen, estimated), maxInferredLoad)
	}
	b.learnCost(server, load, estimated/server.cost)
	b.observeLoad(server, load)
}

// inferFromOpenConnections takes connections that stay open for a sign that their servers bear them, unless these were
// seen overloaded a moment ago.
func (b *Balancer) inferFromOpenConnections() {
	ready := 0.0
	for _, kind := range b.kindOrder {
		ready += kind.ready
	}
	b.average.rest(b.now, restingWeight*b.totalBaseWeight/max(ready, 1))
	for _, server := range b.servers {
		if server.State == Ready && server.own.load > negligibleLoad && b.now >= server.overloadedAt+2*tick {
			b.inferLoad(server, b.loadOfDelay(server.messageTime))
		}
	}
}

// observeDrop takes in that a server dropped an open connection. One that is reset before that says nothing of load.
func (b *Balancer) observeDrop(server *serverEntry) {
	if b.settings.Reports != NoReports {
		return
	}
	b.admission.throttle.add(b.now, 0, -1)
	load := overloadedLoad
	// A connection may break for other reasons: the next ones go elsewhere, if there is anywhere.
	if b.now >= server.overloadedAt+rateMemory || server.overloadedAt == 0 {
		load = singleDropLoad
	}
	server.overloadedAt = b.now
	b.inferLoad(server, load)
}

// inferFromSetup takes the time that a connection took to be set up. Only a slow one says something: setups may be
// quick at a server whose messages are late.
func (b *Balancer) inferFromSetup(server *serverEntry, took time.Duration) {
	step := b.inference.typicalSetup / setupSteps
	switch {
	case b.inference.typicalSetup == 0:
		b.inference.typicalSetup = took
	case took > b.inference.typicalSetup:
		b.inference.typicalSetup += step
	default:
		b.inference.typicalSetup -= step
	}
	load := b.loadOfDelay(took - slowSetupMultiple*b.inference.typicalSetup)
	if load > 0 {
		server.overloadedAt = b.now
		b.inferLoad(server, load)
	}
}

// loadOfDelay is the load that a message's time implies: messages slow down only near capacity. 0: not slow.
func (b *Balancer) loadOfDelay(took time.Duration) float64 {
	if b.messageObjective == 0 || took <= b.messageObjective/3 {
		return 0
	}
	return min(0.7+0.4*took.Seconds()/b.messageObjective.Seconds(), maxInferredLoad)
}
