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

// connect opens one stream to the node and authenticates.
func (n *xmppNode) connect() (*xmppserver.Client, error) {
	client, _, err := xmppserver.Connect(n.addr, "u", "", xmppserver.LoginPlain, time.Now().Add(testTimeout))
	return client, err
}

// TestPeerLimits opens too many streams from one address, too many unauthenticated streams, and streams from denied
// networks. The node must answer rejected streams immediately and keep open streams. A reload changes the rules, but
// has no effect if they are invalid.
func TestPeerLimits(t *testing.T) {
	denied := filepath.Join(t.TempDir(), "networks")
	writeFile(t, denied, "192.0.2.0/24\n")
	node := newXMPPNode(t, 1, fmt.Sprintf("[peers]\nstreams = 4\nunauthenticated = 2\ndeny = %q\n", denied))
	var open []*xmppserver.Client
	for range 3 { // each client authenticates before the next one connects
		client, err := node.connect()
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, client)
	}
	checkStreamLimit(t, node, open)
	checkDeniedNetworks(t, node, denied)
	writeFile(t, denied, "")
	node.extraConfig = fmt.Sprintf("[peers]\nunauthenticated = 2\ndeny = %q\n", denied)
	node.writeAndReload(noneDraining)
	checkUnauthenticatedLimit(t, node)
	for i, client := range open {
		if _, err := client.Exchange(ping, "/>"); err != nil {
			t.Errorf("Exchange on stream %d, which was open during the whole test: %v", i, err)
		}
	}
}

// checkStreamLimit reaches the limit of four streams with a stream that sends nothing. The node must reject a fifth
// stream, and accept a stream again once the silent stream and the first stream in open have ended. The accepted stream
// replaces the first one in open.
func checkStreamLimit(t *testing.T, node *xmppNode, open []*xmppserver.Client) {
	t.Helper()
	silent := dial(t, node.addr)
	transcript.WaitFor(t, "the fourth stream is open", func() bool {
		sessions := 0
		runOn(node.loop, func() { sessions = node.fronts.xmpp.Answers.Sessions })
		return sessions == 4
	})
	if _, err := node.connect(); err == nil || !strings.Contains(err.Error(), "too many streams") {
		t.Errorf("connect at the limit: got error %v, want \"too many streams\"", err)
	}
	_ = silent.Close()       // the node sees the end of the connection even if Close fails
	_ = open[0].Conn.Close() // as above
	transcript.WaitFor(t, "a stream is accepted again", func() bool {
		client, err := node.connect()
		open[0] = client
		return err == nil
	})
}

// checkDeniedNetworks reloads the file of denied networks, first with an invalid line.
func checkDeniedNetworks(t *testing.T, node *xmppNode, denied string) {
	t.Helper()
	writeFile(t, denied, "127.0.0.0/8\nnonsense\n")
	if err := node.reload(); err == nil || !strings.Contains(err.Error(), ":2: ") {
		t.Errorf("reload of an invalid file of denied networks: got error %v, want one for line 2", err)
	}
	writeFile(t, denied, "127.0.0.0/8\n")
	if err := node.reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := node.connect(); err == nil {
		t.Error("connect from a denied network: got a stream, want an error")
	}
}

// checkUnauthenticatedLimit opens two streams that don't authenticate, and checks that further streams are rejected.
func checkUnauthenticatedLimit(t *testing.T, node *xmppNode) {
	t.Helper()
	for range 2 {
		waiting := dial(t, node.addr)
		defer func() { _ = waiting.Close() }() // the node sees the end of the connection even if Close fails
	}
	transcript.WaitFor(t, "a stream beyond the limit of unauthenticated streams is rejected", func() bool {
		client, err := node.connect()
		if err == nil {
			_ = client.Conn.Close() // as above
		}
		return err != nil && strings.Contains(err.Error(), "not authenticated")
	})
}
