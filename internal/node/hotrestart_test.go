package node

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/operations/hotrestart"
)

// process is a simulated process of a node. It runs in the test program on its own loop.
type process struct {
	*Program
	addr string
	done chan struct{}
}

// startProcess starts a process in the same way as New. The processes of a node find each other through path.
func startProcess(tb testing.TB, node config.Node, path string) *process {
	tb.Helper()
	eventLoop := newLoop(tb)
	started := &process{Program: newProgram(eventLoop), done: make(chan struct{})}
	started.restart.requestGrant(path)
	_, addr, err := started.newPlatform(node, nil)
	if err != nil {
		tb.Fatal(err)
	}
	started.addr = addr.String()
	started.restart.startCoordinator(path)
	go func() {
		defer close(started.done)
		if err := eventLoop.Run(); err != nil {
			tb.Error(err)
		}
	}()
	tb.Cleanup(started.kill)
	return started
}

// kill ends a process in a way that looks like SIGKILL to other processes.
func (p *process) kill() {
	p.loop.Post(p.loop.Stop)
	<-p.done
	p.loop.Close()
}

// runOn runs a function on the process's loop, and waits until it has returned or the process has ended.
func (p *process) runOn(fn func()) {
	ran := make(chan struct{})
	p.loop.Post(func() {
		fn()
		close(ran)
	})
	select {
	case <-ran:
	case <-p.done:
	}
}

// readInt returns a value of the process that is read on its loop.
func (p *process) readInt(read func(*process) int) (value int) {
	p.runOn(func() { value = read(p) })
	return value
}

func receivedPeerMessages(p *process) int { return p.platform.peers.counts.received }

func processesOfNode(p *process) int { return p.platform.processes }

func descriptorQuota(p *process) int { return p.restart.ownQuota() }

const sharedDescriptors = 400 // descriptor limit of the node in TestProcessesShareNode

// sharedNode is a node with two processes and a peer.
type sharedNode struct {
	t            *testing.T
	player       *transcript.Player
	predecessor  *process
	successor    *process
	peer         net.PacketConn
	nodePeerAddr net.Addr
}

// newSharedNode starts the first process. Its server list is the one of its configuration.
func newSharedNode(t *testing.T) (shared *sharedNode, node config.Node, path string) {
	t.Helper()
	player := &transcript.Player{Values: map[string]string{}}
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, peer)
	discovery := player.Listen(t, "d")
	server := player.Listen(t, "h1")
	node = config.Node{
		Listen:    transcript.FreeAddr(t), // chosen after all listeners that let the system choose their port
		Discovery: discovery, Seed: 1, Sockets: sharedDescriptors,
		PeerListen: "127.0.0.1:0",
		Peers: []netip.AddrPort{
			netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(peer.LocalAddr().String()),
		},
		Settings: decodeSettings(t, "REPORTS", "off", `"groupSize":1`, `"groupSize":2`, `"mayTell":false`,
			`"mayTell":true`),
		KnownServers: parseList(t, 7, serverEntry("s-1", server, "SERVING")),
	}
	path = hotrestart.Path(t.TempDir(), node.Listen)
	shared = &sharedNode{t: t, player: player, peer: peer, predecessor: startProcess(t, node, path)}
	player.Address = shared.predecessor.addr
	shared.predecessor.runOn(func() {
		shared.nodePeerAddr = net.UDPAddrFromAddrPort(shared.predecessor.platform.peers.localAddr)
	})
	return shared, node, path
}

// pushUpdate makes discovery answer the first process with an update of the server list.
func (n *sharedNode) pushUpdate() {
	n.t.Helper()
	update := `{"version":9,"full":false,"servers":[` +
		serverEntry("s-1", n.player.Listeners["h1"].Addr().String(), "DRAINING") + "," +
		serverEntry("s-2", n.player.Listen(n.t, "h2"), "SERVING") + `]}`
	n.player.Values["update"] = update
	n.player.Values["length"] = fmt.Sprint(len(update))
	n.player.Play(n.t, `
a accept d
a < GET /v1/servers?after=7&wait_ms={*} HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
a >> HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{update}
a < GET /v1/servers?after=9&wait_ms={*} HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
`[1:])
}

