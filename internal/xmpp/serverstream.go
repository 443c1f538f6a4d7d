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

const maxRedirectBytes = 300 // of the address that a server names

// receive takes a token of the server's stream.
func (u *upstreamRequest) receive(token xmlToken) {
	if token.starts(rootDepth) {
		u.receiveHeader(token)
		return
	}
	u.inspect(token)
	if token.kind == endToken && token.depth == rootDepth {
		u.streamClosed(token)
		return
	}
	u.held = append(u.held, token.raw...)
	if token.endsStanza {
		u.stanzaReceived()
	}
}

func (u *upstreamRequest) receiveHeader(token xmlToken) {
	if u.received.prefix == "" || localName(token.name) != "stream" {
		u.failProtocol("sent no stream header")
		return
	}
	u.held = append(u.held, token.raw...)
}

// inspect follows the server's stream.
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

// inspectStanza takes the start tag of a stanza. After a success in SASL both sides restart their streams.
func (u *upstreamRequest) inspectStanza(token xmlToken) {
	session := u.session
	u.stanza = xmlToken{name: localName(token.name), attributes: token.attributes}
	u.sasl2Bound = false
	if token.isElement("success", saslNS) {
		session.received.restart = true
		u.received.restart = true
	}
	if u.stanza.name == "success" {
		session.admission.Authenticated()
	}
}

// inspectChild takes the start tag of a child of a stanza: the condition of a stream error, or a part of SASL2's
// success.
func (u *upstreamRequest) inspectChild(token xmlToken) {
	if name := localName(token.name); u.stanza.name == "error" && name != "text" {
		u.streamError = condition(name)
	}
	if u.stanza.name == "success" && u.stanza.attribute("xmlns") == sasl2NS {
		isBound := token.isElement("bound", bind2NS) || token.isElement("resumed", managementNS)
		u.sasl2Bound = u.sasl2Bound || isBound
	}
}

// stanzaReceived forwards a stanza that is complete, unless it is the server's rejection of the session.
func (u *upstreamRequest) stanzaReceived() {
	session := u.session
	switch {
	case session.established:
		if session.migrating {
			u.forward()
			session.migrate()
		}
	case u.stanza.name == "error" && u.streamError != noCondition:
		u.rejected()
	case session.dropGreeting:
		session.dropGreeting = false
		u.held = u.held[:0]
		u.commit()
	default:
		if u.establishes() {
			// The core is told first and the answer forwarded next: nothing comes in between within this call.
			session.established = true
			session.front.Answers.Established++
			u.attempt.Established()
		}
		u.commit()
		u.forward()
	}
}

// establishes reports whether the present stanza establishes the session: the result of the resource binding, or a
// resumption.
func (u *upstreamRequest) establishes() bool {
	session := u.session
	isResult := u.stanza.name == "iq" && u.stanza.attribute("type") == "result"
	isBinding := isResult && session.bindID != "" && u.stanza.attribute("id") == session.bindID
	return isBinding || u.stanza.name == "resumed" || u.stanza.name == "success" && u.sasl2Bound
}

// rejected takes a stream error of the server before the session is established. Where nothing of the server has been
// forwarded, another one may be tried; else the error is the session's answer.
func (u *upstreamRequest) rejected() {
	session := u.session
	if session.committed {
		u.over = true
		u.conn.End()
		session.front.Answers.Errors++
		session.finish(trace.ServerEnded)
		session.client.Write([]byte(string(u.held) + streamEnd(u.received.prefix)))
		session.client.End()
		u.attempt.Ended(choice.Failed, nil)
		return
	}
	switch u.streamError {
	case resourceConstraint, systemShutdown, policyViolation, streamReset:
		u.fail(choice.Full)
	case seeOtherHost: // followed only to a server of the list, as one of the attempts that the request has
		session.request.Redirected(strings.TrimSpace(string(u.redirect)))
		u.fail(choice.Full)
	default:
		u.fail(choice.Failed)
	}
}

// streamClosed takes the end of the server's stream.
func (u *upstreamRequest) streamClosed(token xmlToken) {
	if !u.session.established {
		u.lose(choice.Reset)
		return
	}
	u.held = append(u.held, token.raw...)
	u.forward()
}

// inspectManagement follows stream management (XEP-0198): which resumable session the connection has from now on.
func (u *upstreamRequest) inspectManagement(token xmlToken) {
	isPlaced := token.depth >= stanzaDepth && token.depth <= childDepth+1 // a stanza, or within a SASL2 success
	if token.kind != startToken || !isPlaced || token.attribute("xmlns") != managementNS {
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
		key := resumable.Key{Domain: session.domain(), ID: id}
		if known, ok := session.front.resumable.Find(session.front.loop.Now(), key); ok {
			lifetime = known.ResumeTime
		}
	}
	if id == "" || len(id) > maxNameBytes {
		return
	}
	session.connected(resumable.Session{
		Key:           resumable.Key{Domain: session.domain(), ID: id},
		User:          session.user,
		Server:        u.attempt.Server.ID,
		ServerStarted: u.attempt.Server.Started,
		ResumeTime:    lifetime,
	})
}

// reportChannelBinding logs, once, a server that offers channel binding to a client whose TLS ends at this node: it
// can't succeed.
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
		zap.String("remedy", "TLS ends at this node, so no binding can hold: have the host offer no -PLUS mechanisms"))
}
