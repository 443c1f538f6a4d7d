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
	pieceInterval  = 20 * time.Millisecond // between the two pieces of a split request
	firstPiece     = 9                     // length in bytes of the first piece of a split request
	splitEvery     = 4                     // one in so many requests is sent in two pieces
	maxClientLines = 40                    // exclusive upper bound of the lines of one client
)

// Clients simulates clients of one node, whichever of the node's processes accepts them. Each client connects, requests
// a connection, and sends lines on it for a while.
type Clients struct {
	Addr        string
	Established atomic.Int64 // established connections
	Rejected    atomic.Int64
	Migrated    atomic.Int64 // connections that the node asked to migrate
	NotAccepted atomic.Int64 // connections that were not accepted, or closed or left open without an answer
	Lost        atomic.Int64 // established connections that ended without MOVE
	connections atomic.Int64
	stopped     atomic.Bool
	running     sync.WaitGroup
}

// Start starts the given number of clients, each of which connects repeatedly until Stop is called.
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

// Stop stops the clients and waits until they have ended.
func (c *Clients) Stop() {
	c.stopped.Store(true)
	c.running.Wait()
}

// Connect opens one connection and uses it until it ends.
func (c *Clients) Connect() {
	connection, err := net.DialTimeout("tcp", c.Addr, waitTimeout)
	if err != nil {
		c.NotAccepted.Add(1)
		return
	}
	defer func() { _ = connection.Close() }() // the node may have closed it
	number := c.connections.Add(1)
	_ = connection.SetReadDeadline(time.Now().Add(waitTimeout)) // fails only if the connection is closed
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

// sendOpen requests a connection. It sends one in splitEvery requests in two pieces. If a write fails, the read of the
// answer fails too.
func sendOpen(connection net.Conn, number int64) {
	request := fmt.Sprintf("OPEN %x %x c=chat,t=acme,d=900%s", number, number, lineEnd)
	if number%splitEvery == 0 {
		_ = send(connection, request[:firstPiece])
		time.Sleep(pieceInterval)
		request = request[firstPiece:]
	}
	_ = send(connection, request)
}

// sendLines sends the given number of lines, each after the answer to the previous line.
func (c *Clients) sendLines(connection net.Conn, reader *bufio.Reader, count int) {
	for i := 0; i < count && !c.stopped.Load(); i++ {
		_ = send(connection, fmt.Sprintf("line %d%s", i, lineEnd)) // if it fails, the read fails too
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

// Check reports a test error if a client was not accepted or lost its connection, or if no client got one.
func (c *Clients) Check(tb testing.TB, scenario string) {
	tb.Helper()
	if c.NotAccepted.Load() != 0 || c.Lost.Load() != 0 || c.Established.Load() == 0 {
		tb.Errorf("%s: %d not accepted, %d lost, of %d established, %d rejected, %d migrated", scenario,
			c.NotAccepted.Load(), c.Lost.Load(), c.Established.Load(), c.Rejected.Load(), c.Migrated.Load())
	}
}
