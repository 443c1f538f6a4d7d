package loop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// Connections that change their process. One that is lent is off the poller: nobody here reads or writes it. It comes
// back, or this process closes its copy of the socket, which another one holds by then.

// MaxDescriptorsPerMessage is the most descriptors that the kernel passes with one message.
const MaxDescriptorsPerMessage = 253

// ConnectionState is what a process knows of a connection beside its socket.
type ConnectionState struct {
	Out    []byte `cbor:"1,keyasint,omitempty"` // waits to be written
	Paused bool   `cbor:"2,keyasint,omitempty"`
}

// Times change their process as spans: the other one's wall clock may be stepped before or while it runs.

// TimeLeft is a time as it is told to another process: what is left until it, at least a nanosecond.
func TimeLeft(now, at time.Time) int64 { return max(1, int64(at.Sub(now))) }

// TimeFromLeft is a time that another process has told by Left. Where that one is of a release that tells Unix time only, left is 0, and what its
// clock and this one's make of it is held within most.
func TimeFromLeft(now time.Time, left, unix int64, most time.Duration) time.Time {
	if left == 0 {
		left = int64(time.Unix(0, unix).Sub(now))
	}
	return now.Add(min(max(time.Duration(left), 0), most))
}

// Detach takes an established connection off the poller and tells its socket and state. ok is false for one that is no
// longer what its socket says: it ends, has ended, or had a write fail.
func (c *Conn) Detach() (fd int, state ConnectionState, ok bool) {
	if c.closed || c.ending || c.peerEnded || c.writeFailed || !c.connected || c.detached {
		return -1, state, false
	}
	if c.watched != 0 {
		c.loop.poller.Delete(c.fd)
		c.watched = 0
	}
	c.detached = true
	return c.fd, ConnectionState{Out: c.pending, Paused: c.paused}, true
}

// Reattach has a lent connection go on here.
func (c *Conn) Reattach() {
	if c.detached {
		c.detached = false
		c.updateWatch()
	}
}

// Release closes this process's copy of a lent connection's socket. The connection stays with whoever else holds it.
func (c *Conn) Release() {
	if c.detached {
		c.close()
	}
}

// Restore has the loop serve a connection that another process has given, with what that one knew of it.
func (l *Loop) Restore(fd int, state ConnectionState, h Handler) *Conn {
	unix.SetNonblock(fd, true)
	c := l.newConn(fd, false)
	c.handler, c.pending, c.paused = h, state.Out, state.Paused
	if sa, err := unix.Getpeername(fd); err == nil {
		c.Peer = addrPort(sa).Addr()
	}
	l.handlers[fd] = c.handleEvents
	c.updateWatch()
	return c
}

// IsStreamSocket reports whether a descriptor is a stream socket.
func IsStreamSocket(fd int) bool {
	kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	return err == nil && kind == unix.SOCK_STREAM
}

// OnDescriptors has fn get the descriptors that come along on a Unix connection; they are fn's to close. Where some were
// lost on the way, for want of room, the connection breaks.
func (c *Conn) OnDescriptors(fn func(fds []int)) { c.onDescriptors = fn }

var errDescriptorsLost = errors.New("descriptors were lost on the way: no room for them here")

func (c *Conn) receive() (int, error) {
	if c.onDescriptors == nil {
		return c.loop.read(c.fd, c.loop.readBuffer[:])
	}
	var side [4*MaxDescriptorsPerMessage + 64]byte
	var sn, flags int
	n, err := uninterrupted(func() (n int, err error) {
		n, sn, flags, _, err = unix.Recvmsg(c.fd, c.loop.readBuffer[:], side[:], unix.MSG_CMSG_CLOEXEC)
		return n, err
	})
	if err == nil && sn > 0 {
		c.onDescriptors(ReceivedDescriptors(side[:sn]))
	}
	if err == nil && flags&unix.MSG_CTRUNC != 0 {
		err = errDescriptorsLost
	}
	return n, err
}

// ReceivedDescriptors reads the descriptors out of a control message.
func ReceivedDescriptors(side []byte) (all []int) {
	messages, _ := unix.ParseSocketControlMessage(side)
	for _, m := range messages {
		if fds, err := unix.ParseUnixRights(&m); err == nil {
			all = append(all, fds...)
		}
	}
	return all
}

// CloseAll closes descriptors that nobody serves.
func CloseAll(fds []int) {
	for _, fd := range fds {
		unix.Close(fd)
	}
}
