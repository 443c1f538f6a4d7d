package session

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spurwinch/choice"
)

const (
	testDomain = "d"
	keys       = 16
	users      = 3
)

// model is a reference implementation of Table: an unbounded list of sessions, least recently updated first.
type model []Session

// index returns the position of the session with the given key, or -1 if the model doesn't have it.
func (m model) index(key Key) int {
	return slices.IndexFunc(m, func(session Session) bool { return session.Key == key })
}

// forget removes a session.
func (m *model) forget(key Key) {
	if index := m.index(key); index >= 0 {
		*m = slices.Delete(*m, index, index+1)
	}
}

// connect adds a session as the most recently updated one.
func (m *model) connect(session Session) {
	m.forget(session.Key)
	*m = append(*m, session)
}

// disconnect sets the expiry of a connected session.
func (m *model) disconnect(now time.Time, key Key) {
	index := m.index(key)
	if index < 0 || !(*m)[index].connected() {
		return
	}
	session := (*m)[index]
	m.forget(key)
	session.Expires = now.Add(session.ResumeTime)
	*m = append(*m, session)
}

// trim removes from the model the sessions that the table has removed to stay within its capacity. It checks that the
// table removed sessions without a stream first.
func (m *model) trim(t *rapid.T, table *Table) {
	t.Helper()
	var held model
	for _, session := range *m {
		if table.byKey[session.Key] != nil {
			held = append(held, session)
			continue
		}
		if left := table.disconnected.Len(); session.connected() && left > 0 {
			t.Fatalf("table removed connected %+v: got %d sessions without a stream left, want 0", session, left)
		}
	}
	*m = held
}

// checkSizes checks that the table is within its capacity and that its lists and indices hold equally many sessions.
func checkSizes(t *rapid.T, table *Table, capacity int) {
	t.Helper()
	connected := table.connected.Len()
	disconnected := table.disconnected.Len()
	if table.Len() > capacity || connected+disconnected != table.Len() {
		t.Fatalf("Len: got %d, want at most %d and the sum of %d connected and %d disconnected",
			table.Len(), capacity, connected, disconnected)
	}
	byUser := 0
	for _, all := range table.byUser {
		byUser += len(all)
	}
	if byUser != table.Len() {
		t.Fatalf("index by user: got %d sessions, want %d", byUser, table.Len())
	}
}

// checkKeys compares the results of Find with the model.
func checkKeys(t *rapid.T, table *Table, want model, now time.Time) {
	t.Helper()
	for number := range keys {
		key := Key{testDomain, fmt.Sprint(number)}
		got, ok := table.Find(now, key)
		var last Session
		if index := want.index(key); index >= 0 {
			last = want[index]
		}
		if ok && (got != last || got.expired(now)) {
			t.Fatalf("Find: got %+v, want %+v unless it has expired", got, last)
		}
		if !ok && last.ID != "" && !last.expired(now) && len(want) <= table.capacity {
			t.Fatalf("Find: got no session, want %+v", last)
		}
	}
}

// checkUsers compares the results of FindByUser with the model.
func checkUsers(t *rapid.T, table *Table, want model, now time.Time) {
	t.Helper()
	for number := range users {
		user := fmt.Sprint("u", number)
		got, ok := table.FindByUser(now, testDomain, user)
		if !ok || len(want) > table.capacity {
			continue
		}
		if expected := want.expected(now, user); expected != got {
			t.Fatalf("FindByUser: got %+v, want %+v", got, expected)
		}
	}
}

// expected returns the user's most recently updated session without a stream or, if there is none, the most recently
// updated one with a stream.
func (m model) expected(now time.Time, user string) (expected Session) {
	for _, isConnected := range []bool{true, false} {
		for _, session := range m {
			if session.User == user && !session.expired(now) && session.connected() == isConnected {
				expected = session
			}
		}
	}
	return expected
}

// drawSession draws a session with one of the keys and users. Its server is named after the step.
func drawSession(t *rapid.T, step int) Session {
	number := rapid.IntRange(0, keys-1).Draw(t, "session")
	return Session{
		Key:        Key{testDomain, fmt.Sprint(number)},
		User:       fmt.Sprint("u", number%users),
		Server:     choice.ServerID(fmt.Sprint("h", step)),
		ResumeTime: time.Duration(rapid.IntRange(0, 60).Draw(t, "resume time")) * time.Second,
	}
}

// TestTable compares the table with a model over random histories in simulated time. The table never holds more
// sessions than its capacity, never finds a session that has expired or was forgotten, and finds the session of a user
// whose client is expected next.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
		table := New(capacity)
		now := time.Unix(1e9, 0)
		var want model
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "time step")) * time.Second)
			session := drawSession(t, step)
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				table.Connected(now, session)
				want.connect(session)
			case 2:
				table.Disconnected(now, session.Key)
				want.disconnect(now, session.Key)
			case 3:
				table.Forget(session.Key)
				want.forget(session.Key)
			}
			checkSizes(t, table, capacity)
			if len(want) > capacity {
				want.trim(t, table)
			}
			checkKeys(t, table, want, now)
			checkUsers(t, table, want, now)
		}
	})
}

