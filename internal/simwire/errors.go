package simwire

import (
	"errors"
	"fmt"
)

var (
	// ErrMalformedBatch says that a line is no JSON object of a batch.
	ErrMalformedBatch = errors.New("malformed batch")
	// ErrNoSequence says that a batch has no number.
	ErrNoSequence = errors.New("batch without seq")
	// ErrNoTime says that a batch has no time.
	ErrNoTime = errors.New("no tsS")
	// ErrNoNode says that an event does not name its instance.
	ErrNoNode = errors.New("no nodeId")
	// ErrUnknownOp says that an event is of no kind that there is.
	ErrUnknownOp = errors.New("unknown op")
	// ErrNoSetup says that there is no setup object.
	ErrNoSetup = errors.New("setup is missing")
)

// UnknownNodeError says that an event is for an instance that was not started, or was stopped.
type UnknownNodeError struct{ NodeID string }

// Error names the instance.
func (e *UnknownNodeError) Error() string { return fmt.Sprintf("unknown instance %q", e.NodeID) }

// KeyError says that keys of an event are missing or have values that can't be.
type KeyError struct{ Problem string }

// Error is the problem, which names the keys.
func (e *KeyError) Error() string { return e.Problem }

func keyErrorf(format string, args ...any) error {
	return &KeyError{Problem: fmt.Sprintf(format, args...)}
}

// missing is the error of a key that an event must have.
func missing(key string) error { return keyErrorf("%s is missing or unknown", key) }

// SetupError says that a setup object lacks a key or has a value that no node can serve by.
type SetupError struct{ Problem string }

// Error is the problem, which names the key and says what is wanted.
func (e *SetupError) Error() string { return "setup: " + e.Problem }

func setupErrorf(format string, args ...any) error {
	return &SetupError{Problem: fmt.Sprintf(format, args...)}
}
