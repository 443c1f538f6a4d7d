package loop

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Dial starts to connect to an IP:PORT address. The connection must be established by the deadline. A failure is
// reported to the handler's OnEnd, never before Dial has returned. The error is ErrTimeout, an error from the network,
// or a LocalError if this machine is short of a resource, in which case Dial retries until the deadline.
func (l *Loop) Dial(address string, deadline time.Time, handler Handler) *Conn {
	c := &Conn{loop: l, fd: -1, handler: handler}
	server, err := netip.ParseAddrPort(address)
	if err != nil {
		c.failLater(fmt.Errorf("invalid address %q: %w", address, err))
		return c
	}
	c.dial(server, deadline)
	return c
}

// dial starts to connect, and retries while this machine is short of resources or has no route to the server.
func (c *Conn) dial(server netip.AddrPort, deadline time.Time) {
	eventLoop := c.loop
	err := c.startConnect(server)
	retryAt := eventLoop.Now().Add(transientRetryPause)
	switch {
	case err == nil:
		eventLoop.handlers[c.fd] = c.handleEvents
		c.updateWatch()
		c.stopTimer = eventLoop.At(deadline, func() { c.fail(ErrTimeout) })
	case (isResourceShortage(err) || isOneOf(err, unix.ENETUNREACH)) && retryAt.Before(deadline):
		c.stopTimer = eventLoop.At(retryAt, func() { c.dial(server, deadline) })
	case isResourceShortage(err):
		c.stopTimer = eventLoop.At(eventLoop.Now(), func() { c.fail(&LocalError{err}) })
	default:
		c.stopTimer = eventLoop.At(eventLoop.Now(), func() { c.fail(err) })
	}
}

// startConnect creates the connection's socket and starts to connect it. If it returns nil, the connect is in progress.
func (c *Conn) startConnect(server netip.AddrPort) error {
	address, family := toSockaddr(server)
	fd, err := c.loop.kernel.Socket(family)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	setOptions(fd)
	err = c.loop.kernel.Connect(fd, address)
	if err != nil && !isOneOf(err, unix.EINPROGRESS, unix.EINTR) { // an interrupted connect continues in the kernel
		closeFD(fd)
		return os.NewSyscallError("connect", err)
	}
	c.fd = fd
	c.loop.open++
	return nil
}

// finishConnect is called when a connect may have ended. The event may be left over from an earlier connection with the
// same descriptor number, so finishConnect queries the socket itself.
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
		return // not connected yet
	}
	c.cancelTimer()
	c.connected = true
	c.handler.OnConnect()
	if len(c.pending) > 0 && !c.closed {
		c.flush()
	}
	c.updateWatch()
}
