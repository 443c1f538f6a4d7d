package loop

import "container/list"

// Room for those who have something to say. Clients that connect and say nothing, or that linger after their answer,
// could otherwise hold all descriptors, and the next one that comes would be cut off, whoever it is. So they wait in one
// queue, oldest first, and above a number of connections the oldest goes whenever another one comes, or asks for something.

const (
	minHighWater = 4 << 10
	maxHighWater = 64 << 10
	// pendingMemoryPart is the part of the memory, as a divisor, that may wait to be written on all connections together.
	pendingMemoryPart = 8
)

// Evictable is a handler whose connection may be wanted for another one before it has said what it wants. Leave gives it
// its answer; the connection ends right after.
type Evictable interface{ Evict() }

// Limit sets the number of connections from which on idle ones go, and sizes the buffers so that all of most
// connections fit the memory. 0: not told. Of several limits the tightest holds.
func (l *Loop) Limit(idleAbove, most int, memory int64) {
	if idleAbove > 0 && (l.ownIdleLimit == 0 || idleAbove < l.ownIdleLimit) {
		l.idleLimit, l.ownIdleLimit = idleAbove, idleAbove
	}
	if most > 0 && memory > 0 {
		l.highWater = int(min(max(memory/pendingMemoryPart/int64(most), minHighWater), maxHighWater))
	}
}

// SetIdleLimit sets the number for a node that may share its descriptors with another process, as it is now. What Limit set
// holds beside it. 0: none goes.
func (l *Loop) SetIdleLimit(idleAbove int) {
	if l.idleLimit = idleAbove; l.ownIdleLimit > 0 {
		l.idleLimit = min(l.ownIdleLimit, idleAbove)
	}
	l.enforceIdleLimit()
}

// Idle counts the connections that may go.
func (l *Loop) Idle() int { return l.idleQueue.Len() }

// EachIdle calls fn for the handler of each connection that may go, the oldest first. fn changes none of them.
func (l *Loop) EachIdle(fn func(Handler)) {
	for e := l.idleQueue.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); !c.ending && !c.detached {
			fn(c.handler)
		}
	}
}

// EnterIdleQueue puts a restored connection in the queue of those that may go.
func (c *Conn) EnterIdleQueue() { c.wait() }

// wait puts a connection at the end of the queue of those that may go.
func (c *Conn) wait() {
	if !c.closed && !c.uncounted && c.idleElement == nil {
		c.idleElement = c.loop.idleQueue.PushBack(c)
	}
}

// LeaveIdleQueue takes a connection out of the queue: it has said what it wants and stays.
func (c *Conn) LeaveIdleQueue() {
	if c.idleElement != nil {
		c.loop.idleQueue.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// CloseIdle answers and ends each connection that has not said what it wants, but for what its socket holds by now: at a
// planned stop, whose end would cut them off with their words unread.
func (l *Loop) CloseIdle() {
	var all []*Conn
	for e := l.idleQueue.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*Conn))
	}
	for _, c := range all {
		place := c.idleElement
		c.ReadAvailable()
		if s, ok := c.handler.(Evictable); ok && place != nil && c.idleElement == place && !c.closed && !c.ending && !c.detached {
			s.Evict()
		}
	}
}

// enforceIdleLimit has the oldest of those that wait go, until there are few enough connections.
func (l *Loop) enforceIdleLimit() {
	if l.idleLimit > 0 {
		l.EvictIdle(l.idleLimit)
	}
}

// EvictIdle has the oldest of those that wait go, until there are no more than open connections or none that waits. What they have
// said meanwhile is heard first: within OnData, p is overwritten when it returns.
func (l *Loop) EvictIdle(open int) {
	for e := l.idleQueue.Front(); e != nil && l.open > open; {
		c := e.Value.(*Conn)
		if c.detached || c.ending && len(c.pending) > 0 { // another process may have it already; the rest of its answer goes out yet
			e = e.Next()
			continue
		}
		c.evict(e)
		e = l.idleQueue.Front()
	}
}

// evict ends a connection that has not spoken. What it may have said meanwhile is read first: a client whose words
// have arrived must not go because the loop hasn't come to read them.
func (c *Conn) evict(place *list.Element) {
	c.ReadAvailable()
	if c.closed || c.idleElement != place {
		return
	}
	if s, ok := c.handler.(Evictable); ok && !c.ending {
		s.Evict()
		if len(c.pending) > 0 { // the rest of its answer is written first
			return
		}
	}
	c.close()
}
