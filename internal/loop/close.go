package loop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// flushTimeout is for what still waits when a connection ends: a server that ended must be seen within a second.
	flushTimeout = 900 * time.Millisecond
	// lingerTimeout is for the other side's end, once ours is sent and nothing more comes.
	lingerTimeout = time.Second
	// While the other side still sends, its bytes are discarded a little longer: closing over them would be a reset,
	// which may eat the answer before it is read. 60 MB at full speed take a fraction of this.
	maxLinger    = 5 * time.Second
	maxDiscarded = 128 << 20 // bytes
)

// discardBuffer takes bytes that are discarded. The kernel writes nothing there (MSG_TRUNC), so it costs no memory.
var discardBuffer [256 << 10]byte

// End sends what waits and then the end of the connection (FIN). What still comes from the other side is read and
// discarded for a moment, since closing over unread bytes would turn the end into a reset.
func (c *Conn) End() {
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
		c.stopTimer = c.loop.At(c.loop.Now().Add(flushTimeout), c.close)
		c.updateWatch()
		return
	}
	c.closeWrite()
}

// Cancel is End for a connection on which nothing more must go out: what waits is dropped, and with it the connection.
func (c *Conn) Cancel() {
	if len(c.pending) > 0 {
		c.Abort()
	} else {
		c.End()
	}
}

// Abort cuts the connection off (RST); what waits is dropped.
func (c *Conn) Abort() {
	if c.closed {
		return
	}
	if c.fd >= 0 {
		// Without the option it ends with a FIN, which cuts it off as well.
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.close()
}

// fail closes a connection that failed and reports it to the handler. Data that the socket still holds is read first:
// the peer's last answer may be there.
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

// closeWrite sends the end of this side (FIN), and waits for the peer's.
func (c *Conn) closeWrite() {
	if c.peerEnded {
		c.close()
		return
	}
	c.writeClosed = true
	_ = unix.Shutdown(c.fd, unix.SHUT_WR) // where the connection is broken, lingering finds that
	c.cancelTimer()
	c.lingerDeadline = c.loop.Now().Add(maxLinger)
	c.linger()
	c.updateWatch()
}

// linger waits for the peer's end, for as long as it sends within maxLinger and maxDiscarded.
func (c *Conn) linger() {
	c.receivedInLinger = false
	until := c.loop.Now().Add(lingerTimeout)
	if until.After(c.lingerDeadline) {
		until = c.lingerDeadline
	}
	c.stopTimer = c.loop.At(until, c.lingerExpired)
}

func (c *Conn) lingerExpired() {
	for range maxReads { // closing over what lies there would be a reset
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

// discard takes what comes after the end of this side, and reports whether there was any.
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
