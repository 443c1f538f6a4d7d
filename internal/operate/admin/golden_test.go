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

var update = flag.Bool("update", false, "write the golden files anew")

// TestGoldenAnswers calls a door, and holds each byte of its answers. The golden file has the calls and their answers, one behind the other.
func TestGoldenAnswers(t *testing.T) {
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	ready := true
	answers := Answers{
		Ready:     func() bool { return ready },
		Telemetry: func(buf []byte) []byte { return append(buf, "the figures\n"...) },
		Reasons:   func(buf []byte) []byte { return append(buf, "the reasons\n"...) },
	}
	_, addr, err := Listen(l, "127.0.0.1:0", answers)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	t.Cleanup(func() {
		l.Post(l.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		l.Close()
	})
	call := func(head string) string {
		t.Helper()
		c, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, head); err != nil {
			t.Fatal(err)
		}
		if !strings.HasSuffix(head, "\n") {
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
		}
		answer, err := io.ReadAll(c)
		if err != nil {
			t.Fatal(err)
		}
		return string(answer)
	}
	var got bytes.Buffer
	for _, head := range []string{
		"GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n", "GET /api/telemetry HTTP/1.1\r\nHost: node\r\n\r\n", "GET /api/reasons HTTP/1.0\n\n",
		"POST /api/ready HTTP/1.1\r\nHost: node\r\n\r\n", "GET /api/none HTTP/1.1\r\nHost: node\r\n\r\n", "nonsense\r\n\r\n", "GET /api/ready",
		"GET /api/ready HTTP/1.1\r\nHost: " + strings.Repeat("x", 4<<10) + "\r\n\r\n",
	} {
		got.WriteString("--- " + strings.TrimRight(strings.ReplaceAll(head, strings.Repeat("x", 4<<10), "x..."), "\r\n") + "\n" + call(head))
	}
	change := make(chan struct{})
	l.Post(func() { ready = false; close(change) })
	<-change
	got.WriteString("--- GET /api/ready, not ready\n" + call("GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n"))
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
		t.Errorf("the answers are\n%q, want\n%q", got.String(), want)
	}
}
