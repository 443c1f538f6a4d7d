package hotrestart

import (
	"errors"
	"fmt"
)

var (
	// ErrAnswerTimeout says that a process listens at the path but sends no grant in time.
	ErrAnswerTimeout = errors.New("the running process gives no answer in time")
	// ErrInvalidGrant says that the answer of the running process cannot be used.
	ErrInvalidGrant = errors.New("invalid grant")
	// ErrInvalidBatch says that a batch of connections cannot be read.
	ErrInvalidBatch = errors.New("invalid batch")
	// ErrNoSuccessor says that no process accepts a batch now: there is no successor, or a batch is in transfer
	// already.
	ErrNoSuccessor = errors.New("no process takes a batch now")
	// ErrBatchTooLarge says that the encoded batch is larger than a successor reads.
	ErrBatchTooLarge = errors.New("the batch is too large")

	errHelloTimeout       = errors.New("no hello came in time")
	errMessageTooLong     = errors.New("a message is too long")
	errTooManyDescriptors = errors.New("more descriptors came than a batch has")
)

// VersionError says that the other process speaks another version of the messages.
type VersionError struct{ Got, Want int }

// Error names both versions.
func (e *VersionError) Error() string { return fmt.Sprintf("version %d, want %d", e.Got, e.Want) }

// UnexpectedMessageError says that a message was received that is not valid in the state of the link.
type UnexpectedMessageError struct{ Kind string }

// Error names the kind as it came.
func (e *UnexpectedMessageError) Error() string { return fmt.Sprintf("unexpected message %q", e.Kind) }
