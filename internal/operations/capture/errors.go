package capture

import (
	"errors"
	"fmt"
)

var (
	// ErrNotCapture says that a file does not begin as captures do.
	ErrNotCapture = errors.New("not a capture: a file that spurwinch wrote under [capture] is wanted")
	// ErrTruncatedMagic says that a file ends within the line that captures begin with.
	ErrTruncatedMagic = errors.New("cut off in its first line: it holds nothing")
	// ErrNoHeader says that a file has no header that can be read, without which its records have no time.
	ErrNoHeader = errors.New(
		"cut off or damaged before the end of its header: it holds nothing that can be placed in time")

	errInvalidRequest   = errors.New("a request of a class, tenant or load that can't be")
	errNegativeLifetime = errors.New("a life below none")
)

// VersionError says that a file has a format that this program can't read.
type VersionError struct {
	File    string
	Version int
}

// Error names both versions, and the program that can read the file.
func (e *VersionError) Error() string {
	return fmt.Sprintf(
		"%s: format version %d; this program reads up to %d: use the spurwinchctl of the node that wrote it",
		e.File, e.Version, Version)
}

// Fault is damage of a file that did not keep the rest from being read.
type Fault struct {
	File    string
	Offset  int64 // of the block, bytes
	Problem string
}

// String is the fault as operators read it.
func (f Fault) String() string { return fmt.Sprintf("%s: byte %d: %s", f.File, f.Offset, f.Problem) }
