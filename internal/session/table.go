package session

import (
	"container/list"
	"slices"
	"time"
)

// maxPerUser is the maximum number of sessions of one user. A further session replaces the user's oldest one.
const maxPerUser = 8

const (
	// maxRequests limits how often a client is asked to connect again for one session. It is more than 1 because the
	// user's other devices may connect in between.
	maxRequests = 3
	// requestLifetime is the time within which a client that was asked to connect again is expected.
	requestLifetime = 30 * time.Second
)

// userKey identifies a user. User names are unique only within a domain.
type userKey struct{ domain, name string }

// entry is a session of the table.
type entry struct {
	Session
	process Process // the process that has the connected stream; without meaning if there is none
	updated uint64  // number of the table's update that inserted the entry

	requests      int       // calls of Request since then
	requestedAt   time.Time // of the last of them
	requestNumber uint64    // orders the requests of all sessions
}

// requested reports whether the session's client was asked to connect again to resume it, and is still expected.
func (e *entry) requested(now time.Time) bool {
	return e.requests > 0 && now.Before(e.requestedAt.Add(requestLifetime))
}

// expectedBefore reports whether the client of this session, rather than that of another session of the same user, is
// expected to connect next. Clients that were asked to connect again are expected first, in that order, then those
// without a stream.
func (e *entry) expectedBefore(now time.Time, other *entry) bool {
	switch requested := e.requested(now); {
	case requested != other.requested(now):
		return requested
	case requested:
		return e.requestNumber < other.requestNumber
	case e.connected() != other.connected():
		return !e.connected()
	}
	return e.updated > other.updated
}

// connectedIn reports whether the given process has the session's connected stream.
func (e *entry) connectedIn(process Process) bool { return e.connected() && e.process == process }

// connectedOutside reports whether a process other than the given one has the session's connected stream.
func (e *entry) connectedOutside(process Process) bool { return e.connected() && e.process != process }

// Table holds sessions by key and by user, up to its capacity. The zero Table is not usable: use New.
type Table struct {
	// OnChange is called when there are changes for another process that tracks the table. It must not use the table.
	OnChange func()

	capacity int
	byKey    map[Key]*list.Element
	byUser   map[userKey][]*list.Element // least recently updated first; excludes sessions of unknown users
	updates  uint64                      // number of updates so far
	requests uint64                      // number of requests so far

	// Each element is in exactly one of the following lists of *entry, least recently updated first.

	connected    list.List
	disconnected list.List

	changes        map[Process]*changeLog // by the process that they are for; only processes that track the table
	droppedChanges int
}

// New creates a table for at most the given number of sessions. A capacity below 1 counts as 1.
func New(capacity int) *Table {
	return &Table{
		capacity: max(1, capacity),
		byKey:    map[Key]*list.Element{},
		byUser:   map[userKey][]*list.Element{},
		changes:  map[Process]*changeLog{},
	}
}

// Len returns the number of sessions held.
func (t *Table) Len() int { return len(t.byKey) }

// Connected records that a session was started or resumed at a server, where its stream is now connected.
func (t *Table) Connected(now time.Time, session Session) { t.connect(now, session, ThisProcess) }

// Adopted records that the predecessor has transferred the stream of a session to this process. The transfer is no
// update of the session: it keeps its place among the user's sessions, if the table has it.
func (t *Table) Adopted(now time.Time, session Session) {
	element := t.byKey[session.Key]
	if element == nil || !entryOf(element).connectedIn(Predecessor) {
		t.connect(now, session, Predecessor)
		return
	}
	entryOf(element).process = ThisProcess
	t.recordChange(session.Key, Predecessor)
}

// connect records that a session's stream is connected in this process. The process that the change came from is not
// sent it.
func (t *Table) connect(now time.Time, session Session, from Process) {
	session.ResumeTime = min(max(session.ResumeTime, 0), MaxResumeTime)
	session.Expires = time.Time{}
	session.TimeLeft = 0
	t.replace(entry{Session: session, process: ThisProcess})
	t.recordChange(session.Key, from)
	t.trim(now)
}

// Transferred records that the successor has taken over the stream of a session.
func (t *Table) Transferred(key Key) {
	element := t.byKey[key]
	if element == nil || !entryOf(element).connectedIn(ThisProcess) {
		return
	}
	entryOf(element).process = Successor
	if log := t.changes[Successor]; log != nil {
		log.remove(key) // the successor has received the session with its stream
	}
}

// Disconnected records that a session's stream in this process has ended. The session can be resumed for its ResumeTime
// from now on.
func (t *Table) Disconnected(now time.Time, key Key) {
	element := t.byKey[key]
	if element == nil || !entryOf(element).connectedIn(ThisProcess) {
		return
	}
	t.disconnect(now, entryOf(element).Session, ThisProcess)
	t.trim(now)
}

