package session

import (
	"container/list"
	"slices"
	"time"
)

// maxPerUser is the maximum number of sessions of one user. A further session replaces the user's oldest one.
const maxPerUser = 8

// userKey identifies a user. User names are unique only within a domain.
type userKey struct{ domain, name string }

// Table holds sessions by key and by user, up to its capacity. The zero Table is not usable: use New.
type Table struct {
	capacity int
	byKey    map[Key]*list.Element
	byUser   map[userKey][]*list.Element // least recently updated first; excludes sessions of unknown users

	// Each element is in exactly one of the following lists of *Session, least recently updated first.

	connected    list.List
	disconnected list.List
}

// New creates a table for at most the given number of sessions. A capacity below 1 counts as 1.
func New(capacity int) *Table {
	return &Table{
		capacity: max(1, capacity),
		byKey:    map[Key]*list.Element{},
		byUser:   map[userKey][]*list.Element{},
	}
}

// Len returns the number of sessions held.
func (t *Table) Len() int { return len(t.byKey) }

// Connected records that a session was started or resumed at a server, where its stream is now connected.
func (t *Table) Connected(now time.Time, session Session) {
	t.remove(t.byKey[session.Key])
	session.ResumeTime = min(max(session.ResumeTime, 0), MaxResumeTime)
	session.Expires = time.Time{}
	t.insert(session)
	t.trim(now)
}

// Disconnected records that a session's stream has ended. The session can be resumed for its ResumeTime from now on.
func (t *Table) Disconnected(now time.Time, key Key) {
	element := t.byKey[key]
	if element == nil {
		return
	}
	session := *sessionOf(element)
	if !session.connected() {
		return
	}
	t.remove(element)
	session.Expires = now.Add(session.ResumeTime)
	t.insert(session)
	t.trim(now)
}

// Forget removes a session that its client or server has ended.
func (t *Table) Forget(key Key) { t.remove(t.byKey[key]) }

// Find returns the session of a key, if it can be resumed.
func (t *Table) Find(now time.Time, key Key) (Session, bool) { return resumable(now, t.byKey[key]) }

// FindByUser returns a user's most recently updated session that can be resumed.
func (t *Table) FindByUser(now time.Time, domain, user string) (Session, bool) {
	for _, element := range slices.Backward(t.byUser[userKey{domain, user}]) {
		if session, ok := resumable(now, element); ok {
			return session, true
		}
	}
	return Session{}, false
}

// Resumable returns at most limit sessions that have no stream and can be resumed, most recently updated first. They
// must be transferred to another process on their own, since no transferred connection tells that process of them.
func (t *Table) Resumable(now time.Time, limit int) (all []Session) {
	for element := t.disconnected.Back(); element != nil && len(all) < limit; element = element.Prev() {
		session := *sessionOf(element)
		if !session.expired(now) {
			session.TimeLeft = session.Expires.Sub(now)
			all = append(all, session)
		}
	}
	return all
}

// Import adds sessions without a stream that another process held, given most recently updated first. If this table
// already has a session of the same key, it keeps its own, which is newer.
func (t *Table) Import(now time.Time, all []Session) {
	for _, session := range slices.Backward(all) {
		if session.TimeLeft > 0 {
			session.Expires = now.Add(session.TimeLeft)
			session.TimeLeft = 0
		}
		if session.valid(now) && t.byKey[session.Key] == nil {
			t.insert(session)
		}
	}
	t.trim(now)
}

// insert adds a session whose key is not in the table.
func (t *Table) insert(session Session) {
	element := t.listOf(&session).PushBack(&session)
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
	session := sessionOf(element)
	t.listOf(session).Remove(element)
	delete(t.byKey, session.Key)
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
		if !sessionOf(element).expired(now) && len(t.byKey) <= t.capacity {
			break
		}
		t.remove(element)
	}
	for len(t.byKey) > t.capacity {
		t.remove(t.connected.Front())
	}
}

// listOf returns the list for the state of a session.
func (t *Table) listOf(session *Session) *list.List {
	if session.connected() {
		return &t.connected
	}
	return &t.disconnected
}

// sessionOf returns the session of an element.
func sessionOf(element *list.Element) *Session {
	session, _ := element.Value.(*Session) // the lists contain only *Session values
	return session
}

// resumable returns the session of an element, if it can be resumed. The element may be nil.
func resumable(now time.Time, element *list.Element) (Session, bool) {
	if element == nil {
		return Session{}, false
	}
	session := sessionOf(element)
	return *session, !session.expired(now)
}
