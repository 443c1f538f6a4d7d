package consensus

import "slices"

const (
	maxResults = 512 // results that are remembered, for which a proposal's id is an idempotency key
	maxRetired = 64  // retired replicas that are remembered
)

// State is the replicated state machine: what the log up to some index has come to. All replicas come to the same
// state, since Apply depends on nothing else. The replica that applies the log owns it.
type State struct {
	_       struct{} `cbor:",toarray"`
	LogID   uint64   // identity of the log; 0: there is none yet
	Newest  map[Kind]Entry
	Results []ProposalResult // of the newest proposals, oldest first
	Retired []uint64         // Raft's ids of replicas whose disks were lost, oldest first
}

// Result is how a proposal ended; false: it has not, or that is no longer remembered.
func (s *State) Result(id string) (ProposalResult, bool) {
	i := slices.IndexFunc(s.Results, func(result ProposalResult) bool { return result.ID == id })
	if i < 0 {
		return ProposalResult{}, false
	}
	return s.Results[i], true
}

// Apply applies the data at an index of the log. ok is false where the data is no proposal, or one that has ended
// before.
func (s *State) Apply(index uint64, data []byte) (result ProposalResult, ok bool) {
	var proposal Proposal
	if len(data) == 0 || decoding.Unmarshal(data, &proposal) != nil || proposal.Check() != nil {
		return result, false // an entry of Raft's own, or of a version that this one cannot read
	}
	if _, ended := s.Result(proposal.ID); ended {
		return result, false
	}
	newest, known := s.Newest[proposal.Kind]
	accepted := newest.Index == proposal.Replaces && (known || len(s.Newest) < MaxKinds)
	if accepted {
		s.Newest[proposal.Kind] = Entry{Index: index, Kind: proposal.Kind, ID: proposal.ID, Data: proposal.Data}
	}
	result = ProposalResult{ID: proposal.ID, Kind: proposal.Kind, Index: index, Accepted: accepted}
	s.Results = appendBounded(s.Results, result, maxResults)
	return result, true
}

// Retire notes that a replica's disk is lost, so that a late message of it does not bring it back.
func (s *State) Retire(id uint64) { s.Retired = appendBounded(s.Retired, id, maxRetired) }

// appendBounded appends a value and drops the oldest ones over a limit.
func appendBounded[T any](values []T, value T, limit int) []T {
	values = append(values, value)
	if len(values) > limit {
		values = slices.Clone(values[len(values)-limit:])
	}
	return values
}
