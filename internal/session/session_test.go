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

// model is a plain list of sessions without a bound, by their last update, the oldest first.
type model []Session

// index is where a key's session stands; -1: the model doesn't have it.
func (m model) index(key Key) int {
	return slices.IndexFunc(m, func(session Session) bool { return session.Key == key })
}

// forget removes a session.
func (m *model) forget(key Key) {
	if index := m.index(key); index >= 0 {
		*m = slices.Delete(*m, index, index+1)
	}
}

// connect adds a session as the last.
func (m *model) connect(session Session) {
	m.forget(session.Key)
	*m = append(*m, session)
}

// disconnect has a session that is connected expire.
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

// trim removes what the table has dropped for capacity: sessions without a stream go first.
func (m *model) trim(t *rapid.T, table *Table) {
	t.Helper()
	var held model
	for _, session := range *m {
		if table.byKey[session.Key] != nil {
			held = append(held, session)
			continue
		}
		if left := table.disconnected.Len(); session.connected() && left > 0 {
			t.Fatalf("%+v was dropped for capacity, %d without a stream stay", session, left)
		}
	}
	*m = held
}

// checkSizes checks the table's bound, and that its lists and indices hold the same sessions.
func checkSizes(t *rapid.T, table *Table, capacity int) {
	t.Helper()
	connected := table.connected.Len()
	disconnected := table.disconnected.Len()
	if table.Len() > capacity || connected+disconnected != table.Len() {
		t.Fatalf("%d sessions in a table for %d, %d connected, %d disconnected",
			table.Len(), capacity, connected, disconnected)
	}
	byUser := 0
	for _, all := range table.byUser {
		byUser += len(all)
	}
	if byUser != table.Len() {
		t.Fatalf("%d sessions by user, %d in all", byUser, table.Len())
	}
}

// checkKeys checks what the table finds by key.
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
			t.Fatalf("found %+v, the last update is %+v", got, last)
		}
		if !ok && last.ID != "" && !last.expired(now) && len(want) <= table.capacity {
			t.Fatalf("%+v is not found", last)
		}
	}
}

// checkUsers checks what the table finds by user.
func checkUsers(t *rapid.T, table *Table, want model, now time.Time) {
	t.Helper()
	for number := range users {
		user := fmt.Sprint("u", number)
		got, ok := table.FindByUser(now, testDomain, user)
		if !ok || len(want) > table.capacity {
			continue
		}
		for _, last := range slices.Backward(want) {
			if last.User != user || last.expired(now) {
				continue
			}
			if last != got {
				t.Fatalf("found %+v of the user, the last update is %+v", got, last)
			}
			break
		}
	}
}

// drawSession draws a session of one of the keys and users; the step names its server.
func drawSession(t *rapid.T, step int) Session {
	number := rapid.IntRange(0, keys-1).Draw(t, "session")
	return Session{
		Key:        Key{testDomain, fmt.Sprint(number)},
		User:       fmt.Sprint("u", number%users),
		Server:     choice.ServerID(fmt.Sprint("h", step)),
		ResumeTime: time.Duration(rapid.IntRange(0, 60).Draw(t, "max")) * time.Second,
	}
}

// TestTable compares the table with a model over random histories in simulated time: it never holds more than its
// capacity, finds nothing that has expired or was forgotten, and of a user the session that was updated last.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
		table := New(capacity)
		now := time.Unix(1e9, 0)
		var want model
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "later")) * time.Second)
			session := drawSession(t, step)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
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

// TestInherit has another process take over: sessions without a stream are transferred, those updated last first; what
// the table itself knows is newer and stays.
func TestInherit(t *testing.T) {
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
	successor.Import(transferredAt, transferred)
	if session, _ := successor.Find(now, Key{testDomain, "4"}); session.Server != "b" {
		t.Error("a newer session was overwritten")
	}
	for id, want := range map[string]bool{"0": false, "1": false, "2": true, "3": true, "x": false, "y": false} {
		if _, ok := successor.Find(now.Add(10*time.Second), Key{testDomain, id}); ok != want {
			t.Errorf("session %s: found %v, want %v", id, ok, want)
		}
	}
	if _, ok := successor.Find(now.Add(2*time.Minute), Key{testDomain, "3"}); ok {
		t.Error("an expired session is found")
	}
}

// TestExpiry checks both sides of the moment in which a session expires.
func TestExpiry(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := New(10)
	key := Key{testDomain, "0"}
	table.Connected(now, Session{Key: key, User: "u", Server: "a", ResumeTime: time.Minute})
	table.Disconnected(now, key)
	expires := now.Add(time.Minute)
	if _, ok := table.Find(expires.Add(-time.Nanosecond), key); !ok {
		t.Error("expired too early")
	}
	if _, ok := table.Find(expires, key); ok {
		t.Error("found after it has expired")
	}
	if _, ok := table.FindByUser(expires, testDomain, "u"); ok {
		t.Error("found by user after it has expired")
	}
}

// TestMaxPerUser has one user begin one session too many: the oldest goes, and no other user's.
func TestMaxPerUser(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := New(100)
	table.Connected(now, Session{Key: Key{testDomain, "other"}, User: "v", Server: "a"})
	for number := range maxPerUser + 1 {
		table.Connected(now, Session{Key: Key{testDomain, fmt.Sprint(number)}, User: "u", Server: "a"})
	}
	for id, want := range map[string]bool{"0": false, "1": true, fmt.Sprint(maxPerUser): true, "other": true} {
		if _, ok := table.Find(now, Key{testDomain, id}); ok != want {
			t.Errorf("session %s: found %v, want %v", id, ok, want)
		}
	}
}

// TestCapacityDropsOldest has more sessions connected than the table holds: the oldest goes.
func TestCapacityDropsOldest(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := New(2)
	for _, id := range []string{"0", "1", "2"} {
		table.Connected(now, Session{Key: Key{testDomain, id}, Server: "a"})
	}
	for id, want := range map[string]bool{"0": false, "1": true, "2": true} {
		if _, ok := table.Find(now, Key{testDomain, id}); ok != want {
			t.Errorf("session %s: found %v, want %v", id, ok, want)
		}
	}
}
