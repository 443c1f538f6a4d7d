package loop

import (
	"fmt"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	datagramBurst = 64 // datagrams taken in one go; the rest wait for the next round
	// datagramMemory is the bytes that the system counts for a short datagram that waits to be read.
	datagramMemory = 1 << 10
)

// Datagrams is a UDP socket on the loop. It has no queue of its own: a datagram that the kernel doesn't take is lost,
// as it may be in the network.
type Datagrams struct {
	loop    *Loop
	fd      int
	family  int
	reading bool
}

// DatagramHandler takes a datagram. Its data is the loop's: keep no reference to it.
type DatagramHandler = func(from netip.AddrPort, data []byte)

// ListenDatagrams receives datagrams at an address from now on. Of a datagram longer than maxSize bytes, handle gets
// the first maxSize+1, by which it can recognize it.
func (l *Loop) ListenDatagrams(
	address string, maxSize int, handle DatagramHandler,
) (*Datagrams, netip.AddrPort, error) {
	bound, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, bound, fmt.Errorf("datagram address %q: %w", address, err)
	}
	local, family := toSockaddr(bound)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, bound, fmt.Errorf("datagrams at %s: %w", address, err)
	}
	setOption(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) // a process started beside this one sends from here too
	if err = unix.Bind(fd, local); err != nil {
		closeFD(fd)
		return nil, bound, fmt.Errorf("datagrams at %s: %w", address, err)
	}
	return l.AdoptDatagrams(fd, maxSize, handle)
}

// AdoptDatagrams is ListenDatagrams for a socket that is bound already.
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
		return nil, bound, fmt.Errorf("datagrams at %s: %w", bound, err)
	}
	return d, bound, nil
}

// SetReceiveBuffer sizes the kernel's receive buffer for a number of short datagrams, as far as the system allows a
// process. Further ones are lost until some are read.
func (d *Datagrams) SetReceiveBuffer(datagrams int) {
	wanted := datagrams * datagramMemory
	present, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
	if err == nil && present < wanted {
		err = unix.SetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, wanted/2) // the system doubles it
	}
	if err != nil {
		zap.L().Debug("datagram_receive_buffer_not_set", zap.Error(err))
	}
}

// SetReading says whether datagrams are read here. Where two processes hold one socket, only one of them may: each
// datagram is read once.
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
	_ = d.SetReading(false) // the poller forgets a descriptor that is closed
	delete(d.loop.handlers, d.fd)
	closeFD(d.fd)
}

// FD is the socket's descriptor, to send to another process.
func (d *Datagrams) FD() int { return d.fd }

// Send sends a datagram. After an error it is lost; the caller may ignore that as it would a loss in the network.
func (d *Datagrams) Send(to netip.AddrPort, data []byte) error {
	address, family := toSockaddr(to)
	if family != d.family {
		return fmt.Errorf("datagram to %s: not of the socket's address family", to)
	}
	_, err := uninterrupted(func() (int, error) { return 0, unix.Sendto(d.fd, data, 0, address) })
	return err
}
