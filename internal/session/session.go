// Package session keeps what outlives a connection: at which host a session lives that its client may resume. It knows no
// wire and does no I/O; time is a value. The table is bounded, and what it holds ages.
package session

import (
	"container/list"
	"time"

	"spurwinch/choice"
)

const (
	mostOfUser = 8              // sessions of one user that are kept, the oldest goes
	MostMax    = 24 * time.Hour // a longer time to resume counts as this
	DefaultMax = 5 * time.Minute
)

// Key names a session: ids are unique within a domain only.
type Key struct {
	Domain string `cbor:"Domain"`
	ID     string `cbor:"ID"`
}

// Session is one that can be resumed.
type Session struct {
	Key
	User    string          `cbor:"User"` // empty: not known
	Host    choice.ServerID `cbor:"Host"`
	Started time.Duration   `cbor:"Started"` // of the host's process, as the list told it: another one knows nothing of the session
	Max     time.Duration   `cbor:"Max"`     // how long the host keeps it once its stream is gone
	Until   time.Time       `cbor:"Until"`   // zero: its stream stands
	Left    time.Duration   `cbor:"Left"`    // until then, as it is told to another process, whose clock may differ; 0: a release that tells Until only
}

// Table holds sessions, most recent last. The zero Table holds none: use New.
type Table struct {
	most  int
	by    map[Key]*list.Element
	users map[Key]([]*list.Element) // Key.ID is the user; oldest first
	// Of *Session, by their last news.
	standing list.List
	broken   list.List
}

// New makes a table for so many sessions at most.
func New(most int) *Table {
	return &Table{most: max(1, most), by: map[Key]*list.Element{}, users: map[Key][]*list.Element{}}
}

// Len counts the sessions held.
func (t *Table) Len() int { return len(t.by) }

// Stands notes that a session's stream stands at a host: it began there, or was resumed there.
func (t *Table) Stands(now time.Time, s Session) {
	t.forget(t.by[s.Key])
	s.Max, s.Until = min(max(s.Max, 0), MostMax), time.Time{}
	t.put(s)
	t.trim(now)
}

func (t *Table) put(s Session) {
	e := t.listOf(&s).PushBack(&s)
	t.by[s.Key] = e
	if s.User == "" {
		return
	}
	u := Key{s.Domain, s.User}
	t.users[u] = append(t.users[u], e)
	if all := t.users[u]; len(all) > mostOfUser {
		t.forget(all[0])
	}
}

// Broke notes that a session's stream is gone. It can be resumed for a while from now on.
func (t *Table) Broke(now time.Time, k Key) {
	e := t.by[k]
	if e == nil || !e.Value.(*Session).Until.IsZero() {
		return
	}
	s := *e.Value.(*Session)
	t.forget(e)
	s.Until = now.Add(s.Max)
	t.put(s)
	t.trim(now)
}

// Forget takes a session out that its client or host has ended.
func (t *Table) Forget(k Key) { t.forget(t.by[k]) }

func (t *Table) forget(e *list.Element) {
	if e == nil {
		return
	}
	s := e.Value.(*Session)
	t.listOf(s).Remove(e)
	delete(t.by, s.Key)
	if s.User == "" {
		return
	}
	u := Key{s.Domain, s.User}
	all := t.users[u]
	for i, o := range all {
		if o == e {
			all = append(all[:i:i], all[i+1:]...)
			break
		}
	}
	if t.users[u] = all; len(all) == 0 {
		delete(t.users, u)
	}
}

func (t *Table) listOf(s *Session) *list.List {
	if s.Until.IsZero() {
		return &t.standing
	}
	return &t.broken
}

// trim takes out what has aged, and for room those without a stream first, the oldest of each. What has aged behind one that
// has not goes when it is asked for, or for room.
func (t *Table) trim(now time.Time) {
	for e := t.broken.Front(); e != nil && (e.Value.(*Session).old(now) || len(t.by) > t.most); e = t.broken.Front() {
		t.forget(e)
	}
	for len(t.by) > t.most {
		t.forget(t.standing.Front())
	}
}

func (s *Session) old(now time.Time) bool { return !s.Until.IsZero() && !now.Before(s.Until) }

// Find is the session of a key, while it can be resumed.
func (t *Table) Find(now time.Time, k Key) (Session, bool) { return t.valid(now, t.by[k]) }

// Of is the session of a user that was heard of last, while it can be resumed.
func (t *Table) Of(now time.Time, domain, user string) (Session, bool) {
	all := t.users[Key{domain, user}]
	for i := len(all) - 1; i >= 0; i-- {
		if s, ok := t.valid(now, all[i]); ok {
			return s, true
		}
	}
	return Session{}, false
}

func (t *Table) valid(now time.Time, e *list.Element) (Session, bool) {
	if e == nil {
		return Session{}, false
	}
	s := e.Value.(*Session)
	return *s, !s.old(now)
}

// Broken are up to most of the sessions without a stream, those heard of last first: what another process can't learn from
// the connections that it takes over.
func (t *Table) Broken(now time.Time, most int) (all []Session) {
	for e := t.broken.Back(); e != nil && len(all) < most; e = e.Prev() {
		if s := e.Value.(*Session); !s.old(now) {
			told := *s
			told.Left = s.Until.Sub(now)
			all = append(all, told)
		}
	}
	return all
}

// Inherit takes in sessions without a stream that another process knew of, newest first, where this one knows nothing of them.
func (t *Table) Inherit(now time.Time, all []Session) {
	for i := len(all) - 1; i >= 0; i-- {
		s := all[i]
		if s.Left > 0 {
			s.Until, s.Left = now.Add(s.Left), 0
		}
		if s.ID == "" || s.Host == "" || s.Until.IsZero() || s.old(now) || s.Until.Sub(now) > MostMax || t.by[s.Key] != nil {
			continue
		}
		t.put(s)
	}
	t.trim(now)
}
