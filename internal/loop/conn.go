package loop

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxPending guards memory against a source that ignores Full: such a connection is cut off.
	maxPending    = 1 << 20
	flushTimeout  = 900 * time.Millisecond // for what still waits when a connection ends: a host that ended must be seen within a second
	lingerTimeout = time.Second            // for the other side's end, once ours is sent and nothing more comes
	// While the other side still sends, its bytes are dropped a little longer: closing over them would be a reset, which
	// may eat the answer before it is read. 60 MB at full speed take a fraction of this.
	maxLinger    = 5 * time.Second
	maxDiscarded = 128 << 20
	maxReads     = 8 // reads of one look into a socket, so that no sender can hold the loop
)

// discardBuffer takes bytes that are dropped. The kernel writes nothing there (MSG_TRUNC), so it costs no memory.
var discardBuffer [256 << 10]byte

// ErrTimeout says that a connection was not made in time.
var ErrTimeout = errors.New("not connected in time")

// Handler takes what happens on a connection. After OnEnd with an error other than io.EOF the connection is closed;
// after io.EOF the other side sends no more, but can still be written to. After End or Abort nothing is called.
type Handler interface {
	OnConnect()      // a dialled connection is up
	OnData(p []byte) // p is the loop's: keep no reference to it
	OnEnd(err error)
	OnDrained() // all that waited to be written is with the kernel
}

// Conn is one stream connection.
type Conn struct {
	Peer netip.Addr // of a connection accepted or taken over; not valid where there is none

	loop             *Loop
	fd               int
	handler          Handler
	pending          []byte
	connected        bool
	peerEnded        bool
	paused           bool
	ending           bool
	writeClosed      bool // our end is sent
	closed           bool
	writeFailed      bool // a write failed: not all that was to be written is with the kernel
	failing          bool // broke was called: what lay in the socket was read
	uncounted        bool // not among the loop's open ones
	detached         bool // lent: its socket is touched by nobody here
	onDescriptors    func(fds []int)
	watched          int // what the poller watches: a sum of watchRead and watchWrite
	stopTimer        func()
	idleElement      *list.Element // in the queue of those that may go for others
	lingerDeadline   time.Time     // ending: closed by then whatever still comes
	discarded        int           // ending: bytes that came and were dropped
	receivedInLinger bool          // ending: bytes came since the timer was set
}

const (
	watchRead  = 1
	watchWrite = 2
)

// Dial starts a connection that must be up by the given time. The handler hears of a failure through OnEnd, never
// before Dial has returned. What this machine lacks for a moment is waited for.
func (l *Loop) Dial(addr string, until time.Time, h Handler) *Conn {
	c := &Conn{loop: l, fd: -1, handler: h}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		c.failLater(fmt.Errorf("address %q: %w", addr, err))
		return c
	}
	c.dial(to, until)
	return c
}

// dial begins to connect, now or when this machine has what it takes.
func (c *Conn) dial(to netip.AddrPort, until time.Time) {
	l := c.loop
	err := c.startConnect(to)
	again := l.Now().Add(transientRetryPause)
	switch {
	case err == nil:
		l.handlers[c.fd] = c.handleEvents
		c.updateWatch()
		c.stopTimer = l.At(until, func() { c.fail(ErrTimeout) })
	case (isScarce(err) || isOneOf(err, unix.ENETUNREACH)) && again.Before(until):
		c.stopTimer = l.At(again, func() { c.dial(to, until) })
	case isScarce(err):
		c.stopTimer = l.At(l.Now(), func() { c.fail(&LocalError{err}) })
	default:
		c.stopTimer = l.At(l.Now(), func() { c.fail(err) })
	}
}

// startConnect makes the connection's socket and begins to connect it. Without an error it is under way.
func (c *Conn) startConnect(to netip.AddrPort) error {
	sa, family := sockaddr(to)
	fd, err := c.loop.kernel.Socket(family)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	setOptions(fd)
	switch err = c.loop.kernel.Connect(fd, sa); err {
	case nil, unix.EINPROGRESS, unix.EINTR: // one that is interrupted goes on by itself
		c.fd = fd
		c.loop.open++
		return nil
	}
	unix.Close(fd)
	return os.NewSyscallError("connect", err)
}

// SetHandler hands the connection's callbacks to another handler.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// Full says that so much waits to be written that the source should be paused.
func (c *Conn) Full() bool { return len(c.pending) > c.loop.highWater }

// Write sends p, or keeps what the kernel does not take yet.
func (c *Conn) Write(p []byte) {
	if c.closed || c.writeClosed || c.ending || c.writeFailed || len(p) == 0 { // nothing may follow what a failed write has lost
		return
	}
	if c.connected && len(c.pending) == 0 {
		n, err := c.loop.write(c.fd, p)
		if n > 0 {
			p = p[n:]
		}
		if err != nil && err != unix.EAGAIN {
			c.writeFailed = true
			c.failLater(os.NewSyscallError("write", err))
			return
		}
		if len(p) == 0 {
			return
		}
	}
	if len(c.pending)+len(p) > maxPending {
		c.writeFailed = true
		c.failLater(errors.New("too much waits to be written"))
		return
	}
	c.pending = append(c.pending, p...)
	c.updateWatch()
}

