package tls

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"io"

	"spurwinch/internal/loop"
)

// Conn is a TLS connection. It has the methods of the loop's connection, and its handler has the same callbacks: OnData
// gets plain text, and OnEnd is called when the client has ended the connection or the connection has failed.
type Conn struct {
	handshakes  *Handshakes
	under       *loop.Conn
	handler     loop.Handler
	pipe        *pipe
	tls         *tls.Conn
	cancel      context.CancelFunc // of the handshake; nil: the client has sent nothing yet
	stopTimer   func()             // of the handshake's deadline
	up          bool               // the handshake is done
	over        bool
	paused      bool
	reading     bool   // read is on the stack
	ended       bool   // the client has ended the connection
	endReported bool   // and the handler knows
	pending     []byte // plain text that was written before the handshake was done
	place       *list.Element
}

// ServerName is the name that the client asked for; empty before the handshake is done.
func (c *Conn) ServerName() string {
	if !c.up {
		return ""
	}
	return c.tls.ConnectionState().ServerName
}

// OnConnect does nothing: the connection was accepted, not dialled.
func (c *Conn) OnConnect() {}

// OnData takes bytes that the client has sent.
func (c *Conn) OnData(data []byte) {
	if c.over {
		return
	}
	waiting := c.pipe.feed(data)
	if c.up {
		c.read()
		return
	}
	if waiting > maxEarlyBytes {
		c.fail(errTooMuch)
		return
	}
	if c.cancel == nil {
		c.handshakes.begin(c)
	}
}

// read gives plain text to the handler until none is left or the handler pauses.
func (c *Conn) read() {
	if c.reading { // called from the handler's callback: the loop below goes on once that has returned
		return
	}
	c.reading = true
	defer func() { c.reading = false }()
	for !c.over && !c.paused && !c.endReported {
		n, err := c.tls.Read(c.handshakes.readBuffer[:])
		if n > 0 {
			c.handler.OnData(c.handshakes.readBuffer[:n])
			continue
		}
		nothingYet := err == nil || errors.Is(err, errWouldBlock)
		switch {
		case nothingYet && !c.ended:
			return
		case nothingYet, errors.Is(err, io.EOF):
			c.endReported = true
			c.handler.OnEnd(io.EOF)
		default:
			c.fail(err)
		}
	}
}

// fail ends a connection that can't go on.
func (c *Conn) fail(err error) {
	if c.over {
		return
	}
	if !c.up {
		c.handshakes.Failed++
	}
	c.release()
	c.under.End() // an alert that crypto/tls has written is sent first
	c.handler.OnEnd(err)
}

// release marks the connection as over and frees what its handshake has.
func (c *Conn) release() {
	c.over = true
	c.removeFromRunning()
	c.stopTimer()
	if c.cancel != nil {
		c.cancel()
	}
	c.pipe.close()
	c.pending = nil
}

// OnEnd takes the end of the connection below.
func (c *Conn) OnEnd(err error) {
	if c.over || c.endReported {
		return
	}
	if !c.up {
		c.handshakes.Failed++
	}
	orderly := errors.Is(err, io.EOF)
	if !orderly || !c.up {
		c.release()
		if orderly { // in the middle of a handshake the client waits for no answer
			c.under.End()
		}
		c.handler.OnEnd(io.ErrUnexpectedEOF)
		return
	}
	c.ended = true
	c.read() // plain text that came before the end goes to the handler first, also if it has paused
}

// OnDrained tells the handler that all written bytes have gone to the kernel.
func (c *Conn) OnDrained() {
	if c.up && !c.over {
		c.handler.OnDrained()
	}
}

// Evict ends a connection whose place is needed for another one. Once TLS is up its handler decides how.
func (c *Conn) Evict() {
	evictable, ok := c.handler.(loop.Evictable)
	if ok && c.up && !c.over {
		evictable.Evict()
	} else if !c.up {
		c.fail(errEvicted)
	}
}

// Write sends plain text. It never blocks; an error ends the connection once the present callback has returned.
func (c *Conn) Write(data []byte) {
	switch {
	case c.over || len(data) == 0:
	case !c.up && len(c.pending)+len(data) > maxPendingBytes:
		c.failLater(errTooMuch)
	case !c.up:
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

// End sends what is still to be sent, then TLS's close_notify, and ends the connection.
func (c *Conn) End() {
	if c.over {
		return
	}
	if c.up {
		_ = c.tls.CloseWrite() // the connection ends all the same
	}
	c.release()
	c.under.End()
}

// Abort resets the connection.
func (c *Conn) Abort() {
	c.release()
	c.under.Abort()
}

// Pause stops reading.
func (c *Conn) Pause() {
	c.paused = true
	c.under.Pause()
}

// Resume goes on reading.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.under.Resume()
	c.handshakes.loop.At(c.handshakes.loop.Now(), func() { // the loop doesn't report bytes that were received already
		if c.up {
			c.read()
		}
	})
}

// Full reports whether so much waits to be sent that the writer should pause.
func (c *Conn) Full() bool { return c.under.Full() }

// LeaveIdleQueue says that the client has named its domain: the connection is not evicted any more.
func (c *Conn) LeaveIdleQueue() { c.under.LeaveIdleQueue() }
