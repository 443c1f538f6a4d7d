package faults

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// closeQuietly closes what is needed no longer. An error of that shows nothing about the nodes.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// reset ends a connection as a process that dies does: with a reset in place of a FIN.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails on a closed connection only
	}
	closeQuietly(conn)
}

// endWrites passes on that the other side has ended its direction of a connection.
func endWrites(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // it fails where this side has ended as well
	}
}

// setReadDeadline bounds the next reads. It fails on a closed connection only, whose next read fails then.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }

// isTimeout reports whether an error is one of a deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isOutOfDescriptors reports whether the harness itself has no descriptor left: what fails then is not the nodes'
// doing.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
