package session

import (
	"container/list"
	"slices"
	"time"
)

// maxPerUser bounds the sessions of one user; the oldest is dropped for another.
const maxPerUser = 8

// userKey names a user: names are unique within a domain only.
type userKey struct{ domain, name string }

// Table holds sessions, each once. It is no longer than its capacity. The zero Table is not usable: use New.
type Table struct {
	capacity int
	byKey    map[Key]*list.Element
	byUser   map[userKey][]*list.Element // the one updated last is last; sessions without a known user are not in it

	// Each element is in one of these lists of *Session; the one updated last is last.

	connected    list.List
	disconnected list.List
}

// New makes a table for so many sessions at most, one at the least.
func New(capacity int) *Table {
	return &Table{
		capacity: max(1, capacity),
		byKey:    map[Key]*list.Element{},
		byUser:   map[userKey][]*list.Element{},
	}
}

// Len returns the number of sessions held.
func (t *Table) Len() int { return len(t.byKey) }

// Connected records that a session's stream is connected to a server: the session began there, or was resumed there.
func (t *Table) Connected(now time.Time, session Session) {
	t.remove(t.byKey[session.Key])
	session.ResumeTime = min(max(session.ResumeTime, 0), MaxResumeTime)
	session.Expires = time.Time{}
	t.insert(session)
	t.trim(now)
}

// Disconnected records that a session's stream is gone. The session can be resumed for its ResumeTime from now on.
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

// Find returns the session of a key, while it can be resumed.
func (t *Table) Find(now time.Time, key Key) (Session, bool) { return resumable(now, t.byKey[key]) }

// FindByUser returns the session of a user that was updated last, while it can be resumed.
func (t *Table) FindByUser(now time.Time, domain, user string) (Session, bool) {
	for _, element := range slices.Backward(t.byUser[userKey{domain, user}]) {
		if session, ok := resumable(now, element); ok {
			return session, true
		}
	}
	return Session{}, false
}

// Resumable returns the sessions without a stream, up to a number of them, those updated last first: another process
// can't learn of them from the connections that are transferred to it.
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

// Import adds sessions without a stream that another process held, those updated last first. What this table has of
// one is newer and stays.
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

// insert adds a session that the table doesn't hold.
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

// remove takes an element out, which may be nil.
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

// trim removes expired sessions, and for capacity first those without a stream, the oldest of each. Expired sessions
// behind one that has not expired stay until there is no capacity; they are not found.
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

// listOf returns the list that a session belongs to.
func (t *Table) listOf(session *Session) *list.List {
	if session.connected() {
		return &t.connected
	}
	return &t.disconnected
}

// sessionOf returns an element's session.
func sessionOf(element *list.Element) *Session {
	session, _ := element.Value.(*Session) // the lists hold nothing else
	return session
}

// resumable returns an element's session, while it can be resumed. The element may be nil.
func resumable(now time.Time, element *list.Element) (Session, bool) {
	if element == nil {
		return Session{}, false
	}
	session := sessionOf(element)
	return *session, !session.expired(now)
}
