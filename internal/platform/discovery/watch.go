// Package discovery watches the endpoint list of the discovery service: it long-polls the service over HTTP/1.1,
// decodes the lists and notifies its owner of them. Internals are described in docs/discovery.md.
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
	// rngStream is the second half of a watch's seed, beside the node's own.
	rngStream = 2
)

// Watch follows discovery's endpoint list. It has one call in flight at most, on one connection, which it reuses.
type Watch struct {
	loop   *loop.Loop
	addr   string
	notify func(choice.ListKind, []edge.ServerEntry)
	rng    *rand.Rand
	mode   Mode
	timing timing

	version      int64 // of the list, where versionKnown
	versionKnown bool  // version is one of discovery's
	serversSeen  bool  // a list had servers

	conn      *loop.Conn // nil: there is none
	polling   bool       // a call is in flight
	call      call       // the one in flight, or the last
	stopTimer func()     // of the call in flight, or of the backoff before the next one

	recovering     bool // the last call failed, had no response or one that could not be decoded
	failures       int  // calls that failed since the last response
	lastUnreadable bool // the last response could not be decoded
}

// call is one HTTP call.
type call struct {
	request    string // written once the connection is up
	reusedConn bool   // an earlier call was served on its connection
	longPoll   bool   // discovery may wait for a change before it responds
	response   response
	deadline   time.Time // the call is abandoned then
}

// Mode is how endpoint lists come to a node.
type Mode struct {
	Pushed     bool          // to an agent beside the node, which responds at once; else to a service for all nodes
	DrainGrace time.Duration // for which a server that drains may still get requests
}

// New makes a Watch that starts from a known list, which may be nil, and calls notify on the loop with each list that
// comes. The seed spreads the polls of nodes.
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

// Position returns discovery's address and the version of its last list; below 0: there was none yet.
func (w *Watch) Position() (addr string, version int64) {
	if !w.versionKnown {
		return w.addr, -1
	}
	return w.addr, w.version
}

// Follow starts a poll, unless one is in flight or due: after a failure the watch itself decides when it polls again.
func (w *Watch) Follow() {
	if !w.polling && w.stopTimer == nil {
		w.poll()
	}
}

// SetMode sets how lists come, from the next call on.
func (w *Watch) SetMode(mode Mode) {
	w.mode = mode
	if mode.Pushed && !w.polling {
		w.cancelTimer()
		w.poll()
	}
}

// SetAddress sets discovery's address. The list stays as it is; the service there may count its versions anew, so the
// full list is asked for. A response from the old address is no longer read.
func (w *Watch) SetAddress(addr string) {
	if addr == w.addr {
		return
	}
	w.addr = addr
	w.version = 0
	w.versionKnown = false
	w.close()
	w.cancelTimer()
	w.poll()
}

// poll starts a call.
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
		w.conn.Write([]byte(w.call.request))
	}
}

// nextCall returns the path of the next call and the time for its response.
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

// pollAfterBackoff starts the next call later.
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

// close ends the connection, where there is one.
func (w *Watch) close() {
	if w.conn != nil {
		w.conn.End()
	}
	w.conn = nil
}
