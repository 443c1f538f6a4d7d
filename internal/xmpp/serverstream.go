package xmpp

import (
	"strconv"
	"strings"
	"time"

	"spurwinch/choice"
	resumable "spurwinch/internal/session"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

const maxRedirectBytes = 300 // bytes of the address in a server's see-other-host error

// handleToken handles a token of the server's stream.
func (u *upstreamRequest) handleToken(token xmlToken) {
	if token.starts(rootDepth) {
		u.handleHeader(token)
		return
	}
	u.inspect(token)
	if token.kind == endToken && token.depth == rootDepth {
		u.handleStreamEnd(token)
		return
	}
	u.unforwarded = append(u.unforwarded, token.raw...)
	if token.endsStanza {
		u.handleStanza()
	}
}

func (u *upstreamRequest) handleHeader(token xmlToken) {
	if u.received.prefix == "" || localName(token.name) != "stream" {
		u.failProtocol("sent no stream header")
		return
	}
	u.unforwarded = append(u.unforwarded, token.raw...)
}

// inspect updates the state of the attempt and the session with a token of the server's stream.
func (u *upstreamRequest) inspect(token xmlToken) {
	switch {
	case token.starts(stanzaDepth):
		u.inspectStanza(token)
	case token.starts(childDepth):
		u.inspectChild(token)
	}
	u.inspectManagement(token)
	if token.kind != textToken {
		return
	}
	u.reportChannelBinding(token)
	isRedirect := token.depth == childDepth && u.streamError == seeOtherHost
	if isRedirect && len(u.redirect)+len(token.raw) <= maxRedirectBytes {
		u.redirect = append(u.redirect, token.raw...)
	}
}

// inspectStanza handles the start tag of a stanza. After SASL succeeds, both sides restart their streams.
func (u *upstreamRequest) inspectStanza(token xmlToken) {
	session := u.session
	u.stanza = xmlToken{name: localName(token.name), attributes: token.attributes}
	u.sasl2Bound = false
	if token.isElement("success", saslNS) {
		session.received.mayRestart = session.received.mayRestart || u.loginStep == notRepeating
		u.received.mayRestart = true
	}
	if u.stanza.name == "success" {
		session.admission.Authenticated()
	}
}

// inspectChild handles the start tag of a stanza's child. The child may be the condition of a stream error or a part of
// a SASL2 success.
func (u *upstreamRequest) inspectChild(token xmlToken) {
	if name := localName(token.name); u.stanza.name == "error" && name != "text" {
		u.streamError = condition(name)
	}
	if u.stanza.name == "success" && u.stanza.attribute("xmlns") == sasl2NS {
		isBound := token.isElement("bound", bind2NS) || token.isElement("resumed", managementNS)
		u.sasl2Bound = u.sasl2Bound || isBound
	}
}

// handleStanza handles a complete stanza. Until the session is established, it forwards the stanza, unless the stanza
// is the server's rejection of the session or a greeting to drop. OnData forwards the stanzas of an established
// session, except for the last stanza before a migration, which handleStanza forwards.
func (u *upstreamRequest) handleStanza() {
	session := u.session
	switch {
	case session.established:
		if session.migrating {
			u.forward()
			session.migrate()
		}
	case u.stanza.name == "error" && u.streamError != noCondition:
		u.handleRejection()
	case u.loginStep != notRepeating:
		u.continueLogin()
	case session.dropServerGreeting:
		session.dropServerGreeting = false
		u.unforwarded = u.unforwarded[:0]
		u.commit()
	default:
		if u.establishes() {
			// Tell the core before forwarding the answer. Both happen in this call, so nothing else runs in between.
			session.established = true
			session.front.Answers.Established++
			u.attempt.Established()
		}
		u.recordLoginAnswers()
		u.commit()
		u.forward()
	}
}

// recordLoginAnswers records with which stanzas the server has answered the client's login.
func (u *upstreamRequest) recordLoginAnswers() {
	switch u.stanza.name {
	case "success":
		u.loginSucceeded = true
	case "features":
		u.loginAnswered = u.loginSucceeded
	}
}

// establishes reports whether the current stanza establishes the session, as the result of the resource binding or as a
// resumption.
func (u *upstreamRequest) establishes() bool {
	session := u.session
	isResult := u.stanza.name == "iq" && u.stanza.attribute("type") == "result"
	isBinding := isResult && session.bindID != "" && u.stanza.attribute("id") == session.bindID
	return isBinding || u.stanza.name == "resumed" || u.stanza.name == "success" && u.sasl2Bound
}

// handleRejection handles a stream error that the server sends before the session is established. If the client has
// received no bytes of the server, the core may try another server. Otherwise the error is the session's answer.
func (u *upstreamRequest) handleRejection() {
	session := u.session
	if session.committed {
		u.finished = true
		u.conn.End()
		session.front.Answers.Errors++
		session.finish(trace.ServerEnded)
		session.client.Write([]byte(string(u.unforwarded) + streamEnd(u.received.prefix)))
		session.client.End()
		u.attempt.Ended(choice.Failed, nil)
		return
	}
	switch u.streamError {
	case resourceConstraint, systemShutdown, policyViolation, streamReset:
		u.fail(choice.Full)
	case seeOtherHost: // only a server of the endpoint list is followed, and it counts as one of the request's attempts
		session.request.Redirected(strings.TrimSpace(string(u.redirect)))
		u.fail(choice.Full)
	default:
		u.fail(choice.Failed)
	}
}

// handleStreamEnd handles the end of the server's stream.
func (u *upstreamRequest) handleStreamEnd(token xmlToken) {
	if !u.session.established {
		u.dropServer(choice.Reset)
		return
	}
	u.unforwarded = append(u.unforwarded, token.raw...)
	u.forward()
}

// inspectManagement handles stream management (XEP-0198). It records which resumable session uses the connection from
// now on.
func (u *upstreamRequest) inspectManagement(token xmlToken) {
	// The element is a stanza, or it is inside a SASL2 success.
	hasValidDepth := token.depth >= stanzaDepth && token.depth <= childDepth+1
	if token.kind != startToken || !hasValidDepth || token.attribute("xmlns") != managementNS {
		return
	}
	session := u.session
	id := ""
	lifetime := resumable.DefaultResumeTime
	switch localName(token.name) {
	case "enabled":
		if resume := token.attribute("resume"); resume != "true" && resume != "1" {
			return
		}
		id = token.attribute("id")
		if seconds, err := strconv.ParseUint(token.attribute("max"), 10, 32); err == nil {
			lifetime = time.Duration(seconds) * time.Second
		}
	case "resumed":
		id = token.attribute("previd")
		key := resumable.Key{Domain: session.domainKey(), ID: id}
		if known, ok := session.front.resumable.Find(session.front.loop.Now(), key); ok {
			lifetime = known.ResumeTime
		}
	}
	if id == "" || len(id) > maxNameBytes {
		return
	}
	session.recordConnected(resumable.Session{
		Key:           resumable.Key{Domain: session.domainKey(), ID: id},
		User:          session.user,
		Server:        u.attempt.Server.ID,
		ServerStarted: u.attempt.Server.Started,
		ResumeTime:    lifetime,
	})
}

// reportChannelBinding logs a server that offers channel binding to a client whose TLS ends at this node, where channel
// binding can't succeed. It logs each server once.
func (u *upstreamRequest) reportChannelBinding(token xmlToken) {
	reported := u.session.front.channelBindingReported
	server := u.attempt.Server.ID
	isOffer := u.stanza.name == "features" && strings.HasSuffix(strings.TrimSpace(string(token.raw)), "-PLUS")
	if !u.session.layered || !isOffer || reported[server] {
		return
	}
	reported[server] = true
	zap.L().Warn("host_offers_channel_binding",
		zap.String("host", string(server)),
		zap.String("mechanism", string(token.raw)),
		zap.String("remedy", "TLS ends at this node, so channel binding fails; offer no -PLUS mechanisms on the host"))
}
