package upstream

import (
	"bytes"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/platform/line"

	"go.uber.org/zap"
)

// relay forwards the server's lines to the client. For the core, it reads the load, the reply delay and the closing
// line from them. It holds back the start of an unfinished line: if the server hangs there, the client must still get
// MOVE between two lines, and never a line that no server has sent.
func (r *Request) relay(data []byte) {
	heldBack := r.heldBack()
	err := r.serverLines.Scan(data, r.onServerLine)
	if err != nil && !r.closed {
		zap.L().Warn("host_line_too_long", zap.String("host", string(r.attempt.Server.ID)))
		r.markClosed()
		r.conn.Abort()
		r.attempt.Ended(choice.Reset, nil)
		r.sink.ServerEnded(true)
	}
	lineEnd := bytes.LastIndexByte(data, '\n') + 1
	if r.closed || lineEnd == 0 {
		return
	}
	r.forwardedOfLine = 0
	if len(heldBack) == 0 {
		r.sink.Forward(data[:lineEnd])
		return
	}
	r.sink.Forward(slices.Concat(heldBack, data[:lineEnd]))
}

// MidLine reports whether the server has begun a line and not finished it.
func (r *Request) MidLine() bool { return r.serverLines.MidLine() }

// MidForwardedLine reports whether the client has received the start of the server's unfinished line.
func (r *Request) MidForwardedLine() bool { return r.forwardedOfLine > 0 }

// heldBack returns the bytes of the server's unfinished line that the client has not received.
func (r *Request) heldBack() []byte { return r.serverLines.Partial()[r.forwardedOfLine:] }

// forwardUnfinishedLine forwards the start of a line that the server's end has cut off.
func (r *Request) forwardUnfinishedLine() {
	if heldBack := r.heldBack(); len(heldBack) > 0 {
		r.sink.Forward(heldBack)
	}
}

// onServerLine handles a line that the server sent on an established connection.
func (r *Request) onServerLine(text []byte) {
	r.lastClosingLine = noClosingLine
	word, info, _ := bytes.Cut(line.Trim(text), []byte(" "))
	switch string(word) {
	case "LOAD":
		if load, ok := line.ParseNumber(string(info)); ok {
			r.attempt.UpdateLoad(load / loadUnit)
		}
		return
	case "BYE":
		r.lastClosingLine = closingBye
	case "MOVE":
		r.lastClosingLine = closingMove
	}
	// One client line is timed at a time, and any server line other than LOAD ends the measurement. Otherwise a client
	// line that gets no reply would make the replies to all later lines look late.
	if !r.awaitingReplySince.IsZero() {
		r.attempt.ObserveDelay(r.awaitingReplyFor())
		r.awaitingReplySince = time.Time{}
	}
}

// Write forwards a client's bytes after UP. If they contain a line that is too long, Write forwards none of them and
// returns line.ErrTooLong.
func (r *Request) Write(data []byte) error {
	if r.closed {
		return nil
	}
	now := r.cluster.loop.Now()
	err := r.clientLines.Count(data, func() {
		if r.awaitingReplySince.IsZero() {
			r.awaitingReplySince = now
		}
	})
	if err != nil {
		return err
	}
	r.conn.Write(data)
	if !r.awaitingReplySince.IsZero() && r.stopReplyTimer == nil {
		r.stopReplyTimer = r.cluster.loop.At(now.Add(replyCheckInterval), r.checkReplyDelay)
	}
	return nil
}

// checkReplyDelay reports to the core how long the client line that is being timed has waited for its reply so far, or
// that the server is unresponsive. It detects servers that stay silent on an open connection, for which no reply would
// ever show how slow they are.
func (r *Request) checkReplyDelay() {
	r.stopReplyTimer = nil
	if r.closed || r.awaitingReplySince.IsZero() {
		return
	}
	now := r.cluster.loop.Now()
	waited := r.awaitingReplyFor()
	if waited >= r.attempt.UnresponsiveAfter() {
		r.attempt.Unresponsive()
		return
	}
	if waited >= replyCheckInterval {
		r.attempt.ObserveDelay(waited)
	}
	r.stopReplyTimer = r.cluster.loop.At(now.Add(replyCheckInterval/2), r.checkReplyDelay)
}

func (r *Request) cancelReplyTimer() {
	if r.stopReplyTimer != nil {
		r.stopReplyTimer()
		r.stopReplyTimer = nil
	}
}

// Full reports whether so many bytes wait to be written to the server that reading from the client should pause.
func (r *Request) Full() bool { return r.conn.Full() }

// Pause stops reading from the server, whose replies then can't be seen: the time until Resume doesn't count as waiting
// for one.
func (r *Request) Pause() {
	if r.pausedAt.IsZero() {
		r.pausedAt = r.cluster.loop.Now()
	}
	r.conn.Pause()
}

// Resume continues to read from the server.
func (r *Request) Resume() {
	if !r.pausedAt.IsZero() && !r.awaitingReplySince.IsZero() {
		r.awaitingReplySince = r.cluster.loop.Now().Add(-r.awaitingReplyFor())
	}
	r.pausedAt = time.Time{}
	r.conn.Resume()
}

// awaitingReplyFor returns how long a client line has waited for its reply, without the time since reading from the
// server was paused. There must be such a line.
func (r *Request) awaitingReplyFor() time.Duration {
	until := r.cluster.loop.Now()
	if !r.pausedAt.IsZero() {
		until = r.pausedAt
	}
	return max(0, until.Sub(r.awaitingReplySince))
}
