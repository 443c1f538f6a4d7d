// Package xmpp is the front for XMPP clients (RFC 6120): the address in a stream's header picks the cluster, the core
// places the session, and the raw bytes go on to the host. A session has one final answer: it's established with the
// host's result of the resource binding, or it ends with a stream error.
package xmpp

import (
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	sessions "spurwinch/internal/session"
	"spurwinch/internal/trace"
	"spurwinch/internal/transport/peerlimit"
	"spurwinch/internal/transport/tls"

	"go.uber.org/zap"
)

// Domain is an address that clients may name in the stream header.
type Domain struct {
	Core     *edge.Core
	Class    int
	Patience time.Duration // for the whole set-up, from the header on
}

// Limits bound what one connection may take.
type Limits struct {
	Stanza     int           // bytes of one stanza
	Early      int           // bytes of a client that are kept for a replay on another host
	HeaderTime time.Duration // for the stream header, from the connection on
	ShakeTime  time.Duration // for a TLS handshake
	MostOpen   int           // connections, both sides, from which on new sessions are refused
	Resumable  int           // sessions whose host is kept in mind
}

// Front serves XMPP clients.
type Front struct {
	loop    *loop.Loop
	limits  Limits
	domains map[string]Domain
	ids     *rand.Rand
	Answers Answers
	Trace   *trace.Recorder // hears why connections end; nil: nobody does

	shakes   *tls.Handshakes
	keys     *tls.Keys                // nil: no listener has TLS
	plus     map[choice.ServerID]bool // hosts that were told of: they offer what can't hold behind TLS
	door     *peerlimit.Controller
	sessions *sessions.Table
	owners   map[sessions.Key]*session // of those that stand on a connection of this process
}

// Answers counts the final answers given.
type Answers struct{ Sessions, Established, Errors, Left int }

const politeOver = 16 // connections beyond the limit that are refused with a stream error

const (
	clientNS = "jabber:client"
	streamNS = "http://etherx.jabber.org/streams"
	bindNS   = "urn:ietf:params:xml:ns:xmpp-bind"
	tlsNS    = "urn:ietf:params:xml:ns:xmpp-tls"
	saslNS   = "urn:ietf:params:xml:ns:xmpp-sasl"
)

// New makes a front for the given domains; "*" stands for all that are not named.
func New(l *loop.Loop, domains map[string]Domain, limits Limits, seed uint64) *Front {
	return &Front{loop: l, domains: domains, limits: limits, ids: rand.New(rand.NewPCG(seed, 2)),
		shakes: tls.NewHandshakes(l), plus: map[choice.ServerID]bool{}, door: peerlimit.NewController(peerlimit.Rules{}, nil, nil), sessions: sessions.New(limits.Resumable), owners: map[sessions.Key]*session{}}
}

func (f *Front) domain(to string) (Domain, bool) {
	if d, ok := f.domains[strings.ToLower(to)]; ok {
		return d, true
	}
	d, ok := f.domains["*"]
	return d, ok
}

// named is the name under which a domain is set up.
func (f *Front) named(domain string) string {
	if _, ok := f.domains[domain]; ok {
		return domain
	}
	return "*"
}

// Security is how a listener's clients come by TLS.
type Security int

const (
	Clear    Security = iota // not at all: a terminator stands in front, or all are on one machine
	StartTLS                 // RFC 6120, 5: required
	Direct                   // XEP-0368
)

// Use has TLS go by keys, which may change while the front runs.
func (f *Front) Use(keys *tls.Keys) { f.keys = keys }

// Accept takes a new connection in the clear.
func (f *Front) Accept(c *loop.Conn) loop.Handler { return f.accept(c, Clear, false) }

// AcceptBy is Accept for a listener whose clients come by TLS.
func (f *Front) AcceptBy(how Security) func(*loop.Conn) loop.Handler {
	return func(c *loop.Conn) loop.Handler { return f.accept(c, how, false) }
}

// AcceptWeb is AcceptBy for clients that come by WebSocket (RFC 7395), in the clear or by direct TLS.
func (f *Front) AcceptWeb(how Security) func(*loop.Conn) loop.Handler {
	return func(c *loop.Conn) loop.Handler { return f.accept(c, how, true) }
}

