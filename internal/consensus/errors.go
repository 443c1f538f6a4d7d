package consensus

import (
	"errors"
	"fmt"
)

var (
	// ErrNotLeader means that this replica is not the leader. The caller must ask another replica or wait for an
	// election. Operators' commands, including those of older versions, recognize the error by the end of its text.
	ErrNotLeader = errors.New("this replica does not lead")
	// ErrInvalidProposal means that the proposal is malformed. Every log rejects it, so a retry does not help.
	ErrInvalidProposal = errors.New("invalid proposal")
	// ErrInvalidEntry means that an entry is malformed: no log can contain it.
	ErrInvalidEntry = errors.New("invalid entry")
	// ErrForeignLog means that an entry or digest does not belong to the log that this node follows, but to the log of
	// another fleet or to an earlier log of this fleet.
	ErrForeignLog = errors.New("entry of another log")
	// ErrConflict means that one index of a log has two different contents, which consensus rules out.
	ErrConflict = errors.New("conflicting contents at one index")
	// ErrCorrupt means that the file of a store no longer contains everything that was persisted in it. See
	// CorruptError.
	ErrCorrupt = errors.New("the store is corrupt")
	// ErrLocked means that another process currently has the store open.
	ErrLocked = errors.New("the store is in use by another process")
	// ErrStoreFull means that the file of a store would exceed its maximum size.
	ErrStoreFull = errors.New("the store is full")

	errBadHeader     = errors.New("bad header")
	errTruncated     = errors.New("file truncated")
	errMissingRecord = errors.New("missing record")
	errBadChecksum   = errors.New("bad checksum")
)

// CorruptError is an ErrCorrupt that names the file, the offset and the cause.
type CorruptError struct {
	Path   string // path of the corrupt file before it was renamed
	Offset int64  // offset of the unreadable record in the file, in bytes; 0 means the header
	Err    error  // cause
}

// Error returns a text with the file, the offset and the cause.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %v", ErrCorrupt, e.Path, e.Offset, e.Err)
}

// Unwrap returns ErrCorrupt and the cause.
func (e *CorruptError) Unwrap() []error { return []error{ErrCorrupt, e.Err} }

// foreignLog returns an ErrForeignLog for an entry or a digest of a log other than the followed one.
func foreignLog(got, followed uint64) error {
	return fmt.Errorf("%w: got log %016x, this node follows %016x", ErrForeignLog, got, followed)
}

// conflict returns an ErrConflict for an index that has two contents. gotDigest and ownDigest are their digests.
func conflict(index, gotDigest, ownDigest uint64) error {
	return fmt.Errorf("%w: index %d: got digest %016x, this node has %016x", ErrConflict, index, gotDigest, ownDigest)
}