// sendPeerMessage sends a message from the other node.
func (n *sharedNode) sendPeerMessage() {
	n.t.Helper()
	if _, err := n.peer.WriteTo([]byte("x"), n.nodePeerAddr); err != nil {
		n.t.Error(err)
	}
}

// quotaSum returns the sum of both processes' descriptor quotas.
func (n *sharedNode) quotaSum() int {
	return n.predecessor.readInt(descriptorQuota) + n.successor.readInt(descriptorQuota)
}

// checkList checks that the successor accepts clients at its predecessor's address and knows the server list that was
// pushed to the predecessor. The list in the configuration of both is older.
func (n *sharedNode) checkList() {
	n.t.Helper()
	if n.successor.addr != n.predecessor.addr {
		n.t.Errorf("address of the second process: got %s, want %s, the address of the first process",
			n.successor.addr, n.predecessor.addr)
	}
	var servers []edge.ServerEntry
	n.successor.runOn(func() { servers = n.successor.platform.core.Servers() })
	if len(servers) != 2 || servers[0].State == servers[1].State {
		n.t.Errorf("servers at the start of the second process: got %+v, want 2 in different states", servers)
	}
	n.player.Play(n.t, `
b accept d
b < GET /v1/servers?after=9&wait_ms={*} HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
c open
c > OPEN 01 01 c=chat,d=4000
s accept h2
s < OPEN 01 01 c=chat,d={*}
s > UP 1
c < UP 1
`[1:])
}

// checkPeerMessages checks that only the successor receives the messages from the other node.
func (n *sharedNode) checkPeerMessages() {
	n.t.Helper()
	transcript.WaitFor(n.t, "the second process receives peer messages", func() bool {
		n.sendPeerMessage()
		return n.successor.readInt(receivedPeerMessages) > 0
	})
	before := n.predecessor.readInt(receivedPeerMessages)
	n.sendPeerMessage()
	n.sendPeerMessage()
	transcript.WaitFor(n.t, "the second process receives all further peer messages", func() bool {
		return n.successor.readInt(receivedPeerMessages) >= 3
	})
	if n.predecessor.readInt(receivedPeerMessages) != before {
		n.t.Error("peer messages: got some in the first process, want all in the second")
	}
}

// checkQuotas checks that the quotas of both processes together never exceed the node's descriptors, and that the
// successor has all descriptors in the end.
func (n *sharedNode) checkQuotas() {
	n.t.Helper()
	if sum := n.quotaSum(); sum > sharedDescriptors || sum < sharedDescriptors/2 {
		n.t.Errorf("sum of the quotas: got %d, want between half and all of %d", sum, sharedDescriptors)
	}
	before := n.successor.readInt(descriptorQuota)
	n.predecessor.runOn(n.predecessor.Shutdown)
	n.player.Play(n.t, "e open\ne > PING\ne < PONG\n")
	transcript.WaitFor(n.t, "the process that shuts down raises the quota of its successor", func() bool {
		if sum := n.quotaSum(); sum > sharedDescriptors {
			n.t.Fatalf("sum of the quotas during shutdown: got %d, want at most %d", sum, sharedDescriptors)
		}
		return n.successor.readInt(descriptorQuota) > before
	})
	n.predecessor.kill()
	transcript.WaitFor(n.t, "the second process has all descriptors and counts one process", func() bool {
		return n.successor.readInt(descriptorQuota) == sharedDescriptors && n.successor.readInt(processesOfNode) == 1
	})
}

// TestProcessesShareNode checks what two processes of a node share during a hot restart: the server list that was
// pushed to the first one, the descriptors, the number of processes, and which of them receives the other nodes'
// messages.
func TestProcessesShareNode(t *testing.T) {
	shared, node, path := newSharedNode(t)
	shared.pushUpdate()
	shared.sendPeerMessage()
	transcript.WaitFor(t, "the first process receives a peer message", func() bool {
		return shared.predecessor.readInt(receivedPeerMessages) == 1
	})
	shared.successor = startProcess(t, node, path)
	shared.checkList()
	transcript.WaitFor(t, "both processes count two processes", func() bool {
		return shared.predecessor.readInt(processesOfNode) == 2 && shared.successor.readInt(processesOfNode) == 2
	})
	shared.checkPeerMessages()
	shared.checkQuotas()
}