// accept takes a new connection. Beyond the limit some are still taken, to refuse them with a stream error; then none.
func (f *Front) accept(c *loop.Conn, how Security, web bool) loop.Handler {
	if f.loop.Open() > f.limits.MostOpen+politeOver {
		return nil
	}
	now := f.loop.Now()
	guest, verdict := f.door.Admit(now, c.Peer)
	if verdict == peerlimit.KeptOut {
		return nil
	}
	f.Answers.Sessions++
	s := &session{front: f, conn: c, raw: c, guest: guest, in: scanner{most: f.limits.Stanza}, headerDue: true, clear: how == StartTLS}
	s.due(now.Add(f.limits.HeaderTime))
	if verdict != peerlimit.Admitted { // in the clear also where TLS is due: a handshake would cost what the limit saves
		f.loop.At(now, func() { s.turnAway(verdict) })
		return s
	}
	if how == Direct {
		s.cancelTimer()
		s.due(now.Add(f.limits.ShakeTime + f.limits.HeaderTime))
	}
	switch {
	case web:
		s.layered = true
		m := s.frame()
		if how == Direct {
			t := s.secure(now, m.under)
			m.under.On(t)
			s.conn = m
			return t
		}
		m.under.On(c)
		return m.under
	case how == Direct:
		t := s.secure(now, s)
		s.conn = t
		return t
	}
	return s
}

// due has the stream header come by a time.
func (s *session) due(by time.Time) {
	s.until = by
	s.stop = s.front.loop.At(by, func() {
		s.stop = nil
		s.raw.ReadAvailable() // it may lie in the socket
		if s.stop == nil && s.request == nil {
			s.fail(connectionTimeout, "no stream header came in time")
		}
	})
}

// Evict answers a client whose connection is wanted for another one, before its header named a domain.
func (s *session) Evict() { s.fail(resourceConstraint, "connect again") }

// session is one client's connection.
type session struct {
	front     *Front
	conn      wire
	raw       *loop.Conn // below TLS
	in        scanner
	request   *edge.Request
	deadline  time.Time
	attempt   *edge.Attempt
	upstream  *upstreamRequest
	sent      []byte // what the client sent, kept until no other host can take over
	committed bool   // bytes of the host have reached the client
	open      bool   // established
	over      bool
	headerDue bool // the client waits for a stream header
	bindID    string
	top       token  // the present child of the root, as its start tag said
	to        string // as the client named it
	leaving   bool   // told to leave at the end of the present stanza
	stop      func()
	until     time.Time // for the stream header
	clear     bool      // the stream is ours up to <starttls/>
	upgrading bool      // that has come
	layered   bool      // TLS or WebSocket is between it and raw
	guest     *peerlimit.Stream
	resuming
}

// OnConnect is for connections dialled; a client's is up from the start.
func (s *session) OnConnect() {}

// OnData takes the client's bytes. Whole tokens go on to the host, as they came.
func (s *session) OnData(p []byte) {
	if s.over {
		return
	}
	var pass []byte
	rest, bad := s.in.feed(p, func(t token) bool {
		if why := s.token(t); why != "" {
			s.fail(why, "")
		}
		switch {
		case s.over:
		case !s.holding:
			pass = append(pass, t.raw...)
		default:
			if s.hold = append(s.hold, t.raw...); t.whole || len(s.hold) > mostAuth {
				s.pass(pass)
				pass = nil
				if !s.over {
					s.introduced()
				}
			}
		}
		return !s.over && !s.upgrading
	})
	if s.over {
		return
	}
	if s.upgrading {
		s.startTLS(rest)
		return
	}
	if s.clear { // nothing of it is for a host
		pass = nil
	}
	s.pass(pass)
	switch {
	case bad != "":
		s.fail(bad, "")
	case s.in.ended && !s.open && !s.over:
		s.left()
	}
}

// left ends a session whose client closed its stream before it stood: nobody waits for an answer any more, and no
// other host may be tried for it.
func (s *session) left() {
	s.front.Answers.Left++
	last := ""
	if !s.headerDue {
		last = "</" + s.upstream.in.prefix + ":stream>"
	}
	if s.request != nil {
		s.request.ClientGone()
	}
	s.end(last, trace.ClientEnded)
}

