package loop

import (
	"errors"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

// Kernel makes the system calls of connections. Tests replace it by an implementation whose calls fail in the ways that
// Linux documents.
type Kernel interface {
	Socket(family int) (fd int, err error)
	Connect(fd int, to unix.Sockaddr) error
	Accept(fd int) (connection int, from unix.Sockaddr, err error)
	Read(fd int, into []byte) (size int, err error)
	Write(fd int, data []byte) (size int, err error)
	Discard(fd int, into []byte) (size int, err error)
	Watch(poller *netpoll.Poller, fd, watched, wanted int) error
}

// Linux is the Kernel that calls the operating system.
type Linux struct{}

// Socket creates a stream socket of an address family.
func (Linux) Socket(family int) (int, error) {
	return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// Connect starts to connect a socket.
func (Linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Accept accepts a connection at a listening socket.
func (Linux) Accept(fd int) (int, unix.Sockaddr, error) {
	return unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

// Read reads once.
func (Linux) Read(fd int, into []byte) (int, error) { return unix.Read(fd, into) }

// Write writes as much as the kernel takes without blocking.
func (Linux) Write(fd int, data []byte) (int, error) { return unix.Write(fd, data) }

// Discard removes received bytes from a socket without copying them: nothing is written to into.
func (Linux) Discard(fd int, into []byte) (int, error) {
	size, _, err := unix.Recvfrom(fd, into, unix.MSG_TRUNC)
	return size, err
}

// Watch changes the events for which the poller watches a descriptor from watched to wanted. Both are sums of watchRead
// and watchWrite; 0 means that the descriptor is not watched.
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
		if watched != 0 { // the poller can't change a watch to writes only
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

// addWatch adds a descriptor to the poller, even if an earlier call failed to remove it.
func addWatch(poller *netpoll.Poller, fd int, add func() error) error {
	err := add()
	if errors.Is(err, unix.EEXIST) {
		_ = poller.Delete(fd) // if this fails, the next call fails too
		err = add()
	}
	return err
}

// unwatch removes a descriptor from the poller. It ignores errors: a descriptor that the poller does not have, or that
// is closed next, is not watched in any case.
func (l *Loop) unwatch(fd int) { _ = l.poller.Delete(fd) }
