package node

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

// connect opens one stream to a node and authenticates.
func (n *xmppNode) connect() (*xmppserver.Client, error) {
	client, _, err := xmppserver.Connect(n.addr, "u", "", xmppserver.LoginPlain, time.Now().Add(testTimeout))
	return client, err
}

// TestPeerLimits has one address open more than it may: streams, streams that don't authenticate, streams of denied
// networks. Those that are rejected are answered at once, open streams stay open, and SIGHUP changes the rules or, with
// a fault in them, nothing.
func TestPeerLimits(t *testing.T) {
	denied := filepath.Join(t.TempDir(), "networks")
	writeFile(t, denied, "192.0.2.0/24\n")
	node := newXMPPNode(t, 1, fmt.Sprintf("[peers]\nstreams = 4\nunauthenticated = 2\ndeny = %q\n", denied))
	var open []*xmppserver.Client
	for range 3 { // each has authenticated when the next one comes
		client, err := node.connect()
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, client)
	}
	checkStreamLimit(t, node, open)
	checkDeniedNetworks(t, node, denied)
	writeFile(t, denied, "")
	node.more = fmt.Sprintf("[peers]\nunauthenticated = 2\ndeny = %q\n", denied)
	node.writeAndReload(noneDraining)
	checkUnauthenticatedLimit(t, node)
	for i, client := range open {
		if _, err := client.Exchange(ping, "/>"); err != nil {
			t.Errorf("stream %d, which was open all the time: %v", i, err)
		}
	}
}

// checkStreamLimit fills the limit of four streams with a silent one; a fifth is rejected until the first one ends,
// which another one replaces.
func checkStreamLimit(t *testing.T, node *xmppNode, open []*xmppserver.Client) {
	t.Helper()
	silent := dial(t, node.addr)
	transcript.WaitFor(t, "the fourth has come", func() bool {
		sessions := 0
		runOn(node.loop, func() { sessions = node.fronts.xmpp.Answers.Sessions })
		return sessions == 4
	})
	if _, err := node.connect(); err == nil || !strings.Contains(err.Error(), "too many streams") {
		t.Errorf("a fifth stream: %v", err)
	}
	_ = silent.Close()       // the node sees the end all the same
	_ = open[0].Conn.Close() // as above
	transcript.WaitFor(t, "a stream is accepted again", func() bool {
		client, err := node.connect()
		open[0] = client
		return err == nil
	})
}

// checkDeniedNetworks has the file of denied networks read again, first with a fault in it.
func checkDeniedNetworks(t *testing.T, node *xmppNode, denied string) {
	t.Helper()
	writeFile(t, denied, "127.0.0.0/8\nnonsense\n")
	if err := node.reload(); err == nil || !strings.Contains(err.Error(), ":2: ") {
		t.Errorf("a list that can't be read: %v", err)
	}
	writeFile(t, denied, "127.0.0.0/8\n")
	if err := node.reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := node.connect(); err == nil {
		t.Error("a stream of a denied network was admitted")
	}
}

// checkUnauthenticatedLimit has two streams that don't authenticate, and others rejected.
func checkUnauthenticatedLimit(t *testing.T, node *xmppNode) {
	t.Helper()
	for range 2 {
		waiting := dial(t, node.addr)
		defer func() { _ = waiting.Close() }() // the node sees the end all the same
	}
	transcript.WaitFor(t, "those that don't authenticate are too many", func() bool {
		client, err := node.connect()
		if err == nil {
			_ = client.Conn.Close() // as above
		}
		return err != nil && strings.Contains(err.Error(), "not authenticated")
	})
}
