package edge

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"spurwinch/choice"
)

// patientWorld is a core of one server, for clients that say that they wait for an hour.
func patientWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld(t, time.Unix(1e9, 0), 1, 1)
	w.create(Options{Seed: 1, Settings: choice.Settings{
		Nodes:   1,
		Classes: []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}},
		Limits:  choice.Limits{MaxAttempts: 3},
	}})
	w.core.Start(serversNamed("h"))
	return w
}

// TestTimersEndWithTheirRequests has many clients that name a patience of an hour be served, rejected, or leave at
// once: nothing of them stays behind, or a few clients a second would fill the node's memory.
func TestTimersEndWithTheirRequests(t *testing.T) {
	const requests = 60
	world := patientWorld(t)
	core := world.core
	for i := range requests {
		spec := Spec{ID: choice.RequestID(fmt.Sprint("q", i)), Tenant: -1, Deadline: world.now.Add(time.Hour)}
		request := core.Open(spec, &idleClient{})
		core.Flush()
		switch i % 3 {
		case 0:
			if request.attempt == nil {
				t.Fatalf("request %d has no attempt, want one", i)
			}
			request.attempt.Begin()
			request.attempt.Established()
		case 1:
			request.ClientGone()
		default:
			request.rejectNow(core.shuttingDownReply())
		}
		core.Flush()
		world.run(world.now.Add(10 * time.Millisecond))
	}
	running := 0
	for _, timer := range world.timers {
		if timer.fn != nil {
			running++
		}
	}
	if running > requests/10 {
		t.Errorf("%d timers run on after %d requests that have their answers, want %d at most",
			running, requests, requests/10)
	}
}

// TestClientGoneBeforeFlush has a client ask and go before the balancer is notified: it never is, and nothing is to be
// sent for nobody.
func TestClientGoneBeforeFlush(t *testing.T) {
	logged, lines := observer.New(zapcore.ErrorLevel)
	t.Cleanup(zap.ReplaceGlobals(zap.New(logged)))
	world := patientWorld(t)
	core := world.core
	client := &idleClient{}
	core.Open(Spec{ID: "q", Tenant: -1, Deadline: world.now.Add(time.Second)}, client).ClientGone()
	core.Flush()
	if client.tried || core.InFlight() > 0 || lines.Len() > 0 {
		t.Errorf("tried %v, %d in flight, logged %v; want false, 0 and nothing",
			client.tried, core.InFlight(), lines.All())
	}
}
