package xmpp

import (
	"bytes"
	"strings"
	"testing"
)

// scan feeds a stream in pieces of n bytes and returns the raw tokens, joined by |, and the condition.
func scan(stream string, n, most int) (string, condition) {
	s := scanner{most: most}
	var raw []string
	for p := []byte(stream); len(p) > 0; {
		k := min(n, len(p))
		_, bad := s.feed(p[:k], func(t token) bool {
			raw = append(raw, string(t.raw))
			return true
		})
		if bad != "" {
			return strings.Join(raw, "|"), bad
		}
		p = p[k:]
	}
	return strings.Join(raw, "|"), ""
}

const root = "<stream:stream xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>"

func TestScanner(t *testing.T) {
	for _, c := range []struct {
		name, in, out string
		bad           condition
	}{
		{"whole", "<?xml version='1.0'?>" + root + "<a b=\"x>y\"/></stream:stream> ", "<?xml version='1.0'?>|" + root + "|<a b=\"x>y\"/>|</stream:stream>| ", ""},
		{"cdata", root + "<a><![CDATA[<!-- ]] -->]]></a>", root + "|<a>|<![CDATA[<!-- ]] -->]]>|</a>", ""},
		{"entities", root + "<a>&amp;&#x41;</a>", root + "|<a>|&amp;&#x41;|</a>", ""},
		{"comment", root + "<a><!-- x -->", root + "|<a>", restrictedXML},
		{"dtd", "<!DOCTYPE a>", "", restrictedXML},
		{"dtd after the declaration", "<?xml version='1.0'?><!DOCTYPE a>", "<?xml version='1.0'?>", restrictedXML},
		{"pi", root + "<?php ?>", root, restrictedXML},
		{"pi like xml", "<?xml-stylesheet a='b'?>", "", restrictedXML},
		{"late declaration", root + "<?xml version='1.0'?>", root, restrictedXML},
		{"entity", root + "<a>&x;</a>", root + "|<a>", restrictedXML},
		{"bare ampersand", root + "<a>& </a>", root + "|<a>", notWellFormed},
		{"nesting", root + "<a></b>", root + "|<a>", notWellFormed},
		{"twice the attribute", root + "<a b='1' b='2'/>", root, notWellFormed},
		{"no quotes", root + "<a b=1/>", root, notWellFormed},
		{"two roots", root + "</stream:stream><a>", root + "|</stream:stream>", notWellFormed},
		{"a second stream unasked", root + "<stream:stream></stream:stream>", root + "|<stream:stream>|</stream:stream>", ""},
		{"text between stanzas", root + "x", root, badFormat},
		{"odd byte", root + "<a>\x01</a>", root + "|<a>", notWellFormed},
		{"no UTF-8", root + "<a>\xff\xfe</a>", root + "|<a>", notWellFormed},
		{"encoding", "<?xml version='1.0' encoding='UTF-16'?>", "", unsupportedEncoding},
		{"deep", root + strings.Repeat("<a>", 200), "", policyViolation},
		{"long stanza", root + "<a>" + strings.Repeat("<b/>", 400), "", policyViolation},
		{"long token", root + "<a b='" + strings.Repeat("x", 2000), root, policyViolation},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, bad := scan(c.in, len(c.in), 1000)
			if bad != c.bad || c.out != "" && out != c.out {
				t.Errorf("got %q, %q", out, bad)
			}
			if one, bad := scan(c.in, 1, 1000); bad != c.bad || joined(one) != joined(out) {
				t.Errorf("byte by byte: %q, %q; whole: %q", one, bad, out)
			}
		})
	}
}

func joined(tokens string) string { return strings.ReplaceAll(tokens, "|", "") }

// FuzzScanner checks that whatever is passed on came, in order, and that no forbidden markup is in it.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(root+"<a b='c'>d&lt;<![CDATA[e]]></a></stream:stream>"), 3)
	f.Add([]byte("<?xml version='1.0'?>"+root+"<!-- x -->"), 1)
	f.Fuzz(func(t *testing.T, in []byte, n int) {
		n = max(1, min(n, 1<<10))
		s := scanner{most: 500}
		var out []byte
		for p := in; len(p) > 0; {
			k := min(n, len(p))
			_, bad := s.feed(p[:k], func(x token) bool {
				if x.kind != text && (bytes.HasPrefix(x.raw, []byte("<!")) || bytes.HasPrefix(x.raw, []byte("<?")) && x.kind != decl) {
					t.Fatalf("token %q", x.raw)
				}
				out = append(out, x.raw...)
				return true
			})
			if bad != "" {
				break
			}
			p = p[k:]
		}
		if !bytes.HasPrefix(in, out) {
			t.Fatalf("%q made of %q", out, in)
		}
		if len(s.part) > s.most {
			t.Fatalf("%d bytes kept", len(s.part))
		}
	})
}
