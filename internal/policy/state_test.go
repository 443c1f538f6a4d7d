package policy

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// changeModel drives a state with random steps of operators and the leader, and records what the checks need.
type changeModel struct {
	state    *State
	proposer map[uint64]string // id of the change by the number that it was assigned
	ended    map[string]bool   // by id of the change
}

// propose begins a change with an id. Some of the proposals name a base that is not in force.
func (m *changeModel) propose(t *rapid.T, id string) {
	base := m.state.Number
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		base++
	}
	next, err := m.state.Propose(id, base, []byte(id), validDocument(), Canary{})
	wantError := base != m.state.Number
	if (err != nil) != wantError || err != nil && !errors.Is(err, ErrBaseMismatch) {
		t.Fatalf("Propose on number %d with base %d: got error %v, want ErrBaseMismatch only if they differ",
			m.state.Number, base, err)
	}
	if err != nil {
		return
	}
	if other, ok := m.proposer[next.LastNumber]; ok {
		t.Fatalf("Propose assigned number %d to both %s and %s, want different numbers", next.LastNumber, other, id)
	}
	m.proposer[next.LastNumber] = id
	m.state = next
}

// commit commits the change in progress. It checks that no second change can begin before, that the change's document
// is then in force, and that the change has not ended before.
func (m *changeModel) commit(t *rapid.T) {
	_, err := m.state.Propose("x", m.state.Number, []byte("x"), validDocument(), Canary{})
	if !errors.Is(err, ErrChangeInProgress) {
		t.Fatalf("Propose during a change: got error %v, want %v", err, ErrChangeInProgress)
	}
	id := m.state.Change.ID
	m.state = m.state.Commit(validDocument().Base, m.state.Number)
	if text, ok := m.state.Text(m.state.Number); !ok || string(text) != id || m.ended[id] {
		t.Fatalf("Commit: got document %q in force, want %q; change already ended: %v", text, id, m.ended[id])
	}
	m.ended[id] = true
}

// abort aborts the change in progress, with a reason longer than maxReason. It checks that the change has not ended
// before.
func (m *changeModel) abort(t *rapid.T) {
	id := m.state.Change.ID
	if m.ended[id] {
		t.Fatalf("Abort: change %s has already ended, want it in progress", id)
	}
	m.ended[id] = true
	m.state = m.state.Abort(strings.Repeat("w", 300))
}

// checkDecoded checks that a state keeps its numbers and outcomes when it is encoded and decoded.
func (m *changeModel) checkDecoded(t *rapid.T) {
	decoded, err := Decode(m.state.Encode())
	if err != nil {
		t.Fatalf("Decode of an encoded state: %v", err)
	}
	got := fmt.Sprint(decoded.Number, decoded.LastNumber, decoded.Ended)
	if want := fmt.Sprint(m.state.Number, m.state.LastNumber, m.state.Ended); got != want {
		t.Fatalf("Decode of an encoded state: got %s, want %s", got, want)
	}
}

// TestStateTransitions runs random changes and checks that a number is never assigned twice, that each change ends only
// once, and that a state keeps its numbers and outcomes when it is encoded and decoded.
func TestStateTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &changeModel{state: &State{}, proposer: map[uint64]string{}, ended: map[string]bool{}}
		for step := range 60 {
			switch {
			case model.state.Change == nil:
				model.propose(t, fmt.Sprintf("c%d", step))
			case rapid.Bool().Draw(t, "accepted"):
				model.commit(t)
			default:
				model.abort(t)
			}
			model.checkDecoded(t)
		}
	})
}

