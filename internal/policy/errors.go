package policy

import "errors"

var (
	// ErrChangeInProgress means that another change is in progress. The caller may propose again once it has ended.
	ErrChangeInProgress = errors.New("another change is in progress")
	// ErrBaseMismatch means that the number in force is not the one that a change replaces. The operator has to review
	// the document that is now in force.
	ErrBaseMismatch = errors.New("another policy is in force")
	// ErrInconsistentState means that the fields of a State that was read from the log contradict each other.
	ErrInconsistentState = errors.New("policy: the fields of the state contradict each other")
)

// InvalidProposalError means that no fleet can accept a proposal, whatever its state.
type InvalidProposalError struct {
	Problem string // the invalid value and what is allowed, for operators
}

// Error returns the problem, worded for operators.
func (e *InvalidProposalError) Error() string { return e.Problem }
