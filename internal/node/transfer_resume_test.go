package node

import (
	"crypto/tls"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/xmppserver"
)

// resumeRace is a hot restart in which a session is resumed on another connection of the old process, while the old
// process has offered the session's earlier connection to the successor.
type resumeRace struct {
	node    *restartedXMPPNode
	earlier *xmppserver.Client // has the session before the hot restart
	later   *xmppserver.Client // authenticated before the hot restart; resumes the session
}

// newResumeRace starts a node and connects both clients. The later one uses the given listener.
func newResumeRace(t *testing.T, listener xmppListener) *resumeRace {
	t.Helper()
	node := newRestartedXMPPNode(t, 1)
	race := &resumeRace{node: node}
	deadline := time.Now().Add(testTimeout)
	var err error
	race.earlier, _, err = xmppserver.Connect(node.addrs[cleartext], "ana", "", xmppserver.LoginPlain, deadline)
	if err != nil {
		t.Fatal(err)
	}
	var config *tls.Config
	if listener == directTLS {
		config = node.trusted
	}
	race.later, err = xmppserver.Open(node.addrs[listener], config, deadline)
	if err == nil {
		err = race.later.Authenticate("ana")
	}
	if err != nil {
		t.Fatal(err)
	}
	return race
}

// play makes the old process offer the earlier connection to a successor that doesn't answer, resumes the session on
// the later connection, and lets the successor run again after the given time.
func (c *resumeRace) play(t *testing.T, pause time.Duration) {
	t.Helper()
	held := make(chan func(), 1)
	c.node.beginRestart(func() { held <- holdLoop(c.node.successor) })
	release := <-held
	resumed, err := c.later.Resume(c.earlier.ID)
	time.Sleep(pause)
	release()
	if err != nil || !resumed {
		t.Fatalf("resume the session on the old process: got %v, error %v, want it resumed", resumed, err)
	}
}

// checkEnds checks that a connection ends with a stream error.
func checkEnds(t *testing.T, name string, client *xmppserver.Client, streamError string) {
	t.Helper()
	got, err := client.Exchange("", "</stream:stream>")
	if err == nil || !strings.Contains(got+err.Error(), streamError) {
		t.Errorf("%s connection: got %q, error %v, want %s", name, got, err, streamError)
	}
}

// TestSessionResumedWhileItsConnectionIsOffered guards against the crash of the old process when a session is resumed
// while its earlier connection is offered to the successor, which then accepts it.
func TestSessionResumedWhileItsConnectionIsOffered(t *testing.T) {
	race := newResumeRace(t, cleartext)
	race.play(t, 0)
	race.node.endRestart()
	checkEnds(t, "earlier", race.earlier, "conflict")
	if _, err := race.later.Exchange(ping, "/>"); err != nil {
		t.Errorf("later connection, transferred to the new process: %v", err)
	}
}

// TestSessionResumedWhileItsConnectionIsRecalled guards against the use of a connection that is offered to a successor:
// the connection must end only after the old process has taken it back.
func TestSessionResumedWhileItsConnectionIsRecalled(t *testing.T) {
	const longerThanBatchTimeout = 1500 * time.Millisecond
	race := newResumeRace(t, cleartext)
	race.play(t, longerThanBatchTimeout)
	checkEnds(t, "earlier", race.earlier, "conflict")
	checkEnds(t, "later", race.later, "system-shutdown")
	race.node.endRestart()
}

// TestSessionResumedOverTLSWhileItsConnectionIsOffered guards against an earlier connection that the successor keeps
// because it never learns of the later one, which can't be transferred.
func TestSessionResumedOverTLSWhileItsConnectionIsOffered(t *testing.T) {
	race := newResumeRace(t, directTLS)
	race.play(t, 0)
	checkEnds(t, "earlier", race.earlier, "conflict")
	checkEnds(t, "later", race.later, "system-shutdown")
	race.node.endRestart()
	device := &upgradeDevice{user: "ana", listener: directTLS, method: xmppserver.LoginPlain, client: race.later}
	race.node.checkResumes(t, device)
}

// TestLiveConnectionSurvivesTransferOfEarlierOne guards against the loss of a live connection at the successor when the
// old process transfers an earlier connection of its session, which it doesn't know to be out of date.
func TestLiveConnectionSurvivesTransferOfEarlierOne(t *testing.T) {
	node := newRestartedXMPPNode(t, 1)
	device := &upgradeDevice{user: "ana", listener: cleartext, method: xmppserver.LoginPlain}
	node.connect(t, device)
	earlier := device.client
	node.successor = node.start()
	settle(node.current, node.successor)
	release := holdLoop(node.current)
	node.checkResumes(t, device)
	node.current.loop.Post(node.current.Shutdown) // runs before the loop reads the news of the resumption
	release()
	node.endRestart()
	if _, err := device.client.Exchange(ping, "/>"); err != nil {
		t.Errorf("live connection: %v", err)
	}
	checkEnds(t, "earlier", earlier, "conflict")
	node.checkResumes(t, device) // the end of the earlier connection has not ended the session at its server
}
