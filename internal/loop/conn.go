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
	// maxPending bounds the pending data of a connection, in bytes, to protect memory from a source that ignores Full:
	// a connection that would exceed it fails.
	maxPending = 1 << 20
	// maxReads bounds the consecutive reads from one socket, so that no sender can monopolize the loop.
	maxReads = 8
)

// Handler receives the events of a connection. After OnEnd with an error other than io.EOF the connection is closed;
// after io.EOF the peer sends no more data, but can still be written to. No method is called after End or Abort.
type Handler interface {
	OnConnect()         // a dialled connection is established
	OnData(data []byte) // data belongs to the loop and must not be retained
	OnEnd(err error)
	OnDrained() // all pending data was written to the kernel
}

// Conn is one stream connection.
type Conn struct {
	Peer netip.Addr // the remote address of an accepted or restored connection; invalid if it has none

	loop             *Loop
	fd               int // -1 while a dial has no socket yet
	handler          Handler
	pending          []byte // data that the kernel has not taken yet
	connected        bool
	peerEnded        bool // the peer sends no more data
	paused           bool
	ending           bool // End was called
	writeClosed      bool // this side's FIN was sent
	closed           bool
	writeFailed      bool // a write failed, so the kernel did not get all the data
	failing          bool // fail was called or a read failed: fail must not read the socket again
	uncounted        bool // not counted among the loop's open connections
	detached         bool // this process must not use the socket: see Detach
	onDescriptors    func(fds []int)
	watched          int // events that the poller watches: a sum of watchRead and watchWrite
	stopTimer        func()
	idleElement      *list.Element // position in the queue of connections that may be evicted
	lingerDeadline   time.Time     // ending: closed by then even if the peer still sends
	discarded        int           // ending: number of bytes that were received and discarded
	receivedInLinger bool          // ending: bytes arrived since the linger timer was set
}

const (
	watchRead  = 1
	watchWrite = 2
)

// newConn returns a connection for a connected socket.
func (l *Loop) newConn(fd int, uncounted bool) *Conn {
	if !uncounted {
		l.open++
	}
	return &Conn{loop: l, fd: fd, connected: true, uncounted: uncounted}
}

// SetHandler makes another handler receive the connection's events.
func (c *Conn) SetHandler(handler Handler) { c.handler = handler }

// Full reports whether so much data is pending that its source should be paused until OnDrained.
func (c *Conn) Full() bool { return len(c.pending) > c.loop.highWater }

// Pending returns the number of bytes that the kernel has not taken yet.
func (c *Conn) Pending() int { return len(c.pending) }

// Sent reports whether all data was written to the kernel. It stays true after the connection has ended.
func (c *Conn) Sent() bool { return c.connected && len(c.pending) == 0 && !c.writeFailed }

// Write writes data and queues the part that the kernel does not take yet.
func (c *Conn) Write(data []byte) {
	// After a failed write nothing more is written: the peer would receive a stream with bytes missing in the middle.
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

// failLater calls fail once the present callback has returned.
func (c *Conn) failLater(err error) {
	c.loop.At(c.loop.Now(), func() {
		if !c.detached { // if detached meanwhile, the process that holds the socket gets the error itself
			c.fail(err)
		}
	})
}

// Pause stops reading until Resume is called.
func (c *Conn) Pause() {
	c.paused = true
	c.updateWatch()
}

// Resume continues reading after Pause.
func (c *Conn) Resume() {
	c.paused = false
	c.updateWatch()
}

// updateWatch makes the poller watch the events that the connection's present state needs.
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
	eventLoop := c.loop
	err := eventLoop.kernel.Watch(eventLoop.poller, c.fd, c.watched, wanted)
	switch {
	case err == nil:
		c.watched = wanted
	case isResourceShortage(err):
		// It is unknown what the poller watches now, so the socket is removed from it first. If that fails too,
		// addWatch removes it before it adds the socket again.
		_ = eventLoop.kernel.Watch(eventLoop.poller, c.fd, c.watched, 0)
		c.watched = 0
		eventLoop.At(eventLoop.Now().Add(transientRetryPause), c.updateWatch)
	default:
		c.watched = wanted
		c.failLater(err)
	}
}

// handleEvents handles events that the poller reported for the socket.
func (c *Conn) handleEvents(events uint32) {
	if c.detached { // the poller reported the event before Detach; another process reads the socket now
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

// flush writes pending data.
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

// ReadAvailable reads the data that the socket holds now, before a decision that depends on it. It must not be called
// from within OnData, whose data it would overwrite. It may call the handler, and the connection may have ended when it
// returns.
func (c *Conn) ReadAvailable() {
	for range maxReads {
		if c.closed || c.ending || c.detached || c.paused || c.peerEnded || !c.connected || !c.read() {
			return
		}
	}
}

// read reads once and reports whether it found data, the peer's end or an error.
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
		if c.failing { // a failed write consumed the socket's error, so this is no orderly end: fail reports that error
			return false
		}
		c.updateWatch()
		c.handler.OnEnd(io.EOF)
	default:
		c.handler.OnData(c.loop.readBuffer[:size])
	}
	return true
}
