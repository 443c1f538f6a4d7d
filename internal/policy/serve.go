package policy

import "time"

// Rules are the fleet's, the same at all nodes: they stand in the list of nodes.
type Rules struct {
	Window time.Duration // after a decision the policy before it is in use so long at most
	Answer time.Duration // members have so long to answer a check
}

// drift is the part by which the clocks of two machines may run apart.
const drift = 0.01

// Lease is how long a node may serve from a time on at which the one that leads was surely there, and told this.
func (r Rules) Lease(told Told) time.Duration {
	w := min(r.Window, time.Duration(told.Window)*time.Millisecond)
	return time.Duration(float64(w) * (1 - 2*drift))
}

// Told is what the one that leads told with its word: the newest entry, the number in force and the one on trial by it.
type Told struct {
	_     struct{} `cbor:",toarray"`
	Entry uint64
	Force uint64
	Trial uint64
	// Window is the one that the leading node goes by, in milliseconds: where lists differ, the shorter one counts.
	Window uint32
}

// Tells is a state's form for it.
func Tells(entry uint64, s *State) Told {
	t := Told{Entry: entry, Force: s.Number}
	if s.Change != nil && s.Change.Step == Trying {
		t.Trial = s.Change.Number
	}
	return t
}

// Standing is the number that a node may serve under, as far as it has the document.
type Standing struct {
	Number uint64
	Text   []byte // none for number 0: the node's own files
	Known  bool   // else the document of that number is not here yet: nothing is served
}

// Stand tells under which number a node may serve: the newest that it knows to be decided, or the one on trial where it is of the part. entry
// is that of s, which is on its disk; told may be newer or older than it.
func Stand(node int, zone string, entry uint64, s *State, told Told) Standing {
	force, trial := max(s.Number, told.Force), Tells(entry, s).Trial
	if told.Entry > entry { // what is decided meanwhile beats what stands here
		trial = told.Trial
	}
	if c := s.Change; trial > force && c != nil && c.Number == trial && c.Part.Has(node, zone) {
		return Standing{Number: trial, Text: c.Text, Known: true}
	}
	if force == 0 {
		return Standing{Known: true}
	}
	text, ok := s.Text(force)
	return Standing{Number: force, Text: text, Known: ok}
}
