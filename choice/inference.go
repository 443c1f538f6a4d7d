package choice

import "time"

// Inferred loads, for servers that send no reports (Settings.Reports is NoReports). Loads are inferred from the loads
// of connections, from setup times, from slow messages, and from connections that stay open or are dropped. They are
// then used in the same way as reported loads.

const (
	// singleDropLoad is the load inferred for a server that dropped one connection. Such a server gets further
	// connections only if no other server is better.
	singleDropLoad = 0.8
	overloadedLoad = 1.3 // load inferred for a server that drops a further connection within rateMemory
	// maxHealthyLoad is the highest load inferred for a server while nothing indicates overload. At about this load,
	// messages start to become slower.
	maxHealthyLoad     = 0.7
	maxInferredLoad    = 1.5 // upper limit of an inferred load; how far the load exceeds it makes no difference
	priorAverageLoad   = 0.5 // prior of the fleet's average load, while there are few observations
	priorAverageWeight = 3.0 // weight of that prior, in observations of a server of mean weight
	estimatePrior      = 4.0 // weight of the prior that a server has the average load, in connections
	// Each observation moves the typical setup time up or down by 1/setupStepDivisor of its value. Because the size of
	// a step doesn't depend on the observed time, the typical time converges to the median, and outliers have no higher
	// weight.
	setupStepDivisor  = 20
	slowSetupMultiple = 2 // multiple of the typical setup time; only the time beyond it counts as a delay

	// A delay of up to 1/slowDelayDivisor of the messages' latency objective is no evidence of load. A longer delay
	// implies a load of delayLoadBase + delayLoadSlope * delay / latency objective.
	slowDelayDivisor = 3 // as in internal/edge, which notifies the balancer only of messages slower than that
	delayLoadBase    = 0.7
	delayLoadSlope   = 0.4
)

// inferenceState is what the node has learned from connection setups and slow messages.
type inferenceState struct {
	typicalSetup time.Duration // approximate median of setup times; 0: none observed
	slowMessages bool          // slow messages were seen; if they never are, their absence is no evidence of low load
}

// estimateLoad estimates the load of a server from this node's own connections there. They are a sample of the fleet's
// connections. Few connections are weak evidence, so the fleet's average serves as a prior (the result is the mean of a
// Gamma prior after a Poisson count).
func (b *Balancer) estimateLoad(server *serverEntry) float64 {
	average := clamp(b.average.load, 0.1, 1)
	perConnection := server.cost * b.units.mean * float64(b.settings.Nodes) / b.capacityFraction(server)
	return (estimatePrior + server.own.load/b.units.mean) / (estimatePrior/average + 1/perConnection)
}

// inferLoad uses an observation in the same way as a load report. implied is the load that the observation implies, or
// 0 if the server showed no overload. With overload, the inferred load is at least the estimated load; without
// overload, it is at most maxHealthyLoad.
func (b *Balancer) inferLoad(server *serverEntry, implied float64) {
	estimated := b.estimateLoad(server)
	load := min(estimated, maxHealthyLoad)
	if implied > 0 {
		load = min(max(implied, estimated), maxInferredLoad)
	}
	b.learnCost(server, load, estimated/server.cost)
	b.observeLoad(server, load)
}

// inferFromOpenConnections is called at each tick. Connections that stay open are evidence that their server is not
// overloaded, unless the server was seen overloaded within the last two ticks.
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

// observeDrop infers a server's load after the server dropped an open connection.
func (b *Balancer) observeDrop(server *serverEntry) {
	if b.settings.Reports != NoReports {
		return
	}
	b.admission.throttle.add(b.now, 0, -1)
	load := overloadedLoad
	// A single connection may break for other reasons, so only a second one within rateMemory counts as overload.
	if b.now >= server.overloadedAt+rateMemory || server.overloadedAt == 0 {
		load = singleDropLoad
	}
	server.overloadedAt = b.now
	b.inferLoad(server, load)
}

// inferFromSetup infers a server's load from a slow connection setup. A fast setup is no evidence of low load, since
// setups may be fast on a server whose messages are slow.
func (b *Balancer) inferFromSetup(server *serverEntry, took time.Duration) {
	step := b.inference.typicalSetup / setupStepDivisor
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

// loadOfDelay returns the load that a message's delay implies, or 0 if the delay is no evidence of load. Messages slow
// down only when a server is near its capacity.
func (b *Balancer) loadOfDelay(took time.Duration) float64 {
	if b.messageObjective == 0 || took <= b.messageObjective/slowDelayDivisor {
		return 0
	}
	return min(delayLoadBase+delayLoadSlope*took.Seconds()/b.messageObjective.Seconds(), maxInferredLoad)
}
