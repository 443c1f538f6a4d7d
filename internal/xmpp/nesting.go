package xmpp

import "strings"

// track updates the stack of open elements with a token of the given size in bytes, sets the token's depth, and checks
// that the elements nest correctly.
func (s *scanner) track(token *xmlToken, size int) condition {
	declarationAllowed := !s.started
	if s.startsNewStream(token) {
		s.elements = s.elements[:0]
		s.mayRestart = false
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
		s.stanzaBytes += size
	}
	if s.stanzaBytes > s.maxBytes {
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

// startsNewStream reports whether a token starts a new stream in place of the current one. It returns false if
// mayRestart doesn't allow a new stream.
func (s *scanner) startsNewStream(token *xmlToken) bool {
	if !s.mayRestart {
		return false
	}
	return token.kind == declarationToken ||
		token.kind == startToken && len(s.elements) == 1 && localName(token.name) == "stream"
}

func (s *scanner) trackStart(token *xmlToken) condition {
	token.depth = len(s.elements) + 1
	if token.depth > MaxDepth {
		return policyViolation
	}
	if token.depth == rootDepth {
		if token.selfClosing {
			return badFormat
		}
		s.stanzaBytes = 0
		s.prefix, _ = splitName(token.name)
	}
	if !token.selfClosing {
		s.elements = append(s.elements, token.name)
	} else if token.depth == stanzaDepth {
		token.endsStanza = true
		s.stanzaBytes = 0
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
		s.stanzaBytes = 0
	}
	s.ended = token.depth == rootDepth
	return noCondition
}

// trackText rejects text other than white space outside the root element and between stanzas.
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

// betweenStanzas reports whether the scanner is outside any stanza, where the front may insert its own markup.
func (s *scanner) betweenStanzas() bool { return len(s.elements) <= rootDepth }

// splitName splits a qualified name into its prefix and its local name. The prefix is empty if the name has none.
func splitName(name string) (prefix, local string) {
	colon := strings.IndexByte(name, ':')
	return name[:max(colon, 0)], name[colon+1:]
}

func localName(name string) string {
	_, local := splitName(name)
	return local
}
