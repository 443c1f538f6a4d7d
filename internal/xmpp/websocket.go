package xmpp

import (
	"bytes"
	"strings"

	"spurwinch/internal/loop"
	"spurwinch/internal/transport/websocket"
)

const (
	subprotocol  = "xmpp" // WebSocket subprotocol (RFC 7395, section 3.1)
	openElement  = "open"
	closeElement = "close"
)

// messageConn translates between the messages of a WebSocket client (RFC 7395) and the stream that a session reads and
// writes. Each message is one element.
type messageConn struct {
	session   *clientSession
	webSocket *websocket.Conn
	received  scanner // stream formed by the client's messages, each of which must end between stanzas
	sent      scanner // stream that the session writes
	stanza    []byte  // bytes of the session's current stanza written so far
	closeSent bool
}

var _ loop.Handler = (*messageConn)(nil)

// newMessageConn returns the connection that the session uses on top of WebSocket. The caller must make its webSocket
// the handler of the layer below.
func (s *clientSession) newMessageConn() *messageConn {
	m := &messageConn{session: s, received: s.front.newScanner(), sent: s.front.newScanner()}
	m.received.mayRestart = true
	m.sent.mayRestart = true
	afterCallback := func(run func()) { s.front.loop.At(s.front.loop.Now(), run) }
	m.webSocket = websocket.Server(subprotocol, s.front.limits.MaxStanzaBytes, afterCallback, m)
	return m
}

// OnConnect does nothing, because the connection was accepted, not dialled.
func (m *messageConn) OnConnect() {}

// OnDrained tells the session that all its bytes have been written to the kernel.
func (m *messageConn) OnDrained() { m.session.OnDrained() }

// Evict ends the session with a stream error to make room for another connection.
func (m *messageConn) Evict() { m.session.Evict() }

// OnEnd tells the session that the client's connection has ended.
func (m *messageConn) OnEnd(err error) { m.session.OnEnd(err) }

// OnData handles a message of the client.
func (m *messageConn) OnData(message []byte) {
	message = bytes.TrimSpace(message)
	if len(message) == 0 { // an empty message is a keepalive
		return
	}
	markup, errorText := fromMessage(message)
	if errorText != "" {
		m.session.fail(badFormat, errorText)
		return
	}
	m.received.mayRestart = m.received.mayRestart || m.received.betweenStanzas()
	// Each message is one complete element (RFC 7395, section 3.3.3). If an element were left open, the next message
	// would be read as its content.
	_, errorCondition := m.received.feed(markup, func(xmlToken) bool { return true })
	if errorCondition == noCondition && (len(m.received.pending) > 0 || !m.received.betweenStanzas()) {
		errorCondition = badFormat
	}
	if errorCondition != noCondition {
		m.session.fail(errorCondition, "")
		return
	}
	m.session.OnData(markup)
}

// fromMessage returns the markup of the stream that corresponds to a message, or the text of a stream error.
func fromMessage(message []byte) (markup []byte, errorText string) {
	if bytes.HasPrefix(message, []byte("<"+openElement)) || bytes.HasPrefix(message, []byte("<"+closeElement)) {
		return fromFraming(message)
	}
	for _, markup := range []string{"<?", "</", "<stream:stream"} {
		if bytes.HasPrefix(message, []byte(markup)) {
			return nil, "a stream's markup in a message"
		}
	}
	return message, ""
}

// fromFraming returns the stream header that corresponds to an <open/>, or the end tag that corresponds to a <close/>.
// If the element is invalid, it returns the text of a stream error.
func fromFraming(message []byte) (markup []byte, errorText string) {
	token, ok := parseTag(message)
	isEmpty := token.selfClosing || bytes.HasSuffix(message, []byte("/>"))
	if !ok || token.kind != startToken || token.attribute("xmlns") != framingNS || !isEmpty {
		return nil, "a framing element that can't be read"
	}
	if token.name == closeElement {
		return []byte(streamEnd("stream")), ""
	}
	opening := "<stream:stream xmlns='" + clientNS + "' xmlns:stream='" + streamNS + "'"
	return []byte(opening + token.copyAttributes("to", "from", "version", "xml:lang") + ">"), ""
}

// copyAttributes returns the markup of the named attributes, without those that the tag doesn't have.
func (t *xmlToken) copyAttributes(names ...string) string {
	var markup strings.Builder
	for _, name := range names {
		if value := t.attribute(name); value != "" {
			markup.WriteString(" " + name + "='" + escape(value) + "'")
		}
	}
	return markup.String()
}

// Write takes bytes that the session writes to its client, and sends each stanza in them as one message.
func (m *messageConn) Write(data []byte) {
	m.sent.mayRestart = m.sent.mayRestart || m.sent.betweenStanzas()
	// No condition is expected, because the bytes are the front's own or have passed the scanner of the server's
	// stream.
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
	m.webSocket.Write([]byte("<" + openElement + " xmlns='" + framingNS + "'" + attributes + "/>"))
}

func (m *messageConn) writeClose() {
	if !m.closeSent {
		m.closeSent = true
		m.webSocket.Write([]byte("<" + closeElement + " xmlns='" + framingNS + "'/>"))
	}
}

// writeStanza collects the tokens of a stanza and sends the stanza once it is complete.
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

// withNamespace returns a stanza's start tag with a declaration of the namespace that the stream's root element
// declares for it, because a message has no root element.
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

// End ends the connection. The session has already closed the stream, unless the client is inside a stanza.
func (m *messageConn) End() { m.webSocket.End() }

// Abort resets the connection.
func (m *messageConn) Abort() { m.webSocket.Abort() }

// Pause stops reading.
func (m *messageConn) Pause() { m.webSocket.Pause() }

// Resume resumes reading.
func (m *messageConn) Resume() { m.webSocket.Resume() }

// Full reports whether so many bytes are waiting to be sent that the writer should pause.
func (m *messageConn) Full() bool { return m.webSocket.Full() }

// LeaveIdleQueue exempts the connection from eviction, because the client has named its domain.
func (m *messageConn) LeaveIdleQueue() { m.webSocket.LeaveIdleQueue() }
