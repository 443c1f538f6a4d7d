package xmpp

import (
	"bytes"
	"strings"
	"unicode/utf8"
)

const (
	maxDepth          = 128 // of nested elements
	maxReferenceBytes = 12  // of an unfinished entity reference that is waited for
)

// scanner reads one direction of a stream piece by piece. It is a parser of restricted XML (RFC 6120, section 11) that
// yields whole tokens as the bytes that were received. It keeps an unfinished token back, so that no part of forbidden
// markup is forwarded.
type scanner struct {
	maxBytes int      // of a stanza, and of a token
	pending  []byte   // an unfinished token
	elements []string // names of the open elements, the root first
	prefix   string   // of the stream's namespace, from the root element
	size     int      // bytes of the present stanza so far
	started  bool     // a token of the present stream was seen: an XML declaration can't follow
	ended    bool     // the root element was closed
	restart  bool     // a new stream may start in place of the present one
}

// feed takes received bytes and calls visit for each whole token in them, until visit returns false; it then returns
// the bytes behind that token. A condition other than noCondition says why the stream can't go on; feed must not be
// called again after one.
func (s *scanner) feed(data []byte, visit func(xmlToken) bool) (rest []byte, bad condition) {
	if len(s.pending) > 0 {
		data = append(s.pending, data...)
		s.pending = nil
	}
	for len(data) > 0 {
		next, size, bad := s.next(data)
		if bad != noCondition {
			return nil, bad
		}
		if size == 0 {
			if len(data) > s.maxBytes {
				return nil, policyViolation
			}
			s.pending = bytes.Clone(data)
			return nil, noCondition
		}
		if bad := s.track(&next, size); bad != noCondition {
			return nil, bad
		}
		data = data[size:]
		if !visit(next) {
			return data, noCondition
		}
	}
	return nil, noCondition
}

// next reads the first token of data, which is not empty, and its size in bytes; 0: the token is not whole yet.
func (s *scanner) next(data []byte) (token xmlToken, size int, bad condition) {
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
		return nextCDATA(data)
	}
	end := tagEnd(data)
	if end < 0 {
		return xmlToken{}, 0, noCondition
	}
	raw := data[:end+1]
	if bad := checkCharacters(raw); bad != noCondition {
		return xmlToken{}, 0, bad
	}
	token, ok := parseTag(raw)
	if !ok {
		return xmlToken{}, 0, notWellFormed
	}
	return token, len(raw), noCondition
}

// nextCDATA reads a CDATA section, the only markup with "<!" that is allowed: comments and DTDs are restricted XML.
func nextCDATA(data []byte) (token xmlToken, size int, bad condition) {
	const opening, closing = "<![CDATA[", "]]>"
	if len(data) < len(opening) && strings.HasPrefix(opening, string(data)) {
		return xmlToken{}, 0, noCondition
	}
	if !bytes.HasPrefix(data, []byte(opening)) {
		return xmlToken{}, 0, restrictedXML
	}
	content := bytes.Index(data, []byte(closing))
	if content < 0 {
		return xmlToken{}, 0, noCondition
	}
	raw := data[:content+len(closing)]
	return xmlToken{kind: textToken, raw: raw}, len(raw), checkCharacters(raw)
}

// nextDeclaration reads an XML declaration, which may stand only before a root element. Processing instructions are
// restricted XML.
func (s *scanner) nextDeclaration(data []byte) (token xmlToken, size int, bad condition) {
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
	if s.started && (!s.restart || len(s.elements) != 1) {
		return xmlToken{}, 0, restrictedXML
	}
	content := bytes.Index(data, []byte(closing))
	if content < 0 {
		return xmlToken{}, 0, noCondition
	}
	asTag := append([]byte("<x"), data[len(opening):content]...) // a declaration has the attributes of a tag
	declaration, ok := parseTag(append(asTag, '>'))
	if !ok || declaration.attribute("version") != "1.0" {
		return xmlToken{}, 0, notWellFormed
	}
	if encoding := declaration.attribute("encoding"); encoding != "" && !strings.EqualFold(encoding, "utf-8") {
		return xmlToken{}, 0, unsupportedEncoding
	}
	raw := data[:content+len(closing)]
	return xmlToken{kind: declarationToken, raw: raw}, len(raw), noCondition
}

// nextText reads text up to the next markup, or as much of it as can be judged now.
func nextText(data []byte) (token xmlToken, size int, bad condition) {
	size = bytes.IndexByte(data, '<')
	mayContinue := size < 0
	if mayContinue {
		size = len(data) - cutRuneBytes(data)
	}
	size, bad = checkReferences(data[:size], mayContinue)
	if bad != noCondition || size == 0 {
		return xmlToken{}, 0, bad
	}
	raw := data[:size]
	return xmlToken{kind: textToken, raw: raw}, size, checkCharacters(raw)
}

// cutRuneBytes counts the bytes of a character at the end of text whose other bytes have not been received.
func cutRuneBytes(text []byte) int {
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

// checkReferences checks the entity references of text and returns how many of its bytes can be judged: if the text may
// continue, an unfinished reference at its end is not among them.
func checkReferences(text []byte, mayContinue bool) (size int, bad condition) {
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

// isAllowedReference reports whether a name is one of XML's predefined entities or a character reference: others would
// need a DTD.
func isAllowedReference(name string) bool {
	switch name {
	case "lt", "gt", "amp", "apos", "quot":
		return true
	}
	return len(name) > 1 && name[0] == '#'
}

// checkCharacters checks that data is valid UTF-8 without the control characters below U+0020 that XML 1.0 forbids.
// nextText has taken off a character that is cut off at the end of data: it isn't a fault.
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
