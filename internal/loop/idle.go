package loop

import "container/list"

// Eviction of idle connections. Clients that connect and send nothing, or stay connected after their reply, could
// occupy all descriptors. The loop therefore keeps them in one queue, oldest first. When the number of open connections
// is above a limit, it evicts the oldest whenever another connection is accepted or needs a descriptor.

const (
	minHighWater = 4 << 10  // bytes
	maxHighWater = 64 << 10 // bytes
	// All connections together may use 1/pendingMemoryDivisor of the memory for pending data.
	pendingMemoryDivisor = 8
)

// Evictable is a handler whose connection may be evicted while it is idle. Evict ends the connection and may send a
// last reply before that. EvictIdle closes the connection right after Evict, unless a part of the reply is pending.
type Evictable interface{ Evict() }

// SetLimits sets the number of open connections above which idle ones are evicted, and sizes the write buffers so that
// those of maxConnections connections fit into the memory (in bytes). 0 means unknown. Of several calls, the lowest
// idleAbove holds.
func (l *Loop) SetLimits(idleAbove, maxConnections int, memory int64) {
	if idleAbove > 0 && (l.ownIdleLimit == 0 || idleAbove < l.ownIdleLimit) {
		l.idleLimit = idleAbove
		l.ownIdleLimit = idleAbove
	}
	if maxConnections > 0 && memory > 0 {
		perConnection := memory / pendingMemoryDivisor / int64(maxConnections)
		l.highWater = int(min(max(perConnection, minHighWater), maxHighWater))
	}
}

// SetIdleLimit sets the present number of open connections above which idle ones are evicted, for a node that may share
// its descriptors with another process. A lower limit set by SetLimits still holds. 0: no connection is evicted.
func (l *Loop) SetIdleLimit(idleAbove int) {
	l.idleLimit = idleAbove
	if l.ownIdleLimit > 0 {
		l.idleLimit = min(l.ownIdleLimit, idleAbove)
	}
	l.enforceIdleLimit()
}

// Idle returns the number of connections that may be evicted.
func (l *Loop) Idle() int { return l.idleQueue.Len() }

// EachIdle calls fn with the handler of each connection that may be evicted, oldest first. fn must not change the
// queue.
func (l *Loop) EachIdle(fn func(Handler)) {
	for element := l.idleQueue.Front(); element != nil; element = element.Next() {
		c := connOf(element)
		if !c.ending && !c.detached {
			fn(c.handler)
		}
	}
}

// connOf returns the connection of an element of the idle queue.
func connOf(element *list.Element) *Conn {
	return element.Value.(*Conn) //nolint:forcetypeassert // the queue holds only connections
}

// EnterIdleQueue appends the connection to the queue of those that may be evicted.
func (c *Conn) EnterIdleQueue() {
	if !c.closed && !c.uncounted && c.idleElement == nil {
		c.idleElement = c.loop.idleQueue.PushBack(c)
	}
}

// LeaveIdleQueue removes the connection from the queue, so that it is not evicted: it has a request now.
func (c *Conn) LeaveIdleQueue() {
	if c.idleElement != nil {
		c.loop.idleQueue.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// CloseIdle evicts all idle connections during a graceful shutdown. It first reads the data that their sockets hold: a
// connection whose request is found there is not evicted.
func (l *Loop) CloseIdle() {
	var idle []*Conn
	for element := l.idleQueue.Front(); element != nil; element = element.Next() {
		idle = append(idle, connOf(element))
	}
	for _, c := range idle {
		element := c.idleElement
		c.ReadAvailable()
		stillIdle := element != nil && c.idleElement == element && !c.closed && !c.ending && !c.detached
		if handler, ok := c.handler.(Evictable); ok && stillIdle {
			handler.Evict()
		}
	}
}

// enforceIdleLimit evicts the oldest idle connections until the limit is met or no connection is idle.
func (l *Loop) enforceIdleLimit() {
	if l.idleLimit > 0 {
		l.EvictIdle(l.idleLimit)
	}
}

// EvictIdle evicts the oldest idle connections until at most open connections are left or none is idle. It first reads
// the data that their sockets hold, so it overwrites the data of an OnData from which it is called.
func (l *Loop) EvictIdle(open int) {
	for element := l.idleQueue.Front(); element != nil && l.open > open; {
		c := connOf(element)
		if c.detached || c.ending && len(c.pending) > 0 {
			// Another process may already serve it, or the rest of its reply is still being written.
			element = element.Next()
			continue
		}
		c.evict(element)
		element = l.idleQueue.Front()
	}
}

// evict ends an idle connection. It first reads the data that the socket holds: a client whose request has arrived must
// not be evicted only because the loop has not read the request yet.
func (c *Conn) evict(element *list.Element) {
	c.ReadAvailable()
	if c.closed || c.idleElement != element {
		return
	}
	if handler, ok := c.handler.(Evictable); ok && !c.ending {
		handler.Evict()
		if len(c.pending) > 0 { // the rest of its reply is written first
			return
		}
	}
	c.close()
}
