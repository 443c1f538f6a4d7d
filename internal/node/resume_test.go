package node

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

const ping = "<iq type='get' id='p1'><ping xmlns='urn:xmpp:ping'/></iq>"

// xmppNode is a node with test servers of package xmppserver.
type xmppNode struct {
	*operatorNode
	tb          testing.TB
	servers     []*xmppserver.Server
	path        string
	addr        string
	extraConfig string // beginning of the operator's file: further listeners, certificates, limits
}

// noneDraining is the index to pass if no server is draining.
const noneDraining = -1

func newXMPPNode(tb testing.TB, servers int, extraConfig string) *xmppNode {
	tb.Helper()
	node := &xmppNode{tb: tb, path: filepath.Join(tb.TempDir(), "operator.toml"), extraConfig: extraConfig}
	for i := range servers {
		server, err := xmppserver.Listen(fmt.Sprint("h", i))
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(server.Close)
		node.servers = append(node.servers, server)
	}
	node.addr = transcript.FreeAddr(tb) // chosen after all listeners that let the system choose their port
	node.write(noneDraining)
	node.operatorNode = newOperatorNode(tb, node.path, 1)
	start(tb, node.loop)
	return node
}

// write writes the operator's file. draining is the index of the server that is draining, or noneDraining.
func (n *xmppNode) write(draining int) {
	n.tb.Helper()
	var file strings.Builder
	fmt.Fprintf(&file, n.extraConfig+"[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n[[class]]\nname = \"c\"\n"+
		"[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n[[cluster]]\nname = \"k\"\n", n.addr)
	for i, server := range n.servers {
		state := "serving"
		if i == draining {
			state = "draining"
		}
		fmt.Fprintf(&file, "[[cluster.host]]\nid = \"h%d\"\naddr = %q\nstate = %q\n", i, server.Addr, state)
	}
	writeFile(n.tb, n.path, file.String())
}

// writeAndReload writes the file in the same way as write, and makes the node reload it.
func (n *xmppNode) writeAndReload(draining int) {
	n.tb.Helper()
	n.write(draining)
	if err := n.reload(); err != nil {
		n.tb.Fatal(err)
	}
}

// streams returns the number of streams that all servers have received so far.
func (n *xmppNode) streams() (count int) {
	for _, server := range n.servers {
		count += server.Count().Streams
	}
	return count
}

// connectAll makes a client connect for each id, all at once. Each client tries to resume the session with its id; an
// empty id begins a new session. connectAll returns the clients and the number of resumed sessions.
func (n *xmppNode) connectAll(ids []string, method xmppserver.LoginMethod) (clients []*xmppserver.Client, resumed int) {
	n.tb.Helper()
	clients = make([]*xmppserver.Client, len(ids))
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			user := fmt.Sprint("u", i)
			client, wasResumed, err := xmppserver.Connect(n.addr, user, id, method, time.Now().Add(testTimeout))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				n.tb.Errorf("client %d: %v", i, err)
				return
			}
			clients[i] = client
			if wasResumed {
				resumed++
			}
		}()
	}
	wg.Wait()
	return clients, resumed
}

// idsOf returns the session ids of clients.
func idsOf(clients []*xmppserver.Client) (ids []string) {
	for _, client := range clients {
		ids = append(ids, client.ID)
	}
	return ids
}

// closeAll breaks the connections of clients without closing their streams.
func closeAll(clients []*xmppserver.Client) {
	for _, client := range clients {
		if client != nil {
			_ = client.Conn.Close() // the connection counts as broken even if Close fails
		}
	}
}

// countOf returns how many of the session ids a server assigned.
func countOf(ids []string, server string) (count int) {
	for _, id := range ids {
		if strings.HasPrefix(id, server+"-") {
			count++
		}
	}
	return count
}

// loginMethods contains the login methods of the tests' clients.
var loginMethods = []xmppserver.LoginMethod{
	xmppserver.LoginPlain, xmppserver.LoginPlainNamed, xmppserver.LoginSASL2, xmppserver.LoginSCRAM,
}

