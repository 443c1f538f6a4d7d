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

// Errors of a call that failed or whose response can't be decoded.
var (
	errTimeout       = errors.New("no response before the timeout")
	errBodyTimeout   = errors.New("response body not complete before the timeout")
	errStatus        = errors.New("response status must be 200")
	errNoServers     = errors.New("full list has no servers; keeping the known servers")
	errConnEnded     = errors.New("connection ended before the response")
	errResponseEnded = errors.New("connection ended within the response")
)

// OnConnect sends the request that waits for the connection.
func (w *Watch) OnConnect() { w.sendRequest() }

// OnData handles bytes of the response. If no call is in flight, it closes the connection instead.
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

// limitBodyTime sets a timeout for the rest of a response whose body has begun, in case it never ends. The part that
// was received may contain a whole change, which counts as delivered although the watch can't decode it yet. If the
// call's own deadline is earlier, it stays.
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

// onResponse handles a complete response.
func (w *Watch) onResponse() {
	list, servers, err := w.call.response.list()
	switch {
	case errors.Is(err, errStatus):
		w.callFailed(err)
		return
	case err != nil:
		w.responseUnreadable(err)
		return
	}
	if list.Full && len(servers) == 0 && w.serversSeen {
		// A discovery service that has lost its state must not make the node forget the whole fleet at once.
		w.callFailed(errNoServers)
		return
	}
	w.callSucceeded()
	w.update(list, servers)
}

// list decodes the list in a complete response.
func (r *response) list() (*List, []edge.ServerEntry, error) {
	if r.status != http.StatusOK {
		return nil, nil, fmt.Errorf("%w, got %d", errStatus, r.status)
	}
	list, err := ParseList(r.body)
	if err != nil {
		return nil, nil, fmt.Errorf("list: %w", err)
	}
	servers, err := list.ServerEntries()
	if err != nil {
		return nil, nil, fmt.Errorf("list: %w", err)
	}
	return list, servers, nil
}

// callSucceeded ends a call whose response has been decoded. Late calls have nothing newer.
func (w *Watch) callSucceeded() {
	w.cancelTimer()
	w.dropLateCalls()
	w.polling = false
	w.recovering = false
	w.lastUnreadable = false
	w.failures = 0
	if w.call.response.close {
		w.close()
	}
}

// update passes a list to the watch's owner and starts the next call at once, so that there is no gap between two
// calls.
func (w *Watch) update(list *List, servers []edge.ServerEntry) {
	if w.versionKnown && !list.Full && list.Version < w.version {
		// The discovery service has restarted with an older state. Request the full list, because the changes since
		// that version don't include everything that differs.
		zap.L().Warn("discovery_version_fell",
			zap.String("address", w.addr), zap.Int64("from", w.version), zap.Int64("to", list.Version))
		w.versionKnown = false
		w.poll()
		return
	}
	w.acceptList(list, servers)
	w.poll()
}

// onTimeout stops waiting for a call that got no response before its deadline, and keeps its connection in case the
// response is only late. A long poll is repeated at once, because silence
// indicates a broken connection rather than an overloaded service, which a backoff would relieve. If the repeated call
// gets no response either, the service may be overloaded.
func (w *Watch) onTimeout() {
	w.stopTimer = nil
	w.keepLateCall()
	if !w.call.longPoll && !w.mode.Pushed {
		w.callFailed(errTimeout)
		return
	}
	zap.L().Warn("discovery_watch_silent", zap.String("address", w.addr))
	silentBefore := w.recovering
	w.recovering = true
	w.close()
	if silentBefore && !w.mode.Pushed { // abandoned calls must not add load to an overloaded service
		w.polling = false
		w.pollAfterBackoff()
		return
	}
	w.poll()
}

// responseUnreadable ends a call whose response can't be decoded. The changes that the service wrote count as
// delivered, so the call is repeated at once. If the next response can't be decoded either, that call has failed.
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

// callFailed ends a failed call. The watch repeats it after a backoff, independently of the balancer, whose intervals
// depend on settings that may allow minutes without a call. The watch also notifies the balancer, which may poll as
// well, unless the call was to an agent.
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

// OnEnd handles the end of the connection. It completes a response whose body ends with the connection. Any other call
// in flight is repeated or fails.
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
	if w.call.reusedConn { // an idle connection may end while a call is being sent, which is no failure
		w.cancelTimer()
		w.poll()
		return
	}
	w.callFailed(fmt.Errorf("%w: %w", errConnEnded, err))
}

// OnDrained does nothing, because a request is too short to be written in parts.
func (w *Watch) OnDrained() {}
