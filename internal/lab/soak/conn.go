package soak

import (
	"errors"
	"io"
	"net"
	"time"
)

// reset ends a connection with a TCP reset in place of a FIN, as happens when a process dies.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	closeQuietly(conn)
}

// closeQuietly closes a resource of the harness that is no longer needed. It ignores the error, because a failed close
// does not indicate a fault of a node.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// setReadDeadline sets the deadline of the next reads. It ignores the error: setting a deadline fails only on a closed
// connection, and the next read then fails.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }

// isTimeout reports whether an error is a timeout.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
