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
	// mostWaiting guards memory against a source that ignores Full: such a connection is cut off.
	mostWaiting = 1 << 20
	flushTime   = 900 * time.Millisecond // for what still waits when a connection ends: a host that ended must be seen within a second
	lingerTime  = time.Second            // for the other side's end, once ours is sent and nothing more comes
	// While the other side still sends, its bytes are dropped a little longer: closing over them would be a reset, which
	// may eat the answer before it is read. 60 MB at full speed take a fraction of this.
	mostLinger  = 5 * time.Second
	mostDropped = 128 << 20
	mostHeard   = 8 // reads of one look into a socket, so that no sender can hold the loop
)

// sink takes bytes that are dropped. The kernel writes nothing there (MSG_TRUNC), so it costs no memory.
var sink [256 << 10]byte

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

	l         *Loop
	fd        int
	h         Handler
	out       []byte
	connected bool
	eof       bool
	paused    bool
	ending    bool
	shut      bool // our end is sent
	closed    bool
	unsent    bool // a write failed: not all that was to be written is with the kernel
	failed    bool // broke was called: what lay in the socket was read
	apart     bool // not among the loop's open ones
	away      bool // lent: its socket is touched by nobody here
	rights    func(fds []int)
	events    int // what the poller watches: a sum of watchRead and watchWrite
	stopTimer func()
	place     *list.Element // in the queue of those that may go for others
	lastBy    time.Time     // ending: closed by then whatever still comes
	dropped   int           // ending: bytes that came and were dropped
	heard     bool          // ending: bytes came since the timer was set
}

const (
	watchRead  = 1
	watchWrite = 2
)

// Dial starts a connection that must be up by the given time. The handler hears of a failure through OnEnd, never
// before Dial has returned. What this machine lacks for a moment is waited for.
func (l *Loop) Dial(addr string, until time.Time, h Handler) *Conn {
	c := &Conn{l: l, fd: -1, h: h}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		c.later(fmt.Errorf("address %q: %w", addr, err))
		return c
	}
	c.dial(to, until)
	return c
}

// dial begins to connect, now or when this machine has what it takes.
func (c *Conn) dial(to netip.AddrPort, until time.Time) {
	l := c.l
	err := c.connect(to)
	again := l.Now().Add(passingPause)
	switch {
	case err == nil:
		l.fds[c.fd] = c.ready
		c.register()
		c.stopTimer = l.At(until, func() { c.broke(ErrTimeout) })
	case (scarce(err) || isOneOf(err, unix.ENETUNREACH)) && again.Before(until):
		c.stopTimer = l.At(again, func() { c.dial(to, until) })
	case scarce(err):
		c.stopTimer = l.At(l.Now(), func() { c.broke(&LocalError{err}) })
	default:
		c.stopTimer = l.At(l.Now(), func() { c.broke(err) })
	}
}

// connect makes the connection's socket and begins to connect it. Without an error it is under way.
func (c *Conn) connect(to netip.AddrPort) error {
	sa, family := sockaddr(to)
	fd, err := c.l.kernel.Socket(family)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	setOptions(fd)
	switch err = c.l.kernel.Connect(fd, sa); err {
	case nil, unix.EINPROGRESS, unix.EINTR: // one that is interrupted goes on by itself
		c.fd = fd
		c.l.open++
		return nil
	}
	unix.Close(fd)
	return os.NewSyscallError("connect", err)
}

// SetHandler hands the connection's callbacks to another handler.
func (c *Conn) SetHandler(h Handler) { c.h = h }

// Full says that so much waits to be written that the source should be paused.
func (c *Conn) Full() bool { return len(c.out) > c.l.highWater }

// Write sends p, or keeps what the kernel does not take yet.
func (c *Conn) Write(p []byte) {
	if c.closed || c.shut || c.ending || c.unsent || len(p) == 0 { // nothing may follow what a failed write has lost
		return
	}
	if c.connected && len(c.out) == 0 {
		n, err := c.l.write(c.fd, p)
		if n > 0 {
			p = p[n:]
		}
		if err != nil && err != unix.EAGAIN {
			c.unsent = true
			c.later(os.NewSyscallError("write", err))
			return
		}
		if len(p) == 0 {
			return
		}
	}
	if len(c.out)+len(p) > mostWaiting {
		c.unsent = true
		c.later(errors.New("too much waits to be written"))
		return
	}
	c.out = append(c.out, p...)
	c.register()
}

// later reports a break found while writing, once the present callback has returned.
func (c *Conn) later(err error) {
	c.l.At(c.l.Now(), func() {
		if !c.away { // lent meanwhile: it shows again to whoever has it
			c.broke(err)
		}
	})
}

// Pause stops reading; Resume goes on.
func (c *Conn) Pause() {
	c.paused = true
	c.register()
}

// Resume goes on reading after Pause.
func (c *Conn) Resume() {
	c.paused = false
	c.register()
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
	if len(c.out) > 0 {
		c.stopTimer = c.l.At(c.l.Now().Add(flushTime), c.close)
		c.register()
		return
	}
	c.shutdown()
}

// Cancel is End for a connection on which nothing more must go out: what waits is dropped, and with it the connection.
func (c *Conn) Cancel() {
	if len(c.out) > 0 {
		c.Abort()
	} else {
		c.End()
	}
}

