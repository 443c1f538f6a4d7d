package policy

import (
	"fmt"
	"slices"
	"unicode/utf8"
)

// reasonAccepted is the reason that the outcome of each committed change holds.
const reasonAccepted = "all live members said yes"

// Propose begins a change. id is the operator's name for the change, base is the number of the document that it
// replaces, text is the new document and document is the same text decoded. The error is an *InvalidProposalError,
// ErrChangeInProgress, ErrBaseMismatch or an *IncompatibleBaseError.
func (s *State) Propose(id string, base uint64, text []byte, document *Document, canary Canary) (*State, error) {
	if err := checkProposal(id, text); err != nil {
		return nil, err
	}
	if change := s.Change; change != nil {
		return nil, fmt.Errorf("%w: %s, number %d, %s", ErrChangeInProgress, change.ID, change.Number, change.Stage)
	}
	if base != s.Number {
		return nil, fmt.Errorf("%w: number %d, but the proposal replaces number %d", ErrBaseMismatch, s.Number, base)
	}
	if err := canary.check(); err != nil {
		return nil, err
	}
	for _, versioned := range s.Bases {
		if err := versioned.base().compatibleWith(document, versioned.Number); err != nil {
			return nil, err
		}
	}
	next := s.clone()
	next.LastNumber++
	next.Change = &Change{ID: id, Number: next.LastNumber, Base: base, Text: text, Canary: canary}
	return next, nil
}

// checkProposal checks the lengths of a proposal's id and text. The error is an *InvalidProposalError.
func checkProposal(id string, text []byte) error {
	if id == "" || len(id) > maxID {
		return &InvalidProposalError{Problem: fmt.Sprintf("an id must have 1 to %d bytes", maxID)}
	}
	if len(text) == 0 || len(text) > MaxTextBytes {
		return &InvalidProposalError{
			Problem: fmt.Sprintf("a policy of %d bytes: must have 1 to %d bytes", len(text), MaxTextBytes),
		}
	}
	return nil
}

// StartCanary moves the change in progress to the canary stage.
func (s *State) StartCanary() *State {
	change := *s.Change
	change.Stage = StageCanary
	next := s.clone()
	next.Change = &change
	return next
}

// Abort ends the change in progress. The document in force stays in force.
func (s *State) Abort(reason string) *State { return s.endChange(false, reason) }

// abortFor aborts the change for a reason that the leader found without an operator's request.
func (s *State) abortFor(reason abortReason) *State { return s.Abort(reason.String()) }

// Commit puts the change in progress into force. base is the base policy of its document. oldestKnown is the oldest
// number that a listed member may still have. Commit drops the base policies that were replaced up to that number,
// because no member can still use them.
func (s *State) Commit(base BasePolicy, oldestKnown uint64) *State {
	next := s.endChange(true, reasonAccepted)
	next.Number = s.Change.Number
	next.Documents = append(next.Documents, VersionedDocument{Number: next.Number, Text: s.Change.Text})
	next.Documents = cloneLast(next.Documents, maxDocuments)
	for len(next.Bases) > 1 && next.Bases[1].Number <= oldestKnown {
		next.Bases = next.Bases[1:]
	}
	if !next.latestBaseEquals(base) {
		next.Bases = append(next.Bases, VersionedBase{
			Number: next.Number, Attempts: base.Attempts, Deadline: base.Deadline.Microseconds(),
		})
	}
	next.Bases = slices.Clone(next.Bases)
	return next
}

// endChange removes the change in progress and records its outcome.
func (s *State) endChange(accepted bool, reason string) *State {
	next := s.clone()
	next.Ended = cloneLast(append(next.Ended, ChangeOutcome{
		ID: s.Change.ID, Number: s.Change.Number, Accepted: accepted, Reason: TruncateReason(reason, maxReason),
	}), maxOutcomes)
	next.Change = nil
	return next
}

// TruncateReason shortens a reason to at most limit bytes without splitting a UTF-8 character. Neither a log entry nor
// a message between nodes could be decoded if the text ended in a partial character.
func TruncateReason(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit]
}

// hasRoomForBase reports whether the state can hold base as its latest base policy. If it can't, some members have not
// sent a status for a long time and may still use the older base policies.
func (s *State) hasRoomForBase(base BasePolicy) bool {
	return len(s.Bases) < maxBases || s.latestBaseEquals(base)
}

// latestBaseEquals reports whether the latest base policy allows the same as base.
func (s *State) latestBaseEquals(base BasePolicy) bool {
	count := len(s.Bases)
	return count > 0 && s.Bases[count-1].equals(base)
}

// cloneLast returns a copy of at most the last limit elements of a list.
func cloneLast[T any](list []T, limit int) []T {
	return slices.Clone(list[max(0, len(list)-limit):])
}
