package soak

import (
	"testing"
	"time"
)

// inFlight is the reply of an attempt that doesn't end.
const inFlight = "in flight"

// history is a checker with one node, two servers in two zones, and a request of a class.
type history struct {
	checker *Checker
	servers []*server
	request *request
}

func newHistory(class int) *history {
	run := &harness{checker: newChecker(), discovery: newDiscovery(nil)}
	run.discovery.behave(unavailable) // what nodes are notified of is what the test says
	served := newNode(run, 0)
	made := &history{checker: run.checker, request: &request{
		id: "q", class: &classes[class], node: served, sentAt: time.Now(), deadline: time.Now().Add(time.Second),
	}}
	for _, id := range []string{"h0", "h1"} {
		made.servers = append(made.servers, &server{id: id, zone: id, checker: run.checker, state: stateServing})
	}
	made.checker.requestSent(made.request)
	return made
}

// attempt has the request come to a server, so long ago, and end there with a reply.
func (h *history) attempt(server int, ago time.Duration, reply string) {
	started := h.checker.attemptStarted(h.servers[server])
	started.firstByte = started.firstByte.Add(-ago)
	h.checker.attemptReceived("q", started)
	if reply != inFlight {
		h.checker.attemptEnded(started, reply, reply == replyBusy)
	}
}

// repeat has the request come to the first server several times.
func (h *history) repeat(times int) {
	for range times {
		h.attempt(0, 0, replyError)
	}
}

// drain has the first server drain, and the node be notified of that so long ago.
func (h *history) drain(ago time.Duration) {
	h.servers[0].drain()
	h.request.node.draining[h.servers[0]] = time.Now().Add(-ago)
}

// Indices in classes.
const (
	read = iota
	post
	pay
)

// checkerCases are short histories, and the promise that each breaks; empty: none.
var checkerCases = map[string]struct {
	class int
	play  func(h *history)
	want  Promise
}{
	"served": {read, func(h *history) {
		h.attempt(0, 0, replyUp)
		h.checker.requestAnswered(h.request, replyUp)
		h.checker.checkReceipt(h.request, "q@h0")
	}, ""},
	"another server's receipt": {read, func(h *history) {
		h.attempt(0, 0, replyUp)
		h.checker.checkReceipt(h.request, "q@h1")
	}, Receipt},
	"four attempts": {read, func(h *history) { h.repeat(4) }, ""},
	"five attempts": {read, func(h *history) { h.repeat(5) }, Attempts},
	"two at once": {read, func(h *history) {
		h.attempt(0, 0, inFlight)
		h.attempt(1, 0, replyUp)
	}, Attempts},
	"a repeat of what never ran": {pay, func(h *history) {
		h.attempt(0, 0, replyBusy)
		h.attempt(1, 0, replyUp)
	}, ""},
	"a repeat of what may have run": {pay, func(h *history) {
		h.attempt(0, 0, replyError)
		h.attempt(1, 0, replyUp)
	}, Effect},
	"BUSY after what may have run": {pay, func(h *history) {
		h.attempt(0, 0, replyError)
		h.checker.requestAnswered(h.request, replyBusy)
	}, Effect},
	"ERR after what may have run": {pay, func(h *history) {
		h.attempt(0, 0, replyError)
		h.checker.requestAnswered(h.request, replyError)
	}, ""},
	"idempotent by key, another zone": {post, func(h *history) {
		h.attempt(0, 0, replyError)
		h.attempt(1, 0, replyUp)
	}, Effect},
	"idempotent by key, the same zone": {post, func(h *history) {
		h.attempt(0, 0, replyError)
		h.attempt(0, 0, replyUp)
	}, ""},
	"idempotent by key, past the window": {post, func(h *history) {
		h.attempt(0, 3*time.Second, replyError)
		h.attempt(0, 0, replyUp)
	}, Effect},
	"late": {read, func(h *history) {
		h.request.deadline = time.Now().Add(-answerSlack - time.Millisecond)
		h.checker.requestAnswered(h.request, replyBusy)
	}, Answer},
	"after its client left": {read, func(h *history) {
		h.checker.clientGone(h.request)
		h.request.clientGone = h.request.clientGone.Add(-time.Second)
		h.attempt(0, 0, replyUp)
	}, Gone},
	"before its client left": {read, func(h *history) {
		h.checker.clientGone(h.request)
		h.attempt(0, time.Millisecond, replyUp)
	}, ""},
	"after its answer": {read, func(h *history) {
		h.checker.requestAnswered(h.request, replyBusy)
		h.request.answeredAt = h.request.answeredAt.Add(-time.Second)
		h.attempt(0, 0, replyUp)
	}, Attempts},
	"a draining server": {read, func(h *history) {
		h.drain(drainGrace + drainSlack + time.Second)
		h.attempt(0, 0, replyUp)
	}, Drain},
	"a draining server in its grace": {read, func(h *history) {
		h.drain(drainGrace / 2)
		h.attempt(0, 0, replyUp)
	}, ""},
}

// TestChecker has each promise broken by a short history, and checks a similar history that breaks none.
func TestChecker(t *testing.T) {
	for name, test := range checkerCases {
		t.Run(name, func(t *testing.T) {
			played := newHistory(test.class)
			test.play(played)
			played.checker.finish()
			found := played.checker.violations
			if test.want == "" && len(found) > 0 {
				t.Errorf("%v; no violation is wanted", found)
			}
			if test.want != "" && (len(found) == 0 || found[0].Promise != test.want) {
				t.Errorf("%v; %s is wanted", found, test.want)
			}
		})
	}
}
