package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
)

// outageKind is a way in which the discovery service is unavailable.
type outageKind string

const (
	portClosed      outageKind = "connection refused"
	connectHangs    outageKind = "connection never established"
	unavailable     outageKind = "status 503"
	connReset       outageKind = "connection reset"
	connClosed      outageKind = "connection closed"
	noResponse      outageKind = "no response"
	endlessResponse outageKind = "response never ends"
	stalledResponse outageKind = "response stalls"
)

// hangs reports whether a call in such an outage fails only when the watch abandons it.
func (k outageKind) hangs() bool {
	return k == noResponse || k == endlessResponse || k == stalledResponse
}

// listens reports whether the service listens in such an outage.
func (k outageKind) listens() bool { return k != portClosed && k != connectHangs }

// outage is a discovery service that is unavailable until it is restored. Its list then contains a change. Calls that
// arrived during the outage get no response with that change.
type outage struct {
	t        *testing.T
	kind     outageKind
	fd       int
	addr     string
	up       atomic.Bool
	calls    chan time.Time // when each call arrived during the outage
	restored chan time.Time // when the service was restored
}

// newOutage returns a discovery service that is unavailable in the given way.
func newOutage(t *testing.T, kind outageKind) *outage {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		t.Fatalf("Getsockname: got a %T, want an IPv4 address", bound)
	}
	service := &outage{
		t:        t,
		kind:     kind,
		fd:       fd,
		addr:     fmt.Sprintf("127.0.0.1:%d", addr.Port),
		calls:    make(chan time.Time, 1024),
		restored: make(chan time.Time, 1),
	}
	if kind == connectHangs {
		service.fillAcceptQueue()
	}
	if kind.listens() {
		service.listen()
	}
	return service
}

// fillAcceptQueue makes the kernel ignore new connections to the address. It fills the accept queue with connections
// that are never accepted.
func (o *outage) fillAcceptQueue() {
	o.t.Helper()
	if err := unix.Listen(o.fd, 0); err != nil {
		o.t.Fatal(err)
	}
	for {
		conn, err := net.DialTimeout("tcp", o.addr, 200*time.Millisecond)
		if err != nil {
			return
		}
		closeAtEnd(o.t, conn)
	}
}

// listen accepts and serves connections.
func (o *outage) listen() {
	if err := unix.Listen(o.fd, 128); err != nil {
		o.t.Error(err)
		return
	}
	file := os.NewFile(uintptr(o.fd), "discovery")
	listener, err := net.FileListener(file) // with a duplicate of the descriptor
	_ = file.Close()                        // the listener's duplicate stays open even if this fails
	if err != nil {
		o.t.Error(err)
		return
	}
	closeAtEnd(o.t, listener)
	go acceptAll(listener, func(conn net.Conn, _ int) { o.serve(conn) })
}

// restore ends the outage.
func (o *outage) restore() {
	if o.up.Swap(true) {
		return
	}
	o.restored <- time.Now()
	if !o.kind.listens() {
		o.listen()
	}
}

// serve responds to the calls on a connection.
func (o *outage) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !o.up.Load() {
			o.calls <- time.Now()
			if !o.serveInOutage(conn) {
				return
			}
			continue
		}
		if strings.Contains(request.URL.String(), "after=42&") { // there is no change after version 42
			waitForEnd(conn)
			return
		}
		send(conn, okResponse(`{"version":42,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:9",`+
			`"zone":"a","kind":"m","cell":0,"state":"DRAINING","weight":1,"started_ms":0}]}`))
	}
}

// serveInOutage handles a call during the outage and reports whether its connection stays open.
func (o *outage) serveInOutage(conn net.Conn) bool {
	const unfinishedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{"
	switch o.kind {
	case unavailable:
		send(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	case connReset:
		resetOnClose(conn)
	case noResponse:
		waitForEnd(conn)
	case endlessResponse:
		send(conn, unfinishedResponse)
		drip(conn)
	case stalledResponse:
		send(conn, unfinishedResponse)
		waitForEnd(conn)
	case portClosed, connectHangs, connClosed:
	}
	return false
}

// deliveryDelay runs a watch with the real balancer. It restores the service after the given number of failed calls, or
// of hanging calls if calls hang in this outage, and returns how long after that the change arrived.
func (o *outage) deliveryDelay(known *List, failures, hanging int) time.Duration {
	o.t.Helper()
	eventLoop, err := loop.New()
	if err != nil {
		o.t.Fatal(err)
	}
	grace := 300 * time.Millisecond
	var watch *Watch
	core, err := edge.New(edge.Options{
		Clock:     eventLoop,
		Seed:      1,
		WatchList: func() { watch.Follow() },
		Settings: choice.Settings{
			Subscribe: true,
			Rules:     choice.Rules{MaxPollInterval: 10 * time.Minute, DrainGrace: grace},
			Classes:   []choice.Class{{Name: "chat", Deadline: time.Second, Priority: 1}},
			Limits:    choice.Limits{MaxAttempts: 4},
		},
	})
	if err != nil {
		o.t.Fatal(err)
	}
	delivered := make(chan time.Time, 16)
	failed := 0
	notify := func(kind choice.ListKind, servers []edge.ServerEntry) {
		core.UpdateServers(kind, servers)
		if kind != choice.ListUnavailable {
			delivered <- time.Now()
			return
		}
		failed++
		if failed == failures {
			o.restore()
		}
	}
	watch = New(eventLoop, o.addr, known, Mode{DrainGrace: grace}, 1, notify)
	if o.kind.hangs() {
		go func() {
			for range hanging {
				<-o.calls
			}
			o.restore()
		}()
	}
	eventLoop.AfterCallback(core.Flush)
	core.Start(nil)
	runLoop(o.t, eventLoop)
	restored := <-o.restored
	return receive(o.t, delivered).Sub(restored)
}
