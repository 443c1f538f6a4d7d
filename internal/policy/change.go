package policy

import (
	"fmt"
	"slices"
	"unicode/utf8"
)

// reasonAccepted is the reason in the outcome of each change that was committed.
const reasonAccepted = "all live members said yes"

// Propose begins a change. id is the operator's name for it, base the number that it replaces, text the document and
// document the same decoded. The error is an *InvalidProposalError, ErrChangeInProgress, ErrBaseMismatch or an
// *IncompatibleBaseError.
func (s *State) Propose(id string, base uint64, text []byte, document *Document, canary Canary) (*State, error) {
	if err := checkProposal(id, text); err != nil {
		return nil, err
	}
	if change := s.Change; change != nil {
		return nil, fmt.Errorf("%w: %s, number %d, %s", ErrChangeInProgress, change.ID, change.Number, change.Stage)
	}
	if base != s.Number {
		return nil, fmt.Errorf("%w: number %d, and this one is to replace %d", ErrBaseMismatch, s.Number, base)
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

func checkProposal(id string, text []byte) error {
	if id == "" || len(id) > maxID {
		return &InvalidProposalError{Problem: fmt.Sprintf("an id has 1 to %d bytes", maxID)}
	}
	if len(text) == 0 || len(text) > MaxTextBytes {
		return &InvalidProposalError{
			Problem: fmt.Sprintf("a policy of %d bytes: 1 to %d are possible", len(text), MaxTextBytes),
		}
	}
	return nil
}

// StartCanary has the canary serve by the change in progress.
func (s *State) StartCanary() *State {
	change := *s.Change
	change.Stage = StageCanary
	next := s.clone()
	next.Change = &change
	return next
}

// Abort ends the change in progress; what was in force before it stays.
func (s *State) Abort(reason string) *State { return s.endChange(false, reason) }

// abortFor is Abort where the leader decides it by itself.
func (s *State) abortFor(reason abortReason) *State { return s.Abort(reason.String()) }

// Commit puts the change in progress into force. base is the base policy of its document. oldestKnown is the oldest
// number that a listed member may still have: base policies that were replaced before it are out of use.
func (s *State) Commit(base BasePolicy, oldestKnown uint64) *State {
	next := s.endChange(true, reasonAccepted)
	next.Number = s.Change.Number
	next.Documents = append(next.Documents, VersionedDocument{Number: next.Number, Text: s.Change.Text})
	next.Documents = newest(next.Documents, maxDocuments)
	for len(next.Bases) > 1 && next.Bases[1].Number <= oldestKnown {
		next.Bases = next.Bases[1:]
	}
	if !next.endsWithBase(base) {
		next.Bases = append(next.Bases, VersionedBase{
			Number: next.Number, Attempts: base.Attempts, Deadline: base.Deadline.Microseconds(),
		})
	}
	next.Bases = slices.Clone(next.Bases)
	return next
}

// endChange removes the change in progress and remembers its outcome.
func (s *State) endChange(accepted bool, reason string) *State {
	next := s.clone()
	next.Ended = newest(append(next.Ended, ChangeOutcome{
		ID: s.Change.ID, Number: s.Change.Number, Accepted: accepted, Reason: TruncateReason(reason, maxReason),
	}), maxOutcomes)
	next.Change = nil
	return next
}

// TruncateReason is the beginning of a reason, limit bytes at most, without half a character at its end: neither the
// form on the log nor a message between nodes could be decoded with one.
func TruncateReason(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit]
}

// acceptsBase reports whether one more base policy can be remembered. If not, there are members that may still serve by
// the older ones and have sent no status since.
func (s *State) acceptsBase(base BasePolicy) bool {
	return len(s.Bases) < maxBases || s.endsWithBase(base)
}

// endsWithBase says whether the newest base policy allows the same as another.
func (s *State) endsWithBase(base BasePolicy) bool {
	count := len(s.Bases)
	return count > 0 && s.Bases[count-1].is(base)
}

// newest is a copy of the last elements of a list, limit at most.
func newest[T any](list []T, limit int) []T {
	return slices.Clone(list[max(0, len(list)-limit):])
}
