package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"spurwinch/choice"
)

// patient is a core whose clients say that they wait for an hour, and the one host that it has.
func patient(t *testing.T) (*world, *Core) {
	w := &world{t: t, rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1e9, 0)}
	core, err := New(Options{Clock: w, HealthChecker: w, Seed: 1, Settings: choice.Settings{Nodes: 1,
		Classes: []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}}, Limits: choice.Limits{MaxAttempts: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	w.core = core
	core.Start([]ServerEntry{{Server: choice.Server{ID: "h", Size: 1}}})
	return w, core
}

// TestTimersEndWithTheirRequests has many clients that name a patience of an hour be served, refused, or leave at once: nothing of them stays
// behind, or a few clients a second would fill the node's memory.
func TestTimersEndWithTheirRequests(t *testing.T) {
	const requests = 60
	w, core := patient(t)
	for i := range requests {
		a := &asker{}
		r := core.Open(Spec{ID: choice.RequestID(fmt.Sprint("q", i)), Tenant: -1, Deadline: w.now.Add(time.Hour)}, a)
		core.Flush()
		switch i % 3 {
		case 0:
			if r.attempt == nil {
				t.Fatal("no attempt is made")
			}
			r.attempt.Begin()
			r.attempt.Established()
		case 1:
			r.Gone()
		default:
			r.refuse(core.leaving())
		}
		core.Flush()
		w.run(w.now.Add(10 * time.Millisecond))
	}
	left := 0
	for _, e := range w.timers {
		if e.fn != nil {
			left++
		}
	}
	if left > requests/10 {
		t.Errorf("%d timers are left of %d requests that have their answers", left, requests)
	}
}

// TestLeavesInTheSameRound has a client ask and leave before the module has heard of it: it never does, and nothing is to be sent for nobody.
func TestLeavesInTheSameRound(t *testing.T) {
	logged, lines := observer.New(zapcore.ErrorLevel)
	t.Cleanup(zap.ReplaceGlobals(zap.New(logged)))
	_, core := patient(t)
	a := &asker{}
	core.Open(Spec{ID: "q", Tenant: -1, Deadline: core.o.Clock.Now().Add(time.Second)}, a).Gone()
	core.Flush()
	if a.tried || core.InFlight() > 0 || lines.Len() > 0 {
		t.Errorf("tried %v, held %d, logged %v", a.tried, core.InFlight(), lines.All())
	}
}
