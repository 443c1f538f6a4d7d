// Package discovery watches the endpoint list of the discovery service. It long-polls the service over HTTP/1.1,
// decodes the lists and notifies its owner of them. docs/discovery.md describes the internals.
package discovery

import (
	"fmt"
	"math/rand/v2"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
)

const (
	listPath = "/v1/servers"
	// rngStream is the second half of the seed of a watch's random numbers. The first half is the node's seed.
	rngStream = 2
)

// Watch polls the discovery service for its endpoint list. It waits for one call at a time and reuses one connection.
// Some calls for which it no longer waits are kept, each on its own connection.
type Watch struct {
	loop   *loop.Loop
	addr   string
	notify func(choice.ListKind, []edge.ServerEntry)
	rng    *rand.Rand
	mode   Mode
	timing timing

	version      int64 // of the last list; valid if versionKnown
	versionKnown bool  // version was assigned by the discovery service at addr
	serversSeen  bool  // some list has contained servers

	conn      *loop.Conn  // nil: not connected
	polling   bool        // a call is in flight
	call      call        // the call in flight, or the last call
	late      []*lateCall // calls that are kept after their deadline, oldest first
	stopTimer func()      // stops the timer of the call in flight or of the backoff; nil: no timer

	recovering     bool // the last call failed, timed out or had a response that could not be decoded
	failures       int  // number of backoffs since the last response that could be decoded
	lastUnreadable bool // the last response could not be decoded
}

// call is one HTTP request and its response.
type call struct {
	request    string // written once the connection is established
	reusedConn bool   // sent on a connection on which an earlier call was served
	sent       bool   // written to the connection
	longPoll   bool   // the service may wait for a change before it responds
	response   response
	deadline   time.Time // when the call is abandoned
}

// Mode describes how a node gets its endpoint lists.
type Mode struct {
	// Pushed means that lists are pushed to an agent beside the node, which responds to the node's calls at once.
	// Otherwise the node polls a service that all nodes share.
	Pushed     bool
	DrainGrace time.Duration // time for which a draining server may still get requests
}

// New returns a Watch that starts from a known list, which may be nil. It calls notify on the loop with each new list
// and with choice.ListUnavailable after a failed call to a shared service. Different seeds make nodes poll at different
// times.
func New(
	eventLoop *loop.Loop, addr string, known *List, mode Mode, seed uint64,
	notify func(choice.ListKind, []edge.ServerEntry),
) *Watch {
	watch := &Watch{
		loop:   eventLoop,
		addr:   addr,
		mode:   mode,
		timing: defaultTiming,
		notify: notify,
		rng:    rand.New(rand.NewPCG(seed, rngStream)),
	}
	if known != nil {
		watch.version = known.Version
		watch.versionKnown = known.Version >= 0
		watch.serversSeen = len(known.Servers) > 0
	}
	return watch
}

// Position returns the address of the discovery service and the version of its last list, or -1 if no version is known.
func (w *Watch) Position() (addr string, version int64) {
	if !w.versionKnown {
		return w.addr, -1
	}
	return w.addr, w.version
}

// Follow starts a call unless one is in flight or a backoff is pending. After a failure, the watch itself decides when
// to poll again.
func (w *Watch) Follow() {
	if !w.polling && w.stopTimer == nil {
		w.poll()
	}
}

// SetMode sets how the node gets its lists, from the next call on. If lists are now pushed to an agent and no call is
// in flight, that call starts at once.
func (w *Watch) SetMode(mode Mode) {
	w.mode = mode
	if mode.Pushed && !w.polling {
		w.cancelTimer()
		w.poll()
	}
}

// SetAddress sets the address of the discovery service. The known list stays in use. SetAddress requests the full list,
// because the service at the new address may number its versions differently. It discards any response from the old
// address.
func (w *Watch) SetAddress(addr string) {
	if addr == w.addr {
		return
	}
	w.addr = addr
	w.version = 0
	w.versionKnown = false
	w.Stop()
	w.poll()
}

// Stop ends all calls and discards their responses. Unless SetAddress or Follow is called later, the watch makes no
// further call.
func (w *Watch) Stop() {
	w.close()
	w.dropLateCalls()
	w.cancelTimer()
	w.polling = false
}

// poll starts a call and the timer for its deadline.
func (w *Watch) poll() {
	path, timeout := w.nextCall()
	now := w.loop.Now()
	w.polling = true
	w.call = call{
		request:    "GET " + path + " HTTP/1.1\r\nHost: " + w.addr + "\r\nAccept: application/json\r\n\r\n",
		reusedConn: w.conn != nil,
		longPoll:   w.versionKnown,
		deadline:   now.Add(timeout),
	}
	w.stopTimer = w.loop.At(w.call.deadline, w.onTimeout)
	if w.conn == nil {
		w.conn = w.loop.Dial(w.addr, now.Add(min(connectTimeout, timeout)), w)
	} else {
		w.sendRequest()
	}
}

// sendRequest writes the request of the call in flight to the established connection.
func (w *Watch) sendRequest() {
	w.call.sent = true
	w.conn.Write([]byte(w.call.request))
}

// nextCall returns the path of the next call and its timeout.
func (w *Watch) nextCall() (path string, timeout time.Duration) {
	wait, responseTimeout := w.pollTimes()
	switch {
	case w.versionKnown:
		path = fmt.Sprintf("%s?after=%d&wait_ms=%d", listPath, w.version, wait.Milliseconds())
		return path, wait + responseTimeout
	case w.mode.Pushed:
		return listPath, responseTimeout
	}
	return listPath, w.listTimeout()
}

// pollAfterBackoff starts the next call after a backoff.
func (w *Watch) pollAfterBackoff() {
	w.failures++
	w.stopTimer = w.loop.At(w.loop.Now().Add(w.backoff()), func() {
		w.stopTimer = nil
		w.poll()
	})
}

// cancelTimer stops the timer of the call in flight, or of the backoff before the next one.
func (w *Watch) cancelTimer() {
	if w.stopTimer != nil {
		w.stopTimer()
		w.stopTimer = nil
	}
}

// close closes the connection, if there is one.
func (w *Watch) close() {
	if w.conn != nil {
		w.conn.End()
	}
	w.conn = nil
}
