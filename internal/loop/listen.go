package loop

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"

	"go.uber.org/zap"
)

const backlog = 1024

// Listener is a listening socket on the loop. The socket may be held by another process as well; each connection is then
// accepted by one of them.
type Listener struct {
	Addr netip.AddrPort
	// ReusePort says that another process listened at the address when this socket was made.
	ReusePort bool

	loop      *Loop
	fd        int
	accept    func(*Conn) Handler
	uncounted bool
	listening bool
}

// Listen accepts connections at addr from now on; accept gives each its handler. A nil handler closes it. A process of
// the same user that listens there already in this way goes on.
func (l *Loop) Listen(addr string, accept func(*Conn) Handler) (*Listener, error) {
	return l.listen(addr, backlog, accept, false)
}

// ListenApart is Listen for connections that stand apart from clients and hosts: they don't count among the open ones,
// make no room and never go for others. The caller bounds them; queue bounds those that wait to be accepted.
func (l *Loop) ListenApart(addr string, queue int, accept func(*Conn) Handler) (*Listener, error) {
	return l.listen(addr, queue, accept, true)
}

func (l *Loop) listen(addr string, queue int, accept func(*Conn) Handler, apart bool) (*Listener, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen address %q: %w", addr, err)
	}
	sa, family := sockaddr(ap)
	k := &Listener{Addr: ap, loop: l, accept: accept, uncounted: apart}
	open := func(shared bool) (fd int, err error) {
		if fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0); err != nil {
			return -1, err
		}
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
		if shared { // from the first start on: the kernel asks it of all who listen at an address
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}
		if err = unix.Bind(fd, sa); err != nil {
			unix.Close(fd)
			return -1, err
		}
		return fd, nil
	}
	if !apart { // bound alone first, since a shared address doesn't tell whether somebody is there
		fd, err := open(false)
		if k.ReusePort = err == unix.EADDRINUSE; err == nil {
			unix.Close(fd)
		}
	}
	if k.fd, err = open(!apart); err != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	if err = unix.Listen(k.fd, queue); err == nil {
		err = k.watch()
	}
	if err != nil {
		unix.Close(k.fd)
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	return k, nil
}

// Adopt is Listen for a socket that another process listens on and has handed over.
func (l *Loop) Adopt(fd int, accept func(*Conn) Handler) (*Listener, error) {
	k := &Listener{loop: l, fd: fd, accept: accept}
	if err := k.watch(); err != nil {
		return nil, fmt.Errorf("listening socket handed over: %w", err)
	}
	return k, nil
}

func (k *Listener) watch() error {
	sa, err := unix.Getsockname(k.fd)
	if err != nil {
		return err
	}
	k.Addr = addrPort(sa) // of a Unix socket: none
	if err := k.loop.kernel.Watch(k.loop.poller, k.fd, 0, watchRead); err != nil {
		return err
	}
	k.listening = true
	k.loop.handlers[k.fd] = func(uint32) { k.acceptReady() }
	return nil
}

// FD is the socket, for another process to hold as well.
func (k *Listener) FD() int { return k.fd }

// Close ends accepting. Where another process holds the socket, what waits there is that one's.
func (k *Listener) Close() {
	if k.listening {
		k.listening = false
		k.loop.poller.Delete(k.fd)
		delete(k.loop.handlers, k.fd)
		unix.Close(k.fd)
	}
}

// PreferNewest has the kernel give new connections to the newer of two listeners at the address; what waits here is still
// accepted. It means nothing where this one is alone. Guards against connections that are reset with the queue of a
// listener that closes.
func (k *Listener) PreferNewest() {
	if !k.listening {
		return
	}
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}} // the second of the group
	err := unix.SetsockoptSockFprog(k.fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	if err != nil {
		zap.L().Debug("listener_not_yielded", zap.Error(err))
	}
}

// acceptReady accepts what waits. An accept that fails for a moment is made again.
func (k *Listener) acceptReady() {
	l := k.loop
	for range acceptBurst {
		if !k.listening {
			return
		}
		fd, from, err := l.kernel.Accept(k.fd)
		exhausted := false
		if isOneOf(err, unix.EMFILE, unix.ENFILE) {
			fd, from, err = l.acceptWithSpare(k.fd)
			exhausted = l.spareFD < 0
		}
		switch {
		case err == unix.EAGAIN:
			return
		case isOneOf(err, unix.EINTR, unix.ECONNABORTED, unix.EPROTO): // at most that one connection is gone
			continue
		case err != nil:
			k.pause(err)
			return
		}
		c := k.serve(fd, from)
		if exhausted && c != nil {
			zap.L().Warn("descriptors_exhausted")
			c.evict(c.idleElement)
		}
	}
}

