package node

import (
	"runtime/debug"
	"time"

	"spurwinch/internal/config"
)

const (
	grantDivisor    = 4                      // a successor gets the free descriptors but for this part of them
	quotaInterval   = 100 * time.Millisecond // between looks at what an emptying process can give up further
	shutdownReserve = 16                     // beside clients and servers: the loop's, listeners, the log
	transferReserve = 32                     // and one that takes connections over: health checks, new clients
)

// setLimits takes in what the node may hold.
func (h *hotRestart) setLimits(node config.Node) {
	h.maxDescriptors = node.Sockets
	if h.maxDescriptors <= 0 {
		h.maxDescriptors = defaultDescriptors
	}
	h.memoryMB = node.MemoryMB
	h.program.loop.Limit(0, h.maxDescriptors, int64(h.memoryMB)<<20)
	h.applyQuota()
}

// groupQuota is the number of descriptors that this process and its successors may hold.
func (h *hotRestart) groupQuota() int {
	switch {
	case h.coordinator != nil && h.coordinator.HasPredecessor():
		return min(h.maxDescriptors, h.coordinator.DescriptorQuota())
	case !h.sharedUntil.IsZero():
		return h.maxDescriptors / 2
	}
	return h.maxDescriptors
}

// ownQuota is the number of descriptors that this process may hold.
func (h *hotRestart) ownQuota() int {
	if h.coordinator == nil {
		return h.groupQuota()
	}
	return h.groupQuota() - h.coordinator.GrantedQuota()
}

// spareDescriptors is what this process can give up of a quota: what it doesn't hold, and in a crowd of idle
// connections, which may be evicted, up to half.
func (h *hotRestart) spareDescriptors(quota int) int {
	loop := h.program.loop
	unused := quota - reservedDescriptors - loop.Open()
	if h.shuttingDown {
		unused = quota - shutdownReserve - loop.Open()
	}
	return max(unused, min(quota/2, unused+loop.Idle()), 0)
}

// raiseQuotaRepeatedly gives up what this process needs no more, as its connections go.
func (h *hotRestart) raiseQuotaRepeatedly() {
	h.raiseSuccessorQuota()
	h.applyQuota()
	h.program.loop.At(h.program.loop.Now().Add(quotaInterval), h.raiseQuotaRepeatedly)
}

func (h *hotRestart) raiseSuccessorQuota() {
	if linked, _ := h.coordinator.Successor(); linked {
		quota := h.groupQuota()
		h.coordinator.RaiseQuota(quota, quota-h.spareDescriptors(quota))
	}
}

// applyQuota keeps to this process's part of the node: all of it when it is alone.
func (h *hotRestart) applyQuota() {
	linked, successorReady, hasPredecessor := false, false, false
	if h.coordinator != nil {
		linked, successorReady = h.coordinator.Successor()
		hasPredecessor = h.coordinator.HasPredecessor()
	}
	alone := h.sharedUntil.IsZero() && !linked && !hasPredecessor
	h.limitMemory(alone)
	if h.shuttingDown && (successorReady || linked && !h.program.ready()) {
		h.closeListeners()
	}
	platform := h.program.platform
	if platform == nil {
		return
	}
	h.limitPlatform(platform)
	processes := 1
	if !alone {
		processes = 2
	}
	if platform.processes != processes {
		platform.applySettings(processes)
	}
	// Whoever is to take the clients hears the other nodes, too.
	predecessorServes := hasPredecessor && !h.program.ready()
	platform.peers.setReading(!successorReady && !predecessorServes)
}

// limitMemory has the collector work harder well before the node would be killed.
func (h *hotRestart) limitMemory(alone bool) {
	if h.memoryMB <= 0 {
		return
	}
	limit := int64(h.memoryMB) << 20 * 6 / 10
	if !alone {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
}

func (h *hotRestart) closeListeners() {
	h.listenersClosed = true
	for _, listener := range h.listeners {
		listener.Close()
	}
}

// limitPlatform bounds the descriptors of clients, servers, health checks and idle connections.
func (h *hotRestart) limitPlatform(platform *platform) {
	quota := max(h.ownQuota()-reservedDescriptors, 0)
	platform.front.Share(quota)
	platform.upstream.KeepHealthChecks(max(quota/healthCheckDivisor, 1))
	if h.listenersClosed { // nobody comes here any more, and who has said nothing yet goes to the successor
		h.program.loop.SetIdleLimit(0)
	} else {
		h.program.loop.SetIdleLimit(max(quota-h.ownQuota()/8, 1))
	}
}
