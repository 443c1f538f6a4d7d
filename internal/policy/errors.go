package policy

import "errors"

var (
	// ErrChangeInProgress says that another change is on its way: the caller may propose again when it has ended.
	ErrChangeInProgress = errors.New("another change is on its way")
	// ErrBaseMismatch says that another number is in force than the one that a change is to replace: the operator
	// has to look at what is in force now.
	ErrBaseMismatch = errors.New("another policy is in force")
	// ErrInconsistentState says that a State that was read from the log contradicts itself.
	ErrInconsistentState = errors.New("policy: its parts don't fit together")
)

// InvalidProposalError says that a proposal can't be accepted by any fleet, whatever its state.
type InvalidProposalError struct {
	Problem string // what was found and what is wanted, as operators read it
}

// Error is the problem, as operators read it.
func (e *InvalidProposalError) Error() string { return e.Problem }
