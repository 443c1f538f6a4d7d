package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/loop"
)

// many is more hosts, and more nodes, than any bound on their lists may be.
const many = 1100

// manyHosts is a whole list in discovery's form, indented, with ids as long as they get.
func manyHosts(version int, name string) string {
	var all []map[string]any
	for i := range many {
		all = append(all, map[string]any{"id": fmt.Sprintf("%s-%060d", name, i), "addr": fmt.Sprintf("127.0.0.1:%d", 20000+i), "zone": fmt.Sprintf("zone-%d", i%7),
			"kind": "m2", "cell": i % 11, "state": "SERVING", "weight": 1.0, "started_ms": 0})
	}
	b, _ := json.MarshalIndent(map[string]any{"version": version, "full": true, "servers": all}, "", "    ")
	return string(b)
}

// heardAtOnce is how many nodes may speak at once, which is all of them unless the system gives the socket less room than they need.
func heardAtOnce(t *testing.T, socket int) int {
	room, err := unix.GetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_RCVBUF)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile("/proc/sys/net/core/rmem_max")
	if err != nil {
		t.Fatal(err)
	}
	most, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		t.Fatal(err)
	}
	const each = 1 << 10 // that the system counts for a short datagram, and some
	if want := min(many*each, 2*most); room < want {
		t.Errorf("room for %d bytes of datagrams: %d are wanted", room, want)
	}
	return min(many-1, room/each)
}

// TestManyHostsAndNodes gives a node a list of 1,100 hosts, another one from discovery, and 1,099 other nodes, all of which speak to
// it at once: it knows every host and hears every node.
func TestManyHostsAndNodes(t *testing.T) {
	fresh := manyHosts(8, "fresh")
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("after") == "8" { // nothing newer
			<-r.Context().Done()
			return
		}
		io.WriteString(w, fresh)
	}))
	t.Cleanup(discovery.CloseClientConnections)
	own, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peers := []string{own.LocalAddr().String()}
	var others []net.PacketConn
	for range many - 1 {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		peers, others = append(peers, c.LocalAddr().String()), append(others, c)
	}
	own.Close() // the node's, from here on
	config, _ := json.Marshal(map[string]any{"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.Listener.Addr().String(), "seed": "1",
		"limits": map[string]any{"memory_mb": 64, "sockets": 1024}, "peer_listen": peers[0], "peers": peers, "known": json.RawMessage(manyHosts(7, "known")),
		"settings": json.RawMessage(strings.NewReplacer("REPORTS", "on_probe", `"groupSize":1`, fmt.Sprintf(`"groupSize":%d`, many),
			`"mayTell":false`, `"mayTell":true`).Replace(settings))})
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	p, err := New(l, func(name string) string { return map[string]string{"GW_CONFIG": path}[name] }, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	node := p.platform
	if hosts := len(node.core.Servers()); hosts != many {
		t.Errorf("%d hosts known at the start", hosts)
	}
	say := func(all []net.PacketConn) {
		for _, c := range all {
			if _, err := c.WriteTo([]byte{0x11, 0, 0, 0, 0, 0, 0, 0, 0}, net.UDPAddrFromAddrPort(node.peers.localAddr)); err != nil {
				t.Error(err)
			}
		}
	}
	atOnce := heardAtOnce(t, node.peers.socket.FD())
	say(others[:atOnce]) // before the loop runs: all of it lies in the node's socket
	start(t, l)
	on := func(fn func()) {
		done := make(chan bool)
		l.Post(func() { fn(); close(done) })
		<-done
	}
	heard := func(want int) {
		transcript.Until(t, fmt.Sprintf("%d nodes are heard", want), func() (all bool) {
			on(func() { all = node.peers.counts.received == want })
			return all
		})
	}
	heard(atOnce)
	for next := atOnce; next < many-1; { // where the system has less room than is asked for
		more := min(atOnce, many-1-next)
		say(others[next : next+more])
		next += more
		heard(next)
	}
	transcript.Until(t, "discovery's whole list is taken", func() (all bool) {
		on(func() {
			listed := node.core.Servers()
			all = len(listed) == many && strings.HasPrefix(string(listed[0].ID), "fresh")
		})
		return all
	})
	on(func() {
		if len(node.peers.addrs) != many || node.peers.counts.unknown != 0 {
			t.Errorf("%d nodes, %d strangers", len(node.peers.addrs), node.peers.counts.unknown)
		}
		if told := node.core.Gauges().ServersKnown; told != many {
			t.Errorf("%d hosts told to operators", told)
		}
	})
}
