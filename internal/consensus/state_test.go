package consensus

import (
	"errors"
	"strconv"
	"strings"
	"testing"
)

// TestStateApply checks which proposals become the newest entry of their kind, and which get a result. A proposal with
// an ID that already has a result gets none.
func TestStateApply(t *testing.T) {
	state := State{LogID: 1, Newest: map[Kind]Entry{}}
	for _, step := range []struct {
		index    uint64
		proposal Proposal
		accepted bool
		ok       bool
	}{
		{2, Proposal{ID: "a", Kind: 1, Data: []byte("one")}, true, true},
		{3, Proposal{ID: "a", Kind: 1, Replaces: 2, Data: []byte("the same id again")}, false, false},
		{4, Proposal{ID: "b", Kind: 1, Data: []byte("replaces an old entry")}, false, true},
		{5, Proposal{ID: "c", Kind: 2, Data: []byte("another kind")}, true, true},
		{6, Proposal{ID: "d", Kind: 1, Replaces: 2, Data: []byte("two")}, true, true},
		{7, Proposal{ID: "", Kind: 1, Replaces: 6}, false, false},
	} {
		result, ok := state.Apply(step.index, Encode(step.proposal))
		if ok != step.ok || result.Accepted != step.accepted {
			t.Errorf("Apply(%d, %+v): got %+v, %v, want accepted %v, %v",
				step.index, step.proposal, result, ok, step.accepted, step.ok)
		}
	}
	if newest := state.Newest[1]; newest.Index != 6 || string(newest.Data) != "two" {
		t.Errorf("newest entry of kind 1: got %+v, want index 6 with data \"two\"", newest)
	}
}

// TestProposalCheck checks the limits of a proposal.
func TestProposalCheck(t *testing.T) {
	longestID := strings.Repeat("i", maxProposalID)
	for name, test := range map[string]struct {
		proposal Proposal
		want     error
	}{
		"largest valid proposal": {Proposal{ID: longestID, Kind: 1, Data: make([]byte, MaxData)}, nil},
		"no id":                  {Proposal{Kind: 1}, ErrInvalidProposal},
		"long id":                {Proposal{ID: longestID + "i", Kind: 1}, ErrInvalidProposal},
		"no kind":                {Proposal{ID: "a"}, ErrInvalidProposal},
		"too much data":          {Proposal{ID: "a", Kind: 1, Data: make([]byte, MaxData+1)}, ErrInvalidProposal},
	} {
		if err := test.proposal.Check(); !errors.Is(err, test.want) {
			t.Errorf("%s: Check: got %v, want %v", name, err, test.want)
		}
	}
}

// TestStateSizeIsBounded checks that the state does not grow without bound as the log grows.
func TestStateSizeIsBounded(t *testing.T) {
	state := State{LogID: 1, Newest: map[Kind]Entry{}}
	for i := range uint64(2 * maxResults) {
		state.Apply(i+2, Encode(Proposal{ID: strconv.FormatUint(i, 10), Kind: Kind(i%100 + 1)}))
		state.Retire(i)
	}
	if len(state.Results) != maxResults || len(state.Retired) != maxRetired || len(state.Newest) != MaxKinds {
		t.Errorf("state size: got %d results, %d retired, %d kinds, want %d, %d and %d",
			len(state.Results), len(state.Retired), len(state.Newest), maxResults, maxRetired, MaxKinds)
	}
	if last := state.Retired[maxRetired-1]; last != 2*maxResults-1 {
		t.Errorf("last retired replica: got %d, want the newest, %d", last, 2*maxResults-1)
	}
}
