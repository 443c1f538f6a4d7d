package loop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// IsStreamSocket reports whether a descriptor is a stream socket.
func IsStreamSocket(fd int) bool {
	kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	return err == nil && kind == unix.SOCK_STREAM
}

// CloseAll closes descriptors that nobody serves.
func CloseAll(fds []int) {
	for _, fd := range fds {
		closeFD(fd)
	}
}

// closeFD closes a descriptor. It is closed whatever close returns, so there is nothing to do about an error.
func closeFD(fd int) { _ = unix.Close(fd) }

// setNonblock has calls on a descriptor return instead of waiting. It fails only for what is no descriptor, as the next
// call on it shows.
func setNonblock(fd int) { _ = unix.SetNonblock(fd, true) }

// setOption sets an option that a socket also works without.
func setOption(fd, level, option, value int) { _ = unix.SetsockoptInt(fd, level, option, value) }

// setOptions has small writes go out at once, and the kernel notice in minutes peers that vanished.
func setOptions(fd int) {
	setOption(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	setOption(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	setOption(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 60)
	setOption(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 20)
}

// toSockaddr returns an address as the kernel takes it, and its address family.
func toSockaddr(address netip.AddrPort) (sockaddr unix.Sockaddr, family int) {
	port := int(address.Port())
	if address.Addr().Is4() {
		return &unix.SockaddrInet4{Port: port, Addr: address.Addr().As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: port, Addr: address.Addr().As16()}, unix.AF_INET6
}

// toAddrPort returns an address that the kernel gave; the zero value for one that is not of the Internet.
func toAddrPort(sockaddr unix.Sockaddr) netip.AddrPort {
	switch inet := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(inet.Addr), uint16(inet.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(inet.Addr), uint16(inet.Port))
	}
	return netip.AddrPort{}
}
