package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
)

// guarded is a core of one unsafe class with a host that serves and one that drains, and the violations that its guard saw.
func guarded(t *testing.T) (w *world, broken *[]invariant.Violation) {
	w = &world{t: t, rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1e9, 0)}
	broken = &[]invariant.Violation{}
	monitor := &invariant.Monitor{Broken: func(v invariant.Violation) { *broken = append(*broken, v) }}
	core, err := New(Options{Clock: w, HealthChecker: w, Seed: 1, Monitor: monitor, Settings: choice.Settings{Nodes: 1,
		Classes: []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1, Idempotency: choice.NotIdempotent}},
		Limits:  choice.Limits{MaxAttempts: 3}, Rules: choice.Rules{DrainGrace: 3 * time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	w.core = core
	core.Start([]ServerEntry{{Server: choice.Server{ID: "h", Size: 1}}, {Server: choice.Server{ID: "leaving", Size: 1, State: choice.Draining}}})
	return w, broken
}

// last fails the test unless the last violation is of that rule.
func last(t *testing.T, broken []invariant.Violation, rule invariant.Rule) {
	t.Helper()
	if n := len(broken); n == 0 || broken[n-1].Rule != rule {
		t.Errorf("%v; %v is wanted", broken, rule)
	}
}

// ask opens a request that the module doesn't know of yet.
func ask(w *world, a *asker) *Request {
	return w.core.Open(Spec{ID: "q", Tenant: -1, Deadline: w.now.Add(20 * time.Second)}, a)
}

// TestGuardHostLeaving has a module send to a host past its grace: the guard counts it, and the host is not tried.
func TestGuardHostLeaving(t *testing.T) {
	w, broken := guarded(t)
	w.run(w.now.Add(3*time.Second + time.Millisecond))
	a := &asker{}
	r := ask(w, a)
	r.send("leaving", r.Deadline, 0)
	last(t, *broken, invariant.HostLeaving)
	if a.tried || r.attempt != nil {
		t.Error("the host is tried")
	}
}

// TestGuardUnsafe has a module repeat what may have run, and promise that trying again is harmless: neither reaches anybody.
func TestGuardUnsafe(t *testing.T) {
	w, broken := guarded(t)
	a := &asker{}
	r := ask(w, a)
	r.send("h", r.Deadline, 0)
	first := r.attempt
	if first == nil || !first.Begin() {
		t.Fatal("the first attempt does not begin")
	}
	first.Written()
	first.Ended(choice.Reset, nil)
	a.tried = false
	r.send("h", r.Deadline, 0)
	last(t, *broken, invariant.UnsafeRepeat)
	if a.tried {
		t.Error("the host is tried again")
	}
	r.answer(LocalReply{Rejected: true})
	last(t, *broken, invariant.UnsafeRefusal)
	if a.reply == nil || a.reply.Rejected {
		t.Errorf("the client got %+v: a failure is wanted", a.reply)
	}
}

// TestGuardClientGone has an attempt's connection come up for a client that the guard knows to be gone: nothing is sent.
func TestGuardClientGone(t *testing.T) {
	w, broken := guarded(t)
	r := ask(w, &asker{})
	r.send("h", r.Deadline, 0)
	first := r.attempt
	r.guard.Gone()
	if first.Begin() {
		t.Error("an attempt begins for nobody")
	}
	last(t, *broken, invariant.ClientGone)
}
