package transcript

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	lineInterval   = 10 * time.Millisecond // between the lines of one client
	pieceInterval  = 20 * time.Millisecond // between the pieces of a request that comes in two
	firstPiece     = 9                     // bytes
	splitEach      = 4                     // every so many requests come in two pieces
	maxClientLines = 40
)

// Clients are a number of clients of one node, over all its processes: each connects, asks for a connection, and keeps
// it for a while, in which it sends lines.
type Clients struct {
	Addr        string
	Established atomic.Int64 // established connections
	Rejected    atomic.Int64
	Migrated    atomic.Int64 // migrated
	NotAccepted atomic.Int64 // not accepted, closed or left without an answer
	Lost        atomic.Int64 // established, and ended without MOVE
	connections atomic.Int64
	stopped     atomic.Bool
	running     sync.WaitGroup
}

// Start starts clients, each of which connects again and again until Stop.
func (c *Clients) Start(clients int) {
	for range clients {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			for !c.stopped.Load() {
				c.Connect()
			}
		}()
	}
}

// Stop ends the clients and waits for them.
func (c *Clients) Stop() {
	c.stopped.Store(true)
	c.running.Wait()
}

// Connect makes one connection and keeps it to its end.
func (c *Clients) Connect() {
	connection, err := net.DialTimeout("tcp", c.Addr, waitTimeout)
	if err != nil {
		c.NotAccepted.Add(1)
		return
	}
	defer func() { _ = connection.Close() }() // the node may have closed it
	number := c.connections.Add(1)
	_ = connection.SetReadDeadline(time.Now().Add(waitTimeout)) // it fails of a closed connection only
	sendOpen(connection, number)
	reader := bufio.NewReader(connection)
	answer, err := reader.ReadString('\n')
	switch {
	case err != nil:
		c.NotAccepted.Add(1)
	case !strings.HasPrefix(answer, "UP"):
		c.Rejected.Add(1)
	default:
		c.Established.Add(1)
		c.sendLines(connection, reader, int(number%maxClientLines))
	}
}

// sendOpen asks for a connection, in two pieces for some numbers. Where a write fails, so does the read of the answer.
func sendOpen(connection net.Conn, number int64) {
	request := fmt.Sprintf("OPEN %x %x c=chat,t=acme,d=900%s", number, number, lineEnd)
	if number%splitEach == 0 {
		_ = send(connection, request[:firstPiece])
		time.Sleep(pieceInterval)
		request = request[firstPiece:]
	}
	_ = send(connection, request)
}

// sendLines sends a number of lines, each after the answer to the one before.
func (c *Clients) sendLines(connection net.Conn, reader *bufio.Reader, count int) {
	for i := 0; i < count && !c.stopped.Load(); i++ {
		_ = send(connection, fmt.Sprintf("line %d%s", i, lineEnd)) // where it fails, so does the read
		answer, err := reader.ReadString('\n')
		if err != nil {
			c.Lost.Add(1)
			return
		}
		if answer == moveLine {
			c.Migrated.Add(1)
			return
		}
		time.Sleep(lineInterval)
	}
}

// Check fails a test in which a client lost its connection, or none got one.
func (c *Clients) Check(tb testing.TB, what string) {
	tb.Helper()
	if c.NotAccepted.Load() != 0 || c.Lost.Load() != 0 || c.Established.Load() == 0 {
		tb.Errorf("%s: %d not accepted, %d lost, of %d established, %d rejected, %d migrated", what,
			c.NotAccepted.Load(), c.Lost.Load(), c.Established.Load(), c.Rejected.Load(), c.Migrated.Load())
	}
}
