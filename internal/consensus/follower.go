package consensus

import (
	"cmp"
	"fmt"
	"slices"
)

// KindDigest identifies the newest entry of a kind without its data.
type KindDigest struct {
	_           struct{} `cbor:",toarray"`
	Kind        Kind
	Index       uint64 // the entry's index in the log
	EntryDigest uint64 // result of Entry.Digest
}

// Digest summarizes what a node knows of a log. Nodes exchange digests to find entries that one of them is missing.
type Digest struct {
	_     struct{} `cbor:",toarray"`
	LogID uint64   // identity of the log; 0 means that the node knows no log yet
	Kinds []KindDigest
}

// Follower stores the newest entry of each kind that one node knows. An entry is never replaced by one with a lower
// index. The Follower rejects a second, different content of an index regardless of its sender. The node's agent owns
// the Follower.
type Follower struct {
	logID  uint64
	newest map[Kind]Entry
}

// NewFollower creates a Follower from the identity of the log, 0 if it is unknown, and the persisted entries.
func NewFollower(logID uint64, persisted []Entry) *Follower {
	follower := &Follower{logID: logID, newest: map[Kind]Entry{}}
	for _, entry := range persisted {
		follower.newest[entry.Kind] = entry
	}
	return follower
}

// Newest returns the newest entry of a kind. Its index is 0 if there is none.
func (f *Follower) Newest(kind Kind) Entry { return f.newest[kind] }

// LogID returns the identity of the log, or 0 if it is not known yet.
func (f *Follower) LogID() uint64 { return f.logID }

// Entries returns the newest entry of each kind, sorted by kind.
func (f *Follower) Entries() (entries []Entry) {
	for _, entry := range f.newest {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Kind, b.Kind) })
	return entries
}

// Digest summarizes what this node knows of the log.
func (f *Follower) Digest() Digest {
	digest := Digest{LogID: f.logID}
	for _, entry := range f.Entries() {
		digest.Kinds = append(digest.Kinds, KindDigest{
			Kind: entry.Kind, Index: entry.Index, EntryDigest: entry.Digest(),
		})
	}
	return digest
}

// MissingKinds returns the kinds of which another node has a newer entry. It returns an ErrForeignLog if the other node
// follows another log, and an ErrConflict if the two nodes have different contents at one index.
func (f *Follower) MissingKinds(other Digest) (kinds []Kind, err error) {
	if other.LogID == 0 {
		return nil, nil
	}
	if f.logID != 0 && other.LogID != f.logID {
		return nil, foreignLog(other.LogID, f.logID)
	}
	for _, theirs := range other.Kinds {
		own := f.newest[theirs.Kind]
		switch {
		case theirs.Index > own.Index:
			kinds = append(kinds, theirs.Kind)
		case theirs.Index == own.Index && theirs.EntryDigest != own.Digest():
			return nil, conflict(theirs.Index, theirs.EntryDigest, own.Digest())
		}
	}
	return kinds, nil
}

// Apply processes an entry that another node sent. applied reports whether the entry is newer than the known entry of
// its kind and replaced it. If Apply rejects the entry, it returns an ErrInvalidEntry, ErrForeignLog or ErrConflict.
func (f *Follower) Apply(logID uint64, entry Entry) (applied bool, err error) {
	own, known := f.newest[entry.Kind]
	if err := checkEntry(logID, entry); err != nil {
		return false, err
	}
	switch {
	case !known && len(f.newest) >= MaxKinds:
		return false, fmt.Errorf("%w: kind %d is new, a log has at most %d kinds",
			ErrInvalidEntry, entry.Kind, MaxKinds)
	case f.logID != 0 && f.logID != logID:
		return false, foreignLog(logID, f.logID)
	case entry.Index == own.Index && entry.Digest() != own.Digest():
		return false, conflict(entry.Index, entry.Digest(), own.Digest())
	case entry.Index <= own.Index:
		return false, nil
	}
	f.logID = logID
	f.newest[entry.Kind] = entry
	return true, nil
}

// checkEntry returns an ErrInvalidEntry if no log can contain the entry.
func checkEntry(logID uint64, entry Entry) error {
	switch {
	case logID == 0 || entry.Index == 0 || entry.Kind == 0:
		return fmt.Errorf("%w: log %016x, index %d, kind %d: none may be 0",
			ErrInvalidEntry, logID, entry.Index, entry.Kind)
	case len(entry.Data) > MaxData || len(entry.ID) > maxProposalID:
		return fmt.Errorf("%w: too long: %d bytes of data, id of %d bytes",
			ErrInvalidEntry, len(entry.Data), len(entry.ID))
	}
	return nil
}
