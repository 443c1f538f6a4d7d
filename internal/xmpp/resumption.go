package xmpp

import (
	"encoding/base64"
	"strings"

	"spurwinch/choice"
	resumable "spurwinch/internal/session"

	"go.uber.org/zap"
)

// A session that its client can resume (XEP-0198) is known to one server only. Who a client is shows in its stream
// header, or at the latest when it authenticates; where the table knows a resumable session of that user, the request
// goes to the session's server. What the client claims picks a server and nothing else: the server decides.

const (
	maxGreeting       = 4 << 10  // bytes of a client before its authentication, kept to replay them to another server
	maxAuthentication = 16 << 10 // bytes of a client's first authentication
	maxNameBytes      = 1023     // of a session's identifier, or of a user's name
)

// resumption is what a session knows of the resumable session that its client has, or had.
type resumption struct {
	user       string        // as the client claims; empty: not known yet
	previousID string        // of the session that the client asks to resume
	key        resumable.Key // of the resumable session that this connection has; zero: none

	greeting           []byte // what the client sent before it authenticated; nil: nothing, or too much
	authenticating     bool   // the client's first authentication is being received
	authentication     []byte // as far as it was received
	initialResponse    []byte // in it, encoded
	authenticationSeen bool   // it began
	dropGreeting       bool   // the next server's greeting is not forwarded: the client has had one
}

// domain returns the session's domain as it is compared.
func (s *clientSession) domain() string { return strings.ToLower(s.domainName) }

// stickyServer returns the server of the session that the client may want to resume; empty: none that takes it is
// known.
func (s *clientSession) stickyServer(domain Domain) choice.ServerID {
	now := s.front.loop.Now()
	known, ok := s.front.resumable.Find(now, resumable.Key{Domain: s.domain(), ID: s.previousID})
	if !ok && s.user != "" {
		known, ok = s.front.resumable.FindByUser(now, s.domain(), s.user)
	}
	if !ok {
		return ""
	}
	if !domain.Core.AcceptsNew(known.Server, known.ServerStarted) {
		// The server drains, is gone, or has been started again and doesn't know the session.
		s.front.resumable.Forget(known.Key)
		return ""
	}
	return known.Server
}

// inspectAuthentication follows the client's first authentication, which is held back to its end: it settles the
// server.
func (s *clientSession) inspectAuthentication(token xmlToken) {
	switch {
	case s.beginsAuthentication(token):
		s.authenticating = true
		s.authenticationSeen = true
	case !s.authenticating:
	case token.starts(childDepth) && token.isElement("resume", managementNS):
		s.previousID = token.attribute("previd")
	case token.kind == textToken && token.depth <= childDepth:
		if len(s.initialResponse)+len(token.raw) <= maxAuthentication {
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

// authenticated forwards the client's first authentication: to the server that has greeted the client, or to the one
// that has its resumable session.
func (s *clientSession) authenticated() {
	authentication := s.authentication
	if user := userOf(s.stanza.attribute("mechanism"), s.initialResponse); user != "" {
		s.user = user
	}
	s.authenticating = false
	s.authentication = nil
	s.initialResponse = nil
	greeting := s.greeting
	if !s.committed {
		greeting = s.replay
	}
	sticky, ok := s.otherSticky()
	canReplay := len(greeting) > 0 && len(authentication) <= maxAuthentication
	if !ok || !canReplay || !s.request.MayRedirect(sticky) {
		s.forward(authentication)
		return
	}
	zap.L().Debug("session_redirected",
		zap.String("from", string(s.attempt.Server.ID)),
		zap.String("to", string(sticky)))
	s.dropGreeting = s.committed
	s.committed = false
	s.replay = append(append([]byte(nil), greeting...), authentication...)
	s.request.RedirectTo(sticky)
}

// otherSticky returns the server of the client's resumable session, if it is another one than the session has now.
func (s *clientSession) otherSticky() (choice.ServerID, bool) {
	domain, ok := s.front.domain(s.domainName)
	if !ok {
		return "", false
	}
	sticky := s.stickyServer(domain)
	if sticky == "" || s.attempt == nil || s.attempt.Server.ID == sticky {
		return "", false
	}
	return sticky, true
}

// userOf returns the user's name in the initial response of PLAIN (RFC 4616) or SCRAM (RFC 5802). It is empty for other
// mechanisms, and where the response can't be read.
func userOf(mechanism string, encoded []byte) string {
	response, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(encoded)))
	if err != nil || len(response) > maxAuthentication {
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

// plainUser reads the second of three fields: authorization identity, user, password.
func plainUser(response string) string {
	fields := strings.Split(response, "\x00")
	if len(fields) != 3 {
		return ""
	}
	return fields[1]
}

// scramUser reads the third of four fields: channel binding, authorization identity, "n=" and the user, "r=" and a
// nonce.
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

// localPart returns the local part of a JID, if its domain is the given one.
func localPart(jid, domain string) string {
	bare, _, _ := strings.Cut(jid, "/")
	name, jidDomain, ok := strings.Cut(bare, "@")
	if !ok || !strings.EqualFold(jidDomain, domain) || len(name) > maxNameBytes {
		return ""
	}
	return strings.ToLower(name)
}

// connected notes that a resumable session has this connection. The one that the connection had before is disconnected,
// and a connection that the resumed session had before is ended: nobody uses it any more.
func (s *clientSession) connected(resumed resumable.Session) {
	front := s.front
	if s.key.ID != "" && s.key != resumed.Key {
		front.disconnected(s, false)
	}
	if previous := front.owners[resumed.Key]; previous != nil && previous != s {
		delete(front.owners, resumed.Key)
		front.loop.At(front.loop.Now(), func() {
			previous.fail(conflict, "resumed on another connection")
		})
	}
	s.key = resumed.Key
	front.owners[resumed.Key] = s
	front.resumable.Connected(front.loop.Now(), resumed)
}

// disconnected notes that a session has no connection any more. If its client closed the stream, it won't resume the
// session.
func (f *Front) disconnected(session *clientSession, closed bool) {
	key := session.key
	if key.ID == "" || f.owners[key] != session {
		return
	}
	session.key = resumable.Key{}
	delete(f.owners, key)
	if closed {
		f.resumable.Forget(key)
	} else {
		f.resumable.Disconnected(f.loop.Now(), key)
	}
}

// DisconnectedSessions lists resumable sessions that have no connection, for another process; so many at most.
func (f *Front) DisconnectedSessions(most int) []resumable.Session {
	return f.resumable.Resumable(f.loop.Now(), most)
}

// AddDisconnectedSessions adds the resumable sessions that another process knew.
func (f *Front) AddDisconnectedSessions(sessions []resumable.Session) {
	f.resumable.Import(f.loop.Now(), sessions)
}
