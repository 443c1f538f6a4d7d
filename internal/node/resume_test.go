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

// xmppNode is a node in front of some XMPP servers of the laboratory.
type xmppNode struct {
	*operatorNode
	tb      testing.TB
	servers []*xmppserver.Server
	path    string
	addr    string
	more    string // of the file: further listeners, certificates, limits
}

const noneDraining = -1

func newXMPPNode(tb testing.TB, servers int, more string) *xmppNode {
	tb.Helper()
	node := &xmppNode{tb: tb, path: filepath.Join(tb.TempDir(), "operator.toml"), more: more}
	for i := range servers {
		server, err := xmppserver.Listen(fmt.Sprint("h", i))
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(server.Close)
		node.servers = append(node.servers, server)
	}
	node.addr = transcript.FreeAddr(tb) // after all listeners that get a port by themselves
	node.write(noneDraining)
	node.operatorNode = newOperatorNode(tb, node.path, 1)
	start(tb, node.loop)
	return node
}

// write writes the operator's file, in which one of the servers is draining, or noneDraining.
func (n *xmppNode) write(draining int) {
	n.tb.Helper()
	var file strings.Builder
	fmt.Fprintf(&file, n.more+"[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n[[class]]\nname = \"c\"\n"+
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

// writeAndReload writes the file as write does, and has the node read it.
func (n *xmppNode) writeAndReload(draining int) {
	n.tb.Helper()
	n.write(draining)
	if err := n.reload(); err != nil {
		n.tb.Fatal(err)
	}
}

// streams is the number of streams that all servers have had.
func (n *xmppNode) streams() (count int) {
	for _, server := range n.servers {
		count += server.Count().Streams
	}
	return count
}

// connectAll has so many clients connect at once, each to resume the session of its number, and counts the resumed.
func (n *xmppNode) connectAll(ids []string, how xmppserver.LoginMethod) (clients []*xmppserver.Client, resumed int) {
	n.tb.Helper()
	clients = make([]*xmppserver.Client, len(ids))
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			user := fmt.Sprint("u", i)
			client, wasResumed, err := xmppserver.Connect(n.addr, user, id, how, time.Now().Add(testTimeout))
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

func idsOf(clients []*xmppserver.Client) (ids []string) {
	for _, client := range clients {
		ids = append(ids, client.ID)
	}
	return ids
}

func closeAll(clients []*xmppserver.Client) {
	for _, client := range clients {
		if client != nil {
			_ = client.Conn.Close() // a link that breaks, whatever its end says
		}
	}
}

// countOf is the number of ids that a server gave.
func countOf(ids []string, server string) (count int) {
	for _, id := range ids {
		if strings.HasPrefix(id, server+"-") {
			count++
		}
	}
	return count
}

// loginMethods are the ways in which the tests' clients log in.
var loginMethods = []xmppserver.LoginMethod{
	xmppserver.LoginPlain, xmppserver.LoginPlainNamed, xmppserver.LoginSASL2,
}

// TestResumeFindsServer has clients lose their link and connect again, over four servers: each finds the one that has
// its session, whichever way it authenticates, also while its old stream is still open. A server that drains, or that
// has lost its sessions, costs the session and nothing else.
func TestResumeFindsServer(t *testing.T) {
	node := newXMPPNode(t, 4, "")
	for _, how := range loginMethods {
		ids := checkResume(t, node, how)
		checkLostSessions(t, node, how, ids)
	}
}

// checkResume has clients resume their sessions twice: beside their old streams, and after their streams have broken.
func checkResume(t *testing.T, node *xmppNode, how xmppserver.LoginMethod) (ids []string) {
	t.Helper()
	const count = 24
	first, resumed := node.connectAll(make([]string, count), how)
	if t.Failed() || resumed != 0 {
		t.Fatalf("way %d: %d resumed of none", how, resumed)
	}
	ids = idsOf(first)
	second, resumed := node.connectAll(ids, how) // the old streams are still open
	if t.Failed() || resumed != count {
		t.Fatalf("way %d: %d of %d resumed beside their old streams", how, resumed, count)
	}
	for i, client := range first {
		got, err := client.Exchange("", "</stream:stream>")
		if err == nil || !strings.Contains(got+err.Error(), "conflict") {
			t.Errorf("way %d: the old stream %d got %q, %v", how, i, got, err)
		}
	}
	for _, client := range second {
		if _, err := client.Exchange(ping, "/>"); err != nil {
			t.Error(err)
		}
	}
	closeAll(first)
	closeAll(second)
	third, resumed := node.connectAll(ids, how)
	if t.Failed() || resumed != count {
		t.Fatalf("way %d: %d of %d resumed after their streams broke", how, resumed, count)
	}
	closeAll(third)
	return ids
}

// checkLostSessions restarts one server and drains another: all sessions but those of the two are resumed.
func checkLostSessions(t *testing.T, node *xmppNode, how xmppserver.LoginMethod, ids []string) {
	t.Helper()
	const restarted, draining = 2, 3
	node.servers[restarted].Restart() // it has no sessions any more
	node.writeAndReload(draining)
	before := node.servers[draining].Count().Streams
	lost := countOf(ids, fmt.Sprint("h", restarted)) + countOf(ids, fmt.Sprint("h", draining))
	clients, resumed := node.connectAll(ids, how)
	if t.Failed() || resumed != len(ids)-lost {
		t.Errorf("way %d: %d resumed of %d whose servers still have them", how, resumed, len(ids)-lost)
	}
	if node.servers[draining].Count().Streams != before {
		t.Errorf("way %d: streams to a server that drains", how)
	}
	closeAll(clients)
	node.writeAndReload(noneDraining)
}

// TestSeeOtherHost has servers redirect sessions to another one: there they go, with the next attempt, if it is in the
// list; an address that is not in the list is never tried.
func TestSeeOtherHost(t *testing.T) {
	const servers = 6
	for target := range servers { // each in turn: one of them is the module's own next choice
		node := newXMPPNode(t, servers, "")
		for i, server := range node.servers {
			if i != target {
				server.SeeOther = node.servers[target].Addr
			}
		}
		clients, _ := node.connectAll([]string{""}, xmppserver.LoginPlain)
		closeAll(clients)
		elsewhere := node.streams() - node.servers[target].Count().Streams
		if node.servers[target].Count().Bound != 1 || elsewhere > 1 {
			t.Errorf("%d attempts elsewhere before the server that was named", elsewhere)
		}
	}
	node := newXMPPNode(t, 3, "")
	unlisted, err := xmppserver.Listen("stranger")
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
		t.Error("a session went to a server that is not in the list")
	}
}
