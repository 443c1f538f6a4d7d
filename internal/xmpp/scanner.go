package xmpp

import (
	"bytes"
	"strings"
	"unicode/utf8"
)

// scanner reads one direction of a stream piece by piece: a restricted XML parser (RFC 6120, 11) that gives whole
// tokens as the bytes that came. It keeps an unfinished token back, so that nothing forbidden is passed on in part.
type scanner struct {
	most    int    // bytes of a stanza, and of a token
	part    []byte // an unfinished token
	stack   []string
	prefix  string // of the stream's namespace, from the root element
	size    int    // of the present stanza so far
	started bool   // a token of the present stream was seen: an XML declaration can't follow
	ended   bool   // the root element was closed
	restart bool   // a new stream may start in place of the present one
}

type kind uint8

const (
	decl kind = iota
	start
	end
	text
)

// token is one piece of markup or text. raw is the scanner's until the next call.
type token struct {
	kind  kind
	raw   []byte
	name  string
	attrs []attr
	empty bool // an element without content
	depth int  // of the element: the root has 1; of text: the elements round it
	whole bool // a child of the root, or the root's end, is complete with this
}

type attr struct{ name, value string }

func (t token) attr(name string) string {
	for _, a := range t.attrs {
		if a.name == name {
			return a.value
		}
	}
	return ""
}

// local is a name without its prefix.
func local(name string) string { return name[strings.IndexByte(name, ':')+1:] }

// condition is a defined stream error (RFC 6120, 4.9.3).
type condition string

const (
	badFormat              condition = "bad-format"
	conflict               condition = "conflict"
	connectionTimeout      condition = "connection-timeout"
	hostUnknown            condition = "host-unknown"
	internalServerError    condition = "internal-server-error"
	invalidNamespace       condition = "invalid-namespace"
	notWellFormed          condition = "not-well-formed"
	policyViolation        condition = "policy-violation"
	remoteConnectionFailed condition = "remote-connection-failed"
	resourceConstraint     condition = "resource-constraint"
	restrictedXML          condition = "restricted-xml"
	seeOtherHost           condition = "see-other-host"
	systemShutdown         condition = "system-shutdown"
	unsupportedEncoding    condition = "unsupported-encoding"
	unsupportedVersion     condition = "unsupported-version"
)

const (
	mostDepth = 128
	mostAttrs = 64
)

// feed takes a piece and calls fn for each whole token in it, until fn returns false. What fn has not seen then is
// returned. A condition other than "" says why the stream can't go on; later calls make no sense.
func (s *scanner) feed(p []byte, fn func(token) bool) (rest []byte, bad condition) {
	if len(s.part) > 0 {
		p = append(s.part, p...)
		s.part = nil
	}
	for len(p) > 0 {
		t, n, bad := s.next(p)
		if bad != "" {
			return nil, bad
		}
		if n == 0 {
			if len(p) > s.most {
				return nil, policyViolation
			}
			s.part = bytes.Clone(p)
			return nil, ""
		}
		if bad := s.enter(&t, n); bad != "" {
			return nil, bad
		}
		p = p[n:]
		if !fn(t) {
			return p, ""
		}
	}
	return nil, ""
}

// next cuts one token off p; n is 0 where it is not whole yet.
func (s *scanner) next(p []byte) (t token, n int, bad condition) {
	if p[0] != '<' {
		return s.nextText(p)
	}
	if len(p) < 2 {
		return t, 0, ""
	}
	switch p[1] {
	case '?':
		return s.nextDecl(p)
	case '!':
		const cdata = "<![CDATA["
		if len(p) < len(cdata) {
			if strings.HasPrefix(cdata, string(p)) {
				return t, 0, ""
			}
			return t, 0, restrictedXML // a comment or a DTD
		}
		if string(p[:len(cdata)]) != cdata {
			return t, 0, restrictedXML
		}
		i := bytes.Index(p, []byte("]]>"))
		if i < 0 {
			return t, 0, ""
		}
		return token{kind: text, raw: p[:i+3]}, i + 3, legal(p[:i+3])
	}
	i := closing(p)
	if i < 0 {
		return t, 0, ""
	}
	raw := p[:i+1]
	if bad := legal(raw); bad != "" {
		return t, 0, bad
	}
	t, ok := parseTag(raw)
	if !ok {
		return t, 0, notWellFormed
	}
	return t, i + 1, ""
}

