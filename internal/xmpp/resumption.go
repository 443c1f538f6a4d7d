package xmpp

import (
	"encoding/base64"
	"slices"
	"strings"

	"spurwinch/choice"
	resumable "spurwinch/internal/session"

	"go.uber.org/zap"
)

// Only one server knows a session that its client can resume (XEP-0198). The stream header, or at the latest the
// authentication, names the user. If the table has a resumable session of that user, the request goes to the session's
// server. The client's claim only selects a server; the server decides whether to accept it.

const (
	maxOpeningBytes        = 4 << 10  // bytes of a client before its authentication, kept for replay to another server
	maxAuthenticationBytes = 16 << 10 // bytes of a client's first authentication
	maxNameBytes           = 1023     // bytes of a session's identifier, or of a user name
)

// resumedElsewhere is the text of the stream error that ends the earlier connection of a resumed session.
const resumedElsewhere = "resumed on another connection"

// resumption is the state of a client's connection that concerns its current or previous resumable session.
type resumption struct {
	user       string        // the user name that the client claims; empty if not known yet
	previousID string        // identifier of the session that the client asks to resume
	key        resumable.Key // resumable session that uses this connection; zero if there is none
	adopted    bool          // the predecessor has transferred this connection

	openingBytes       []byte // bytes that the client sent before it authenticated; nil if none, or too many
	authenticating     bool   // the front is receiving the client's first authentication
	authentication     []byte // bytes received of the first authentication so far
	initialResponse    []byte // encoded initial response of the first authentication
	authenticationSeen bool   // the first authentication has begun
	dropServerGreeting bool   // don't forward the next server's greeting, because the client already has one
	login              *login // nil: no authentication is complete yet, or the client has sent a further stanza
}

// domainKey returns the session's domain in lower case, as used in comparisons and keys.
func (s *clientSession) domainKey() string { return strings.ToLower(s.domainName) }

// stickyServer returns the server of the session that the client may want to resume. It returns an empty identifier if
// the front knows no such session, or if its server accepts no new sessions.
func (s *clientSession) stickyServer(domain Domain) choice.ServerID {
	for {
		known, ok := s.expectedSession()
		if !ok {
			return ""
		}
		if domain.Core.AcceptsNew(known.Server, known.ServerStarted) {
			return known.Server
		}
		// The server is draining, is gone, or was restarted and doesn't know the session.
		s.front.resumable.Discard(known.Key)
	}
}

// expectedSession returns the session that the client may want to resume: the one that it has named, or else one of its
// user.
func (s *clientSession) expectedSession() (resumable.Session, bool) {
	now := s.front.loop.Now()
	known, ok := s.front.resumable.Find(now, s.previousKey())
	if !ok && s.user != "" {
		known, ok = s.front.resumable.FindByUser(now, s.domainKey(), s.user)
	}
	return known, ok
}

// inspectAuthentication reads the user name and the session to resume from the client's first authentication. The front
// holds the authentication back until it is complete, because it determines the server.
func (s *clientSession) inspectAuthentication(token xmlToken) {
	switch {
	case s.beginsAuthentication(token):
		s.authenticating = true
		s.authenticationSeen = true
	case !s.authenticating:
	case token.starts(childDepth) && token.isElement("resume", managementNS):
		s.previousID = token.attribute("previd")
	case token.kind == textToken && token.depth <= childDepth:
		if len(s.initialResponse)+len(token.raw) <= maxAuthenticationBytes {
			s.initialResponse = append(s.initialResponse, token.raw...)
		}
	}
}

func (s *clientSession) beginsAuthentication(token xmlToken) bool {
	if !token.starts(stanzaDepth) || s.authenticationSeen || s.established || s.request == nil {
		return false
	}
	return token.isElement("auth", saslNS) || token.isElement("authenticate", sasl2NS)
}

// forwardAuthentication forwards the client's complete first authentication, either to the server of the current
// attempt or, after a redirect, to the server that has the client's resumable session.
func (s *clientSession) forwardAuthentication() {
	authentication := s.authentication
	if user := saslUser(s.stanza.attribute("mechanism"), s.initialResponse); user != "" {
		s.user = user
	}
	s.authenticating = false
	s.authentication = nil
	s.initialResponse = nil
	openingBytes := s.openingBytes
	if !s.committed {
		openingBytes = s.replay
	}
	sticky, ok := s.differentStickyServer()
	canReplay := len(openingBytes) > 0 && len(authentication) <= maxAuthenticationBytes
	if !ok || !canReplay || !s.request.MayRedirect(sticky) {
		s.forward(authentication)
		s.keepLogin(openingBytes, authentication)
		return
	}
	zap.L().Debug("session_redirected",
		zap.String("from", string(s.attempt.Server.ID)),
		zap.String("to", string(sticky)))
	s.dropServerGreeting = s.committed
	s.committed = false
	s.replay = slices.Concat(openingBytes, authentication)
	s.keepLogin(openingBytes, authentication)
	s.request.RedirectTo(sticky)
}

