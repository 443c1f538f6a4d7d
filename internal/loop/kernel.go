package loop

import (
	"errors"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

// Kernel is the system calls that connections live by. Tests put others in its place, which fail as Linux documents.
type Kernel interface {
	Socket(family int) (fd int, err error)
	Connect(fd int, to unix.Sockaddr) error
	Accept(fd int) (connection int, from unix.Sockaddr, err error)
	Read(fd int, p []byte) (n int, err error)
	Write(fd int, p []byte) (n int, err error)
	Drop(fd int, p []byte) (n int, err error)
	Watch(poller *netpoll.Poller, fd, had, want int) error
}

// Linux is the kernel itself.
type Linux struct{}

func (Linux) Socket(family int) (int, error) {
	return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

func (Linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

func (Linux) Accept(fd int) (int, unix.Sockaddr, error) {
	return unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

func (Linux) Read(fd int, p []byte) (int, error) { return unix.Read(fd, p) }

func (Linux) Write(fd int, p []byte) (int, error) { return unix.Write(fd, p) }

// Drop takes bytes without copying them: nothing is written to p.
func (Linux) Drop(fd int, p []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, p, unix.MSG_TRUNC)
	return n, err
}

// Watch has the poller watch a descriptor for other events than before; none: it is not watched.
func (Linux) Watch(poller *netpoll.Poller, fd, had, want int) error {
	at := &netpoll.PollAttachment{FD: fd}
	switch {
	case want == 0:
		return poller.Delete(fd)
	case want == watchRead && had != 0:
		return poller.ModRead(at, false)
	case want == watchRead:
		return addWatch(poller, fd, func() error { return poller.AddRead(at, false) })
	case want == watchWrite:
		if had != 0 {
			if err := poller.Delete(fd); err != nil {
				return err
			}
		}
		return addWatch(poller, fd, func() error { return poller.AddWrite(at, false) })
	case had != 0:
		return poller.ModReadWrite(at, false)
	}
	return addWatch(poller, fd, func() error { return poller.AddReadWrite(at, false) })
}

// addWatch adds a descriptor, also one that an earlier call has failed to take out.
func addWatch(poller *netpoll.Poller, fd int, call func() error) error {
	err := call()
	if errors.Is(err, unix.EEXIST) {
		poller.Delete(fd)
		err = call()
	}
	return err
}
