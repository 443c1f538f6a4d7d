package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/lab/transcript"
)

const (
	busyAnswer     = "BUSY\r\n"
	answerTimeout  = 20 * time.Second
	maxNewIdle     = 1000                 // limit for the open clients of idleClients.keepArriving
	idleInterval   = 2 * time.Millisecond // between two of their connections
	maxListAge     = 6 * time.Second      // from the return of discovery to the poll that acknowledges its list
	nodeSockets    = 160
	serverCount    = 150 // nearly as many as nodeSockets
	requestsAtOnce = 15
	requestsInARow = 20
)

// startReportingServer starts a server that answers any number of health checks on a connection and accepts each
// request with the server's name. It counts the server's open connections in open.
func startReportingServer(t *testing.T, name string, open *atomic.Int64) (addr string) {
	t.Helper()
	return serve(t, func(conn net.Conn) {
		open.Add(1)
		defer open.Add(-1)
		reader := bufio.NewReader(conn)
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "OPEN") {
				send(conn, "UP %s\r\n", name)
				_, _ = io.Copy(conn, reader) // until the node closes the connection
				return
			}
			send(conn, "PONG utilization=0\r\n") // 0 because only this node connects, and only briefly
		}
	})
}

// reserveAddress returns an address that refuses connections until listen is called, which returns a listener on it.
func reserveAddress(t *testing.T) (addr string, listen func() net.Listener) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "discovery")
	closeAtEnd(t, file)
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	boundIPv4, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		t.Fatalf("Getsockname: got an address of type %T, want *unix.SockaddrInet4", bound)
	}
	return fmt.Sprintf("127.0.0.1:%d", boundIPv4.Port), func() net.Listener {
		listener, err := net.FileListener(file)
		if err == nil {
			err = unix.Listen(fd, 128)
		}
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, listener)
		return listener
	}
}

type listEntry struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	State string `json:"state"`
}

// encodeList returns a full endpoint list as discovery sends it.
func encodeList(t *testing.T, version int, entries []listEntry) string {
	t.Helper()
	list, err := json.Marshal(map[string]any{"version": version, "full": true, "servers": entries})
	if err != nil {
		t.Fatal(err)
	}
	return string(list)
}

// sendRequest sends a request for placement. The number must be different for each request.
func sendRequest(conn net.Conn, number int) {
	send(conn, "OPEN %x %x c=chat,d=3000\r\n", number, number)
}

// request opens a connection, sends a request and returns the answer without its line end, or the text of the error if
// there is no answer. conn is nil if the connection failed.
func request(addr string, number int) (answer string, conn net.Conn) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error(), nil
	}
	sendRequest(conn, number)
	setReadTimeout(conn, answerTimeout)
	line, err := readLine(conn)
	if err != nil {
		return err.Error(), conn
	}
	return strings.TrimSpace(line), conn
}

// requester sends requests and checks that each of them is accepted.
type requester struct {
	addr string
	last int // number of the last request
}

// check sends one request. phase is the phase of the test and prefix the start of the name of the server that must
// accept the request.
func (r *requester) check(t *testing.T, phase, prefix string) {
	t.Helper()
	r.last++
	answer, conn := request(r.addr, r.last)
	if !strings.HasPrefix(answer, "UP "+prefix) {
		t.Errorf("%s: request %d got %q, want it accepted by the expected server", phase, r.last, answer)
	}
	if conn != nil {
		_ = conn.Close() // the answer has been read
	}
}

func (r *requester) checkMany(t *testing.T, count int, phase, prefix string) {
	t.Helper()
	for range count {
		r.check(t, phase, prefix)
	}
}