// token looks at what the client sent and says whether the stream must end with an error.
func (s *session) token(t token) condition {
	switch {
	case t.kind == start && t.depth == 1:
		return s.header(t)
	case t.kind == start && t.depth == 2:
		s.top = token{name: local(t.name), attrs: t.attrs}
		s.introduces(t)
		switch {
		case s.top.name == "starttls" && t.attr("xmlns") == tlsNS && s.clear:
			s.upgrading = true
		case s.clear:
			return policyViolation // before TLS stands there is nothing to be had
		case s.top.name == "starttls" && t.attr("xmlns") == tlsNS:
			s.refuseTLS()
		}
	case t.kind == start && t.depth == 3 && s.top.name == "iq" && s.top.attr("type") == "set" &&
		local(t.name) == "bind" && t.attr("xmlns") == bindNS:
		s.bindID = s.top.attr("id")
	default:
		s.introduces(t)
	}
	return ""
}

// header takes a stream header: the first opens the request, later ones start the stream anew.
func (s *session) header(t token) condition {
	s.headerDue = true
	if s.in.prefix == "" || local(t.name) != "stream" || t.attr("xmlns:"+s.in.prefix) != streamNS || t.attr("xmlns") != clientNS {
		return invalidNamespace
	}
	if major, _, _ := strings.Cut(t.attr("version"), "."); major == "" || major == "0" {
		return unsupportedVersion
	} else if _, err := strconv.ParseUint(major, 10, 16); err != nil {
		return unsupportedVersion
	}
	to := t.attr("to")
	if s.request != nil {
		if !strings.EqualFold(to, s.to) {
			return hostUnknown
		}
		return ""
	}
	d, ok := s.front.domain(to)
	if !ok || to == "" {
		return hostUnknown
	}
	if s.clear {
		s.offerTLS(to)
		return ""
	}
	s.to = to
	if v := s.front.door.AdmitToDomain(s.front.loop.Now(), s.guest, s.front.named(s.domain())); v != peerlimit.Admitted {
		s.turnAway(v)
		return ""
	}
	s.user = localPart(t.attr("from"), to)
	s.cancelTimer()
	s.deadline = s.front.loop.Now().Add(d.Patience)
	id := choice.RequestID(strconv.FormatUint(s.front.ids.Uint64(), 16))
	spec := edge.Spec{ID: id, Class: d.Class, Tenant: -1, Key: s.front.ids.Uint64(), Deadline: s.deadline, StickyServer: s.home(d)}
	if s.front.loop.Open()+2 > s.front.limits.MostOpen {
		// Guards against running out of descriptors half way: a session taken needs one more for its host.
		zap.L().Warn("connection_limit_refused", zap.String("front", "xmpp"))
		d.Core.Reject(spec, s, 0)
		return ""
	}
	s.conn.LeaveIdleQueue()
	s.request = d.Core.Open(spec, s)
	return ""
}

// pass gives the client's bytes to the host, and keeps them while another host may yet need them.
func (s *session) pass(p []byte) {
	if len(p) == 0 {
		return
	}
	if !s.committed {
		s.sent = append(s.sent, p...)
		if len(s.sent) > s.front.limits.Early {
			s.fail(policyViolation, "too much was sent before the host's answer")
			return
		}
	}
	if s.upstream != nil && s.upstream.up && !s.upstream.over {
		s.upstream.conn.Write(p)
		if s.upstream.conn.Full() {
			s.conn.Pause()
		}
	}
}

// refuseTLS answers STARTTLS, which is not carried: the front could not read an encrypted stream.
func (s *session) refuseTLS() {
	s.end("<failure xmlns='"+tlsNS+"'/></stream:stream>", trace.ClientBrokeProtocol)
	s.front.Answers.Errors++
}

// Attempt starts an upstream request for the core.
func (s *session) Attempt(a *edge.Attempt) edge.UpstreamRequest {
	s.attempt = a
	s.upstream = &upstreamRequest{session: s, attempt: a, in: scanner{most: s.front.limits.Stanza}}
	s.upstream.conn = s.front.loop.Dial(a.Server.Addr, a.ConnectBy(), s.upstream)
	return s.upstream
}

var conditions = map[edge.Why]struct {
	condition condition
	text      string
}{
	edge.Busy:           {resourceConstraint, "no server can take the session now"},
	edge.ShuttingDown:   {systemShutdown, "connect again"},
	edge.Unreachable:    {remoteConnectionFailed, "the server can't be reached"},
	edge.ServerLost:     {remoteConnectionFailed, "the server was lost"},
	edge.DeadlinePassed: {connectionTimeout, "the session was not set up in time"},
}

