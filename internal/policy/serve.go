package policy

import "time"

// Rules are the fleet's, the same at all nodes: they stand in the list of nodes.
type Rules struct {
	Window        time.Duration // after a decision the policy before it is in use so long at most
	AnswerTimeout time.Duration // members have so long to answer a check
}

// drift is the part by which the clocks of two machines may run apart.
const drift = 0.01

// Lease is how long a node may serve from a time on at which the one that leads was surely there, and told this.
func (r Rules) Lease(told LeaderNotice) time.Duration {
	w := min(r.Window, time.Duration(told.Window)*time.Millisecond)
	return time.Duration(float64(w) * (1 - 2*drift))
}

// LeaderNotice is what the one that leads told with its word: the newest entry, the number in force and the one on trial by it.
type LeaderNotice struct {
	_       struct{} `cbor:",toarray"`
	Entry   uint64
	InForce uint64
	OnTrial uint64
	// Window is the one that the leading node goes by, in milliseconds: where lists differ, the shorter one counts.
	Window uint32
}

// NoticeOf is a state's form for it.
func NoticeOf(entry uint64, s *State) LeaderNotice {
	t := LeaderNotice{Entry: entry, InForce: s.Number}
	if s.Change != nil && s.Change.Stage == StageCanary {
		t.OnTrial = s.Change.Number
	}
	return t
}

// Active is the number that a node may serve under, as far as it has the document.
type Active struct {
	Number uint64
	Text   []byte // none for number 0: the node's own files
	Known  bool   // else the document of that number is not here yet: nothing is served
}

// ActiveFor tells under which number a node may serve: the newest that it knows to be decided, or the one on trial where it is of the part. entry
// is that of s, which is on its disk; told may be newer or older than it.
func ActiveFor(node int, zone string, entry uint64, s *State, told LeaderNotice) Active {
	force, trial := max(s.Number, told.InForce), NoticeOf(entry, s).OnTrial
	if told.Entry > entry { // what is decided meanwhile beats what stands here
		trial = told.OnTrial
	}
	if c := s.Change; trial > force && c != nil && c.Number == trial && c.Canary.Includes(node, zone) {
		return Active{Number: trial, Text: c.Text, Known: true}
	}
	if force == 0 {
		return Active{Known: true}
	}
	text, ok := s.Text(force)
	return Active{Number: force, Text: text, Known: ok}
}
