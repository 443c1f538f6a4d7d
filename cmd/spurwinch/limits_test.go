package main

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"

	"spurwinch/internal/lab/transcript"
)

const (
	limitedSockets     = 192
	limitedMemory      = 64 // MB; includes the memory of the race detector
	limitedConnections = 1500
	regularClients     = 10
	minServedClients   = 5
	upgradeAfter       = 700 // connections
	checkInterval      = 100 // connections
)

// TestLimitedResources loads a node that has few descriptors and little memory with many clients that send nothing or
// half a line, clients that disconnect at once, lines in pieces and connections that are accepted and then idle, and
// upgrades the node meanwhile. Regular clients must be served throughout, the admin server must answer, and the two
// processes together must stay within the limits of the node.
func TestLimitedResources(t *testing.T) {
	limits := fmt.Sprintf(`{"cores":1,"memory_mb":%d,"sockets":%d}`, limitedMemory, limitedSockets)
	fixture := newNodeFixture(t, limits)
	first := fixture.start(t, fixture.tmp)
	running := []*process{first}
	var idle []net.Conn
	defer func() { closeAll(idle) }()
	for i := range limitedConnections {
		conn, err := net.Dial("tcp", fixture.listen)
		if err != nil {
			continue // the node doesn't accept that many at once
		}
		if disconnect := i%5 == 3; disconnect {
			reset(conn)
			continue
		}
		sendPart(conn, i)
		idle = append(idle, conn)
		if i%checkInterval == checkInterval/2 {
			checkUnderLimits(t, fixture.listen, i, running)
		}
		if i == upgradeAfter {
			running = append(running, fixture.start(t, fixture.tmp))
			first.signal(syscall.SIGTERM)
		}
	}
	if first.readiness() == http.StatusOK {
		t.Error("the replaced process is ready, want not ready after SIGTERM")
	}
}

// reset closes a connection with RST.
func reset(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0) // if this fails, the connection ends with FIN, which the node must handle too
	}
	_ = conn.Close() // the connection is closed even if this returns an error
}

// sendPart sends half a line, a health check, a request or nothing, depending on the index of the client. The client
// sends nothing after that.
func sendPart(conn net.Conn, index int) {
	switch {
	case index%5 == 0:
		send(conn, "OPEN 1")
	case index%5 == 1:
		send(conn, "PING\r\n")
	case index%50 == 2:
		send(conn, "OPEN f%x 1 c=chat,d=900\r\n", index)
	}
}

// checkUnderLimits checks that regular clients are served, that the node stays within its limits and that it is ready.
func checkUnderLimits(t *testing.T, addr string, connections int, running []*process) {
	t.Helper()
	clients := &transcript.Clients{Addr: addr}
	for range regularClients {
		clients.Connect()
	}
	if clients.NotAccepted.Load()+clients.Lost.Load() != 0 {
		t.Errorf("regular clients: %d lost before they were accepted, %d cut off, want none",
			clients.NotAccepted.Load(), clients.Lost.Load())
	}
	if served := clients.Established.Load(); served < minServedClients {
		t.Errorf("after %d connections: %d of 10 regular clients were served, want at least 5", connections, served)
	}
	descriptors, memory := usage(running...)
	if descriptors > limitedSockets || memory > limitedMemory {
		t.Errorf("after %d connections: the node uses %d descriptors and %d MB, want no more than its limits",
			connections, descriptors, memory)
	}
	newest := running[len(running)-1]
	if status := newest.readiness(); status != http.StatusOK {
		t.Errorf("after %d connections: readiness check got status %d, want 200", connections, status)
	}
}
