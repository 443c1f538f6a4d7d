package node

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/lab/xmppserver"
	"spurwinch/internal/operations/hotrestart"
	resumable "spurwinch/internal/session"
)

// cleartextDevices is the number of devices that connectCleartext connects.
const cleartextDevices = 8

// connectCleartext connects devices without TLS.
func connectCleartext(t *testing.T, node *restartedXMPPNode) (devices []*upgradeDevice) {
	t.Helper()
	for number := range cleartextDevices {
		device := &upgradeDevice{user: fmt.Sprint("u", number), listener: cleartext, method: xmppserver.LoginPlain}
		node.connect(t, device)
		devices = append(devices, device)
	}
	return devices
}

// recordSessions records resumable sessions without a stream in a process's table. Their identifiers end with suffix.
func recordSessions(process *process, count int, suffix string) {
	sessions := process.xmpp.Sessions()
	now := process.loop.Now()
	for number := range count {
		key := resumable.Key{Domain: "farm.example", ID: fmt.Sprint(number, suffix)}
		sessions.Connected(now, resumable.Session{Key: key, Server: "h0", ResumeTime: time.Hour})
		sessions.Disconnected(now, key)
	}
}

// TestProcessEndsAfterAllChangesAreSent guards against sessions that the successor never learns of because the old
// process, which has no clients left, ends before it has sent them all. The successor reads nothing for a while.
func TestProcessEndsAfterAllChangesAreSent(t *testing.T) {
	for name, fillLink := range map[string]func(*process) int{
		"changes are pending": func(old *process) int {
			const sessions = 3000 // more than the link's buffer holds
			recordSessions(old, sessions, "")
			return sessions
		},
		"only bytes of the link are pending": func(old *process) (sessions int) {
			const perMessage = 100
			for writable := true; writable; {
				recordSessions(old, perMessage, fmt.Sprint("-", sessions))
				old.restart.sessions.send()
				sessions += perMessage
				_, writable = old.restart.coordinator.LearnedStateLink(hotrestart.Successor)
			}
			if old.xmpp.Sessions().HasChanges(resumable.Successor) {
				t.Error("changes: got some left, want all of them on the link")
			}
			return sessions
		},
	} {
		t.Run(name, func(t *testing.T) { checkAllChangesSent(t, fillLink) })
	}
}

// checkAllChangesSent shuts a process down after fillLink, which returns the number of sessions that it has recorded.
func checkAllChangesSent(t *testing.T, fillLink func(*process) int) {
	t.Helper()
	node := newRestartedXMPPNode(t, 1)
	old := node.current
	held := make(chan func(), 1)
	sessions := 0
	node.beginRestart(func() {
		held <- holdLoop(node.successor)
		sessions = fillLink(old)
	})
	release := <-held
	time.Sleep(10 * transferInterval) // the old process would end within one interval
	release()
	node.endRestart()
	awaitOn(t, node.current, "the new process has all sessions", func() bool {
		return node.current.xmpp.Sessions().Len() == sessions
	})
}

// TestSetUpResumesSessionOfTransferredConnection guards against a session that the old process forgets when it
// transfers the session's connection, while a set-up of the same client is under way there.
func TestSetUpResumesSessionOfTransferredConnection(t *testing.T) {
	node := newRestartedXMPPNode(t, 3)
	devices := connectCleartext(t, node)
	var setUps []*xmppserver.Client
	for range devices {
		client, err := xmppserver.Open(node.addrs[cleartext], nil, time.Now().Add(testTimeout))
		if err != nil {
			t.Fatal(err)
		}
		setUps = append(setUps, client)
	}
	node.beginRestart(func() {})
	awaitOn(t, node.successor, "the connections are transferred", func() bool {
		return node.successor.restart.received == cleartextDevices
	})
	for i, client := range setUps {
		if err := client.Authenticate(devices[i].user); err != nil {
			t.Fatal(err)
		}
		if resumed, err := client.Resume(devices[i].client.ID); err != nil || !resumed {
			t.Errorf("%s: got resumed %v, error %v, want the session resumed", devices[i].user, resumed, err)
		}
	}
	node.endRestart()
	for i, client := range setUps {
		if _, err := client.Exchange(ping, "/>"); err != nil {
			t.Errorf("%s: %v", devices[i].user, err)
		}
	}
}

// TestSessionsFollowRecalledBatch guards against sessions that a successor doesn't know because it was too slow to
// accept their connections, so that the old process has ended these itself.
func TestSessionsFollowRecalledBatch(t *testing.T) {
	const longerThanBatchTimeout = 1500 * time.Millisecond
	node := newRestartedXMPPNode(t, 3)
	devices := connectCleartext(t, node)
	held := make(chan func(), 1)
	node.beginRestart(func() { held <- holdLoop(node.successor) })
	release := <-held
	time.Sleep(longerThanBatchTimeout)
	release()
	for _, device := range devices {
		node.checkReconnectsWhenAsked(t, device)
	}
	node.endRestart()
}

