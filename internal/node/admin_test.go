package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
)

// startSmallNode starts a node with few descriptors and its admin server.
func startSmallNode(tb testing.TB, sockets int) (program *Program, addr string) {
	tb.Helper()
	node := platformConfig(tb, transcript.EchoServer(tb))
	node.Sockets = sockets
	started := startProcess(tb, node, "")
	var err error
	started.runOn(func() { err = started.listenAdmin("127.0.0.1:0") })
	if err != nil {
		tb.Fatal(err)
	}
	return started.Program, started.addr
}

// TestAdminServerUnderLoad fills a node that has few descriptors with clients that send nothing or half a line, and its
// admin server with callers that don't finish their call, don't read, or send single bytes. The node must answer each
// call and serve normal clients.
func TestAdminServerUnderLoad(t *testing.T) {
	program, addr := startSmallNode(t, reservedDescriptors+80)
	adminAddr := program.adminAddr.String()
	player := &transcript.Player{Address: addr, Values: map[string]string{}}
	for i := range 400 {
		send(dial(t, addr), "%s", [3]string{"", "OPEN 01", "PING\r\n"}[i%3])
		if i%20 == 0 {
			send(dial(t, adminAddr), "%s", [2]string{"", "GET /api/re"}[i/20%2])
			send(dial(t, adminAddr), "GET /api/telemetry HTTP/1.1\r\n\r\n") // the caller doesn't read the answer
		}
		if i%100 == 99 {
			checkAdminAnswers(t, adminAddr, i)
			player.Play(t, fmt.Sprintf("c open\nc > OPEN %d 01 c=chat,d=4000\nc < UP 1\n", i))
		}
	}
	slow := dial(t, adminAddr)
	for _, single := range []byte("GET /api/ready HTTP/1.1\r\n\r\n") {
		if _, err := slow.Write([]byte{single}); err != nil {
			t.Fatal(err)
		}
	}
	got, err := io.ReadAll(slow)
	if err != nil || !strings.HasSuffix(string(got), "\r\n\r\nready\n") {
		t.Errorf("request sent byte by byte: got %q, %v, want the answer \"ready\"", got, err)
	}
}

// checkAdminAnswers checks that the admin server answers; after is the number of clients that the test has opened.
func checkAdminAnswers(t *testing.T, adminAddr string, after int) {
	t.Helper()
	if status, body := transcript.AdminRequest(adminAddr, "/api/ready"); status != http.StatusOK {
		t.Errorf("GET /api/ready after client %d: got status %d and body %s, want status 200", after, status, body)
	}
	status, body := transcript.AdminRequest(adminAddr, "/api/telemetry")
	if status != http.StatusOK || !strings.Contains(body, "gw.in_flight:") {
		t.Errorf("GET /api/telemetry after client %d: got status %d and body %s, want 200 and gw.in_flight in the body",
			after, status, body)
	}
}

// BenchmarkFigures fetches the telemetry over a socket, with open connections.
func BenchmarkFigures(b *testing.B) {
	for _, connections := range []int{0, 1000} {
		b.Run(fmt.Sprint(connections), func(b *testing.B) { benchmarkFigures(b, connections) })
	}
}

func benchmarkFigures(b *testing.B, connections int) {
	b.Helper()
	program, addr := startSmallNode(b, 4096)
	for i := range connections {
		conn := dial(b, addr)
		send(conn, "OPEN %d 01 c=chat,d=4000,at=s\r\n", i)
		var up [6]byte
		if _, err := io.ReadFull(conn, up[:]); err != nil || string(up[:]) != "UP 1\r\n" {
			b.Fatal(string(up[:]), err)
		}
	}
	for b.Loop() {
		status, body := transcript.AdminRequest(program.adminAddr.String(), "/api/telemetry")
		if status != http.StatusOK {
			b.Fatal(body)
		}
	}
	runOn(program.loop, func() {
		begin := time.Now()
		var buf []byte
		for range 1000 {
			buf = program.appendTelemetry(buf[:0])
		}
		b.ReportMetric(float64(time.Since(begin).Nanoseconds())/1000, "ns/rendering")
	})
}
