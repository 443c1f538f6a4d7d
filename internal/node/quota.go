package node

import (
	"runtime/debug"
	"time"

	"spurwinch/internal/config"
)

const (
	quotaInterval = 100 * time.Millisecond // between raises of the successor's quota while this process drains

	// Descriptors that are kept free.
	shutdownReserve    = 16 // beside clients and servers: the loop's, listeners, the log
	transferReserve    = 32 // while connections are received: health checks, new clients
	grantDivisor       = 4  // one in so many free descriptors is not granted to a successor
	idleReserveDivisor = 8  // one in so many descriptors is not used by idle connections

	memoryLimitPercent = 60 // of the node's memory: the garbage collector's limit
	bytesPerMB         = 1 << 20
)

// nodeLimits are the resources of the node, which all of its processes share.
type nodeLimits struct {
	descriptors int // 0: not set
	memoryMB    int // 0: not set
}

// setLimits applies the limits of the platform's configuration.
func (h *hotRestart) setLimits(node config.Node) {
	h.limits.descriptors = node.Sockets
	if h.limits.descriptors <= 0 {
		h.limits.descriptors = defaultDescriptors
	}
	h.limits.memoryMB = node.MemoryMB
	h.program.loop.Limit(0, h.limits.descriptors, int64(h.limits.memoryMB)*bytesPerMB)
	h.applyQuota()
}

// groupQuota is the number of descriptors that this process and its successors may hold.
func (h *hotRestart) groupQuota() int {
	switch {
	case h.coordinator != nil && h.coordinator.HasPredecessor():
		return min(h.limits.descriptors, h.coordinator.DescriptorQuota())
	case !h.sharedUntil.IsZero():
		return h.limits.descriptors / 2
	}
	return h.limits.descriptors
}

// ownQuota is the number of descriptors that this process may hold.
func (h *hotRestart) ownQuota() int {
	if h.coordinator == nil {
		return h.groupQuota()
	}
	return h.groupQuota() - h.coordinator.GrantedQuota()
}

// spareDescriptors is what this process can give up of a quota: what it doesn't hold, and where many connections are
// idle, which may be evicted, up to half.
func (h *hotRestart) spareDescriptors(quota int) int {
	loop := h.program.loop
	unused := quota - reservedDescriptors - loop.Open()
	if h.shuttingDown {
		unused = quota - shutdownReserve - loop.Open()
	}
	return max(unused, min(quota/2, unused+loop.Idle()), 0)
}

// raiseQuotaRepeatedly gives descriptors up to the successor as this process's connections end.
func (h *hotRestart) raiseQuotaRepeatedly() {
	h.raiseSuccessorQuota()
	h.applyQuota()
	h.program.loop.At(h.program.loop.Now().Add(quotaInterval), h.raiseQuotaRepeatedly)
}

// raiseSuccessorQuota gives the successor all descriptors that this process doesn't need.
func (h *hotRestart) raiseSuccessorQuota() {
	if linked, _ := h.coordinator.Successor(); linked {
		quota := h.groupQuota()
		h.coordinator.RaiseQuota(quota, quota-h.spareDescriptors(quota))
	}
}

// applyQuota applies this process's part of the node's resources: all of them when it is alone.
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
	// The process that accepts the clients receives the other nodes' messages, too.
	predecessorServes := hasPredecessor && !h.program.ready()
	platform.peers.setReading(!successorReady && !predecessorServes)
}

// limitMemory sets the garbage collector's limit well below the memory at which the node would be killed.
func (h *hotRestart) limitMemory(alone bool) {
	if h.limits.memoryMB <= 0 {
		return
	}
	limit := int64(h.limits.memoryMB) * bytesPerMB * memoryLimitPercent / 100
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
	platform.front.SetMaxConnections(quota)
	platform.upstream.SetMaxHealthCheckConnections(max(quota/healthCheckDivisor, 1))
	if h.listenersClosed { // no client connects here any more, and idle ones are transferred to the successor
		h.program.loop.SetIdleLimit(0)
	} else {
		h.program.loop.SetIdleLimit(max(quota-h.ownQuota()/idleReserveDivisor, 1))
	}
}
