package edge

import (
	"testing"
	"time"

	"spurwinch/choice"
)

// silentClient is a client whose servers never answer. written determines whether its attempts reach a server.
type silentClient struct {
	harness  *harness
	written  bool
	attempts int
	reply    *LocalReply
}

func (c *silentClient) Attempt(a *Attempt) UpstreamRequest {
	c.attempts++
	c.harness.At(c.harness.now, func() {
		if c.written && a.Begin() {
			a.Written()
		}
	})
	return c
}
func (c *silentClient) GiveUp()                     {}
func (c *silentClient) LocalReply(reply LocalReply) { c.reply = &reply }
func (c *silentClient) Migrate(time.Time) {
	c.harness.t.Error("Migrate: got a call without an open connection, want none")
}

// newSilentHarness creates a core with the given classes and four servers that never answer.
func newSilentHarness(t *testing.T, classes ...choice.Class) *harness {
	t.Helper()
	harness := newHarness(t, time.Unix(1_800_000_000, 0), 1, 1)
	for i := range classes {
		classes[i].SetupObjective = 500 * time.Millisecond
		classes[i].Deadline = 10 * time.Second
		classes[i].Priority = 1
	}
	harness.create(Options{Settings: choice.Settings{Classes: classes, Limits: choice.Limits{
		MaxAttempts:    4,
		Cancellation:   true,
		ConnectTimeout: time.Second, RetryAfter: true, MaxRetryAfter: time.Second,
	}}})
	harness.core.Start(serversNamed("a", "b", "c", "d"))
	return harness
}

// TestUnsafeRequestFailsAtShutdownOrDeadline checks how requests that servers may have run end at a planned shutdown,
// or at a deadline that the balancer has missed. A rejection promises that a retry is harmless, so requests of classes
// that are not safe to retry must fail instead.
func TestUnsafeRequestFailsAtShutdownOrDeadline(t *testing.T) {
	classes := []choice.Class{
		{Name: "safe"},
		{Name: "unsafe", Idempotency: choice.NotIdempotent},
		{Name: "keyed", Idempotency: choice.IdempotentByKey, IdempotencyWindow: time.Minute},
		{
			Name: "by zone", Idempotency: choice.IdempotentByKey, IdempotencyScope: choice.ScopeZone,
			IdempotencyWindow: time.Minute,
		},
	}
	for i, rejected := range []bool{true, false, true, false} {
		for _, shutdown := range []bool{true, false} {
			checkFinalAnswer(t, classes, i, shutdown, rejected)
		}
	}
}

// checkFinalAnswer ends one request of a class after a server may have run it, by a planned shutdown or by its
// deadline, and checks whether it is rejected or fails.
func checkFinalAnswer(t *testing.T, classes []choice.Class, class int, shutdown, rejected bool) {
	t.Helper()
	name := classes[class].Name
	harness := newSilentHarness(t, classes...)
	client := &silentClient{harness: harness, written: true}
	request := harness.core.Open(Spec{ID: "1", Class: class, Tenant: -1, Deadline: harness.now.Add(10 * time.Second)},
		client)
	harness.core.Flush()
	harness.run(harness.now.Add(100 * time.Millisecond))
	if client.attempts != 1 || client.reply != nil {
		t.Fatalf("%s, request in flight: got %d attempts and reply %v, want 1 and no reply",
			name, client.attempts, client.reply)
	}
	if shutdown {
		harness.core.Drain(func() {})
		harness.run(harness.now.Add(maxDeadline + killDelay))
	} else {
		request.expired()
		harness.core.Flush()
		harness.run(harness.now)
	}
	reply := client.reply
	if reply == nil {
		t.Fatalf("%s, shutdown %v: got no reply, want one", name, shutdown)
	}
	if reply.Rejected != rejected || harness.core.InFlight() != 0 {
		t.Errorf("%s, shutdown %v: got reply %+v with %d in flight, want rejected %v and 0",
			name, shutdown, reply, harness.core.InFlight(), rejected)
	}
	if shutdown && (reply.Cause != ShuttingDown || (reply.RetryAfter > 0) != rejected) {
		t.Errorf("%s, shutdown: got reply %+v, want Why ShuttingDown, and a retry delay if and only if rejected",
			name, reply)
	}
}

// TestDeadlineOfRequestLostByBalancer checks that the core itself answers a request at its deadline if the balancer
// doesn't know the request. The answer is a failure if an attempt was sent, else a rejection.
func TestDeadlineOfRequestLostByBalancer(t *testing.T) {
	for _, written := range []bool{false, true} {
		harness := newSilentHarness(t, choice.Class{Name: "safe"})
		core := harness.core
		client := &silentClient{harness: harness, written: true}
		request := core.Open(Spec{ID: "1", Tenant: -1, Deadline: harness.now.Add(10 * time.Second)}, client)
		if written {
			core.Flush()
			harness.run(harness.now.Add(100 * time.Millisecond))
		} else {
			core.pendingEvents = nil
		}
		core.notify(choice.ClientGone{ID: "1"})
		core.Flush()
		request.expired()
		harness.run(harness.now)
		if client.reply == nil || client.reply.Rejected == written || core.InFlight() != 0 {
			t.Errorf("written %v: got reply %+v with %d in flight, want rejected %v and 0",
				written, client.reply, core.InFlight(), !written)
		}
	}
}

// TestUnwrittenAttemptIsRetried checks that an attempt counts as not run if its connection is established too late or
// not at all. The core then retries the request even though its class is not idempotent.
func TestUnwrittenAttemptIsRetried(t *testing.T) {
	harness := newSilentHarness(t, choice.Class{Name: "unsafe", Idempotency: choice.NotIdempotent})
	client := &silentClient{harness: harness}
	harness.core.Open(Spec{ID: "1", Tenant: -1, Deadline: harness.now.Add(10 * time.Second)}, client)
	harness.core.Flush()
	harness.run(harness.now.Add(11 * time.Second))
	// The last attempt is in flight at the deadline, so the request fails.
	if client.attempts != 4 || client.reply == nil {
		t.Errorf("got %d attempts and reply %+v, want 4 and a reply", client.attempts, client.reply)
	}
}
