package consensus

import (
	"errors"
	"slices"
	"testing"
)

// TestFollower holds which entries a follower applies, whoever sends them, and what it misses of another node's.
func TestFollower(t *testing.T) {
	follower := NewFollower(0, nil)
	older := Entry{Index: 4, Kind: 1, Data: []byte("one")}
	newer := Entry{Index: 9, Kind: 1, Data: []byte("two")}
	for _, step := range []struct {
		name    string
		log     uint64
		entry   Entry
		applied bool
		want    error
	}{
		{"the first", 7, newer, true, nil},
		{"late", 7, older, false, nil},
		{"again", 7, newer, false, nil},
		{"other contents", 7, Entry{Index: 9, Kind: 1, Data: []byte("false")}, false, ErrConflict},
		{"of another log", 8, Entry{Index: 12, Kind: 1}, false, ErrForeignLog},
		{"without an index", 7, Entry{Kind: 1}, false, ErrInvalidEntry},
	} {
		applied, err := follower.Apply(step.log, step.entry)
		if applied != step.applied || !errors.Is(err, step.want) {
			t.Errorf("%s: Apply(%d, %+v) = %v, %v, wanted %v, %v",
				step.name, step.log, step.entry, applied, err, step.applied, step.want)
		}
	}
	other := NewFollower(7, []Entry{older, {Index: 5, Kind: 2}})
	if kinds, err := other.MissingKinds(follower.Digest()); err != nil || !slices.Equal(kinds, []Kind{1}) {
		t.Errorf("the other node lacks kinds %v, %v, wanted kind 1", kinds, err)
	}
	if kinds, err := follower.MissingKinds(other.Digest()); err != nil || !slices.Equal(kinds, []Kind{2}) {
		t.Errorf("the node lacks kinds %v, %v, wanted kind 2", kinds, err)
	}
}

// TestFollowerMissingKindsErrors holds the errors for a digest that cannot be right together with what the node knows.
func TestFollowerMissingKindsErrors(t *testing.T) {
	follower := NewFollower(7, []Entry{{Index: 4, Kind: 1, Data: []byte("one")}})
	other := NewFollower(7, []Entry{{Index: 4, Kind: 1, Data: []byte("two")}})
	if _, err := follower.MissingKinds(other.Digest()); !errors.Is(err, ErrConflict) {
		t.Errorf("a second content of index 4 gives %v, wanted %v", err, ErrConflict)
	}
	if _, err := follower.MissingKinds(NewFollower(8, nil).Digest()); !errors.Is(err, ErrForeignLog) {
		t.Errorf("another log gives %v, wanted %v", err, ErrForeignLog)
	}
	if kinds, err := follower.MissingKinds(NewFollower(0, nil).Digest()); err != nil || len(kinds) > 0 {
		t.Errorf("of a node that knows nothing kinds %v are lacking, %v, wanted none", kinds, err)
	}
}
