package choice

import "time"

// Loads where servers report nothing (Settings.Reports is NoReports): they are inferred from the loads of connections,
// setup times, slow messages, and connections that stay open or are dropped, and then used like reported ones.

const (
	// singleDropLoad is the load of a server that dropped one connection: it gets others only where there is no better.
	singleDropLoad = 0.8
	overloadedLoad = 1.3 // load of a server that drops connections or makes setups slow
	// unsuspiciousLoad is the most load that a server is estimated at while nothing indicates overload: from about
	// there on messages would be slower.
	unsuspiciousLoad   = 0.7
	maxInferredLoad    = 1.5 // how far over its capacity a server is makes no difference beyond this
	priorAverageLoad   = 0.5 // prior of the fleet's average load, while there are few observations
	priorAverageWeight = 3.0 // weight of that prior, in observations of a mean server
	estimatePrior      = 4.0 // weight of the prior that a server has the average load, in connections
	// setupSteps divides the typical setup time into the step by which it follows each observation: up or down by the
	// same, so that it tends to the median and outliers don't count more than others.
	setupSteps        = 20
	slowSetupMultiple = 2 // of the typical setup time: only what is longer is a delay

	// The load that a message's delay implies: none up to the latency objective over slowDelayDivisor, and from there
	// on delayLoadBase plus delayLoadSlope for each objective that it took.
	slowDelayDivisor = 3 // as in internal/edge, which notifies the balancer of slower messages only
	delayLoadBase    = 0.7
	delayLoadSlope   = 0.4
)

// inferenceState is what setups and messages have shown so far.
type inferenceState struct {
	typicalSetup time.Duration
	slowMessages bool // slow messages were seen: where they never are, their absence is no evidence of low load
}

// estimateLoad is the load of a server as this node's own connections there suggest it. They are a sample of the
// fleet's: few say little, so the estimate leans on the average (the mean of a Gamma prior after a Poisson count).
func (b *Balancer) estimateLoad(server *serverEntry) float64 {
	average := clamp(b.average.load, 0.1, 1)
	perConnection := server.cost * b.units.mean * float64(b.settings.Nodes) / b.capacityFraction(server)
	return (estimatePrior + server.own.load/b.units.mean) / (estimatePrior/average + 1/perConnection)
}

// inferLoad uses an observation like a load report. seen is the load that the observation implies; 0: the server showed
// no overload. The result is no less than the estimate where it did, and at most unsuspiciousLoad where it did not.
func (b *Balancer) inferLoad(server *serverEntry, seen float64) {
	estimated := b.estimateLoad(server)
	load := min(estimated, unsuspiciousLoad)
	if seen > 0 {
		load = min(max(seen, estimated), maxInferredLoad)
	}
	b.learnCost(server, load, estimated/server.cost)
	b.observeLoad(server, load)
}

// inferFromOpenConnections is called once a tick. Connections that stay open are evidence that their server is not
// overloaded, unless that was seen overloaded within two ticks.
func (b *Balancer) inferFromOpenConnections() {
	ready := 0.0
	for _, kind := range b.kindOrder {
		ready += kind.ready
	}
	b.average.decayToPrior(b.now, priorAverageWeight*b.totalBaseWeight/max(ready, 1))
	for _, server := range b.servers {
		if server.State == Ready && server.own.load > negligibleLoad && b.now >= server.overloadedAt+2*tick {
			b.inferLoad(server, b.loadOfDelay(server.messageTime))
		}
	}
}

// observeDrop infers a load from an open connection that a server dropped.
func (b *Balancer) observeDrop(server *serverEntry) {
	if b.settings.Reports != NoReports {
		return
	}
	b.admission.throttle.add(b.now, 0, -1)
	load := overloadedLoad
	// One connection may break for other reasons: only a second one within rateMemory counts as overload.
	if b.now >= server.overloadedAt+rateMemory || server.overloadedAt == 0 {
		load = singleDropLoad
	}
	server.overloadedAt = b.now
	b.inferLoad(server, load)
}

// inferFromSetup infers a load from the time that a connection took to be set up, where that was slow. A fast setup is
// no evidence: it may be fast at a server whose messages are slow.
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

// loadOfDelay is the load that a message's delay implies, since messages slow down only near capacity; 0: none.
func (b *Balancer) loadOfDelay(took time.Duration) float64 {
	if b.messageObjective == 0 || took <= b.messageObjective/slowDelayDivisor {
		return 0
	}
	return min(delayLoadBase+delayLoadSlope*took.Seconds()/b.messageObjective.Seconds(), maxInferredLoad)
}
