package downstream

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"
)

// TestClientThatAcceptsNothingIsMigrated checks that a client which accepts no byte for stallTimeout gets whole lines
// and then MOVE, that its server's connection ends, and that a client which reads slowly stays.
func TestClientThatAcceptsNothingIsMigrated(t *testing.T) {
	const size = 32 << 20 // more than all buffers hold
	node := newTestNode(t, 1)
	node.onLoop(func() { node.front.stallTimeout = 500 * time.Millisecond })
	conn, _ := node.dialClient()
	if err := conn.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, openLine+"\r\n"); err != nil {
		t.Fatal(err)
	}
	server := node.acceptOnServer()
	reader := bufio.NewReader(conn)
	if _, err := io.WriteString(server, "UP 1\r\n"); err != nil {
		t.Fatal(err)
	}
	if up, err := reader.ReadString('\n'); up != "UP 1\r\n" {
		t.Fatal(up, err)
	}
	line := strings.Repeat("x", 1022) + "\r\n"
	ended := make(chan error, 1)
	go func() {
		_, _ = io.WriteString(server, strings.Repeat(line, size/len(line))) // the node may end the connection
		_, err := io.Copy(io.Discard, server)
		ended <- err
	}()
	for range 10 { // slower than the timeout for all, not for each
		time.Sleep(200 * time.Millisecond)
		if text, err := reader.ReadString('\n'); text != line {
			t.Fatalf("slow client: got %.20q and error %v, want its lines", text, err)
		}
		if _, err := reader.Discard(200 * len(line)); err != nil {
			t.Fatalf("slow client: got error %v, want its lines", err)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("server of a client that accepts nothing: got error %v, want the end of its connection", err)
	}
	for {
		text, err := reader.ReadString('\n')
		if text == line && err == nil {
			continue
		}
		if text != "MOVE\r\n" {
			t.Errorf("client that accepts nothing: got %.20q and error %v, want whole lines and then MOVE", text, err)
		}
		return
	}
}
