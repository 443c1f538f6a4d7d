package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/lab/transcript"
)

const (
	// readyTimeout is the limit from the start of a process to its first PONG.
	readyTimeout = 6 * time.Second
	// slowAnswer is the delay after which the slow discovery answers.
	slowAnswer = 20 * time.Second
)

// faultyDiscoveries starts discoveries that don't give a starting process its list, by the name of the fault.
var faultyDiscoveries = map[string]func(t *testing.T) (addr string){
	"refuses connections":        startRefusing,
	"doesn't accept connections": startOverloaded,
	"sends nothing": func(t *testing.T) string {
		t.Helper()
		return startDiscovery(t, answerNothing)
	},
	"fails each request": func(t *testing.T) string {
		t.Helper()
		return startDiscovery(t, answerUnavailable)
	},
	"answers without end": func(t *testing.T) string {
		t.Helper()
		return startDiscovery(t, answerEndlessly)
	},
	"answers after 20 s": func(t *testing.T) string {
		t.Helper()
		return startDiscovery(t, answerSlowly)
	},
}

func startRefusing(t *testing.T) string {
	t.Helper()
	addr, _ := reserveAddress(t)
	return addr
}

func startOverloaded(t *testing.T) string {
	t.Helper()
	addr, listen := reserveAddress(t)
	fillAcceptQueue(t, listen(), addr)
	return addr
}

func answerNothing(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) } // until the node closes the connection

func answerUnavailable(conn net.Conn) {
	send(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

func answerEndlessly(conn net.Conn) {
	send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
	for {
		if _, err := conn.Write([]byte(" ")); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func answerSlowly(conn net.Conn) {
	setReadTimeout(conn, slowAnswer)
	if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
		return // the node closed the connection
	}
	send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n"+`{"version":70,"full":true,"servers":[]}`)
}

// startDiscovery starts a discovery that reads the first HTTP request of each connection and then calls answer.
func startDiscovery(t *testing.T, answer func(net.Conn)) (addr string) {
	t.Helper()
	return serve(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			answer(conn)
		}
	})
}

// serve starts a server on a free port. It closes each connection when handle returns.
func serve(t *testing.T, handle func(net.Conn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", freePort)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the node may have closed it already
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// fillAcceptQueue fills a listener's accept queue, so that the system doesn't answer further connections.
func fillAcceptQueue(t *testing.T, listener net.Listener, addr string) {
	t.Helper()
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		t.Fatalf("got a listener of type %T, want *net.TCPListener", listener)
	}
	control, err := tcpListener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenErr error
	err = control.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), 0) })
	if err = errors.Join(err, listenErr); err != nil {
		t.Fatal(err)
	}
	for {
		conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return
		}
		closeAtEnd(t, conn)
	}
}

// TestReadyWithoutDiscovery starts the program while discovery is down, slow or silent. The program must report in time
// that it accepts clients, whether its lists are requested or pushed and also without a list in its configuration.
func TestReadyWithoutDiscovery(t *testing.T) {
	program := build(t)
	server := transcript.EchoServer(t)
	for name, startFaulty := range faultyDiscoveries {
		for _, membership := range []string{"on_request", "pushed"} {
			for _, known := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, list known: %v", name, membership, known), func(t *testing.T) {
					t.Parallel()
					list := `{"version":0,"full":true,"servers":[]}`
					want := "BUSY"
					if known {
						list = encodeList(t, 41, []listEntry{{"s-1", server, "SERVING"}})
						want = "UP 1"
					}
					path := filepath.Join(t.TempDir(), "config.json")
					nodeConfig{
						discovery: startFaulty(t),
						limits:    `{"memory_mb":64,"sockets":384}`,
						known:     list,
						settings:  settings("off", "on_request", membership),
					}.write(t, path)
					checkReady(t, program, path, want)
				})
			}
		}
	}
}

// checkReady starts the program and checks that it is ready in time and that its answer to a request starts with want.
func checkReady(t *testing.T, program, configPath, want string) {
	t.Helper()
	started := time.Now()
	proc := start(t, program, []string{"GW_CONFIG=" + configPath})
	took, err := waitForPong(proc.addr, started)
	if err != nil || took > readyTimeout {
		t.Errorf("ready after %v, %v, want 6s at most and no error", took, err)
	} else {
		t.Logf("ready after %v", took)
	}
	answer, conn := request(proc.addr, 1)
	if !strings.HasPrefix(answer, want) {
		t.Errorf("request: got answer %q, want %s", answer, want)
	}
	if conn != nil {
		_ = conn.Close() // the answer has been read
	}
}

// waitForPong sends PING until PONG arrives and returns the time since the start. It connects again whenever the
// process closes the connection without an answer, and stops if it can't connect or after twice readyTimeout.
func waitForPong(addr string, started time.Time) (took time.Duration, err error) {
	for time.Since(started) < 2*readyTimeout {
		var line string
		line, err = ping(addr, started.Add(2*readyTimeout))
		var dialErr *net.OpError
		if errors.As(err, &dialErr) && dialErr.Op == "dial" || line == "PONG\r\n" {
			break
		}
	}
	return time.Since(started), err
}

// ping sends PING and returns the first line of the answer.
func ping(addr string, deadline time.Time) (string, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }() // an error doesn't change the result
	send(conn, "PING\r\n")
	setReadTimeout(conn, time.Until(deadline))
	return readLine(conn)
}
