package node

import (
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/xmppserver"
)

// resumeCrossing is a hot restart in which a session is resumed on another connection of the old process, while the old
// process has offered the session's earlier connection to the successor.
type resumeCrossing struct {
	node    *restartedNode
	earlier *xmppserver.Client // has the session before the hot restart
	later   *xmppserver.Client // authenticated before the hot restart; resumes the session
}

// newResumeCrossing starts a node and connects both clients.
func newResumeCrossing(t *testing.T) *resumeCrossing {
	t.Helper()
	server, err := xmppserver.Listen("h1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	crossing := &resumeCrossing{node: newRestartedNode(t, server.Addr, 200)}
	deadline := time.Now().Add(testTimeout)
	addr := crossing.node.env["XMPP"]
	crossing.earlier, _, err = xmppserver.Connect(addr, "ana", "", xmppserver.LoginPlain, deadline)
	if err != nil {
		t.Fatal(err)
	}
	crossing.later, err = xmppserver.Authenticate(addr, "ana", deadline)
	if err != nil {
		t.Fatal(err)
	}
	return crossing
}

// play makes the old process offer the earlier connection to a successor that doesn't answer, resumes the session on
// the later connection, and lets the successor run again after the given time.
func (c *resumeCrossing) play(t *testing.T, pause time.Duration) {
	t.Helper()
	unblock := make(chan struct{})
	c.node.beginRestart(func() {
		blocked := make(chan struct{})
		c.node.successor.loop.Post(func() {
			close(blocked)
			<-unblock
		})
		<-blocked
	})
	resumed, err := c.later.Resume(c.earlier.ID)
	time.Sleep(pause)
	close(unblock)
	if err != nil || !resumed {
		t.Fatalf("resume the session on the old process: got %v, error %v, want it resumed", resumed, err)
	}
	c.node.endRestart()
}

// checkConflict checks that the earlier connection ends with the error conflict, because the session was resumed.
func (c *resumeCrossing) checkConflict(t *testing.T) {
	t.Helper()
	got, err := c.earlier.Exchange("", "</stream:stream>")
	if err == nil || !strings.Contains(got+err.Error(), "conflict") {
		t.Errorf("earlier connection: got %q, error %v, want a conflict", got, err)
	}
}

// TestSessionResumedWhileItsConnectionIsOffered guards against the crash of the old process when a session is resumed
// while its earlier connection is offered to the successor, which then accepts it.
func TestSessionResumedWhileItsConnectionIsOffered(t *testing.T) {
	crossing := newResumeCrossing(t)
	crossing.play(t, 0)
	crossing.checkConflict(t)
	if _, err := crossing.later.Exchange(ping, "/>"); err != nil {
		t.Errorf("later connection, transferred to the new process: %v", err)
	}
}

// TestSessionResumedWhileItsConnectionIsRecalled guards against the use of a connection that is offered to a successor:
// the connection must end only after the old process has taken it back.
func TestSessionResumedWhileItsConnectionIsRecalled(t *testing.T) {
	const longerThanBatchTimeout = 1500 * time.Millisecond
	crossing := newResumeCrossing(t)
	crossing.play(t, longerThanBatchTimeout)
	crossing.checkConflict(t)
	got, err := crossing.later.Exchange("", "</stream:stream>")
	if err == nil || !strings.Contains(got+err.Error(), "system-shutdown") {
		t.Errorf("later connection, which stays in the old process: got %q, error %v, want system-shutdown", got, err)
	}
}
