package downstream

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"spurwinch/internal/edge"
	"spurwinch/internal/invariant"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"
	"spurwinch/internal/platform/upstream"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

const (
	// firstLineTimeout is the time after a client connects within which its OPEN line must arrive, even if the client
	// sends something else before it. A client that sends no valid request must get an error or be disconnected within
	// 3 s.
	firstLineTimeout     = 2500 * time.Millisecond
	readyTimeout         = 30 * time.Second // wait for PONG on a node that knows no servers yet
	connectionLimitRetry = time.Second      // retry after in the rejection of a request at the connection limit
	// stallTimeout is how long a client may accept no byte while the node has stopped reading from its server for it.
	// Devices on poor links vanish for several seconds and come back.
	stallTimeout = 30 * time.Second
	// moveFlushTimeout is how long a client that is migrated may take to read what comes before MOVE, and MOVE.
	moveFlushTimeout = 3 * time.Second
)

// Errors in the bytes that a client sends before its connection is established.
var (
	errNoLine      = errors.New("no complete first line before the timeout")
	errLineTooLong = errors.New("first line is longer than 4096 bytes")
	errSecondLine  = errors.New("only one line is allowed before the reply, got more bytes after it")
	errBeforeReply = errors.New("no bytes are allowed between the first line and its reply")
	errLineFormat  = errors.New("first line must be printable ASCII and end with CRLF")
	errUnfinished  = errors.New("connection ended within the first line")
)

// Lines that are written to clients.
var (
	errorLine     = []byte("ERR\r\n")
	pongLine      = []byte("PONG\r\n")
	plainBusyLine = []byte("BUSY\r\n")
	moveLine      = []byte("MOVE\r\n")
)

// client is one client's connection. It waits for the first line, then for the reply, and is then established. It
// implements edge.Client for its request and upstream.Sink for the attempt.
type client struct {
	front             *Front
	conn              *loop.Conn
	firstLineReader   line.Reader
	openLine          []byte // as received; nil once the connection is established or closed
	pinged            bool   // sent PING
	awaitsReady       bool   // its PING is answered when the node becomes ready
	request           *edge.Request
	server            *upstream.Request
	established       bool
	closed            bool
	migrating         bool // MOVE is sent at the end of the server's current line
	stopTimer         func()
	stopStallTimer    func() // nil: the server is read from
	pendingAtCheck    int    // bytes that waited for the client at the last check of its stall
	firstLineDeadline time.Time
}

// awaitFirstLine sets the deadline for the client's first line.
func (c *client) awaitFirstLine(deadline time.Time) {
	c.firstLineDeadline = deadline
	c.stopTimer = c.front.loop.At(deadline, c.onFirstLineTimeout)
}

// onFirstLineTimeout closes a connection whose client sent no request before the deadline.
func (c *client) onFirstLineTimeout() {
	c.stopTimer = nil
	c.conn.ReadAvailable() // the line may already be in the socket
	switch {
	case c.closed || c.request != nil || c.stopTimer != nil:
	case c.pinged:
		c.drop(trace.ClientTimedOut)
	default:
		c.malformed(errNoLine)
	}
}

// Evict closes a connection without a request, because another client needs its descriptor.
func (c *client) Evict() {
	cause := trace.ClientEvicted
	if c.front.core.RejectsNew() {
		cause = trace.NodeStopping
	}
	if c.pinged {
		c.drop(cause)
	} else {
		c.finish(busyLine(0), invariant.ByNode, cause)
	}
}

// OnConnect does nothing: the loop calls it for dialled connections only.
func (c *client) OnConnect() {}

// OnData handles the client's bytes. Until its connection is established, a client must send one line and wait for the
// reply. Further bytes are malformed and must not reach a server after a valid line.
func (c *client) OnData(data []byte) {
	switch {
	case c.closed:
	case c.established:
		c.forwardToServer(data)
	case c.request != nil:
		c.malformed(errBeforeReply)
	default:
		text, rest, err := c.firstLineReader.Next(data)
		switch {
		case err != nil:
			c.malformed(errLineTooLong)
		case text != nil && len(rest) > 0:
			c.malformed(errSecondLine)
		case text != nil:
			c.onFirstLine(text)
		}
	}
}