// failLater reports a break found while writing, once the present callback has returned.
func (c *Conn) failLater(err error) {
	c.loop.At(c.loop.Now(), func() {
		if !c.detached { // lent meanwhile: it shows again to whoever has it
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

// End sends what waits and then the end of the connection (FIN). What still comes from the other side is read and
// dropped for a moment, since closing over unread bytes would turn the end into a reset.
func (c *Conn) End() {
	if c.closed || c.ending {
		return
	}
	if !c.connected {
		c.close()
		return
	}
	c.ending, c.paused = true, false
	c.cancelTimer()
	c.LeaveIdleQueue()
	c.wait()
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

func (c *Conn) closeWrite() {
	if c.peerEnded {
		c.close()
		return
	}
	c.writeClosed = true
	unix.Shutdown(c.fd, unix.SHUT_WR)
	c.cancelTimer()
	c.lingerDeadline = c.loop.Now().Add(maxLinger)
	c.linger()
	c.updateWatch()
}

// linger waits for the other side's end, as long as it goes on sending within the bounds.
func (c *Conn) linger() {
	c.receivedInLinger = false
	by := c.loop.Now().Add(lingerTimeout)
	if by.After(c.lingerDeadline) {
		by = c.lingerDeadline
	}
	c.stopTimer = c.loop.At(by, c.lingerExpired)
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
	n, err := c.loop.discard(c.fd, discardBuffer[:])
	switch {
	case err == unix.EAGAIN:
	case err != nil:
		c.close()
	case n == 0:
		c.peerEnded = true
		c.updateWatch()
		if len(c.pending) == 0 {
			c.close()
		}
	default:
		c.receivedInLinger = true
		if c.discarded += n; c.discarded > maxDiscarded {
			c.close()
		}
		return !c.closed
	}
	return false
}

// Abort cuts the connection off (RST); what waits is dropped.
func (c *Conn) Abort() {
	if c.closed {
		return
	}
	if c.fd >= 0 {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.close()
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
		c.loop.poller.Delete(c.fd)
	}
	delete(c.loop.handlers, c.fd)
	unix.Close(c.fd)
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

// fail closes a connection that failed and tells the handler. What the other side said before lies in the socket yet, and
// is heard first: its last answer may be there.
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

// updateWatch has the poller watch for what is wanted now.
func (c *Conn) updateWatch() {
	if c.closed || c.fd < 0 || c.detached {
		return
	}
	want := 0
	if c.connected && !c.paused && !c.peerEnded {
		want |= watchRead
	}
	if !c.connected || len(c.pending) > 0 && !c.writeClosed {
		want |= watchWrite
	}
	if want == c.watched {
		return
	}
	err := c.loop.kernel.Watch(c.loop.poller, c.fd, c.watched, want)
	switch {
	case err == nil:
		c.watched = want
	case isScarce(err): // what the poller watches now is not known: nothing, to begin with
		c.loop.kernel.Watch(c.loop.poller, c.fd, c.watched, 0)
		c.watched = 0
		c.loop.At(c.loop.Now().Add(transientRetryPause), c.updateWatch)
	default:
		c.watched = want
		c.failLater(err)
	}
}

func (c *Conn) handleEvents(events uint32) {
	if c.detached { // an event that was due already; what it tells of is another process's to read
		return
	}
	if !c.connected {
		c.finishConnect()
		return
	}
	if events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) != 0 && len(c.pending) > 0 {
		c.flush()
	}
	if !c.closed && (c.watched&watchRead != 0 || c.ending || events&(unix.EPOLLERR|unix.EPOLLHUP) != 0) {
		c.read()
	}
}

// finishConnect is called when a connect may have ended. An event can be left over from an earlier connection of the same
// descriptor, so the socket itself is asked.
func (c *Conn) finishConnect() {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = os.NewSyscallError("connect", unix.Errno(code))
	}
	if err != nil {
		c.fail(err)
		return
	}
	if _, err := unix.Getpeername(c.fd); err != nil {
		return
	}
	c.cancelTimer()
	c.connected = true
	c.handler.OnConnect()
	if len(c.pending) > 0 && !c.closed {
		c.flush()
	}
	c.updateWatch()
}

func (c *Conn) flush() {
	n, err := c.loop.write(c.fd, c.pending)
	if n > 0 {
		c.pending = c.pending[n:]
	}
	if err != nil && err != unix.EAGAIN {
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

// ReadAvailable reads what lies in the socket now, to its end if that is there: before something is decided that it may change. Not from
// within OnData, whose bytes it would overwrite. A handler may find itself called, and the connection over, when it returns.
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
	n, err := c.receive()
	switch {
	case err == unix.EAGAIN:
		return false
	case err != nil:
		c.failing = true // nothing more can be read
		c.fail(os.NewSyscallError("read", err))
	case n == 0:
		c.peerEnded = true
		if c.failing { // a write has taken the error away: it is the failure that is told, no end
			return false
		}
		c.updateWatch()
		c.handler.OnEnd(io.EOF)
	default:
		c.handler.OnData(c.loop.readBuffer[:n])
	}
	return true
}

// Sent reports whether all that was to be written is with the kernel. It stays true to the end of the connection.
func (c *Conn) Sent() bool { return c.connected && len(c.pending) == 0 && !c.writeFailed }
