package loop

import "container/list"

// Eviction of idle connections. Clients that connect and send nothing, or stay connected after their answer, could
// occupy all descriptors. So they are in one queue, oldest first, and above a number of open connections the oldest is
// evicted whenever another one is accepted or needs a descriptor.

const (
	minHighWater = 4 << 10  // bytes
	maxHighWater = 64 << 10 // bytes
	// pendingMemoryPart is the part of the memory, as a divisor, that may wait to be written on all connections
	// together.
	pendingMemoryPart = 8
)

// Evictable is a handler whose connection may be evicted while it is idle. Evict is called to send a last answer; the
// connection is closed right after.
type Evictable interface{ Evict() }

// Limit sets the number of connections from which on idle ones are evicted, and sizes the buffers so that all of
// maxConnections fit the memory (bytes). 0: not known. Of several limits the tightest holds.
func (l *Loop) Limit(idleAbove, maxConnections int, memory int64) {
	if idleAbove > 0 && (l.ownIdleLimit == 0 || idleAbove < l.ownIdleLimit) {
		l.idleLimit = idleAbove
		l.ownIdleLimit = idleAbove
	}
	if maxConnections > 0 && memory > 0 {
		each := memory / pendingMemoryPart / int64(maxConnections)
		l.highWater = int(min(max(each, minHighWater), maxHighWater))
	}
}

// SetIdleLimit sets the number for a node that may share its descriptors with another process, as it is now. What Limit
// set holds beside it. 0: none is evicted.
func (l *Loop) SetIdleLimit(idleAbove int) {
	l.idleLimit = idleAbove
	if l.ownIdleLimit > 0 {
		l.idleLimit = min(l.ownIdleLimit, idleAbove)
	}
	l.enforceIdleLimit()
}

// Idle counts the connections that may be evicted.
func (l *Loop) Idle() int { return l.idleQueue.Len() }

// EachIdle calls fn for the handler of each connection that may be evicted, the oldest first. fn changes none of them.
func (l *Loop) EachIdle(fn func(Handler)) {
	for element := l.idleQueue.Front(); element != nil; element = element.Next() {
		c := connOf(element)
		if !c.ending && !c.detached {
			fn(c.handler)
		}
	}
}

func connOf(element *list.Element) *Conn {
	return element.Value.(*Conn) //nolint:forcetypeassert // the queue holds connections alone
}

// EnterIdleQueue puts a connection at the end of the queue of those that may be evicted.
func (c *Conn) EnterIdleQueue() {
	if !c.closed && !c.uncounted && c.idleElement == nil {
		c.idleElement = c.loop.idleQueue.PushBack(c)
	}
}

// LeaveIdleQueue takes a connection out of the queue: it has a request now, and is not evicted.
func (c *Conn) LeaveIdleQueue() {
	if c.idleElement != nil {
		c.loop.idleQueue.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// CloseIdle evicts all idle connections, at a graceful shutdown. Data that their sockets hold is read first: a
// connection that so gets a request stays.
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

// enforceIdleLimit evicts the oldest idle connections, until there are few enough connections.
func (l *Loop) enforceIdleLimit() {
	if l.idleLimit > 0 {
		l.EvictIdle(l.idleLimit)
	}
}

// EvictIdle evicts the oldest idle connections, until there are no more than open connections or none that is idle.
// Data that their sockets hold is read first: within OnData, its data is overwritten when EvictIdle returns.
func (l *Loop) EvictIdle(open int) {
	for element := l.idleQueue.Front(); element != nil && l.open > open; {
		c := connOf(element)
		if c.detached || c.ending && len(c.pending) > 0 {
			// Another process may have it already, or the rest of its answer goes out yet.
			element = element.Next()
			continue
		}
		c.evict(element)
		element = l.idleQueue.Front()
	}
}

// evict ends an idle connection. Data that its socket holds is read first: a client whose request has arrived must not
// be evicted because the loop has not read it yet.
func (c *Conn) evict(element *list.Element) {
	c.ReadAvailable()
	if c.closed || c.idleElement != element {
		return
	}
	if handler, ok := c.handler.(Evictable); ok && !c.ending {
		handler.Evict()
		if len(c.pending) > 0 { // the rest of its answer is written first
			return
		}
	}
	c.close()
}
