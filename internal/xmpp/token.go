package xmpp

import (
	"bytes"
	"strings"
)

const maxAttributes = 64 // attributes of one tag

// Depths of the elements that the front inspects. RFC 6120 distinguishes stanzas from other children of the root; this
// package calls every child of the root a stanza.
const (
	rootDepth   = 1
	stanzaDepth = 2
	childDepth  = 3 // children of a stanza
)

type tokenKind uint8

const (
	declarationToken tokenKind = iota // an XML declaration
	startToken
	endToken
	textToken // text, or a CDATA section
)

// xmlToken is one piece of markup or text. Its raw bytes are valid until the next call of the scanner.
type xmlToken struct {
	kind        tokenKind
	raw         []byte
	name        string
	attributes  []xmlAttribute
	selfClosing bool // the tag ends with "/>", so the element has no content
	depth       int  // depth of the element; for text, the number of open elements around it
	endsStanza  bool // the token completes a stanza or the root element
}

type xmlAttribute struct{ name, value string }

// starts reports whether the token is the start tag of an element at the given depth.
func (t *xmlToken) starts(depth int) bool { return t.kind == startToken && t.depth == depth }

// isElement reports whether the token has the local name and itself declares the namespace as its default namespace.
func (t *xmlToken) isElement(local, namespace string) bool {
	return localName(t.name) == local && t.attribute("xmlns") == namespace
}

func (t *xmlToken) isBlank() bool { return t.kind == textToken && len(bytes.TrimSpace(t.raw)) == 0 }

// attribute returns the value of the named attribute, or an empty string if the tag doesn't have it.
func (t *xmlToken) attribute(name string) string {
	for _, attribute := range t.attributes {
		if attribute.name == name {
			return attribute.value
		}
	}
	return ""
}

// parseTag parses a complete tag, from "<" to ">".
func parseTag(raw []byte) (token xmlToken, ok bool) {
	token = xmlToken{kind: startToken, raw: raw}
	content := raw[1 : len(raw)-1]
	switch {
	case len(content) > 0 && content[0] == '/':
		token.kind = endToken
		content = content[1:]
	case len(content) > 0 && content[len(content)-1] == '/':
		token.selfClosing = true
		content = content[:len(content)-1]
	}
	size := nameSize(content)
	if size == 0 {
		return token, false
	}
	token.name = string(content[:size])
	content = content[size:]
	for {
		trimmed := trimLeadingSpace(content)
		if len(trimmed) == 0 {
			return token, true
		}
		separated := len(trimmed) < len(content)
		if !separated || token.kind == endToken || len(token.attributes) == maxAttributes {
			return token, false
		}
		next, rest, ok := parseAttribute(trimmed)
		if !ok || token.hasAttribute(next.name) {
			return token, false
		}
		token.attributes = append(token.attributes, next)
		content = rest
	}
}

// parseAttribute parses the attribute at the start of content and returns the bytes after it.
func parseAttribute(content []byte) (parsed xmlAttribute, rest []byte, ok bool) {
	size := nameSize(content)
	if size == 0 {
		return xmlAttribute{}, nil, false
	}
	parsed.name = string(content[:size])
	content = trimLeadingSpace(content[size:])
	if len(content) == 0 || content[0] != '=' {
		return xmlAttribute{}, nil, false
	}
	content = trimLeadingSpace(content[1:])
	if len(content) == 0 || content[0] != '"' && content[0] != '\'' {
		return xmlAttribute{}, nil, false
	}
	quote := content[0]
	content = content[1:]
	size = bytes.IndexByte(content, quote)
	if size < 0 || bytes.IndexByte(content[:size], '<') >= 0 {
		return xmlAttribute{}, nil, false
	}
	parsed.value = unescape(string(content[:size]))
	return parsed, content[size+1:], true
}

func (t *xmlToken) hasAttribute(attributeName string) bool {
	for _, attribute := range t.attributes {
		if attribute.name == attributeName {
			return true
		}
	}
	return false
}

// tokenSearch is the progress of the search for the end of markup that is received in pieces. Without it, a tag in many
// small pieces would be searched from its beginning with each of them.
type tokenSearch struct {
	searched int  // bytes of the markup that don't contain its end
	quote    byte // the quotation mark that is open after them; 0: none
}

// tagEnd returns the index of the ">" that ends a tag, ignoring any in quoted values. It returns -1 if the end has not
// been received; the next call must then get the same bytes and those that follow.
func (t *tokenSearch) tagEnd(data []byte) int {
	for i := t.searched; i < len(data); i++ {
		b := data[i]
		switch {
		case t.quote != 0:
			if b == t.quote {
				t.quote = 0
			}
		case b == '"' || b == '\'':
			t.quote = b
		case b == '>':
			return i
		}
	}
	t.searched = len(data)
	return -1
}

// index returns the index of the closing markup, or -1 if it has not been received. It is used in the same way as
// tagEnd.
func (t *tokenSearch) index(data []byte, closing string) int {
	from := max(0, t.searched-len(closing)+1)
	if offset := bytes.Index(data[from:], []byte(closing)); offset >= 0 {
		return from + offset
	}
	t.searched = len(data)
	return -1
}

// nameSize returns the size in bytes of the name at the start of data.
func nameSize(data []byte) int {
	for i, b := range data {
		switch {
		case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b == '_', b == ':', b >= 0x80:
		case i > 0 && (b >= '0' && b <= '9' || b == '-' || b == '.'):
		default:
			return i
		}
	}
	return len(data)
}

func trimLeadingSpace(data []byte) []byte { return bytes.TrimLeft(data, " \t\r\n") }

var unescaper = strings.NewReplacer("&lt;", "<", "&gt;", ">", "&apos;", "'", "&quot;", `"`, "&amp;", "&")

func unescape(text string) string { return unescaper.Replace(text) }

var escaper = strings.NewReplacer("&", "&amp;", "<", "&lt;", ">", "&gt;", "'", "&apos;", `"`, "&quot;")

func escape(text string) string { return escaper.Replace(text) }
