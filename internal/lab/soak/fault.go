package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"spurwinch/internal/lab/shim"
)

const (
	faultInterval     = 2500 * time.Millisecond // between two rounds of faults
	drainTime         = 7 * time.Second         // from the drain of a server until its restart
	minFaultLength    = time.Second
	faultSpread       = 4 * time.Second // maximum that is added to minFaultLength
	minFaultsPerRound = 2               // number of faults in one round
	maxFaultsPerRound = 3
	maxFaultDelay     = 300 // ms, between two faults of a round
	maxProxyDelay     = 300 // ms
	proxyIdleTime     = 400 * time.Millisecond
	breakRateFactor   = 10 // divides the failure rate for broken connections, which are rarer than other failures
)

// Fractions of the nodes and servers that one fault affects.
const (
	stoppedNodes    = 0.2
	killedNodes     = 0.1
	pausedNodes     = 0.3
	upgradedNodes   = 0.1
	drainedServers  = 0.25 // also of the servers that restart without a drain
	impairedServers = 0.5
)

// faultKind is a kind of fault. inject injects a fault and returns its description, which is empty if the fault has no
// effect. The fault ends at the given time; kinds that need no such time ignore it.
type faultKind struct {
	name   string
	inject func(h *harness, rng *rand.Rand, until time.Time) string
}

// faultKinds are all kinds of faults. A flag of the command line selects them by these names.
var faultKinds = []faultKind{
	{"stop", (*harness).stopNodes},
	{"kill", (*harness).killNodes},
	{"hold", (*harness).pauseNodes},
	{"reload", (*harness).reloadNodes},
	{"upgrade", (*harness).upgradeNodes},
	{"hosts", (*harness).makeServersMisbehave},
	{"drain", (*harness).drainServers},
	{"restart", (*harness).restartServers},
	{"proxy", (*harness).impairProxies},
	{"discovery", (*harness).makeDiscoveryMisbehave},
	{"calls", (*harness).failSystemCalls},
	{"clock", (*harness).stepClocks},
	{"burst", (*harness).addLoad},
}

// FaultKinds returns the names of the kinds of faults.
func FaultKinds() []string {
	var names []string
	for _, kind := range faultKinds {
		names = append(names, kind.name)
	}
	return names
}

// injectFaults injects rounds of two or three kinds of faults, drawn at random, until the time for faults is over.
func (h *harness) injectFaults(ctx context.Context, rng *rand.Rand) {
	var allowed []faultKind
	for _, kind := range faultKinds {
		if len(h.options.Only) == 0 || slices.Contains(h.options.Only, kind.name) {
			allowed = append(allowed, kind)
		}
	}
	for end := time.Now().Add(h.options.FaultTime); time.Now().Before(end) && ctx.Err() == nil; {
		order := rng.Perm(len(allowed))
		count := minFaultsPerRound + rng.IntN(maxFaultsPerRound-minFaultsPerRound+1)
		for _, i := range order[:min(len(allowed), count)] {
			h.injectFault(allowed[i], rng)
			h.pause(ctx, time.Duration(rng.IntN(maxFaultDelay))*time.Millisecond)
		}
		h.pause(ctx, faultInterval)
	}
}

// injectFault injects one fault of a kind and records it.
func (h *harness) injectFault(kind faultKind, rng *rand.Rand) {
	until := time.Now().Add(minFaultLength + time.Duration(rng.Float64()*float64(faultSpread)))
	injected := kind.inject(h, rng, until)
	if injected == "" {
		return
	}
	at := time.Since(h.checker.start).Seconds()
	h.faults = append(h.faults, fmt.Sprintf("%.1f s: %s: %s", at, kind.name, injected))
	h.checker.count("trouble " + kind.name)
}

// endFaults ends the faults of servers, proxies, system calls, discovery and load that are still active.
func (h *harness) endFaults() {
	for _, s := range h.servers {
		s.setBehavior(healthy)
		s.proxy.impairment.Store(&impairment{})
	}
	for _, n := range h.nodes {
		n.control.Heal()
	}
	h.discovery.setBehavior(available)
	h.extraLoad.Store(0)
}

// runAt runs a function at the given time, unless the run ends earlier.
func (h *harness) runAt(at time.Time, run func()) {
	h.inBackground(func() {
		select {
		case <-time.After(time.Until(at)):
			run()
		case <-h.done:
		}
	})
}

// drawSome draws a fraction of a list, at least one element.
func drawSome[T any](rng *rand.Rand, list []T, fraction float64) []T {
	count := max(1, int(fraction*float64(len(list))))
	var drawn []T
	for _, i := range rng.Perm(len(list))[:count] {
		drawn = append(drawn, list[i])
	}
	return drawn
}

// drawMajorityOfNodes draws the smallest majority of the nodes.
func (h *harness) drawMajorityOfNodes(rng *rand.Rand) []*node {
	var drawn []*node
	for _, i := range rng.Perm(len(h.nodes))[:1+len(h.nodes)/2] {
		drawn = append(drawn, h.nodes[i])
	}
	return drawn
}

// nodeNames returns the names of nodes.
func nodeNames(nodes []*node) []string {
	var names []string
	for _, n := range nodes {
		names = append(names, n.name)
	}
	return names
}

// serverIDs returns the IDs of servers.
func serverIDs(servers []*server) []string {
	var ids []string
	for _, s := range servers {
		ids = append(ids, s.id)
	}
	return ids
}

