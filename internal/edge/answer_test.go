package edge

import (
	"testing"
	"time"

	"spurwinch/choice"
)

// silentClient is a client whose servers say nothing; written says whether its attempts reach them.
type silentClient struct {
	world    *world
	written  bool
	attempts int
	reply    *LocalReply
}

func (c *silentClient) Attempt(a *Attempt) UpstreamRequest {
	c.attempts++
	c.world.At(c.world.now, func() {
		if c.written && a.Begin() {
			a.Written()
		}
	})
	return c
}
func (c *silentClient) GiveUp()                     {}
func (c *silentClient) LocalReply(reply LocalReply) { c.reply = &reply }
func (c *silentClient) Migrate(time.Time) {
	c.world.t.Error("a connection is migrated that was never open, want none")
}

// silentWorld is a core of four servers that say nothing, with these classes.
func silentWorld(t *testing.T, classes ...choice.Class) *world {
	t.Helper()
	world := newWorld(t, time.Unix(1_800_000_000, 0), 1, 1)
	for i := range classes {
		classes[i].SetupObjective = 500 * time.Millisecond
		classes[i].Deadline = 10 * time.Second
		classes[i].Priority = 1
	}
	world.create(Options{Settings: choice.Settings{Classes: classes, Limits: choice.Limits{
		MaxAttempts:    4,
		Cancellation:   true,
		ConnectTimeout: time.Second, RetryAfter: true, MaxRetryAfter: time.Second,
	}}})
	world.core.Start(serversNamed("a", "b", "c", "d"))
	return world
}

// TestStopAnswersByEffect has a planned stop, and a deadline that the balancer missed, end requests that servers may
// have run: a rejection says that a retry is harmless, so those whose effect forbids it fail.
func TestStopAnswersByEffect(t *testing.T) {
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
		for _, stop := range []bool{true, false} {
			checkStopAnswer(t, classes, i, stop, rejected)
		}
	}
}

// checkStopAnswer ends one request of a class, by a planned stop or by its deadline, after a server may have run it.
func checkStopAnswer(t *testing.T, classes []choice.Class, class int, stop, rejected bool) {
	t.Helper()
	name := classes[class].Name
	world := silentWorld(t, classes...)
	client := &silentClient{world: world, written: true}
	request := world.core.Open(Spec{ID: "1", Class: class, Tenant: -1, Deadline: world.now.Add(10 * time.Second)},
		client)
	world.core.Flush()
	world.run(world.now.Add(100 * time.Millisecond))
	if client.attempts != 1 || client.reply != nil {
		t.Fatalf("%s: %d attempts and reply %v before the end, want 1 and none", name, client.attempts, client.reply)
	}
	if stop {
		world.core.Drain(func() {})
		world.run(world.now.Add(maxDeadline + killDelay))
	} else {
		request.expired()
		world.core.Flush()
		world.run(world.now)
	}
	reply := client.reply
	if reply == nil {
		t.Fatalf("%s, stop %v: no reply, want one", name, stop)
	}
	if reply.Rejected != rejected || world.core.InFlight() != 0 {
		t.Errorf("%s, stop %v: reply %+v with %d in flight, want rejected %v and 0",
			name, stop, reply, world.core.InFlight(), rejected)
	}
	if stop && (reply.Why != ShuttingDown || (reply.RetryAfter > 0) != rejected) {
		t.Errorf("%s: reply %+v, want that of a shutdown, with advice where it is a rejection", name, reply)
	}
}

// TestLostByTheBalancer has a request reach its deadline of which the balancer knows nothing: the core answers, by what
// was sent.
func TestLostByTheBalancer(t *testing.T) {
	for _, written := range []bool{false, true} {
		world := silentWorld(t, choice.Class{Name: "safe"})
		core := world.core
		client := &silentClient{world: world, written: true}
		request := core.Open(Spec{ID: "1", Tenant: -1, Deadline: world.now.Add(10 * time.Second)}, client)
		if written {
			core.Flush()
			world.run(world.now.Add(100 * time.Millisecond))
		} else {
			core.pendingEvents = nil
		}
		core.notify(choice.ClientGone{ID: "1"})
		core.Flush()
		request.expired()
		world.run(world.now)
		if client.reply == nil || client.reply.Rejected == written || core.InFlight() != 0 {
			t.Errorf("written %v: reply %+v with %d in flight, want rejected %v and 0",
				written, client.reply, core.InFlight(), !written)
		}
	}
}

// TestNeverWrittenNeverRan has connections come up too late, or not: what was never written is tried again whatever its
// effect.
func TestNeverWrittenNeverRan(t *testing.T) {
	world := silentWorld(t, choice.Class{Name: "unsafe", Idempotency: choice.NotIdempotent})
	client := &silentClient{world: world}
	world.core.Open(Spec{ID: "1", Tenant: -1, Deadline: world.now.Add(10 * time.Second)}, client)
	world.core.Flush()
	world.run(world.now.Add(11 * time.Second))
	if client.attempts != 4 || client.reply == nil { // the last one is out when the time is up, and so it fails
		t.Errorf("%d attempts and reply %+v, want 4 and one", client.attempts, client.reply)
	}
}