// TestResumeFindsServer makes clients lose their connection and reconnect, with four servers. With each login method,
// the node must place each client on the server that has its session, also while the client's old stream is still open.
// If that server drains or has lost its sessions, the client loses its session but nothing else.
func TestResumeFindsServer(t *testing.T) {
	node := newXMPPNode(t, 4, "")
	for _, method := range loginMethods {
		ids := checkResume(t, node, method)
		checkLostSessions(t, node, method, ids)
	}
}

// checkResume makes clients resume their sessions twice: while their old streams are open, and after their streams have
// broken.
func checkResume(t *testing.T, node *xmppNode, method xmppserver.LoginMethod) (ids []string) {
	t.Helper()
	const count = 24
	first, resumed := node.connectAll(make([]string, count), method)
	if t.Failed() || resumed != 0 {
		t.Fatalf("login method %d, first connections: got %d resumed, want 0", method, resumed)
	}
	ids = idsOf(first)
	second, resumed := node.connectAll(ids, method) // the old streams are still open
	if t.Failed() || resumed != count {
		t.Fatalf("login method %d, old streams open: got %d of %d resumed, want all", method, resumed, count)
	}
	for i, client := range first {
		got, err := client.Exchange("", "</stream:stream>")
		if err == nil || !strings.Contains(got+err.Error(), "conflict") {
			t.Errorf("login method %d, old stream %d: got %q, %v, want a conflict", method, i, got, err)
		}
	}
	for _, client := range second {
		if _, err := client.Exchange(ping, "/>"); err != nil {
			t.Error(err)
		}
	}
	closeAll(first)
	closeAll(second)
	third, resumed := node.connectAll(ids, method)
	if t.Failed() || resumed != count {
		t.Fatalf("login method %d, after the streams broke: got %d of %d resumed, want all", method, resumed, count)
	}
	closeAll(third)
	return ids
}

// checkLostSessions restarts one server and drains another. All sessions except those of the two servers must be
// resumed.
func checkLostSessions(t *testing.T, node *xmppNode, method xmppserver.LoginMethod, ids []string) {
	t.Helper()
	const restarted, draining = 2, 3
	node.servers[restarted].Restart() // the restart removes all its sessions
	node.writeAndReload(draining)
	before := node.servers[draining].Count().Streams
	lost := countOf(ids, fmt.Sprint("h", restarted)) + countOf(ids, fmt.Sprint("h", draining))
	clients, resumed := node.connectAll(ids, method)
	if t.Failed() || resumed != len(ids)-lost {
		t.Errorf("login method %d: got %d resumed, want the %d sessions that their servers still have",
			method, resumed, len(ids)-lost)
	}
	if node.servers[draining].Count().Streams != before {
		t.Errorf("login method %d: got streams to a draining server, want none", method)
	}
	closeAll(clients)
	node.writeAndReload(noneDraining)
}

// TestSeeOtherHostFollowedToListedServersOnly makes servers redirect sessions to another server. If that server is in
// the list, the next attempt must go to it. An address that is not in the list must never be tried.
func TestSeeOtherHostFollowedToListedServersOnly(t *testing.T) {
	const servers = 6
	for target := range servers { // each server in turn, because one would be chosen next even without a redirect
		node := newXMPPNode(t, servers, "")
		for i, server := range node.servers {
			if i != target {
				server.SeeOther = node.servers[target].Addr
			}
		}
		clients, _ := node.connectAll([]string{""}, xmppserver.LoginPlain)
		closeAll(clients)
		otherAttempts := node.streams() - node.servers[target].Count().Streams
		if node.servers[target].Count().Bound != 1 || otherAttempts > 1 {
			t.Errorf("redirect to a listed server: got %d attempts elsewhere, want at most 1, and 1 at the target",
				otherAttempts)
		}
	}
	node := newXMPPNode(t, 3, "")
	unlisted, err := xmppserver.Listen("unlisted")
	if err != nil {
		t.Fatal(err)
	}
	defer unlisted.Close()
	for _, server := range node.servers[:2] {
		server.SeeOther = unlisted.Addr
	}
	clients, _ := node.connectAll(make([]string, 16), xmppserver.LoginPlain)
	closeAll(clients)
	if unlisted.Count().Streams != 0 {
		t.Error("redirect to an unlisted server: got a stream there, want none")
	}
}
