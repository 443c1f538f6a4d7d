package loop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// How failures of system calls are told apart: those of the other side or of the way to it end a connection; those of
// this machine are transient, and what they hindered is done again.

const (
	maxInterrupts       = 64                   // of one call in a row; then the next poll brings it again
	transientRetryPause = 5 * time.Millisecond // until a call that failed for want of something here is made again
)

var (
	// ErrTimeout says that a connection was not made in time.
	ErrTimeout = errors.New("not connected in time")

	errTooMuchPending  = errors.New("too much waits to be written")
	errNotAllWritten   = errors.New("earlier bytes wait to be written, or the connection is closed")
	errDescriptorsLost = errors.New("descriptors were lost on the way: no room for them here")
)

// LocalError is a connection that was not made for want of something on this machine: it says nothing of the other
// side.
type LocalError struct{ cause error }

// Error says what was wanting.
func (e *LocalError) Error() string {
	return "not connected for want of something here: " + e.cause.Error()
}

// Unwrap is the cause.
func (e *LocalError) Unwrap() error { return e.cause }

// IsLocal reports whether a connection failed for want of something on this machine.
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

// isScarce says that this machine lacks something for a moment: descriptors, memory, ports.
func isScarce(err error) bool {
	return isOneOf(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRNOTAVAIL,
		unix.EAGAIN)
}

// IsTransient says that a call failed in a way that passes: for want of something on this machine, or since its disk
// did not answer.
func IsTransient(err error) bool {
	return isScarce(err) || isOneOf(err, unix.EINTR, unix.EIO, unix.ESTALE)
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
