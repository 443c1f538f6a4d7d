package loop

import (
	"time"

	"golang.org/x/sys/unix"
)

// Connections that are transferred to another process. A detached one is off the poller: nothing here reads or writes
// it. It is reattached, or released once another process has a copy of its socket.

// ConnectionState is what a process knows of a connection beside its socket.
type ConnectionState struct {
	Out    []byte `cbor:"1,keyasint,omitempty"` // waits to be written
	Paused bool   `cbor:"2,keyasint,omitempty"`
}

// Times are transferred as durations from now, since the other process's wall clock may be stepped before or while it
// runs.

// TimeLeft encodes a time for another process: nanoseconds until it, at least one.
func TimeLeft(now, at time.Time) int64 { return max(1, int64(at.Sub(now))) }

// TimeFromLeft decodes a time that another process has encoded by TimeLeft, at most longest from now. A release that
// sends Unix time only (unixNano) leaves left at 0.
func TimeFromLeft(now time.Time, left, unixNano int64, longest time.Duration) time.Time {
	if left == 0 {
		left = int64(time.Unix(0, unixNano).Sub(now))
	}
	return now.Add(min(max(time.Duration(left), 0), longest))
}

// Detach takes an established connection off the poller and returns its socket and state. ok is false for one that is
// ending, has ended, or had a write fail.
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

// Reattach has a detached connection go on here.
func (c *Conn) Reattach() {
	if c.detached {
		c.detached = false
		c.updateWatch()
	}
}

// Release closes this process's copy of a detached connection's socket. The connection stays open by the other
// process's.
func (c *Conn) Release() {
	if c.detached {
		c.close()
	}
}

// Restore has the loop serve a connection that another process has transferred, with what that one knew of it.
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
