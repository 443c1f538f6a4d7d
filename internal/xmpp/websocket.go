package xmpp

import (
	"bytes"
	"strings"

	"spurwinch/internal/loop"
	"spurwinch/internal/transport/websocket"
)

const (
	subprotocol = "xmpp" // of WebSocket (RFC 7395, section 3.1)
	openName    = "open"
	closeName   = "close"
)

// messageConn translates between the messages of a WebSocket client (RFC 7395), each of which is one element, and the
// stream that a session reads and writes.
type messageConn struct {
	session   *clientSession
	webSocket *websocket.Conn
	received  scanner // of the stream that the client's messages make up: each must leave it between stanzas
	sent      scanner // of the stream that the session writes
	stanza    []byte  // of the session, as far as it was written
	closeSent bool
}

var _ loop.Handler = (*messageConn)(nil)

// newMessageConn returns the connection that the session is to use. Bytes below WebSocket go to its webSocket.
func (s *clientSession) newMessageConn() *messageConn {
	m := &messageConn{session: s, received: s.front.newScanner(), sent: s.front.newScanner()}
	m.received.restart = true
	m.sent.restart = true
	afterCallback := func(run func()) { s.front.loop.At(s.front.loop.Now(), run) }
	m.webSocket = websocket.Server(subprotocol, s.front.limits.MaxStanzaBytes, afterCallback, m)
	return m
}

// OnConnect does nothing: the connection was accepted, not dialled.
func (m *messageConn) OnConnect() {}

// OnDrained tells the session that all written bytes have gone to the kernel.
func (m *messageConn) OnDrained() { m.session.OnDrained() }

// Evict has the session give up its place for another connection.
func (m *messageConn) Evict() { m.session.Evict() }

// OnEnd tells the session that its client has ended.
func (m *messageConn) OnEnd(err error) { m.session.OnEnd(err) }

// OnData takes a message.
func (m *messageConn) OnData(message []byte) {
	message = bytes.TrimSpace(message)
	if len(message) == 0 { // a keepalive
		return
	}
	markup, errorText := fromMessage(message)
	if errorText != "" {
		m.session.fail(badFormat, errorText)
		return
	}
	m.received.restart = m.received.restart || m.received.betweenStanzas()
	// Each message is one whole element (RFC 7395, section 3.3.3): an open one would have the next read inside it.
	_, bad := m.received.feed(markup, func(xmlToken) bool { return true })
	if bad == noCondition && (len(m.received.pending) > 0 || !m.received.betweenStanzas()) {
		bad = badFormat
	}
	if bad != noCondition {
		m.session.fail(bad, "")
		return
	}
	m.session.OnData(markup)
}

// fromMessage returns the markup of a stream that a message stands for, or the text of an error.
func fromMessage(message []byte) (markup []byte, errorText string) {
	if bytes.HasPrefix(message, []byte("<"+openName)) || bytes.HasPrefix(message, []byte("<"+closeName)) {
		return fromFraming(message)
	}
	for _, markup := range []string{"<?", "</", "<stream:stream"} {
		if bytes.HasPrefix(message, []byte(markup)) {
			return nil, "a stream's markup in a message"
		}
	}
	return message, ""
}

// fromFraming returns the stream header that an <open/> stands for, or the end tag that a <close/> does.
func fromFraming(message []byte) (markup []byte, errorText string) {
	token, ok := parseTag(message)
	isEmpty := token.selfClosing || bytes.HasSuffix(message, []byte("/>"))
	if !ok || token.kind != startToken || token.attribute("xmlns") != framingNS || !isEmpty {
		return nil, "a framing element that can't be read"
	}
	if token.name == closeName {
		return []byte(streamEnd("stream")), ""
	}
	opening := "<stream:stream xmlns='" + clientNS + "' xmlns:stream='" + streamNS + "'"
	return []byte(opening + token.copyAttributes("to", "from", "version", "xml:lang") + ">"), ""
}

// copyAttributes returns the markup of those of the named attributes that the tag has.
func (t *xmlToken) copyAttributes(names ...string) string {
	var markup strings.Builder
	for _, name := range names {
		if value := t.attribute(name); value != "" {
			markup.WriteString(" " + name + "='" + escape(value) + "'")
		}
	}
	return markup.String()
}

// Write takes what the session sends its client, and sends each stanza as a message.
func (m *messageConn) Write(data []byte) {
	m.sent.restart = m.sent.restart || m.sent.betweenStanzas()
	// The bytes are the front's own, or have passed the scanner of the server's stream: no condition is expected.
	_, _ = m.sent.feed(data, func(token xmlToken) bool {
		m.writeToken(token)
		return true
	})
}

func (m *messageConn) writeToken(token xmlToken) {
	switch {
	case token.kind == declarationToken, token.kind == textToken && token.depth <= rootDepth:
	case token.starts(rootDepth):
		m.writeOpen(token)
	case token.kind == endToken && token.depth == rootDepth:
		m.writeClose()
	default:
		m.writeStanza(token)
	}
}

func (m *messageConn) writeOpen(token xmlToken) {
	attributes := token.copyAttributes("from", "to", "id", "version", "xml:lang")
	m.webSocket.Write([]byte("<" + openName + " xmlns='" + framingNS + "'" + attributes + "/>"))
}

func (m *messageConn) writeClose() {
	if !m.closeSent {
		m.closeSent = true
		m.webSocket.Write([]byte("<" + closeName + " xmlns='" + framingNS + "'/>"))
	}
}

// writeStanza collects the tokens of a stanza and sends them once it is complete.
func (m *messageConn) writeStanza(token xmlToken) {
	if token.starts(stanzaDepth) {
		m.stanza = append(m.stanza, withNamespace(token)...)
	} else {
		m.stanza = append(m.stanza, token.raw...)
	}
	if token.endsStanza {
		m.webSocket.Write(m.stanza)
		m.stanza = m.stanza[:0]
	}
}

// withNamespace returns a stanza's start tag with a declaration of the namespace that its name has from the root: a
// message has no root.
func withNamespace(token xmlToken) []byte {
	declaration := "xmlns"
	namespace := clientNS
	if prefix, _, prefixed := strings.Cut(token.name, ":"); prefixed {
		if prefix != "stream" {
			return token.raw
		}
		declaration = "xmlns:stream"
		namespace = streamNS
	}
	if token.attribute(declaration) != "" {
		return token.raw
	}
	nameEnd := len("<") + len(token.name)
	tag := append([]byte(nil), token.raw[:nameEnd]...)
	tag = append(tag, " "+declaration+"='"+namespace+"'"...)
	return append(tag, token.raw[nameEnd:]...)
}

// End ends the connection. What the session wrote has closed the stream already, unless the client is inside a stanza.
func (m *messageConn) End() { m.webSocket.End() }

// Abort resets the connection.
func (m *messageConn) Abort() { m.webSocket.Abort() }

// Pause stops reading.
func (m *messageConn) Pause() { m.webSocket.Pause() }

// Resume goes on reading.
func (m *messageConn) Resume() { m.webSocket.Resume() }

// Full reports whether so much waits to be sent that the writer should pause.
func (m *messageConn) Full() bool { return m.webSocket.Full() }

// LeaveIdleQueue says that the client has named its domain: the connection is not evicted any more.
func (m *messageConn) LeaveIdleQueue() { m.webSocket.LeaveIdleQueue() }
