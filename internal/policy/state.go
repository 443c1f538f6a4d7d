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

// Stage is where a change is.
type Stage uint8

const (
	StageChecking Stage = iota // all live members are asked
	StageCanary                // a part serves by it
)

func (s Stage) String() string { return [...]string{"checking", "trial"}[min(s, 1)] }

// State is what the log has decided about the policy.
type State struct {
	_          struct{}            `cbor:",toarray"`
	Number     uint64              // in force; 0: none was decided yet, and each node goes by its own files
	LastNumber uint64              // the newest number that was given to a change: none is given twice
	Documents  []VersionedDocument // that were in force, oldest first; the last one is
	Change     *Change             // on its way; nil: none
	Ended      []ChangeOutcome     // oldest first
	Bases      []VersionedBase     // that a listed member may still serve by
}

// VersionedDocument is a document that was in force.
type VersionedDocument struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   `json:"Number"`
	Text   []byte   `json:"Text"`
}

// VersionedBase is the ground policy of all documents from a number on, until the next one of another.
type VersionedBase struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64   `json:"Number"`
	Attempts int      `json:"Attempts"`
	Deadline int64    `json:"Patience"` // microseconds
}

// Change is a change on its way.
type Change struct {
	_      struct{} `cbor:",toarray"`
	ID     string   // the operator's: proposing it again changes nothing
	Number uint64   // that it will have
	Base   uint64   // that it replaces
	Text   []byte
	Stage  Stage
	Canary Canary
}

// Canary is who serves by a change first; the zero value: nobody, all at once.
type Canary struct {
	_                  struct{} `cbor:",toarray"`
	Zone               string   `json:"Zone"`
	OneIn              int      `json:"OneIn"`   // nodes of the list, by their numbers
	Seconds            float64  `json:"Seconds"` // how long
	MaxExtraRejections float64  `json:"Worse"`   // part of the requests that may be turned away there beyond what is elsewhere
}

