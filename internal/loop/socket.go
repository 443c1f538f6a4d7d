package loop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// IsStreamSocket reports whether a descriptor is a stream socket.
func IsStreamSocket(fd int) bool {
	socketType, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	return err == nil && socketType == unix.SOCK_STREAM
}

// CloseDescriptors closes descriptors that the loop does not serve.
func CloseDescriptors(fds []int) {
	for _, fd := range fds {
		closeFD(fd)
	}
}

// closeFD closes a descriptor. It ignores an error, since the descriptor is closed even if close returns one.
func closeFD(fd int) { _ = unix.Close(fd) }

// setNonblock makes a descriptor non-blocking. It fails only for an invalid descriptor, with which the next call fails
// too.
func setNonblock(fd int) { _ = unix.SetNonblock(fd, true) }

// setOption sets an option of a socket. It ignores an error, since the socket also works without the option.
func setOption(fd, level, option, value int) { _ = unix.SetsockoptInt(fd, level, option, value) }

// setOptions makes the kernel send small writes immediately, and detect within minutes that a peer has vanished.
func setOptions(fd int) {
	setOption(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	setOption(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	setOption(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 60)
	setOption(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 20)
}

// toSockaddr converts an address to the form of system calls and returns its address family.
func toSockaddr(address netip.AddrPort) (sockaddr unix.Sockaddr, family int) {
	port := int(address.Port())
	if address.Addr().Is4() {
		return &unix.SockaddrInet4{Port: port, Addr: address.Addr().As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: port, Addr: address.Addr().As16()}, unix.AF_INET6
}

// toAddrPort converts an address from a system call. It returns the zero value unless the address is IPv4 or IPv6.
func toAddrPort(sockaddr unix.Sockaddr) netip.AddrPort {
	switch inet := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(inet.Addr), uint16(inet.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(inet.Addr), uint16(inet.Port))
	}
	return netip.AddrPort{}
}
