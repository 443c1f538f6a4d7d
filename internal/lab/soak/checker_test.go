package soak

import (
	"testing"
	"time"
)

// inFlight takes the place of the reply for an attempt that never ends.
const inFlight = "in flight"

// history is a sequence of events that the checker records: one request to one node, and its attempts at two servers in
// two zones.
type history struct {
	checker *Checker
	servers []*server
	request *request
}

// newHistory returns a history whose request has the class with the given index in classes.
func newHistory(class int) *history {
	run := &harness{checker: newChecker(), discovery: newDiscovery(nil)}
	run.discovery.setBehavior(unavailable) // only the test notifies the node of drains
	served := newNode(run, 0)
	created := &history{checker: run.checker, request: &request{
		id: "q", class: &classes[class], node: served, sentAt: time.Now(), deadline: time.Now().Add(time.Second),
	}}
	for _, id := range []string{"h0", "h1"} {
		created.servers = append(created.servers, &server{id: id, zone: id, checker: run.checker, state: stateServing})
	}
	created.checker.requestSent(created.request)
	return created
}

// attempt records an attempt at a server with the given age. The attempt ends with the reply, unless the reply is
// inFlight.
func (h *history) attempt(server int, age time.Duration, reply string) {
	started := h.checker.attemptStarted(h.servers[server])
	started.firstByte = started.firstByte.Add(-age)
	h.checker.attemptReceived("q", started)
	if reply != inFlight {
		h.checker.attemptEnded(started, reply, reply == replyBusy)
	}
}

// repeat records several attempts at the first server, each of which ends with ERR.
func (h *history) repeat(times int) {
	for range times {
		h.attempt(0, 0, replyError)
	}
}

// drain makes the first server drain, and records that the node was notified of it the given time ago.
func (h *history) drain(age time.Duration) {
	h.servers[0].drain()
	h.request.node.draining[h.servers[0]] = time.Now().Add(-age)
}

// Indices in classes.
const (
	read = iota
	post
	pay
)

// checkerCases are short histories. Each breaks the promise in want, or no promise if want is empty.
var checkerCases = map[string]struct {
	class int
	play  func(h *history)
	want  Promise
}{
	"request served with the receipt of its server": {read, func(h *history) {
		h.attempt(0, 0, replyUp)
		h.checker.requestAnswered(h.request, replyUp)
		h.checker.checkReceipt(h.request, "q@h0")
	}, ""},
	"receipt of another server": {read, func(h *history) {
		h.attempt(0, 0, replyUp)
		h.checker.checkReceipt(h.request, "q@h1")
	}, Receipt},
	"four attempts": {read, func(h *history) { h.repeat(4) }, ""},
	"five attempts": {read, func(h *history) { h.repeat(5) }, Attempts},
	"two attempts at once": {read, func(h *history) {
		h.attempt(0, 0, inFlight)
		h.attempt(1, 0, replyUp)
	}, Attempts},
	"repeat after a reply that the request never ran": {pay, func(h *history) {
		h.attempt(0, 0, replyBusy)
		h.attempt(1, 0, replyUp)
	}, ""},
	"repeat of a request that may have run": {pay, func(h *history) {
		h.attempt(0, 0, replyError)
		h.attempt(1, 0, replyUp)
	}, RepeatSafety},
	"BUSY after an attempt that may have run": {pay, func(h *history) {
		h.attempt(0, 0, replyError)
		h.checker.requestAnswered(h.request, replyBusy)
	}, RepeatSafety},
	"ERR after an attempt that may have run": {pay, func(h *history) {
		h.attempt(0, 0, replyError)
		h.checker.requestAnswered(h.request, replyError)
	}, ""},
	"repeat of a request idempotent by key, in another zone": {post, func(h *history) {
		h.attempt(0, 0, replyError)
		h.attempt(1, 0, replyUp)
	}, RepeatSafety},
	"repeat of a request idempotent by key, in the same zone": {post, func(h *history) {
		h.attempt(0, 0, replyError)
		h.attempt(0, 0, replyUp)
	}, ""},
	"repeat of a request idempotent by key, after the idempotency window": {post, func(h *history) {
		h.attempt(0, 3*time.Second, replyError)
		h.attempt(0, 0, replyUp)
	}, RepeatSafety},
	"answer after the deadline": {read, func(h *history) {
		h.request.deadline = time.Now().Add(-answerSlack - time.Millisecond)
		h.checker.requestAnswered(h.request, replyBusy)
	}, Answer},
	"attempt after its client left": {read, func(h *history) {
		h.checker.clientGone(h.request)
		h.request.clientGone = h.request.clientGone.Add(-time.Second)
		h.attempt(0, 0, replyUp)
	}, ClientGone},
	"attempt before its client left": {read, func(h *history) {
		h.checker.clientGone(h.request)
		h.attempt(0, time.Millisecond, replyUp)
	}, ""},
	"attempt after its answer": {read, func(h *history) {
		h.checker.requestAnswered(h.request, replyBusy)
		h.request.answeredAt = h.request.answeredAt.Add(-time.Second)
		h.attempt(0, 0, replyUp)
	}, Attempts},
	"attempt after the grace time of a draining server": {read, func(h *history) {
		h.drain(drainGrace + drainSlack + time.Second)
		h.attempt(0, 0, replyUp)
	}, Drain},
	"attempt at a draining server within the grace time": {read, func(h *history) {
		h.drain(drainGrace / 2)
		h.attempt(0, 0, replyUp)
	}, ""},
}

// TestCheckerFindsBrokenPromises checks that the checker finds the broken promise of each short history, and that it
// finds none in a similar history that is allowed.
func TestCheckerFindsBrokenPromises(t *testing.T) {
	for name, test := range checkerCases {
		t.Run(name, func(t *testing.T) {
			run := newHistory(test.class)
			test.play(run)
			run.checker.finish()
			found := run.checker.violations
			if test.want == "" && len(found) > 0 {
				t.Errorf("violations: got %v, want none", found)
			}
			if test.want != "" && (len(found) == 0 || found[0].Promise != test.want) {
				t.Errorf("violations: got %v, want the first to break %s", found, test.want)
			}
		})
	}
}
