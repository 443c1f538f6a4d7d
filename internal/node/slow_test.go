package node

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// sendAfterOpen accepts one connection, answers its request and sends lines. It returns the number of bytes that it
// could send.
func sendAfterOpen(listener net.Listener, lines string) (sent int) {
	conn, err := listener.Accept()
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()           // only the number of sent bytes matters
	_, _ = bufio.NewReader(conn).ReadString('\n') // the client notices if the request didn't arrive
	send(conn, "UP 1\r\n")
	sent, _ = conn.Write([]byte(lines)) // the number of sent bytes shows whether Write failed
	return sent
}

// TestSlowReader checks that a client that doesn't read slows down its server instead of filling the node's memory, and
// that no data is lost once the client reads.
func TestSlowReader(t *testing.T) {
	const size = 48 << 20
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, server)
	sent := make(chan int, 1)
	go func() {
		line := strings.Repeat("x", 1022) + "\r\n"
		sent <- sendAfterOpen(server, strings.Repeat(line, size/len(line)))
	}()
	conn := dial(t, startPlatform(t, platformConfig(t, server.Addr().String())))
	send(conn, "OPEN 01 01 c=chat,d=2000\r\n")
	reader := bufio.NewReader(conn)
	if up, err := reader.ReadString('\n'); up != "UP 1\r\n" {
		t.Fatal(up, err)
	}
	time.Sleep(500 * time.Millisecond)
	select {
	case count := <-sent:
		t.Fatalf("Write to a client that doesn't read: got all of %d bytes sent, want the server to wait", count)
	default:
	}
	got, err := io.Copy(io.Discard, reader)
	if got != size || err != nil {
		t.Errorf("Copy from the node: got %d bytes, want %d: %v", got, size, err)
	}
	if count := <-sent; count != size {
		t.Errorf("Write of the server: got %d bytes sent, want 48 MiB", count)
	}
}
