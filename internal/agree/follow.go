package agree

import (
	"cmp"
	"fmt"
	"slices"
)

// KindDigest names an entry without its data.
type KindDigest struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Number uint64
	Sum    uint64
}

// Digest tells how far a log is known.
type Digest struct {
	_     struct{} `cbor:",toarray"`
	Log   uint64   // 0: nothing is known
	Kinds []KindDigest
}

// Follower holds the newest entries of a log as this node knows them. Numbers never go back, and a second content of one
// number is refused, whoever brings it.
type Follower struct {
	log    uint64
	newest map[Kind]Entry
}

// NewFollower goes on from what was kept; nothing: a follower that knows nothing yet.
func NewFollower(log uint64, kept []Entry) *Follower {
	f := &Follower{log: log, newest: map[Kind]Entry{}}
	for _, e := range kept {
		f.newest[e.Kind] = e
	}
	return f
}

// Newest is the newest entry of a kind; its number is 0 where there is none.
func (f *Follower) Newest(k Kind) Entry { return f.newest[k] }

// Log is the identity of the log; 0: not known yet.
func (f *Follower) Log() uint64 { return f.log }

// Entries is the newest entries, by kind.
func (f *Follower) Entries() (all []Entry) {
	for _, e := range f.newest {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Kind, b.Kind) })
	return all
}

// Digest is how far this node is.
func (f *Follower) Digest() Digest {
	d := Digest{Log: f.log}
	for _, e := range f.Entries() {
		d.Kinds = append(d.Kinds, KindDigest{Kind: e.Kind, Number: e.Number, Sum: e.Digest()})
	}
	return d
}

// Lacks names the kinds of which the other one has a newer entry. A log that is not this node's is an error: an old one, or
// one of another fleet.
func (f *Follower) Lacks(d Digest) (kinds []Kind, err error) {
	switch {
	case d.Log == 0:
		return nil, nil
	case f.log != 0 && d.Log != f.log:
		return nil, fmt.Errorf("another log: %016x, this node follows %016x", d.Log, f.log)
	}
	for _, k := range d.Kinds {
		own := f.newest[k.Kind]
		switch {
		case k.Number > own.Number:
			kinds = append(kinds, k.Kind)
		case k.Number == own.Number && k.Sum != own.Digest():
			return nil, fmt.Errorf("number %d has two contents, %016x and here %016x", k.Number, k.Sum, own.Digest())
		}
	}
	return kinds, nil
}

// Apply takes an entry in, where it is newer than what is known.
func (f *Follower) Apply(log uint64, e Entry) (taken bool, err error) {
	own, known := f.newest[e.Kind]
	switch {
	case log == 0 || e.Number == 0 || e.Kind == 0 || len(e.Data) > MostData || len(e.ID) > mostID || !known && len(f.newest) >= MostKinds:
		return false, fmt.Errorf("an entry that no log has")
	case f.log != 0 && f.log != log:
		return false, fmt.Errorf("another log: %016x, this node follows %016x", log, f.log)
	case e.Number == own.Number && e.Digest() != own.Digest():
		return false, fmt.Errorf("number %d has two contents, %016x and here %016x", e.Number, e.Digest(), own.Digest())
	case e.Number <= own.Number:
		return false, nil
	}
	f.log, f.newest[e.Kind] = log, e
	return true, nil
}
