package loop

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Dial starts a connection that must be established by the deadline. A failure is reported to the handler's OnEnd,
// never before Dial has returned: a LocalError after a shortage on this machine, for which Dial retries until the
// deadline, ErrTimeout, or what the network has reported.
func (l *Loop) Dial(address string, deadline time.Time, handler Handler) *Conn {
	c := &Conn{loop: l, fd: -1, handler: handler}
	server, err := netip.ParseAddrPort(address)
	if err != nil {
		c.failLater(fmt.Errorf("address %q: %w", address, err))
		return c
	}
	c.dial(server, deadline)
	return c
}

// dial begins to connect, and retries while this machine is short of resources or has no route.
func (c *Conn) dial(server netip.AddrPort, deadline time.Time) {
	eventLoop := c.loop
	err := c.startConnect(server)
	retry := eventLoop.Now().Add(transientRetryPause)
	switch {
	case err == nil:
		eventLoop.handlers[c.fd] = c.handleEvents
		c.updateWatch()
		c.stopTimer = eventLoop.At(deadline, func() { c.fail(ErrTimeout) })
	case (isResourceShortage(err) || isOneOf(err, unix.ENETUNREACH)) && retry.Before(deadline):
		c.stopTimer = eventLoop.At(retry, func() { c.dial(server, deadline) })
	case isResourceShortage(err):
		c.stopTimer = eventLoop.At(eventLoop.Now(), func() { c.fail(&LocalError{err}) })
	default:
		c.stopTimer = eventLoop.At(eventLoop.Now(), func() { c.fail(err) })
	}
}

// startConnect makes the connection's socket and begins to connect it. Without an error it is under way.
func (c *Conn) startConnect(server netip.AddrPort) error {
	address, family := toSockaddr(server)
	fd, err := c.loop.kernel.Socket(family)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	setOptions(fd)
	err = c.loop.kernel.Connect(fd, address)
	if err != nil && !isOneOf(err, unix.EINPROGRESS, unix.EINTR) { // one that is interrupted goes on by itself
		closeFD(fd)
		return os.NewSyscallError("connect", err)
	}
	c.fd = fd
	c.loop.open++
	return nil
}

// finishConnect is called when a connect may have ended. An event can be left over from an earlier connection of the
// same descriptor, so the socket itself is asked.
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
