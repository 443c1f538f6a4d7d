package session

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spurwinch/choice"
)

// pair is the tables of two processes of a node. Each change of one table reaches the other one at once.
type pair struct {
	old, successor *Table
	now            time.Time
}

// deliver passes all changes on, in both directions, in small messages.
func (p *pair) deliver() {
	const messageBytes = 200
	for p.old.HasChanges(Successor) {
		p.successor.Merge(p.now, Predecessor, p.old.NextChanges(p.now, Successor, messageBytes))
	}
	for p.successor.HasChanges(Predecessor) {
		p.old.Merge(p.now, Successor, p.successor.NextChanges(p.now, Predecessor, messageBytes))
	}
}

// step changes one of the tables, or moves the connection of a session from the old process to its successor.
func (p *pair) step(t *rapid.T) {
	p.now = p.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "time step")) * time.Second)
	number := rapid.IntRange(0, keys-1).Draw(t, "session")
	session := Session{
		Key:        Key{testDomain, fmt.Sprint(number)},
		User:       fmt.Sprint("u", number%users),
		Server:     choice.ServerID(fmt.Sprint("h", number)),
		ResumeTime: time.Duration(rapid.IntRange(1, 60).Draw(t, "resume time")) * time.Second,
	}
	table := p.old
	if rapid.Bool().Draw(t, "in the successor") {
		table = p.successor
	}
	switch rapid.IntRange(0, 4).Draw(t, "operation") {
	case 0, 1:
		table.Connected(p.now, session)
	case 2:
		table.Disconnected(p.now, session.Key)
	case 3:
		if element := table.byKey[session.Key]; element != nil && !entryOf(element).connectedOutside(ThisProcess) {
			table.Forget(session.Key) // only the process with the stream learns that the session has ended
		}
	case 4:
		p.transfer(session.Key)
	}
}

// transfer moves the connection of a session to the successor, if the old process has it.
func (p *pair) transfer(key Key) {
	element := p.old.byKey[key]
	if p.old.changes[Successor] == nil || element == nil || !entryOf(element).connectedIn(ThisProcess) {
		return
	}
	session := entryOf(element).Session
	p.old.Transferred(key)
	p.successor.Adopted(p.now, session)
}

// check checks that both processes would send each client to the same server.
func (p *pair) check(t *rapid.T) {
	t.Helper()
	for number := range keys {
		key := Key{testDomain, fmt.Sprint(number)}
		want, known := p.old.Find(p.now, key)
		got, ok := p.successor.Find(p.now, key)
		if ok != known || known && got != want {
			t.Fatalf("Find(%v) in the successor: got %+v, %v, want %+v, %v as in the old process",
				key, got, ok, want, known)
		}
		if known && want.connected() && entryOf(p.old.byKey[key]).connectedIn(ThisProcess) ==
			entryOf(p.successor.byKey[key]).connectedIn(ThisProcess) {
			t.Fatalf("stream of %v: got it in both processes or in none, want it in one", key)
		}
	}
	for number := range users {
		user := fmt.Sprint("u", number)
		want, known := p.old.FindByUser(p.now, testDomain, user)
		got, ok := p.successor.FindByUser(p.now, testDomain, user)
		if ok != known || known && got != want {
			t.Fatalf("FindByUser(%s) in the successor: got %+v, %v, want %+v, %v as in the old process",
				user, got, ok, want, known)
		}
	}
}

// TestTablesOfTwoProcessesAgree guards against sessions that one process of a node knows and the other doesn't, after
// random changes in both. Some changes precede the successor's start.
func TestTablesOfTwoProcessesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 100
		tables := &pair{old: New(capacity), successor: New(capacity), now: time.Unix(1e9, 0)}
		start := rapid.IntRange(0, 20).Draw(t, "start of the successor")
		for number := range rapid.IntRange(1, 80).Draw(t, "steps") {
			if number == start {
				tables.successor = New(capacity)
				tables.old.Track(Successor)
				tables.successor.Track(Predecessor)
				tables.deliver()
			}
			tables.step(t)
			if number >= start {
				tables.deliver()
				tables.check(t)
			}
		}
	})
}

