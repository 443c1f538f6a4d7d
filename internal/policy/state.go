package policy

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"spurwinch/internal/agree"
)

// Kind is the agreed log's kind of entries that carry a State.
const Kind agree.Kind = 3

const (
	mostEnded   = 64 // changes whose end is remembered
	mostKept    = 4  // documents that a rollback can name, the one in force among them
	mostGrounds = 16
	mostWhy     = 200
	mostID      = 48
)

// Step is where a change is.
type Step uint8

const (
	Checking Step = iota // all live members are asked
	Trying               // a part serves by it
)

func (s Step) String() string { return [...]string{"checking", "trial"}[min(s, 1)] }

// State is what the log has decided about the policy.
type State struct {
	_       struct{}   `cbor:",toarray"`
	Number  uint64     // in force; 0: none was decided yet, and each node goes by its own files
	Last    uint64     // the newest number that was given to a change: none is given twice
	Docs    []Numbered // that were in force, oldest first; the last one is
	Change  *Change    // on its way; nil: none
	Ended   []End      // oldest first
	Grounds []GroundOf // that a listed member may still serve by
}

// Numbered is a document that was in force.
type Numbered struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   `json:"Number"`
	Text   []byte   `json:"Text"`
}

// GroundOf is the ground policy of all documents from a number on, until the next one of another.
type GroundOf struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64   `json:"Number"`
	Attempts int      `json:"Attempts"`
	Patience int64    `json:"Patience"` // microseconds
}

// Change is a change on its way.
type Change struct {
	_      struct{} `cbor:",toarray"`
	ID     string   // the operator's: proposing it again changes nothing
	Number uint64   // that it will have
	Base   uint64   // that it replaces
	Text   []byte
	Step   Step
	Part   Part
}

// Part is who serves by a change first; the zero value: nobody, all at once.
type Part struct {
	_       struct{} `cbor:",toarray"`
	Zone    string   `json:"Zone"`
	OneIn   int      `json:"OneIn"`   // nodes of the list, by their numbers
	Seconds float64  `json:"Seconds"` // how long
	Worse   float64  `json:"Worse"`   // part of the requests that may be turned away there beyond what is elsewhere
}

// End is how a change ended.
type End struct {
	_      struct{} `cbor:",toarray"`
	ID     string   `json:"ID"`
	Number uint64   `json:"Number"`
	Taken  bool     `json:"Taken"` // it was in force; else it was given up
	Why    string   `json:"Why"`
}

// Encode is a state's form on the log.
func (s *State) Encode() []byte { return agree.Encode(s) }

// Decode reads a state and checks that its parts fit together. No bytes: the state before any change.
func Decode(b []byte) (*State, error) {
	s := &State{}
	if len(b) == 0 {
		return s, nil
	}
	if err := agree.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	bad := s.Number > s.Last || len(s.Docs) > mostKept || len(s.Ended) > mostEnded || len(s.Grounds) > mostGrounds ||
		s.Number > 0 && (len(s.Docs) == 0 || s.Docs[len(s.Docs)-1].Number != s.Number)
	for _, d := range s.Docs {
		bad = bad || len(d.Text) > MostText
	}
	if c := s.Change; c != nil {
		bad = bad || len(c.Text) > MostText || c.Number != s.Last || c.Base != s.Number || c.ID == "" || len(c.ID) > mostID || c.Step > Trying
	}
	if bad {
		return nil, errors.New("policy: its parts don't fit together")
	}
	return s, nil
}

// Text is the document of a number that is in force, on its way, or was in force not long ago.
func (s *State) Text(number uint64) ([]byte, bool) {
	if c := s.Change; c != nil && c.Number == number {
		return c.Text, true
	}
	i := slices.IndexFunc(s.Docs, func(d Numbered) bool { return d.Number == number })
	if i < 0 {
		return nil, false
	}
	return s.Docs[i].Text, true
}

// Find tells how a change ended, or that it is on its way.
func (s *State) Find(id string) (e End, ended, known bool) {
	for _, e := range s.Ended {
		if e.ID == id {
			return e, true, true
		}
	}
	if c := s.Change; c != nil && c.ID == id {
		return End{ID: id, Number: c.Number, Why: c.Step.String()}, false, true
	}
	return End{}, false, false
}

// ErrBusy says that another change is on its way.
var ErrBusy = errors.New("another change is on its way")

// ErrBase says that another number is in force than the one that a change is to replace.
var ErrBase = errors.New("another policy is in force")

