package edge

import (
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
)

// newGuardedHarness creates a core with one class that is not idempotent, a ready server and a draining one. It also
// returns the violations that the invariant monitor reports.
func newGuardedHarness(t *testing.T) (h *harness, violations *[]invariant.Violation) {
	t.Helper()
	violations = &[]invariant.Violation{}
	monitor := &invariant.Monitor{OnViolation: func(v invariant.Violation) { *violations = append(*violations, v) }}
	h = newHarness(t, time.Unix(1e9, 0), 1, 1)
	h.create(Options{Seed: 1, Monitor: monitor, Settings: choice.Settings{
		Nodes: 1,
		Classes: []choice.Class{{
			Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1,
			Idempotency: choice.NotIdempotent,
		}},
		Limits: choice.Limits{MaxAttempts: 3},
		Rules:  choice.Rules{DrainGrace: 3 * time.Second},
	}})
	servers := serversNamed("h", "draining")
	servers[1].State = choice.Draining
	h.core.Start(servers)
	return h, violations
}

// wantLast checks that the last violation is a violation of the given rule.
func wantLast(t *testing.T, violations []invariant.Violation, rule invariant.Rule) {
	t.Helper()
	if count := len(violations); count == 0 || violations[count-1].Rule != rule {
		t.Errorf("violations: got %v, want %v as the last one", violations, rule)
	}
}

// openUnnotified opens a request without a flush, so that the balancer is not notified of it yet.
func openUnnotified(h *harness, client Client) *Request {
	return h.core.Open(Spec{ID: "q", Tenant: -1, Deadline: h.now.Add(20 * time.Second)}, client)
}

// TestGuardStopsAttemptAtDrainingServer checks that the invariant monitor reports, and the core prevents, an attempt
// that the balancer starts at a draining server after the server's grace.
func TestGuardStopsAttemptAtDrainingServer(t *testing.T) {
	harness, violations := newGuardedHarness(t)
	harness.run(harness.now.Add(3*time.Second + time.Millisecond))
	client := &idleClient{}
	request := openUnnotified(harness, client)
	request.startAttempt("draining", request.Deadline, 0)
	wantLast(t, *violations, invariant.ServerDraining)
	if client.tried || request.attempt != nil {
		t.Errorf("startAttempt: got server tried %v and attempt %v, want false and nil", client.tried, request.attempt)
	}
}

// TestGuardStopsUnsafeRetryAndRejection checks a request that may have run and is not idempotent. The invariant monitor
// must stop a retry, and the core must turn a rejection, which would promise that a retry is harmless, into a failure.
func TestGuardStopsUnsafeRetryAndRejection(t *testing.T) {
	harness, violations := newGuardedHarness(t)
	client := &idleClient{}
	request := openUnnotified(harness, client)
	request.startAttempt("h", request.Deadline, 0)
	first := request.attempt
	if first == nil || !first.Begin() {
		t.Fatal("startAttempt and Begin: got no attempt or false, want an attempt and true")
	}
	first.Written()
	first.Ended(choice.Reset, nil)
	client.tried = false
	request.startAttempt("h", request.Deadline, 0)
	wantLast(t, *violations, invariant.UnsafeRetry)
	if client.tried {
		t.Error("second startAttempt: got an attempt at the server, want none")
	}
	request.answer(LocalReply{Rejected: true})
	wantLast(t, *violations, invariant.UnsafeRejection)
	if client.reply == nil || client.reply.Rejected {
		t.Errorf("answer: got reply %+v, want a failure", client.reply)
	}
}

// TestGuardStopsAttemptOfGoneClient checks that an attempt sends nothing if its connection is established after the
// invariant monitor was notified that the client is gone.
func TestGuardStopsAttemptOfGoneClient(t *testing.T) {
	harness, violations := newGuardedHarness(t)
	request := openUnnotified(harness, &idleClient{})
	request.startAttempt("h", request.Deadline, 0)
	first := request.attempt
	request.guard.Gone()
	if first.Begin() {
		t.Error("Begin for a client that is gone: got true, want false")
	}
	wantLast(t, *violations, invariant.ClientGone)
}
