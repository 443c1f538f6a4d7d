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
	limitedMemory      = 64 // MB; the race detector's own memory is in it
	limitedConnections = 1500
	usualClients       = 10
	minServedClients   = 5
	upgradeAfter       = 700 // connections
	checkInterval      = 100 // connections
)

// TestLimitedResources has it all at once, in a node of few descriptors and little memory: many clients that send
// nothing or half a line, clients that vanish, lines in pieces, connections that stand and fall silent, and an upgrade.
// Usual clients are served throughout, the admin server answers, and two processes use no more than the node may.
func TestLimitedResources(t *testing.T) {
	limits := fmt.Sprintf(`{"cores":1,"memory_mb":%d,"sockets":%d}`, limitedMemory, limitedSockets)
	surroundings := newSite(t, limits)
	first := surroundings.start(t, surroundings.tmp)
	running := []*process{first}
	var idle []net.Conn
	defer func() { closeAll(idle) }()
	for i := range limitedConnections {
		conn, err := net.Dial("tcp", surroundings.listen)
		if err != nil {
			continue // more than the node accepts at once
		}
		if vanish := i%5 == 3; vanish {
			reset(conn)
			continue
		}
		sendPart(conn, i)
		idle = append(idle, conn)
		if i%checkInterval == checkInterval/2 {
			checkUnderLimits(t, surroundings.listen, i, running)
		}
		if i == upgradeAfter {
			running = append(running, surroundings.start(t, surroundings.tmp))
			first.signal(syscall.SIGTERM)
		}
	}
	if first.readiness() == http.StatusOK {
		t.Error("the process that was stopped accepts clients")
	}
}

// reset closes a connection by RST.
func reset(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0) // else it ends by FIN, which the node has to bear too
	}
	_ = conn.Close() // it is over either way
}

// sendPart sends what a client of an index sends: half a line, a health check, a request that is answered and then
// silence, or nothing.
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

// checkUnderLimits checks that usual clients are served, that the node keeps to its limits and that it is ready.
func checkUnderLimits(t *testing.T, addr string, connections int, running []*process) {
	t.Helper()
	clients := &transcript.Clients{Addr: addr}
	for range usualClients {
		clients.Connect()
	}
	if clients.NotAccepted.Load()+clients.Lost.Load() != 0 {
		t.Errorf("usual clients: %d lost before they were accepted, %d cut off",
			clients.NotAccepted.Load(), clients.Lost.Load())
	}
	if served := clients.Established.Load(); served < minServedClients {
		t.Errorf("after %d connections %d of 10 usual clients were served", connections, served)
	}
	descriptors, memory := usage(running...)
	if descriptors > limitedSockets || memory > limitedMemory {
		t.Errorf("after %d connections: %d descriptors, %d MB", connections, descriptors, memory)
	}
	newest := running[len(running)-1]
	if status := newest.readiness(); status != http.StatusOK {
		t.Errorf("after %d connections the admin server says %d", connections, status)
	}
}