// LocalReply gives the session's final answer in place of a host's.
func (s *session) LocalReply(r edge.LocalReply) {
	c, ok := conditions[r.Why]
	if !ok || !r.Rejected {
		c.condition, c.text = internalServerError, ""
	}
	if r.RetryAfter > 0 {
		c.text += "; come again after " + strconv.FormatInt(r.RetryAfter.Milliseconds(), 10) + " ms"
	}
	s.fail(c.condition, c.text)
}

// Migrate tells the client of an open session to leave, between two stanzas.
func (s *session) Migrate(by time.Time) {
	if s.over {
		return
	}
	if s.upstream != nil && !s.upstream.in.between() {
		s.leaving = true
		s.stop = s.front.loop.At(by, s.depart)
		return
	}
	s.depart()
}

func (s *session) depart() {
	if !s.over {
		s.fail(systemShutdown, "connect again")
	}
}

// fail ends the stream with an error, once.
func (s *session) fail(c condition, words string) {
	if s.over {
		return
	}
	var b strings.Builder
	if s.headerDue {
		b.WriteString("<?xml version='1.0'?><stream:stream from='" + escape(s.to) + "' id='" +
			strconv.FormatUint(s.front.ids.Uint64(), 16) + "' version='1.0' xml:lang='en' xmlns='" + clientNS +
			"' xmlns:stream='" + streamNS + "'>")
	}
	prefix := "stream"
	if !s.headerDue && s.upstream != nil && s.upstream.in.prefix != "" {
		prefix = s.upstream.in.prefix
	}
	b.WriteString("<" + prefix + ":error><" + string(c) + " xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>")
	if words != "" {
		b.WriteString("<text xmlns='urn:ietf:params:xml:ns:xmpp-streams' xml:lang='en'>" + escape(words) + "</text>")
	}
	b.WriteString("</" + prefix + ":error></" + prefix + ":stream>")
	last := b.String()
	if s.upstream != nil && s.committed && !s.upstream.in.between() && s.upstream.passedPart {
		last = "" // the client is inside a stanza: any markup would only garble it
	}
	if !s.open {
		s.front.Answers.Errors++
	}
	s.end(last, streamError(c))
}

// streamError is the reason of a close by a stream error.
func streamError(c condition) trace.Close {
	return trace.Close("stream_error_" + strings.ReplaceAll(string(c), "-", "_"))
}

// end writes a last text and ends both sides.
func (s *session) end(last string, why trace.Close) {
	resumable := s.sm.ID != "" // a closing tag would end the session at its host, and its client may come again elsewhere
	s.done(why)
	s.conn.Write([]byte(last))
	s.conn.End()
	if s.upstream != nil {
		s.upstream.farewell(!resumable)
	}
	if s.request != nil {
		s.request.ClientBrokeProtocol()
	}
}

func (s *session) done(why trace.Close) {
	s.over = true
	s.trace(why)
	s.front.gone(s, s.in.ended)
	s.guest.Close()
	s.sent, s.greeting, s.hold = nil, nil, nil
	s.cancelTimer()
}

// trace tells why the client's connection ends.
func (s *session) trace(why trace.Close) {
	if s.front.Trace == nil {
		return
	}
	id := ""
	if s.request != nil {
		id = string(s.request.ID)
	}
	s.front.Trace.Closed(id, why)
}

func (s *session) cancelTimer() {
	if s.stop != nil {
		s.stop()
		s.stop = nil
	}
}

// OnEnd ends the host's side as the client did its own.
func (s *session) OnEnd(err error) {
	if s.over {
		return
	}
	if !s.open {
		s.front.Answers.Left++
	}
	why := trace.ClientEnded
	if err != io.EOF {
		why = trace.ClientReset
	}
	s.done(why)
	if s.upstream != nil {
		s.upstream.finish(err != io.EOF)
	}
	if s.request != nil {
		s.request.ClientGone()
	}
	if err == io.EOF {
		s.conn.End()
	}
}

// OnDrained goes on reading from the host.
func (s *session) OnDrained() {
	if s.upstream != nil && !s.over {
		s.upstream.conn.Resume()
	}
}
