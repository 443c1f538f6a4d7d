package xmpp

import (
	"bytes"
	"strings"
	"unicode/utf8"
)

const (
	// MaxDepth is the maximum number of nested elements.
	MaxDepth          = 128
	maxReferenceBytes = 12 // length up to which the scanner waits for the end of an entity reference
)

// scanner reads one direction of a stream incrementally. It is a parser of restricted XML (RFC 6120, section 11) that
// yields whole tokens with their bytes as received. It holds back an unfinished token, so that no part of forbidden
// markup is forwarded.
type scanner struct {
	maxBytes    int    // limit of a stanza, and of a token
	pending     []byte // bytes of an unfinished token
	search      tokenSearch
	elements    []string // names of the open elements, the root first
	prefix      string   // prefix of the stream's namespace, from the root element
	stanzaBytes int      // bytes of the current stanza so far
	started     bool     // a token of the current stream was seen; an XML declaration can't follow
	ended       bool     // the root element was closed
	mayRestart  bool     // a new stream may start in place of the current one
}

// feed scans received bytes and calls visit for each whole token. If visit returns false, feed returns the bytes after
// that token. A condition other than noCondition tells why the stream can't continue, and feed must not be called again
// after it.
func (s *scanner) feed(data []byte, visit func(xmlToken) bool) (rest []byte, errorCondition condition) {
	isOwned := len(s.pending) > 0 // data is the scanner's own buffer, which still begins with the unfinished token
	if isOwned {
		data = append(s.pending, data...)
		s.pending = nil
	}
	for len(data) > 0 {
		next, size, errorCondition := s.next(data)
		if errorCondition != noCondition {
			return nil, errorCondition
		}
		if size == 0 {
			if len(data) > s.maxBytes {
				return nil, policyViolation
			}
			if !isOwned {
				data = bytes.Clone(data)
			}
			s.pending = data
			return nil, noCondition
		}
		s.search = tokenSearch{}
		isOwned = false
		if errorCondition := s.track(&next, size); errorCondition != noCondition {
			return nil, errorCondition
		}
		data = data[size:]
		if !visit(next) {
			return data, noCondition
		}
	}
	return nil, noCondition
}

// next returns the first token of data and its size in bytes. The size is 0 if the token is not complete yet. The data
// must not be empty.
func (s *scanner) next(data []byte) (token xmlToken, size int, errorCondition condition) {
	if data[0] != '<' {
		return nextText(data)
	}
	if len(data) < 2 {
		return xmlToken{}, 0, noCondition
	}
	switch data[1] {
	case '?':
		return s.nextDeclaration(data)
	case '!':
		return s.nextCDATA(data)
	}
	end := s.search.tagEnd(data)
	if end < 0 {
		return xmlToken{}, 0, noCondition
	}
	raw := data[:end+1]
	if errorCondition := checkCharacters(raw); errorCondition != noCondition {
		return xmlToken{}, 0, errorCondition
	}
	token, ok := parseTag(raw)
	if !ok {
		return xmlToken{}, 0, notWellFormed
	}
	return token, len(raw), noCondition
}

// nextCDATA reads a CDATA section, the only markup with "<!" that is allowed. Comments and DTDs yield restrictedXML.
func (s *scanner) nextCDATA(data []byte) (token xmlToken, size int, errorCondition condition) {
	const opening, closing = "<![CDATA[", "]]>"
	if len(data) < len(opening) && strings.HasPrefix(opening, string(data)) {
		return xmlToken{}, 0, noCondition
	}
	if !bytes.HasPrefix(data, []byte(opening)) {
		return xmlToken{}, 0, restrictedXML
	}
	contentEnd := s.search.index(data, closing)
	if contentEnd < 0 {
		return xmlToken{}, 0, noCondition
	}
	raw := data[:contentEnd+len(closing)]
	return xmlToken{kind: textToken, raw: raw}, len(raw), checkCharacters(raw)
}

