package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"spurwinch/choice"
)

const warmUp = 10 * time.Second

// steppedCore is a core whose process has started on a clock that is so far ahead of everybody else's. Its discovery tells of one host that
// has been there for long.
func steppedCore(t *testing.T, ahead time.Duration) (*world, *Core) {
	w := &world{t: t, rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1e9, 0).Add(ahead)}
	core, err := New(Options{Clock: w, HealthChecker: w, Seed: 1, Settings: choice.Settings{Nodes: 1,
		Classes: []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}}, Limits: choice.Limits{MaxAttempts: 3},
		Rules: choice.Rules{SlowStartFraction: 0.2, WarmUp: warmUp, OverloadMultiple: 4, OverloadTime: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	w.core = core
	core.Start(nil)
	core.UpdateServers(choice.ListFull, []ServerEntry{{Server: choice.Server{ID: "old", Size: 1}}})
	core.Flush()
	return w, core
}

// TestSteppedClock has a host start while a node runs whose wall clock is off: for this node, too, it is cold for as long as it warms up, and no
// more than two seconds longer.
func TestSteppedClock(t *testing.T) {
	for _, ahead := range []time.Duration{0, time.Hour, -time.Hour, time.Minute, -time.Minute, 15 * time.Second, -5 * time.Second} {
		w, core := steppedCore(t, ahead)
		cold := func(id choice.ServerID) bool {
			_, cold := core.balancer.SlowStartRate(id)
			return cold
		}
		starts := func(id choice.ServerID) {
			begun := w.now.Add(-ahead) // by everybody else's clock
			w.run(w.now.Add(time.Second))
			core.UpdateServers(choice.ListChange, []ServerEntry{{Server: choice.Server{ID: id, Size: 1, Started: time.Duration(begun.UnixNano())}}})
			core.Flush()
		}
		w.run(w.now.Add(20 * time.Second))
		core.UpdateServers(choice.ListChange, nil) // a watch that has ended without news
		starts("new")
		if !cold("new") {
			t.Errorf("%v ahead: a host that started a second ago counts as warm", ahead)
		}
		w.run(w.now.Add(warmUp / 2))
		starts("newer")
		if !cold("new") || !cold("newer") || cold("old") {
			t.Errorf("%v ahead: cold are new %v, newer %v, old %v", ahead, cold("new"), cold("newer"), cold("old"))
		}
		if w.run(w.now.Add(warmUp + 2*time.Second)); cold("new") || cold("newer") {
			t.Errorf("%v ahead: cold are new %v, newer %v, long after both are warm", ahead, cold("new"), cold("newer"))
		}
	}
}

// TestHostComesBack has a host that started while the node ran go from the list and come back as it was: it has not started anew.
func TestHostComesBack(t *testing.T) {
	w, core := steppedCore(t, 0)
	w.run(w.now.Add(20 * time.Second))
	back := ServerEntry{Server: choice.Server{ID: "back", Size: 1, Started: time.Duration(w.now.UnixNano())}}
	w.run(w.now.Add(time.Second))
	core.UpdateServers(choice.ListChange, []ServerEntry{back})
	w.run(w.now.Add(2 * warmUp))
	gone := back
	gone.State = choice.Gone
	core.UpdateServers(choice.ListChange, []ServerEntry{gone})
	w.run(w.now.Add(time.Second))
	core.UpdateServers(choice.ListChange, []ServerEntry{back})
	core.Flush()
	if _, cold := core.balancer.SlowStartRate("back"); cold {
		t.Error("it counts as cold")
	}
}

// TestAnotherList has a node follow another discovery, whose hosts started long ago: they are warm, and so is the clock.
func TestAnotherList(t *testing.T) {
	w, core := steppedCore(t, 0)
	w.run(w.now.Add(time.Minute))
	core.UpdateServers(choice.ListChange, nil)
	core.ListSourceChanged()
	core.UpdateServers(choice.ListFull, []ServerEntry{{Server: choice.Server{ID: "other", Size: 1, Started: time.Duration(w.now.Add(-30 * time.Second).UnixNano())}}})
	core.Flush()
	if _, cold := core.balancer.SlowStartRate("other"); cold {
		t.Error("it counts as cold")
	}
}

// TestStartsUnderASteppedClock has a process start on a clock that is ahead, with a list that names a cold host, which seems to be warm. The first
// news of another start tells what the clock is worth, and so how old the first host is.
func TestStartsUnderASteppedClock(t *testing.T) {
	const ahead = time.Hour
	w, _ := steppedCore(t, ahead)
	unix := func() time.Duration { return time.Duration(w.now.Add(-ahead).UnixNano()) }
	cold := choice.Server{ID: "cold", Size: 1, Started: unix() - time.Second}
	core := startAgain(t, w, cold)
	w.run(w.now.Add(time.Second))
	core.UpdateServers(choice.ListChange, []ServerEntry{{Server: choice.Server{ID: "new", Size: 1, Started: unix() - time.Second}}})
	core.Flush()
	for _, id := range []choice.ServerID{"cold", "new"} {
		if _, is := core.balancer.SlowStartRate(id); !is {
			t.Errorf("%s counts as warm", id)
		}
	}
	w.run(w.now.Add(warmUp + 2*time.Second))
	for _, id := range []choice.ServerID{"cold", "new"} {
		if _, is := core.balancer.SlowStartRate(id); is {
			t.Errorf("%s counts as cold long after it is warm", id)
		}
	}
}

// startAgain is a core of a new process at the world's present time, whose first list names a host.
func startAgain(t *testing.T, w *world, first choice.Server) *Core {
	core, err := New(w.core.o)
	if err != nil {
		t.Fatal(err)
	}
	w.core, w.timers = core, nil
	core.Start(nil)
	core.UpdateServers(choice.ListFull, []ServerEntry{{Server: first}})
	core.Flush()
	return core
}
