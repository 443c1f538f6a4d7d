// Package xmppserver is a stand-in for an XMPP server, written from the published specifications (RFC 6120, XEP-0198, XEP-0386,
// XEP-0388): it lets any user in, binds, keeps sessions that can be resumed, and answers what comes. It serves tests and
// measurements only.
package xmppserver

import (
	"bufio"
	"encoding/base64"
	"encoding/xml"
	"fmt"
	"net"
	"strings"
	"sync"
)

const (
	saslNS  = "urn:ietf:params:xml:ns:xmpp-sasl"
	sasl2NS = "urn:xmpp:sasl:2"
	bindNS  = "urn:ietf:params:xml:ns:xmpp-bind"
	bind2NS = "urn:xmpp:bind:0"
	smNS    = "urn:xmpp:sm:3"
)

// Server is one stand-in.
type Server struct {
	Addr string
	Max  int // seconds that a session can be resumed, as clients are told
	// SeeOther is the address that clients are sent to; empty: they are served here.
	SeeOther string

	name     string
	listener net.Listener
	mu       sync.Mutex
	sessions map[string]*live // by their ids
	open     map[net.Conn]bool
	count    Count
	next     int
}

// Count is what a server has seen.
type Count struct{ Streams, Bound, Resumed, Failed, Answered int }

// live is a session; conn is nil where its stream is gone.
type live struct {
	user string
	conn net.Conn
}

// Listen starts a server on a free port of loopback.
func Listen(name string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: l.Addr().String(), Max: 60, name: name, listener: l, sessions: map[string]*live{}, open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[c] = true
			s.count.Streams++
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// Close ends the server and all its streams.
func (s *Server) Close() {
	s.listener.Close()
	s.Restart()
}

// Restart ends all streams and forgets all sessions, as a process that starts anew.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
	clear(s.sessions)
}

// Count is what the server has seen so far.
func (s *Server) Count() Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// element is a child of the stream.
type element struct {
	XMLName  xml.Name
	Attrs    []xml.Attr `xml:",any,attr"`
	Text     string     `xml:",chardata"`
	Children []element  `xml:",any"`
}

func (e element) attr(name string) string {
	for _, a := range e.Attrs {
		if a.Name.Local == name {
			return a.Value
		}
	}
	return ""
}

func (e element) child(space, name string) *element {
	for i := range e.Children {
		if n := e.Children[i].XMLName; n.Space == space && n.Local == name {
			return &e.Children[i]
		}
	}
	return nil
}

// stream is one connection.
type stream struct {
	s    *Server
	c    net.Conn
	user string
	id   string // of the session that stands here and can be resumed
}

