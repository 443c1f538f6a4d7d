package downstream

import (
	"bytes"
	"time"

	"spurwinch/internal/invariant"
	"spurwinch/internal/platform/line"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

// Established forwards the server's UP line; from here on the server owns the connection.
func (c *client) Established(upLine []byte) {
	c.established = true
	c.conn.Write(upLine)
	c.openLine = nil
	c.throttle()
}

// forwardToServer forwards the bytes of an established connection's client. A line that is too long, the one error of
// Write, ends the connection on both sides without a reply: it is the server's to reply now.
func (c *client) forwardToServer(data []byte) {
	if err := c.server.Write(data); err != nil {
		zap.L().Warn("client_line_too_long")
		c.server.End(false)
		c.drop(trace.ClientBrokeProtocol)
		c.request.ClientGone()
		return
	}
	c.throttle()
}

// CheckClient reads the client's socket, where the end of its connection may be.
func (c *client) CheckClient() { c.conn.ReadAvailable() }

// Served forwards the reply of a request that its server served to the end without a connection.
func (c *client) Served(reply []byte) { c.finish(reply, invariant.ByServer, trace.ServerServed) }

// Forward forwards the server's bytes to the client.
func (c *client) Forward(data []byte) {
	if c.closed {
		return
	}
	if c.migrating {
		// Only the rest of the present line: MOVE goes between two lines.
		if end := bytes.IndexByte(data, '\n'); end >= 0 {
			c.conn.Write(data[:end+1])
			c.serverLines = line.Scanner{}
			c.sendMove()
			return
		}
	}
	c.conn.Write(data)
	// The upstream request has scanned the same bytes, and ends the connection where a line is too long.
	_ = c.serverLines.Count(data, func() {})
	c.throttle()
}

// throttle stops reading from a side whose bytes the other doesn't take.
func (c *client) throttle() {
	if c.closed || !c.established {
		return
	}
	if c.conn.Full() {
		c.server.Pause()
	}
	if c.server.Full() {
		c.conn.Pause()
	}
}

// OnDrained goes on reading from the server.
func (c *client) OnDrained() {
	if c.established && !c.closed {
		c.server.Resume()
	}
}

// ServerDrained goes on reading from the client.
func (c *client) ServerDrained() {
	if c.established && !c.closed {
		c.conn.Resume()
	}
}

// ServerEnded ends the client's connection as its server did.
func (c *client) ServerEnded(reset bool) {
	if c.closed {
		return
	}
	if reset {
		c.close(invariant.ByServer, trace.ServerReset)
		c.conn.Abort()
	} else {
		c.close(invariant.ByServer, trace.ServerEnded)
		c.conn.End()
	}
}

// Migrate asks the client to reconnect, at the end of the server's present line or at a time, whichever comes first.
func (c *client) Migrate(by time.Time) {
	if c.closed {
		return
	}
	if c.serverLines.MidLine() {
		c.migrating = true
		c.stopTimer = c.front.loop.At(by, c.sendMove)
		return
	}
	c.sendMove()
}

// sendMove ends the connection on both sides, with MOVE for the client.
func (c *client) sendMove() {
	if c.closed {
		return
	}
	c.server.End(false)
	lastLine := moveLine
	if c.migrating && c.serverLines.MidLine() { // MOVE behind an unfinished line would be a part of that line
		lastLine = midLineMoveLine
	}
	c.close(invariant.ByNode, trace.NodeMigratedClient)
	c.conn.Write(lastLine)
	c.conn.End()
}
