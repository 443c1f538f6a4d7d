package loop

import (
	"errors"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

// Kernel is the system calls of connections. Tests replace it by one whose calls fail in the ways that Linux documents.
type Kernel interface {
	Socket(family int) (fd int, err error)
	Connect(fd int, to unix.Sockaddr) error
	Accept(fd int) (connection int, from unix.Sockaddr, err error)
	Read(fd int, into []byte) (size int, err error)
	Write(fd int, data []byte) (size int, err error)
	Drop(fd int, into []byte) (size int, err error)
	Watch(poller *netpoll.Poller, fd, watched, wanted int) error
}

// Linux is the kernel itself.
type Linux struct{}

// Socket makes a stream socket of an address family.
func (Linux) Socket(family int) (int, error) {
	return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// Connect begins to connect a socket.
func (Linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Accept accepts a connection at a listening socket.
func (Linux) Accept(fd int) (int, unix.Sockaddr, error) {
	return unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

// Read reads once.
func (Linux) Read(fd int, into []byte) (int, error) { return unix.Read(fd, into) }

// Write writes what the kernel takes at once.
func (Linux) Write(fd int, data []byte) (int, error) { return unix.Write(fd, data) }

// Drop discards bytes of a socket without copying them: nothing is written to into.
func (Linux) Drop(fd int, into []byte) (int, error) {
	size, _, err := unix.Recvfrom(fd, into, unix.MSG_TRUNC)
	return size, err
}

// Watch has the poller watch a descriptor for other events than before; none: it is not watched. Both are sums of
// watchRead and watchWrite.
func (Linux) Watch(poller *netpoll.Poller, fd, watched, wanted int) error {
	attachment := &netpoll.PollAttachment{FD: fd}
	switch {
	case wanted == 0:
		return poller.Delete(fd)
	case wanted == watchRead && watched != 0:
		return poller.ModRead(attachment, false)
	case wanted == watchRead:
		return addWatch(poller, fd, func() error { return poller.AddRead(attachment, false) })
	case wanted == watchWrite:
		if watched != 0 { // the poller can't change to writes alone
			if err := poller.Delete(fd); err != nil {
				return err
			}
		}
		return addWatch(poller, fd, func() error { return poller.AddWrite(attachment, false) })
	case watched != 0:
		return poller.ModReadWrite(attachment, false)
	}
	return addWatch(poller, fd, func() error { return poller.AddReadWrite(attachment, false) })
}

// addWatch adds a descriptor, also one that an earlier call has failed to take out.
func addWatch(poller *netpoll.Poller, fd int, add func() error) error {
	err := add()
	if errors.Is(err, unix.EEXIST) {
		_ = poller.Delete(fd) // the next call shows whether it is out
		err = add()
	}
	return err
}

// unwatch takes a descriptor out of the poller. One that is not there, or is closed next, is out all the same.
func (l *Loop) unwatch(fd int) { _ = l.poller.Delete(fd) }
