package loop

import (
	"fmt"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const datagramBurst = 64 // datagrams taken in one go; the rest wait for the next round

// Datagrams is a UDP socket on the loop. Nothing is kept for a later send: what the kernel doesn't take is lost, as on
// the way.
type Datagrams struct {
	loop    *Loop
	fd      int
	family  int
	reading bool // datagrams are read
}

// ListenDatagrams takes datagrams at addr from now on. Of a datagram longer than most bytes, take gets most+1, so that it
// can tell; p is the loop's: keep no reference to it.
func (l *Loop) ListenDatagrams(addr string, most int, take func(from netip.AddrPort, p []byte)) (*Datagrams, netip.AddrPort, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, ap, fmt.Errorf("datagram address %q: %w", addr, err)
	}
	sa, family := sockaddr(ap)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, ap, fmt.Errorf("datagrams at %s: %w", addr, err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) // a process started beside this one sends from here too
	if err = unix.Bind(fd, sa); err != nil {
		unix.Close(fd)
		return nil, ap, fmt.Errorf("datagrams at %s: %w", addr, err)
	}
	return l.AdoptDatagrams(fd, most, take)
}

// AdoptDatagrams is ListenDatagrams for a socket that is bound already.
func (l *Loop) AdoptDatagrams(fd, most int, take func(from netip.AddrPort, p []byte)) (*Datagrams, netip.AddrPort, error) {
	var ap netip.AddrPort
	if sa, err := unix.Getsockname(fd); err == nil {
		ap = addrPort(sa)
	}
	buf := make([]byte, most+1)
	l.handlers[fd] = func(uint32) {
		for range datagramBurst {
			n, from, err := unix.Recvfrom(fd, buf, 0)
			if err != nil {
				return
			}
			take(addrPort(from), buf[:n])
		}
	}
	_, family := sockaddr(ap)
	d := &Datagrams{loop: l, fd: fd, family: family}
	if err := d.SetReading(true); err != nil {
		delete(l.handlers, fd)
		unix.Close(fd)
		return nil, ap, fmt.Errorf("datagrams at %s: %w", ap, err)
	}
	return d, ap, nil
}

// datagramMemory is what the system counts for a short datagram that waits to be read.
const datagramMemory = 1 << 10

// SetReceiveBuffer has the system keep so many short datagrams that wait to be read, as far as it lets a process: what comes on top is lost.
func (d *Datagrams) SetReceiveBuffer(datagrams int) {
	want := datagrams * datagramMemory
	has, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
	if err == nil && has < want {
		err = unix.SetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, want/2) // the system doubles it
	}
	if err != nil {
		zap.L().Debug("datagram_room_not_set", zap.Error(err))
	}
}

// SetReading says whether datagrams are read here. Where two processes hold one socket, only one of them may: each datagram
// is read once.
func (d *Datagrams) SetReading(on bool) error {
	if on == d.reading {
		return nil
	}
	had, want := watchRead, 0
	if on {
		had, want = 0, watchRead
	}
	if err := d.loop.kernel.Watch(d.loop.poller, d.fd, had, want); err != nil {
		return err
	}
	d.reading = on
	return nil
}

// Close ends it.
func (d *Datagrams) Close() {
	d.SetReading(false)
	delete(d.loop.handlers, d.fd)
	unix.Close(d.fd)
}

// FD is the socket, for another process to hold as well.
func (d *Datagrams) FD() int { return d.fd }

// Send sends p, or loses it.
func (d *Datagrams) Send(to netip.AddrPort, p []byte) error {
	sa, family := sockaddr(to)
	if family != d.family {
		return fmt.Errorf("datagram to %s: not of the socket's address family", to)
	}
	_, err := uninterrupted(func() (int, error) { return 0, unix.Sendto(d.fd, p, 0, sa) })
	return err
}