// differentStickyServer returns the server of the client's resumable session, if it differs from the server that the
// session has now.
func (s *clientSession) differentStickyServer() (choice.ServerID, bool) {
	domain, ok := s.front.findDomain(s.domainName)
	if !ok {
		return "", false
	}
	sticky := s.stickyServer(domain)
	if sticky == "" || s.attempt == nil || s.attempt.Server.ID == sticky {
		return "", false
	}
	return sticky, true
}

// saslUser returns the user name in the initial response of PLAIN (RFC 4616) or SCRAM (RFC 5802), in lower case. It
// returns an empty string for other mechanisms, for an invalid response and for a name that is too long.
func saslUser(mechanism string, encoded []byte) string {
	response, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(encoded)))
	if err != nil || len(response) > maxAuthenticationBytes {
		return ""
	}
	name := ""
	switch {
	case mechanism == "PLAIN":
		name = plainUser(string(response))
	case strings.HasPrefix(mechanism, "SCRAM-"):
		name = scramUser(string(response))
	}
	if len(name) > maxNameBytes {
		return ""
	}
	return strings.ToLower(name)
}

// plainUser returns the user name in an initial response of PLAIN, which has three fields: authorization identity, user
// name, password.
func plainUser(response string) string {
	fields := strings.Split(response, "\x00")
	if len(fields) != 3 {
		return ""
	}
	return fields[1]
}

// scramUser returns the user name in an initial response of SCRAM, which has four fields: channel binding,
// authorization identity, "n=" and the user name, "r=" and a nonce.
func scramUser(response string) string {
	fields := strings.SplitN(response, ",", 4)
	if len(fields) < 4 {
		return ""
	}
	name, ok := strings.CutPrefix(fields[2], "n=")
	if !ok {
		return ""
	}
	return strings.NewReplacer("=2C", ",", "=3D", "=").Replace(name)
}

// localPart returns the local part of a JID in lower case, or an empty string if the JID has another domain.
func localPart(jid, domain string) string {
	bare, _, _ := strings.Cut(jid, "/")
	name, jidDomain, ok := strings.Cut(bare, "@")
	if !ok || !strings.EqualFold(jidDomain, domain) || len(name) > maxNameBytes {
		return ""
	}
	return strings.ToLower(name)
}

// recordConnected records that a resumable session was started or resumed on this connection.
func (s *clientSession) recordConnected(resumed resumable.Session) {
	s.takeOver(resumed.Key)
	s.front.resumable.Connected(s.front.loop.Now(), resumed)
}

// recordAdopted records that this connection, which the predecessor has transferred, has a resumable session. If the
// session was resumed in this process while the predecessor still had the connection, the front ends the connection,
// because the resumption is newer.
func (s *clientSession) recordAdopted(resumed resumable.Session) {
	s.user = resumed.User
	s.adopted = true
	if current := s.front.connectedSessions[resumed.Key]; current != nil && !current.adopted {
		s.key = resumed.Key // the session continues, so the end of this connection must not end it at its server
		s.failNext(conflict, resumedElsewhere)
		return
	}
	s.takeOver(resumed.Key)
	s.front.resumable.Adopted(s.front.loop.Now(), resumed)
}

// takeOver makes this the connection of a resumable session. If the connection belonged to another resumable session,
// that session becomes disconnected. If the session had another connection, the front ends that connection, because its
// client no longer uses it.
func (s *clientSession) takeOver(key resumable.Key) {
	if s.key.ID != "" && s.key != key {
		s.front.recordDisconnected(s, false)
	}
	if s.front.connectedSessions[key] != s {
		s.front.endConnection(key)
	}
	s.key = key
	s.front.connectedSessions[key] = s
}

// endConnection ends the connection of a resumable session, if it has one in this process, because the session was
// resumed on another connection.
func (f *Front) endConnection(key resumable.Key) {
	if session := f.connectedSessions[key]; session != nil {
		delete(f.connectedSessions, key)
		session.failNext(conflict, resumedElsewhere)
	}
}

// recordDisconnected records that a resumable session no longer has a connection. If the client closed its stream, the
// front forgets the session, because the client won't resume it.
func (f *Front) recordDisconnected(session *clientSession, closed bool) {
	key := session.key
	if key.ID == "" || f.connectedSessions[key] != session {
		return
	}
	session.key = resumable.Key{}
	delete(f.connectedSessions, key)
	if closed {
		f.resumable.Forget(key)
	} else {
		f.resumable.Disconnected(f.loop.Now(), key)
	}
}

// Sessions returns the table of resumable sessions. Changes of another process must go through MergeSessions.
func (f *Front) Sessions() *resumable.Table { return f.resumable }

// MergeSessions applies the changes of another process's table. It ends the connections of sessions that were resumed
// in the other process.
func (f *Front) MergeSessions(from resumable.Process, update resumable.Update) {
	for _, key := range update.ConnectedKeys() {
		f.endConnection(key)
	}
	f.resumable.Merge(f.loop.Now(), from, update)
}
