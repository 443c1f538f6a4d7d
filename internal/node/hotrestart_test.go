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

// process is one process of a node, in this program, on a loop of its own.
type process struct {
	*Program
	addr string
	done chan struct{}
}

// startProcess starts one as New does; path is where the processes of the node find each other.
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

// kill has a process end as by SIGKILL, as far as others see it.
func (p *process) kill() {
	p.loop.Post(p.loop.Stop)
	<-p.done
	p.loop.Close()
}

// on runs a function on the process's loop, and waits for it.
func (p *process) on(fn func()) {
	ran := make(chan struct{})
	p.loop.Post(func() {
		fn()
		close(ran)
	})
	select {
	case <-ran:
	case <-p.done: // the process has ended
	}
}

// number is a value of the process, read on its loop.
func (p *process) number(read func(*process) int) (value int) {
	p.on(func() { value = read(p) })
	return value
}

func receivedPeerMessages(p *process) int { return p.platform.peers.counts.received }

func processesOfNode(p *process) int { return p.platform.processes }

func descriptorQuota(p *process) int { return p.restart.ownQuota() }

const sharedDescriptors = 400 // of the node of TestProcessesShareNode

// sharedNode is a node with two processes and a peer.
type sharedNode struct {
	t            *testing.T
	player       *transcript.Player
	predecessor  *process
	successor    *process
	peer         net.PacketConn
	nodePeerAddr net.Addr
}

// newSharedNode starts the first process. Its list is what the configuration has.
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
		Listen:    transcript.FreeAddr(t), // after all listeners that get a port by themselves
		Discovery: discovery, Seed: 1, Sockets: sharedDescriptors,
		PeerListen: "127.0.0.1:0",
		Peers: []netip.AddrPort{
			netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(peer.LocalAddr().String()),
		},
		Settings: decodeSettings(t, "REPORTS", "off", `"groupSize":1`, `"groupSize":2`, `"mayTell":false`,
			`"mayTell":true`),
		Known: parseList(t, 7, serverEntry("s-1", server, "SERVING")),
	}
	path = hotrestart.Path(t.TempDir(), node.Listen)
	shared = &sharedNode{t: t, player: player, peer: peer, predecessor: startProcess(t, node, path)}
	player.Address = shared.predecessor.addr
	shared.predecessor.on(func() {
		shared.nodePeerAddr = net.UDPAddrFromAddrPort(shared.predecessor.platform.peers.localAddr)
	})
	return shared, node, path
}

// pushUpdate has discovery answer the first process with an update of the list.
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

// sendPeerMessage sends a message of the other node.
func (n *sharedNode) sendPeerMessage() {
	n.t.Helper()
	if _, err := n.peer.WriteTo([]byte("x"), n.nodePeerAddr); err != nil {
		n.t.Error(err)
	}
}

// quotaSum is the sum of both processes' descriptors.
func (n *sharedNode) quotaSum() int {
	return n.predecessor.number(descriptorQuota) + n.successor.number(descriptorQuota)
}

// checkList wants the successor to know the list that was pushed to its predecessor: no more than that is in its file,
// which is older.
func (n *sharedNode) checkList() {
	n.t.Helper()
	if n.successor.addr != n.predecessor.addr {
		n.t.Errorf("listens at %s, the first process at %s", n.successor.addr, n.predecessor.addr)
	}
	var servers []edge.ServerEntry
	n.successor.on(func() { servers = n.successor.platform.core.Servers() })
	if len(servers) != 2 || servers[0].State == servers[1].State {
		n.t.Errorf("begins with %+v", servers)
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

// checkPeerMessages wants the successor alone to receive what the other node sends.
func (n *sharedNode) checkPeerMessages() {
	n.t.Helper()
	transcript.WaitFor(n.t, "the second process receives", func() bool {
		n.sendPeerMessage()
		return n.successor.number(receivedPeerMessages) > 0
	})
	before := n.predecessor.number(receivedPeerMessages)
	n.sendPeerMessage()
	n.sendPeerMessage()
	transcript.WaitFor(n.t, "and only it", func() bool { return n.successor.number(receivedPeerMessages) >= 3 })
	if n.predecessor.number(receivedPeerMessages) != before {
		n.t.Error("both receive")
	}
}

// checkQuotas wants the descriptors never to be more than the node's, however the two look at them, and all of them to
// be the successor's in the end.
func (n *sharedNode) checkQuotas() {
	n.t.Helper()
	if sum := n.quotaSum(); sum > sharedDescriptors || sum < sharedDescriptors/2 {
		n.t.Errorf("%d of %d descriptors", sum, sharedDescriptors)
	}
	before := n.successor.number(descriptorQuota)
	n.predecessor.on(n.predecessor.Shutdown)
	n.player.Play(n.t, "e open\ne > PING\ne < PONG\n")
	transcript.WaitFor(n.t, "the process that shuts down raises the quota", func() bool {
		if sum := n.quotaSum(); sum > sharedDescriptors {
			n.t.Fatalf("%d of %d descriptors", sum, sharedDescriptors)
		}
		return n.successor.number(descriptorQuota) > before
	})
	n.predecessor.kill()
	transcript.WaitFor(n.t, "the second process is the node", func() bool {
		return n.successor.number(descriptorQuota) == sharedDescriptors && n.successor.number(processesOfNode) == 1
	})
}

// TestProcessesShareNode checks what two processes of a node share: the list as it was pushed to the first, the
// descriptors, the part in the fleet, and who receives the other nodes' messages.
func TestProcessesShareNode(t *testing.T) {
	shared, node, path := newSharedNode(t)
	shared.pushUpdate()
	shared.sendPeerMessage()
	transcript.WaitFor(t, "the first process receives", func() bool {
		return shared.predecessor.number(receivedPeerMessages) == 1
	})
	shared.successor = startProcess(t, node, path)
	shared.checkList()
	transcript.WaitFor(t, "both count two processes", func() bool {
		return shared.predecessor.number(processesOfNode) == 2 && shared.successor.number(processesOfNode) == 2
	})
	shared.checkPeerMessages()
	shared.checkQuotas()
}
