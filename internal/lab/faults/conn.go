package faults

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// closeQuietly closes a resource that is no longer needed. It ignores the error, which says nothing about the nodes.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// reset closes a connection with a TCP reset in place of a FIN, as the kernel does when a process dies.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	closeQuietly(conn)
}

// endWrites closes the writing direction of a connection, to forward that the other side has closed its direction.
func endWrites(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails if this side has closed the connection too
	}
}

// setReadDeadline sets the deadline of the next reads. It ignores the error, since it fails only on a closed
// connection, where the next read fails too.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }

// isTimeout reports whether an error means that a deadline has passed.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isOutOfDescriptors reports whether an error means that the harness has no descriptors left. The nodes don't cause
// such an error.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
