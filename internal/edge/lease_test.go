package edge

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/choice"
)

// leaseHarness runs a core with two classes, the first with a base policy, and records the core's decisions
// under its lease.
type leaseHarness struct {
	*harness
	lease     Lease
	opened    int
	decisions []string
	expiries  int
}

// newLeaseHarness creates a core with one server, and a lease that expires after 5 s and isn't in use yet.
func newLeaseHarness(t *testing.T) *leaseHarness {
	t.Helper()
	harness := &leaseHarness{harness: newHarness(t, time.Unix(1e9, 0), 1, 1)}
	class := choice.Class{SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}
	withBase, without := class, class
	withBase.Name, without.Name = "a", "b"
	harness.create(Options{Seed: 1, Settings: choice.Settings{
		Nodes: 1, Classes: []choice.Class{withBase, without},
		Limits: choice.Limits{MaxAttempts: 3},
	}})
	harness.core.Start(serversNamed("h"))
	harness.lease = Lease{
		PolicyNumber: 7, HasDocument: true, Expires: harness.now.Add(5 * time.Second), RetryAfter: time.Second,
		BasePolicy: func(class int) bool { return class == 0 },
		OnExpiry:   func() { harness.expiries++ },
		OnDecision: func(id choice.RequestID, number uint64, admission string) {
			harness.decisions = append(harness.decisions, fmt.Sprint(id, number, admission))
		},
	}
	return harness
}

// open opens a request of a class and runs the core. openAt is the server of a connection that was open before the
// start; empty: the request is new.
func (h *leaseHarness) open(class int, openAt choice.ServerID) (*idleClient, *Request) {
	h.opened++
	client := &idleClient{}
	spec := Spec{
		ID: choice.RequestID(fmt.Sprint("q", h.opened)), Class: class, Tenant: -1,
		Deadline: h.now.Add(10 * time.Second),
		OpenAt:   openAt,
	}
	request := h.core.Open(spec, client)
	h.core.Flush()
	h.run(h.now.Add(time.Millisecond))
	return client, request
}

// TestLeaseIsCheckedAtArrival checks that the core reads the clock to decide which arriving requests it admits under a
// lease. A process that was suspended until after the lease's expiry must not admit the waiting requests under it.
func TestLeaseIsCheckedAtArrival(t *testing.T) {
	harness := newLeaseHarness(t)
	core := harness.core
	core.UseLease(harness.lease)
	client, request := harness.open(1, "")
	if client.reply != nil || request.Deadline.After(harness.now.Add(4*time.Second)) || harness.expiries != 0 {
		t.Errorf("under a lease: got reply %+v, deadline in %v, %d expiries; want no reply, at most 4 s, and 0",
			client.reply, request.Deadline.Sub(harness.now), harness.expiries)
	}
	harness.now = harness.now.Add(30 * time.Second) // the process was suspended: no timer has run
	client, _ = harness.open(1, "")
	if client.tried || client.reply == nil || !client.reply.Rejected ||
		client.reply.RetryAfter < time.Second/2 || client.reply.RetryAfter > 3*time.Second/2 {
		t.Errorf("after the lease: got reply %+v, want a rejection without an attempt, to retry in 0.5 to 1.5 s",
			client.reply)
	}
	if client, _ := harness.open(0, ""); client.reply != nil {
		t.Errorf("class with a base policy after the lease: got reply %+v, want none", client.reply)
	}
	if client, _ := harness.open(1, "h"); client.reply != nil {
		t.Errorf("connection that was open before the start: got reply %+v, want none", client.reply)
	}
	if harness.expiries != 1 {
		t.Errorf("OnExpiry: got %d calls, want 1", harness.expiries)
	}
	core.UseLease(harness.lease) // the same lease again
	harness.open(0, "")
	if harness.expiries != 1 {
		t.Errorf("OnExpiry after the same lease again: got %d calls, want 1", harness.expiries)
	}
	harness.lease.Expires, harness.lease.HasDocument = harness.now.Add(5*time.Second), false
	core.UseLease(harness.lease)
	if client, _ := harness.open(1, ""); client.reply == nil {
		t.Error("request under a policy whose document the node doesn't have: got no reply, want one")
	}
	harness.lease.HasDocument, harness.lease.PolicyNumber = true, 8
	core.UseLease(harness.lease)
	if client, _ := harness.open(1, ""); client.reply != nil {
		t.Errorf("under a new lease: got reply %+v, want none", client.reply)
	}
	if got, want := fmt.Sprint(harness.decisions),
		"[q17lease q27none q37ground q57ground q67none q78lease]"; got != want {
		t.Errorf("decisions: got %s, want %s", got, want)
	}
}
