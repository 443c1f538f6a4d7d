package node

import (
	"bufio"
	"fmt"
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

const (
	stalledLines    = 4000                    // lines that the server of a stalled client sends
	stalledLineSize = 2000                    // bytes of each
	longStall       = 6500 * time.Millisecond // longer than a server may leave a line unanswered
	shortStall      = 2 * time.Second         // longer than an ending connection may take to write its data
)

// newBusyServer starts a server that answers each line of a client and sends many lines after the first.
func newBusyServer(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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
			go serveBusy(conn)
		}
	}()
	return listener.Addr().String()
}

func serveBusy(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the node may have ended it
	reader := bufio.NewReader(conn)
	if _, err := reader.ReadString('\n'); err != nil {
		return
	}
	send(conn, "UP 1\r\n")
	if _, err := reader.ReadString('\n'); err != nil {
		return
	}
	go func() { // the answers to further lines come behind these
		for number := range stalledLines {
			send(conn, "%s\r\n", stalledLine(number))
		}
		for range stalledLines {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			send(conn, "%s", line)
		}
	}()
	time.Sleep(testTimeout)
}

func stalledLine(number int) string { return fmt.Sprintf("%-*d", stalledLineSize, number) }

// stalledClient is a client that reads nothing for a while.
type stalledClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// newStalledClient opens a connection and has its server send many lines.
func newStalledClient(t *testing.T, addr string) *stalledClient {
	t.Helper()
	conn := dial(t, addr)
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("connection: got a %T, want one over TCP", conn)
	}
	if err := tcp.SetReadBuffer(64 << 10); err != nil { // a small device
		t.Fatal(err)
	}
	limitTime(t, conn)
	client := &stalledClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
	send(conn, "OPEN 01 01 c=chat,d=2000\r\n")
	if up, err := client.reader.ReadString('\n'); up != "UP 1\r\n" {
		t.Fatal(up, err)
	}
	send(conn, "state\r\n")
	return client
}

// stall sends a line each half second, and reads nothing.
func (c *stalledClient) stall(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		send(c.conn, "ping\r\n")
	}
}

// readLines reads whole lines of the server up to another line or the end, and returns their number and that line.
func (c *stalledClient) readLines() (lines int, last string) {
	for {
		text, err := c.reader.ReadString('\n')
		if err != nil || text != stalledLine(lines)+"\r\n" {
			return lines, text
		}
		lines++
	}
}

// TestStalledClientKeepsItsServer guards against a server that counts as silent because this node has stopped reading
// from it: a client that reads nothing for some seconds must get all lines, in one process and through an upgrade.
func TestStalledClientKeepsItsServer(t *testing.T) {
	for name, upgrades := range map[string]int{"one process": 0, "an upgrade": 1} {
		t.Run(name, func(t *testing.T) {
			node := newRestartedNode(t, newBusyServer(t), 512)
			client := newStalledClient(t, node.env["GW_LISTEN"])
			client.stall(time.Second)
			for range upgrades {
				node.restart()
			}
			client.stall(longStall)
			if lines, last := client.readLines(); lines != stalledLines || last != "ping\r\n" {
				t.Errorf("lines after the stall: got %d and then %.20q, want %d and then the answer to ping",
					lines, last, stalledLines)
			}
		})
	}
}

// TestStalledClientGetsMove guards against a planned stop that cuts off a client which reads nothing for a moment: it
// must get whole lines and then MOVE.
func TestStalledClientGetsMove(t *testing.T) {
	node := newRestartedNode(t, newBusyServer(t), 512)
	client := newStalledClient(t, node.env["GW_LISTEN"])
	client.stall(time.Second)
	old := node.current
	old.runOn(func() {
		old.platform.core.Drain(func() {})
		old.platform.core.MigrateRemaining()
	})
	client.stall(shortStall)
	if lines, last := client.readLines(); last != "MOVE\r\n" {
		t.Errorf("lines after the stall: got %d and then %.20q, want whole lines and then MOVE", lines, last)
	}
}
