package consensus

import (
	"cmp"
	"fmt"
	"slices"
)

// KindDigest names an entry without its data.
type KindDigest struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	Index uint64 // the entry's index in the log
	Sum   uint64 // Entry.Digest
}

// Digest is how far a node knows a log. Nodes exchange it to find what one of them is missing.
type Digest struct {
	_     struct{} `cbor:",toarray"`
	LogID uint64   // identity of the log; 0: nothing is known
	Kinds []KindDigest
}

// Follower has the newest entries of a log as one node knows them. Indexes never go back, and a second content of one
// index is rejected, whoever sends it. The node's agent owns it.
type Follower struct {
	log    uint64
	newest map[Kind]Entry
}

// NewFollower starts with the identity of the log, 0 if it is not known, and the entries that were persisted.
func NewFollower(log uint64, persisted []Entry) *Follower {
	follower := &Follower{log: log, newest: map[Kind]Entry{}}
	for _, entry := range persisted {
		follower.newest[entry.Kind] = entry
	}
	return follower
}

// Newest is the newest entry of a kind; its index is 0 where there is none.
func (f *Follower) Newest(kind Kind) Entry { return f.newest[kind] }

// LogID is the identity of the log; 0: not known yet.
func (f *Follower) LogID() uint64 { return f.log }

// Entries are the newest entries, by kind.
func (f *Follower) Entries() (entries []Entry) {
	for _, entry := range f.newest {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Kind, b.Kind) })
	return entries
}

// Digest is how far this node knows the log.
func (f *Follower) Digest() Digest {
	digest := Digest{LogID: f.log}
	for _, entry := range f.Entries() {
		digest.Kinds = append(digest.Kinds, KindDigest{Kind: entry.Kind, Index: entry.Index, Sum: entry.Digest()})
	}
	return digest
}

// MissingKinds names the kinds of which another node has a newer entry. It returns an ErrForeignLog or an ErrConflict
// where the two nodes cannot both be right.
func (f *Follower) MissingKinds(other Digest) (kinds []Kind, err error) {
	if other.LogID == 0 {
		return nil, nil
	}
	if f.log != 0 && other.LogID != f.log {
		return nil, foreignLog(other.LogID, f.log)
	}
	for _, theirs := range other.Kinds {
		own := f.newest[theirs.Kind]
		switch {
		case theirs.Index > own.Index:
			kinds = append(kinds, theirs.Kind)
		case theirs.Index == own.Index && theirs.Sum != own.Digest():
			return nil, conflict(theirs.Index, theirs.Sum, own.Digest())
		}
	}
	return kinds, nil
}

// Apply takes an entry that another node sent; applied says that it is newer than what was known. It returns an
// ErrInvalidEntry, ErrForeignLog or ErrConflict for what it rejects.
func (f *Follower) Apply(log uint64, entry Entry) (applied bool, err error) {
	own, known := f.newest[entry.Kind]
	if err := checkEntry(log, entry); err != nil {
		return false, err
	}
	switch {
	case !known && len(f.newest) >= MaxKinds:
		return false, fmt.Errorf("%w: kind %d is one more than the %d of a log", ErrInvalidEntry, entry.Kind, MaxKinds)
	case f.log != 0 && f.log != log:
		return false, foreignLog(log, f.log)
	case entry.Index == own.Index && entry.Digest() != own.Digest():
		return false, conflict(entry.Index, entry.Digest(), own.Digest())
	case entry.Index <= own.Index:
		return false, nil
	}
	f.log = log
	f.newest[entry.Kind] = entry
	return true, nil
}

// checkEntry returns an ErrInvalidEntry for what no log has.
func checkEntry(log uint64, entry Entry) error {
	switch {
	case log == 0 || entry.Index == 0 || entry.Kind == 0:
		return fmt.Errorf("%w: log %016x, index %d, kind %d", ErrInvalidEntry, log, entry.Index, entry.Kind)
	case len(entry.Data) > MaxData || len(entry.ID) > maxProposalID:
		return fmt.Errorf("%w: %d bytes of data, id of %d bytes", ErrInvalidEntry, len(entry.Data), len(entry.ID))
	}
	return nil
}
