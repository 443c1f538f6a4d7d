package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
)

// limitedClient opens connections to a node, one after another.
type limitedClient struct {
	addr string
	next int // id of the last request
}

// open sends a request and returns its answer. An empty answer means that the connection was closed or was never
// established.
func (c *limitedClient) open(t *testing.T) (answer string, conn net.Conn) {
	t.Helper()
	conn, err := net.Dial("tcp", c.addr)
	if err != nil { // the node closed the connection immediately
		return "", nil
	}
	c.next++
	send(conn, "OPEN %d 01 c=chat,d=3000\r\n", c.next)
	limitTime(t, conn)
	line, _ := bufio.NewReader(conn).ReadString('\n') // if the connection ends, the answer is empty
	return strings.TrimSpace(line), conn
}

// TestConnectionLimit checks that a node at its descriptor limit rejects requests with a retry time, closes connections
// beyond that, and serves clients again once it has capacity.
func TestConnectionLimit(t *testing.T) {
	node := platformConfig(t, transcript.EchoServer(t))
	node.Sockets = reservedDescriptors + 24
	client := &limitedClient{addr: startPlatform(t, node)}
	const served, rejected, closed = "UP 1", "BUSY 1000", ""
	var conns []net.Conn
	seen := map[string]int{}
	for range 60 {
		answer, conn := client.open(t)
		seen[answer]++
		if conn != nil {
			conns = append(conns, conn)
		}
		if answer == served && seen[rejected]+seen[closed] > 0 {
			t.Error("request after the limit was reached: got served, want rejected or closed")
		}
	}
	if seen[served] < 5 || seen[rejected] == 0 || seen[served]+seen[rejected]+seen[closed] != 60 {
		t.Errorf("number of requests by answer: got %v, want at least 5 served, some rejected and no other answers",
			seen)
	}
	for _, conn := range conns {
		_ = conn.Close() // the node sees the end of the connection even if Close fails
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		answer, conn := client.open(t)
		if conn != nil {
			_ = conn.Close() // the node sees the end of the connection even if Close fails
		}
		if answer == served {
			return
		}
		if time.Now().After(end) {
			t.Fatal("request after all connections were closed: want UP 1, got ", answer)
		}
	}
}

// TestIdleClientsEvicted checks that clients that send nothing or only PING are evicted one by one when others connect.
// The oldest client is evicted first, and gets an answer or the end of its connection. Each client with a request is
// served.
func TestIdleClientsEvicted(t *testing.T) {
	player := &transcript.Player{}
	node := platformConfig(t, player.Listen(t, "h1"))
	node.Sockets = reservedDescriptors + 64
	node.MemoryMB = 32
	player.Address = startPlatform(t, node)
	connectIdle := func(text string) (idleConns []net.Conn) {
		for range 150 {
			conn := dial(t, player.Address)
			send(conn, "%s", text)
			idleConns = append(idleConns, conn)
		}
		return idleConns
	}
	serveOne := func(id string) {
		exchange := "c open\nc > OPEN ID 01 c=chat,d=4000\n" +
			"s accept h1\ns < OPEN ID 01 c=chat,d={*}\ns > UP 1\nc < UP 1\n"
		player.Play(t, strings.ReplaceAll(exchange, "ID", id))
	}
	idleConns := connectIdle("")
	serveOne("01")
	idleConns = append(idleConns, connectIdle("PING\r\n")...)
	serveOne("02")
	for i, conn := range idleConns {
		limitTime(t, conn)
		got, err := io.ReadAll(conn)
		if text := string(got); text != "BUSY\r\n" && text != "ERR\r\n" && text != "PONG\r\n" || err != nil {
			t.Fatalf("evicted connection %d: got %q, %v, want BUSY, ERR or PONG", i, got, err)
		}
	}
}

// TestOversizeLineAnswered checks that a client receives an error even if it sends 60 MB before it reads anything.
func TestOversizeLineAnswered(t *testing.T) {
	conn := dial(t, startPlatform(t, platformConfig(t, "")))
	piece := []byte(strings.Repeat("x", 1<<20))
	for i := range 60 {
		// The pauses add up to more than 1 s, which once was the total time that the node lingered at the end of a
		// connection.
		if i%20 == 0 {
			time.Sleep(600 * time.Millisecond)
		}
		if _, err := conn.Write(piece); err != nil {
			t.Fatalf("Write after %d MB: %v", i, err)
		}
	}
	limitTime(t, conn)
	if got, err := io.ReadAll(conn); string(got) != "ERR\r\n" || err != nil {
		t.Errorf("answer to an oversize line: got %q, %v, want ERR", got, err)
	}
}

// TestIdleXMPPClientsEvicted checks that idle XMPP clients, whose sessions wait for their header, are evicted so that
// another client is served.
func TestIdleXMPPClientsEvicted(t *testing.T) {
	player := &transcript.Player{Values: map[string]string{"ns": xmppNamespaces}}
	path := writeTemp(t, "operator.toml", fmt.Sprintf("[limits]\nconnections = 64\n"+
		"[[listener]]\naddr = \"127.0.0.1:0\"\nprotocol = \"xmpp\"\n[[class]]\nname = \"c\"\n"+
		"[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n"+
		"[[cluster]]\nname = \"k\"\n[[cluster.host]]\naddr = %q\n",
		player.Listen(t, "h1")))
	node := newOperatorNode(t, path, 1)
	player.Address = node.addr()
	start(t, node.loop)
	for range 200 {
		dial(t, player.Address)
	}
	player.Play(t, `
c open
c >> <stream:stream to='farm.example' version='1.0' {ns}>
s accept h1
s << <stream:stream to='farm.example' version='1.0' {ns}>
`)
}
