package xmpp

import (
	"slices"

	"spurwinch/choice"
	resumable "spurwinch/internal/session"

	"go.uber.org/zap"
)

// A user may have several devices with sessions at different servers. The authentication then doesn't tell which
// session the client is about to resume: only the <resume/> after it does. If its session is at another server than
// the client's, the front repeats the login at that server, and the client doesn't notice. Where the login can't be
// repeated, because its mechanism answers a challenge of the server, the client is asked to connect again, and is
// then placed at the server of that session.

// maxRestartBytes limits the bytes of a client between its authentication and its request to resume a session.
const maxRestartBytes = 4 << 10

// login is a client's login, kept until the client's first stanza after it.
type login struct {
	request     []byte // the client's bytes up to the end of its first authentication
	restart     []byte // then: the header of the restarted stream
	pending     []byte // then: the request to resume a session, and what follows while the login is repeated
	repeatable  bool   // another server would accept the same bytes
	isRequested bool   // the request to resume has begun
	isRepeating bool   // the next attempt repeats the login
}

// loginStep is the progress of an attempt that repeats a login.
type loginStep int

const (
	notRepeating loginStep = iota
	awaitingSuccess
	awaitingFeatures
)

// keepLogin keeps a login whose authentication is complete.
func (s *clientSession) keepLogin(openingBytes, authentication []byte) {
	s.login = &login{
		request:    slices.Concat(openingBytes, authentication),
		repeatable: len(openingBytes) > 0 && len(authentication) <= maxAuthenticationBytes,
	}
}

// inspectAfterLogin handles the start tag of a stanza that follows the client's first authentication.
func (s *clientSession) inspectAfterLogin(token xmlToken) {
	if s.login == nil || s.login.isRepeating {
		return
	}
	namespace := token.attribute("xmlns")
	switch {
	case namespace == saslNS, namespace == sasl2NS: // an answer to a challenge, or another authentication
		s.login.repeatable = false
	case token.isElement("resume", managementNS) && !s.established:
		s.login.isRequested = true
		s.previousID = token.attribute("previd")
	default:
		s.login = nil
	}
}

// holdsBackResumption reports whether the client's request to resume a session is being received.
func (s *clientSession) holdsBackResumption() bool {
	return s.login != nil && s.login.isRequested && !s.login.isRepeating
}

// collectResumption receives the client's request to resume a session and then forwards it.
func (s *clientSession) collectResumption(token xmlToken) {
	s.login.pending = append(s.login.pending, token.raw...)
	if token.endsStanza || len(s.login.pending) > maxAuthenticationBytes {
		s.forwardResumption()
	}
}

// recordRestart keeps bytes of the client that follow its authentication.
func (s *clientSession) recordRestart(data []byte) {
	if s.login == nil {
		return
	}
	if len(s.login.restart)+len(data) > maxRestartBytes {
		s.login = nil
		return
	}
	s.login.restart = append(s.login.restart, data...)
}

// forwardResumption forwards the client's request to resume a session to the server that has the session.
func (s *clientSession) forwardResumption() {
	kept := s.login
	s.login = nil
	server, ok := s.serverOfPreviousSession()
	switch {
	case !ok:
		s.forward(kept.pending)
	case kept.repeatable && s.upstream.loginAnswered && s.request.MayRedirect(server):
		s.repeatLogin(server, kept)
	case s.front.resumable.Request(s.front.loop.Now(), s.previousKey()):
		s.fail(streamReset, "connect again to resume the session")
	default:
		s.forward(kept.pending)
	}
}

// previousKey returns the key of the session that the client asks to resume.
func (s *clientSession) previousKey() resumable.Key {
	return resumable.Key{Domain: s.domainKey(), ID: s.previousID}
}

// serverOfPreviousSession returns the server of the session that the client asks to resume. ok is false if the client
// is there already, if the server accepts no new sessions, or if the session is unknown or another user's.
func (s *clientSession) serverOfPreviousSession() (server choice.ServerID, ok bool) {
	if s.upstream == nil || s.attempt == nil || s.upstream.finished {
		return "", false
	}
	known, ok := s.front.resumable.Find(s.front.loop.Now(), s.previousKey())
	if !ok || known.User != s.user || known.Server == s.attempt.Server.ID {
		return "", false
	}
	domain, ok := s.front.findDomain(s.domainName)
	if !ok || !domain.Core.AcceptsNew(known.Server, known.ServerStarted) {
		return "", false
	}
	return known.Server, true
}

// repeatLogin moves the session to another server, where the next attempt repeats the client's login.
func (s *clientSession) repeatLogin(server choice.ServerID, kept *login) {
	zap.L().Debug("session_redirected",
		zap.String("from", string(s.attempt.Server.ID)),
		zap.String("to", string(server)))
	kept.isRepeating = true
	s.login = kept
	s.committed = false
	s.replay = slices.Clone(kept.request)
	s.request.RedirectTo(server)
}

// repeatsLogin reports whether a login is being repeated at another server.
func (s *clientSession) repeatsLogin() bool { return s.login != nil && s.login.isRepeating }

// holdBackForLogin keeps bytes of the client until its login is repeated.
func (s *clientSession) holdBackForLogin(data []byte) {
	s.login.pending = append(s.login.pending, data...)
	if len(s.login.pending) > s.front.limits.MaxReplayBytes {
		s.fail(policyViolation, "too much was sent before the host's answer")
	}
}

// continueLogin handles a stanza of a server at which a login is repeated. The client has the answers of another server
// to its login, so none of this server's reach it.
func (u *upstreamRequest) continueLogin() {
	session := u.session
	u.unforwarded = u.unforwarded[:0]
	switch {
	case u.stanza.name == "failure", u.stanza.name == "challenge":
		session.front.resumable.Discard(session.previousKey()) // or the client would be sent here again and again
		u.fail(choice.Failed)
	case u.loginStep == awaitingSuccess && u.stanza.name == "success":
		u.loginStep = awaitingFeatures
		u.conn.Write(session.login.restart)
	case u.loginStep == awaitingFeatures && u.stanza.name == "features":
		pending := session.login.pending
		u.loginStep = notRepeating
		session.login = nil
		u.commit()
		u.conn.Write(pending)
	}
}
