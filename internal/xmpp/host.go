package xmpp

import (
	"io"
	"strings"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

// upstreamRequest is one attempt: the connection to an XMPP server that a session tries or uses.
//
// Until the session is established its bytes are held back to the end of each child of the root, so that the
// session's one answer can always be put between two of them. The header and the first child go on together: an
// error in their place is the host's refusal, and another host may be tried.
type upstreamRequest struct {
	session    *session
	attempt    *edge.Attempt
	conn       *loop.Conn
	in         scanner
	up         bool
	over       bool
	held       []byte
	top        token
	errored    condition // the condition in a stream error of the host
	other      []byte    // the address in a see-other-host
	bound      bool      // inside a SASL2 success: the resource is bound, or the session resumed (XEP-0386, XEP-0198)
	passedPart bool      // an unfinished stanza has been passed on
}

const mostAddress = 300 // bytes of one that a host names

// OnConnect gives the host all that the client sent so far.
func (h *upstreamRequest) OnConnect() {
	h.attempt.Connected()
	if h.session.raw.ReadAvailable(); !h.attempt.Begin() { // its client may have left meanwhile
		return
	}
	h.up = true
	h.conn.Write(h.session.sent)
	h.count()
}

// count counts the attempt once all that the client had sent is written.
func (h *upstreamRequest) count() {
	if h.up && h.conn.Sent() {
		h.attempt.Written()
	}
}

// OnData takes the host's bytes.
func (h *upstreamRequest) OnData(p []byte) {
	if h.over {
		return
	}
	s := h.session
	_, bad := h.in.feed(p, func(t token) bool {
		h.token(t)
		return !h.over
	})
	if h.over {
		return
	}
	if s.open && len(h.held) > 0 {
		h.passedPart = !h.in.between()
		h.release()
	}
	if bad != "" {
		h.broken("sent what is no XMPP stream: " + string(bad))
	}
}

func (h *upstreamRequest) token(t token) {
	s := h.session
	if t.kind == start && t.depth == 1 {
		if h.in.prefix == "" || local(t.name) != "stream" {
			h.broken("sent no stream header")
			return
		}
		h.held = append(h.held, t.raw...)
		return
	}
	if t.kind == start && t.depth == 2 {
		h.top, h.bound = token{name: local(t.name), attrs: t.attrs}, false
		if h.top.name == "success" && t.attr("xmlns") == saslNS {
			s.in.restart, h.in.restart = true, true
		}
		if h.top.name == "success" {
			s.guest.Authenticated()
		}
	}
	if h.top.name == "error" && t.kind == start && t.depth == 3 && local(t.name) != "text" {
		h.errored = condition(local(t.name))
	}
	if t.kind == start && t.depth == 3 && h.top.name == "success" && h.top.attr("xmlns") == sasl2NS {
		ns := t.attr("xmlns")
		h.bound = h.bound || local(t.name) == "bound" && ns == bind2NS || local(t.name) == "resumed" && ns == smNS
	}
	h.managed(t)
	h.unbindable(t)
	if t.kind == text && t.depth == 3 && h.errored == seeOtherHost && len(h.other)+len(t.raw) <= mostAddress {
		h.other = append(h.other, t.raw...)
	}
	if t.kind == end && t.depth == 1 {
		h.closed(t)
		return
	}
	h.held = append(h.held, t.raw...)
	if !t.whole {
		return
	}
	if s.open {
		if s.leaving {
			h.release()
			s.depart()
		}
		return
	}
	if h.top.name == "error" && h.errored != "" {
		h.refused()
		return
	}
	if s.swallow { // its greeting: the client has had one, and has answered it
		s.swallow, h.held = false, h.held[:0]
		h.commit()
		return
	}
	established := h.top.name == "iq" && h.top.attr("type") == "result" && s.bindID != "" && h.top.attr("id") == s.bindID ||
		h.top.name == "resumed" || h.top.name == "success" && h.bound
	if established {
		// The answer is told first and passed on next: both happen in this call, and nothing comes in between.
		s.open = true
		s.front.Answers.Established++
		h.attempt.Established()
	}
	h.commit()
	h.release()
}

// commit notes that the client is about to see the host's bytes: no other host can take over.
func (h *upstreamRequest) commit() {
	s := h.session
	if s.committed {
		return
	}
	if !s.asked && len(s.sent) <= mostGreeting {
		s.greeting = s.sent
	}
	s.committed, s.sent = true, nil
	h.attempt.Commit()
}

func (h *upstreamRequest) release() {
	s := h.session
	if s.over {
		return
	}
	if len(h.held) > 0 {
		s.headerDue = false
		s.conn.Write(h.held)
		h.held = h.held[:0]
	}
	if s.conn.Full() {
		h.conn.Pause()
	}
}

// refused takes a stream error of the host before the session stood. Nothing of it has reached the client yet where
// it came first; else it is the session's answer and goes on as it came.
func (h *upstreamRequest) refused() {
	s := h.session
	if s.committed {
		h.over = true
		h.conn.End()
		s.front.Answers.Errors++
		s.done(trace.ServerEnded)
		s.conn.Write([]byte(string(h.held) + "</" + h.in.prefix + ":stream>"))
		s.conn.End()
		h.attempt.Ended(choice.Failed, nil)
		return
	}
	o := choice.Failed
	switch h.errored {
	case resourceConstraint, systemShutdown, policyViolation, "reset":
		o = choice.Full
	case seeOtherHost: // a hint like any other: only to a host of the list, and as one of the attempts that there are
		o = choice.Full
		s.request.Redirected(strings.TrimSpace(string(h.other)))
	}
	h.fail(o)
}

// closed takes the host's end of the stream.
func (h *upstreamRequest) closed(t token) {
	s := h.session
	if s.open {
		h.held = append(h.held, t.raw...)
		h.release()
		return
	}
	h.lost(choice.Reset)
}

func (h *upstreamRequest) broken(what string) {
	zap.L().Warn("host_stream_unreadable", zap.String("host", string(h.attempt.Server.ID)), zap.String("cause", what))
	h.lost(choice.Failed)
}

// lost ends a host that is of no use any more. The core tries another one, or gives the session its answer.
func (h *upstreamRequest) lost(o choice.Outcome) {
	if h.session.open {
		h.session.fail(remoteConnectionFailed, "the server was lost")
		return
	}
	h.fail(o)
}

func (h *upstreamRequest) fail(o choice.Outcome) {
	h.over = true
	h.conn.Cancel()
	h.attempt.Ended(o, nil)
}

// finish ends the host's side after its client has gone.
func (h *upstreamRequest) finish(reset bool) {
	if h.over {
		return
	}
	h.over = true
	if reset {
		h.conn.Abort()
	} else {
		h.conn.End()
	}
}

// farewell ends the host's side where the front, not the client, ends a session; closes has its stream closed, too.
func (h *upstreamRequest) farewell(closes bool) {
	if h.over {
		return
	}
	if closes && h.up && h.session.in.started && !h.session.in.ended && h.session.in.between() && h.session.in.prefix != "" {
		h.conn.Write([]byte("</" + h.session.in.prefix + ":stream>"))
	}
	h.finish(false)
}

// GiveUp ends the attempt for the core. What is half written before the session stands stays half: the core takes it for one that has
// not run.
func (h *upstreamRequest) GiveUp() {
	if h.over || h.session.open {
		h.finish(false)
		return
	}
	h.over = true
	h.conn.Cancel()
}

// OnEnd gives the outcome of a connection that failed or ended.
func (h *upstreamRequest) OnEnd(err error) {
	if h.over {
		return
	}
	s := h.session
	h.over = true
	sent := h.conn.Sent()
	switch {
	case err == io.EOF && s.open:
		h.conn.End()
	case err == io.EOF:
		h.conn.Cancel()
	}
	if s.open {
		why := trace.ServerEnded
		if err != io.EOF {
			why = trace.ServerReset
		}
		s.done(why)
		h.attempt.Ended(choice.Reset, nil)
		if err == io.EOF {
			s.conn.End()
		} else {
			s.conn.Abort()
		}
		return
	}
	if loop.IsLocal(err) {
		h.attempt.Ended(choice.NeverSent, nil)
		return
	}
	if !h.up || !sent {
		h.attempt.Ended(choice.ConnectFailed, nil)
		return
	}
	h.attempt.Ended(choice.Reset, nil)
}

// OnDrained goes on reading from the client.
func (h *upstreamRequest) OnDrained() {
	h.count()
	if !h.session.over {
		h.session.conn.Resume()
	}
}
