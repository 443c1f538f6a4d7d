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

// TestNothingSentAfterLateXMPPDial checks that the node writes none of the client's data to a server whose connection
// is established only after the session's deadline, or after the server has begun to drain. The test blocks the loop
// from the dial until one of these has happened.
func TestNothingSentAfterLateXMPPDial(t *testing.T) {
	checkDial(t, "dial past the deadline", func(*edge.Core, string) { time.Sleep(2100 * time.Millisecond) })
	checkDial(t, "dial of a draining server", func(core *edge.Core, addr string) {
		draining := choice.Server{ID: "h", Size: 1, State: choice.Draining}
		core.UpdateServers(choice.ListChange, []edge.ServerEntry{{Addr: addr, Server: draining}})
	})
}

// checkDial makes one client connect. duringDial runs on the loop while the node dials the server.
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
	hasDialed := false
	node.loop.AfterCallback(func() {
		if hasDialed || core.InFlightOn("h") == 0 {
			return
		}
		hasDialed = true
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
		defer func() { _ = conn.Close() }() // the error is ignored because all data has been read
		limitTime(t, conn)
		text, err := io.ReadAll(conn)
		received <- fmt.Sprint(string(text), err)
	}()
	limitTime(t, client)
	answer, err := io.ReadAll(client)
	if !strings.Contains(string(answer), "</stream:error></stream:stream>") || err != nil {
		t.Errorf("%s: answer to the client: got %q, %v, want a stream error and the end of the stream",
			name, answer, err)
	}
	if text := <-received; text != "<nil>" {
		t.Errorf("%s: data and error at the server: got %q, want only <nil>", name, text)
	}
}
