package session

import (
	"container/list"
	"slices"
	"time"
)

// While a node has two processes, each may get the clients of the other one, so both must know which server holds each
// session. A process that tracks the changes of its table for another process first gets every session as a change,
// then each further one.

const (
	// maxChangesFactor limits the pending changes to this multiple of the table's capacity: each session that the table
	// holds, and as many that have ended.
	maxChangesFactor = 2
	// changeOverhead is the approximate encoded size of a change in bytes, without its names.
	changeOverhead = 80
)

// Update is a set of changes of one process's table, for the table of another process.
type Update struct {
	// Sessions can be resumed, the most recently updated first. TimeLeft is how long, if the stream ended now.
	Sessions []Session
	// Connected has the indices of those Sessions that have a connected stream.
	Connected []int
	// Ended has the sessions that their clients or servers have ended.
	Ended []Key
}

// ConnectedKeys returns the keys of the sessions that have a connected stream. Invalid indices are ignored.
func (u Update) ConnectedKeys() (keys []Key) {
	for _, index := range u.Connected {
		if index >= 0 && index < len(u.Sessions) {
			keys = append(keys, u.Sessions[index].Key)
		}
	}
	return keys
}

// changeLog holds the keys of the changes that another process has not been sent yet, oldest first.
type changeLog struct {
	order list.List // of Key
	byKey map[Key]*list.Element
}

// add appends a key, or moves it to the end.
func (c *changeLog) add(key Key) {
	if element := c.byKey[key]; element != nil {
		c.order.MoveToBack(element)
		return
	}
	c.byKey[key] = c.order.PushBack(key)
}

// remove removes a key, if the log has it.
func (c *changeLog) remove(key Key) {
	if element := c.byKey[key]; element != nil {
		c.order.Remove(element)
		delete(c.byKey, key)
	}
}

// next returns the oldest key.
func (c *changeLog) next() (key Key, ok bool) {
	element := c.order.Front()
	if element == nil {
		return Key{}, false
	}
	return element.Value.(Key), true //nolint:forcetypeassert // the list contains only keys
}

// Track makes the table record its changes for another process. At first every session counts as changed, in the order
// of the updates.
func (t *Table) Track(process Process) {
	log := &changeLog{byKey: map[Key]*list.Element{}}
	t.changes[process] = log
	connected := t.connected.Front()
	disconnected := t.disconnected.Front()
	for connected != nil || disconnected != nil {
		next := &connected
		if connected == nil || disconnected != nil && entryOf(disconnected).updated < entryOf(connected).updated {
			next = &disconnected
		}
		if session := entryOf(*next); !session.connectedIn(process) {
			log.add(session.Key)
		}
		*next = (*next).Next()
	}
	t.reportChange()
}

// Untrack ends what Track has begun. The other process's connections have ended with it, so the sessions that had a
// stream there can be resumed from now on.
func (t *Table) Untrack(now time.Time, process Process) {
	delete(t.changes, process)
	for element := t.connected.Front(); element != nil; {
		session := entryOf(element)
		element = element.Next()
		if session.process == process {
			t.disconnect(now, session.Session, process)
		}
	}
	t.trim(now)
}

// HasChanges reports whether there are changes that another process has not been sent yet.
func (t *Table) HasChanges(process Process) bool {
	log := t.changes[process]
	return log != nil && log.order.Len() > 0
}

// NextChanges removes the oldest changes for another process from its log and returns them. Their encoded size is about
// maxBytes at most, but there is at least one.
func (t *Table) NextChanges(now time.Time, process Process, maxBytes int) (update Update) {
	log := t.changes[process]
	if log == nil {
		return update
	}
	for size := 0; size < maxBytes; {
		key, ok := log.next()
		if !ok {
			break
		}
		log.remove(key)
		size += changeOverhead + len(key.Domain) + len(key.ID)
		element := t.byKey[key]
		if element == nil {
			update.Ended = append(update.Ended, key)
			continue
		}
		session := entryOf(element).Session
		size += len(session.User) + len(session.Server)
		if session.TimeLeft = session.resumableFor(now); session.TimeLeft > 0 {
			update.Sessions = append(update.Sessions, session)
		}
	}
	slices.Reverse(update.Sessions)
	for index := range update.Sessions {
		if update.Sessions[index].connected() {
			update.Connected = append(update.Connected, index)
		}
	}
	return update
}

// Merge applies the changes of another process's table. If a session has a newer stream in the other process, the
// caller must end its connection in this one: see Update.ConnectedKeys.
func (t *Table) Merge(now time.Time, from Process, update Update) {
	connected := map[int]bool{}
	for _, index := range update.Connected {
		connected[index] = true
	}
	for index, session := range slices.Backward(update.Sessions) {
		session.Expires = session.expiry(now)
		if !session.valid(now) {
			continue
		}
		if connected[index] {
			session.ResumeTime = min(max(session.ResumeTime, 0), MaxResumeTime)
			session.Expires = time.Time{}
		}
		t.mergeSession(from, session)
	}
	for _, key := range update.Ended {
		if element := t.byKey[key]; element != nil && !entryOf(element).connectedOutside(from) {
			t.end(key, from)
		}
	}
	t.trim(now)
}

// mergeSession adds a session of another process. If it has no stream there, an entry of this table is kept if its
// session has a stream in any further process or can be resumed for longer.
func (t *Table) mergeSession(from Process, session Session) {
	session.TimeLeft = 0
	if element := t.byKey[session.Key]; element != nil && !session.connected() {
		own := entryOf(element)
		if own.connectedOutside(from) || !own.connected() && own.Expires.After(session.Expires) {
			return
		}
	}
	t.replace(entry{Session: session, process: from})
	t.recordChange(session.Key, from)
}

// recordChange records a change for all tracking processes but the one that it came from.
func (t *Table) recordChange(key Key, from Process) {
	for process, log := range t.changes {
		if process == from {
			continue
		}
		log.add(key)
		if log.order.Len() > maxChangesFactor*t.capacity {
			oldest, _ := log.next() // exists, since a key was just added
			log.remove(oldest)
			t.droppedChanges++
		}
	}
	t.reportChange()
}

// reportChange tells the owner of the table that another process has to be sent changes.
func (t *Table) reportChange() {
	if len(t.changes) > 0 && t.OnChange != nil {
		t.OnChange()
	}
}

// DroppedChanges returns how many changes were dropped because another process did not receive them in time.
func (t *Table) DroppedChanges() int { return t.droppedChanges }
