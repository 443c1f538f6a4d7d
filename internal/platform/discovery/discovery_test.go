package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
)

// receiveTimeout limits each wait in a test.
const receiveTimeout = 20 * time.Second

// fakeDiscovery is a fake discovery service or agent. Its list is empty and has a version that a test sets.
type fakeDiscovery struct {
	addr    string
	version atomic.Int64
	calls   chan string // each call, preceded by the number of its connection
	silent  atomic.Bool // calls get no response
	resets  atomic.Bool // connections are reset when a call arrives
	raw     chan string // raw responses; the connection is closed after each of them
}

// startDiscovery runs a fake discovery until the test ends.
func startDiscovery(t *testing.T, version int64) *fakeDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	discovery := &fakeDiscovery{
		addr:  listener.Addr().String(),
		calls: make(chan string, 1024),
		raw:   make(chan string, 8),
	}
	discovery.version.Store(version)
	go acceptAll(listener, discovery.serve)
	return discovery
}

// acceptAll accepts connections until the listener is closed and numbers them from 1. It calls serve for each
// connection in a separate goroutine, and then closes the connection.
func acceptAll(listener net.Listener, serve func(conn net.Conn, number int)) {
	for number := 1; ; number++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			serve(conn, number)
			_ = conn.Close() // the error doesn't matter: the connection may have been reset
		}()
	}
}

// serve responds to the calls on a connection.
func (d *fakeDiscovery) serve(conn net.Conn, number int) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		d.calls <- fmt.Sprintf("%d %s", number, request.URL)
		select {
		case response := <-d.raw:
			send(conn, response)
			return
		default:
		}
		if d.silent.Load() {
			continue
		}
		if d.resets.Load() {
			resetOnClose(conn)
			return
		}
		d.waitForChange(request.URL.String())
		send(conn, okResponse(fmt.Sprintf(
			"{\n \"version\": %d,\n \"full\": false,\n \"servers\": [\n ]\n}\n", d.version.Load())))
	}
}

// waitForChange returns when the list has another version than the call has, or when connections are to be reset.
func (d *fakeDiscovery) waitForChange(url string) {
	for !d.resets.Load() && strings.Contains(url, fmt.Sprintf("after=%d&", d.version.Load())) {
		time.Sleep(time.Millisecond)
	}
}

// okResponse returns a complete HTTP response with status 200 and the given body.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// send writes to a connection. It ignores errors, because the test then fails when the watch receives nothing.
func send(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// drip writes a byte each millisecond until the watch closes the connection.
func drip(conn net.Conn) {
	for {
		if _, err := conn.Write([]byte(" ")); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// resetOnClose makes a later close send RST. It ignores the error, which occurs only on a closed connection.
func resetOnClose(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0)
	}
}

// waitForEnd returns when the watch has closed the connection.
func waitForEnd(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 1)) // the watch sends nothing in the meantime, so any return means the end
}

// closeAtEnd closes closer at the end of the test. It ignores the error, because the test may have closed it already.
func closeAtEnd(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = closer.Close() })
}

// shortTiming returns a timing in which calls are abandoned after 40 ms.
func shortTiming() timing {
	short := defaultTiming
	short.pollWait = 20 * time.Millisecond
	short.pollWaitJitter = time.Millisecond
	short.responseTimeout = 20 * time.Millisecond
	return short
}

// startWatch runs a watch until the test ends. events receives the kind of each of the watch's notifications.
func startWatch(
	t *testing.T, addr string, known *List, mode Mode, times timing,
) (watch *Watch, events chan choice.ListKind) {
	t.Helper()
	eventLoop, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	events = make(chan choice.ListKind, 1024)
	watch = New(eventLoop, addr, known, mode, 1, func(kind choice.ListKind, _ []edge.ServerEntry) { events <- kind })
	watch.timing = times
	eventLoop.At(eventLoop.Now(), watch.Follow)
	runLoop(t, eventLoop)
	return watch, events
}

// runLoop runs a loop until the test ends.
func runLoop(t *testing.T, eventLoop *loop.Loop) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- eventLoop.Run() }()
	t.Cleanup(func() {
		eventLoop.Post(eventLoop.Stop)
		if err := <-done; err != nil {
			t.Error("running the loop:", err)
		}
		eventLoop.Close()
	})
}

// receive returns the next value of a channel.
func receive[T any](t *testing.T, values chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(receiveTimeout):
		t.Fatal("receiving from a channel: got no value in time")
	}
	return value
}
