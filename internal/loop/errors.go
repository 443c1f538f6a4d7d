package loop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// How failures of system calls are told apart: those of the other side or of the way to it end a connection; those of this machine pass,
// and what they hindered is done again.

const (
	maxInterrupts       = 64                   // of one call in a row; then the next poll brings it again
	transientRetryPause = 5 * time.Millisecond // until a call that failed for want of something here is made again
)

// LocalError is a connection that was not made for want of something on this machine: it says nothing of the other side.
type LocalError struct{ cause error }

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
	return isOneOf(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRNOTAVAIL, unix.EAGAIN)
}

// IsTransient says that a call failed in a way that passes: for want of something on this machine, or since its disk did not answer.
func IsTransient(err error) bool {
	return isScarce(err) || isOneOf(err, unix.EINTR, unix.EIO, unix.ESTALE)
}

// uninterrupted makes a call until no signal interrupts it. One that the kernel has no memory for has done nothing, as one that would block.
func uninterrupted(call func() (int, error)) (n int, err error) {
	for range maxInterrupts {
		if n, err = call(); err != unix.EINTR {
			break
		}
	}
	if isOneOf(err, unix.EINTR, unix.ENOBUFS, unix.ENOMEM) {
		err = unix.EAGAIN
	}
	return max(n, 0), err
}

func (l *Loop) read(fd int, p []byte) (int, error) {
	return uninterrupted(func() (int, error) { return l.kernel.Read(fd, p) })
}

func (l *Loop) write(fd int, p []byte) (int, error) {
	return uninterrupted(func() (int, error) { return l.kernel.Write(fd, p) })
}

func (l *Loop) discard(fd int, p []byte) (int, error) {
	return uninterrupted(func() (int, error) { return l.kernel.Drop(fd, p) })
}
