package tls

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"io"

	"spurwinch/internal/loop"
)

// Conn is the server's side of a TLS connection. It has the methods of the loop's connection and calls the same methods
// of its handler. OnData gets plain text, and OnEnd is called when the client has ended the connection or the
// connection has failed.
type Conn struct {
	handshakes     *Handshakes
	underlying     *loop.Conn
	handler        loop.Handler
	pipe           *pipe
	tls            *tls.Conn
	cancel         context.CancelFunc // cancels the handshake; nil while the client has sent nothing
	stopTimer      func()             // cancels the timer of the handshake's deadline
	established    bool               // the handshake has succeeded
	closed         bool               // the connection has ended or failed
	paused         bool
	reading        bool          // read is on the stack
	clientEnded    bool          // the client has ended the connection
	endReported    bool          // the handler was told that the client has ended the connection
	pending        []byte        // plain text written before the handshake was done
	runningElement *list.Element // position in Handshakes.running
}

// ServerName returns the server name that the client requested. It is empty before the handshake is done.
func (c *Conn) ServerName() string {
	if !c.established {
		return ""
	}
	return c.tls.ConnectionState().ServerName
}

// OnConnect does nothing: the connection was accepted, not dialled.
func (c *Conn) OnConnect() {}

// OnData handles bytes that the client has sent.
func (c *Conn) OnData(data []byte) {
	if c.closed {
		return
	}
	waiting := c.pipe.feed(data)
	if c.established {
		c.read()
		return
	}
	if waiting > maxEarlyBytes {
		c.fail(errTooManyBytes)
		return
	}
	if c.cancel == nil {
		c.handshakes.begin(c)
	}
}

// read passes plain text to the handler until none is left or the handler pauses.
func (c *Conn) read() {
	if c.reading { // called from a callback of the handler: the loop below continues once the callback has returned
		return
	}
	c.reading = true
	defer func() { c.reading = false }()
	for !c.closed && !c.paused && !c.endReported {
		n, err := c.tls.Read(c.handshakes.readBuffer[:])
		if n > 0 {
			c.handler.OnData(c.handshakes.readBuffer[:n])
			continue
		}
		nothingYet := err == nil || errors.Is(err, errWouldBlock)
		switch {
		case nothingYet && !c.clientEnded:
			return
		case nothingYet, errors.Is(err, io.EOF):
			c.endReported = true
			c.handler.OnEnd(io.EOF)
		default:
			c.fail(err)
		}
	}
}

// fail ends a connection that failed, and reports the error to the handler.
func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	if !c.established {
		c.handshakes.Failed++
	}
	c.release()
	c.underlying.End() // sends an alert that crypto/tls has written before it ends the connection
	c.handler.OnEnd(err)
}

// release marks the connection as closed and releases the resources of its handshake.
func (c *Conn) release() {
	c.closed = true
	c.removeFromRunning()
	c.stopTimer()
	if c.cancel != nil {
		c.cancel()
	}
	c.pipe.close()
	c.pending = nil
}

// OnEnd handles the end of the underlying connection.
func (c *Conn) OnEnd(err error) {
	if c.closed || c.endReported {
		return
	}
	if !c.established {
		c.handshakes.Failed++
	}
	orderly := errors.Is(err, io.EOF)
	if !orderly || !c.established {
		c.release()
		if orderly { // the client ended the connection during the handshake, so it expects no reply
			c.underlying.End()
		}
		c.handler.OnEnd(io.ErrUnexpectedEOF)
		return
	}
	c.clientEnded = true
	c.read() // plain text from before the end goes to the handler first; if it has paused, after Resume
}

// OnDrained tells the handler that all written bytes were passed to the kernel.
func (c *Conn) OnDrained() {
	if c.established && !c.closed {
		c.handler.OnDrained()
	}
}

// Evict ends the connection so that another one can take its place. After the handshake the handler decides how.
func (c *Conn) Evict() {
	evictable, ok := c.handler.(loop.Evictable)
	if ok && c.established && !c.closed {
		evictable.Evict()
	} else if !c.established {
		c.fail(errEvicted)
	}
}

// Write sends plain text. It never blocks. An error ends the connection once the present callback has returned.
func (c *Conn) Write(data []byte) {
	switch {
	case c.closed || len(data) == 0:
	case !c.established && len(c.pending)+len(data) > maxPendingBytes:
		c.failLater(errTooManyBytes)
	case !c.established:
		c.pending = append(c.pending, data...)
	default:
		if _, err := c.tls.Write(data); err != nil {
			c.failLater(err)
		}
	}
}

// failLater ends the connection once the present callback has returned.
func (c *Conn) failLater(err error) {
	c.handshakes.loop.At(c.handshakes.loop.Now(), func() { c.fail(err) })
}

// End sends the data that is still pending and then TLS's close_notify, and ends the connection.
func (c *Conn) End() {
	if c.closed {
		return
	}
	if c.established {
		_ = c.tls.CloseWrite() // the connection ends also if this fails
	}
	c.release()
	c.underlying.End()
}

// Abort resets the connection.
func (c *Conn) Abort() {
	c.release()
	c.underlying.Abort()
}

// Pause stops reading until Resume is called.
func (c *Conn) Pause() {
	c.paused = true
	c.underlying.Pause()
}

// Resume continues reading after Pause.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.underlying.Resume()
	c.handshakes.loop.At(c.handshakes.loop.Now(), func() { // the loop doesn't report delivered bytes again
		if c.established {
			c.read()
		}
	})
}

// Full reports whether so much data is pending that its source should pause.
func (c *Conn) Full() bool { return c.underlying.Full() }

// LeaveIdleQueue excludes the connection from eviction. It is called when the client has named its domain.
func (c *Conn) LeaveIdleQueue() { c.underlying.LeaveIdleQueue() }
