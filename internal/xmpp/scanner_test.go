package xmpp

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// scan feeds a stream to a scanner in pieces of pieceSize bytes. It returns the raw tokens, joined by |, and the
// condition that ended the scan, or noCondition.
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

// rootTag is the start tag of a client's stream.
const rootTag = "<stream:stream xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>"

// scannerCases lists streams with the expected tokens and the expected final condition. Empty tokens match any tokens.
var scannerCases = []struct {
	name, stream, tokens string
	errorCondition       condition
}{
	{
		"complete stream", "<?xml version='1.0'?>" + rootTag + "<a b=\"x>y\"/></stream:stream> ",
		"<?xml version='1.0'?>|" + rootTag + "|<a b=\"x>y\"/>|</stream:stream>| ", "",
	},
	{
		"CDATA section", rootTag + "<a><![CDATA[<!-- ]] -->]]></a>",
		rootTag + "|<a>|<![CDATA[<!-- ]] -->]]>|</a>", "",
	},
	{
		"predefined entity and character reference", rootTag + "<a>&amp;&#x41;</a>",
		rootTag + "|<a>|&amp;&#x41;|</a>", "",
	},
	{"comment", rootTag + "<a><!-- x -->", rootTag + "|<a>", restrictedXML},
	{"DTD", "<!DOCTYPE a>", "", restrictedXML},
	{"DTD after the declaration", "<?xml version='1.0'?><!DOCTYPE a>", "<?xml version='1.0'?>", restrictedXML},
	{"processing instruction", rootTag + "<?php ?>", rootTag, restrictedXML},
	{"processing instruction with a name like xml", "<?xml-stylesheet a='b'?>", "", restrictedXML},
	{"late declaration", rootTag + "<?xml version='1.0'?>", rootTag, restrictedXML},
	{"undefined entity", rootTag + "<a>&x;</a>", rootTag + "|<a>", restrictedXML},
	{"bare ampersand", rootTag + "<a>& </a>", rootTag + "|<a>", notWellFormed},
	{"wrong nesting", rootTag + "<a></b>", rootTag + "|<a>", notWellFormed},
	{"duplicate attribute", rootTag + "<a b='1' b='2'/>", rootTag, notWellFormed},
	{"attribute without quotes", rootTag + "<a b=1/>", rootTag, notWellFormed},
	{"two roots", rootTag + "</stream:stream><a>", rootTag + "|</stream:stream>", notWellFormed},
	{
		"unexpected second stream", rootTag + "<stream:stream></stream:stream>",
		rootTag + "|<stream:stream>|</stream:stream>", "",
	},
	{"text between stanzas", rootTag + "x", rootTag, badFormat},
	{"control character", rootTag + "<a>\x01</a>", rootTag + "|<a>", notWellFormed},
	{"invalid UTF-8", rootTag + "<a>\xff\xfe</a>", rootTag + "|<a>", notWellFormed},
	{"unsupported encoding", "<?xml version='1.0' encoding='UTF-16'?>", "", unsupportedEncoding},
	{"deep nesting", rootTag + strings.Repeat("<a>", 200), "", policyViolation},
	{"long stanza", rootTag + "<a>" + strings.Repeat("<b/>", 400), "", policyViolation},
	{"long token", rootTag + "<a b='" + strings.Repeat("x", 2000), rootTag, policyViolation},
}

// TestScannerReadsTokensInAnyPieces scans each stream in one piece and byte by byte. It checks that both scans end with
// the expected condition and yield the same bytes.
func TestScannerReadsTokensInAnyPieces(t *testing.T) {
	for _, test := range scannerCases {
		t.Run(test.name, func(t *testing.T) {
			tokens, errorCondition := scan(test.stream, len(test.stream), 1000)
			if errorCondition != test.errorCondition || test.tokens != "" && tokens != test.tokens {
				t.Errorf("scan in one piece: got tokens %q and condition %q, want %q and %q",
					tokens, errorCondition, test.tokens, test.errorCondition)
			}
			byByte, errorCondition := scan(test.stream, 1, 1000)
			if errorCondition != test.errorCondition || unseparated(byByte) != unseparated(tokens) {
				t.Errorf("scan byte by byte: got tokens %q and condition %q, want bytes of %q and the case's condition",
					byByte, errorCondition, tokens)
			}
		})
	}
}

// unseparated removes the separators that scan puts between tokens.
func unseparated(tokens string) string { return strings.ReplaceAll(tokens, "|", "") }

// FuzzScanner checks that the forwarded bytes are a prefix of the received bytes and contain no forbidden markup.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(rootTag+"<a b='c'>d&lt;<![CDATA[e]]></a></stream:stream>"), 3)
	f.Add([]byte("<?xml version='1.0'?>"+rootTag+"<!-- x -->"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, pieceSize int) {
		pieceSize = max(1, min(pieceSize, 1<<10))
		scanned := scanner{maxBytes: 500}
		var forwarded []byte
		for rest := stream; len(rest) > 0; {
			size := min(pieceSize, len(rest))
			_, errorCondition := scanned.feed(rest[:size], func(next xmlToken) bool {
				if isForbidden(next) {
					t.Fatalf("feed: got forbidden token %q, want none", next.raw)
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
func isForbidden(token xmlToken) bool {
	switch {
	case token.kind == textToken:
		return false
	case bytes.HasPrefix(token.raw, []byte("<!")):
		return true
	}
	return token.kind != declarationToken && bytes.HasPrefix(token.raw, []byte("<?"))
}

// TestLongTagInSmallPieces guards against a client that occupies the loop by sending a long tag byte by byte: if the
// tag is searched and copied from its beginning with each byte, the work grows with the square of its size.
func TestLongTagInSmallPieces(t *testing.T) {
	const (
		tagBytes = 256 << 10
		maxTime  = 5 * time.Second // a fraction of it on any machine, if the work grows with the size
	)
	read := scanner{maxBytes: 2 * tagBytes}
	tag := "<a b='" + strings.Repeat(">", tagBytes) + "'>"
	began := time.Now()
	tokens := 0
	for i := range len(tag) {
		_, errorCondition := read.feed([]byte(tag[i:i+1]), func(xmlToken) bool {
			tokens++
			return true
		})
		if errorCondition != noCondition {
			t.Fatalf("feed byte %d: got %s, want no error", i, errorCondition)
		}
		if time.Since(began) > maxTime {
			t.Fatalf("read %d of %d bytes after %v, want all", i, len(tag), maxTime)
		}
	}
	if tokens != 1 {
		t.Errorf("tokens of one tag in pieces: got %d, want 1", tokens)
	}
}