// TestChangesForProcessThatReadsNoneAreBounded guards against changes that take up more and more memory while another
// process doesn't receive them.
func TestChangesForProcessThatReadsNoneAreBounded(t *testing.T) {
	const capacity = 4
	now := time.Unix(1e9, 0)
	table := New(capacity)
	table.Track(Successor)
	for number := range 100 {
		key := Key{testDomain, fmt.Sprint(number)}
		table.Connected(now, Session{Key: key, Server: "a", ResumeTime: time.Minute})
		table.Forget(key)
	}
	if got := table.changes[Successor].order.Len(); got > maxChangesFactor*capacity {
		t.Errorf("pending changes: got %d, want at most %d", got, maxChangesFactor*capacity)
	}
	if table.DroppedChanges() == 0 {
		t.Error("DroppedChanges: got 0, want the number of the others")
	}
}

// TestSessionsOfEndedProcessCanBeResumed guards against sessions that count as connected for ever because the process
// with their streams has ended without a word.
func TestSessionsOfEndedProcessCanBeResumed(t *testing.T) {
	now := time.Unix(1e9, 0)
	old := New(10)
	successor := New(10)
	key := Key{testDomain, "0"}
	old.Connected(now, Session{Key: key, User: "u", Server: "a", ResumeTime: time.Minute})
	old.Track(Successor)
	successor.Merge(now, Predecessor, old.NextChanges(now, Successor, 1))
	ended := now.Add(time.Hour)
	if _, ok := successor.Find(ended, key); !ok {
		t.Error("Find while the other process has the stream: got no session, want it")
	}
	successor.Untrack(ended, Predecessor)
	if _, ok := successor.Find(ended.Add(time.Minute-1), key); !ok {
		t.Error("Find within the resume time after the process has ended: got no session, want it")
	}
	if _, ok := successor.Find(ended.Add(time.Minute), key); ok {
		t.Error("Find after the resume time: got a session, want none")
	}
}

// TestTransferredSessionIsNotReportedAgain guards against a change that was made before a session's connection was
// transferred and is sent after it: the successor would end the connection as out of date.
func TestTransferredSessionIsNotReportedAgain(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := New(10)
	table.Track(Successor)
	transferred := Key{testDomain, "0"}
	other := Key{testDomain, "1"}
	for _, key := range []Key{transferred, other} {
		table.Connected(now, Session{Key: key, Server: "a", ResumeTime: time.Minute})
	}
	table.Transferred(transferred)
	update := table.NextChanges(now, Successor, 1<<10)
	if len(update.Sessions) != 1 || update.Sessions[0].Key != other || len(update.Ended) != 0 {
		t.Errorf("NextChanges after the transfer of session 0: got %+v, want session 1 only", update)
	}
}

// TestLatestSessionOfUserIsTheSameInSuccessor guards against a successor that takes another session for a user's latest
// one, because sessions with and without a stream are sent in an order of their own.
func TestLatestSessionOfUserIsTheSameInSuccessor(t *testing.T) {
	now := time.Unix(1e9, 0)
	first := Key{testDomain, "0"}
	second := Key{testDomain, "1"}
	for name, change := range map[string]func(*Table){
		"without a stream": func(table *Table) { table.Disconnected(now, first) },
		"with a stream": func(table *Table) {
			table.Disconnected(now, first)
			table.Connected(now, sessionOfUser(second))
		},
	} {
		old := New(10)
		successor := New(10)
		old.Connected(now, sessionOfUser(first))
		old.Connected(now, sessionOfUser(second))
		change(old)
		old.Track(Successor)
		successor.Merge(now, Predecessor, old.NextChanges(now, Successor, 1<<10))
		want, _ := old.FindByUser(now, testDomain, "u")
		if got, _ := successor.FindByUser(now, testDomain, "u"); got != want {
			t.Errorf("latest session %s, in the successor: got %v, want %v as in the old process",
				name, got.Key, want.Key)
		}
	}
}

// sessionOfUser returns a session of the user u.
func sessionOfUser(key Key) Session {
	return Session{Key: key, User: "u", Server: choice.ServerID("h" + key.ID), ResumeTime: time.Minute}
}