// TestSessionsFollowRejectedBatch guards against sessions that a successor doesn't know because it has rejected their
// connections. Its file has another name for the cluster, so that it can't serve them.
func TestSessionsFollowRejectedBatch(t *testing.T) {
	node := newRestartedXMPPNode(t, 3)
	devices := connectCleartext(t, node)
	node.edit(node.operatorPath, func(text string) string {
		text = strings.Replace(text, `cluster = "k"`, `cluster = "renamed"`, 1)
		return strings.Replace(text, `name = "k"`, `name = "renamed"`, 1)
	})
	node.beginRestart(func() {})
	for _, device := range devices {
		node.checkReconnectsWhenAsked(t, device)
	}
	node.endRestart()
	if received := node.current.readInt(func(p *process) int { return p.restart.received }); received != 0 {
		t.Errorf("connections that the successor has received: got %d, want 0", received)
	}
}

// TestSessionsOutliveSuccessor guards against sessions that count as connected to a successor that has died, and
// against sessions of it that nobody else knows.
func TestSessionsOutliveSuccessor(t *testing.T) {
	node := newRestartedXMPPNode(t, 3)
	devices := connectCleartext(t, node)
	dying := node.start()
	settle(node.current, dying)
	release := holdLoop(node.current)
	for _, device := range devices[:4] { // the others stay with the old process
		node.checkResumes(t, device)
	}
	for number := range cleartextDevices { // sessions that begin at the successor
		device := &upgradeDevice{user: fmt.Sprint("v", number), listener: cleartext, method: xmppserver.LoginPlain}
		node.connect(t, device)
		devices = append(devices, device)
	}
	release()
	settle(dying, node.current)
	dying.loop.Post(dying.loop.Stop)
	<-dying.done
	awaitOn(t, node.current, "the old process has no successor", func() bool {
		linked, _ := node.current.restart.coordinator.Successor()
		return !linked
	})
	node.restart()
	for _, device := range devices {
		node.checkResumes(t, device)
	}
}

// TestGrantOfLongNamesKeepsOtherState guards against a grant without any learned state because the names of resumable
// sessions are long.
func TestGrantOfLongNamesKeepsOtherState(t *testing.T) {
	node := newRestartedXMPPNode(t, 1)
	node.current.runOn(func() {
		recordSessions(node.current, maxGrantSessions, strings.Repeat("x", 1000))
		encoded := node.current.restart.encodeForGrant()
		state, ok := decodeLearnedState(encoded)
		if len(encoded) > hotrestart.MaxLearnedBytes || !ok {
			t.Errorf("learned state of a grant: got %d bytes, decoded %v, want at most %d bytes that can be decoded",
				len(encoded), ok, hotrestart.MaxLearnedBytes)
		}
		server := choice.ServerID("")
		if list := state.Lists["k"]; len(list) == 1 {
			server = list[0].Server.ID
		}
		if state.Modules["k"].Version == 0 || server != "h0" {
			t.Errorf("learned state of a grant: got modules %v and lists %v, want both of cluster k",
				state.Modules, state.Lists)
		}
	})
}

// TestRejectedConnectionStaysAlone guards against a whole batch that stays with the old process, and is told to connect
// again, because the successor rejects one of its connections: here one whose unfinished stanza is over the successor's
// lower limit.
func TestRejectedConnectionStaysAlone(t *testing.T) {
	const lowestLimit, rejected = 10000, 3
	node := newRestartedXMPPNode(t, 1)
	devices := connectCleartext(t, node)
	unfinished := "<message " + strings.Repeat("a", 2*lowestLimit)
	if _, err := io.WriteString(devices[rejected].client.Conn, unfinished); err != nil {
		t.Fatal(err)
	}
	node.edit(node.operatorPath, func(text string) string {
		return strings.Replace(text, "[limits]\n", fmt.Sprintf("[limits]\nstanza_bytes = %d\n", lowestLimit), 1)
	})
	old := node.current
	node.restart()
	if sent := old.restart.transfer.sent; sent != cleartextDevices-1 {
		t.Errorf("transferred connections: got %d, want %d", sent, cleartextDevices-1)
	}
	deadline := time.Now().Add(testTimeout)
	for i, device := range devices {
		device.client.SetDeadline(deadline)
		if i == rejected {
			checkEnds(t, device.user, device.client, "system-shutdown")
		} else if _, err := device.client.Exchange("<iq type='get' id='p1'/>", "<iq"); err != nil {
			t.Errorf("%s: got error %v, want the connection to go on", device.user, err)
		}
	}
}
