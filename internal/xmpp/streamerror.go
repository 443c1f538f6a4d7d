package xmpp

import (
	"strconv"
	"strings"

	"spurwinch/internal/edge"
	"spurwinch/internal/trace"
)

// condition is a defined condition of a stream error (RFC 6120, section 4.9.3).
type condition string

const (
	noCondition            condition = "" // the stream can continue
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
	streamReset            condition = "reset"
	systemShutdown         condition = "system-shutdown"
	unsupportedEncoding    condition = "unsupported-encoding"
	unsupportedVersion     condition = "unsupported-version"
)

// closeReason returns the reason under which the trace counts a close by this stream error.
func (c condition) closeReason() trace.CloseReason {
	return trace.CloseReason("stream_error_" + strings.ReplaceAll(string(c), "-", "_"))
}

// localReplies maps each reason for a rejection by the core to a stream error.
var localReplies = map[edge.ReplyCause]struct {
	condition condition
	text      string
}{
	edge.Busy:           {resourceConstraint, "no server can take the session now"},
	edge.ShuttingDown:   {systemShutdown, "connect again"},
	edge.Unreachable:    {remoteConnectionFailed, "the server can't be reached"},
	edge.ServerLost:     {remoteConnectionFailed, "the server was lost"},
	edge.DeadlinePassed: {connectionTimeout, "the session was not set up in time"},
}

// LocalReply gives the session its final answer from this node instead of from a server.
func (s *clientSession) LocalReply(reply edge.LocalReply) {
	streamError, known := localReplies[reply.Cause]
	if !known || !reply.Rejected {
		streamError.condition = internalServerError
		streamError.text = ""
	}
	if reply.RetryAfter > 0 {
		milliseconds := strconv.FormatInt(reply.RetryAfter.Milliseconds(), 10)
		streamError.text += "; come again after " + milliseconds + " ms"
	}
	s.fail(streamError.condition, streamError.text)
}

// streamFailure is a stream error that ends a session.
type streamFailure struct {
	condition condition
	text      string
}

// failNext ends the session with a stream error after the current callback.
func (s *clientSession) failNext(errorCondition condition, text string) {
	s.pendingFailure = &streamFailure{errorCondition, text}
	s.front.loop.At(s.front.loop.Now(), s.failPending)
}

// failPending ends the session with its pending stream error, if it has one.
func (s *clientSession) failPending() {
	if failure := s.pendingFailure; failure != nil {
		s.fail(failure.condition, failure.text)
	}
}

// fail ends the session with a stream error. It does nothing if the session is already finished. The error of a
// detached session stays pending until Reattach or Release, because another process may use its sockets until then.
func (s *clientSession) fail(errorCondition condition, text string) {
	if s.finished {
		return
	}
	if s.detached {
		s.pendingFailure = &streamFailure{errorCondition, text}
		return
	}
	markup := s.errorMarkup(errorCondition, text)
	if s.upstream != nil && s.committed && !s.upstream.received.betweenStanzas() && s.upstream.partialStanzaForwarded {
		markup = "" // the client is inside a stanza, which any further markup would corrupt
	}
	if !s.established {
		s.front.Answers.Errors++
	}
	s.end(markup, errorCondition.closeReason())
}

// errorMarkup returns a stream error and the end tag of the stream, preceded by a stream header if the client is
// waiting for one.
func (s *clientSession) errorMarkup(errorCondition condition, text string) string {
	var markup strings.Builder
	prefix := s.sentPrefix()
	if s.headerPending {
		prefix = "stream"
		markup.WriteString(s.streamHeader(s.domainName, "xml:lang='en' "))
	}
	markup.WriteString("<" + prefix + ":error><" + string(errorCondition) + " xmlns='" + streamErrorNS + "'/>")
	if text != "" {
		markup.WriteString("<text xmlns='" + streamErrorNS + "' xml:lang='en'>" + escape(text) + "</text>")
	}
	markup.WriteString("</" + prefix + ":error></" + prefix + ":stream>")
	return markup.String()
}

// streamHeader returns a stream header of this node with additional attributes, each of which must end with a space.
func (s *clientSession) streamHeader(from, attributes string) string {
	return "<?xml version='1.0'?><stream:stream from='" + escape(from) + "' id='" + s.front.newID() +
		"' version='1.0' " + attributes + "xmlns='" + clientNS + "' xmlns:stream='" + streamNS + "'>"
}
