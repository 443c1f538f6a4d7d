package xmpp

import (
	"strconv"
	"strings"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/transport/peerlimit"

	"go.uber.org/zap"
)

// noTenant is the tenant of a request that counts against no tenant's quota.
const noTenant = -1

// inspect updates the session's state with a token of the client's stream. If the stream must end, it returns the
// condition of the stream error.
func (s *clientSession) inspect(token xmlToken) condition {
	switch {
	case token.starts(rootDepth):
		return s.inspectHeader(token)
	case token.starts(stanzaDepth):
		return s.inspectStanza(token)
	case s.requestsBinding(token):
		s.bindID = s.stanza.attribute("id")
	default:
		s.inspectAuthentication(token)
	}
	return noCondition
}

// requestsBinding reports whether a token makes the current stanza a request to bind a resource (RFC 6120, section 7).
func (s *clientSession) requestsBinding(token xmlToken) bool {
	return token.starts(childDepth) && token.isElement("bind", bindNS) &&
		s.stanza.name == "iq" && s.stanza.attribute("type") == "set"
}

// inspectStanza handles the start tag of a stanza. The front itself answers STARTTLS. While STARTTLS is required, the
// client may send no other stanza before it.
func (s *clientSession) inspectStanza(token xmlToken) condition {
	s.stanza = xmlToken{name: localName(token.name), attributes: token.attributes}
	s.inspectAfterLogin(token)
	s.inspectAuthentication(token)
	isStartTLS := token.isElement("starttls", tlsNS)
	switch {
	case isStartTLS && s.awaitsStartTLS:
		s.startTLSReceived = true
	case s.awaitsStartTLS:
		return policyViolation
	case isStartTLS:
		s.rejectStartTLS()
	}
	return noCondition
}

// inspectHeader handles a stream header. The first header opens the request; later headers restart the stream.
func (s *clientSession) inspectHeader(token xmlToken) condition {
	s.headerPending = true
	if errorCondition := s.checkHeader(token); errorCondition != noCondition {
		return errorCondition
	}
	name := token.attribute("to")
	if s.request != nil {
		if !strings.EqualFold(name, s.domainName) {
			return hostUnknown
		}
		return noCondition
	}
	domain, ok := s.front.findDomain(name)
	if !ok || name == "" {
		return hostUnknown
	}
	if s.awaitsStartTLS {
		s.offerStartTLS(name)
		return noCondition
	}
	s.domainName = name
	configured := s.front.configuredName(s.domainKey())
	verdict := s.front.admission.AdmitToDomain(s.front.loop.Now(), s.admission, configured)
	if verdict != peerlimit.Admitted {
		s.reject(verdict)
		return noCondition
	}
	s.user = localPart(token.attribute("from"), name)
	s.openRequest(domain)
	return noCondition
}

// checkHeader checks the namespaces and the version of a stream header. RFC 6120 (section 4.7.5) requires at least
// version 1.0.
func (s *clientSession) checkHeader(token xmlToken) condition {
	prefix := s.received.prefix
	if prefix == "" || localName(token.name) != "stream" ||
		token.attribute("xmlns:"+prefix) != streamNS || token.attribute("xmlns") != clientNS {
		return invalidNamespace
	}
	major, _, _ := strings.Cut(token.attribute("version"), ".")
	if _, err := strconv.ParseUint(major, 10, 16); err != nil || major == "0" {
		return unsupportedVersion
	}
	return noCondition
}

// openRequest asks the core to place the session on a server.
func (s *clientSession) openRequest(domain Domain) {
	s.stopTimer()
	id := choice.RequestID(s.front.newID())
	spec := edge.Spec{
		ID: id, Class: domain.Class, Tenant: noTenant, Key: s.front.random.Uint64(),
		Deadline: s.front.loop.Now().Add(domain.SetupTimeout), StickyServer: s.stickyServer(domain),
	}
	if s.front.loop.Open()+2 > s.front.limits.MaxConnections {
		// A session needs one more descriptor for its connection to the server. Rejecting it now avoids running out of
		// descriptors after the request was opened.
		zap.L().Warn("connection_limit_reached", zap.String("front", "xmpp"))
		domain.Core.Reject(spec, s, 0)
		return
	}
	s.client.LeaveIdleQueue()
	s.request = domain.Core.Open(spec, s)
}
