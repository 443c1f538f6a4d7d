package xmpp

import (
	"bytes"
	"strings"
	"testing"
)

// scan feeds a stream to a scanner in pieces of pieceSize bytes. It returns the raw tokens, joined by |, and the
// condition.
func scan(stream string, pieceSize, maxBytes int) (string, condition) {
	s := scanner{maxBytes: maxBytes}
	var tokens []string
	for rest := []byte(stream); len(rest) > 0; {
		size := min(pieceSize, len(rest))
		_, errorCondition := s.feed(rest[:size], func(token xmlToken) bool {
			tokens = append(tokens, string(token.raw))
			return true
		})
		if errorCondition != noCondition {
			return strings.Join(tokens, "|"), errorCondition
		}
		rest = rest[size:]
	}
	return strings.Join(tokens, "|"), noCondition
}

const root = "<stream:stream xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>"

// scannerCases lists streams with the expected tokens and the expected final condition. Empty tokens match any tokens.
var scannerCases = []struct {
	name, stream, tokens string
	errorCondition       condition
}{
	{
		"complete stream", "<?xml version='1.0'?>" + root + "<a b=\"x>y\"/></stream:stream> ",
		"<?xml version='1.0'?>|" + root + "|<a b=\"x>y\"/>|</stream:stream>| ", "",
	},
	{
		"CDATA section", root + "<a><![CDATA[<!-- ]] -->]]></a>",
		root + "|<a>|<![CDATA[<!-- ]] -->]]>|</a>", "",
	},
	{"predefined entity and character reference", root + "<a>&amp;&#x41;</a>", root + "|<a>|&amp;&#x41;|</a>", ""},
	{"comment", root + "<a><!-- x -->", root + "|<a>", restrictedXML},
	{"DTD", "<!DOCTYPE a>", "", restrictedXML},
	{"DTD after the declaration", "<?xml version='1.0'?><!DOCTYPE a>", "<?xml version='1.0'?>", restrictedXML},
	{"processing instruction", root + "<?php ?>", root, restrictedXML},
	{"processing instruction with a name like xml", "<?xml-stylesheet a='b'?>", "", restrictedXML},
	{"late declaration", root + "<?xml version='1.0'?>", root, restrictedXML},
	{"undefined entity", root + "<a>&x;</a>", root + "|<a>", restrictedXML},
	{"bare ampersand", root + "<a>& </a>", root + "|<a>", notWellFormed},
	{"wrong nesting", root + "<a></b>", root + "|<a>", notWellFormed},
	{"duplicate attribute", root + "<a b='1' b='2'/>", root, notWellFormed},
	{"attribute without quotes", root + "<a b=1/>", root, notWellFormed},
	{"two roots", root + "</stream:stream><a>", root + "|</stream:stream>", notWellFormed},
	{
		"unexpected second stream", root + "<stream:stream></stream:stream>",
		root + "|<stream:stream>|</stream:stream>", "",
	},
	{"text between stanzas", root + "x", root, badFormat},
	{"control character", root + "<a>\x01</a>", root + "|<a>", notWellFormed},
	{"invalid UTF-8", root + "<a>\xff\xfe</a>", root + "|<a>", notWellFormed},
	{"unsupported encoding", "<?xml version='1.0' encoding='UTF-16'?>", "", unsupportedEncoding},
	{"deep nesting", root + strings.Repeat("<a>", 200), "", policyViolation},
	{"long stanza", root + "<a>" + strings.Repeat("<b/>", 400), "", policyViolation},
	{"long token", root + "<a b='" + strings.Repeat("x", 2000), root, policyViolation},
}

// TestScannerReadsTokensInAnyPieces scans streams at once and byte by byte, and checks that both give the expected
// condition and the same bytes of tokens.
func TestScannerReadsTokensInAnyPieces(t *testing.T) {
	for _, test := range scannerCases {
		t.Run(test.name, func(t *testing.T) {
			tokens, errorCondition := scan(test.stream, len(test.stream), 1000)
			if errorCondition != test.errorCondition || test.tokens != "" && tokens != test.tokens {
				t.Errorf("scan: got %q, %q, want %q, %q", tokens, errorCondition, test.tokens, test.errorCondition)
			}
			byByte, errorCondition := scan(test.stream, 1, 1000)
			if errorCondition != test.errorCondition || unseparated(byByte) != unseparated(tokens) {
				t.Errorf("scan byte by byte: got %q, %q, want the bytes and condition of %q",
					byByte, errorCondition, tokens)
			}
		})
	}
}

// unseparated removes the separators that scan puts between tokens.
func unseparated(tokens string) string { return strings.ReplaceAll(tokens, "|", "") }

// FuzzScanner checks that the forwarded bytes are a prefix of the received bytes and contain no forbidden markup.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(root+"<a b='c'>d&lt;<![CDATA[e]]></a></stream:stream>"), 3)
	f.Add([]byte("<?xml version='1.0'?>"+root+"<!-- x -->"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, pieceSize int) {
		pieceSize = max(1, min(pieceSize, 1<<10))
		scanned := scanner{maxBytes: 500}
		var forwarded []byte
		for rest := stream; len(rest) > 0; {
			size := min(pieceSize, len(rest))
			_, errorCondition := scanned.feed(rest[:size], func(next xmlToken) bool {
				if isForbidden(next) {
					t.Fatalf("feed yielded the forbidden token %q", next.raw)
				}
				forwarded = append(forwarded, next.raw...)
				return true
			})
			if errorCondition != noCondition {
				break
			}
			rest = rest[size:]
		}
		if !bytes.HasPrefix(stream, forwarded) {
			t.Fatalf("feed: got forwarded bytes %q, want a prefix of %q", forwarded, stream)
		}
		if len(scanned.pending) > scanned.maxBytes {
			t.Fatalf("feed: got %d pending bytes, want at most %d", len(scanned.pending), scanned.maxBytes)
		}
	})
}

// isForbidden reports whether a token is markup that restricted XML forbids, which is a comment, a DTD or a processing
// instruction.
func isForbidden(t xmlToken) bool {
	switch {
	case t.kind == textToken:
		return false
	case bytes.HasPrefix(t.raw, []byte("<!")):
		return true
	}
	return t.kind != declarationToken && bytes.HasPrefix(t.raw, []byte("<?"))
}
