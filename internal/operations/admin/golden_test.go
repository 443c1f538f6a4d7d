package admin

import (
	"bytes"
	"flag"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/loop"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestGoldenAnswers sends requests to the admin server and compares each byte of its answers. The golden file contains
// each request followed by its answer.
func TestGoldenAnswers(t *testing.T) {
	ready := true
	addr, onLoop := serveGolden(t, Answers{
		Ready:     func() bool { return ready },
		Telemetry: func(buf []byte) []byte { return append(buf, "the figures\n"...) },
		Reasons:   func(buf []byte) []byte { return append(buf, "the reasons\n"...) },
	})
	longName := strings.Repeat("x", 4<<10)
	var got bytes.Buffer
	for _, head := range []string{
		"GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n",
		"GET /api/telemetry HTTP/1.1\r\nHost: node\r\n\r\n",
		"GET /api/reasons HTTP/1.0\n\n",
		"POST /api/ready HTTP/1.1\r\nHost: node\r\n\r\n",
		"GET /api/none HTTP/1.1\r\nHost: node\r\n\r\n",
		"nonsense\r\n\r\n",
		"GET /api/ready",
		"GET /api/ready HTTP/1.1\r\nHost: " + longName + "\r\n\r\n",
	} {
		title := strings.TrimRight(strings.ReplaceAll(head, longName, "x..."), "\r\n")
		got.WriteString("--- " + title + "\n" + callGolden(t, addr, head))
	}
	onLoop(func() { ready = false })
	answer := callGolden(t, addr, "GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n")
	got.WriteString("--- GET /api/ready, not ready\n" + answer)
	const name = "testdata/answers.txt"
	if *update {
		if err := os.WriteFile(name, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("requests to the admin server: got answers\n%q, want\n%q", got.String(), want)
	}
}

// serveGolden runs the admin server on its own loop until the test ends. onLoop calls a function on that loop and waits
// until it returns.
func serveGolden(t *testing.T, answers Answers) (addr string, onLoop func(fn func())) {
	t.Helper()
	events, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	_, address, err := Listen(events, "127.0.0.1:0", answers)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- events.Run() }()
	t.Cleanup(func() {
		events.Post(events.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		events.Close()
	})
	return address.String(), func(fn func()) {
		done := make(chan struct{})
		events.Post(func() {
			fn()
			close(done)
		})
		<-done
	}
}

// callGolden sends a request head and returns the whole answer. If the head does not end with a line break, it closes
// the sending side after it.
func callGolden(t *testing.T, addr, head string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the answer was read to its end
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	if tcpConn, ok := conn.(*net.TCPConn); ok && !strings.HasSuffix(head, "\n") {
		if err := tcpConn.CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}
