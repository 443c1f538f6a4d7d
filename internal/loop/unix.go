package loop

import (
	"errors"
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// Unix socket connections to other processes of this machine. They can pass descriptors.

// MaxDescriptorsPerMessage is the maximum number of descriptors that the kernel passes with one message.
const MaxDescriptorsPerMessage = 253

// unixBacklog is the maximum number of pending connections of a Unix listener.
const unixBacklog = 4

// ListenUnix starts to accept connections from this machine at path. They are uncounted, like those of ListenUncounted.
// The socket atomically replaces one that is already at the path.
func (l *Loop) ListenUnix(path string, accept func(*Conn) Handler) (*Listener, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(temporary) // left by an earlier process with this ID; if it can't be removed, the bind fails
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
		_ = os.Remove(temporary) // it may not exist
		closeFD(fd)
		return nil, fmt.Errorf("listen %s: %w", path, err)
	}
	return listener, nil
}

// Attach makes the loop serve a connected stream socket as an uncounted connection.
func (l *Loop) Attach(fd int, handler Handler) *Conn {
	setNonblock(fd)
	conn := l.newConn(fd, true)
	conn.handler = handler
	l.handlers[fd] = conn.handleEvents
	conn.updateWatch()
	return conn
}

// SameUser reports whether the peer of a Unix connection is a process of the same user as this process.
func (c *Conn) SameUser() bool {
	credentials, err := unix.GetsockoptUcred(c.fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	return err == nil && int(credentials.Uid) == os.Getuid()
}

// SendDescriptors writes all of data to a Unix connection and passes copies of descriptors to the other process.
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

// Writable reports whether all data was written to the kernel, and SendDescriptors would not fail for want of room in
// the socket's buffer.
func (c *Conn) Writable() bool {
	if c.closed || !c.Sent() {
		return false
	}
	watched := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLOUT}}
	ready, err := unix.Poll(watched, 0)
	return err == nil && ready == 1 && watched[0].Revents&unix.POLLOUT != 0
}

// OnDescriptors sets the function that gets the descriptors received on a Unix connection. fn must close them. If some
// are lost because this process has no free descriptors, the connection fails.
func (c *Conn) OnDescriptors(fn func(fds []int)) { c.onDescriptors = fn }

// receive reads once into the loop's buffer, and gives received descriptors to the function set by OnDescriptors.
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

// ReceivedDescriptors returns the descriptors in the control data of a received message.
func ReceivedDescriptors(control []byte) (fds []int) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil // not the kernel's format
	}
	for _, message := range messages {
		rights, err := unix.ParseUnixRights(&message)
		if err == nil { // otherwise the message is of another kind
			fds = append(fds, rights...)
		}
	}
	return fds
}
