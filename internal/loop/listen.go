package loop

import (
	"errors"
	"fmt"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const listenBacklog = 1024

// Listener is a listening socket on the loop. Another process may have the socket open as well; each connection is then
// accepted by one of them.
type Listener struct {
	Addr netip.AddrPort // none for a Unix socket
	// ReusePort says that another process listened at the address when this socket was made.
	ReusePort bool

	loop      *Loop
	fd        int
	accept    func(*Conn) Handler
	uncounted bool // its connections are not among the loop's open ones
	listening bool
}

// Listen accepts connections at an address from now on; accept gives each its handler. A nil handler closes it. A
// process of the same user that listens there already in this way goes on.
func (l *Loop) Listen(address string, accept func(*Conn) Handler) (*Listener, error) {
	return l.listen(address, listenBacklog, accept, false)
}

// ListenApart is Listen for connections that are uncounted: they are not among the loop's open ones, evict nobody and
// are never evicted. The caller bounds them; backlog bounds those that wait to be accepted.
func (l *Loop) ListenApart(address string, backlog int, accept func(*Conn) Handler) (*Listener, error) {
	return l.listen(address, backlog, accept, true)
}

func (l *Loop) listen(address string, backlog int, accept func(*Conn) Handler, uncounted bool) (*Listener, error) {
	bound, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen address %q: %w", address, err)
	}
	listener := &Listener{Addr: bound, loop: l, accept: accept, uncounted: uncounted}
	if !uncounted { // bound alone first, since binding to a shared address doesn't show whether another socket is there
		fd, err := bindSocket(bound, false)
		if err == nil {
			closeFD(fd)
		}
		listener.ReusePort = errors.Is(err, unix.EADDRINUSE)
	}
	listener.fd, err = bindSocket(bound, !uncounted)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", address, err)
	}
	err = unix.Listen(listener.fd, backlog)
	if err == nil {
		err = listener.watch()
	}
	if err != nil {
		closeFD(listener.fd)
		return nil, fmt.Errorf("listen %s: %w", address, err)
	}
	return listener, nil
}

// bindSocket creates a TCP socket that is bound to an address; shared lets several sockets be bound to it
// (SO_REUSEPORT).
func bindSocket(address netip.AddrPort, shared bool) (int, error) {
	local, family := toSockaddr(address)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	setOption(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if shared { // from the first start on: the kernel requires it of all sockets at an address
		setOption(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err := unix.Bind(fd, local); err != nil {
		closeFD(fd)
		return -1, err
	}
	return fd, nil
}

// Adopt is Listen for a socket that another process listens on and has transferred.
func (l *Loop) Adopt(fd int, accept func(*Conn) Handler) (*Listener, error) {
	listener := &Listener{loop: l, fd: fd, accept: accept}
	if err := listener.watch(); err != nil {
		return nil, fmt.Errorf("transferred listening socket: %w", err)
	}
	return listener, nil
}

// watch begins to accept.
func (k *Listener) watch() error {
	local, err := unix.Getsockname(k.fd)
	if err != nil {
		return err
	}
	k.Addr = toAddrPort(local)
	if err := k.loop.kernel.Watch(k.loop.poller, k.fd, 0, watchRead); err != nil {
		return err
	}
	k.listening = true
	k.loop.handlers[k.fd] = func(uint32) { k.acceptReady() }
	return nil
}

// FD is the socket's descriptor, to send to another process.
func (k *Listener) FD() int { return k.fd }

// Close closes the socket. Where another process has it open as well, pending connections stay for that one.
func (k *Listener) Close() {
	if k.listening {
		k.listening = false
		k.loop.unwatch(k.fd)
		delete(k.loop.handlers, k.fd)
		closeFD(k.fd)
	}
}

// PreferNewest has the kernel give new connections to the newer of two listeners at the address, and has no effect
// where this one is alone. Pending connections are still accepted here; without this, more would be pending when the
// listener closes, and be reset.
func (k *Listener) PreferNewest() {
	if !k.listening {
		return
	}
	selectSecond := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}} // the second socket of the group
	program := &unix.SockFprog{Len: uint16(len(selectSecond)), Filter: &selectSecond[0]}
	err := unix.SetsockoptSockFprog(k.fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, program)
	if err != nil {
		zap.L().Debug("listener_preference_not_set", zap.Error(err))
	}
}

// acceptReady accepts what waits. An accept that fails for a moment is made again.
func (k *Listener) acceptReady() {
	for range acceptBurst {
		if !k.listening {
			return
		}
		fd, from, err := k.loop.kernel.Accept(k.fd)
		exhausted := false
		if isOneOf(err, unix.EMFILE, unix.ENFILE) {
			fd, from, err = k.loop.acceptWithSpare(k.fd)
			exhausted = k.loop.spareFD < 0
		}
		switch {
		case errors.Is(err, unix.EAGAIN):
			return
		case isOneOf(err, unix.EINTR, unix.ECONNABORTED, unix.EPROTO): // at most that one connection is gone
			continue
		case err != nil:
			k.pauseAccepting(err)
			return
		}
		c := k.serve(fd, from)
		if exhausted && c != nil {
			zap.L().Warn("descriptors_exhausted")
			c.evict(c.idleElement)
		}
	}
}

// serve makes a connection of an accepted socket and gives it to its handler; nil: accept returned none, and it is
// closed.
func (k *Listener) serve(fd int, from unix.Sockaddr) *Conn {
	setOptions(fd)
	conn := k.loop.newConn(fd, k.uncounted)
	conn.Peer = toAddrPort(from).Addr()
	if !k.uncounted {
		k.loop.enforceIdleLimit()
	}
	conn.handler = k.accept(conn)
	if conn.handler == nil {
		conn.Abort()
		return nil
	}
	conn.EnterIdleQueue()
	k.loop.handlers[fd] = conn.handleEvents
	conn.updateWatch()
	return conn
}

// acceptWithSpare accepts a connection in place of the spare descriptor, when there is no other left: its client gets
// an answer, and the listener does not spin. Where descriptors were exhausted for a moment only, the spare is opened
// again at once.
func (l *Loop) acceptWithSpare(listener int) (fd int, from unix.Sockaddr, err error) {
	if l.spareFD < 0 {
		l.openSpare()
	}
	if l.spareFD < 0 {
		return -1, nil, unix.EMFILE
	}
	closeFD(l.spareFD)
	l.spareFD = -1
	fd, from, err = l.kernel.Accept(listener)
	l.openSpare()
	return fd, from, err
}

// pauseAccepting stops watching the listener for transientRetryPause: a pending connection that can't be accepted would
// wake the loop again and again.
func (k *Listener) pauseAccepting(cause error) {
	zap.L().Warn("accept_failed", zap.Error(cause))
	k.loop.unwatch(k.fd)
	k.loop.At(k.loop.Now().Add(transientRetryPause), k.resume)
}

// resume watches the listener again after pauseAccepting.
func (k *Listener) resume() {
	if !k.listening {
		return
	}
	if err := k.loop.kernel.Watch(k.loop.poller, k.fd, 0, watchRead); err != nil {
		k.pauseAccepting(err)
	}
}
