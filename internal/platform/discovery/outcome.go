package discovery

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"spurwinch/choice"
	"spurwinch/internal/edge"

	"go.uber.org/zap"
)

// Why a call failed, or its response is unreadable.
var (
	errTimeout       = errors.New("no answer in time")
	errBodyTimeout   = errors.New("an answer that does not end")
	errStatus        = errors.New("status")
	errNoServers     = errors.New("list: full, but without servers; the known ones stay")
	errConnEnded     = errors.New("connection ended")
	errResponseEnded = errors.New("connection ended amid an answer")
)

// OnConnect sends the call.
func (w *Watch) OnConnect() { w.conn.Write([]byte(w.call.request)) }

// OnData reads the response.
func (w *Watch) OnData(data []byte) {
	if !w.polling {
		w.close()
		return
	}
	bodyBegun := w.call.response.bodyBegun()
	complete, err := w.call.response.feed(data)
	switch {
	case err != nil:
		w.responseUnreadable(err)
	case complete:
		w.onResponse()
	case !bodyBegun && w.call.response.bodyBegun():
		w.limitBodyTime()
	}
}

// limitBodyTime guards against a response that never ends: what it holds may be a whole change, which counts as
// delivered.
func (w *Watch) limitBodyTime() {
	deadline := w.loop.Now().Add(w.timing.bodyTimeout)
	if deadline.After(w.call.deadline) {
		return
	}
	w.cancelTimer()
	w.stopTimer = w.loop.At(deadline, func() {
		w.stopTimer = nil
		w.responseUnreadable(errBodyTimeout)
	})
}

// onResponse decodes a complete response.
func (w *Watch) onResponse() {
	if w.call.response.status != http.StatusOK {
		w.callFailed(fmt.Errorf("%w %d", errStatus, w.call.response.status))
		return
	}
	list, err := ParseList(w.call.response.body)
	var servers []edge.ServerEntry
	if err == nil {
		servers, err = list.ServerEntries()
	}
	if err != nil {
		w.responseUnreadable(fmt.Errorf("list: %w", err))
		return
	}
	if list.Full && len(servers) == 0 && w.serversSeen {
		// Guards against a discovery that lost its state, which would have a whole fleet forgotten at once.
		w.callFailed(errNoServers)
		return
	}
	w.callSucceeded()
	w.update(list, servers)
}

// callSucceeded ends a call whose response was decoded.
func (w *Watch) callSucceeded() {
	w.cancelTimer()
	w.polling = false
	w.recovering = false
	w.lastUnreadable = false
	w.failures = 0
	if w.call.response.close {
		w.close()
	}
}

// update notifies the owner of a list and polls for the next at once: the watch has no gap between two calls.
func (w *Watch) update(list *List, servers []edge.ServerEntry) {
	if w.versionKnown && !list.Full && list.Version < w.version {
		// Guards against a discovery that came back with an older state: what changed since its version is not all that
		// differs.
		zap.L().Warn("discovery_version_fell",
			zap.String("address", w.addr), zap.Int64("from", w.version), zap.Int64("to", list.Version))
		w.versionKnown = false
		w.poll()
		return
	}
	w.serversSeen = w.serversSeen || len(servers) > 0
	w.version = list.Version
	w.versionKnown = true
	kind := choice.ListChange
	if list.Full {
		kind = choice.ListFull
	}
	w.notify(kind, servers)
	w.poll()
}

// onTimeout ends a call that got no response in time. A long poll is repeated at once: silence is a broken connection,
// and says nothing of a service that a backoff would spare. One that is silent again may be.
func (w *Watch) onTimeout() {
	w.stopTimer = nil
	if !w.call.longPoll && !w.mode.Pushed {
		w.callFailed(errTimeout)
		return
	}
	zap.L().Warn("discovery_watch_silent", zap.String("address", w.addr))
	silentBefore := w.recovering
	w.recovering = true
	w.close()
	if silentBefore && !w.mode.Pushed { // guards an overloaded service: abandoned calls must not lead to more calls
		w.polling = false
		w.pollAfterBackoff()
		return
	}
	w.poll()
}

// responseUnreadable ends a call whose response can't be decoded. What was written counts as delivered, so the call is
// repeated at once; where that response is unreadable too, it is a failed call.
func (w *Watch) responseUnreadable(cause error) {
	if w.lastUnreadable || !w.polling {
		w.callFailed(cause)
		return
	}
	zap.L().Warn("discovery_answer_unreadable", zap.String("address", w.addr), zap.String("cause", cause.Error()))
	w.lastUnreadable = true
	w.recovering = true
	w.cancelTimer()
	w.close()
	w.poll()
}

// callFailed ends a call without a response. It is repeated after a backoff, whatever the balancer decides: the
// balancer's intervals depend on settings that may allow minutes without a call. The balancer is notified, except of
// an agent's failures, and may poll as well.
func (w *Watch) callFailed(cause error) {
	zap.L().Warn("discovery_call_failed", zap.String("address", w.addr), zap.String("cause", cause.Error()))
	w.close()
	if !w.polling {
		return
	}
	w.cancelTimer()
	w.polling = false
	w.recovering = true
	w.lastUnreadable = false
	w.pollAfterBackoff()
	if !w.mode.Pushed {
		w.notify(choice.ListUnavailable, nil)
	}
}

// OnEnd fails the call in flight, or completes a response that lasts to the end of the connection.
func (w *Watch) OnEnd(err error) {
	if !w.polling {
		w.close()
		return
	}
	if errors.Is(err, io.EOF) && w.call.response.endsWithConnection() {
		w.call.response.close = true
		w.onResponse()
		return
	}
	if w.call.response.begun() {
		w.responseUnreadable(fmt.Errorf("%w: %w", errResponseEnded, err))
		return
	}
	w.close()
	if w.call.reusedConn { // an idle connection may end just as a call is sent on it: that's no failed call
		w.cancelTimer()
		w.poll()
		return
	}
	w.callFailed(fmt.Errorf("%w: %w", errConnEnded, err))
}

// OnDrained does nothing: a call is too short to be written in parts.
func (w *Watch) OnDrained() {}