// onSomeNodes draws a fraction of the nodes and claims those that no other fault has claimed. It calls act for each
// claimed node in the background, and returns the names of the claimed nodes.
func (h *harness) onSomeNodes(rng *rand.Rand, fraction float64, act func(n *node)) string {
	var claimed []*node
	for _, n := range drawSome(rng, h.nodes, fraction) {
		if n.claim() {
			claimed = append(claimed, n)
			h.inBackground(func() { act(n) })
		}
	}
	return fmt.Sprint(nodeNames(claimed))
}

func (h *harness) stopNodes(rng *rand.Rand, _ time.Time) string {
	return h.onSomeNodes(rng, stoppedNodes, func(n *node) { n.stop(true) })
}

func (h *harness) killNodes(rng *rand.Rand, _ time.Time) string {
	return h.onSomeNodes(rng, killedNodes, (*node).kill)
}

func (h *harness) pauseNodes(rng *rand.Rand, until time.Time) string {
	return h.onSomeNodes(rng, pausedNodes, func(n *node) { n.pause(until) })
}

func (h *harness) upgradeNodes(rng *rand.Rand, _ time.Time) string {
	return h.onSomeNodes(rng, upgradedNodes, (*node).upgrade)
}

func (h *harness) reloadNodes(rng *rand.Rand, _ time.Time) string {
	drawn := h.drawMajorityOfNodes(rng)
	for _, n := range drawn {
		n.reload()
	}
	return fmt.Sprint(nodeNames(drawn))
}

func (h *harness) makeServersMisbehave(rng *rand.Rand, until time.Time) string {
	behavior := serverBehaviors[rng.IntN(len(serverBehaviors))]
	drawn := drawSome(rng, h.servers, 0.15+0.35*rng.Float64())
	for _, s := range drawn {
		s.setBehavior(behavior)
	}
	h.runAt(until, func() {
		for _, s := range drawn {
			s.setBehavior(healthy)
		}
	})
	return fmt.Sprint(behavior, " ", serverIDs(drawn))
}

func (h *harness) drainServers(rng *rand.Rand, _ time.Time) string {
	drawn := drawSome(rng, h.servers, drainedServers)
	for _, s := range drawn {
		s.drain()
	}
	h.discovery.notifyServersChanged()
	h.runAt(time.Now().Add(drainTime), func() { h.restartAll(drawn) })
	return fmt.Sprint(serverIDs(drawn))
}

func (h *harness) restartServers(rng *rand.Rand, _ time.Time) string {
	drawn := drawSome(rng, h.servers, drainedServers)
	h.restartAll(drawn)
	return fmt.Sprint(serverIDs(drawn))
}

// restartAll restarts servers and notifies the nodes of the change.
func (h *harness) restartAll(servers []*server) {
	for _, s := range servers {
		s.restart()
	}
	h.discovery.notifyServersChanged()
}

func (h *harness) impairProxies(rng *rand.Rand, until time.Time) string {
	drawn := impairment{fragment: rng.IntN(2) == 0}
	switch rng.IntN(4) {
	case 0:
		drawn.maxDelay = time.Duration(rng.IntN(maxProxyDelay)) * time.Millisecond
	case 1:
		drawn.resetRate = 0.05 + 0.2*rng.Float64()
	case 2:
		drawn.idleTimeout = proxyIdleTime
	default:
		drawn.fragment = true
	}
	impaired := drawSome(rng, h.servers, impairedServers)
	for _, s := range impaired {
		s.proxy.impairment.Store(&drawn)
	}
	h.runAt(until, func() {
		for _, s := range impaired {
			s.proxy.impairment.Store(&impairment{})
		}
	})
	return fmt.Sprintf("pieces %v hold %v reset %.2f idle %v %v",
		drawn.fragment, drawn.maxDelay, drawn.resetRate, drawn.idleTimeout, serverIDs(impaired))
}

func (h *harness) makeDiscoveryMisbehave(rng *rand.Rand, until time.Time) string {
	behavior := discoveryBehaviors[rng.IntN(len(discoveryBehaviors))]
	if h.deployment.pushed && behavior != fragmented { // an agent sends nothing while discovery is down
		behavior = unresponsive
	}
	h.discovery.setBehavior(behavior)
	h.runAt(until, func() { h.discovery.setBehavior(available) })
	return string(behavior)
}

func (h *harness) failSystemCalls(rng *rand.Rand, until time.Time) string {
	rate := []float64{0.002, 0.01, 0.05, 0.2, 0.7}[rng.IntN(5)]
	var failing []shim.Kind
	for kind := range shim.KindCount {
		if rng.IntN(2) == 0 {
			failing = append(failing, kind)
		}
	}
	drawn := h.drawMajorityOfNodes(rng)
	for _, n := range drawn {
		for _, kind := range failing {
			n.failCalls(kind, rate, until)
		}
	}
	h.runAt(until, func() {
		for _, n := range drawn {
			n.control.Heal()
		}
	})
	return fmt.Sprintf("%.3f of %v %v", rate, failing, nodeNames(drawn))
}

func (h *harness) stepClocks(rng *rand.Rand, _ time.Time) string {
	step := []time.Duration{2 * time.Second, 5 * time.Second, time.Minute, time.Hour}[rng.IntN(4)]
	if rng.IntN(2) == 0 {
		step = -step
	}
	drawn := h.drawMajorityOfNodes(rng)
	for _, n := range drawn {
		n.control.StepClock(step)
	}
	return fmt.Sprint(step, " ", nodeNames(drawn))
}

func (h *harness) addLoad(rng *rand.Rand, until time.Time) string {
	extra := int64(1 + rng.IntN(2))
	h.extraLoad.Store(extra)
	h.runAt(until, func() { h.extraLoad.Store(0) })
	return fmt.Sprint(1 + extra)
}
