package simwire

import (
	"errors"
	"fmt"
)

var (
	// ErrMalformedBatch means that a line is not the JSON object of a batch.
	ErrMalformedBatch = errors.New("malformed batch")
	// ErrNoSequence means that a batch has no sequence number.
	ErrNoSequence = errors.New("batch without seq")
	// ErrNoTime means that a batch has no time.
	ErrNoTime = errors.New("no tsS")
	// ErrNoNode means that an event does not name its instance.
	ErrNoNode = errors.New("no nodeId")
	// ErrUnknownOp means that the kind of an event is unknown.
	ErrUnknownOp = errors.New("unknown op")
	// ErrNoSetup means that the setup object is missing.
	ErrNoSetup = errors.New("setup is missing")
)

// UnknownNodeError means that an event is for an instance that was never started or has been stopped.
type UnknownNodeError struct{ NodeID string }

// Error returns a message that names the instance.
func (e *UnknownNodeError) Error() string { return fmt.Sprintf("unknown instance %q", e.NodeID) }

// KeyError means that keys of an event are missing or have invalid values.
type KeyError struct{ Problem string }

// Error returns the problem, which names the keys.
func (e *KeyError) Error() string { return e.Problem }

func keyErrorf(format string, args ...any) error {
	return &KeyError{Problem: fmt.Sprintf(format, args...)}
}

// missingKeyError returns the error for a required key of an event that is missing or has an unknown value.
func missingKeyError(key string) error { return keyErrorf("%s is missing or unknown", key) }

// SetupError means that a setup object lacks a key or has a value with which a node can't serve.
type SetupError struct {
	Key     string // path of the key, for example "profiles[1].giveUpS"
	Problem string // names the key and, for an invalid value, what is allowed
}

// Error returns the problem.
func (e *SetupError) Error() string { return "setup: " + e.Problem }

// setupErrorf returns a *SetupError for the key at a path.
func setupErrorf(key, format string, args ...any) error {
	return &SetupError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// setupError converts an error of a key table to a *SetupError.
func setupError(err error) error {
	var invalid *KeyPathError
	if !errors.As(err, &invalid) {
		return err
	}
	return &SetupError{Key: invalid.Key, Problem: invalid.Error()}
}
