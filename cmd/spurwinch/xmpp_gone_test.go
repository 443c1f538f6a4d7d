package main

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gobwas/ws"

	"spurwinch/internal/lab/transcript"
)

const (
	goneGrace    = 100 * time.Millisecond  // after a client has left, no attempt begins later than this
	retryTime    = 2500 * time.Millisecond // longer than an attempt gets: the default setup_aim is 2 s
	earlyBytes   = 60 << 10                // below the default limit of early_bytes
	settleBefore = 300 * time.Millisecond  // from the client's bytes until it leaves
)

// silentHost accepts connections and never answers. It records when they came, and counts those that are open.
type silentHost struct {
	addr string

	mu       sync.Mutex
	accepted []time.Time
	open     int
}

func newSilentHost(t *testing.T) *silentHost {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // fails only if it is already closed
	host := &silentHost{addr: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			host.mu.Lock()
			host.accepted = append(host.accepted, time.Now())
			host.open++
			host.mu.Unlock()
			go host.discard(conn)
		}
	}()
	return host
}

func (h *silentHost) discard(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn) // returns when the node has ended the connection
	_ = conn.Close()                 // the node has ended it
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
}

// counts returns the numbers of connections that came before and after a time, and of those that are open.
func (h *silentHost) counts(limit time.Time) (earlier, later, open int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.accepted {
		if at.After(limit) {
			later++
		}
	}
	return len(h.accepted) - later, later, h.open
}

// earlyInput is what a client sends before it leaves.
func earlyInput(isWebSocket bool, pipelined bool) string {
	header := xmppHeader
	if isWebSocket {
		header = openFrame(1)
	}
	if !pipelined {
		return header
	}
	var text strings.Builder
	text.WriteString(header)
	for number := 0; text.Len() < earlyBytes; number++ {
		if isWebSocket {
			text.WriteString(clientFrame(ws.NewTextFrame([]byte(shortMessage(number)))))
		} else {
			text.WriteString(shortMessage(number))
		}
	}
	return text.String()
}

// goneClient is a client that leaves while its session is set up.
type goneClient struct {
	entry     xmppEntry
	pipelined bool // has sent much input that is not forwarded yet
	reset     bool // leaves by a reset, not by FIN
}

// goneClients returns a client of each kind for each listener.
func goneClients() (all []goneClient) {
	for _, entry := range []xmppEntry{
		{name: "clear", listener: "protocol = \"xmpp\"\n", dial: dialClear},
		{name: "TLS", listener: "protocol = \"xmpp\"\ntls = \"direct\"\n", dial: dialTLS},
		{name: "WebSocket", listener: "protocol = \"xmpp-websocket\"\n", dial: dialWebSocket, isWebSocket: true},
	} {
		for _, pipelined := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				all = append(all, goneClient{entry, pipelined, reset})
			}
		}
	}
	return all
}

// TestNothingIsSentForXMPPClientThatLeft guards against attempts for a client that has closed its connection while its
// session was set up, with much of its input not forwarded yet: the attempt must end, and none may follow at another
// host.
func TestNothingIsSentForXMPPClientThatLeft(t *testing.T) {
	program := build(t)
	dir := t.TempDir()
	certificate, key := transcript.WriteCertificate(t, dir, time.Now().Add(time.Hour), "farm.example")
	for _, client := range goneClients() {
		name := fmt.Sprintf("%s, pipelined %v, reset %v", client.entry.name, client.pipelined, client.reset)
		t.Run(name, func(t *testing.T) {
			hosts := []*silentHost{newSilentHost(t), newSilentHost(t)}
			addr := transcript.FreeAddr(t)
			path := filepath.Join(t.TempDir(), "operator.toml")
			writeFile(t, path, fmt.Sprintf("[[listener]]\naddr = %q\n%s[[certificate]]\ncert = %q\nkey = %q\n"+
				"[[class]]\nname = \"c\"\n[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n"+
				"[[cluster]]\nname = \"k\"\n[[cluster.host]]\naddr = %q\n[[cluster.host]]\naddr = %q\n",
				addr, client.entry.listener, certificate, key, hosts[0].addr, hosts[1].addr))
			start(t, program, nil, "-operator", path)
			t.Parallel() // only the waits: parallel starts might get the same free address
			left := client.leaveDuringSetup(t, addr)
			requireNothingSentAfter(t, hosts, left)
		})
	}
}

// requireNothingSentAfter checks that the attempt of a client that has left ends, and that no other one begins.
func requireNothingSentAfter(t *testing.T, hosts []*silentHost, left time.Time) {
	t.Helper()
	for i, host := range hosts {
		transcript.WaitFor(t, fmt.Sprintf("the node has no connection to host %d", i), func() bool {
			_, _, open := host.counts(left)
			return open == 0
		})
	}
	time.Sleep(time.Until(left.Add(retryTime)))
	attempts := 0
	for i, host := range hosts {
		earlier, later, _ := host.counts(left.Add(goneGrace))
		attempts += earlier
		if later > 0 {
			t.Errorf("host %d: got %d attempts after the client has left, want 0", i, later)
		}
	}
	if attempts == 0 {
		t.Error("attempts before the client has left: got 0, want 1 or more")
	}
}

// leaveDuringSetup connects a client, sends its input, and closes the connection by FIN or by a reset. It returns when
// the client left.
func (c goneClient) leaveDuringSetup(t *testing.T, addr string) time.Time {
	t.Helper()
	conn, err := c.entry.dial(addr)
	if err == nil {
		_, err = io.WriteString(conn, earlyInput(c.entry.isWebSocket, c.pipelined))
	}
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(settleBefore)
	if c.reset {
		setReset(t, conn)
	}
	_ = conn.Close() // the node may have ended it
	return time.Now()
}

// setReset makes the close of a connection a reset.
func setReset(t *testing.T, conn net.Conn) {
	t.Helper()
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	plain, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("connection: got a %T, want one over TCP", conn)
	}
	if err := plain.SetLinger(0); err != nil {
		t.Fatal(err)
	}
}