// closing finds the end of a tag, past quoted values; -1: not there yet.
func closing(p []byte) int {
	quote := byte(0)
	for i, b := range p {
		switch {
		case quote != 0:
			if b == quote {
				quote = 0
			}
		case b == '"' || b == '\'':
			quote = b
		case b == '>':
			return i
		}
	}
	return -1
}

func (s *scanner) nextDecl(p []byte) (t token, n int, bad condition) {
	const head = "<?xml"
	if len(p) <= len(head) {
		if strings.HasPrefix(head, string(p)) {
			return t, 0, ""
		}
		return t, 0, restrictedXML
	}
	if string(p[:len(head)]) != head || !blank(p[len(head)]) {
		return t, 0, restrictedXML // a processing instruction
	}
	if s.started && !(s.restart && len(s.stack) == 1) {
		return t, 0, restrictedXML
	}
	i := bytes.Index(p, []byte("?>"))
	if i < 0 {
		return t, 0, ""
	}
	t, ok := parseTag(append(append([]byte("<x"), p[len(head):i]...), '>'))
	if !ok || t.attr("version") != "1.0" {
		return t, 0, notWellFormed
	}
	if e := t.attr("encoding"); e != "" && !strings.EqualFold(e, "utf-8") {
		return t, 0, unsupportedEncoding
	}
	return token{kind: decl, raw: p[:i+2]}, i + 2, ""
}

func (s *scanner) nextText(p []byte) (t token, n int, bad condition) {
	n = bytes.IndexByte(p, '<')
	open := n < 0 // more text may follow
	if open {
		n = len(p)
		for back := 1; back <= min(utf8.UTFMax-1, n); back++ { // keep back a character cut in two
			if b := p[n-back]; utf8.RuneStart(b) {
				if !utf8.FullRune(p[n-back : n]) {
					n -= back
				}
				break
			}
		}
	}
	for i := 0; i < n; {
		j := bytes.IndexByte(p[i:n], '&')
		if j < 0 {
			break
		}
		at := i + j
		k := bytes.IndexByte(p[at:n], ';')
		if k < 0 {
			if open && n-at <= 12 {
				n = at
				break
			}
			return t, 0, notWellFormed
		}
		if !knownEntity(string(p[at+1 : at+k])) {
			return t, 0, restrictedXML
		}
		i = at + k + 1
	}
	if n == 0 {
		return t, 0, ""
	}
	return token{kind: text, raw: p[:n]}, n, legal(p[:n])
}

func knownEntity(e string) bool {
	switch e {
	case "lt", "gt", "amp", "apos", "quot":
		return true
	}
	return len(e) > 1 && e[0] == '#'
}

// legal checks that p is UTF-8 without characters that XML forbids.
func legal(p []byte) condition {
	if !utf8.Valid(p) {
		return notWellFormed
	}
	for _, b := range p {
		if b < ' ' && b != '\t' && b != '\n' && b != '\r' {
			return notWellFormed
		}
	}
	return ""
}

func blank(b byte) bool { return b == ' ' || b == '\t' || b == '\n' || b == '\r' }

func nameEnd(p []byte) int {
	for i, b := range p {
		switch {
		case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b == '_', b == ':', b >= 0x80:
		case i > 0 && (b >= '0' && b <= '9' || b == '-' || b == '.'):
		default:
			return i
		}
	}
	return len(p)
}