func (s *Server) serve(c net.Conn) {
	st := &stream{s: s, c: c}
	defer func() {
		s.mu.Lock()
		delete(s.open, c)
		if k := s.sessions[st.id]; k != nil && k.conn == c {
			k.conn = nil
		}
		s.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	d := xml.NewDecoder(in)
	for {
		t, err := d.Token()
		if err != nil {
			return
		}
		switch t := t.(type) {
		case xml.EndElement:
			fmt.Fprint(c, "</stream:stream>")
			s.mu.Lock()
			delete(s.sessions, st.id) // its client has closed it
			s.mu.Unlock()
			return
		case xml.StartElement:
			if t.Name.Local == "stream" {
				st.greet()
				continue
			}
			var e element
			if d.DecodeElement(&e, &t) != nil {
				return
			}
			if st.take(e) {
				d = xml.NewDecoder(in)
			}
		}
	}
}

func (st *stream) greet() {
	fmt.Fprintf(st.c, "<?xml version='1.0'?><stream:stream from='farm.example' id='%s' version='1.0' xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>", st.s.name)
	if o := st.s.SeeOther; o != "" {
		fmt.Fprintf(st.c, "<stream:error><see-other-host xmlns='urn:ietf:params:xml:ns:xmpp-streams'>%s</see-other-host></stream:error></stream:stream>", o)
		st.c.Close()
		return
	}
	st.features()
}

func (st *stream) features() {
	if st.user == "" {
		fmt.Fprintf(st.c, "<stream:features><mechanisms xmlns='%s'><mechanism>PLAIN</mechanism></mechanisms><authentication xmlns='%s'><mechanism>PLAIN</mechanism>"+
			"<inline><bind xmlns='%s'/><sm xmlns='%s'/></inline></authentication></stream:features>", saslNS, sasl2NS, bind2NS, smNS)
		return
	}
	fmt.Fprintf(st.c, "<stream:features><bind xmlns='%s'/><sm xmlns='%s'/></stream:features>", bindNS, smNS)
}

// take answers a child of the stream; true: the client starts its stream anew.
func (st *stream) take(e element) bool {
	s, c := st.s, st.c
	switch e.XMLName {
	case xml.Name{Space: saslNS, Local: "auth"}:
		st.user = plain(e.Text)
		fmt.Fprintf(c, "<success xmlns='%s'/>", saslNS)
		return true
	case xml.Name{Space: sasl2NS, Local: "authenticate"}:
		if r := e.child(sasl2NS, "initial-response"); r != nil {
			st.user = plain(r.Text)
		}
		inner := ""
		if r := e.child(smNS, "resume"); r != nil {
			inner = st.resume(r.attr("previd"))
		} else if b := e.child(bind2NS, "bind"); b != nil {
			if b.child(smNS, "enable") != nil {
				inner = st.enable()
			}
			inner = "<bound xmlns='" + bind2NS + "'>" + inner + "</bound>"
			s.note(func(n *Count) { n.Bound++ })
		}
		fmt.Fprintf(c, "<success xmlns='%s'><authorization-identifier>%s@farm.example/x</authorization-identifier>%s</success>", sasl2NS, st.user, inner)
		st.features()
	case xml.Name{Space: smNS, Local: "enable"}:
		fmt.Fprint(c, st.enable())
	case xml.Name{Space: smNS, Local: "resume"}:
		fmt.Fprint(c, st.resume(e.attr("previd")))
	case xml.Name{Space: smNS, Local: "r"}:
		fmt.Fprintf(c, "<a xmlns='%s' h='0'/>", smNS)
	case xml.Name{Space: "jabber:client", Local: "iq"}:
		if e.child(bindNS, "bind") != nil {
			s.note(func(n *Count) { n.Bound++ })
			fmt.Fprintf(c, "<iq type='result' id='%s'><bind xmlns='%s'><jid>%s@farm.example/x</jid></bind></iq>", e.attr("id"), bindNS, st.user)
			return false
		}
		s.note(func(n *Count) { n.Answered++ })
		fmt.Fprintf(c, "<iq type='result' id='%s'/>", e.attr("id"))
	}
	return false
}

func (s *Server) note(fn func(*Count)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.count)
}

func (st *stream) enable() string {
	s := st.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	st.id = fmt.Sprintf("%s-%d", s.name, s.next)
	s.sessions[st.id] = &live{st.user, st.c}
	return fmt.Sprintf("<enabled xmlns='%s' id='%s' resume='true' max='%d'/>", smNS, st.id, s.Max)
}

func (st *stream) resume(id string) string {
	s := st.s
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.sessions[id]
	if k == nil || k.user != st.user {
		s.count.Failed++
		return fmt.Sprintf("<failed xmlns='%s'><item-not-found xmlns='urn:ietf:params:xml:ns:xmpp-stanzas'/></failed>", smNS)
	}
	k.conn, st.id = st.c, id // of two that resume one session the later has it
	s.count.Resumed++
	return fmt.Sprintf("<resumed xmlns='%s' previd='%s' h='0'/>", smNS, id)
}

func plain(text string) string {
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	parts := strings.Split(string(raw), "\x00")
	if err != nil || len(parts) != 3 {
		return "unknown"
	}
	return parts[1]
}
