package policy

import (
	"fmt"
	"testing"
	"time"
)

// proposedState returns a state with number 4 in force and a change to number 5 in progress.
func proposedState(t *testing.T, canary Canary) *State {
	t.Helper()
	inForce := &State{Number: 4, LastNumber: 4, Documents: []VersionedDocument{{Number: 4}}}
	state, err := inForce.Propose("c", 4, []byte("x"), validDocument(), canary)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// outcomeOf describes what a step decided: the next stage, "accepted", the reason of an abort, or "waits".
func outcomeOf(next *State) string {
	switch {
	case next == nil:
		return "waits"
	case next.Change != nil:
		return next.Change.Stage.String()
	case next.Ended[0].Accepted:
		return "accepted"
	default:
		return next.Ended[0].Reason
	}
}

// TestRolloutAcknowledgements checks how the members' acknowledgements decide about a change in the checking stage.
func TestRolloutAcknowledgements(t *testing.T) {
	accept := MemberStatus{Entry: 7, Verdict: VerdictAccept, KnownNumber: 4, AppliedNumber: 4, MayServe: true}
	reject := MemberStatus{Entry: 7, Verdict: VerdictReject, Reason: "room"}
	older := MemberStatus{Entry: 6, Verdict: VerdictAccept}
	for _, test := range []struct {
		name     string
		canary   Canary
		statuses []MemberStatus
		notLive  []int         // members that are not live
		after    time.Duration // when a second step follows the first; 0: no second step
		want     string
	}{
		{"all members accept", Canary{}, []MemberStatus{accept, accept, accept}, nil, 0, "accepted"},
		{"one member rejects", Canary{}, []MemberStatus{accept, reject, accept}, nil, 0, "m1: room"},
		{"one member is unreachable", Canary{}, []MemberStatus{accept, {}, accept}, nil, 0, "waits"},
		{
			"one member is unreachable for too long",
			Canary{},
			[]MemberStatus{accept, {}, accept},
			nil, 11 * time.Second,
			"m1 did not answer within 10s",
		},
		{
			"the unreachable member is not live",
			Canary{},
			[]MemberStatus{accept, {}, accept},
			[]int{1},
			0,
			"accepted",
		},
		{"one member answered an older entry", Canary{}, []MemberStatus{accept, older, accept}, nil, 0, "waits"},
		{"change with a canary", Canary{OneIn: 2, Seconds: 3}, []MemberStatus{accept, accept, accept}, nil, 0, "trial"},
	} {
		state := proposedState(t, test.canary)
		var members []Member
		for i, status := range test.statuses {
			members = append(members, Member{
				Name: fmt.Sprint("m", i), Node: i, Live: true, HasStatus: status != MemberStatus{}, Status: status,
			})
		}
		for _, i := range test.notLive {
			members[i].Live = false
		}
		rollout := NewRollout(Rules{Window: 5 * time.Second, AnswerTimeout: 10 * time.Second})
		next := rollout.Step(time.Minute, 7, state, validDocument(), members)
		if test.after > 0 {
			next = rollout.Step(time.Minute+test.after, 7, state, validDocument(), members)
		}
		if got := outcomeOf(next); got != test.want {
			t.Errorf("%s: got outcome %q, want %q", test.name, got, test.want)
		}
		if test.want == "accepted" && (next.Number != 5 || string(next.Documents[1].Text) != "x") {
			t.Errorf("%s: got state %+v, want number 5 in force with its text", test.name, next)
		}
	}
}

// TestRolloutCanary checks when a canary passes and when it aborts the change.
func TestRolloutCanary(t *testing.T) {
	for _, test := range []struct {
		name             string
		rejected, others float64 // rejected of 100 requests, by the canary and by the other member
		serves           uint64  // number of the document that the canary applies
		want             string
	}{
		{"same rejections as the other member", 2, 2, 5, "accepted"},
		{"slightly more rejections", 6, 2, 5, "accepted"},
		{"far more rejections", 30, 2, 5, "on trial 30.0% of 100 requests were turned away, elsewhere 2.0% of 100"},
		{"the other member rejects as many", 30, 28, 5, "accepted"},
		{"the canary does not apply the change", 0, 0, 4, "0 of the part's 1 members serve by it after 15s"},
	} {
		state := proposedState(t, Canary{Zone: "z", Seconds: 3, MaxExtraRejections: 0.05}).StartCanary()
		rollout := NewRollout(Rules{Window: 5 * time.Second, AnswerTimeout: 10 * time.Second})
		inCanary := MemberStatus{Entry: 8, Verdict: VerdictAccept, AppliedNumber: test.serves, MayServe: true}
		elsewhere := MemberStatus{Entry: 8, Verdict: VerdictAccept, AppliedNumber: 4, MayServe: true}
		outcome := "waits"
		for at := time.Minute; at < time.Minute+20*time.Second && outcome == "waits"; at += 500 * time.Millisecond {
			next := rollout.Step(at, 8, state, validDocument(), []Member{
				{Name: "a", Zone: "z", Live: true, HasStatus: true, Status: inCanary},
				{Name: "b", Node: 1, Zone: "y", Live: true, HasStatus: true, Status: elsewhere},
			})
			outcome = outcomeOf(next)
			rollout.Observe(0, inCanary)
			rollout.Observe(1, elsewhere)
			if inCanary.Arrived == 0 && test.serves == 5 {
				inCanary.Arrived, inCanary.Rejected = 100, test.rejected
				elsewhere.Arrived, elsewhere.Rejected = 100, test.others
			}
		}
		if outcome != test.want {
			t.Errorf("%s: got outcome %q, want %q", test.name, outcome, test.want)
		}
	}
}
