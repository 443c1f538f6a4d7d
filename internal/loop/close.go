package loop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// flushTimeout bounds how long an ending connection may take to write its pending data. It is below one second
	// because the end of a server must become visible within a second.
	flushTimeout = 900 * time.Millisecond
	// lingerTimeout bounds the wait for the peer's FIN after this side's FIN was sent, while the peer sends nothing.
	lingerTimeout = time.Second
	// While the peer still sends, up to maxDiscarded of its bytes are discarded for up to maxLinger. Closing a socket
	// with unread bytes sends a reset, and the peer may then lose a reply that it has not read yet. Receiving 60 MB at
	// full speed takes a fraction of maxLinger.
	maxLinger    = 5 * time.Second
	maxDiscarded = 128 << 20 // bytes
)

// discardBuffer is passed to reads whose bytes are discarded. The kernel writes nothing into it (MSG_TRUNC), so it
// occupies no memory.
var discardBuffer [256 << 10]byte

// End sends the pending data and then the end of the connection (FIN). Bytes that the peer still sends are read and
// discarded for a moment, since closing a socket with unread bytes would send a reset instead.
func (c *Conn) End() { c.EndWithin(flushTimeout) }

// EndWithin is End with another bound for the time in which the pending data is sent.
func (c *Conn) EndWithin(timeout time.Duration) {
	if c.closed || c.ending {
		return
	}
	if !c.connected {
		c.close()
		return
	}
	c.ending = true
	c.paused = false
	c.cancelTimer()
	c.LeaveIdleQueue()
	c.EnterIdleQueue()
	if len(c.pending) > 0 {
		c.stopTimer = c.loop.At(c.loop.Now().Add(timeout), c.close)
		c.updateWatch()
		return
	}
	c.closeWrite()
}

// Cancel is End for a connection on which no more data may be sent. If data is pending, Cancel drops it and resets the
// connection.
func (c *Conn) Cancel() {
	if len(c.pending) > 0 {
		c.Abort()
	} else {
		c.End()
	}
}

// Abort resets the connection (RST) and drops its pending data.
func (c *Conn) Abort() {
	if c.closed {
		return
	}
	if c.fd >= 0 {
		// If the option can't be set, the connection is closed with a FIN, which ends it as well.
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.close()
}

// fail closes a connection that failed and reports the error to the handler. It first reads the data that the socket
// still holds, which may contain the peer's last reply.
func (c *Conn) fail(err error) {
	if !c.closed && !c.failing {
		c.failing = true
		c.ReadAvailable()
	}
	if c.closed {
		return
	}
	c.close()
	if !c.ending {
		c.handler.OnEnd(err)
	}
}

// closeWrite sends this side's FIN and waits for the peer's.
func (c *Conn) closeWrite() {
	if c.peerEnded {
		c.close()
		return
	}
	c.writeClosed = true
	_ = unix.Shutdown(c.fd, unix.SHUT_WR) // if the connection is broken, discard closes it
	c.cancelTimer()
	c.lingerDeadline = c.loop.Now().Add(maxLinger)
	c.linger()
	c.updateWatch()
}

// linger waits up to lingerTimeout for the peer's FIN. lingerExpired prolongs the wait while the peer sends, up to
// maxLinger and maxDiscarded.
func (c *Conn) linger() {
	c.receivedInLinger = false
	until := c.loop.Now().Add(lingerTimeout)
	if until.After(c.lingerDeadline) {
		until = c.lingerDeadline
	}
	c.stopTimer = c.loop.At(until, c.lingerExpired)
}

// lingerExpired closes the connection, or prolongs the wait if bytes arrived during it.
func (c *Conn) lingerExpired() {
	for range maxReads { // closing the socket with unread bytes would send a reset
		if !c.discard() {
			break
		}
	}
	switch {
	case c.closed:
	case c.receivedInLinger && c.loop.Now().Before(c.lingerDeadline):
		c.linger()
	default:
		c.close()
	}
}

// discard reads and discards bytes that arrive after End was called. It reports whether it discarded any and the
// connection is still open.
func (c *Conn) discard() bool {
	size, err := c.loop.discard(c.fd, discardBuffer[:])
	switch {
	case errors.Is(err, unix.EAGAIN):
	case err != nil:
		c.close()
	case size == 0:
		c.peerEnded = true
		c.updateWatch()
		if len(c.pending) == 0 {
			c.close()
		}
	default:
		c.receivedInLinger = true
		c.discarded += size
		if c.discarded > maxDiscarded {
			c.close()
		}
		return !c.closed
	}
	return false
}

// close closes the socket and releases what the loop holds for the connection. It does not call the handler.
func (c *Conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.LeaveIdleQueue()
	c.cancelTimer()
	if c.fd < 0 {
		return
	}
	if c.watched != 0 {
		c.loop.unwatch(c.fd)
	}
	delete(c.loop.handlers, c.fd)
	closeFD(c.fd)
	if !c.uncounted {
		c.loop.open--
	}
}

func (c *Conn) cancelTimer() {
	if c.stopTimer != nil {
		c.stopTimer()
		c.stopTimer = nil
	}
}
