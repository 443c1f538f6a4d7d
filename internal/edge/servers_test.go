package edge

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/choice"
)

// TestServersFollowTheList has servers change, drain and go from the endpoint list: the core has them as the list has
// them last.
func TestServersFollowTheList(t *testing.T) {
	core := newWorld(t, time.Unix(1e9, 0), 1, 1).create(Options{Settings: choice.Settings{
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
			t.Errorf("AcceptsNew of %s is %v, want %v", id, got, want)
		}
	}
	if core.AcceptsNew("a", 0) {
		t.Error("AcceptsNew of a server that has started anew since is true, want false")
	}
	core.UpdateServers(choice.ListFull, changed)
	got := ""
	for _, server := range core.Servers() {
		got += fmt.Sprintf("%s %s %d;", server.ID, server.Addr, server.State)
	}
	if want := "a 127.0.0.1:1 0;b  1;"; got != want {
		t.Errorf("Servers are %q after a full list without c, want %q", got, want)
	}
}

// TestDrainingServerIsEmptied has a server begin to drain that has an attempt out and an open connection: the attempt
// is cancelled and the connection migrated before the server's grace is over.
func TestDrainingServerIsEmptied(t *testing.T) {
	const grace = 10 * time.Second
	world := newWorld(t, time.Unix(1e9, 0), 1, 1)
	core := world.create(Options{DrainPeriod: 4 * time.Second, Settings: choice.Settings{
		Classes: []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: time.Minute, Priority: 1}},
		Limits:  choice.Limits{MaxAttempts: 3, Cancellation: true},
		Rules:   choice.Rules{DrainGrace: grace},
	}})
	core.Start(serversNamed("s"))
	open := &openClient{world: world}
	core.Open(Spec{ID: "open", Tenant: -1, OpenAt: "s", Deadline: world.now.Add(time.Minute)}, open)
	waiting := &silentClient{world: world, written: true}
	request := core.Open(Spec{ID: "waiting", Tenant: -1, Deadline: world.now.Add(time.Minute)}, waiting)
	request.startAttempt("s", request.Deadline, 0)
	attempt := request.attempt
	world.run(world.now.Add(time.Second))
	if core.InFlightOn("s") != 2 || core.InFlightOn("unknown") != 0 {
		t.Fatalf("%d in flight at the server, want 2", core.InFlightOn("s"))
	}
	from := world.now
	draining := serversNamed("s")
	draining[0].State = choice.Draining
	core.UpdateServers(choice.ListChange, draining)
	world.run(from.Add(grace*cancelAtGraceTenths/10 - time.Millisecond))
	if attempt.ended || open.migratedAt.Before(from) || open.migratedAt.After(from.Add(4*time.Second)) {
		t.Errorf("attempt ended %v, connection migrated after %v; want false and within 4 s",
			attempt.ended, open.migratedAt.Sub(from))
	}
	world.run(from.Add(grace * cancelAtGraceTenths / 10))
	if !attempt.ended || core.InFlightOn("s") != 0 {
		t.Errorf("attempt ended %v with %d in flight before the grace is over, want true and 0",
			attempt.ended, core.InFlightOn("s"))
	}
}
