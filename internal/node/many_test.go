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

// many is more servers, and more nodes, than any bound on their lists may be.
const many = 1100

// manyServers is a complete list in discovery's form, indented, with ids as long as they get.
func manyServers(t *testing.T, version int, name string) string {
	t.Helper()
	var entries []map[string]any
	for i := range many {
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

// sendersAtOnce is how many nodes may send at once: all of them, unless the system gives the socket a smaller buffer
// than they need.
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
	const each = 1 << 10 // that the system counts for a short datagram, and some
	if want := min(many*each, 2*limit); buffer < want {
		t.Errorf("a buffer of %d bytes for datagrams: %d are wanted", buffer, want)
	}
	return min(many-1, buffer/each)
}

// startDiscovery starts a discovery that answers with a list of version 8.
func startDiscovery(t *testing.T, list string) (addr string) {
	t.Helper()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("after") == "8" { // nothing newer
			<-r.Context().Done()
			return
		}
		send(w, "%s", list)
	}))
	t.Cleanup(discovery.CloseClientConnections)
	return discovery.Listener.Addr().String()
}

// listenPeersOf opens the sockets of all other nodes; the first address is the node's own.
func listenPeersOf(t *testing.T) (addrs []string, peers []net.PacketConn) {
	t.Helper()
	own, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addrs = []string{own.LocalAddr().String()}
	for range many - 1 {
		peer, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, peer)
		addrs = append(addrs, peer.LocalAddr().String())
		peers = append(peers, peer)
	}
	if err := own.Close(); err != nil { // the node's, from here on
		t.Fatal(err)
	}
	return addrs, peers
}

// newNodeOfMany sets up a node with a list of servers, a discovery and peers. Its loop doesn't run yet.
func newNodeOfMany(t *testing.T, discovery string, peers []string) (*loop.Loop, *platform) {
	t.Helper()
	changed := strings.NewReplacer("REPORTS", "on_probe", `"groupSize":1`, fmt.Sprintf(`"groupSize":%d`, many),
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

// TestManyServersAndNodes gives a node a list of 1,100 servers, another one from discovery, and 1,099 other nodes, all
// of which send to it at once: it knows every server and receives from every node.
func TestManyServersAndNodes(t *testing.T) {
	discovery := startDiscovery(t, manyServers(t, 8, "fresh"))
	addrs, peers := listenPeersOf(t)
	eventLoop, platform := newNodeOfMany(t, discovery, addrs)
	if servers := len(platform.core.Servers()); servers != many {
		t.Errorf("%d servers known at the start", servers)
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
	sendFrom(peers[:atOnce]) // before the loop runs: all of it is in the node's socket
	start(t, eventLoop)
	awaitReceived := func(want int) {
		transcript.WaitFor(t, fmt.Sprintf("%d nodes are received from", want), func() (all bool) {
			runOn(eventLoop, func() { all = platform.peers.counts.received == want })
			return all
		})
	}
	awaitReceived(atOnce)
	for next := atOnce; next < many-1; { // where the system gives a smaller buffer than is asked for
		more := min(atOnce, many-1-next)
		sendFrom(peers[next : next+more])
		next += more
		awaitReceived(next)
	}
	transcript.WaitFor(t, "discovery's complete list is known", func() (all bool) {
		runOn(eventLoop, func() {
			servers := platform.core.Servers()
			all = len(servers) == many && strings.HasPrefix(string(servers[0].ID), "fresh")
		})
		return all
	})
	runOn(eventLoop, func() {
		if len(platform.peers.addrs) != many || platform.peers.counts.unknown != 0 {
			t.Errorf("%d nodes, %d unknown senders", len(platform.peers.addrs), platform.peers.counts.unknown)
		}
		if known := platform.core.Gauges().ServersKnown; known != many {
			t.Errorf("%d servers in the figures", known)
		}
	})
}