// TestDecodeRejectsInconsistentState checks that Decode rejects states whose fields contradict each other.
func TestDecodeRejectsInconsistentState(t *testing.T) {
	for name, corrupt := range map[string]func(s *State){
		"number in force never assigned": func(s *State) { s.LastNumber = s.Number - 1 },
		"document in force missing":      func(s *State) { s.Documents = s.Documents[:1] },
		"too many documents":             func(s *State) { s.Documents = make([]VersionedDocument, maxDocuments+1) },
		"too many outcomes":              func(s *State) { s.Ended = make([]ChangeOutcome, maxOutcomes+1) },
		"too many base policies":         func(s *State) { s.Bases = make([]VersionedBase, maxBases+1) },
		"document too long":              func(s *State) { s.Documents[0].Text = make([]byte, MaxTextBytes+1) },
		"change with another number":     func(s *State) { s.Change.Number++ },
		"change with another base":       func(s *State) { s.Change.Base++ },
		"change without an id":           func(s *State) { s.Change.ID = "" },
		"unknown stage":                  func(s *State) { s.Change.Stage = StageCanary + 1 },
	} {
		state := goldenState()
		corrupt(state)
		if _, err := Decode(state.Encode()); !errors.Is(err, ErrInconsistentState) {
			t.Errorf("Decode with %s: got error %v, want %v", name, err, ErrInconsistentState)
		}
	}
}

// TestAbortTruncatesReasonBetweenCharacters checks that nodes can decode a state after an abort with a long reason of
// multi-byte characters. A text that ends in a partial character could not be decoded from the log.
func TestAbortTruncatesReasonBetweenCharacters(t *testing.T) {
	for before := maxReason - 3; before <= maxReason; before++ {
		reason := strings.Repeat("w", before) + "\u0103\u20ac and more"
		aborted := goldenState().Abort(reason)
		decoded, err := Decode(aborted.Encode())
		if err != nil {
			t.Errorf("Decode after Abort, %d bytes before the first wide character: got error %v, want none",
				before, err)
			continue
		}
		got := decoded.Ended[len(decoded.Ended)-1].Reason
		if !strings.HasPrefix(reason, got) || len(got) > maxReason || len(got) < maxReason-3 {
			t.Errorf("Abort: got a reason of %d bytes: %q, want a prefix of at most %d bytes", len(got), got, maxReason)
		}
	}
}

// TestInvalidProposals checks that proposals and canary texts that no fleet can accept give an InvalidProposalError,
// which differs from the errors for proposals that a fleet in another state could accept.
func TestInvalidProposals(t *testing.T) {
	document := validDocument()
	for _, test := range []struct {
		id, text string
		canary   Canary
		want     string
	}{
		{"", "x", Canary{}, "an id must have 1 to 48 bytes"},
		{strings.Repeat("i", maxID+1), "x", Canary{}, "an id must have 1 to 48 bytes"},
		{"c", "", Canary{}, "a policy of 0 bytes: must have 1 to 32768 bytes"},
		{"c", "x", Canary{Zone: "z", OneIn: 2, Seconds: 3}, "a part must be either a zone, or one node in 2 to 1000"},
		{"c", "x", Canary{OneIn: 1, Seconds: 3}, "a part must be either a zone, or one node in 2 to 1000"},
		{"c", "x", Canary{Zone: "z"}, "a trial of 0 s: must be between 1 and 3600 s"},
		{
			"c", "x",
			Canary{Zone: "z", Seconds: 3, MaxExtraRejections: 2},
			"worse by 2: must be a fraction between 0 and 1",
		},
	} {
		_, err := (&State{}).Propose(test.id, 0, []byte(test.text), document, test.canary)
		var invalid *InvalidProposalError
		if !errors.As(err, &invalid) || err.Error() != test.want {
			t.Errorf("Propose(%q, %q, %+v): got error %v, want %q", test.id, test.text, test.canary, err, test.want)
		}
	}
	for text, want := range map[string]Canary{"zone:z": {Zone: "z"}, "1/3": {OneIn: 3}} {
		if got, err := ParseCanary(text); err != nil || got != want {
			t.Errorf("ParseCanary(%q): got %+v, %v, want %+v", text, got, err, want)
		}
	}
	for _, text := range []string{"", "zone:", "1/1", "1/x", "2/3"} {
		var invalid *InvalidProposalError
		if _, err := ParseCanary(text); !errors.As(err, &invalid) {
			t.Errorf("ParseCanary(%q): got error %v, want an InvalidProposalError", text, err)
		}
	}
}
