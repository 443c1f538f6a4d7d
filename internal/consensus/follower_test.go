package consensus

import (
	"errors"
	"slices"
	"testing"
)

// TestFollowerAppliesOnlyNewerEntries checks which entries a follower applies, ignores and rejects, and which kinds two
// nodes are missing from each other.
func TestFollowerAppliesOnlyNewerEntries(t *testing.T) {
	follower := NewFollower(0, nil)
	older := Entry{Index: 4, Kind: 1, Data: []byte("one")}
	newer := Entry{Index: 9, Kind: 1, Data: []byte("two")}
	for _, step := range []struct {
		name    string
		logID   uint64
		entry   Entry
		applied bool
		want    error
	}{
		{"first entry", 7, newer, true, nil},
		{"older entry", 7, older, false, nil},
		{"same entry again", 7, newer, false, nil},
		{"other data at the same index", 7, Entry{Index: 9, Kind: 1, Data: []byte("false")}, false, ErrConflict},
		{"entry of another log", 8, Entry{Index: 12, Kind: 1}, false, ErrForeignLog},
		{"entry without an index", 7, Entry{Kind: 1}, false, ErrInvalidEntry},
	} {
		applied, err := follower.Apply(step.logID, step.entry)
		if applied != step.applied || !errors.Is(err, step.want) {
			t.Errorf("%s: Apply(%d, %+v): got %v, %v, want %v, %v",
				step.name, step.logID, step.entry, applied, err, step.applied, step.want)
		}
	}
	other := NewFollower(7, []Entry{older, {Index: 5, Kind: 2}})
	if kinds, err := other.MissingKinds(follower.Digest()); err != nil || !slices.Equal(kinds, []Kind{1}) {
		t.Errorf("MissingKinds on the node with older entries: got %v, %v, want kind 1", kinds, err)
	}
	if kinds, err := follower.MissingKinds(other.Digest()); err != nil || !slices.Equal(kinds, []Kind{2}) {
		t.Errorf("MissingKinds on the node without kind 2: got %v, %v, want kind 2", kinds, err)
	}
}

// TestFollowerMissingKindsErrors checks the errors for a digest that contradicts what the node knows.
func TestFollowerMissingKindsErrors(t *testing.T) {
	follower := NewFollower(7, []Entry{{Index: 4, Kind: 1, Data: []byte("one")}})
	other := NewFollower(7, []Entry{{Index: 4, Kind: 1, Data: []byte("two")}})
	if _, err := follower.MissingKinds(other.Digest()); !errors.Is(err, ErrConflict) {
		t.Errorf("MissingKinds for another content at index 4: got error %v, want %v", err, ErrConflict)
	}
	if _, err := follower.MissingKinds(NewFollower(8, nil).Digest()); !errors.Is(err, ErrForeignLog) {
		t.Errorf("MissingKinds for another log: got error %v, want %v", err, ErrForeignLog)
	}
	if kinds, err := follower.MissingKinds(NewFollower(0, nil).Digest()); err != nil || len(kinds) > 0 {
		t.Errorf("MissingKinds for a node that knows no log: got %v, %v, want no kinds and no error", kinds, err)
	}
}
