package loop

import (
	"errors"
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// Connections to other processes of this machine, over which descriptors can go.

// MaxDescriptorsPerMessage is the most descriptors that the kernel passes with one message.
const MaxDescriptorsPerMessage = 253

// unixBacklog is the number of processes that may wait to be accepted at a Unix socket.
const unixBacklog = 4

// ListenUnix accepts connections of this machine at path, uncounted as those of ListenApart. The socket replaces
// atomically one that is at the path already.
func (l *Loop) ListenUnix(path string, accept func(*Conn) Handler) (*Listener, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(temporary) // of an earlier process with this number; the bind fails where it stays
	err = unix.Bind(fd, &unix.SockaddrUnix{Name: temporary})
	if err == nil {
		err = errors.Join(unix.Chmod(temporary, 0o600), unix.Listen(fd, unixBacklog))
	}
	if err == nil {
		err = os.Rename(temporary, path)
	}
	listener := &Listener{loop: l, fd: fd, accept: accept, uncounted: true}
	if err == nil {
		err = listener.watch()
	}
	if err != nil {
		_ = os.Remove(temporary) // it may not be there
		closeFD(fd)
		return nil, fmt.Errorf("listen %s: %w", path, err)
	}
	return listener, nil
}

// Attach has the loop serve a connected stream socket, uncounted.
func (l *Loop) Attach(fd int, handler Handler) *Conn {
	setNonblock(fd)
	conn := l.newConn(fd, true)
	conn.handler = handler
	l.handlers[fd] = conn.handleEvents
	conn.updateWatch()
	return conn
}

// SameUser reports whether a Unix connection's other side is a process of this user.
func (c *Conn) SameUser() bool {
	credentials, err := unix.GetsockoptUcred(c.fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	return err == nil && int(credentials.Uid) == os.Getuid()
}

// SendDescriptors writes all of data, with copies of descriptors for the other process, on a Unix socket.
func (c *Conn) SendDescriptors(data []byte, fds ...int) error {
	if c.closed || len(c.pending) > 0 {
		return errNotAllWritten
	}
	sent, err := uninterrupted(func() (int, error) {
		return unix.SendmsgN(c.fd, data, unix.UnixRights(fds...), nil, unix.MSG_NOSIGNAL)
	})
	if err != nil {
		return os.NewSyscallError("sendmsg", err)
	}
	c.Write(data[sent:])
	return nil
}

// OnDescriptors has fn get the descriptors that are received on a Unix connection; they are fn's to close. Where some
// were lost, for lack of descriptors in this process, the connection fails.
func (c *Conn) OnDescriptors(fn func(fds []int)) { c.onDescriptors = fn }

// receive reads once into the loop's buffer, and hands on the descriptors that came along.
func (c *Conn) receive() (int, error) {
	buffer := c.loop.readBuffer[:]
	if c.onDescriptors == nil {
		return c.loop.read(c.fd, buffer)
	}
	var control [4*MaxDescriptorsPerMessage + 64]byte
	var controlSize, flags int
	size, err := uninterrupted(func() (size int, err error) {
		size, controlSize, flags, _, err = unix.Recvmsg(c.fd, buffer, control[:], unix.MSG_CMSG_CLOEXEC)
		return size, err
	})
	if err == nil && controlSize > 0 {
		c.onDescriptors(ReceivedDescriptors(control[:controlSize]))
	}
	if err == nil && flags&unix.MSG_CTRUNC != 0 {
		err = errDescriptorsLost
	}
	return size, err
}

// ReceivedDescriptors reads the descriptors out of a control message.
func ReceivedDescriptors(control []byte) (fds []int) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil // none of the kernel's
	}
	for _, message := range messages {
		rights, err := unix.ParseUnixRights(&message)
		if err == nil { // else it is a message of another kind
			fds = append(fds, rights...)
		}
	}
	return fds
}
