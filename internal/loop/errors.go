package loop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// Classes of failed system calls: failures of the peer or of the network end a connection; failures of this machine are
// transient, and the call is retried.

const (
	maxInterrupts       = 64                   // of one call in a row; after that it counts as one that would block
	transientRetryPause = 5 * time.Millisecond // before a call is retried that failed for a shortage on this machine
)

var (
	// ErrTimeout says that a connection was not made in time.
	ErrTimeout = errors.New("not connected in time")

	errTooMuchPending  = errors.New("too much waits to be written")
	errNotAllWritten   = errors.New("earlier bytes wait to be written, or the connection is closed")
	errDescriptorsLost = errors.New("descriptors were lost on the way: no room for them here")
)

// LocalError is the error of a dial that failed for a shortage on this machine (see isResourceShortage): it is no
// evidence against the server.
type LocalError struct{ cause error }

// Error names the failed call.
func (e *LocalError) Error() string {
	return "not connected for want of something here: " + e.cause.Error()
}

// Unwrap is the cause.
func (e *LocalError) Unwrap() error { return e.cause }

// IsLocal reports whether an error is a LocalError.
func IsLocal(err error) bool {
	var local *LocalError
	return errors.As(err, &local)
}

func isOneOf(err error, codes ...unix.Errno) bool {
	for _, code := range codes {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

// isResourceShortage reports whether a call failed because this machine is short of something for a moment:
// descriptors, memory, ports.
func isResourceShortage(err error) bool {
	return isOneOf(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRNOTAVAIL,
		unix.EAGAIN)
}

// IsTransient reports whether a call may succeed if it is retried: it failed for a shortage on this machine, an
// interruption, or an error of its disk.
func IsTransient(err error) bool {
	return isResourceShortage(err) || isOneOf(err, unix.EINTR, unix.EIO, unix.ESTALE)
}

// uninterrupted makes a call until no signal interrupts it. One that the kernel has no memory for has done nothing,
// as one that would block.
func uninterrupted(call func() (int, error)) (count int, err error) {
	for range maxInterrupts {
		count, err = call()
		if !errors.Is(err, unix.EINTR) {
			break
		}
	}
	if isOneOf(err, unix.EINTR, unix.ENOBUFS, unix.ENOMEM) {
		err = unix.EAGAIN
	}
	return max(count, 0), err
}

func (l *Loop) read(fd int, into []byte) (int, error) {
	return uninterrupted(func() (int, error) { return l.kernel.Read(fd, into) })
}

func (l *Loop) write(fd int, data []byte) (int, error) {
	return uninterrupted(func() (int, error) { return l.kernel.Write(fd, data) })
}

func (l *Loop) discard(fd int, into []byte) (int, error) {
	return uninterrupted(func() (int, error) { return l.kernel.Drop(fd, into) })
}