// onFirstLine handles a PING or an OPEN line.
func (c *client) onFirstLine(raw []byte) {
	text := line.Trim(raw)
	if !bytes.HasSuffix(raw, []byte("\r\n")) || !line.Printable(text) {
		c.malformed(errLineFormat)
		return
	}
	if string(text) == "PING" {
		c.onPing()
		return
	}
	spec, err := c.front.parseOpenLine(text)
	if err != nil {
		c.malformed(err)
		return
	}
	c.cancelTimer()
	c.openLine = bytes.Clone(raw)
	c.conn.LeaveIdleQueue()
	if !c.front.ensureCapacity() {
		// Reject the request now, because it needs another descriptor for its server, and the node must not run out of
		// descriptors after accepting it.
		zap.L().Warn("connection_limit_reached",
			zap.String("front", "platform"), zap.Int("open_connections", c.front.loop.Open()))
		c.front.core.Reject(spec, c, connectionLimitRetry)
		return
	}
	c.request = c.front.core.Open(spec, c)
}

// onPing replies to a PING at once if the node is ready, else when it becomes ready. If maxAwaitingReady clients
// already wait, it doesn't reply, and the connection is closed at its deadline for a first line.
func (c *client) onPing() {
	c.pinged = true
	if c.front.ready {
		c.sendPong()
		return
	}
	if len(c.front.awaitingReady) < maxAwaitingReady {
		c.cancelTimer()
		c.stopTimer = c.front.loop.At(c.front.loop.Now().Add(readyTimeout), func() { c.drop(trace.ClientTimedOut) })
		c.awaitsReady = true
		c.front.awaitingReady = append(c.front.awaitingReady, c)
	}
}

// sendPong replies to a PING.
func (c *client) sendPong() {
	c.awaitsReady = false
	if !c.closed {
		c.conn.Write(pongLine)
	}
}

// malformed replies ERR to invalid bytes, closes the connection and cancels the client's request, if there is one.
func (c *client) malformed(cause error) {
	zap.L().Warn("client_line_unreadable", zap.String("sent", cause.Error()))
	c.finish(errorLine, invariant.ByClient, trace.ClientBrokeProtocol)
	if c.request != nil {
		c.request.ClientBrokeProtocol()
	}
}

// busyLine returns a BUSY line. If retryAfter is positive, the line contains it in whole milliseconds, at least 1.
func busyLine(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return plainBusyLine
	}
	return []byte("BUSY " + strconv.FormatInt(max(1, retryAfter.Milliseconds()), 10) + "\r\n")
}

// finish writes a last line to the client and closes the connection.
func (c *client) finish(lastLine []byte, by invariant.ClosedBy, cause trace.CloseReason) {
	if c.closed {
		return
	}
	c.close(by, cause)
	c.conn.Write(lastLine)
	c.conn.End()
}

// drop closes a connection without a last line. No request of its client may be waiting for the node's reply.
func (c *client) drop(cause trace.CloseReason) {
	c.close(invariant.ByClient, cause)
	c.conn.End()
}

// close marks the client closed and reports the end of its connection to the core, whose invariant monitor checks that
// no reply is outstanding.
func (c *client) close(by invariant.ClosedBy, cause trace.CloseReason) {
	if c.request != nil {
		c.request.ConnectionClosed(by, cause)
	} else {
		c.front.core.ConnectionClosedUnused(cause)
	}
	c.markClosed()
}

// markClosed marks the client closed and stops its timer.
func (c *client) markClosed() {
	c.closed = true
	c.cancelTimer()
	c.openLine = nil
}

func (c *client) cancelTimer() {
	if c.stopTimer != nil {
		c.stopTimer()
		c.stopTimer = nil
	}
	c.stopStallWatch()
}

// Attempt starts an upstream request for one of the core's attempts.
func (c *client) Attempt(attempt *edge.Attempt) edge.UpstreamRequest {
	c.server = c.front.upstream.Attempt(attempt, c.openLine, c)
	return c.server
}

// LocalReply writes the node's own reply to the client and then closes the connection.
func (c *client) LocalReply(reply edge.LocalReply) {
	lastLine := errorLine
	if reply.Rejected {
		lastLine = busyLine(reply.RetryAfter)
	}
	c.finish(lastLine, invariant.ByNode, trace.NodeAnswered)
}

// OnEnd handles the end of the client's connection. It ends the server's connection in the same way, by a reset or by
// FIN.
func (c *client) OnEnd(err error) {
	if c.closed {
		return
	}
	reset := !errors.Is(err, io.EOF)
	if !reset && !c.established && c.firstLineReader.MidLine() {
		c.malformed(errUnfinished)
		return
	}
	cause := trace.ClientEnded
	if reset {
		cause = trace.ClientReset
	}
	c.close(invariant.ByClient, cause)
	if c.established {
		c.server.End(reset)
	}
	if c.request != nil {
		c.request.ClientGone()
	}
	if !reset {
		c.conn.End()
	}
}
