package loop

import (
	"time"

	"golang.org/x/sys/unix"
)

// Transfer of connections to another process. A detached connection is removed from the poller, and this process
// neither reads nor writes it. It is either reattached, or released once another process has a copy of its socket.

// ConnectionState is the state of a connection that a process keeps in addition to the socket.
type ConnectionState struct {
	Out    []byte `cbor:"1,keyasint,omitempty"` // data that is not written yet
	Paused bool   `cbor:"2,keyasint,omitempty"`
}

// Times are transferred as durations from the present time, since the wall clock may be stepped before or while the
// other process runs.

// TimeLeft encodes a time for another process as the nanoseconds until then. It returns at least 1, since TimeFromLeft
// takes 0 to mean that no duration was sent.
func TimeLeft(now, at time.Time) int64 { return max(1, int64(at.Sub(now))) }

// TimeFromLeft decodes a time that another process encoded with TimeLeft. The result is at most longest from now. left
// is 0 if the other process runs a release of the program that sends only Unix time (unixNano).
func TimeFromLeft(now time.Time, left, unixNano int64, longest time.Duration) time.Time {
	if left == 0 {
		left = int64(time.Unix(0, unixNano).Sub(now))
	}
	return now.Add(min(max(time.Duration(left), 0), longest))
}

// Detach removes an established connection from the poller and returns its socket and state. ok is false if the
// connection is not established or is already detached, if either side has ended it, or if a write has failed.
func (c *Conn) Detach() (fd int, state ConnectionState, ok bool) {
	if c.closed || c.ending || c.peerEnded || c.writeFailed || !c.connected || c.detached {
		return -1, state, false
	}
	if c.watched != 0 {
		c.loop.unwatch(c.fd)
		c.watched = 0
	}
	c.detached = true
	return c.fd, ConnectionState{Out: c.pending, Paused: c.paused}, true
}

// Reattach makes this process serve a detached connection again.
func (c *Conn) Reattach() {
	if c.detached {
		c.detached = false
		c.updateWatch()
	}
}

// Release closes this process's copy of a detached connection's socket. The copy of the other process keeps the
// connection open.
func (c *Conn) Release() {
	if c.detached {
		c.close()
	}
}

// Restore makes the loop serve a connection that another process has transferred with its state.
func (l *Loop) Restore(fd int, state ConnectionState, handler Handler) *Conn {
	setNonblock(fd)
	conn := l.newConn(fd, false)
	conn.handler = handler
	conn.pending = state.Out
	conn.paused = state.Paused
	if peer, err := unix.Getpeername(fd); err == nil {
		conn.Peer = toAddrPort(peer).Addr()
	}
	l.handlers[fd] = conn.handleEvents
	conn.updateWatch()
	return conn
}
