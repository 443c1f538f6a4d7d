package replica

import (
	"errors"
	"fmt"
)

var (
	// ErrInvalidReplica means that the number of replicas or the number of this replica is out of range.
	ErrInvalidReplica = errors.New("invalid replica")
	// ErrInconsistentRecords means that the persisted records cannot be decoded or do not form one valid log.
	ErrInconsistentRecords = errors.New("inconsistent records")
	// ErrInvalidMessage means that a message from another replica cannot be decoded or that Raft rejects it.
	ErrInvalidMessage = errors.New("invalid message from a replica")
)

// TwoLogsError means that two logs were created in one fleet. Only an operator can repair this.
type TwoLogsError struct {
	Own   uint64 // identity of this replica's log
	Other uint64 // identity of the other replica's log
}

// Error returns a text that tells the operator how to repair the fleet.
func (e *TwoLogsError) Error() string {
	return fmt.Sprintf("two logs were created, %x (this replica) and %x: remove this replica's files and restart it",
		e.Own, e.Other)
}

// PanicError means that the Raft library panicked because of an inconsistent state.
type PanicError struct {
	Cause any // value of the panic
}

// Error returns a text with the cause.
func (e *PanicError) Error() string { return fmt.Sprintf("raft panicked: %v", e.Cause) }

// stopOnPanic recovers from a panic of Raft and stops this replica instead of the process. The caller must defer it.
func (r *Replica) stopOnPanic() {
	if cause := recover(); cause != nil {
		r.err = &PanicError{Cause: cause}
	}
}
