package hotrestart

import (
	"errors"
	"fmt"
)

var (
	// ErrAnswerTimeout means that a process listens at the path but did not send a grant before the deadline.
	ErrAnswerTimeout = errors.New("the running process did not answer before the deadline")
	// ErrInvalidGrant means that the answer of the running process is not a valid grant.
	ErrInvalidGrant = errors.New("invalid grant")
	// ErrInvalidBatch means that a received batch of connections is not valid.
	ErrInvalidBatch = errors.New("invalid batch")
	// ErrNoSuccessor means that no successor can accept a batch now, because there is no successor or because another
	// batch is in transfer.
	ErrNoSuccessor = errors.New("no successor can accept a batch now")
	// ErrBatchTooLarge means that the encoded batch is larger than a successor accepts.
	ErrBatchTooLarge = errors.New("the batch is too large")

	errHelloTimeout       = errors.New("received no hello before the timeout")
	errMessageTooLong     = errors.New("a message exceeds the maximum length")
	errTooManyDescriptors = errors.New("received more descriptors than a batch may have")
)

// VersionError means that the other process uses another version of the protocol.
type VersionError struct{ Got, Want int }

// Error returns the received version and the required version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("got protocol version %d, want %d", e.Got, e.Want)
}

// UnexpectedMessageError means that the other process sent a message whose kind or content is not valid in the current
// state of the link.
type UnexpectedMessageError struct{ Kind string }

// Error returns the kind of the received message.
func (e *UnexpectedMessageError) Error() string { return fmt.Sprintf("unexpected message %q", e.Kind) }
