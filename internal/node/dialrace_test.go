package node

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
)

// TestXMPPDial has a server's connection come up when the session's time is over, or when the server drains: nothing of
// what the client sent is written there. The loop is blocked from the dial on until that is so.
func TestXMPPDial(t *testing.T) {
	checkDial(t, "late", func(*edge.Core, string) { time.Sleep(2100 * time.Millisecond) })
	checkDial(t, "drains", func(core *edge.Core, addr string) {
		draining := choice.Server{ID: "h", Size: 1, State: choice.Draining}
		core.UpdateServers(choice.ListChange, []edge.ServerEntry{{Addr: addr, Server: draining}})
	})
}

// checkDial has one client connect; duringDial runs on the loop while the connection to the server is dialled.
func checkDial(t *testing.T, name string, duringDial func(core *edge.Core, addr string)) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, server)
	addr := server.Addr().String()
	path := writeTemp(t, "operator.toml", fmt.Sprintf("[[listener]]\naddr = \"127.0.0.1:0\"\nprotocol = \"xmpp\"\n"+
		"[[class]]\nname = \"c\"\npatience = \"2s\"\n[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n"+
		"[[cluster]]\nname = \"k\"\n[[cluster.host]]\nid = \"h\"\naddr = %q\n", addr))
	node := newOperatorNode(t, path, 1)
	core := node.cores[0]
	dialled := false
	node.loop.After(func() {
		if dialled || core.InFlightOn("h") == 0 {
			return
		}
		dialled = true
		duringDial(core, addr)
	})
	start(t, node.loop)
	client := dial(t, node.addr())
	send(client, streamHeader)
	received := make(chan string, 1)
	go func() {
		conn, err := server.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }() // all of it was read
		limitTime(t, conn)
		text, err := io.ReadAll(conn)
		received <- fmt.Sprint(string(text), err)
	}()
	limitTime(t, client)
	answer, err := io.ReadAll(client)
	if !strings.Contains(string(answer), "</stream:error></stream:stream>") || err != nil {
		t.Errorf("%s: the client got %q, %v", name, answer, err)
	}
	if text := <-received; text != "<nil>" {
		t.Errorf("%s: the server got %q", name, text)
	}
}
