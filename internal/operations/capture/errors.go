package capture

import (
	"errors"
	"fmt"
)

var (
	// ErrNotCapture means that a file does not begin with the magic line of a capture.
	ErrNotCapture = errors.New("not a capture: the file must be one that spurwinch wrote under [capture]")
	// ErrTruncatedMagic means that a file ends within the magic line.
	ErrTruncatedMagic = errors.New("truncated in its first line: the file contains no records")
	// ErrNoHeader means that a file has no readable header. Without a header, the times of its records are unknown.
	ErrNoHeader = errors.New(
		"truncated or damaged before the end of its header: the times of its records are unknown")

	errInvalidRequest   = errors.New("a request with an invalid class, tenant, load or time to its answer")
	errNegativeLifetime = errors.New("a connection with a negative lifetime")
)

// VersionError means that a file has a format version that this program can't read.
type VersionError struct {
	File    string
	Version int
}

// Error returns a message that names both versions and the program that can read the file.
func (e *VersionError) Error() string {
	return fmt.Sprintf(
		"%s: format version %d; this program reads up to %d: use the spurwinchctl of the node that wrote it",
		e.File, e.Version, Version)
}

// Fault is damage in a file whose other records can still be read.
type Fault struct {
	File    string
	Offset  int64 // of the block, in bytes
	Problem string
}

// String returns the description of the fault for operators.
func (f Fault) String() string { return fmt.Sprintf("%s: byte %d: %s", f.File, f.Offset, f.Problem) }
