package consensus

import (
	"errors"
	"fmt"
)

var (
	// ErrNotLeader says that this replica does not lead: the caller has to ask another one, or to wait for an election.
	// Operators' commands, also of older versions, know the error by the end of its text.
	ErrNotLeader = errors.New("this replica does not lead")
	// ErrInvalidProposal says that every log rejects a proposal of this form; proposing it again changes nothing.
	ErrInvalidProposal = errors.New("invalid proposal")
	// ErrInvalidEntry says that an entry is of a form that no log has.
	ErrInvalidEntry = errors.New("invalid entry")
	// ErrForeignLog says that something belongs to another log than the one that this node follows: to that of another
	// fleet, or to an earlier one of this fleet.
	ErrForeignLog = errors.New("entry of another log")
	// ErrConflict says that two contents were given for one index of a log, which consensus rules out.
	ErrConflict = errors.New("conflicting contents of one index")
	// ErrCorrupt says that a store's file no longer has what was persisted in it. See CorruptError.
	ErrCorrupt = errors.New("the store is corrupt")
	// ErrLocked says that another process has the store open.
	ErrLocked = errors.New("the store is in use by another process")
	// ErrStoreFull says that a store's file would become larger than a store may be.
	ErrStoreFull = errors.New("the store is full")

	errBadHeader     = errors.New("bad header")
	errTruncated     = errors.New("file truncated")
	errMissingRecord = errors.New("missing record")
	errBadChecksum   = errors.New("bad checksum")
)

// CorruptError is an ErrCorrupt with its place.
type CorruptError struct {
	Path   string // of the file, before it was set aside
	Offset int64  // of the record that cannot be read, in bytes from the beginning of the file; 0: the header
	Err    error  // what is wrong there
}

// Error names the place and the fault.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: %s: byte %d: %v", ErrCorrupt, e.Path, e.Offset, e.Err)
}

// Unwrap makes the error an ErrCorrupt and gives the fault.
func (e *CorruptError) Unwrap() []error { return []error{ErrCorrupt, e.Err} }

// foreignLog is the error for something of a log that is not followed.
func foreignLog(got, followed uint64) error {
	return fmt.Errorf("%w: %016x, this node follows %016x", ErrForeignLog, got, followed)
}

// conflict is the error for a second content of an index. The digests are those of the two contents.
func conflict(index, got, known uint64) error {
	return fmt.Errorf("%w: index %d has digest %016x, here %016x", ErrConflict, index, got, known)
}