// TestMergeKeepsNewerSessions checks the transfer of sessions to another process. The most recently updated sessions
// without a stream are transferred. Merge ignores invalid ones and keeps the sessions that its table already has,
// which are newer.
func TestMergeKeepsNewerSessions(t *testing.T) {
	now := time.Unix(1e9, 0)
	predecessor := New(10)
	successor := New(10)
	for number := range 5 {
		key := Key{testDomain, fmt.Sprint(number)}
		predecessor.Connected(now, Session{Key: key, User: "u", Server: "a", ResumeTime: time.Minute})
		if number > 0 {
			predecessor.Disconnected(now.Add(time.Duration(number)*time.Second), key)
		}
	}
	successor.Connected(now, Session{Key: Key{testDomain, "4"}, User: "u", Server: "b", ResumeTime: time.Minute})
	transferredAt := now.Add(9 * time.Second)
	transferred := append(predecessor.Resumable(transferredAt, 3),
		Session{Key: Key{testDomain, "x"}, Server: "a", Expires: now.Add(48 * time.Hour)},
		Session{Key: Key{testDomain, "y"}, Expires: now.Add(time.Hour)})
	successor.Merge(transferredAt, Predecessor, Update{Sessions: transferred})
	if session, _ := successor.Find(now, Key{testDomain, "4"}); session.Server != "b" {
		t.Error("Merge: got the table's newer session replaced or missing, want it kept")
	}
	for id, want := range map[string]bool{"0": false, "1": false, "2": true, "3": true, "x": false, "y": false} {
		if _, ok := successor.Find(now.Add(10*time.Second), Key{testDomain, id}); ok != want {
			t.Errorf("Find of session %s: got %v, want %v", id, ok, want)
		}
	}
	if _, ok := successor.Find(now.Add(2*time.Minute), Key{testDomain, "3"}); ok {
		t.Error("Find after the expiry: got a session, want none")
	}
}

// TestSessionExpiresAfterResumeTime checks the moments just before and at the expiry of a session.
func TestSessionExpiresAfterResumeTime(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := New(10)
	key := Key{testDomain, "0"}
	table.Connected(now, Session{Key: key, User: "u", Server: "a", ResumeTime: time.Minute})
	table.Disconnected(now, key)
	expires := now.Add(time.Minute)
	if _, ok := table.Find(expires.Add(-time.Nanosecond), key); !ok {
		t.Error("Find just before the expiry: got no session, want one")
	}
	if _, ok := table.Find(expires, key); ok {
		t.Error("Find at the expiry: got a session, want none")
	}
	if _, ok := table.FindByUser(expires, testDomain, "u"); ok {
		t.Error("FindByUser at the expiry: got a session, want none")
	}
}

// TestRequestedSessionIsExpectedNext guards against a device that is sent to the server of another device of its user
// again and again: the session that was asked for comes first, but only for some time and a few times.
func TestRequestedSessionIsExpectedNext(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := New(10)
	for _, id := range []string{"phone", "tablet", "laptop"} {
		table.Connected(now, Session{Key: Key{testDomain, id}, User: "u", Server: "a", ResumeTime: time.Minute})
	}
	requireExpected := func(at time.Time, want string) {
		t.Helper()
		if got, _ := table.FindByUser(at, testDomain, "u"); got.ID != want {
			t.Errorf("FindByUser %v after the start: got %s, want %s", at.Sub(now), got.ID, want)
		}
	}
	requireExpected(now, "laptop")
	table.Disconnected(now, Key{testDomain, "phone"})
	requireExpected(now, "phone")
	if !table.Request(now, Key{testDomain, "tablet"}) || !table.Request(now, Key{testDomain, "laptop"}) {
		t.Error("first Request of a session: got false, want true")
	}
	requireExpected(now, "tablet")
	table.Connected(now, Session{Key: Key{testDomain, "tablet"}, User: "u", Server: "a", ResumeTime: time.Minute})
	requireExpected(now, "laptop")
	requireExpected(now.Add(requestLifetime), "phone")
	for range maxRequests - 1 {
		table.Request(now, Key{testDomain, "laptop"})
	}
	if table.Request(now, Key{testDomain, "laptop"}) || table.Request(now, Key{testDomain, "unknown"}) {
		t.Error("Request that is too often, or of an unknown session: got true, want false")
	}
}

// TestMaxPerUserRemovesOldest checks that one session too many of a user removes the oldest session of that user and
// none of another user.
func TestMaxPerUserRemovesOldest(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := New(100)
	table.Connected(now, Session{Key: Key{testDomain, "other"}, User: "v", Server: "a"})
	for number := range maxPerUser + 1 {
		table.Connected(now, Session{Key: Key{testDomain, fmt.Sprint(number)}, User: "u", Server: "a"})
	}
	for id, want := range map[string]bool{"0": false, "1": true, fmt.Sprint(maxPerUser): true, "other": true} {
		if _, ok := table.Find(now, Key{testDomain, id}); ok != want {
			t.Errorf("Find of session %s: got %v, want %v", id, ok, want)
		}
	}
}

// TestCapacityRemovesOldest checks that the oldest session is removed when more sessions are connected than the table
// can hold.
func TestCapacityRemovesOldest(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := New(2)
	for _, id := range []string{"0", "1", "2"} {
		table.Connected(now, Session{Key: Key{testDomain, id}, Server: "a"})
	}
	for id, want := range map[string]bool{"0": false, "1": true, "2": true} {
		if _, ok := table.Find(now, Key{testDomain, id}); ok != want {
			t.Errorf("Find of session %s: got %v, want %v", id, ok, want)
		}
	}
}
