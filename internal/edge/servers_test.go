package edge

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/choice"
)

// TestServersFollowEndpointList checks that the core follows endpoint lists in which servers change, begin to drain or
// disappear.
func TestServersFollowEndpointList(t *testing.T) {
	core := newHarness(t, time.Unix(1e9, 0), 1, 1).create(Options{Settings: choice.Settings{
		Classes: []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second}},
		Limits:  choice.Limits{MaxAttempts: 3},
	}})
	core.Start(serversNamed("a", "b", "c"))
	changed := serversNamed("a", "b")
	changed[0].Addr = "127.0.0.1:1"
	changed[0].Started = time.Second
	changed[1].State = choice.Draining
	core.UpdateServers(choice.ListChange, changed)
	for id, want := range map[choice.ServerID]bool{"a": true, "b": false, "c": true, "unknown": false} {
		started := time.Duration(0)
		if id == "a" {
			started = time.Second
		}
		if got := core.AcceptsNew(id, started); got != want {
			t.Errorf("AcceptsNew of %s: got %v, want %v", id, got, want)
		}
	}
	if core.AcceptsNew("a", 0) {
		t.Error("AcceptsNew of a server that has restarted since: got true, want false")
	}
	core.UpdateServers(choice.ListFull, changed)
	got := ""
	for _, server := range core.Servers() {
		got += fmt.Sprintf("%s %s %d;", server.ID, server.Addr, server.State)
	}
	if want := "a 127.0.0.1:1 0;b  1;"; got != want {
		t.Errorf("Servers after a full list without c: got %q, want %q", got, want)
	}
}

// TestDrainingServerLosesAttemptsAndConnections checks that an attempt in flight is cancelled and an open connection is
// migrated before the grace of their draining server is over.
func TestDrainingServerLosesAttemptsAndConnections(t *testing.T) {
	const grace = 10 * time.Second
	harness := newHarness(t, time.Unix(1e9, 0), 1, 1)
	core := harness.create(Options{DrainPeriod: 4 * time.Second, Settings: choice.Settings{
		Classes: []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: time.Minute, Priority: 1}},
		Limits:  choice.Limits{MaxAttempts: 3, Cancellation: true},
		Rules:   choice.Rules{DrainGrace: grace},
	}})
	core.Start(serversNamed("s"))
	open := &openClient{harness: harness}
	core.Open(Spec{ID: "open", Tenant: -1, OpenAt: "s", Deadline: harness.now.Add(time.Minute)}, open)
	waiting := &silentClient{harness: harness, written: true}
	request := core.Open(Spec{ID: "waiting", Tenant: -1, Deadline: harness.now.Add(time.Minute)}, waiting)
	request.startAttempt("s", request.Deadline, 0)
	attempt := request.attempt
	harness.run(harness.now.Add(time.Second))
	if core.InFlightOn("s") != 2 || core.InFlightOn("unknown") != 0 {
		t.Fatalf("InFlightOn: got %d at server s, want 2, and 0 at an unknown server", core.InFlightOn("s"))
	}
	from := harness.now
	draining := serversNamed("s")
	draining[0].State = choice.Draining
	core.UpdateServers(choice.ListChange, draining)
	harness.run(from.Add(grace*cancelAtGraceTenths/10 - time.Millisecond))
	if attempt.ended || open.migratedAt.Before(from) || open.migratedAt.After(from.Add(4*time.Second)) {
		t.Errorf("before the cancellation: got attempt ended %v, connection migrated after %v; want false, within 4 s",
			attempt.ended, open.migratedAt.Sub(from))
	}
	harness.run(from.Add(grace * cancelAtGraceTenths / 10))
	if !attempt.ended || core.InFlightOn("s") != 0 {
		t.Errorf("before the grace is over: got attempt ended %v with %d in flight, want true and 0",
			attempt.ended, core.InFlightOn("s"))
	}
}
