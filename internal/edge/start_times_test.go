package edge

import (
	"testing"
	"time"

	"spurwinch/choice"
)

const warmUp = 10 * time.Second

// newSteppedHarness creates a core whose process started with a wall clock that is ahead of all other clocks. Its
// endpoint list has one server, which started long ago.
func newSteppedHarness(t *testing.T, ahead time.Duration) *harness {
	t.Helper()
	harness := newHarness(t, time.Unix(1e9, 0).Add(ahead), 1, 1)
	harness.create(Options{Seed: 1, Settings: choice.Settings{
		Nodes:   1,
		Classes: []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}},
		Limits:  choice.Limits{MaxAttempts: 3},
		Rules:   choice.Rules{SlowStartFraction: 0.2, WarmUp: warmUp, OverloadMultiple: 4, OverloadTime: time.Second},
	}})
	harness.startList(serversNamed("old"))
	return harness
}

// startList starts the core with a first full list.
func (h *harness) startList(list []ServerEntry) {
	h.core.Start(nil)
	h.core.UpdateServers(choice.ListFull, list)
	h.core.Flush()
}

// startedAt returns a server that started at the given time, by the clock of the endpoint list.
func startedAt(id choice.ServerID, at time.Time) ServerEntry {
	return ServerEntry{Server: choice.Server{ID: id, Size: 1, Started: time.Duration(at.UnixNano())}}
}

// slowStart reports whether the balancer has a server in slow start.
func (h *harness) slowStart(id choice.ServerID) bool {
	_, slowStart := h.core.balancer.SlowStartRate(id)
	return slowStart
}

// TestSlowStartUnderSteppedClock checks the slow start of servers that start while a node with a wrong wall clock runs.
// Such a node, too, must keep a server in slow start while it warms up, and at most two seconds longer.
func TestSlowStartUnderSteppedClock(t *testing.T) {
	for _, ahead := range []time.Duration{
		0, time.Hour, -time.Hour, time.Minute, -time.Minute, 15 * time.Second, -5 * time.Second,
	} {
		harness := newSteppedHarness(t, ahead)
		start := func(id choice.ServerID) {
			begin := harness.now.Add(-ahead)
			harness.run(harness.now.Add(time.Second))
			harness.core.UpdateServers(choice.ListChange, []ServerEntry{startedAt(id, begin)})
			harness.core.Flush()
		}
		harness.run(harness.now.Add(20 * time.Second))
		harness.core.UpdateServers(choice.ListChange, nil) // a watch that ended without an update
		start("new")
		if !harness.slowStart("new") {
			t.Errorf("%v ahead: server that started a second ago: got no slow start, want slow start", ahead)
		}
		harness.run(harness.now.Add(warmUp / 2))
		start("newer")
		if !harness.slowStart("new") || !harness.slowStart("newer") || harness.slowStart("old") {
			t.Errorf("%v ahead: slow start: got new %v, newer %v, old %v; want true, true, false",
				ahead, harness.slowStart("new"), harness.slowStart("newer"), harness.slowStart("old"))
		}
		harness.run(harness.now.Add(warmUp + 2*time.Second))
		if harness.slowStart("new") || harness.slowStart("newer") {
			t.Errorf("%v ahead: slow start over 2 s after the warm-up: got new %v, newer %v; want false, false",
				ahead, harness.slowStart("new"), harness.slowStart("newer"))
		}
	}
}

// TestReturningServerIsWarm checks that a server that leaves the list and returns with the same start time does not
// count as restarted.
func TestReturningServerIsWarm(t *testing.T) {
	harness := newSteppedHarness(t, 0)
	harness.run(harness.now.Add(20 * time.Second))
	back := startedAt("back", harness.now)
	harness.run(harness.now.Add(time.Second))
	harness.core.UpdateServers(choice.ListChange, []ServerEntry{back})
	harness.run(harness.now.Add(2 * warmUp))
	gone := back
	gone.State = choice.Gone
	harness.core.UpdateServers(choice.ListChange, []ServerEntry{gone})
	harness.run(harness.now.Add(time.Second))
	harness.core.UpdateServers(choice.ListChange, []ServerEntry{back})
	harness.core.Flush()
	if harness.slowStart("back") {
		t.Error("server that returned with the same start time: got slow start, want none")
	}
}

// TestServersOfNewListSourceAreWarm checks that a node that switches to another discovery service takes the start times
// of its servers as they are. Servers that started long ago are warm, since they must not correct the clock offset.
func TestServersOfNewListSourceAreWarm(t *testing.T) {
	harness := newSteppedHarness(t, 0)
	harness.run(harness.now.Add(time.Minute))
	harness.core.UpdateServers(choice.ListChange, nil)
	harness.core.ListSourceChanged()
	harness.core.UpdateServers(choice.ListFull, []ServerEntry{startedAt("other", harness.now.Add(-30*time.Second))})
	harness.core.Flush()
	if harness.slowStart("other") {
		t.Error("server of another list that started 30 s ago: got slow start, want none")
	}
}

// TestLaterStartCorrectsStartTimes checks that a later server start corrects earlier start times. The process starts
// with a wall clock that is ahead, so a server of its first list that is in slow start seems warm. The first report of
// another start reveals the clock's offset, and so the age of the first server.
func TestLaterStartCorrectsStartTimes(t *testing.T) {
	const ahead = time.Hour
	harness := newSteppedHarness(t, ahead)
	actualTime := func() time.Time { return harness.now.Add(-ahead) }
	first := startedAt("cold", actualTime().Add(-time.Second))
	harness.timers = nil
	harness.create(harness.core.options) // a new process at the current time
	harness.startList([]ServerEntry{first})
	harness.run(harness.now.Add(time.Second))
	harness.core.UpdateServers(choice.ListChange, []ServerEntry{startedAt("new", actualTime().Add(-time.Second))})
	harness.core.Flush()
	for _, id := range []choice.ServerID{"cold", "new"} {
		if !harness.slowStart(id) {
			t.Errorf("%s: got no slow start, want slow start", id)
		}
	}
	harness.run(harness.now.Add(warmUp + 2*time.Second))
	for _, id := range []choice.ServerID{"cold", "new"} {
		if harness.slowStart(id) {
			t.Errorf("%s over 2 s after the warm-up: got slow start, want none", id)
		}
	}
}
