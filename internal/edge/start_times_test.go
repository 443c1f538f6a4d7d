package edge

import (
	"testing"
	"time"

	"spurwinch/choice"
)

const warmUp = 10 * time.Second

// steppedWorld is a core whose process has started on a clock that is so far ahead of everybody else's. Its endpoint
// list names one server that has been there for long.
func steppedWorld(t *testing.T, ahead time.Duration) *world {
	t.Helper()
	world := newWorld(t, time.Unix(1e9, 0).Add(ahead), 1, 1)
	world.create(Options{Seed: 1, Settings: choice.Settings{
		Nodes:   1,
		Classes: []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}},
		Limits:  choice.Limits{MaxAttempts: 3},
		Rules:   choice.Rules{SlowStartFraction: 0.2, WarmUp: warmUp, OverloadMultiple: 4, OverloadTime: time.Second},
	}})
	world.startList(serversNamed("old"))
	return world
}

// startList starts the core with a first full list.
func (w *world) startList(list []ServerEntry) {
	w.core.Start(nil)
	w.core.UpdateServers(choice.ListFull, list)
	w.core.Flush()
}

// startedAt is a server that started at a time, by everybody else's clock.
func startedAt(id choice.ServerID, at time.Time) ServerEntry {
	return ServerEntry{Server: choice.Server{ID: id, Size: 1, Started: time.Duration(at.UnixNano())}}
}

// slowStart reports whether a server is warming up for the balancer.
func (w *world) slowStart(id choice.ServerID) bool {
	_, slowStart := w.core.balancer.SlowStartRate(id)
	return slowStart
}

// TestSteppedClock has a server start while a node runs whose wall clock is off: for this node, too, it is in slow
// start for as long as it warms up, and no more than two seconds longer.
func TestSteppedClock(t *testing.T) {
	for _, ahead := range []time.Duration{
		0, time.Hour, -time.Hour, time.Minute, -time.Minute, 15 * time.Second, -5 * time.Second,
	} {
		world := steppedWorld(t, ahead)
		start := func(id choice.ServerID) {
			begin := world.now.Add(-ahead)
			world.run(world.now.Add(time.Second))
			world.core.UpdateServers(choice.ListChange, []ServerEntry{startedAt(id, begin)})
			world.core.Flush()
		}
		world.run(world.now.Add(20 * time.Second))
		world.core.UpdateServers(choice.ListChange, nil) // a watch that has ended without an update
		start("new")
		if !world.slowStart("new") {
			t.Errorf("%v ahead: a server that started a second ago counts as warm, want slow start", ahead)
		}
		world.run(world.now.Add(warmUp / 2))
		start("newer")
		if !world.slowStart("new") || !world.slowStart("newer") || world.slowStart("old") {
			t.Errorf("%v ahead: slow start of new %v, newer %v, old %v; want true, true, false",
				ahead, world.slowStart("new"), world.slowStart("newer"), world.slowStart("old"))
		}
		world.run(world.now.Add(warmUp + 2*time.Second))
		if world.slowStart("new") || world.slowStart("newer") {
			t.Errorf("%v ahead: slow start of new %v, newer %v long after both are warm, want neither",
				ahead, world.slowStart("new"), world.slowStart("newer"))
		}
	}
}

// TestReturningServerIsWarm has a server that started while the node ran go from the list and come back as it was: it
// has not started anew.
func TestReturningServerIsWarm(t *testing.T) {
	world := steppedWorld(t, 0)
	world.run(world.now.Add(20 * time.Second))
	back := startedAt("back", world.now)
	world.run(world.now.Add(time.Second))
	world.core.UpdateServers(choice.ListChange, []ServerEntry{back})
	world.run(world.now.Add(2 * warmUp))
	gone := back
	gone.State = choice.Gone
	world.core.UpdateServers(choice.ListChange, []ServerEntry{gone})
	world.run(world.now.Add(time.Second))
	world.core.UpdateServers(choice.ListChange, []ServerEntry{back})
	world.core.Flush()
	if world.slowStart("back") {
		t.Error("a server that came back as it was is in slow start, want it warm")
	}
}

// TestListSourceChanged has a node follow another discovery service, whose servers started long ago: they are warm,
// and so is the clock.
func TestListSourceChanged(t *testing.T) {
	world := steppedWorld(t, 0)
	world.run(world.now.Add(time.Minute))
	world.core.UpdateServers(choice.ListChange, nil)
	world.core.ListSourceChanged()
	world.core.UpdateServers(choice.ListFull, []ServerEntry{startedAt("other", world.now.Add(-30*time.Second))})
	world.core.Flush()
	if world.slowStart("other") {
		t.Error("a server of another list that started 30 s ago is in slow start, want it warm")
	}
}

// TestStartsUnderASteppedClock has a process start on a clock that is ahead, with a list that names a server in slow
// start, which seems to be warm. The first report of another start shows what the clock is worth, and so how old the
// first server is.
func TestStartsUnderASteppedClock(t *testing.T) {
	const ahead = time.Hour
	world := steppedWorld(t, ahead)
	unix := func() time.Time { return world.now.Add(-ahead) }
	first := startedAt("cold", unix().Add(-time.Second))
	world.timers = nil
	world.create(world.core.options) // a new process at the present time
	world.startList([]ServerEntry{first})
	world.run(world.now.Add(time.Second))
	world.core.UpdateServers(choice.ListChange, []ServerEntry{startedAt("new", unix().Add(-time.Second))})
	world.core.Flush()
	for _, id := range []choice.ServerID{"cold", "new"} {
		if !world.slowStart(id) {
			t.Errorf("%s counts as warm, want slow start", id)
		}
	}
	world.run(world.now.Add(warmUp + 2*time.Second))
	for _, id := range []choice.ServerID{"cold", "new"} {
		if world.slowStart(id) {
			t.Errorf("%s is in slow start long after it is warm, want it warm", id)
		}
	}
}
