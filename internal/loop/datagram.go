package loop

import (
	"fmt"
	"net/netip"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

const datagramBurst = 64 // datagrams taken in one go; the rest wait for the next round

// Datagrams is a UDP socket on the loop. Nothing is kept for a later send: what the kernel doesn't take is lost, as on
// the way.
type Datagrams struct {
	fd     int
	family int
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
	if err = unix.Bind(fd, sa); err == nil {
		err = l.poller.AddRead(&netpoll.PollAttachment{FD: fd}, false)
	}
	if err != nil {
		unix.Close(fd)
		return nil, ap, fmt.Errorf("datagrams at %s: %w", addr, err)
	}
	if sa, err := unix.Getsockname(fd); err == nil {
		ap = addrPort(sa)
	}
	buf := make([]byte, most+1)
	l.fds[fd] = func(uint32) {
		for range datagramBurst {
			n, from, err := unix.Recvfrom(fd, buf, 0)
			if err != nil {
				return
			}
			take(addrPort(from), buf[:n])
		}
	}
	return &Datagrams{fd, family}, ap, nil
}

// Send sends p, or loses it.
func (d *Datagrams) Send(to netip.AddrPort, p []byte) error {
	sa, family := sockaddr(to)
	if family != d.family {
		return fmt.Errorf("datagram to %s: not of the socket's address family", to)
	}
	return unix.Sendto(d.fd, p, 0, sa)
}
