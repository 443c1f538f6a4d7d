package loop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// Failed system calls are of two classes. Failures of the peer or of the network end the connection. Failures of this
// machine are transient, and the loop retries the call.

const (
	// maxInterrupts bounds the consecutive interrupts of a call, after which it is treated as a call that would block.
	maxInterrupts = 64
	// transientRetryPause is the pause before a call is retried that failed because of a shortage on this machine.
	transientRetryPause = 5 * time.Millisecond
)

var (
	// ErrTimeout is reported if a connection was not established by its deadline.
	ErrTimeout = errors.New("connection not established by the deadline")

	errTooMuchPending  = errors.New("too much pending data")
	errNotAllWritten   = errors.New("earlier data is still pending, or the connection is closed")
	errDescriptorsLost = errors.New("received descriptors were lost: this process has no free descriptors")
)

// LocalError is the error of a dial that failed because of a shortage on this machine (see isResourceShortage). It is
// no evidence against the server.
type LocalError struct{ cause error }

// Error describes the failed call.
func (e *LocalError) Error() string {
	return "not connected because of a resource shortage on this machine: " + e.cause.Error()
}

// Unwrap returns the error of the failed call.
func (e *LocalError) Unwrap() error { return e.cause }

// IsLocal reports whether an error is a LocalError.
func IsLocal(err error) bool {
	var local *LocalError
	return errors.As(err, &local)
}

// isOneOf reports whether an error is one of the given error numbers.
func isOneOf(err error, codes ...unix.Errno) bool {
	for _, code := range codes {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

// isResourceShortage reports whether a call failed because this machine is temporarily short of a resource such as
// descriptors, memory or ports.
func isResourceShortage(err error) bool {
	return isOneOf(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRNOTAVAIL,
		unix.EAGAIN)
}

// IsTransient reports whether a call may succeed if it is retried, because it failed with a resource shortage on this
// machine, an interrupt or a disk error.
func IsTransient(err error) bool {
	return isResourceShortage(err) || isOneOf(err, unix.EINTR, unix.EIO, unix.ESTALE)
}

// uninterrupted repeats a call that a signal interrupts, up to maxInterrupts times in all. If the last call was still
// interrupted, or the kernel had no memory for it, uninterrupted returns EAGAIN: like a call that would block, it had
// no effect.
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
	return uninterrupted(func() (int, error) { return l.kernel.Discard(fd, into) })
}