// parseTag reads a whole tag.
func parseTag(raw []byte) (t token, ok bool) {
	p := raw[1 : len(raw)-1]
	t.raw, t.kind = raw, start
	if len(p) > 0 && p[0] == '/' {
		t.kind, p = end, p[1:]
	} else if len(p) > 0 && p[len(p)-1] == '/' {
		t.empty, p = true, p[:len(p)-1]
	}
	n := nameEnd(p)
	if n == 0 {
		return t, false
	}
	t.name, p = string(p[:n]), p[n:]
	for {
		n := 0
		for n < len(p) && blank(p[n]) {
			n++
		}
		if n == len(p) {
			return t, true
		}
		p, t.attrs = p[n:], append(t.attrs, attr{})
		if n == 0 || t.kind == end || len(t.attrs) > mostAttrs {
			return t, false
		}
		a := &t.attrs[len(t.attrs)-1]
		if n = nameEnd(p); n == 0 {
			return t, false
		}
		a.name, p = string(p[:n]), bytes.TrimLeft(p[n:], " \t\r\n")
		if len(p) == 0 || p[0] != '=' {
			return t, false
		}
		p = bytes.TrimLeft(p[1:], " \t\r\n")
		if len(p) == 0 || p[0] != '"' && p[0] != '\'' {
			return t, false
		}
		n = bytes.IndexByte(p[1:], p[0])
		if n < 0 || bytes.IndexByte(p[1:n+1], '<') >= 0 {
			return t, false
		}
		a.value, p = unescape(string(p[1:n+1])), p[n+2:]
		for _, b := range t.attrs[:len(t.attrs)-1] {
			if b.name == a.name {
				return t, false
			}
		}
	}
}

var entities = strings.NewReplacer("&lt;", "<", "&gt;", ">", "&apos;", "'", "&quot;", `"`, "&amp;", "&")

func unescape(v string) string { return entities.Replace(v) }

func escape(v string) string {
	return strings.NewReplacer("&", "&amp;", "<", "&lt;", ">", "&gt;", "'", "&apos;", `"`, "&quot;").Replace(v)
}

// enter keeps account of elements and checks that they nest.
func (s *scanner) enter(t *token, n int) condition {
	fresh := !s.started
	if t.kind == decl && s.restart {
		s.stack, s.restart = s.stack[:0], false
		fresh = true
	}
	if t.kind == start && s.restart && len(s.stack) == 1 && local(t.name) == "stream" {
		s.stack, s.restart = s.stack[:0], false
	}
	s.started = s.started || t.kind != text || len(bytes.TrimSpace(t.raw)) > 0
	if t.kind == decl {
		if !fresh {
			return restrictedXML
		}
		s.ended = false
		return ""
	}
	if s.ended && (t.kind != text || len(bytes.TrimSpace(t.raw)) > 0) {
		return notWellFormed
	}
	if len(s.stack) > 1 || t.kind == start {
		s.size += n
	}
	if s.size > s.most {
		return policyViolation
	}
	switch t.kind {
	case start:
		t.depth = len(s.stack) + 1
		if t.depth > mostDepth {
			return policyViolation
		}
		if t.depth == 1 {
			if t.empty {
				return badFormat
			}
			s.prefix, s.size = "", 0
			if i := strings.IndexByte(t.name, ':'); i >= 0 {
				s.prefix = t.name[:i]
			}
		}
		if !t.empty {
			s.stack = append(s.stack, t.name)
		} else if t.depth == 2 {
			t.whole, s.size = true, 0
		}
	case end:
		if len(s.stack) == 0 || s.stack[len(s.stack)-1] != t.name {
			return notWellFormed
		}
		t.depth = len(s.stack)
		s.stack = s.stack[:t.depth-1]
		if t.depth <= 2 {
			t.whole, s.size = true, 0
		}
		s.ended = t.depth == 1
	case text:
		t.depth = len(s.stack)
		if t.depth <= 1 && len(bytes.TrimSpace(t.raw)) > 0 {
			if t.depth == 0 {
				return notWellFormed
			}
			return badFormat
		}
	}
	return ""
}

// between reports whether something may be put between the tokens here: inside the stream and outside any stanza.
func (s *scanner) between() bool { return len(s.stack) <= 1 }
