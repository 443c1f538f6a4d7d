package loop

import (
	"errors"
	"fmt"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// listenBacklog is the number of connections that may wait to be accepted.
const listenBacklog = 1024

// Listener is a listening socket on the loop. If another process also has the socket open, each connection is accepted
// by one of the two.
type Listener struct {
	Addr netip.AddrPort // the zero value for a Unix socket
	// AddressShared is true if another process listened at the address when this socket was created.
	AddressShared bool

	loop      *Loop
	fd        int
	accept    func(*Conn) Handler
	uncounted bool // its connections are not counted among the loop's open connections
	listening bool
}

// Listen starts to accept connections at an address. accept returns the handler of a connection; if it returns nil, the
// connection is closed. A process of the same user that already listens at the address through Listen keeps listening.
func (l *Loop) Listen(address string, accept func(*Conn) Handler) (*Listener, error) {
	return l.listen(address, listenBacklog, accept, false)
}

// ListenUncounted is like Listen, for uncounted connections: they are not counted among the loop's open connections,
// cause no eviction and are never evicted. The caller must bound their number. backlog bounds those that wait to be
// accepted.
func (l *Loop) ListenUncounted(address string, backlog int, accept func(*Conn) Handler) (*Listener, error) {
	return l.listen(address, backlog, accept, true)
}

func (l *Loop) listen(address string, backlog int, accept func(*Conn) Handler, uncounted bool) (*Listener, error) {
	bound, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("invalid listen address %q: %w", address, err)
	}
	listener := &Listener{Addr: bound, loop: l, accept: accept, uncounted: uncounted}
	if !uncounted {
		// The first bind is exclusive, since a shared bind doesn't show whether another socket is bound to the address.
		fd, err := bindSocket(bound, false)
		if err == nil {
			closeFD(fd)
		}
		listener.AddressShared = errors.Is(err, unix.EADDRINUSE)
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

// bindSocket creates a TCP socket and binds it to an address. shared allows several sockets to be bound to the address
// (SO_REUSEPORT).
func bindSocket(address netip.AddrPort, shared bool) (int, error) {
	local, family := toSockaddr(address)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	setOption(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if shared { // also for the first process: the kernel requires the option on every socket at the address
		setOption(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err := unix.Bind(fd, local); err != nil {
		closeFD(fd)
		return -1, err
	}
	return fd, nil
}

// Adopt is like Listen, for a listening socket that another process has transferred.
func (l *Loop) Adopt(fd int, accept func(*Conn) Handler) (*Listener, error) {
	listener := &Listener{loop: l, fd: fd, accept: accept}
	if err := listener.watch(); err != nil {
		return nil, fmt.Errorf("adopt transferred listening socket: %w", err)
	}
	return listener, nil
}

// watch starts to accept connections.
func (ln *Listener) watch() error {
	local, err := unix.Getsockname(ln.fd)
	if err != nil {
		return err
	}
	ln.Addr = toAddrPort(local)
	if err := ln.loop.kernel.Watch(ln.loop.poller, ln.fd, 0, watchRead); err != nil {
		return err
	}
	ln.listening = true
	ln.loop.handlers[ln.fd] = func(uint32) { ln.acceptReady() }
	return nil
}

// FD returns the socket's descriptor, for the transfer to another process.
func (ln *Listener) FD() int { return ln.fd }

// Close closes the socket. If another process also has it open, that process accepts the pending connections.
func (ln *Listener) Close() {
	if ln.listening {
		ln.listening = false
		ln.loop.unwatch(ln.fd)
		delete(ln.loop.handlers, ln.fd)
		closeFD(ln.fd)
	}
}

// PreferNewest makes the kernel give new connections to the newer of two listeners at the address. It has no effect if
// this listener is the only one. Pending connections are still accepted here. Without PreferNewest more connections
// would be pending when this listener closes, and they would be reset.
func (ln *Listener) PreferNewest() {
	if !ln.listening {
		return
	}
	selectSecond := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}} // index of the group's second socket
	program := &unix.SockFprog{Len: uint16(len(selectSecond)), Filter: &selectSecond[0]}
	err := unix.SetsockoptSockFprog(ln.fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, program)
	if err != nil {
		zap.L().Debug("listener_preference_not_set", zap.Error(err))
	}
}

// acceptReady accepts pending connections. It retries an accept that failed temporarily.
func (ln *Listener) acceptReady() {
	for range acceptBurst {
		if !ln.listening {
			return
		}
		fd, from, err := ln.loop.kernel.Accept(ln.fd)
		exhausted := false
		if isOneOf(err, unix.EMFILE, unix.ENFILE) {
			fd, from, err = ln.loop.acceptWithSpare(ln.fd)
			exhausted = ln.loop.spareFD < 0
		}
		switch {
		case errors.Is(err, unix.EAGAIN):
			return
		case isOneOf(err, unix.EINTR, unix.ECONNABORTED, unix.EPROTO): // at most one pending connection is lost
			continue
		case err != nil:
			ln.pauseAccepting(err)
			return
		}
		c := ln.serve(fd, from)
		if exhausted && c != nil {
			zap.L().Warn("descriptors_exhausted")
			c.evict(c.idleElement)
		}
	}
}

// serve creates the connection of an accepted socket and assigns its handler. If accept returns no handler, serve
// closes the connection and returns nil.
func (ln *Listener) serve(fd int, from unix.Sockaddr) *Conn {
	setOptions(fd)
	conn := ln.loop.newConn(fd, ln.uncounted)
	conn.Peer = toAddrPort(from).Addr()
	if !ln.uncounted {
		ln.loop.enforceIdleLimit()
	}
	conn.handler = ln.accept(conn)
	if conn.handler == nil {
		conn.Abort()
		return nil
	}
	conn.EnterIdleQueue()
	ln.loop.handlers[fd] = conn.handleEvents
	conn.updateWatch()
	return conn
}

// acceptWithSpare closes the spare descriptor and accepts a connection with it. It is called when no other descriptor
// is left. The client then gets a reply, and the pending connection does not wake the loop again and again. If another
// descriptor has become free in the meantime, acceptWithSpare opens the spare again at once.
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

// pauseAccepting stops watching the listener for transientRetryPause, since a pending connection that can't be accepted
// would wake the loop again and again.
func (ln *Listener) pauseAccepting(cause error) {
	zap.L().Warn("accept_failed", zap.Error(cause))
	ln.loop.unwatch(ln.fd)
	ln.loop.At(ln.loop.Now().Add(transientRetryPause), ln.resume)
}

// resume ends the pause that pauseAccepting began. If the listener can't be watched, it begins another pause.
func (ln *Listener) resume() {
	if !ln.listening {
		return
	}
	if err := ln.loop.kernel.Watch(ln.loop.poller, ln.fd, 0, watchRead); err != nil {
		ln.pauseAccepting(err)
	}
}
