package xmpp

import "spurwinch/internal/trace"

// offerStartTLS answers the stream header of a client that must start TLS before anything else.
func (s *clientSession) offerStartTLS(domain string) {
	s.headerPending = false
	s.domainName = domain
	s.client.Write([]byte(s.streamHeader(domain, "") +
		"<stream:features><starttls xmlns='" + tlsNS + "'><required/></starttls></stream:features>"))
}

// startTLS starts TLS after <starttls/>. Bytes that follow it without TLS end the stream: an attacker could put them
// there, to have them taken for the client's.
func (s *clientSession) startTLS(following []byte) {
	if len(following) > 0 || len(s.received.pending) > 0 || !s.received.betweenStanzas() {
		s.fail(policyViolation, "bytes behind <starttls/>")
		return
	}
	s.client.Write([]byte("<proceed xmlns='" + tlsNS + "'/>"))
	now := s.front.loop.Now()
	s.stopTimer()
	s.awaitHeader(now.Add(s.front.limits.HandshakeTimeout + s.front.limits.HeaderTimeout))
	s.received = s.front.newScanner()
	s.headerPending = true
	s.domainName = ""
	s.stanza = xmlToken{}
	secured := s.secure(now, s, xmppProtocol)
	s.client = secured
	s.socket.SetHandler(secured)
}

// rejectStartTLS ends the stream of a client that asks for TLS where there is none, or where it is up already.
func (s *clientSession) rejectStartTLS() {
	s.end("<failure xmlns='"+tlsNS+"'/></stream:stream>", trace.ClientBrokeProtocol)
	s.front.Answers.Errors++
}
