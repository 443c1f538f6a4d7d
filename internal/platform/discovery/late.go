package discovery

import (
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"

	"go.uber.org/zap"
)

const (
	// maxLateCalls limits the calls that are kept beside the one in flight. If there are more, the latest of them is
	// closed, because the oldest one is the first that a slow service answers.
	maxLateCalls = 3
	// maxLateTime is how long the response of a call is awaited after its deadline. A change that takes longer can't be
	// heard in time: it counts as delivered after 6 s, and the drain grace is at most 3 s.
	maxLateTime = 10 * time.Second
)

// lateCall is a call whose deadline has passed before any of its response was received. Its connection may be broken,
// so the watch calls again on another one. But the service may as well be slow: if it takes longer for each response
// than the watch waits, only the calls that the watch has stopped waiting for are ever answered.
type lateCall struct {
	watch     *Watch
	conn      *loop.Conn
	response  response
	stopTimer func()
}

// keepLateCall keeps the connection of the call in flight, so that a late response is still received.
func (w *Watch) keepLateCall() {
	if w.conn == nil || !w.call.sent || w.call.response.begun() {
		return
	}
	if len(w.late) == maxLateCalls {
		w.late[maxLateCalls-1].drop()
	}
	late := &lateCall{watch: w, conn: w.conn}
	late.stopTimer = w.loop.At(w.loop.Now().Add(maxLateTime), late.drop)
	w.conn.SetHandler(late)
	w.conn = nil
	w.late = append(w.late, late)
}

// dropLateCalls closes the connections of all late calls.
func (w *Watch) dropLateCalls() {
	for len(w.late) > 0 {
		w.late[0].drop()
	}
}

// drop closes the connection of a late call.
func (l *lateCall) drop() {
	l.stopTimer()
	l.conn.End()
	l.watch.late = slices.DeleteFunc(l.watch.late, func(other *lateCall) bool { return other == l })
}

// OnConnect does nothing, because the call was sent before it was late.
func (l *lateCall) OnConnect() {}

// OnDrained does nothing, because a request is too short to be written in parts.
func (l *lateCall) OnDrained() {}

// OnData handles bytes of the response. A response that can't be decoded is ignored, because the watch has called
// again.
func (l *lateCall) OnData(data []byte) {
	complete, err := l.response.feed(data)
	switch {
	case err != nil:
		l.drop()
	case complete:
		l.onResponse()
	}
}

// OnEnd handles the end of the connection, which may complete the response.
func (l *lateCall) OnEnd(error) {
	if l.response.endsWithConnection() {
		l.onResponse()
		return
	}
	l.drop()
}

// onResponse passes the list of a late call to the watch's owner. A call in flight goes on: its response contains the
// changes since the same version, so that some are passed on twice.
func (l *lateCall) onResponse() {
	watch := l.watch
	for watch.late[0] != l { // calls that began earlier have nothing newer
		watch.late[0].drop()
	}
	l.drop()
	list, servers, err := l.response.list()
	if err != nil || list.Full && len(servers) == 0 && watch.serversSeen {
		return
	}
	if watch.versionKnown && list.Version < watch.version {
		return // a later call has been answered by another connection of the service
	}
	zap.L().Info("discovery_answered_late",
		zap.String("address", watch.addr), zap.Int64("version", list.Version))
	watch.recovering = false
	watch.lastUnreadable = false
	watch.failures = 0
	watch.acceptList(list, servers)
	if !watch.polling {
		watch.cancelTimer()
		watch.poll()
	}
}

// acceptList passes a list to the watch's owner.
func (w *Watch) acceptList(list *List, servers []edge.ServerEntry) {
	w.serversSeen = w.serversSeen || len(servers) > 0
	w.version = list.Version
	w.versionKnown = true
	kind := choice.ListChange
	if list.Full {
		kind = choice.ListFull
	}
	w.notify(kind, servers)
}
