package node

import (
	"runtime/debug"
	"time"

	"spurwinch/internal/config"
)

const (
	quotaInterval = 100 * time.Millisecond // between increases of the successor's quota while this process drains

	// Descriptors that are kept free.
	shutdownReserve    = 16 // during shutdown, besides clients and servers: the loop, listeners, the log
	transferReserve    = 32 // while connections are received: health checks, new clients
	grantDivisor       = 4  // one in grantDivisor free descriptors is not granted to a successor
	idleReserveDivisor = 8  // one in idleReserveDivisor descriptors is not available to idle connections

	memoryLimitPercent = 60 // garbage collector's limit as a share of the node's memory
	bytesPerMB         = 1 << 20
	// bufferMemoryDivisor is the part of the memory that the XMPP front may use for unfinished input of clients. During
	// an upgrade two processes share the memory.
	bufferMemoryDivisor = 16
)

// nodeLimits contains the resources of the node, which all its processes share.
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
	h.program.loop.SetLimits(0, h.limits.descriptors, int64(h.limits.memoryMB)*bytesPerMB)
	h.applyQuota()
}

// maxBufferedBytes returns how many bytes the XMPP front may hold for all its clients together, or 0 if the node's
// memory is not known.
func (p *Program) maxBufferedBytes() int {
	return p.restart.limits.memoryMB * bytesPerMB / bufferMemoryDivisor
}

// groupQuota returns the number of descriptors that this process and its successors may hold.
func (h *hotRestart) groupQuota() int {
	switch {
	case h.coordinator != nil && h.coordinator.HasPredecessor():
		return min(h.limits.descriptors, h.coordinator.DescriptorQuota())
	case !h.sharedUntil.IsZero():
		return h.limits.descriptors / 2
	}
	return h.limits.descriptors
}

// ownQuota returns the number of descriptors that this process may hold.
func (h *hotRestart) ownQuota() int {
	if h.coordinator == nil {
		return h.groupQuota()
	}
	return h.groupQuota() - h.coordinator.GrantedQuota()
}

// spareDescriptors returns how many descriptors of a quota this process can give up. These are the descriptors that it
// doesn't use. Because idle connections may be evicted, their descriptors count too, up to half of the quota.
func (h *hotRestart) spareDescriptors(quota int) int {
	loop := h.program.loop
	unused := quota - reservedDescriptors - loop.Open()
	if h.shuttingDown {
		unused = quota - shutdownReserve - loop.Open()
	}
	return max(unused, min(quota/2, unused+loop.Idle()), 0)
}

// raiseQuotaRepeatedly passes descriptors to the successor as this process's connections end, every quotaInterval.
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

// applyQuota applies this process's share of the node's resources. A process that runs alone gets all of them.
func (h *hotRestart) applyQuota() {
	linked, successorReady, hasPredecessor := false, false, false
	if h.coordinator != nil {
		linked, successorReady = h.coordinator.Successor()
		hasPredecessor = h.coordinator.HasPredecessor()
	}
	isAlone := h.sharedUntil.IsZero() && !linked && !hasPredecessor
	h.limitMemory(isAlone)
	if h.shuttingDown && (successorReady || linked && !h.program.ready()) {
		h.closeListeners()
	}
	platform := h.program.platform
	if platform == nil {
		return
	}
	h.limitPlatform(platform)
	processes := 1
	if !isAlone {
		processes = 2
	}
	if platform.processes != processes {
		platform.applySettings(processes)
	}
	// The process that accepts clients also receives the messages from the other nodes.
	predecessorServes := hasPredecessor && !h.program.ready()
	platform.peers.setReading(!successorReady && !predecessorServes)
}

// limitMemory sets the garbage collector's limit well below the memory size at which the node would be killed.
func (h *hotRestart) limitMemory(isAlone bool) {
	if h.limits.memoryMB <= 0 {
		return
	}
	limit := int64(h.limits.memoryMB) * bytesPerMB * memoryLimitPercent / 100
	if !isAlone {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
}

// closeListeners stops accepting clients in this process.
func (h *hotRestart) closeListeners() {
	h.listenersClosed = true
	for _, listener := range h.listeners {
		listener.Close()
	}
}

// limitPlatform limits the descriptors of clients, servers, health checks and idle connections.
func (h *hotRestart) limitPlatform(platform *platform) {
	quota := max(h.ownQuota()-reservedDescriptors, 0)
	platform.front.SetMaxConnections(quota)
	platform.upstream.SetMaxHealthCheckConnections(max(quota/healthCheckDivisor, 1))
	if h.listenersClosed { // no new client connects here, and idle connections are transferred to the successor
		h.program.loop.SetIdleLimit(0)
	} else {
		h.program.loop.SetIdleLimit(max(quota-h.ownQuota()/idleReserveDivisor, 1))
	}
}