// nextDeclaration reads an XML declaration, which is allowed only before a root element. Processing instructions yield
// restrictedXML.
func (s *scanner) nextDeclaration(data []byte) (token xmlToken, size int, errorCondition condition) {
	const opening, closing = "<?xml", "?>"
	if len(data) <= len(opening) {
		if strings.HasPrefix(opening, string(data)) {
			return xmlToken{}, 0, noCondition
		}
		return xmlToken{}, 0, restrictedXML
	}
	if !bytes.HasPrefix(data, []byte(opening)) || !isSpace(data[len(opening)]) {
		return xmlToken{}, 0, restrictedXML
	}
	if s.started && (!s.mayRestart || len(s.elements) != 1) {
		return xmlToken{}, 0, restrictedXML
	}
	contentEnd := s.search.index(data, closing)
	if contentEnd < 0 {
		return xmlToken{}, 0, noCondition
	}
	asTag := append([]byte("<x"), data[len(opening):contentEnd]...) // a declaration has the attribute syntax of a tag
	declaration, ok := parseTag(append(asTag, '>'))
	if !ok || declaration.attribute("version") != "1.0" {
		return xmlToken{}, 0, notWellFormed
	}
	if encoding := declaration.attribute("encoding"); encoding != "" && !strings.EqualFold(encoding, "utf-8") {
		return xmlToken{}, 0, unsupportedEncoding
	}
	raw := data[:contentEnd+len(closing)]
	return xmlToken{kind: declarationToken, raw: raw}, len(raw), noCondition
}

// nextText reads text up to the next markup, or as much of it as can be checked now.
func nextText(data []byte) (token xmlToken, size int, errorCondition condition) {
	size = bytes.IndexByte(data, '<')
	mayContinue := size < 0
	if mayContinue {
		size = len(data) - partialRuneBytes(data)
	}
	size, errorCondition = checkReferences(data[:size], mayContinue)
	if errorCondition != noCondition || size == 0 {
		return xmlToken{}, 0, errorCondition
	}
	raw := data[:size]
	return xmlToken{kind: textToken, raw: raw}, size, checkCharacters(raw)
}

// partialRuneBytes returns the number of bytes at the end of text that belong to a character not yet fully received.
func partialRuneBytes(text []byte) int {
	for size := 1; size <= min(utf8.UTFMax-1, len(text)); size++ {
		last := text[len(text)-size:]
		if !utf8.RuneStart(last[0]) {
			continue
		}
		if utf8.FullRune(last) {
			return 0
		}
		return size
	}
	return 0
}

// checkReferences checks the entity references of text and returns how many bytes of the text have been checked. If the
// text may continue, this number excludes an unfinished reference at its end.
func checkReferences(text []byte, mayContinue bool) (size int, errorCondition condition) {
	for checked := 0; checked < len(text); {
		offset := bytes.IndexByte(text[checked:], '&')
		if offset < 0 {
			break
		}
		start := checked + offset
		length := bytes.IndexByte(text[start:], ';')
		switch {
		case length < 0 && mayContinue && len(text)-start <= maxReferenceBytes:
			return start, noCondition
		case length < 0:
			return 0, notWellFormed
		case !isAllowedReference(string(text[start+1 : start+length])):
			return 0, restrictedXML
		}
		checked = start + length + 1
	}
	return len(text), noCondition
}

// isAllowedReference reports whether a name is one of XML's predefined entities or a character reference. Other
// entities would need a DTD.
func isAllowedReference(name string) bool {
	switch name {
	case "lt", "gt", "amp", "apos", "quot":
		return true
	}
	return len(name) > 1 && name[0] == '#'
}

// checkCharacters checks that data is valid UTF-8 without the control characters below U+0020 that XML 1.0 forbids.
// A character that is still incomplete at the end of received text is no error; nextText excludes it from data.
func checkCharacters(data []byte) condition {
	if !utf8.Valid(data) {
		return notWellFormed
	}
	for _, b := range data {
		if b < ' ' && !isSpace(b) {
			return notWellFormed
		}
	}
	return noCondition
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\n' || b == '\r' }
