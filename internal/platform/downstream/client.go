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
	// firstLineTimeout is for the OPEN line, from the connection on, whatever else was sent: a client that sends
	// nothing that can be served gets an error or an end within 3 s.
	firstLineTimeout     = 2500 * time.Millisecond
	readyTimeout         = 30 * time.Second // for PONG, at a node that knows no servers yet
	connectionLimitRetry = time.Second      // the retry after of a request that the connection limit rejects
)

// What is wrong with the bytes that a client sends before its connection is established.
var (
	errNoLine      = errors.New("no line in time")
	errLineTooLong = errors.New("a first line that is too long")
	errSecondLine  = errors.New("more than one line at once")
	errBeforeReply = errors.New("more before its answer")
	errLineFormat  = errors.New("a line that ends without CRLF or holds bytes that are not printable")
	errUnfinished  = errors.New("half a line and the end")
)

// Lines that are written to clients.
var (
	errorLine       = []byte("ERR\r\n")
	pongLine        = []byte("PONG\r\n")
	plainBusyLine   = []byte("BUSY\r\n")
	moveLine        = []byte("MOVE\r\n")
	midLineMoveLine = []byte("\r\nMOVE\r\n") // ends the server's line first
)

// client is one client's connection: it awaits the first line, then the reply, then it is established. It is the
// edge.Client of its request and the upstream.Sink of the attempt.
type client struct {
	front             *Front
	conn              *loop.Conn
	firstLineReader   line.Reader
	openLine          []byte // as it was read; nil once the connection is established
	pinged            bool
	request           *edge.Request
	server            *upstream.Request
	established       bool
	closed            bool
	serverLines       line.Scanner // of the bytes forwarded to the client
	migrating         bool         // MOVE is due at the end of the present line
	stopTimer         func()
	firstLineDeadline time.Time
}

// awaitFirstLine sets the deadline of the client's request.
func (c *client) awaitFirstLine(deadline time.Time) {
	c.firstLineDeadline = deadline
	c.stopTimer = c.front.loop.At(deadline, c.onFirstLineTimeout)
}

// onFirstLineTimeout ends a connection that has sent no request in time.
func (c *client) onFirstLineTimeout() {
	c.stopTimer = nil
	c.conn.ReadAvailable() // its line may be in the socket
	switch {
	case c.closed || c.request != nil || c.stopTimer != nil:
	case c.pinged:
		c.drop(trace.ClientTimedOut)
	default:
		c.malformed(errNoLine)
	}
}

// Evict ends a connection without a request whose descriptor is needed for another client.
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

// OnConnect does nothing: it is called for dialled connections only.
func (c *client) OnConnect() {}

// OnData takes the client's bytes. Before its connection is established a client sends one line and waits for the
// reply: more than that is malformed, and must not reach a server behind a valid line.
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

// onFirstLine takes a PING or an OPEN line.
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
		// Guards against running out of descriptors half way: a request needs one more for its server.
		zap.L().Warn("connection_limit_reached",
			zap.String("front", "platform"), zap.Int("open_connections", c.front.loop.Open()))
		c.front.core.Reject(spec, c, connectionLimitRetry)
		return
	}
	c.request = c.front.core.Open(spec, c)
}

// onPing replies to a PING, at once or when the node is ready. Beyond maxAwaitingReady clients that wait it gives no
// reply, and the connection ends at its deadline for a first line.
func (c *client) onPing() {
	c.pinged = true
	if c.front.ready {
		c.sendPong()
		return
	}
	if len(c.front.awaitingReady) < maxAwaitingReady {
		c.cancelTimer()
		c.stopTimer = c.front.loop.At(c.front.loop.Now().Add(readyTimeout), func() { c.drop(trace.ClientTimedOut) })
		c.front.awaitingReady = append(c.front.awaitingReady, c)
	}
}

// sendPong replies to a PING.
func (c *client) sendPong() {
	if !c.closed {
		c.conn.Write(pongLine)
	}
}

// malformed replies ERR to what is no request and ends the connection. A request in flight is cancelled.
func (c *client) malformed(cause error) {
	zap.L().Warn("client_line_unreadable", zap.String("sent", cause.Error()))
	c.finish(errorLine, invariant.ByClient, trace.ClientBrokeProtocol)
	if c.request != nil {
		c.request.ClientBrokeProtocol()
	}
}

// busyLine is a BUSY line, with the time to retry after in milliseconds where there is one.
func busyLine(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return plainBusyLine
	}
	return []byte("BUSY " + strconv.FormatInt(max(1, retryAfter.Milliseconds()), 10) + "\r\n")
}

// finish writes a last line and ends the connection.
func (c *client) finish(lastLine []byte, by invariant.Ending, cause trace.Close) {
	if c.closed {
		return
	}
	c.close(by, cause)
	c.conn.Write(lastLine)
	c.conn.End()
}

// drop ends a connection whose client has no reply coming.
func (c *client) drop(cause trace.Close) {
	c.close(invariant.ByClient, cause)
	c.conn.End()
}

// close marks the client closed, and has the invariant monitor check that no reply is outstanding.
func (c *client) close(by invariant.Ending, cause trace.Close) {
	if c.request != nil {
		c.request.ConnectionClosed(by, cause)
	} else {
		c.front.core.ConnectionClosedUnused(cause)
	}
	c.markClosed()
}

// markClosed ends all that would still call the client.
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
}

// Attempt starts an upstream request for the core.
func (c *client) Attempt(attempt *edge.Attempt) edge.UpstreamRequest {
	c.server = c.front.upstream.Attempt(attempt, c.openLine, c)
	return c.server
}

// LocalReply writes the node's own reply.
func (c *client) LocalReply(reply edge.LocalReply) {
	lastLine := errorLine
	if reply.Rejected {
		lastLine = busyLine(reply.RetryAfter)
	}
	c.finish(lastLine, invariant.ByNode, trace.NodeAnswered)
}

// OnEnd ends the server's side as the client did its own.
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
