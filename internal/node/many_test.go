package node

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/loop"
)

// listLength is the number of servers and of nodes in the lists of this test. It exceeds every fixed limit that such a
// list could have.
const listLength = 1100

// manyServers returns a complete server list in discovery's format, indented and with ids of the maximum length.
func manyServers(t *testing.T, version int, name string) string {
	t.Helper()
	var entries []map[string]any
	for i := range listLength {
		entries = append(entries, map[string]any{
			"id": fmt.Sprintf("%s-%060d", name, i), "addr": fmt.Sprintf("127.0.0.1:%d", 20000+i),
			"zone": fmt.Sprintf("zone-%d", i%7), "kind": "m2", "cell": i % 11, "state": "SERVING", "weight": 1.0,
			"started_ms": 0,
		})
	}
	list, err := json.MarshalIndent(map[string]any{"version": version, "full": true, "servers": entries}, "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	return string(list)
}

// sendersAtOnce returns how many nodes may send at once. These are all nodes, unless the system gives the socket a
// smaller buffer than they need.
func sendersAtOnce(t *testing.T, socket int) int {
	t.Helper()
	buffer, err := unix.GetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_RCVBUF)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile("/proc/sys/net/core/rmem_max")
	if err != nil {
		t.Fatal(err)
	}
	limit, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		t.Fatal(err)
	}
	const bytesPerDatagram = 1 << 10 // memory that the system accounts for a short datagram, with some reserve
	if want := min(listLength*bytesPerDatagram, 2*limit); buffer < want {
		t.Errorf("receive buffer for datagrams: got %d bytes, want at least %d", buffer, want)
	}
	return min(listLength-1, buffer/bytesPerDatagram)
}

// startDiscovery starts a discovery service that answers with a list of version 8.
func startDiscovery(t *testing.T, list string) (addr string) {
	t.Helper()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("after") == "8" { // there is no newer list
			<-r.Context().Done()
			return
		}
		send(w, "%s", list)
	}))
	t.Cleanup(discovery.CloseClientConnections)
	return discovery.Listener.Addr().String()
}

// openPeerSockets opens the sockets of all other nodes. The first address that it returns is the node's own.
func openPeerSockets(t *testing.T) (addrs []string, peers []net.PacketConn) {
	t.Helper()
	own, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addrs = []string{own.LocalAddr().String()}
	for range listLength - 1 {
		peer, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, peer)
		addrs = append(addrs, peer.LocalAddr().String())
		peers = append(peers, peer)
	}
	if err := own.Close(); err != nil { // the node opens this address later
		t.Fatal(err)
	}
	return addrs, peers
}

// newNodeWithPeers sets up a node with a server list, a discovery address and peers. It doesn't run the loop.
func newNodeWithPeers(t *testing.T, discovery string, peers []string) (*loop.Loop, *platform) {
	t.Helper()
	changed := strings.NewReplacer("REPORTS", "on_probe", `"groupSize":1`, fmt.Sprintf(`"groupSize":%d`, listLength),
		`"mayTell":false`, `"mayTell":true`).Replace(settings)
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
		"limits": map[string]any{"memory_mb": 64, "sockets": 1024}, "peer_listen": peers[0], "peers": peers,
		"known": json.RawMessage(manyServers(t, 7, "known")), "settings": json.RawMessage(changed),
	})
	if err != nil {
		t.Fatal(err)
	}
	path := writeTemp(t, "config.json", string(config))
	eventLoop := newLoop(t)
	env := func(name string) string { return map[string]string{"GW_CONFIG": path}[name] }
	program, err := New(eventLoop, env, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	return eventLoop, program.platform
}

// TestManyServersAndNodes gives a node a list of 1,100 servers, another list of 1,100 servers from discovery, and 1,099
// other nodes that all send to it at once. The node must know every server and receive from every node.
func TestManyServersAndNodes(t *testing.T) {
	discovery := startDiscovery(t, manyServers(t, 8, "fresh"))
	addrs, peers := openPeerSockets(t)
	eventLoop, platform := newNodeWithPeers(t, discovery, addrs)
	if servers := len(platform.core.Servers()); servers != listLength {
		t.Errorf("servers known at the start: got %d, want 1100", servers)
	}
	sendFrom := func(senders []net.PacketConn) {
		to := net.UDPAddrFromAddrPort(platform.peers.localAddr)
		for _, sender := range senders {
			if _, err := sender.WriteTo([]byte{0x11, 0, 0, 0, 0, 0, 0, 0, 0}, to); err != nil {
				t.Error(err)
			}
		}
	}
	atOnce := sendersAtOnce(t, platform.peers.socket.FD())
	sendFrom(peers[:atOnce]) // before the loop runs, so that all messages wait in the node's socket
	start(t, eventLoop)
	awaitReceived := func(want int) {
		transcript.WaitFor(t, fmt.Sprintf("the node receives from %d nodes", want), func() (all bool) {
			runOn(eventLoop, func() { all = platform.peers.counts.received == want })
			return all
		})
	}
	awaitReceived(atOnce)
	for next := atOnce; next < listLength-1; { // only if the system gives a smaller buffer than requested
		more := min(atOnce, listLength-1-next)
		sendFrom(peers[next : next+more])
		next += more
		awaitReceived(next)
	}
	transcript.WaitFor(t, "the node knows the complete list from discovery", func() (all bool) {
		runOn(eventLoop, func() {
			servers := platform.core.Servers()
			all = len(servers) == listLength && strings.HasPrefix(string(servers[0].ID), "fresh")
		})
		return all
	})
	runOn(eventLoop, func() {
		if len(platform.peers.addrs) != listLength || platform.peers.counts.unknown != 0 {
			t.Errorf("peers: got %d nodes and %d messages from unknown senders, want 1100 and 0",
				len(platform.peers.addrs), platform.peers.counts.unknown)
		}
		if known := platform.core.Gauges().ServersKnown; known != listLength {
			t.Errorf("ServersKnown gauge: got %d, want 1100", known)
		}
	})
}