// checkAtOnce connects clients and then sends all their requests at once. The node must evict idle clients to make room
// for each of these clients and for its connection to a server.
func (r *requester) checkAtOnce(t *testing.T, count int) {
	t.Helper()
	var conns []net.Conn
	defer func() { closeAll(conns) }()
	for range count {
		conn, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	time.Sleep(50 * time.Millisecond) // the node accepts them and evicts others
	for _, conn := range conns {
		r.last++
		sendRequest(conn, r.last)
	}
	for _, conn := range conns {
		setReadTimeout(conn, answerTimeout)
		line, err := readLine(conn)
		if !strings.HasPrefix(line, "UP s-") {
			t.Errorf("one of %d requests at once got %q, %v, want it accepted by a known server", count, line, err)
		}
	}
}

// TestIdleClientsWhileDiscoveryIsDown uses up a node's descriptors with idle clients while discovery is down and the
// node has nearly as many servers as descriptors. The system grants the node no more descriptors than its configuration
// does. Clients with a request must be served all the time, and the client that has been idle longest must be evicted
// first. When discovery returns, its list must take effect and its new server must be used.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	program := build(t)
	var known []listEntry
	var openToKnown, openToNew atomic.Int64
	for i := range serverCount {
		id := fmt.Sprintf("s-%d", i)
		known = append(known, listEntry{id, startReportingServer(t, id, &openToKnown), "SERVING"})
	}
	discovery, returnDiscovery := reserveAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	nodeConfig{
		discovery: discovery,
		limits:    fmt.Sprintf(`{"memory_mb":64,"sockets":%d}`, nodeSockets),
		known:     encodeList(t, 41, known),
		settings:  settings("on_probe"),
	}.write(t, path)
	command := fmt.Sprintf("ulimit -n %d && exec %s", nodeSockets, program)
	proc := start(t, "/bin/sh", []string{"GW_CONFIG=" + path}, "-c", command)
	requests := &requester{addr: proc.addr}
	requests.checkMany(t, 2*serverCount, "no idle clients", "s-") // takes long enough for a health check of each server
	idle := &idleClients{t: t, addr: proc.addr}
	idle.connect(3 * nodeSockets)
	requests.check(t, "with idle clients", "s-")
	idle.checkOrder()
	stop := idle.keepArriving()
	requests.checkMany(t, requestsInARow, "with idle clients", "s-")
	stop()
	requests.checkAtOnce(t, requestsAtOnce)
	stop = idle.keepArriving()
	requests.checkMany(t, requestsInARow, "after many requests at once", "s-")
	newServer := startReportingServer(t, "fresh", &openToNew)
	checkDiscoveryReturns(t, returnDiscovery(), newServer)
	requests.checkMany(t, requestsInARow, "after discovery returned", "fresh")
	stop()
	transcript.WaitFor(t, "all connections to servers that aren't in the full list are closed",
		func() bool { return openToKnown.Load() == 0 })
}

// checkDiscoveryReturns serves a list with one server and checks that the node acknowledges the list in time.
func checkDiscoveryReturns(t *testing.T, listener net.Listener, server string) {
	t.Helper()
	returned := time.Now()
	acknowledged := make(chan time.Time, 1)
	var once sync.Once
	list := encodeList(t, 42, []listEntry{{"fresh", server, "SERVING"}})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.RawQuery, "after=42&") {
			once.Do(func() { acknowledged <- time.Now() })
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, list) // if this fails, the node polls again
	})
	go func() { _ = http.Serve(listener, handler) }() // until the listener is closed
	select {
	case at := <-acknowledged:
		if took := at.Sub(returned); took > maxListAge {
			t.Errorf("the list was acknowledged %v after discovery returned, want 6 s at most", took)
		}
	case <-time.After(answerTimeout):
		t.Fatal("the node did not acknowledge the list")
	}
}

// idleClients holds the connections of clients that send nothing, in the order in which they connected.
type idleClients struct {
	t     *testing.T
	addr  string
	conns []net.Conn
}

func (c *idleClients) connect(count int) {
	c.t.Helper()
	for range count {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			c.t.Fatal(err)
		}
		closeAtEnd(c.t, conn)
		c.conns = append(c.conns, conn)
	}
}

// hasInput reports whether a read from the connection would return bytes or its end at once. It uses a nonblocking peek
// because a short read timeout could expire on a busy machine although there is input.
func hasInput(t *testing.T, conn net.Conn) bool {
	t.Helper()
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("got a connection of type %T, want *net.TCPConn", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		_, _, recvErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		t.Fatal(err)
	}
	return !errors.Is(recvErr, unix.EAGAIN)
}

// checkOrder checks that all evicted clients connected before those that were not evicted, and that each evicted client
// got the answer BUSY. It checks the newest client first because the node may evict clients during the check. A client
// that is evicted after its check connected later than all clients that are still to be checked.
func (c *idleClients) checkOrder() {
	c.t.Helper()
	evicted := 0
	remaining := 0
	for i := len(c.conns) - 1; i >= 0; i-- {
		conn := c.conns[i]
		if !hasInput(c.t, conn) {
			remaining++
			if evicted > 0 {
				c.t.Errorf("idle client %d was not evicted but %d newer ones were, want the oldest evicted first",
					i, evicted)
			}
			continue
		}
		evicted++
		setReadTimeout(conn, answerTimeout)
		if received, err := io.ReadAll(conn); string(received) != busyAnswer || err != nil {
			c.t.Errorf("evicted idle client %d got %q, %v, want BUSY and the end of the connection", i, received, err)
		}
	}
	if evicted == 0 || remaining == 0 {
		c.t.Errorf("%d idle clients were evicted and %d were not, want some of both", evicted, remaining)
	}
}

// keepArriving connects further idle clients until stop is called.
func (c *idleClients) keepArriving() (stop func()) {
	stopping := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.arrive(stopping)
	}()
	return func() {
		close(stopping)
		<-done
	}
}

// arrive connects idle clients until stopping is closed. It closes the oldest of them when there are more than
// maxNewIdle.
func (c *idleClients) arrive(stopping <-chan struct{}) {
	var conns []net.Conn
	defer func() { closeAll(conns) }()
	for {
		select {
		case <-stopping:
			return
		case <-time.After(idleInterval):
		}
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			continue // the accept queue of the listener is full
		}
		conns = append(conns, conn)
		if len(conns) > maxNewIdle {
			closeAll(conns[:1])
			conns = conns[1:]
		}
	}
}
