package loop

import "container/list"

// Room for those who have something to say. Clients that connect and say nothing, or that linger after their answer,
// could otherwise hold all descriptors, and the next one that comes would be cut off, whoever it is. So they wait in one
// queue, oldest first, and above a number of connections the oldest goes whenever another one comes, or asks for something.

const (
	leastWater = 4 << 10
	mostWater  = 64 << 10
	// waterShare is the part of the memory, as a divisor, that may wait to be written on all connections together.
	waterShare = 8
)

// Evictable is a handler whose connection may be wanted for another one before it has said what it wants. Leave gives it
// its answer; the connection ends right after.
type Evictable interface{ Evict() }

// Limit sets the number of connections from which on idle ones go, and sizes the buffers so that all of most
// connections fit the memory. 0: not told. Of several limits the tightest holds.
func (l *Loop) Limit(idleAbove, most int, memory int64) {
	if idleAbove > 0 && (l.own == 0 || idleAbove < l.own) {
		l.most, l.own = idleAbove, idleAbove
	}
	if most > 0 && memory > 0 {
		l.highWater = int(min(max(memory/waterShare/int64(most), leastWater), mostWater))
	}
}

// SetIdleLimit sets the number for a node that may share its descriptors with another process, as it is now. What Limit set
// holds beside it. 0: none goes.
func (l *Loop) SetIdleLimit(idleAbove int) {
	if l.most = idleAbove; l.own > 0 {
		l.most = min(l.own, idleAbove)
	}
	l.makeRoom()
}

// Idle counts the connections that may go.
func (l *Loop) Idle() int { return l.idle.Len() }

// EachIdle calls fn for the handler of each connection that may go, the oldest first. fn changes none of them.
func (l *Loop) EachIdle(fn func(Handler)) {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); !c.ending && !c.away {
			fn(c.h)
		}
	}
}

// EnterIdleQueue puts a restored connection in the queue of those that may go.
func (c *Conn) EnterIdleQueue() { c.wait() }

// wait puts a connection at the end of the queue of those that may go.
func (c *Conn) wait() {
	if !c.closed && !c.apart && c.place == nil {
		c.place = c.l.idle.PushBack(c)
	}
}

// LeaveIdleQueue takes a connection out of the queue: it has said what it wants and stays.
func (c *Conn) LeaveIdleQueue() {
	if c.place != nil {
		c.l.idle.Remove(c.place)
		c.place = nil
	}
}

// CloseIdle answers and ends each connection that has not said what it wants, but for what its socket holds by now: at a
// planned stop, whose end would cut them off with their words unread.
func (l *Loop) CloseIdle() {
	var all []*Conn
	for e := l.idle.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*Conn))
	}
	for _, c := range all {
		place := c.place
		c.ReadAvailable()
		if s, ok := c.h.(Evictable); ok && place != nil && c.place == place && !c.closed && !c.ending && !c.away {
			s.Evict()
		}
	}
}

// makeRoom has the oldest of those that wait go, until there are few enough connections.
func (l *Loop) makeRoom() {
	if l.most > 0 {
		l.EvictIdle(l.most)
	}
}

// EvictIdle has the oldest of those that wait go, until there are no more than open connections or none that waits. What they have
// said meanwhile is heard first: within OnData, p is overwritten when it returns.
func (l *Loop) EvictIdle(open int) {
	for e := l.idle.Front(); e != nil && l.open > open; {
		c := e.Value.(*Conn)
		if c.away || c.ending && len(c.out) > 0 { // another process may have it already; the rest of its answer goes out yet
			e = e.Next()
			continue
		}
		c.giveWay(e)
		e = l.idle.Front()
	}
}

// giveWay ends a connection that has not spoken. What it may have said meanwhile is read first: a client whose words
// have arrived must not go because the loop hasn't come to read them.
func (c *Conn) giveWay(place *list.Element) {
	c.ReadAvailable()
	if c.closed || c.place != place {
		return
	}
	if s, ok := c.h.(Evictable); ok && !c.ending {
		s.Evict()
		if len(c.out) > 0 { // the rest of its answer is written first
			return
		}
	}
	c.close()
}
