package loop

import (
	"fmt"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	datagramBurst = 64 // datagrams read in a row; the others wait for the next poll
	// datagramMemory is the number of bytes that the kernel charges to the receive buffer for a short unread datagram.
	datagramMemory = 1 << 10
)

// Datagrams is a UDP socket on the loop. It has no send queue: a datagram that the kernel doesn't take is lost, as it
// may be in the network.
type Datagrams struct {
	loop    *Loop
	fd      int
	family  int
	reading bool
}

// DatagramHandler handles a received datagram. The data belongs to the loop and must not be retained.
type DatagramHandler = func(from netip.AddrPort, data []byte)

// ListenDatagrams starts to receive datagrams at an address. If a datagram is longer than maxSize bytes, handle gets
// its first maxSize+1 bytes, by which it can recognize that the datagram is too long.
func (l *Loop) ListenDatagrams(
	address string, maxSize int, handle DatagramHandler,
) (*Datagrams, netip.AddrPort, error) {
	bound, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, bound, fmt.Errorf("invalid datagram address %q: %w", address, err)
	}
	local, family := toSockaddr(bound)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, bound, fmt.Errorf("receive datagrams at %s: %w", address, err)
	}
	setOption(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) // lets a second process of the node send from this address too
	if err = unix.Bind(fd, local); err != nil {
		closeFD(fd)
		return nil, bound, fmt.Errorf("receive datagrams at %s: %w", address, err)
	}
	return l.AdoptDatagrams(fd, maxSize, handle)
}

// AdoptDatagrams is like ListenDatagrams, for a socket that is already bound.
func (l *Loop) AdoptDatagrams(fd, maxSize int, handle DatagramHandler) (*Datagrams, netip.AddrPort, error) {
	var bound netip.AddrPort
	if local, err := unix.Getsockname(fd); err == nil {
		bound = toAddrPort(local)
	}
	buffer := make([]byte, maxSize+1)
	l.handlers[fd] = func(uint32) {
		for range datagramBurst {
			size, from, err := unix.Recvfrom(fd, buffer, 0)
			if err != nil {
				return
			}
			handle(toAddrPort(from), buffer[:size])
		}
	}
	_, family := toSockaddr(bound)
	d := &Datagrams{loop: l, fd: fd, family: family}
	if err := d.SetReading(true); err != nil {
		delete(l.handlers, fd)
		closeFD(fd)
		return nil, bound, fmt.Errorf("receive datagrams at %s: %w", bound, err)
	}
	return d, bound, nil
}

// SetReceiveBuffer makes the kernel's receive buffer large enough for a number of short datagrams, within the system's
// limit for a process. When the buffer is full, the kernel drops datagrams until some are read.
func (d *Datagrams) SetReceiveBuffer(datagrams int) {
	wantedSize := datagrams * datagramMemory
	presentSize, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
	if err == nil && presentSize < wantedSize {
		err = unix.SetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, wantedSize/2) // the kernel doubles the value
	}
	if err != nil {
		zap.L().Debug("datagram_receive_buffer_not_set", zap.Error(err))
	}
}

// SetReading sets whether this process reads datagrams. If two processes hold the socket, only one of them may read,
// since each datagram can be read only once.
func (d *Datagrams) SetReading(reading bool) error {
	if reading == d.reading {
		return nil
	}
	watched, wanted := watchRead, 0
	if reading {
		watched, wanted = 0, watchRead
	}
	if err := d.loop.kernel.Watch(d.loop.poller, d.fd, watched, wanted); err != nil {
		return err
	}
	d.reading = reading
	return nil
}

// Close closes the socket.
func (d *Datagrams) Close() {
	_ = d.SetReading(false) // closing the descriptor removes it from the poller in any case
	delete(d.loop.handlers, d.fd)
	closeFD(d.fd)
}

// FD returns the socket's descriptor, for the transfer to another process.
func (d *Datagrams) FD() int { return d.fd }

// Send sends a datagram. If it returns an error, the datagram is lost; the caller may ignore that like a loss in the
// network.
func (d *Datagrams) Send(to netip.AddrPort, data []byte) error {
	address, family := toSockaddr(to)
	if family != d.family {
		return fmt.Errorf("send datagram to %s: the address is not of the socket's address family", to)
	}
	_, err := uninterrupted(func() (int, error) { return 0, unix.Sendto(d.fd, data, 0, address) })
	return err
}