// ChangeOutcome is how a change ended.
type ChangeOutcome struct {
	_        struct{} `cbor:",toarray"`
	ID       string   `json:"ID"`
	Number   uint64   `json:"Number"`
	Accepted bool     `json:"Taken"` // it was in force; else it was given up
	Reason   string   `json:"Why"`
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
	bad := s.Number > s.LastNumber || len(s.Documents) > mostKept || len(s.Ended) > mostEnded || len(s.Bases) > mostGrounds ||
		s.Number > 0 && (len(s.Documents) == 0 || s.Documents[len(s.Documents)-1].Number != s.Number)
	for _, d := range s.Documents {
		bad = bad || len(d.Text) > MostText
	}
	if c := s.Change; c != nil {
		bad = bad || len(c.Text) > MostText || c.Number != s.LastNumber || c.Base != s.Number || c.ID == "" || len(c.ID) > mostID || c.Stage > StageCanary
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
	i := slices.IndexFunc(s.Documents, func(d VersionedDocument) bool { return d.Number == number })
	if i < 0 {
		return nil, false
	}
	return s.Documents[i].Text, true
}

// Find tells how a change ended, or that it is on its way.
func (s *State) Find(id string) (e ChangeOutcome, ended, known bool) {
	for _, e := range s.Ended {
		if e.ID == id {
			return e, true, true
		}
	}
	if c := s.Change; c != nil && c.ID == id {
		return ChangeOutcome{ID: id, Number: c.Number, Reason: c.Stage.String()}, false, true
	}
	return ChangeOutcome{}, false, false
}

// ErrChangeInProgress says that another change is on its way.
var ErrChangeInProgress = errors.New("another change is on its way")

// ErrBaseMismatch says that another number is in force than the one that a change is to replace.
var ErrBaseMismatch = errors.New("another policy is in force")

// Propose begins a change. doc is what text says; base the number that it replaces.
func (s *State) Propose(id string, base uint64, text []byte, doc *Document, part Canary) (*State, error) {
	switch {
	case id == "" || len(id) > mostID:
		return nil, fmt.Errorf("an id has 1 to %d bytes", mostID)
	case len(text) == 0 || len(text) > MostText:
		return nil, fmt.Errorf("a policy of %d bytes: 1 to %d are possible", len(text), MostText)
	case s.Change != nil:
		return nil, fmt.Errorf("%w: %s, number %d, %s", ErrChangeInProgress, s.Change.ID, s.Change.Number, s.Change.Stage)
	case base != s.Number:
		return nil, fmt.Errorf("%w: number %d, and this one is to replace %d", ErrBaseMismatch, s.Number, base)
	}
	if err := part.check(); err != nil {
		return nil, err
	}
	for _, g := range s.Bases {
		if why := (BasePolicy{g.Attempts, time.Duration(g.Deadline) * time.Microsecond}).Safe(doc); why != "" {
			return nil, fmt.Errorf("%s (of number %d)", why, g.Number)
		}
	}
	n := s.clone()
	n.LastNumber++
	n.Change = &Change{ID: id, Number: n.LastNumber, Base: base, Text: text, Canary: part}
	return n, nil
}

func (p Canary) check() error {
	if p == (Canary{}) {
		return nil
	}
	switch {
	case (p.Zone == "") == (p.OneIn == 0) || p.OneIn < 0 || p.OneIn == 1 || p.OneIn > 1000:
		return errors.New("a part is a zone, or one node in 2 to 1000")
	case !(p.Seconds >= 1 && p.Seconds <= 3600):
		return fmt.Errorf("a trial of %v s: 1 to 3600 are possible", p.Seconds)
	case !(p.MaxExtraRejections >= 0 && p.MaxExtraRejections <= 1):
		return fmt.Errorf("worse by %v: a part from 0 to 1 is wanted", p.MaxExtraRejections)
	}
	return nil
}

// Includes says whether a node is of the part.
func (p Canary) Includes(node int, zone string) bool {
	return p.Zone != "" && zone == p.Zone || p.OneIn > 0 && node%p.OneIn == 0
}

// ParseCanary reads "zone:NAME" or "1/N".
func ParseCanary(text string) (Canary, error) {
	if zone, ok := strings.CutPrefix(text, "zone:"); ok && zone != "" {
		return Canary{Zone: zone}, nil
	}
	if n, ok := strings.CutPrefix(text, "1/"); ok {
		if v, err := strconv.Atoi(n); err == nil && v > 1 {
			return Canary{OneIn: v}, nil
		}
	}
	return Canary{}, fmt.Errorf("a part %q: zone:NAME or 1/N is wanted", text)
}

func (s *State) clone() *State {
	n := *s
	n.Documents, n.Ended, n.Bases = slices.Clone(s.Documents), slices.Clone(s.Ended), slices.Clone(s.Bases)
	return &n
}

func (s *State) end(taken bool, why string) *State {
	n := s.clone()
	if len(why) > mostWhy {
		why = why[:mostWhy]
	}
	n.Ended = append(n.Ended, ChangeOutcome{ID: s.Change.ID, Number: s.Change.Number, Accepted: taken, Reason: why})
	n.Ended = slices.Clone(n.Ended[max(0, len(n.Ended)-mostEnded):])
	n.Change = nil
	return n
}

// Abort ends the change on its way nowhere.
func (s *State) Abort(why string) *State { return s.end(false, why) }

// StartCanary has the part serve by the change.
func (s *State) StartCanary() *State {
	n, c := s.clone(), *s.Change
	c.Stage = StageCanary
	n.Change = &c
	return n
}

// Commit has the change in force. least is the oldest number that a listed member may still have: grounds before it are out of use.
func (s *State) Commit(g BasePolicy, least uint64) *State {
	n := s.end(true, "all live members said yes")
	n.Number = s.Change.Number
	n.Documents = append(n.Documents, VersionedDocument{Number: n.Number, Text: s.Change.Text})
	n.Documents = slices.Clone(n.Documents[max(0, len(n.Documents)-mostKept):])
	for len(n.Bases) > 1 && n.Bases[1].Number <= least {
		n.Bases = n.Bases[1:]
	}
	now := VersionedBase{Number: n.Number, Attempts: g.Attempts, Deadline: int64(g.Deadline / time.Microsecond)}
	if last := len(n.Bases) - 1; last < 0 || n.Bases[last].Attempts != now.Attempts || n.Bases[last].Deadline != now.Deadline {
		n.Bases = append(n.Bases, now)
	}
	n.Bases = slices.Clone(n.Bases)
	return n
}

// BasesFull says that no further ground can be taken in: nodes that may still serve by old ones were not heard since.
func (s *State) BasesFull(g BasePolicy) bool {
	last := len(s.Bases) - 1
	return len(s.Bases) >= mostGrounds && (s.Bases[last].Attempts != g.Attempts || s.Bases[last].Deadline != int64(g.Deadline/time.Microsecond))
}
