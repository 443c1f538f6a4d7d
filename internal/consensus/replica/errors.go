package replica

import (
	"errors"
	"fmt"
)

var (
	// ErrInvalidReplica says that a number is not that of a replica.
	ErrInvalidReplica = errors.New("invalid replica")
	// ErrInconsistentRecords says that records that were persisted cannot be those of one log.
	ErrInconsistentRecords = errors.New("inconsistent records")
	// ErrInvalidMessage says that a message of another replica cannot be read or taken.
	ErrInvalidMessage = errors.New("invalid message of a replica")
)

// TwoLogsError says that two logs were begun in one fleet, which only an operator can repair.
type TwoLogsError struct {
	Own   uint64 // identity of this replica's log
	Other uint64
}

// Error is for the operator, with what to do.
func (e *TwoLogsError) Error() string {
	return fmt.Sprintf("a log began twice, %x and %x: remove this replica's files and start it again", e.Own, e.Other)
}

// PanicError says that the Raft library panicked on an inconsistent state.
type PanicError struct {
	Cause any // of the panic
}

// Error names the cause.
func (e *PanicError) Error() string { return fmt.Sprintf("raft: %v", e.Cause) }

// stopOnPanic has a panic of Raft stop this replica, not the process.
func (r *Replica) stopOnPanic() {
	if cause := recover(); cause != nil {
		r.err = &PanicError{Cause: cause}
	}
}
