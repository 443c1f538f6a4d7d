//go:build review

package main

import (
	"bufio"
	"encoding/base64"
	"encoding/xml"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Namespaces of RFC 6120 and XEP-0198.
const (
	nsClient  = "jabber:client"
	nsStream  = "http://etherx.jabber.org/streams"
	nsSASL    = "urn:ietf:params:xml:ns:xmpp-sasl"
	nsBind    = "urn:ietf:params:xml:ns:xmpp-bind"
	nsSM      = "urn:xmpp:sm:3"
	nsStanzas = "urn:ietf:params:xml:ns:xmpp-stanzas"
	xmppName  = "farm.example"
)

// resumeSeconds is how long a host keeps a session whose stream has ended.
const resumeSeconds = 60

// xmppHost is an XMPP server that keeps a session for resumption (XEP-0198), with the messages that wait for its client.
type xmppHost struct {
	name     string
	addr     string
	rec      *record
	listener net.Listener
	// resumeDelay is how long the host takes to answer a resumption.
	resumeDelay time.Duration

	mu       sync.Mutex
	sessions map[string]*hostSession // by the id of <enabled/>
	conns    map[net.Conn]bool
	lastID   int
}

type hostSession struct {
	id, user string
	conn     net.Conn  // nil: its stream has ended
	endedAt  time.Time // when its stream ended
	waiting  []string  // stanzas for the client that wait for its resumption
}

type xmlChild struct {
	XMLName  xml.Name
	Attrs    []xml.Attr `xml:",any,attr"`
	Text     string     `xml:",chardata"`
	Children []xmlChild `xml:",any"`
}

func (c *xmlChild) attr(name string) string {
	for _, attr := range c.Attrs {
		if attr.Name.Local == name {
			return attr.Value
		}
	}
	return ""
}

func newXMPPHost(name string, rec *record) *xmppHost {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("host %s: %v", name, err)
	}
	h := &xmppHost{
		name: name, addr: listener.Addr().String(), rec: rec, listener: listener,
		sessions: map[string]*hostSession{}, conns: map[net.Conn]bool{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns[conn] = true
			h.mu.Unlock()
			go h.serve(conn)
		}
	}()
	return h
}

// stop ends the host as the end of its process would: its connections are reset, new ones are refused.
func (h *xmppHost) stop() {
	_ = h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn := range h.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(h.sessions)
}

// holds reports whether the host has a session that can be resumed now.
func (h *xmppHost) holds(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heldSession(id) != nil
}

// heldSession returns a session unless its time is over. The caller holds the lock.
func (h *xmppHost) heldSession(id string) *hostSession {
	session := h.sessions[id]
	if session == nil || session.conn == nil && time.Since(session.endedAt) > resumeSeconds*time.Second {
		return nil
	}
	return session
}

type hostStream struct {
	host    *xmppHost
	conn    net.Conn
	user    string
	session string
}

func (h *xmppHost) serve(conn net.Conn) {
	s := &hostStream{host: h, conn: conn}
	defer s.close()
	reader := bufio.NewReader(conn)
	decoder := xml.NewDecoder(reader)
	for {
		token, err := decoder.Token()
		if err != nil {
			return
		}
		switch token := token.(type) {
		case xml.EndElement: // the client ends its stream, and with it the session
			h.mu.Lock()
			delete(h.sessions, s.session)
			h.mu.Unlock()
			s.write("</stream:stream>")
			return
		case xml.StartElement:
			if token.Name.Local == "stream" {
				s.open()
				continue
			}
			var child xmlChild
			if decoder.DecodeElement(&child, &token) != nil {
				return
			}
			if s.answer(&child) {
				decoder = xml.NewDecoder(reader)
			}
		}
	}
}

func (s *hostStream) close() {
	h := s.host
	h.mu.Lock()
	delete(h.conns, s.conn)
	if session := h.sessions[s.session]; session != nil && session.conn == s.conn {
		session.conn = nil
		session.endedAt = time.Now()
		h.rec.add("host %s: the stream of session %s (%s) has ended, kept for %d s", h.name, session.id, session.user,
			resumeSeconds)
	}
	h.mu.Unlock()
	_ = s.conn.Close()
}

func (s *hostStream) write(format string, args ...any) { fmt.Fprintf(s.conn, format, args...) }

func (s *hostStream) open() {
	s.write("<?xml version='1.0'?><stream:stream from='%s' id='%s' version='1.0' xmlns='%s' xmlns:stream='%s'>",
		xmppName, s.host.name, nsClient, nsStream)
	if s.user == "" {
		s.write("<stream:features><mechanisms xmlns='%s'><mechanism>PLAIN</mechanism></mechanisms></stream:features>",
			nsSASL)
		return
	}
	s.write("<stream:features><bind xmlns='%s'/><sm xmlns='%s'/></stream:features>", nsBind, nsSM)
}

// answer answers a child of the stream and reports whether a new stream begins on the connection.
func (s *hostStream) answer(child *xmlChild) (newStream bool) {
	h := s.host
	switch child.XMLName.Local {
	case "auth":
		decoded, _ := base64.StdEncoding.DecodeString(strings.TrimSpace(child.Text))
		if parts := strings.Split(string(decoded), "\x00"); len(parts) == 3 {
			s.user = parts[1]
		}
		s.write("<success xmlns='%s'/>", nsSASL)
		return true
	case "enable":
		h.mu.Lock()
		h.lastID++
		s.session = fmt.Sprintf("%s-%d", h.name, h.lastID)
		h.sessions[s.session] = &hostSession{id: s.session, user: s.user, conn: s.conn}
		h.mu.Unlock()
		h.rec.add("host %s: session %s of %s can be resumed", h.name, s.session, s.user)
		s.write("<enabled xmlns='%s' id='%s' resume='true' max='%d'/>", nsSM, s.session, resumeSeconds)
	case "resume":
		s.resume(child.attr("previd"))
	case "r":
		s.write("<a xmlns='%s' h='0'/>", nsSM)
	case "iq":
		for i := range child.Children {
			if child.Children[i].XMLName.Local == "bind" {
				s.write("<iq type='result' id='%s'><bind xmlns='%s'><jid>%s@%s/x</jid></bind></iq>",
					child.attr("id"), nsBind, s.user, xmppName)
				return false
			}
		}
		s.write("<iq type='result' id='%s'/>", child.attr("id"))
	}
	return false
}

func (s *hostStream) resume(id string) {
	h := s.host
	if h.resumeDelay > 0 {
		time.Sleep(time.Duration(rand.Int64N(int64(h.resumeDelay))))
	}
	h.mu.Lock()
	session := h.heldSession(id)
	if session == nil || session.user != s.user {
		h.mu.Unlock()
		h.rec.add("host %s: asked to resume %s by %s, which it does not have", h.name, id, s.user)
		s.write("<failed xmlns='%s'><item-not-found xmlns='%s'/></failed>", nsSM, nsStanzas)
		return
	}
	old := session.conn
	session.conn = s.conn
	s.session = id
	waiting := session.waiting
	session.waiting = nil
	h.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
	h.rec.add("host %s: session %s of %s resumed, %d stanzas had waited", h.name, id, s.user, len(waiting))
	s.write("<resumed xmlns='%s' previd='%s' h='0'/>%s", nsSM, id, strings.Join(waiting, ""))
}
