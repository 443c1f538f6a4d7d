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

// newOneServerHarness creates a core with one server.
func newOneServerHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, time.Unix(1e9, 0), 1, 1)
	h.create(Options{Seed: 1, Settings: choice.Settings{
		Nodes:   1,
		Classes: []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}},
		Limits:  choice.Limits{MaxAttempts: 3},
	}})
	h.core.Start(serversNamed("h"))
	return h
}

// TestTimersStopWithTheirRequests checks that the timers of a request with a deadline of an hour stop at once when its
// client is served, is rejected or leaves. Otherwise a few clients per second would fill the node's memory.
func TestTimersStopWithTheirRequests(t *testing.T) {
	const requests = 60
	harness := newOneServerHarness(t)
	core := harness.core
	for i := range requests {
		spec := Spec{ID: choice.RequestID(fmt.Sprint("q", i)), Tenant: -1, Deadline: harness.now.Add(time.Hour)}
		request := core.Open(spec, &idleClient{})
		core.Flush()
		switch i % 3 {
		case 0:
			if request.attempt == nil {
				t.Fatalf("request %d: got no attempt, want one", i)
			}
			request.attempt.Begin()
			request.attempt.Established()
		case 1:
			request.ClientGone()
		default:
			request.rejectNow(core.shuttingDownReply())
		}
		core.Flush()
		harness.run(harness.now.Add(10 * time.Millisecond))
	}
	running := 0
	for _, timer := range harness.timers {
		if timer.fn != nil {
			running++
		}
	}
	if running > requests/10 {
		t.Errorf("got %d running timers after %d answered requests, want at most %d",
			running, requests, requests/10)
	}
}

// TestClientGoneBeforeFlush checks that the balancer is never notified of a request whose client leaves before the next
// flush, and that the core sends nothing for it.
func TestClientGoneBeforeFlush(t *testing.T) {
	logged, lines := observer.New(zapcore.ErrorLevel)
	t.Cleanup(zap.ReplaceGlobals(zap.New(logged)))
	harness := newOneServerHarness(t)
	core := harness.core
	client := &idleClient{}
	core.Open(Spec{ID: "q", Tenant: -1, Deadline: harness.now.Add(time.Second)}, client).ClientGone()
	core.Flush()
	if client.tried || core.InFlight() > 0 || lines.Len() > 0 {
		t.Errorf("got tried %v, %d in flight, logged %v; want false, 0 and no error",
			client.tried, core.InFlight(), lines.All())
	}
}