func (c *Conn) shutdown() {
	if c.eof {
		c.close()
		return
	}
	c.shut = true
	unix.Shutdown(c.fd, unix.SHUT_WR)
	c.cancelTimer()
	c.lastBy = c.l.Now().Add(mostLinger)
	c.linger()
	c.register()
}

// linger waits for the other side's end, as long as it goes on sending within the bounds.
func (c *Conn) linger() {
	c.heard = false
	by := c.l.Now().Add(lingerTime)
	if by.After(c.lastBy) {
		by = c.lastBy
	}
	c.stopTimer = c.l.At(by, c.lingered)
}

func (c *Conn) lingered() {
	for range mostHeard { // closing over what lies there would be a reset
		if !c.drop() {
			break
		}
	}
	switch {
	case c.closed:
	case c.heard && c.l.Now().Before(c.lastBy):
		c.linger()
	default:
		c.close()
	}
}

// drop takes what comes after the end of this side, and reports whether there was any.
func (c *Conn) drop() bool {
	n, err := c.l.drop(c.fd, sink[:])
	switch {
	case err == unix.EAGAIN:
	case err != nil:
		c.close()
	case n == 0:
		c.eof = true
		c.register()
		if len(c.out) == 0 {
			c.close()
		}
	default:
		c.heard = true
		if c.dropped += n; c.dropped > mostDropped {
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
	if c.events != 0 {
		c.l.poller.Delete(c.fd)
	}
	delete(c.l.fds, c.fd)
	unix.Close(c.fd)
	if !c.apart {
		c.l.open--
	}
}

func (c *Conn) cancelTimer() {
	if c.stopTimer != nil {
		c.stopTimer()
		c.stopTimer = nil
	}
}

// broke closes a connection that failed and tells the handler. What the other side said before lies in the socket yet, and
// is heard first: its last answer may be there.
func (c *Conn) broke(err error) {
	if !c.closed && !c.failed {
		c.failed = true
		c.ReadAvailable()
	}
	if c.closed {
		return
	}
	c.close()
	if !c.ending {
		c.h.OnEnd(err)
	}
}

// register has the poller watch for what is wanted now.
func (c *Conn) register() {
	if c.closed || c.fd < 0 || c.away {
		return
	}
	want := 0
	if c.connected && !c.paused && !c.eof {
		want |= watchRead
	}
	if !c.connected || len(c.out) > 0 && !c.shut {
		want |= watchWrite
	}
	if want == c.events {
		return
	}
	err := c.l.kernel.Watch(c.l.poller, c.fd, c.events, want)
	switch {
	case err == nil:
		c.events = want
	case scarce(err): // what the poller watches now is not known: nothing, to begin with
		c.l.kernel.Watch(c.l.poller, c.fd, c.events, 0)
		c.events = 0
		c.l.At(c.l.Now().Add(passingPause), c.register)
	default:
		c.events = want
		c.later(err)
	}
}

func (c *Conn) ready(events uint32) {
	if c.away { // an event that was due already; what it tells of is another process's to read
		return
	}
	if !c.connected {
		c.dialled()
		return
	}
	if events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) != 0 && len(c.out) > 0 {
		c.flush()
	}
	if !c.closed && (c.events&watchRead != 0 || c.ending || events&(unix.EPOLLERR|unix.EPOLLHUP) != 0) {
		c.read()
	}
}

// dialled is called when a connect may have ended. An event can be left over from an earlier connection of the same
// descriptor, so the socket itself is asked.
func (c *Conn) dialled() {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = os.NewSyscallError("connect", unix.Errno(code))
	}
	if err != nil {
		c.broke(err)
		return
	}
	if _, err := unix.Getpeername(c.fd); err != nil {
		return
	}
	c.cancelTimer()
	c.connected = true
	c.h.OnConnect()
	if len(c.out) > 0 && !c.closed {
		c.flush()
	}
	c.register()
}

func (c *Conn) flush() {
	n, err := c.l.write(c.fd, c.out)
	if n > 0 {
		c.out = c.out[n:]
	}
	if err != nil && err != unix.EAGAIN {
		c.broke(os.NewSyscallError("write", err))
		return
	}
	if len(c.out) == 0 {
		c.out = nil
		if c.ending {
			c.shutdown()
		} else {
			c.h.OnDrained()
		}
	}
	c.register()
}

// ReadAvailable reads what lies in the socket now, to its end if that is there: before something is decided that it may change. Not from
// within OnData, whose bytes it would overwrite. A handler may find itself called, and the connection over, when it returns.
func (c *Conn) ReadAvailable() {
	for range mostHeard {
		if c.closed || c.ending || c.away || c.paused || c.eof || !c.connected || !c.read() {
			return
		}
	}
}

// read reads once and reports whether there was anything.
func (c *Conn) read() bool {
	if c.ending {
		return c.drop()
	}
	n, err := c.receive()
	switch {
	case err == unix.EAGAIN:
		return false
	case err != nil:
		c.failed = true // nothing more can be read
		c.broke(os.NewSyscallError("read", err))
	case n == 0:
		c.eof = true
		if c.failed { // a write has taken the error away: it is the failure that is told, no end
			return false
		}
		c.register()
		c.h.OnEnd(io.EOF)
	default:
		c.h.OnData(c.l.buf[:n])
	}
	return true
}

// Sent reports whether all that was to be written is with the kernel. It stays true to the end of the connection.
func (c *Conn) Sent() bool { return c.connected && len(c.out) == 0 && !c.unsent }