// Propose begins a change. doc is what text says; base the number that it replaces.
func (s *State) Propose(id string, base uint64, text []byte, doc *Document, part Part) (*State, error) {
	switch {
	case id == "" || len(id) > mostID:
		return nil, fmt.Errorf("an id has 1 to %d bytes", mostID)
	case len(text) == 0 || len(text) > MostText:
		return nil, fmt.Errorf("a policy of %d bytes: 1 to %d are possible", len(text), MostText)
	case s.Change != nil:
		return nil, fmt.Errorf("%w: %s, number %d, %s", ErrBusy, s.Change.ID, s.Change.Number, s.Change.Step)
	case base != s.Number:
		return nil, fmt.Errorf("%w: number %d, and this one is to replace %d", ErrBase, s.Number, base)
	}
	if err := part.check(); err != nil {
		return nil, err
	}
	for _, g := range s.Grounds {
		if why := (Ground{g.Attempts, time.Duration(g.Patience) * time.Microsecond}).Safe(doc); why != "" {
			return nil, fmt.Errorf("%s (of number %d)", why, g.Number)
		}
	}
	n := s.clone()
	n.Last++
	n.Change = &Change{ID: id, Number: n.Last, Base: base, Text: text, Part: part}
	return n, nil
}

func (p Part) check() error {
	if p == (Part{}) {
		return nil
	}
	switch {
	case (p.Zone == "") == (p.OneIn == 0) || p.OneIn < 0 || p.OneIn == 1 || p.OneIn > 1000:
		return errors.New("a part is a zone, or one node in 2 to 1000")
	case !(p.Seconds >= 1 && p.Seconds <= 3600):
		return fmt.Errorf("a trial of %v s: 1 to 3600 are possible", p.Seconds)
	case !(p.Worse >= 0 && p.Worse <= 1):
		return fmt.Errorf("worse by %v: a part from 0 to 1 is wanted", p.Worse)
	}
	return nil
}

// Has says whether a node is of the part.
func (p Part) Has(node int, zone string) bool {
	return p.Zone != "" && zone == p.Zone || p.OneIn > 0 && node%p.OneIn == 0
}

// ReadPart reads "zone:NAME" or "1/N".
func ReadPart(text string) (Part, error) {
	if zone, ok := strings.CutPrefix(text, "zone:"); ok && zone != "" {
		return Part{Zone: zone}, nil
	}
	if n, ok := strings.CutPrefix(text, "1/"); ok {
		if v, err := strconv.Atoi(n); err == nil && v > 1 {
			return Part{OneIn: v}, nil
		}
	}
	return Part{}, fmt.Errorf("a part %q: zone:NAME or 1/N is wanted", text)
}

func (s *State) clone() *State {
	n := *s
	n.Docs, n.Ended, n.Grounds = slices.Clone(s.Docs), slices.Clone(s.Ended), slices.Clone(s.Grounds)
	return &n
}

func (s *State) end(taken bool, why string) *State {
	n := s.clone()
	if len(why) > mostWhy {
		why = why[:mostWhy]
	}
	n.Ended = append(n.Ended, End{ID: s.Change.ID, Number: s.Change.Number, Taken: taken, Why: why})
	n.Ended = slices.Clone(n.Ended[max(0, len(n.Ended)-mostEnded):])
	n.Change = nil
	return n
}

// GiveUp ends the change on its way nowhere.
func (s *State) GiveUp(why string) *State { return s.end(false, why) }

// Try has the part serve by the change.
func (s *State) Try() *State {
	n, c := s.clone(), *s.Change
	c.Step = Trying
	n.Change = &c
	return n
}

// Decide has the change in force. least is the oldest number that a listed member may still have: grounds before it are out of use.
func (s *State) Decide(g Ground, least uint64) *State {
	n := s.end(true, "all live members said yes")
	n.Number = s.Change.Number
	n.Docs = append(n.Docs, Numbered{Number: n.Number, Text: s.Change.Text})
	n.Docs = slices.Clone(n.Docs[max(0, len(n.Docs)-mostKept):])
	for len(n.Grounds) > 1 && n.Grounds[1].Number <= least {
		n.Grounds = n.Grounds[1:]
	}
	now := GroundOf{Number: n.Number, Attempts: g.Attempts, Patience: int64(g.Patience / time.Microsecond)}
	if last := len(n.Grounds) - 1; last < 0 || n.Grounds[last].Attempts != now.Attempts || n.Grounds[last].Patience != now.Patience {
		n.Grounds = append(n.Grounds, now)
	}
	n.Grounds = slices.Clone(n.Grounds)
	return n
}

// Full says that no further ground can be taken in: nodes that may still serve by old ones were not heard since.
func (s *State) Full(g Ground) bool {
	last := len(s.Grounds) - 1
	return len(s.Grounds) >= mostGrounds && (s.Grounds[last].Attempts != g.Attempts || s.Grounds[last].Patience != int64(g.Patience/time.Microsecond))
}
