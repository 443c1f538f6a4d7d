package xmpp

import "strings"

// track updates the open elements with a token of so many bytes, sets the token's place among them, and checks that
// elements nest.
func (s *scanner) track(token *xmlToken, size int) condition {
	declarationAllowed := !s.started
	if s.restarts(token) {
		s.elements = s.elements[:0]
		s.restart = false
		declarationAllowed = true
	}
	s.started = s.started || !token.isBlank()
	if token.kind == declarationToken {
		if !declarationAllowed {
			return restrictedXML
		}
		s.ended = false
		return noCondition
	}
	if s.ended && !token.isBlank() {
		return notWellFormed
	}
	if len(s.elements) > 1 || token.kind == startToken {
		s.size += size
	}
	if s.size > s.maxBytes {
		return policyViolation
	}
	switch token.kind {
	case startToken:
		return s.trackStart(token)
	case endToken:
		return s.trackEnd(token)
	default:
		return s.trackText(token)
	}
}

// restarts reports whether a token starts a new stream in place of the present one, where that is allowed.
func (s *scanner) restarts(token *xmlToken) bool {
	if !s.restart {
		return false
	}
	return token.kind == declarationToken ||
		token.kind == startToken && len(s.elements) == 1 && localName(token.name) == "stream"
}

func (s *scanner) trackStart(token *xmlToken) condition {
	token.depth = len(s.elements) + 1
	if token.depth > maxDepth {
		return policyViolation
	}
	if token.depth == rootDepth {
		if token.selfClosing {
			return badFormat
		}
		s.size = 0
		s.prefix, _ = splitName(token.name)
	}
	if !token.selfClosing {
		s.elements = append(s.elements, token.name)
	} else if token.depth == stanzaDepth {
		token.endsStanza = true
		s.size = 0
	}
	return noCondition
}

func (s *scanner) trackEnd(token *xmlToken) condition {
	token.depth = len(s.elements)
	if token.depth == 0 || s.elements[token.depth-1] != token.name {
		return notWellFormed
	}
	s.elements = s.elements[:token.depth-1]
	if token.depth <= stanzaDepth {
		token.endsStanza = true
		s.size = 0
	}
	s.ended = token.depth == rootDepth
	return noCondition
}

// trackText allows nothing but white space around the root element and between stanzas.
func (s *scanner) trackText(token *xmlToken) condition {
	token.depth = len(s.elements)
	if token.depth > rootDepth || token.isBlank() {
		return noCondition
	}
	if token.depth == 0 {
		return notWellFormed
	}
	return badFormat
}

// betweenStanzas reports whether other markup may be put in here: inside the stream and outside any stanza.
func (s *scanner) betweenStanzas() bool { return len(s.elements) <= rootDepth }

// splitName splits a qualified name into its prefix, empty where it has none, and its local name.
func splitName(name string) (prefix, local string) {
	colon := strings.IndexByte(name, ':')
	return name[:max(colon, 0)], name[colon+1:]
}

func localName(name string) string {
	_, local := splitName(name)
	return local
}
