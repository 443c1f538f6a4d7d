package soak

import (
	"errors"
	"io"
	"net"
	"time"
)

// reset ends a connection as a process that dies does: with a reset in place of a FIN.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails on a closed connection only
	}
	closeQuietly(conn)
}

// closeQuietly closes what is needed no longer. An error of that shows nothing about the nodes.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// setReadDeadline bounds the next reads. It fails on a closed connection only, whose next read fails then.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }

// isTimeout reports whether an error is one of a deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
