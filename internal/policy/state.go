package policy

import (
	"fmt"
	"slices"
	"time"

	"spurwinch/internal/consensus"
)

// Kind is the replicated log's kind of entries that carry a State.
const Kind consensus.Kind = 3

// Bounds of a state, so that it fits into a message and a record of the log.
const (
	maxOutcomes  = 64  // changes whose outcome is remembered
	maxDocuments = 4   // documents that a rollback can name, the one in force among them
	maxBases     = 16  // base policies that members may still serve by
	maxReason    = 200 // bytes
	maxID        = 48  // bytes
)

// Stage is the stage that a change is in.
type Stage uint8

const (
	// StageChecking has all live members acknowledge the change.
	StageChecking Stage = iota
	// StageCanary has the canary serve by the change.
	StageCanary
)

// String is the stage as logs and answers to operators have it.
func (s Stage) String() string {
	if s == StageChecking {
		return "checking"
	}
	return "trial"
}

// State is what the replicated log has decided about the policy. Its methods that change something return a new state,
// which the leader proposes to the log.
type State struct {
	_          struct{}            `cbor:",toarray"`
	Number     uint64              // in force; 0: none was decided yet, and each node serves by its own files
	LastNumber uint64              // newest number that was given to a change: none is given twice
	Documents  []VersionedDocument // that were in force, oldest first; the last one is
	Change     *Change             // in progress; nil: none
	Ended      []ChangeOutcome     // oldest first
	Bases      []VersionedBase     // that a listed member may still serve by, oldest first
}

// VersionedDocument is the text of a document that was in force.
type VersionedDocument struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   `json:"Number"`
	Text   []byte   `json:"Text"`
}

// VersionedBase is the base policy of all documents from a number on, up to the number of the next one.
type VersionedBase struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64   `json:"Number"`
	Attempts int      `json:"Attempts"`
	Deadline int64    `json:"Patience"` // microseconds
}

// Change is a change in progress.
type Change struct {
	_      struct{} `cbor:",toarray"`
	ID     string   // the operator's: proposing it again changes nothing
	Number uint64   // that it will have
	Base   uint64   // number of the document that it replaces
	Text   []byte
	Stage  Stage
	Canary Canary
}

// ChangeOutcome is how a change ended.
type ChangeOutcome struct {
	_        struct{} `cbor:",toarray"`
	ID       string   `json:"ID"`
	Number   uint64   `json:"Number"`
	Accepted bool     `json:"Taken"` // it was in force; else it was aborted
	Reason   string   `json:"Why"`
}

// Encode is a state's form on the log.
func (s *State) Encode() []byte { return consensus.Encode(s) }

// Decode reads a state and checks that it is consistent; if not, the error is ErrInconsistentState. Without bytes it is
// the state before any change.
func Decode(encoded []byte) (*State, error) {
	state := &State{}
	if len(encoded) == 0 {
		return state, nil
	}
	if err := consensus.Unmarshal(encoded, state); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	if !state.isConsistent() {
		return nil, ErrInconsistentState
	}
	return state, nil
}

func (s *State) isConsistent() bool {
	if s.Number > s.LastNumber || len(s.Ended) > maxOutcomes || len(s.Bases) > maxBases {
		return false
	}
	return s.documentsConsistent() && (s.Change == nil || s.Change.isConsistentWith(s))
}

func (s *State) documentsConsistent() bool {
	count := len(s.Documents)
	if count > maxDocuments {
		return false
	}
	if s.Number > 0 && (count == 0 || s.Documents[count-1].Number != s.Number) {
		return false
	}
	return !slices.ContainsFunc(s.Documents, func(d VersionedDocument) bool { return len(d.Text) > MaxTextBytes })
}

func (c *Change) isConsistentWith(s *State) bool {
	return len(c.Text) <= MaxTextBytes && c.Number == s.LastNumber && c.Base == s.Number &&
		c.ID != "" && len(c.ID) <= maxID && c.Stage <= StageCanary
}

// Text is the document of a number that is in force, in progress, or was in force not long ago. ok says whether the
// state still has it.
func (s *State) Text(number uint64) (text []byte, ok bool) {
	if s.Change != nil && s.Change.Number == number {
		return s.Change.Text, true
	}
	for _, document := range s.Documents {
		if document.Number == number {
			return document.Text, true
		}
	}
	return nil, false
}

// Find returns the outcome of a change by its id. known says whether the state still knows the id, ended whether the
// change has ended; while it has not, the outcome's reason is its stage.
func (s *State) Find(id string) (outcome ChangeOutcome, ended, known bool) {
	for _, outcome := range s.Ended {
		if outcome.ID == id {
			return outcome, true, true
		}
	}
	if s.Change != nil && s.Change.ID == id {
		return ChangeOutcome{ID: id, Number: s.Change.Number, Reason: s.Change.Stage.String()}, false, true
	}
	return ChangeOutcome{}, false, false
}

func (s *State) clone() *State {
	copied := *s
	copied.Documents = slices.Clone(s.Documents)
	copied.Ended = slices.Clone(s.Ended)
	copied.Bases = slices.Clone(s.Bases)
	return &copied
}

func (v VersionedBase) base() BasePolicy {
	return BasePolicy{Attempts: v.Attempts, Deadline: time.Duration(v.Deadline) * time.Microsecond}
}

// is says whether two base policies allow the same, to the microsecond that the encoded form has.
func (v VersionedBase) is(base BasePolicy) bool {
	return v.Attempts == base.Attempts && v.Deadline == base.Deadline.Microseconds()
}
