package xmpp

import (
	"bytes"
	"strings"

	"spurwinch/internal/loop"
	"spurwinch/internal/transport/websocket"
)

const (
	framingNS = "urn:ietf:params:xml:ns:xmpp-framing"
	webName   = "xmpp" // the sub-protocol (RFC 7395, 3.1)
)

// framed turns messages (RFC 7395) into the stream that a session speaks, and back: its client has one element a message.
type framed struct {
	s     *session
	under *websocket.Conn
	in    scanner // of what the messages make up: each must leave it between two elements
	out   scanner // of what the session writes
	child []byte  // as far as it has come
	ended bool    // <close/> has been sent
}

// frame puts messages under a session.
func (s *session) frame() *framed {
	most := s.front.limits.Stanza
	f := &framed{s: s, in: scanner{most: most, restart: true}, out: scanner{most: most, restart: true}}
	f.under = websocket.Server(webName, most, func(fn func()) { s.front.loop.At(s.front.loop.Now(), fn) }, f)
	s.conn = f
	return f
}

// OnConnect is for connections dialled.
func (f *framed) OnConnect() {}

// OnDrained tells the session.
func (f *framed) OnDrained() { f.s.OnDrained() }

// Evict tells the session that its connection is wanted for another one.
func (f *framed) Evict() { f.s.Evict() }

// OnEnd tells the session of its client's end.
func (f *framed) OnEnd(err error) { f.s.OnEnd(err) }

// OnData takes a message.
func (f *framed) OnData(p []byte) {
	if p = bytes.TrimSpace(p); len(p) == 0 { // a keepalive
		return
	}
	if bytes.HasPrefix(p, []byte("<open")) || bytes.HasPrefix(p, []byte("<close")) {
		t, ok := parseTag(p)
		if !ok || t.kind != start || t.attr("xmlns") != framingNS || !t.empty && !bytes.HasSuffix(p, []byte("/>")) {
			f.s.fail(badFormat, "a framing element that can't be read")
			return
		}
		if t.name == "close" {
			p = []byte("</stream:stream>")
		} else {
			p = header(t)
		}
	} else if bytes.HasPrefix(p, []byte("<?")) || bytes.HasPrefix(p, []byte("</")) || bytes.HasPrefix(p, []byte("<stream:stream")) {
		f.s.fail(badFormat, "a stream's markup in a message")
		return
	}
	f.in.restart = f.in.restart || len(f.in.stack) <= 1
	// Each message is one element, whole (RFC 7395, 3.3.3): what is left open would have the next one read inside it.
	_, bad := f.in.feed(p, func(token) bool { return true })
	if bad == "" && (len(f.in.part) > 0 || !f.in.between()) {
		bad = badFormat
	}
	if bad != "" {
		f.s.fail(bad, "")
		return
	}
	f.s.OnData(p)
}

// header is the stream header that an <open/> stands for.
func header(t token) []byte {
	var b strings.Builder
	b.WriteString("<stream:stream xmlns='" + clientNS + "' xmlns:stream='" + streamNS + "'")
	for _, name := range []string{"to", "from", "version", "xml:lang"} {
		if v := t.attr(name); v != "" {
			b.WriteString(" " + name + "='" + escape(v) + "'")
		}
	}
	b.WriteString(">")
	return []byte(b.String())
}

// Write takes what the session has for its client, and sends each child of the stream as a message.
func (f *framed) Write(p []byte) {
	f.out.restart = f.out.restart || len(f.out.stack) <= 1
	f.out.feed(p, func(t token) bool {
		switch {
		case t.kind == decl, t.depth <= 1 && t.kind == text:
		case t.kind == start && t.depth == 1:
			f.open(t)
		case t.kind == end && t.depth == 1:
			f.close()
		default:
			if t.kind == start && t.depth == 2 {
				f.child = append(f.child, declared(t)...)
			} else {
				f.child = append(f.child, t.raw...)
			}
			if t.whole {
				f.under.Write(f.child)
				f.child = f.child[:0]
			}
		}
		return true
	})
}

func (f *framed) open(t token) {
	var b strings.Builder
	b.WriteString("<open xmlns='" + framingNS + "'")
	for _, name := range []string{"from", "to", "id", "version", "xml:lang"} {
		if v := t.attr(name); v != "" {
			b.WriteString(" " + name + "='" + escape(v) + "'")
		}
	}
	b.WriteString("/>")
	f.under.Write([]byte(b.String()))
}

func (f *framed) close() {
	if !f.ended {
		f.ended = true
		f.under.Write([]byte("<close xmlns='" + framingNS + "'/>"))
	}
}

// declared is a child's start tag with the namespaces that it had from the root, which a message doesn't have.
func declared(t token) []byte {
	prefix, _, prefixed := strings.Cut(t.name, ":")
	name, space := "xmlns", clientNS
	if prefixed {
		if name, space = "xmlns:"+prefix, streamNS; prefix != "stream" {
			return t.raw
		}
	}
	if t.attr(name) != "" {
		return t.raw
	}
	at := 1 + len(t.name)
	return append(append(append([]byte(nil), t.raw[:at]...), " "+name+"='"+space+"'"...), t.raw[at:]...)
}

// End ends the connection; what the session wrote has closed the stream already, unless the client is inside an element.
func (f *framed) End()            { f.under.End() }
func (f *framed) Abort()          { f.under.Abort() }
func (f *framed) Pause()          { f.under.Pause() }
func (f *framed) Resume()         { f.under.Resume() }
func (f *framed) Full() bool      { return f.under.Full() }
func (f *framed) LeaveIdleQueue() { f.under.LeaveIdleQueue() }

var _ loop.Handler = (*framed)(nil)
