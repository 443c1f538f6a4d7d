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
	maxNewIdle     = 1000                 // clients of idleClients.keepArriving that stay open
	idleInterval   = 2 * time.Millisecond // between their arrivals
	maxListAge     = 6 * time.Second      // from discovery's return to the poll that acknowledges its list
	nodeSockets    = 160
	serverCount    = 150 // nearly as many as descriptors
	requestsAtOnce = 15
	requestsInARow = 20
)

// startReportingServer starts a server that answers any number of health checks on a connection, and accepts each
// request with its name. It counts its open connections in open.
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
				_, _ = io.Copy(conn, reader) // until the node closes it
				return
			}
			send(conn, "PONG utilization=0\r\n") // all its connections are this node's, which keeps none for long
		}
	})
}

// reserveAddress returns an address at which connections are refused until listen makes a listener of it.
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
		t.Fatalf("bound to an address of %T", bound)
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

// sendRequest sends a request for a connection, by a number of its own.
func sendRequest(conn net.Conn, number int) {
	send(conn, "OPEN %x %x c=chat,d=3000\r\n", number, number)
}

// request opens a connection with a request and returns the words of its answer, or the error in their place. conn is
// nil where the connection failed.
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

// requester makes requests one after another and checks that each is accepted.
type requester struct {
	addr string
	last int // number of the last request
}

// check makes a request. phase is of the test, prefix begins the name of the server that is to accept it.
func (r *requester) check(t *testing.T, phase, prefix string) {
	t.Helper()
	r.last++
	answer, conn := request(r.addr, r.last)
	if !strings.HasPrefix(answer, "UP "+prefix) {
		t.Errorf("%s: request %d got %q", phase, r.last, answer)
	}
	if conn != nil {
		_ = conn.Close() // its answer is in
	}
}

func (r *requester) checkMany(t *testing.T, count int, phase, prefix string) {
	t.Helper()
	for range count {
		r.check(t, phase, prefix)
	}
}

// checkAtOnce has clients connect and then send their requests all at once: idle clients give way to each of them and
// to its server's connection.
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
	time.Sleep(50 * time.Millisecond) // they are accepted, in the place of others
	for _, conn := range conns {
		r.last++
		sendRequest(conn, r.last)
	}
	for _, conn := range conns {
		setReadTimeout(conn, answerTimeout)
		line, err := readLine(conn)
		if !strings.HasPrefix(line, "UP s-") {
			t.Errorf("one of %d requests at once got %q, %v", count, line, err)
		}
	}
}

// TestCrowdWhileDiscoveryIsDown has idle clients fill the descriptors of a node that the system gives no more than its
// configuration says, while discovery is down and there are nearly as many servers as descriptors. Clients with a
// request are served all the time, the client that has been idle longest is evicted first, and when discovery returns
// its list is in force and its new server is reached.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
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
	requests.checkMany(t, 2*serverCount, "alone", "s-") // meanwhile each server has its health check
	idle := &idleClients{t: t, addr: proc.addr}
	idle.connect(3 * nodeSockets)
	requests.check(t, "among idle clients", "s-")
	idle.checkOrder()
	stop := idle.keepArriving()
	requests.checkMany(t, requestsInARow, "among idle clients", "s-")
	stop()
	requests.checkAtOnce(t, requestsAtOnce)
	stop = idle.keepArriving()
	requests.checkMany(t, requestsInARow, "after many at once", "s-")
	newServer := startReportingServer(t, "fresh", &openToNew)
	checkDiscoveryReturns(t, returnDiscovery(), newServer)
	requests.checkMany(t, requestsInARow, "after the return", "fresh")
	stop()
	transcript.WaitFor(t, "no connection is kept to servers that the whole list doesn't name",
		func() bool { return openToKnown.Load() == 0 })
}

// checkDiscoveryReturns serves a list of one server and checks that the node acknowledges it in time.
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
		_, _ = io.WriteString(w, list) // without it the node asks again
	})
	go func() { _ = http.Serve(listener, handler) }() // until the listener is closed
	select {
	case at := <-acknowledged:
		if took := at.Sub(returned); took > maxListAge {
			t.Errorf("the list is in force %v after discovery's return", took)
		}
	case <-time.After(answerTimeout):
		t.Fatal("the list is not polled")
	}
}

// idleClients are clients that send nothing, in the order in which they connected.
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

// hasInput reports whether a connection has bytes or its end to read, without a timeout that a busy machine could miss.
func hasInput(t *testing.T, conn net.Conn) bool {
	t.Helper()
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("a connection of type %T", conn)
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

// checkOrder checks that the clients that were evicted, each with its answer, connected before all who stay. It looks
// at the newest first: who was evicted meanwhile connected later than those it has not come to.
func (c *idleClients) checkOrder() {
	c.t.Helper()
	evicted := 0
	staying := 0
	for i := len(c.conns) - 1; i >= 0; i-- {
		conn := c.conns[i]
		if !hasInput(c.t, conn) {
			staying++
			if evicted > 0 {
				c.t.Errorf("idle client %d stays, and %d that connected after it were evicted", i, evicted)
			}
			continue
		}
		evicted++
		setReadTimeout(conn, answerTimeout)
		if received, err := io.ReadAll(conn); string(received) != busyAnswer || err != nil {
			c.t.Errorf("idle client %d got %q, %v", i, received, err)
		}
	}
	if evicted == 0 || staying == 0 {
		c.t.Errorf("%d idle clients were evicted and %d stayed, want some of both", evicted, staying)
	}
}

// keepArriving has further idle clients connect until stop.
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

// arrive has idle clients connect until stopping is closed. The oldest leave as there are many.
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
			continue // the queue of the listener is full
		}
		conns = append(conns, conn)
		if len(conns) > maxNewIdle {
			closeAll(conns[:1])
			conns = conns[1:]
		}
	}
}
