package agree

import "testing"

// TestProposals holds the rules of proposals, as cases.
func TestProposals(t *testing.T) {
	s := State{Log: 1, Newest: map[Kind]Entry{}}
	for _, c := range []struct {
		number uint64
		p      Proposal
		taken  bool
		news   bool
	}{
		{2, Proposal{ID: "a", Kind: 1, Data: []byte("one")}, true, true},
		{3, Proposal{ID: "a", Kind: 1, Replaces: 2, Data: []byte("again")}, false, false},
		{4, Proposal{ID: "b", Kind: 1, Data: []byte("of an old view")}, false, true},
		{5, Proposal{ID: "c", Kind: 2, Data: []byte("another kind")}, true, true},
		{6, Proposal{ID: "d", Kind: 1, Replaces: 2, Data: []byte("two")}, true, true},
		{7, Proposal{ID: "", Kind: 1, Replaces: 6}, false, false},
	} {
		d, news := s.Apply(c.number, Encode(c.p))
		if news != c.news || d.Accepted != c.taken {
			t.Errorf("%+v: %+v, news %v", c.p, d, news)
		}
	}
	if e := s.Newest[1]; e.Number != 6 || string(e.Data) != "two" {
		t.Errorf("newest is %+v", e)
	}
}

// TestFollower holds what a follower takes from whoever brings it.
func TestFollower(t *testing.T) {
	f := NewFollower(0, nil)
	one, two := Entry{Number: 4, Kind: 1, Data: []byte("one")}, Entry{Number: 9, Kind: 1, Data: []byte("two")}
	for _, c := range []struct {
		log    uint64
		e      Entry
		taken  bool
		failed bool
	}{
		{7, two, true, false},
		{7, one, false, false}, // late
		{7, two, false, false}, // again
		{7, Entry{Number: 9, Kind: 1, Data: []byte("false")}, false, true},
		{8, Entry{Number: 12, Kind: 1}, false, true}, // of another log
		{7, Entry{Kind: 1}, false, true},
	} {
		taken, err := f.Apply(c.log, c.e)
		if taken != c.taken || (err != nil) != c.failed {
			t.Errorf("%d %+v: %v, %v", c.log, c.e, taken, err)
		}
	}
	other := NewFollower(7, []Entry{one, {Number: 5, Kind: 2}})
	if k, err := other.Lacks(f.Digest()); err != nil || len(k) != 1 || k[0] != 1 {
		t.Errorf("lacks %v, %v", k, err)
	}
	if k, err := f.Lacks(other.Digest()); err != nil || len(k) != 1 || k[0] != 2 {
		t.Errorf("lacks %v, %v", k, err)
	}
}
