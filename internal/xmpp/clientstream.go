package xmpp

import (
	"strconv"
	"strings"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/transport/peerlimit"

	"go.uber.org/zap"
)

// noTenant is the tenant of a request that counts against no quota.
const noTenant = -1

// inspect follows the client's stream and returns the condition with which it must end, if any.
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

// requestsBinding reports whether a token is the request in the present stanza to bind a resource (RFC 6120, section
// 7).
func (s *clientSession) requestsBinding(token xmlToken) bool {
	return token.starts(childDepth) && token.isElement("bind", bindNS) &&
		s.stanza.name == "iq" && s.stanza.attribute("type") == "set"
}

// inspectStanza takes the start tag of a stanza. STARTTLS is answered here; before it no other stanza is allowed.
func (s *clientSession) inspectStanza(token xmlToken) condition {
	s.stanza = xmlToken{name: localName(token.name), attributes: token.attributes}
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

// inspectHeader takes a stream header. The first opens the request, later ones restart the stream.
func (s *clientSession) inspectHeader(token xmlToken) condition {
	s.headerPending = true
	if bad := s.checkHeader(token); bad != noCondition {
		return bad
	}
	name := token.attribute("to")
	if s.request != nil {
		if !strings.EqualFold(name, s.domainName) {
			return hostUnknown
		}
		return noCondition
	}
	domain, ok := s.front.domain(name)
	if !ok || name == "" {
		return hostUnknown
	}
	if s.awaitsStartTLS {
		s.offerStartTLS(name)
		return noCondition
	}
	s.domainName = name
	configured := s.front.configuredName(s.domain())
	verdict := s.front.admission.AdmitToDomain(s.front.loop.Now(), s.admission, configured)
	if verdict != peerlimit.Admitted {
		s.reject(verdict)
		return noCondition
	}
	s.user = localPart(token.attribute("from"), name)
	s.openRequest(domain)
	return noCondition
}

// checkHeader checks the namespaces of a stream header and its version, of which RFC 6120 (section 4.7.5) wants 1.0 at
// least.
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

// openRequest asks the core for a server.
func (s *clientSession) openRequest(domain Domain) {
	s.stopTimer()
	id := choice.RequestID(s.front.newID())
	spec := edge.Spec{
		ID: id, Class: domain.Class, Tenant: noTenant, Key: s.front.random.Uint64(),
		Deadline: s.front.loop.Now().Add(domain.SetupTimeout), StickyServer: s.stickyServer(domain),
	}
	if s.front.loop.Open()+2 > s.front.limits.MaxConnections {
		// A session needs one more descriptor for its server: they must not run out half way.
		zap.L().Warn("connection_limit_reached", zap.String("front", "xmpp"))
		domain.Core.Reject(spec, s, 0)
		return
	}
	s.client.LeaveIdleQueue()
	s.request = domain.Core.Open(spec, s)
}
