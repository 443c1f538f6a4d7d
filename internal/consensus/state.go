package consensus

import "slices"

const (
	maxResults = 512 // stored results; the ID of a proposal is an idempotency key while its result is stored
	maxRetired = 64  // stored IDs of retired replicas
)

// State is the replicated state machine: the result of applying the log up to some index. All replicas reach the same
// state because Apply depends only on the state and on the log. The replica that applies the log owns it.
type State struct {
	_       struct{} `cbor:",toarray"`
	LogID   uint64   // identity of the log; 0 means that there is no log yet
	Newest  map[Kind]Entry
	Results []ProposalResult // results of the newest proposals, oldest first
	Retired []uint64         // Raft IDs of replicas whose disks were lost, oldest first
}

// Result returns the result of a proposal. It returns false if the proposal has no result yet, or if the result was
// dropped because it is older than the newest maxResults.
func (s *State) Result(id string) (ProposalResult, bool) {
	i := slices.IndexFunc(s.Results, func(result ProposalResult) bool { return result.ID == id })
	if i < 0 {
		return ProposalResult{}, false
	}
	return s.Results[i], true
}

// Apply applies the data at an index of the log. ok is false if the data is not a valid proposal or if the proposal
// already has a result.
func (s *State) Apply(index uint64, data []byte) (result ProposalResult, ok bool) {
	var proposal Proposal
	if len(data) == 0 || decoding.Unmarshal(data, &proposal) != nil || proposal.Check() != nil {
		return result, false // an internal entry of Raft, or an entry of a version that this one cannot decode
	}
	if _, decided := s.Result(proposal.ID); decided {
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

// Retire stores the Raft ID of a replica whose disk is lost, so that a delayed message from it does not make it a
// member again.
func (s *State) Retire(id uint64) { s.Retired = appendBounded(s.Retired, id, maxRetired) }

// appendBounded appends a value and drops the oldest values beyond the limit.
func appendBounded[T any](values []T, value T, limit int) []T {
	values = append(values, value)
	if len(values) > limit {
		values = slices.Clone(values[len(values)-limit:])
	}
	return values
}
