package xmppserver

import (
	"bufio"
	"encoding/base64"
	"encoding/xml"
	"fmt"
	"net"
	"strings"
)

// element is an XML element, such as a child of the stream.
type element struct {
	XMLName  xml.Name
	Attrs    []xml.Attr `xml:",any,attr"`
	Text     string     `xml:",chardata"`
	Children []element  `xml:",any"`
}

// attribute returns the value of an attribute, or "" if there is none.
func (e *element) attribute(name string) string {
	for _, attribute := range e.Attrs {
		if attribute.Name.Local == name {
			return attribute.Value
		}
	}
	return ""
}

// child returns the first child with the given name, or nil if there is none.
func (e *element) child(space, name string) *element {
	for i := range e.Children {
		if e.Children[i].XMLName == (xml.Name{Space: space, Local: name}) {
			return &e.Children[i]
		}
	}
	return nil
}

// stream is the server's side of one connection.
type stream struct {
	server    *Server
	conn      net.Conn
	user      string // empty if not authenticated
	sessionID string // ID of the session that can be resumed; empty if there is none
}

// serve serves a connection until it ends.
func (s *Server) serve(conn net.Conn) {
	current := &stream{server: s, conn: conn}
	defer current.close()
	reader := bufio.NewReader(conn)
	decoder := xml.NewDecoder(reader)
	for {
		token, err := decoder.Token()
		if err != nil {
			return
		}
		switch token := token.(type) {
		case xml.EndElement:
			current.end()
			return
		case xml.StartElement:
			if token.Name.Local == "stream" {
				current.open()
				continue
			}
			var child element
			if decoder.DecodeElement(&child, &token) != nil {
				return
			}
			if current.answer(&child) {
				decoder = xml.NewDecoder(reader)
			}
		}
	}
}

// close closes the connection. The session is kept and can be resumed.
func (s *stream) close() {
	s.server.mu.Lock()
	delete(s.server.conns, s.conn)
	session := s.server.sessions[s.sessionID]
	if session != nil && session.conn == s.conn {
		session.conn = nil
	}
	s.server.mu.Unlock()
	_ = s.conn.Close() // the stream ends even if this fails
}

// end answers the client's end of the stream, which ends the session too.
func (s *stream) end() {
	s.write("</stream:stream>")
	s.server.mu.Lock()
	delete(s.server.sessions, s.sessionID)
	s.server.mu.Unlock()
}

// write sends a text. It ignores errors, because the next read from the connection then fails too and ends the stream.
func (s *stream) write(format string, args ...any) {
	_, _ = fmt.Fprintf(s.conn, format, args...)
}

// open answers the header of the client's stream.
func (s *stream) open() {
	s.write("<?xml version='1.0'?><stream:stream from='%s' id='%s' version='1.0' xmlns='%s' xmlns:stream='%s'>",
		domain, s.server.name, clientNS, streamNS)
	if other := s.server.SeeOther; other != "" {
		s.write("<stream:error><see-other-host xmlns='urn:ietf:params:xml:ns:xmpp-streams'>%s</see-other-host>"+
			"</stream:error></stream:stream>", other)
		_ = s.conn.Close() // makes the next read end the stream
		return
	}
	s.writeFeatures()
}

func (s *stream) writeFeatures() {
	if s.user == "" {
		s.write("<stream:features><mechanisms xmlns='%s'><mechanism>PLAIN</mechanism></mechanisms>"+
			"<authentication xmlns='%s'><mechanism>PLAIN</mechanism>"+
			"<inline><bind xmlns='%s'/><sm xmlns='%s'/></inline></authentication></stream:features>",
			saslNS, sasl2NS, bind2NS, smNS)
		return
	}
	s.write("<stream:features><bind xmlns='%s'/><sm xmlns='%s'/></stream:features>", bindNS, smNS)
}

