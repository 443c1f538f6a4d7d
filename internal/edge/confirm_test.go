package edge

import (
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/trace"
)

// newAskingHarness creates a core that asks another process about each id. The result's answer is the function that
// gives the answer to the last question.
func newAskingHarness(t *testing.T) (h *harness, answer func(inUse bool)) {
	t.Helper()
	var last func(bool)
	h = newHarness(t, time.Unix(1_800_000_000, 0), 1, 1)
	h.create(Options{
		Settings: choice.Settings{
			Classes: []choice.Class{{Name: "a", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}},
			Limits:  choice.Limits{MaxAttempts: 4, Cancellation: true, ConnectTimeout: time.Second},
		},
		AskOtherProcesses: func(_ choice.RequestID, done func(bool)) bool {
			last = done
			return true
		},
	})
	h.core.Start(serversNamed("s"))
	return h, func(inUse bool) {
		last(inUse)
		h.core.Flush()
		h.run(h.now.Add(10 * time.Millisecond))
	}
}

// openRequest opens a request with the id "1".
func openRequest(h *harness) (*Request, *silentClient) {
	client := &silentClient{harness: h, written: true}
	request := h.core.Open(Spec{ID: "1", Tenant: -1, Deadline: h.now.Add(4 * time.Second)}, client)
	h.core.Flush()
	h.run(h.now.Add(10 * time.Millisecond))
	return request, client
}

// TestRequestWaitsForOtherProcesses checks that a request is placed only after the other processes have answered that
// none has its id, and that it fails otherwise.
func TestRequestWaitsForOtherProcesses(t *testing.T) {
	for _, inUse := range []bool{false, true} {
		harness, answer := newAskingHarness(t)
		_, client := openRequest(harness)
		unconfirmed, confirmed := harness.core.HasRequest("1", true), harness.core.HasRequest("1", false)
		if client.attempts > 0 || client.reply != nil || !unconfirmed || confirmed {
			t.Errorf("before the answer: got %d attempts, reply %v, HasRequest %v and %v, want 0, nil, true, false",
				client.attempts, client.reply, unconfirmed, confirmed)
		}
		answer(inUse)
		failed := client.reply != nil && !client.reply.Rejected && client.reply.Reason == trace.IDInUse
		placed := client.attempts == 1
		if placed == inUse || failed != inUse || harness.core.HasRequest("1", false) == inUse {
			t.Errorf("request, id in use %v: got %d attempts and reply %+v", inUse, client.attempts, client.reply)
		}
	}
}

// TestUnconfirmedRequestEnds checks requests that end before the other processes have answered: by their client, their
// deadline, a planned shutdown, and a transferred connection with their id. A later answer changes nothing.
func TestUnconfirmedRequestEnds(t *testing.T) {
	for name, test := range map[string]struct {
		end       func(h *harness, request *Request)
		wantReply bool
		rejected  bool
		inFlight  int
	}{
		"client leaves": {func(_ *harness, request *Request) { request.ClientGone() }, false, false, 0},
		"deadline":      {func(h *harness, _ *Request) { h.run(h.now.Add(5 * time.Second)) }, true, true, 0},
		"shutdown": {func(h *harness, _ *Request) {
			h.core.Drain(func() {})
			h.run(h.now.Add(3500 * time.Millisecond))
		}, true, true, 0},
		"second request with the id": {func(h *harness, _ *Request) { openRequest(h) }, false, false, 1},
		"transferred connection with the id": {func(h *harness, _ *Request) {
			state := ConnectionState{ID: "1", Class: choice.Class{Name: "a"}, Server: choice.Server{ID: "s"}}
			h.core.Adopt(state, &silentClient{harness: h})
		}, true, false, 1},
	} {
		harness, answer := newAskingHarness(t)
		request, client := openRequest(harness)
		test.end(harness, request)
		harness.core.Flush()
		if (client.reply != nil) != test.wantReply || test.wantReply && client.reply.Rejected != test.rejected {
			t.Errorf("%s: got reply %+v, want one %v, rejected %v", name, client.reply, test.wantReply, test.rejected)
		}
		if got := harness.core.InFlight(); got != test.inFlight {
			t.Errorf("%s: got %d requests in flight, want %d", name, got, test.inFlight)
		}
		if test.inFlight > 0 && !test.wantReply {
			continue // the request still waits
		}
		answer(false)
		if client.attempts > 0 {
			t.Errorf("%s: got %d attempts after a later answer, want none", name, client.attempts)
		}
	}
}