// serve has a connection that was accepted be served; nil: nobody serves it.
func (k *Listener) serve(fd int, from unix.Sockaddr) *Conn {
	l := k.loop
	setOptions(fd)
	c := l.newConn(fd, k.uncounted)
	c.Peer = addrPort(from).Addr()
	if !k.uncounted {
		l.enforceIdleLimit()
	}
	c.handler = k.accept(c)
	if c.handler == nil {
		c.Abort()
		return nil
	}
	c.wait()
	l.handlers[fd] = c.handleEvents
	c.updateWatch()
	return c
}

// acceptWithSpare accepts with the descriptor that is kept back. Guards against a listener that spins, and clients that hang, when
// descriptors run out: who comes then is heard, and goes with an answer. Where they were short for a moment only, the spare one is
// back at once.
func (l *Loop) acceptWithSpare(listener int) (fd int, from unix.Sockaddr, err error) {
	if l.spareFD < 0 {
		l.openSpare()
	}
	if l.spareFD < 0 {
		return -1, nil, unix.EMFILE
	}
	unix.Close(l.spareFD)
	l.spareFD = -1
	fd, from, err = l.kernel.Accept(listener)
	l.openSpare()
	return fd, from, err
}

// pause looks away from the listener for a moment: what keeps it from accepting would wake the loop again and again.
func (k *Listener) pause(why error) {
	zap.L().Warn("accept_failed", zap.Error(why))
	k.loop.poller.Delete(k.fd)
	k.loop.At(k.loop.Now().Add(transientRetryPause), k.resume)
}

// resume watches the listener again.
func (k *Listener) resume() {
	if !k.listening {
		return
	}
	if err := k.loop.kernel.Watch(k.loop.poller, k.fd, 0, watchRead); err != nil {
		k.pause(err)
	}
}

func (l *Loop) newConn(fd int, apart bool) *Conn {
	if !apart {
		l.open++
	}
	return &Conn{loop: l, fd: fd, connected: true, uncounted: apart}
}

// ListenUnix accepts connections of this machine at path, apart from all others. The socket takes the path's place at
// once and whole, whoever stood there.
func (l *Loop) ListenUnix(path string, accept func(*Conn) Handler) (*Listener, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	first := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(first)
	if err = unix.Bind(fd, &unix.SockaddrUnix{Name: first}); err == nil {
		err = errors.Join(unix.Chmod(first, 0o600), unix.Listen(fd, 4))
	}
	k := &Listener{loop: l, fd: fd, accept: accept, uncounted: true}
	if err == nil {
		err = os.Rename(first, path)
	}
	if err == nil {
		err = k.watch()
	}
	if err != nil {
		os.Remove(first)
		unix.Close(fd)
		return nil, fmt.Errorf("listen %s: %w", path, err)
	}
	return k, nil
}

// Attach has the loop serve a connected stream socket, apart from all others.
func (l *Loop) Attach(fd int, h Handler) *Conn {
	unix.SetNonblock(fd, true)
	c := l.newConn(fd, true)
	c.handler = h
	l.handlers[fd] = c.handleEvents
	c.updateWatch()
	return c
}

// SendDescriptors writes p whole, with descriptors for the other process to hold as well, on a Unix socket.
func (c *Conn) SendDescriptors(p []byte, fds ...int) error {
	if c.closed || len(c.pending) > 0 {
		return errors.New("the connection is not free")
	}
	n, err := uninterrupted(func() (int, error) {
		return unix.SendmsgN(c.fd, p, unix.UnixRights(fds...), nil, unix.MSG_NOSIGNAL)
	})
	if err == nil {
		c.Write(p[n:])
	}
	return err
}

// SameUser reports whether a Unix connection's other side is a process of this user.
func (c *Conn) SameUser() bool {
	cred, err := unix.GetsockoptUcred(c.fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	return err == nil && int(cred.Uid) == os.Getuid()
}
