package xmpp

import (
	"bytes"
	"strings"
	"testing"
)

// scan feeds a stream in pieces of a size and returns the raw tokens, joined by |, and the condition.
func scan(stream string, pieceSize, maxBytes int) (string, condition) {
	s := scanner{maxBytes: maxBytes}
	var tokens []string
	for rest := []byte(stream); len(rest) > 0; {
		size := min(pieceSize, len(rest))
		_, bad := s.feed(rest[:size], func(t xmlToken) bool {
			tokens = append(tokens, string(t.raw))
			return true
		})
		if bad != noCondition {
			return strings.Join(tokens, "|"), bad
		}
		rest = rest[size:]
	}
	return strings.Join(tokens, "|"), noCondition
}

const root = "<stream:stream xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>"

// scannerCases are streams with their tokens, empty: any, and the condition that they end with.
var scannerCases = []struct {
	name, stream, tokens string
	bad                  condition
}{
	{
		"whole", "<?xml version='1.0'?>" + root + "<a b=\"x>y\"/></stream:stream> ",
		"<?xml version='1.0'?>|" + root + "|<a b=\"x>y\"/>|</stream:stream>| ", "",
	},
	{
		"cdata", root + "<a><![CDATA[<!-- ]] -->]]></a>",
		root + "|<a>|<![CDATA[<!-- ]] -->]]>|</a>", "",
	},
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
	{"duplicate attribute", root + "<a b='1' b='2'/>", root, notWellFormed},
	{"no quotes", root + "<a b=1/>", root, notWellFormed},
	{"two roots", root + "</stream:stream><a>", root + "|</stream:stream>", notWellFormed},
	{
		"unexpected second stream", root + "<stream:stream></stream:stream>",
		root + "|<stream:stream>|</stream:stream>", "",
	},
	{"text between stanzas", root + "x", root, badFormat},
	{"control character", root + "<a>\x01</a>", root + "|<a>", notWellFormed},
	{"no UTF-8", root + "<a>\xff\xfe</a>", root + "|<a>", notWellFormed},
	{"encoding", "<?xml version='1.0' encoding='UTF-16'?>", "", unsupportedEncoding},
	{"deep", root + strings.Repeat("<a>", 200), "", policyViolation},
	{"long stanza", root + "<a>" + strings.Repeat("<b/>", 400), "", policyViolation},
	{"long token", root + "<a b='" + strings.Repeat("x", 2000), root, policyViolation},
}

// TestScanner scans streams whole and byte by byte: the tokens and the condition are the same.
func TestScanner(t *testing.T) {
	for _, test := range scannerCases {
		t.Run(test.name, func(t *testing.T) {
			tokens, bad := scan(test.stream, len(test.stream), 1000)
			if bad != test.bad || test.tokens != "" && tokens != test.tokens {
				t.Errorf("got %q, %q, wanted %q, %q", tokens, bad, test.tokens, test.bad)
			}
			byByte, bad := scan(test.stream, 1, 1000)
			if bad != test.bad || unseparated(byByte) != unseparated(tokens) {
				t.Errorf("byte by byte got %q, %q, wanted as from the whole stream %q", byByte, bad, tokens)
			}
		})
	}
}

func unseparated(tokens string) string { return strings.ReplaceAll(tokens, "|", "") }

// FuzzScanner checks that what is forwarded was received, in order, and that no forbidden markup is in it.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(root+"<a b='c'>d&lt;<![CDATA[e]]></a></stream:stream>"), 3)
	f.Add([]byte("<?xml version='1.0'?>"+root+"<!-- x -->"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, pieceSize int) {
		pieceSize = max(1, min(pieceSize, 1<<10))
		scanned := scanner{maxBytes: 500}
		var forwarded []byte
		for rest := stream; len(rest) > 0; {
			size := min(pieceSize, len(rest))
			_, bad := scanned.feed(rest[:size], func(next xmlToken) bool {
				if isForbidden(next) {
					t.Fatalf("the scanner yielded the token %q", next.raw)
				}
				forwarded = append(forwarded, next.raw...)
				return true
			})
			if bad != noCondition {
				break
			}
			rest = rest[size:]
		}
		if !bytes.HasPrefix(stream, forwarded) {
			t.Fatalf("forwarded %q, which is no prefix of %q", forwarded, stream)
		}
		if len(scanned.pending) > scanned.maxBytes {
			t.Fatalf("%d bytes are pending, wanted at most %d", len(scanned.pending), scanned.maxBytes)
		}
	})
}

// isForbidden reports whether a token is markup of restricted XML: a comment, a DTD or a processing instruction.
func isForbidden(t xmlToken) bool {
	switch {
	case t.kind == textToken:
		return false
	case bytes.HasPrefix(t.raw, []byte("<!")):
		return true
	}
	return t.kind != declarationToken && bytes.HasPrefix(t.raw, []byte("<?"))
}
