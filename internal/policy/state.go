package policy

import (
	"fmt"
	"slices"
	"time"

	"spurwinch/internal/consensus"
)

// Kind marks the entries of the replicated log that carry a State.
const Kind consensus.Kind = 3

// Limits that keep a state small enough for a message and for a record of the log.
const (
	maxOutcomes  = 64  // outcomes of earlier changes
	maxDocuments = 4   // documents that a rollback can name, including the one in force
	maxBases     = 16  // base policies that members may still use
	maxReason    = 200 // bytes
	maxID        = 48  // bytes
)

// Stage is the stage of a change in progress.
type Stage uint8

const (
	// StageChecking lasts until all live members have acknowledged the change.
	StageChecking Stage = iota
	// StageCanary lasts while only the canary applies the change.
	StageCanary
)

// String returns the name of the stage in logs and in answers to operators.
func (s Stage) String() string {
	if s == StageChecking {
		return "checking"
	}
	return "trial"
}

// State holds the decisions about the policy that the replicated log has committed. Methods that change something do
// not modify it. They return a new state, which the leader proposes to the log.
type State struct {
	_          struct{}            `cbor:",toarray"`
	Number     uint64              // in force; 0: no document was ever in force, and each node uses its own files
	LastNumber uint64              // newest number that was assigned to a change; a number is never assigned twice
	Documents  []VersionedDocument // oldest first; the last one is in force, the others were before
	Change     *Change             // change in progress; nil: none
	Ended      []ChangeOutcome     // outcomes of earlier changes, oldest first
	Bases      []VersionedBase     // base policies that a listed member may still use, oldest first
}

// VersionedDocument is the text of a document that is or was in force.
type VersionedDocument struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   `json:"Number"`
	Text   []byte   `json:"Text"`
}

// VersionedBase is the base policy of all documents from Number up to the Number of the next VersionedBase.
type VersionedBase struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64   `json:"Number"`
	Attempts int      `json:"Attempts"`
	Deadline int64    `json:"Patience"` // microseconds
}

// Change is a change in progress.
type Change struct {
	_      struct{} `cbor:",toarray"`
	ID     string   // chosen by the operator; proposing the same ID again has no effect
	Number uint64   // number that its document will have
	Base   uint64   // number of the document that it replaces
	Text   []byte
	Stage  Stage
	Canary Canary
}

// ChangeOutcome records how a change ended.
type ChangeOutcome struct {
	_        struct{} `cbor:",toarray"`
	ID       string   `json:"ID"`
	Number   uint64   `json:"Number"`
	Accepted bool     `json:"Taken"` // true: it was committed; false: it was aborted
	Reason   string   `json:"Why"`
}

// Encode returns the encoded form of a state for the log.
func (s *State) Encode() []byte { return consensus.Encode(s) }

// Decode decodes a state and checks that it is consistent. If it is not, the error is ErrInconsistentState. Empty input
// decodes to the state before any change.
func Decode(encoded []byte) (*State, error) {
	state := &State{}
	if len(encoded) == 0 {
		return state, nil
	}
	if err := consensus.Decode(encoded, state); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	if !state.isConsistent() {
		return nil, ErrInconsistentState
	}
	return state, nil
}

// isConsistent reports whether the state's fields agree with each other and are within their limits.
func (s *State) isConsistent() bool {
	if s.Number > s.LastNumber || len(s.Ended) > maxOutcomes || len(s.Bases) > maxBases {
		return false
	}
	return s.documentsConsistent() && (s.Change == nil || s.Change.isConsistentWith(s))
}

// documentsConsistent reports whether the documents are within their limits and the last one is the one in force.
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

// isConsistentWith reports whether the change is valid and replaces the document that state s has in force.
func (c *Change) isConsistentWith(s *State) bool {
	return len(c.Text) <= MaxTextBytes && c.Number == s.LastNumber && c.Base == s.Number &&
		c.ID != "" && len(c.ID) <= maxID && c.Stage <= StageCanary
}

// Text returns the document with a number that is in force, in progress, or was recently in force. ok reports whether
// the state still holds that document.
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

// Find returns the outcome of the change with an id. known reports whether the state still holds a change with this id.
// ended reports whether the change has ended. While the change is in progress, the outcome's reason is the name of the
// change's stage.
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

// clone returns a copy of the state whose lists can be changed without changing s.
func (s *State) clone() *State {
	copied := *s
	copied.Documents = slices.Clone(s.Documents)
	copied.Ended = slices.Clone(s.Ended)
	copied.Bases = slices.Clone(s.Bases)
	return &copied
}

// base returns the decoded base policy.
func (v VersionedBase) base() BasePolicy {
	return BasePolicy{Attempts: v.Attempts, Deadline: time.Duration(v.Deadline) * time.Microsecond}
}

// equals reports whether v has the same attempts and deadline as base. It compares deadlines in microseconds, the
// precision of the encoded form.
func (v VersionedBase) equals(base BasePolicy) bool {
	return v.Attempts == base.Attempts && v.Deadline == base.Deadline.Microseconds()
}
