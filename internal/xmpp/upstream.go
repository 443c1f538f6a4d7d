package xmpp

import (
	"errors"
	"io"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

// upstreamRequest is one attempt: the connection to an XMPP server that a session tries or uses.
//
// Until the session is established its bytes are held back to the end of each stanza, so that the session's one answer
// can always be put between two of them. The stream header and the first stanza are forwarded together: an error in
// their place is the server's rejection, and another server may be tried.
type upstreamRequest struct {
	session  *clientSession
	attempt  *edge.Attempt
	conn     *loop.Conn
	received scanner // the server's stream
	begun    bool    // the client's bytes have been sent
	over     bool

	held          []byte   // received, and not forwarded yet
	partForwarded bool     // an unfinished stanza has been forwarded
	stanza        xmlToken // the present stanza of the server: its local name and attributes
	streamError   condition
	redirect      []byte // the address in a see-other-host
	sasl2Bound    bool   // in a SASL2 success: the resource is bound, or the session resumed (XEP-0386, XEP-0198)
}

// OnConnect sends the server all that the client has sent so far.
func (u *upstreamRequest) OnConnect() {
	u.attempt.Connected()
	u.session.socket.ReadAvailable() // the client may have ended meanwhile
	if !u.attempt.Begin() {
		return
	}
	u.begun = true
	u.conn.Write(u.session.replay)
	u.reportWritten()
}

// reportWritten tells the core once all that the client had sent is written.
func (u *upstreamRequest) reportWritten() {
	if u.begun && u.conn.Sent() {
		u.attempt.Written()
	}
}

// OnData takes bytes of the server.
func (u *upstreamRequest) OnData(data []byte) {
	if u.over {
		return
	}
	_, bad := u.received.feed(data, func(token xmlToken) bool {
		u.receive(token)
		return !u.over
	})
	if u.over {
		return
	}
	if u.session.established && len(u.held) > 0 {
		u.partForwarded = !u.received.betweenStanzas()
		u.forward()
	}
	if bad != noCondition {
		u.failProtocol("sent what is no XMPP stream: " + string(bad))
	}
}

// commit notes that the client is about to get bytes of this server: no other can take over.
func (u *upstreamRequest) commit() {
	session := u.session
	if session.committed {
		return
	}
	if !session.authenticationSeen && len(session.replay) <= maxGreeting {
		session.greeting = session.replay
	}
	session.committed = true
	session.replay = nil
	u.attempt.Commit()
}

// forward sends the bytes held back to the client.
func (u *upstreamRequest) forward() {
	session := u.session
	if session.over {
		return
	}
	if len(u.held) > 0 {
		session.headerPending = false
		session.client.Write(u.held)
		u.held = u.held[:0]
	}
	if session.client.Full() {
		u.conn.Pause()
	}
}

// failProtocol ends the connection to a server that broke the protocol.
func (u *upstreamRequest) failProtocol(cause string) {
	zap.L().Warn("host_stream_unreadable",
		zap.String("host", string(u.attempt.Server.ID)),
		zap.String("cause", cause))
	u.lose(choice.Failed)
}

// lose ends the connection to a server that is of no more use. Before the session is established the core tries another
// one, or answers.
func (u *upstreamRequest) lose(outcome choice.Outcome) {
	if u.session.established {
		u.session.fail(remoteConnectionFailed, "the server was lost")
		return
	}
	u.fail(outcome)
}

// fail ends the attempt with an outcome.
func (u *upstreamRequest) fail(outcome choice.Outcome) {
	u.over = true
	u.conn.Cancel()
	u.attempt.Ended(outcome, nil)
}

// finish ends the connection after its client's has ended.
func (u *upstreamRequest) finish(reset bool) {
	if u.over {
		return
	}
	u.over = true
	if reset {
		u.conn.Abort()
	} else {
		u.conn.End()
	}
}

// finishStream ends the connection where the front, not the client, ends a session. If the stream is to be closed too,
// that is done in the client's place.
func (u *upstreamRequest) finishStream(closeStream bool) {
	if u.over {
		return
	}
	fromClient := &u.session.received
	isOpen := fromClient.started && !fromClient.ended && fromClient.betweenStanzas() && fromClient.prefix != ""
	if closeStream && u.begun && isOpen {
		u.conn.Write([]byte(streamEnd(fromClient.prefix)))
	}
	u.finish(false)
}

// GiveUp ends the attempt for the core. What is half written before the session is established stays half: the core
// counts the attempt as one that has not run.
func (u *upstreamRequest) GiveUp() {
	if u.over || u.session.established {
		u.finish(false)
		return
	}
	u.over = true
	u.conn.Cancel()
}

// OnEnd reports the outcome of a connection that failed or ended.
func (u *upstreamRequest) OnEnd(err error) {
	if u.over {
		return
	}
	u.over = true
	sent := u.conn.Sent()
	orderly := errors.Is(err, io.EOF)
	if u.session.established {
		u.endEstablished(orderly)
		return
	}
	if orderly {
		u.conn.Cancel()
	}
	switch {
	case loop.IsLocal(err):
		u.attempt.Ended(choice.NeverSent, nil)
	case !u.begun || !sent:
		u.attempt.Ended(choice.ConnectFailed, nil)
	default:
		u.attempt.Ended(choice.Reset, nil)
	}
}

// endEstablished ends the client's side the way the server ended its own.
func (u *upstreamRequest) endEstablished(orderly bool) {
	reason := trace.ServerReset
	if orderly {
		u.conn.End()
		reason = trace.ServerEnded
	}
	u.session.finish(reason)
	u.attempt.Ended(choice.Reset, nil)
	if orderly {
		u.session.client.End()
	} else {
		u.session.client.Abort()
	}
}

// OnDrained resumes reading from the client.
func (u *upstreamRequest) OnDrained() {
	u.reportWritten()
	if !u.session.over {
		u.session.client.Resume()
	}
}
