package policy

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// changeModel plays changes as operators and the leader make them, and keeps what must hold of them.
type changeModel struct {
	state    *State
	proposer map[uint64]string // id by the number that it was given
	ended    map[string]bool   // by id
}

// propose begins a change with an id, now and then to replace another number than the one in force.
func (m *changeModel) propose(t *rapid.T, id string) {
	base := m.state.Number
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		base++
	}
	next, err := m.state.Propose(id, base, []byte(id), validDocument(), Canary{})
	wantError := base != m.state.Number
	if (err != nil) != wantError || err != nil && !errors.Is(err, ErrBaseMismatch) {
		t.Fatalf("number %d, to replace %d: the error is %v", m.state.Number, base, err)
	}
	if err != nil {
		return
	}
	if other, ok := m.proposer[next.LastNumber]; ok {
		t.Fatalf("number %d was given to %s and to %s", next.LastNumber, other, id)
	}
	m.proposer[next.LastNumber] = id
	m.state = next
}

func (m *changeModel) commit(t *rapid.T) {
	_, err := m.state.Propose("x", m.state.Number, []byte("x"), validDocument(), Canary{})
	if !errors.Is(err, ErrChangeInProgress) {
		t.Fatalf("a second change at once: the error is %v, wanted %v", err, ErrChangeInProgress)
	}
	id := m.state.Change.ID
	m.state = m.state.Commit(validDocument().Base, m.state.Number)
	if text, ok := m.state.Text(m.state.Number); !ok || string(text) != id || m.ended[id] {
		t.Fatalf("in force is %q, wanted %q, which ended before: %v", text, id, m.ended[id])
	}
	m.ended[id] = true
}

func (m *changeModel) abort(t *rapid.T) {
	id := m.state.Change.ID
	if m.ended[id] {
		t.Fatalf("change %s ended before", id)
	}
	m.ended[id] = true
	m.state = m.state.Abort(strings.Repeat("w", 300))
}

// checkDecoded holds that what is read back is what was written.
func (m *changeModel) checkDecoded(t *rapid.T) {
	decoded, err := Decode(m.state.Encode())
	if err != nil {
		t.Fatalf("reading a state back: %v", err)
	}
	got := fmt.Sprint(decoded.Number, decoded.LastNumber, decoded.Ended)
	if want := fmt.Sprint(m.state.Number, m.state.LastNumber, m.state.Ended); got != want {
		t.Fatalf("a state is read back as %s, wanted %s", got, want)
	}
}

// TestStateTransitions plays changes: a number is never given twice, an id ends once, and what is read back is what was
// written.
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

// TestDecodeInconsistentState holds that a state that contradicts itself is not taken.
func TestDecodeInconsistentState(t *testing.T) {
	for name, spoil := range map[string]func(s *State){
		"a number that was never given":   func(s *State) { s.LastNumber = s.Number - 1 },
		"no document of the one in force": func(s *State) { s.Documents = s.Documents[:1] },
		"too many documents":              func(s *State) { s.Documents = make([]VersionedDocument, maxDocuments+1) },
		"too many outcomes":               func(s *State) { s.Ended = make([]ChangeOutcome, maxOutcomes+1) },
		"too many base policies":          func(s *State) { s.Bases = make([]VersionedBase, maxBases+1) },
		"a document that is too long":     func(s *State) { s.Documents[0].Text = make([]byte, MaxTextBytes+1) },
		"a change of another number":      func(s *State) { s.Change.Number++ },
		"a change of another base":        func(s *State) { s.Change.Base++ },
		"a change without an id":          func(s *State) { s.Change.ID = "" },
		"a stage that is not known":       func(s *State) { s.Change.Stage = StageCanary + 1 },
	} {
		state := goldenState()
		spoil(state)
		if _, err := Decode(state.Encode()); !errors.Is(err, ErrInconsistentState) {
			t.Errorf("%s: the error is %v, wanted %v", name, err, ErrInconsistentState)
		}
	}
}

// TestAbortReasonIsCutBetweenCharacters holds that a long reason with characters of several bytes leaves a state that
// nodes can read: the form on the log has no text with half a character.
func TestAbortReasonIsCutBetweenCharacters(t *testing.T) {
	for before := maxReason - 3; before <= maxReason; before++ {
		reason := strings.Repeat("w", before) + "\u0103\u20ac and more"
		aborted := goldenState().Abort(reason)
		decoded, err := Decode(aborted.Encode())
		if err != nil {
			t.Errorf("a reason with %d bytes before its first wide character: %v, wanted a state", before, err)
			continue
		}
		got := decoded.Ended[len(decoded.Ended)-1].Reason
		if !strings.HasPrefix(reason, got) || len(got) > maxReason || len(got) < maxReason-3 {
			t.Errorf("the reason is cut to %d bytes: %q, wanted its first %d at most", len(got), got, maxReason)
		}
	}
}

// TestInvalidProposals holds that what no fleet can accept is distinguished from what another state could accept.
func TestInvalidProposals(t *testing.T) {
	document := validDocument()
	for _, test := range []struct {
		id, text string
		canary   Canary
		want     string
	}{
		{"", "x", Canary{}, "an id has 1 to 48 bytes"},
		{strings.Repeat("i", maxID+1), "x", Canary{}, "an id has 1 to 48 bytes"},
		{"c", "", Canary{}, "a policy of 0 bytes: 1 to 32768 are possible"},
		{"c", "x", Canary{Zone: "z", OneIn: 2, Seconds: 3}, "a part is a zone, or one node in 2 to 1000"},
		{"c", "x", Canary{OneIn: 1, Seconds: 3}, "a part is a zone, or one node in 2 to 1000"},
		{"c", "x", Canary{Zone: "z"}, "a trial of 0 s: 1 to 3600 are possible"},
		{
			"c", "x",
			Canary{Zone: "z", Seconds: 3, MaxExtraRejections: 2},
			"worse by 2: a part from 0 to 1 is wanted",
		},
	} {
		_, err := (&State{}).Propose(test.id, 0, []byte(test.text), document, test.canary)
		var invalid *InvalidProposalError
		if !errors.As(err, &invalid) || err.Error() != test.want {
			t.Errorf("%q, %q, %+v: the error is %v, wanted %q", test.id, test.text, test.canary, err, test.want)
		}
	}
	for text, want := range map[string]Canary{"zone:z": {Zone: "z"}, "1/3": {OneIn: 3}} {
		if got, err := ParseCanary(text); err != nil || got != want {
			t.Errorf("canary %q is read as %+v, %v, wanted %+v", text, got, err, want)
		}
	}
	for _, text := range []string{"", "zone:", "1/1", "1/x", "2/3"} {
		var invalid *InvalidProposalError
		if _, err := ParseCanary(text); !errors.As(err, &invalid) {
			t.Errorf("canary %q: the error is %v, wanted an InvalidProposalError", text, err)
		}
	}
}
