package hotrestart

import (
	"testing"
	"time"
)

// linkedPair is a parent and its successor in one program, each on its own loop.
type linkedPair struct {
	parent, successor     *Coordinator
	onParent, onSuccessor func(func())
}

// newLinkedPair links two processes. inUse answers the queries of each.
func newLinkedPair(t *testing.T, inUse func(id string, asker Peer) bool) *linkedPair {
	t.Helper()
	path := socketPath(t)
	pair := &linkedPair{}
	parentLoop, onParent := startLoop(t)
	onParent(func() {
		pair.parent = NewCoordinator(Options{
			Loop: parentLoop, Path: path, Changed: ignoreChange, Grant: grantDescriptors(9), IDInUse: inUse,
		}, nil)
	})
	grant := requestGrant(t, path)
	successorLoop, onSuccessor := startLoop(t)
	onSuccessor(func() {
		pair.successor = NewCoordinator(Options{
			Loop: successorLoop, Path: path, Changed: ignoreChange, Grant: grantDescriptors(1), IDInUse: inUse,
		}, grant)
	})
	pair.onParent, pair.onSuccessor = onParent, onSuccessor
	return pair
}

// ask asks on a loop and returns the channel of the answer, or nil if there is no process to ask.
func ask(onLoop func(func()), coordinator *Coordinator, id string) chan bool {
	answer := make(chan bool, 1)
	asked := false
	onLoop(func() { asked = coordinator.AskID(id, func(inUse bool) { answer <- inUse }) })
	if !asked {
		return nil
	}
	return answer
}

// requireAnswer waits for the answer to a query.
func requireAnswer(t *testing.T, what string, answer chan bool, want bool) {
	t.Helper()
	if answer == nil {
		t.Fatalf("%s: got no process to ask, want one", what)
	}
	select {
	case got := <-answer:
		if got != want {
			t.Errorf("%s: got in use %v, want %v", what, got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("%s: got no answer, want one", what)
	}
}

// TestProcessesAnswerQueries checks the answers in both directions, and that only a process that is known to answer is
// asked: the parent when the successor knows that it does, the successor when it has asked itself.
func TestProcessesAnswerQueries(t *testing.T) {
	pair := newLinkedPair(t, func(id string, asker Peer) bool {
		return id == "open" || id == "open for the successor" && asker == Successor
	})
	if ask(pair.onSuccessor, pair.successor, "open") != nil || ask(pair.onParent, pair.parent, "open") != nil {
		t.Error("AskID before the other process is known to answer: got a process to ask, want none")
	}
	pair.onSuccessor(pair.successor.ParentAnswersQueries)
	for id, want := range map[string]bool{"open": true, "free": false, "open for the successor": true} {
		requireAnswer(t, "successor asks for "+id, ask(pair.onSuccessor, pair.successor, id), want)
	}
	for id, want := range map[string]bool{"open": true, "free": false, "open for the successor": false} {
		requireAnswer(t, "parent asks for "+id, ask(pair.onParent, pair.parent, id), want)
	}
}

// TestQueryOfHeldUpProcess checks that a query ends without an answer when its time is over, that the process is not
// asked again until it has answered, and that it is asked again afterwards.
func TestQueryOfHeldUpProcess(t *testing.T) {
	released := make(chan struct{})
	pair := newLinkedPair(t, func(id string, _ Peer) bool {
		if id == "slow" {
			<-released
		}
		return true
	})
	pair.onSuccessor(pair.successor.ParentAnswersQueries)
	requireAnswer(t, "query that is answered late", ask(pair.onSuccessor, pair.successor, "slow"), false)
	if ask(pair.onSuccessor, pair.successor, "open") != nil {
		t.Error("AskID while an answer is overdue: got a process to ask, want none")
	}
	close(released)
	waitFor(t, pair.onSuccessor, "the late answer", func() bool { return pair.successor.parent.canBeAsked() })
	requireAnswer(t, "query after the late answer", ask(pair.onSuccessor, pair.successor, "open"), true)
}

// TestQueryOfProcessThatEnds checks that a query is answered when the asked process ends.
func TestQueryOfProcessThatEnds(t *testing.T) {
	var pair *linkedPair
	pair = newLinkedPair(t, func(string, Peer) bool {
		pair.parent.successors[0].conn.Abort() // in place of the answer
		return true
	})
	pair.onSuccessor(pair.successor.ParentAnswersQueries)
	requireAnswer(t, "query of a process that ends", ask(pair.onSuccessor, pair.successor, "open"), false)
	waitFor(t, pair.onSuccessor, "the end of the parent", func() bool { return !pair.successor.HasPredecessor() })
	if ask(pair.onSuccessor, pair.successor, "open") != nil {
		t.Error("AskID without another process: got a process to ask, want none")
	}
}
