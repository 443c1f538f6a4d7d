package downstream

import (
	"bytes"
	"time"

	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

// Established forwards the server's UP line. From then on only the server replies to the client.
func (c *client) Established(upLine []byte) {
	c.established = true
	c.conn.Write(upLine)
	c.openLine = nil
	c.throttle()
}

// forwardToServer forwards the client's bytes on an established connection. If a line is too long, which is the
// only error of Write, it closes the connection on both sides without a reply, because only the server replies at this
// stage.
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

// CheckClient reads the client's socket, to detect that the client has disconnected.
func (c *client) CheckClient() { c.conn.ReadAvailable() }

// Served forwards the server's reply to a request that it completed without establishing a connection.
func (c *client) Served(reply []byte) { c.finish(reply, invariant.ByServer, trace.ServerServed) }

// Forward forwards the server's bytes to the client. They end with a line, unless the server's connection has ended.
func (c *client) Forward(data []byte) {
	if c.closed {
		return
	}
	if c.migrating {
		// Forward only the rest of the current line, because MOVE must come between two lines.
		if end := bytes.IndexByte(data, '\n'); end >= 0 {
			c.conn.Write(data[:end+1])
			c.sendMove()
			return
		}
	}
	c.conn.Write(data)
	c.throttle()
}

// throttle stops reading from one side while too many bytes wait to be written to the other.
func (c *client) throttle() {
	if c.closed || !c.established {
		return
	}
	if c.conn.Full() {
		c.server.Pause()
		c.watchStall()
	}
	if c.server.Full() {
		c.conn.Pause()
	}
}

// OnDrained resumes reading from the server, now that the bytes for the client have been written.
func (c *client) OnDrained() {
	if c.established && !c.closed {
		c.stopStallWatch()
		c.server.Resume()
	}
}

// ServerDrained resumes reading from the client, now that the bytes for the server have been written.
func (c *client) ServerDrained() {
	if c.established && !c.closed {
		c.conn.Resume()
	}
}

// ServerEnded closes the client's connection in the way in which the server ended its own: by a reset or by FIN.
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

// Migrate asks the client to reconnect. If the server is in the middle of a line, Migrate waits for the end of the
// line, but at most until the given time. A line that is still unfinished then is dropped.
func (c *client) Migrate(by time.Time) {
	if c.closed {
		return
	}
	if c.server.MidLine() {
		c.migrating = true
		c.stopTimer = c.front.loop.At(by, c.endMidLine)
		return
	}
	c.sendMove()
}

// endMidLine ends a connection whose server has not finished its line in time. The client gets MOVE, unless an earlier
// release of the program has sent it the start of that line. Then nothing can be sent, because it would be read as a
// part of the line, and a line must not be ended for the server.
func (c *client) endMidLine() {
	if !c.closed && c.server.MidForwardedLine() {
		c.server.End(false)
		c.close(invariant.ByNode, trace.NodeMigratedClient)
		c.conn.End()
		return
	}
	c.sendMove()
}

// sendMove sends MOVE to the client and closes the connection on both sides.
func (c *client) sendMove() {
	if c.closed {
		return
	}
	c.server.End(false)
	c.close(invariant.ByNode, trace.NodeMigratedClient)
	c.conn.Write(moveLine)
	c.conn.EndWithin(moveFlushTimeout)
}
