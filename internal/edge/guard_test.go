package edge

import (
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
)

// guardedWorld is a core of one class that is not idempotent, with a server that serves and one that drains, and the
// violations that its monitor saw.
func guardedWorld(t *testing.T) (w *world, violations *[]invariant.Violation) {
	t.Helper()
	violations = &[]invariant.Violation{}
	monitor := &invariant.Monitor{OnViolation: func(v invariant.Violation) { *violations = append(*violations, v) }}
	w = newWorld(t, time.Unix(1e9, 0), 1, 1)
	w.create(Options{Seed: 1, Monitor: monitor, Settings: choice.Settings{
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
	w.core.Start(servers)
	return w, violations
}

// wantLast fails the test unless the last violation is of that rule.
func wantLast(t *testing.T, violations []invariant.Violation, rule invariant.Rule) {
	t.Helper()
	if count := len(violations); count == 0 || violations[count-1].Rule != rule {
		t.Errorf("violations %v, want %v as the last one", violations, rule)
	}
}

// openUnnotified opens a request that the balancer doesn't know of yet.
func openUnnotified(w *world, client Client) *Request {
	return w.core.Open(Spec{ID: "q", Tenant: -1, Deadline: w.now.Add(20 * time.Second)}, client)
}

// TestGuardDrainingServer has a balancer send to a server past its grace: the guard counts it, and the server is not
// tried.
func TestGuardDrainingServer(t *testing.T) {
	world, violations := guardedWorld(t)
	world.run(world.now.Add(3*time.Second + time.Millisecond))
	client := &idleClient{}
	request := openUnnotified(world, client)
	request.startAttempt("draining", request.Deadline, 0)
	wantLast(t, *violations, invariant.ServerDraining)
	if client.tried || request.attempt != nil {
		t.Errorf("the server is tried (%v) or has an attempt (%v), want neither", client.tried, request.attempt)
	}
}

// TestGuardNotIdempotent has a balancer repeat what may have run, and promise that a retry is harmless: neither reaches
// anybody.
func TestGuardNotIdempotent(t *testing.T) {
	world, violations := guardedWorld(t)
	client := &idleClient{}
	request := openUnnotified(world, client)
	request.startAttempt("h", request.Deadline, 0)
	first := request.attempt
	if first == nil || !first.Begin() {
		t.Fatal("the first attempt does not begin, want it to")
	}
	first.Written()
	first.Ended(choice.Reset, nil)
	client.tried = false
	request.startAttempt("h", request.Deadline, 0)
	wantLast(t, *violations, invariant.UnsafeRetry)
	if client.tried {
		t.Error("the server is tried again, want it not to be")
	}
	request.answer(LocalReply{Rejected: true})
	wantLast(t, *violations, invariant.UnsafeRejection)
	if client.reply == nil || client.reply.Rejected {
		t.Errorf("the client got %+v, want a failure", client.reply)
	}
}

// TestGuardClientGone has an attempt's connection come up for a client that the guard knows to be gone: nothing is
// sent.
func TestGuardClientGone(t *testing.T) {
	world, violations := guardedWorld(t)
	request := openUnnotified(world, &idleClient{})
	request.startAttempt("h", request.Deadline, 0)
	first := request.attempt
	request.guard.Gone()
	if first.Begin() {
		t.Error("an attempt begins for a client that is gone, want it not to")
	}
	wantLast(t, *violations, invariant.ClientGone)
}
