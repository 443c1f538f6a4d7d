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

// upstreamRequest is one attempt of a session, with the connection to the XMPP server that the session tries or uses.
//
// Until the session is established, the server's bytes are held back to the end of each stanza, so that the front can
// always insert the session's final answer between two stanzas. The stream header and the first stanza are forwarded
// together, because an error in place of the first stanza is the server's rejection, and the core may then try another
// server.
type upstreamRequest struct {
	session  *clientSession
	attempt  *edge.Attempt
	conn     *loop.Conn
	received scanner // the server's stream
	begun    bool    // the attempt has begun to send the client's bytes
	finished bool

	unforwarded            []byte   // bytes received but not forwarded yet
	partialStanzaForwarded bool     // an unfinished stanza has been forwarded
	stanza                 xmlToken // local name and attributes of the server's current stanza
	streamError            condition
	redirect               []byte // address in the server's see-other-host
	loginStep              loginStep
	loginSucceeded         bool // the server has accepted the client's authentication
	loginAnswered          bool // the client has all of the server's answers to its login
	sasl2Bound             bool // a SASL2 success binds the resource or resumes the session (XEP-0386, XEP-0198)
}

// OnConnect sends the server all bytes that the client has sent so far.
func (u *upstreamRequest) OnConnect() {
	u.attempt.Connected()
	u.session.socket.ReadAvailable() // the client may have ended its side in the meantime
	if !u.attempt.Begin() {
		return
	}
	u.begun = true
	u.conn.Write(u.session.replay)
	u.reportWritten()
}

// reportWritten tells the core when all bytes that the client had sent are written.
func (u *upstreamRequest) reportWritten() {
	if u.begun && u.conn.Sent() {
		u.attempt.Written()
	}
}

// OnData handles bytes of the server.
func (u *upstreamRequest) OnData(data []byte) {
	if u.finished {
		return
	}
	_, errorCondition := u.received.feed(data, func(token xmlToken) bool {
		u.handleToken(token)
		return !u.finished
	})
	if u.finished {
		return
	}
	if u.session.established && len(u.unforwarded) > 0 {
		u.partialStanzaForwarded = !u.received.betweenStanzas()
		u.forward()
	}
	if errorCondition != noCondition {
		u.failProtocol("sent an invalid XMPP stream: " + string(errorCondition))
	}
}

// commit records that the client is about to receive bytes of this server, so that no other server can take over.
func (u *upstreamRequest) commit() {
	session := u.session
	if session.committed {
		return
	}
	if !session.authenticationSeen && len(session.replay) <= maxOpeningBytes {
		session.openingBytes = session.replay
	}
	session.committed = true
	session.replay = nil
	session.accountBuffers()
	u.attempt.Commit()
}

// forward sends the client the bytes that were held back.
func (u *upstreamRequest) forward() {
	session := u.session
	if session.finished {
		return
	}
	if len(u.unforwarded) > 0 {
		session.headerPending = false
		session.client.Write(u.unforwarded)
		u.unforwarded = u.unforwarded[:0]
	}
	if session.client.Full() {
		u.conn.Pause()
	}
}

// failProtocol ends the connection to a server that violated the protocol.
func (u *upstreamRequest) failProtocol(cause string) {
	zap.L().Warn("host_stream_unreadable",
		zap.String("host", string(u.attempt.Server.ID)),
		zap.String("cause", cause))
	u.dropServer(choice.Failed)
}

// dropServer ends the connection to a server that can no longer be used. If the session is established, it ends with a
// stream error. Otherwise the core tries another server or gives the final answer.
func (u *upstreamRequest) dropServer(outcome choice.Outcome) {
	if u.session.established {
		u.session.fail(remoteConnectionFailed, "the server was lost")
		return
	}
	u.fail(outcome)
}

// fail ends the attempt with the given outcome.
func (u *upstreamRequest) fail(outcome choice.Outcome) {
	u.finished = true
	u.conn.Cancel()
	u.attempt.Ended(outcome, nil)
}

// finish ends the connection after the client's connection has ended. With reset, it resets the connection.
func (u *upstreamRequest) finish(reset bool) {
	if u.finished {
		return
	}
	u.finished = true
	if reset {
		u.conn.Abort()
	} else {
		u.conn.End()
	}
}

// finishStream ends the connection of a session that the front, not the client, ends. With closeStream, it first closes
// the stream on behalf of the client.
func (u *upstreamRequest) finishStream(closeStream bool) {
	if u.finished {
		return
	}
	fromClient := &u.session.received
	isOpen := fromClient.started && !fromClient.ended && fromClient.betweenStanzas() && fromClient.prefix != ""
	if closeStream && u.begun && isOpen {
		u.conn.Write([]byte(streamEnd(fromClient.prefix)))
	}
	u.finish(false)
}

// GiveUp ends the attempt on behalf of the core. Before the session is established, it cancels the connection without
// finishing a partial write, because the core counts the attempt as one that has not run.
func (u *upstreamRequest) GiveUp() {
	if u.finished || u.session.established {
		u.finish(false)
		return
	}
	u.finished = true
	u.conn.Cancel()
}

// OnEnd reports the outcome of a connection that has failed or ended.
func (u *upstreamRequest) OnEnd(err error) {
	if u.finished {
		return
	}
	u.finished = true
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

// endEstablished ends the client's side in the same way as the server's side, orderly or by a reset.
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

// OnDrained resumes reading from the client once all bytes for the server are written.
func (u *upstreamRequest) OnDrained() {
	u.reportWritten()
	if !u.session.finished {
		u.session.client.Resume()
	}
}
