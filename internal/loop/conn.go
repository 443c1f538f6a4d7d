package loop

import (
	"container/list"
	"errors"
	"io"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxPending guards memory against a source that ignores Full: such a connection is cut off.
	maxPending = 1 << 20
	// maxReads bounds the reads of one look into a socket, so that no sender can hold the loop.
	maxReads = 8
)

// Handler receives the events of a connection. After OnEnd with an error other than io.EOF the connection is closed;
// after io.EOF the peer sends no more, but can still be written to. After End or Abort nothing is called.
type Handler interface {
	OnConnect()         // a dialled connection is up
	OnData(data []byte) // data is the loop's: keep no reference to it
	OnEnd(err error)
	OnDrained() // all pending data was written to the kernel
}

// Conn is one stream connection.
type Conn struct {
	Peer netip.Addr // of a connection accepted or taken over; not valid where there is none

	loop             *Loop
	fd               int // -1: a dial has no socket yet
	handler          Handler
	pending          []byte // not written yet
	connected        bool
	peerEnded        bool // the other side sends no more
	paused           bool
	ending           bool // End was called
	writeClosed      bool // our end is sent
	closed           bool
	writeFailed      bool // a write failed: not all that was to be written is with the kernel
	failing          bool // fail was called: what lay in the socket was read
	uncounted        bool // not among the loop's open connections
	detached         bool // nothing here uses its socket: see Detach
	onDescriptors    func(fds []int)
	watched          int // what the poller watches: a sum of watchRead and watchWrite
	stopTimer        func()
	idleElement      *list.Element // in the queue of connections that may be evicted
	lingerDeadline   time.Time     // ending: closed by then whatever still comes
	discarded        int           // ending: bytes that came and were discarded
	receivedInLinger bool          // ending: bytes came since the timer was set
}

const (
	watchRead  = 1
	watchWrite = 2
)

// newConn makes a connection of a connected socket.
func (l *Loop) newConn(fd int, uncounted bool) *Conn {
	if !uncounted {
		l.open++
	}
	return &Conn{loop: l, fd: fd, connected: true, uncounted: uncounted}
}

// SetHandler hands the connection's callbacks to another handler.
func (c *Conn) SetHandler(handler Handler) { c.handler = handler }

// Full reports whether so much data is pending that its source should be paused until OnDrained.
func (c *Conn) Full() bool { return len(c.pending) > c.loop.highWater }

// Sent reports whether all data was written to the kernel. It stays true to the end of the connection.
func (c *Conn) Sent() bool { return c.connected && len(c.pending) == 0 && !c.writeFailed }

// Write writes data, and queues what the kernel does not take yet.
func (c *Conn) Write(data []byte) {
	// Nothing may follow what a failed write has lost: the other side would find bytes missing in the middle.
	if c.closed || c.writeClosed || c.ending || c.writeFailed || len(data) == 0 {
		return
	}
	if c.connected && len(c.pending) == 0 {
		written, err := c.loop.write(c.fd, data)
		if written > 0 {
			data = data[written:]
		}
		if err != nil && !errors.Is(err, unix.EAGAIN) {
			c.writeFailed = true
			c.failLater(os.NewSyscallError("write", err))
			return
		}
		if len(data) == 0 {
			return
		}
	}
	if len(c.pending)+len(data) > maxPending {
		c.writeFailed = true
		c.failLater(errTooMuchPending)
		return
	}
	c.pending = append(c.pending, data...)
	c.updateWatch()
}

// failLater reports a failure found while writing, once the present callback has returned.
func (c *Conn) failLater(err error) {
	c.loop.At(c.loop.Now(), func() {
		if !c.detached { // detached meanwhile: it shows again to whoever has it
			c.fail(err)
		}
	})
}

// Pause stops reading; Resume goes on.
func (c *Conn) Pause() {
	c.paused = true
	c.updateWatch()
}

// Resume goes on reading after Pause.
func (c *Conn) Resume() {
	c.paused = false
	c.updateWatch()
}

// updateWatch has the poller watch for what is wanted now.
func (c *Conn) updateWatch() {
	if c.closed || c.fd < 0 || c.detached {
		return
	}
	wanted := 0
	if c.connected && !c.paused && !c.peerEnded {
		wanted |= watchRead
	}
	if !c.connected || len(c.pending) > 0 && !c.writeClosed {
		wanted |= watchWrite
	}
	if wanted == c.watched {
		return
	}
	l := c.loop
	err := l.kernel.Watch(l.poller, c.fd, c.watched, wanted)
	switch {
	case err == nil:
		c.watched = wanted
	case isResourceShortage(err): // what the poller watches now is not known: nothing, to begin with
		_ = l.kernel.Watch(l.poller, c.fd, c.watched, 0) // the next call finds what this one leaves
		c.watched = 0
		l.At(l.Now().Add(transientRetryPause), c.updateWatch)
	default:
		c.watched = wanted
		c.failLater(err)
	}
}

// handleEvents handles what the poller has found.
func (c *Conn) handleEvents(events uint32) {
	if c.detached { // an event that was due already: another process reads the socket now
		return
	}
	if !c.connected {
		c.finishConnect()
		return
	}
	broken := events&(unix.EPOLLERR|unix.EPOLLHUP) != 0
	if (broken || events&unix.EPOLLOUT != 0) && len(c.pending) > 0 {
		c.flush()
	}
	if !c.closed && (broken || c.watched&watchRead != 0 || c.ending) {
		c.read()
	}
}

// flush writes what waits.
func (c *Conn) flush() {
	written, err := c.loop.write(c.fd, c.pending)
	if written > 0 {
		c.pending = c.pending[written:]
	}
	if err != nil && !errors.Is(err, unix.EAGAIN) {
		c.fail(os.NewSyscallError("write", err))
		return
	}
	if len(c.pending) == 0 {
		c.pending = nil
		if c.ending {
			c.closeWrite()
		} else {
			c.handler.OnDrained()
		}
	}
	c.updateWatch()
}

// ReadAvailable reads the data that the socket holds now, before a decision that this may change. It must not be called
// from within OnData, whose bytes it would overwrite. The handler may be called by it, and the connection have ended
// when it returns.
func (c *Conn) ReadAvailable() {
	for range maxReads {
		if c.closed || c.ending || c.detached || c.paused || c.peerEnded || !c.connected || !c.read() {
			return
		}
	}
}

// read reads once and reports whether there was anything.
func (c *Conn) read() bool {
	if c.ending {
		return c.discard()
	}
	size, err := c.receive()
	switch {
	case errors.Is(err, unix.EAGAIN):
		return false
	case err != nil:
		c.failing = true // nothing more can be read
		c.fail(os.NewSyscallError("read", err))
	case size == 0:
		c.peerEnded = true
		if c.failing { // the failed write has consumed the socket's error: fail reports that, and not an end
			return false
		}
		c.updateWatch()
		c.handler.OnEnd(io.EOF)
	default:
		c.handler.OnData(c.loop.readBuffer[:size])
	}
	return true
}
