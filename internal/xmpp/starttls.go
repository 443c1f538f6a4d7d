package xmpp

import "spurwinch/internal/trace"

// offerStartTLS answers the stream header of a client that must start TLS before anything else.
func (s *clientSession) offerStartTLS(domain string) {
	s.headerPending = false
	s.domainName = domain
	s.client.Write([]byte(s.streamHeader(domain, "") +
		"<stream:features><starttls xmlns='" + tlsNS + "'><required/></starttls></stream:features>"))
}

// startTLS starts TLS after <starttls/>. Unencrypted bytes after it end the stream, because an attacker could have
// injected them to make the front treat them as the client's.
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
	tlsConn := s.wrapInTLS(now, s, alpnXMPP)
	s.client = tlsConn
	s.socket.SetHandler(tlsConn)
}

// rejectStartTLS ends the stream of a client that requests TLS where it isn't available or is already in use.
func (s *clientSession) rejectStartTLS() {
	s.end("<failure xmlns='"+tlsNS+"'/></stream:stream>", trace.ClientBrokeProtocol)
	s.front.Answers.Errors++
}