// disconnect records that a session's stream in the given process has ended.
func (t *Table) disconnect(now time.Time, session Session, process Process) {
	session.Expires = now.Add(session.ResumeTime)
	t.replace(entry{Session: session, process: process})
	t.recordChange(session.Key, process)
}

// Forget removes a session that its client or server has ended.
func (t *Table) Forget(key Key) { t.end(key, ThisProcess) }

// end removes a session that has ended. The process that the change came from is not sent it.
func (t *Table) end(key Key, from Process) {
	if element := t.byKey[key]; element != nil {
		t.remove(element)
		t.recordChange(key, from)
	}
}

// Discard removes a session that this process can't place at its server. Another process may still be able to.
func (t *Table) Discard(key Key) { t.remove(t.byKey[key]) }

// Find returns the session of a key, if it can be resumed.
func (t *Table) Find(now time.Time, key Key) (Session, bool) { return resumable(now, t.byKey[key]) }

// FindByUser returns the session of a user whose client is expected to connect next, if any can be resumed. Of sessions
// about which nothing else is known, it is the most recently updated one.
func (t *Table) FindByUser(now time.Time, domain, user string) (Session, bool) {
	var expected *entry
	for _, element := range t.byUser[userKey{domain, user}] {
		candidate := entryOf(element)
		if candidate.expired(now) {
			continue
		}
		if expected == nil || candidate.expectedBefore(now, expected) {
			expected = candidate
		}
	}
	if expected == nil {
		return Session{}, false
	}
	return expected.Session, true
}

// Request records that the client of a session is asked to connect again, because it has asked a server for the session
// that doesn't have it. FindByUser then returns the session for requestLifetime. Request returns false if this has
// happened too often since the last update of the session.
func (t *Table) Request(now time.Time, key Key) bool {
	element := t.byKey[key]
	if element == nil || entryOf(element).requests >= maxRequests {
		return false
	}
	t.requests++
	requested := entryOf(element)
	requested.requests++
	requested.requestedAt = now
	requested.requestNumber = t.requests
	return true
}

// Resumable returns at most limit sessions that have no stream and can be resumed, most recently updated first. They
// must be transferred to another process on their own, since no transferred connection tells that process of them.
func (t *Table) Resumable(now time.Time, limit int) (all []Session) {
	for element := t.disconnected.Back(); element != nil && len(all) < limit; element = element.Prev() {
		session := entryOf(element).Session
		if !session.expired(now) {
			session.TimeLeft = session.resumableFor(now)
			all = append(all, session)
		}
	}
	return all
}

// replace adds a session in place of the table's entry for its key, if there is one.
func (t *Table) replace(session entry) {
	t.remove(t.byKey[session.Key])
	t.insert(&session)
}

// insert adds a session whose key is not in the table.
func (t *Table) insert(session *entry) {
	t.updates++
	session.updated = t.updates
	element := t.listOf(session).PushBack(session)
	t.byKey[session.Key] = element
	if session.User == "" {
		return
	}
	user := session.user()
	t.byUser[user] = append(t.byUser[user], element)
	if all := t.byUser[user]; len(all) > maxPerUser {
		t.remove(all[0])
	}
}

// remove removes an element from the table. The element may be nil.
func (t *Table) remove(element *list.Element) {
	if element == nil {
		return
	}
	session := entryOf(element)
	t.listOf(session).Remove(element)
	delete(t.byKey, session.Key)
	for _, log := range t.changes {
		log.remove(session.Key)
	}
	if session.User == "" {
		return
	}
	user := session.user()
	all := t.byUser[user]
	if index := slices.Index(all, element); index >= 0 {
		all = append(all[:index:index], all[index+1:]...)
	}
	if len(all) == 0 {
		delete(t.byUser, user)
	} else {
		t.byUser[user] = all
	}
}

// trim removes expired sessions. While the table exceeds its capacity, it also removes the oldest sessions without a
// stream, and then the oldest connected ones. Expired sessions that follow an unexpired one in the list may stay until
// the table exceeds its capacity; Find and FindByUser don't return them.
func (t *Table) trim(now time.Time) {
	for element := t.disconnected.Front(); element != nil; element = t.disconnected.Front() {
		if !entryOf(element).expired(now) && len(t.byKey) <= t.capacity {
			break
		}
		t.remove(element)
	}
	for len(t.byKey) > t.capacity {
		t.remove(t.connected.Front())
	}
}

// listOf returns the list for the state of a session.
func (t *Table) listOf(session *entry) *list.List {
	if session.connected() {
		return &t.connected
	}
	return &t.disconnected
}

// entryOf returns the entry of an element.
func entryOf(element *list.Element) *entry {
	session, _ := element.Value.(*entry) // the lists contain only *entry values
	return session
}

// resumable returns the session of an element, if it can be resumed. The element may be nil.
func resumable(now time.Time, element *list.Element) (Session, bool) {
	if element == nil {
		return Session{}, false
	}
	session := entryOf(element).Session
	return session, !session.expired(now)
}