// answer answers a child of the stream. newStream reports whether the client now opens a new stream on the
// connection.
func (s *stream) answer(child *element) (newStream bool) {
	if child.XMLName.Space == saslNS && !s.server.acceptsLogins() {
		s.write("<failure xmlns='%s'><not-authorized/></failure>", saslNS)
		return false
	}
	switch child.XMLName {
	case xml.Name{Space: saslNS, Local: "auth"}:
		if child.attribute("mechanism") == scramMechanism {
			s.user = scramUserOf(child.Text)
			s.write("<challenge xmlns='%s'>%s</challenge>", saslNS, scramChallenge)
			return false
		}
		s.user = userOf(child.Text)
		s.write("<success xmlns='%s'/>", saslNS)
		return true
	case xml.Name{Space: saslNS, Local: "response"}:
		s.write("<success xmlns='%s'/>", saslNS)
		return true
	case xml.Name{Space: sasl2NS, Local: "authenticate"}:
		s.authenticateInline(child)
	case xml.Name{Space: smNS, Local: "enable"}:
		s.write("%s", s.enableResumption())
	case xml.Name{Space: smNS, Local: "resume"}:
		s.write("%s", s.resume(child.attribute("previd")))
	case xml.Name{Space: smNS, Local: "r"}:
		s.write("<a xmlns='%s' h='0'/>", smNS)
	case xml.Name{Space: clientNS, Local: "iq"}:
		s.answerRequest(child)
	}
	return false
}

// authenticateInline answers a SASL2 authentication, including an inline resumption or Bind 2 request.
func (s *stream) authenticateInline(request *element) {
	if response := request.child(sasl2NS, "initial-response"); response != nil {
		s.user = userOf(response.Text)
	}
	inline := ""
	resume := request.child(smNS, "resume")
	bind := request.child(bind2NS, "bind")
	switch {
	case resume != nil:
		inline = s.resume(resume.attribute("previd"))
	case bind != nil:
		enabled := ""
		if bind.child(smNS, "enable") != nil {
			enabled = s.enableResumption()
		}
		inline = "<bound xmlns='" + bind2NS + "'>" + enabled + "</bound>"
		s.server.updateCount(func(count *Count) { count.Bound++ })
	}
	s.write("<success xmlns='%s'><authorization-identifier>%s@%s/x</authorization-identifier>%s</success>",
		sasl2NS, s.user, domain, inline)
	s.writeFeatures()
}

// answerRequest answers an iq request. It answers any request other than a bind with an empty result.
func (s *stream) answerRequest(request *element) {
	id := request.attribute("id")
	if request.child(bindNS, "bind") != nil {
		s.server.updateCount(func(count *Count) { count.Bound++ })
		s.write("<iq type='result' id='%s'><bind xmlns='%s'><jid>%s@%s/x</jid></bind></iq>", id, bindNS, s.user, domain)
		return
	}
	s.server.updateCount(func(count *Count) { count.Answered++ })
	s.write("<iq type='result' id='%s'/>", id)
}

// enableResumption makes the session resumable and returns the answer to the client.
func (s *stream) enableResumption() string {
	server := s.server
	server.mu.Lock()
	defer server.mu.Unlock()
	server.lastID++
	s.sessionID = fmt.Sprintf("%s-%d", server.name, server.lastID)
	server.sessions[s.sessionID] = &session{s.user, s.conn}
	return fmt.Sprintf("<enabled xmlns='%s' id='%s' resume='true' max='%d'/>", smNS, s.sessionID, server.ResumeSeconds)
}

// resume continues the session with the given ID on this stream and returns the answer to the client. If two streams
// resume the same session, the later one gets it.
func (s *stream) resume(id string) string {
	server := s.server
	server.mu.Lock()
	defer server.mu.Unlock()
	resumed := server.sessions[id]
	if resumed == nil || resumed.user != s.user {
		server.count.Failed++
		return "<failed xmlns='" + smNS + "'>" +
			"<item-not-found xmlns='urn:ietf:params:xml:ns:xmpp-stanzas'/></failed>"
	}
	resumed.conn = s.conn
	s.sessionID = id
	server.count.Resumed++
	return fmt.Sprintf("<resumed xmlns='%s' previd='%s' h='0'/>", smNS, id)
}

// scramUserOf returns the user name in the first message of SCRAM.
func scramUserOf(first string) string {
	decoded, err := base64.StdEncoding.DecodeString(strings.TrimSpace(first))
	parts := strings.Split(string(decoded), ",")
	if err != nil || len(parts) < 3 {
		return "unknown"
	}
	return strings.TrimPrefix(parts[2], "n=")
}

// userOf returns the user name in SASL PLAIN credentials.
func userOf(credentials string) string {
	decoded, err := base64.StdEncoding.DecodeString(strings.TrimSpace(credentials))
	parts := strings.Split(string(decoded), "\x00")
	if err != nil || len(parts) != 3 {
		return "unknown"
	}
	return parts[1]
}
