package edge

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/choice"
)

// leaseWorld is a core of two classes, the first of which has a base policy, with what it decided by its lease.
type leaseWorld struct {
	*world
	lease     Lease
	opened    int
	decisions []string
	expiries  int
}

func newLeaseWorld(t *testing.T) *leaseWorld {
	t.Helper()
	world := &leaseWorld{world: newWorld(t, time.Unix(1e9, 0), 1, 1)}
	class := choice.Class{SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}
	withBase, without := class, class
	withBase.Name, without.Name = "a", "b"
	world.create(Options{Seed: 1, Settings: choice.Settings{
		Nodes: 1, Classes: []choice.Class{withBase, without},
		Limits: choice.Limits{MaxAttempts: 3},
	}})
	world.core.Start(serversNamed("h"))
	world.lease = Lease{
		Number: 7, Known: true, Expires: world.now.Add(5 * time.Second), RetryAfter: time.Second,
		BasePolicy: func(class int) bool { return class == 0 },
		OnExpiry:   func() { world.expiries++ },
		OnDecision: func(id choice.RequestID, number uint64, how string) {
			world.decisions = append(world.decisions, fmt.Sprint(id, number, how))
		},
	}
	return world
}

// open sends a request of a class, or of a connection that was open at a server before the run.
func (w *leaseWorld) open(class int, openAt choice.ServerID) (*idleClient, *Request) {
	w.opened++
	client := &idleClient{}
	spec := Spec{
		ID: choice.RequestID(fmt.Sprint("q", w.opened)), Class: class, Tenant: -1,
		Deadline: w.now.Add(10 * time.Second),
		OpenAt:   openAt,
	}
	request := w.core.Open(spec, client)
	w.core.Flush()
	w.run(w.now.Add(time.Millisecond))
	return client, request
}

// TestLease holds who is taken by a lease, by the clock as it is when the request is: a process that was stopped takes
// nothing of what waited.
func TestLease(t *testing.T) {
	world := newLeaseWorld(t)
	core := world.core
	core.UseLease(world.lease)
	client, request := world.open(1, "")
	if client.reply != nil || request.Deadline.After(world.now.Add(4*time.Second)) || world.expiries != 0 {
		t.Errorf("by a lease: reply %+v, deadline in %v, %d expiries; want none, 4 s at most, and none",
			client.reply, request.Deadline.Sub(world.now), world.expiries)
	}
	world.now = world.now.Add(30 * time.Second) // the process was stopped: no timer has run
	client, _ = world.open(1, "")
	if client.tried || client.reply == nil || !client.reply.Rejected ||
		client.reply.RetryAfter < time.Second/2 || client.reply.RetryAfter > 3*time.Second/2 {
		t.Errorf("after the lease: reply %+v, want a rejection at once with advice", client.reply)
	}
	if client, _ := world.open(0, ""); client.reply != nil {
		t.Errorf("a class with a base policy after the lease: reply %+v, want none", client.reply)
	}
	if client, _ := world.open(1, "h"); client.reply != nil {
		t.Errorf("a connection that was open before the run: reply %+v, want none", client.reply)
	}
	if world.expiries != 1 {
		t.Errorf("OnExpiry was called %d times, want once", world.expiries)
	}
	core.UseLease(world.lease) // one that is no newer
	world.open(0, "")
	if world.expiries != 1 {
		t.Errorf("OnExpiry was called %d times after a lease that is no newer, want once", world.expiries)
	}
	world.lease.Expires, world.lease.Known = world.now.Add(5*time.Second), false
	core.UseLease(world.lease)
	if client, _ := world.open(1, ""); client.reply == nil {
		t.Error("a request is taken by a policy whose document isn't here, want a reply")
	}
	world.lease.Known, world.lease.Number = true, 8
	core.UseLease(world.lease)
	if client, _ := world.open(1, ""); client.reply != nil {
		t.Errorf("by a new lease: reply %+v, want none", client.reply)
	}
	if got, want := fmt.Sprint(world.decisions),
		"[q17lease q27none q37ground q57ground q67none q78lease]"; got != want {
		t.Errorf("decisions are %s, want %s", got, want)
	}
}
