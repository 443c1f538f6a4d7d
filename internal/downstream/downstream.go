// Package downstream is the front of the platform's protocol: it takes its clients' lines, hands requests to the
// core, gives its answers and passes bytes on between a client and its host.
package downstream

import (
	"bytes"
	"io"
	"log"
	"strconv"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/line"
	"spurwinch/internal/loop"
	"spurwinch/internal/upstream"
)

const (
	firstLineTime = 10 * time.Second // for the first line of a connection
	pinnedTime    = 39 * time.Second // for a connection open before the run; it counts as lost after 40 s
	mostEarly     = 32 << 10         // bytes that a client may send before its connection is up
	politeOver    = 16               // connections beyond the limit that are refused with an answer
	mostPatience  = time.Hour        // a longer d counts as this
)

// Front serves the platform's clients.
type Front struct {
	loop     *loop.Loop
	core     *edge.Core
	upstream *upstream.Cluster
	classes  map[string]int
	tenants  map[string]int
	patience []time.Duration // by class, where a line has no d
	most     int             // connections, both sides, from which on clients are refused
	ready    bool
	waiting  []*session // PINGs that came before the node was ready
}

// Options are the front's surroundings.
type Options struct {
	Loop     *loop.Loop
	Core     *edge.Core
	Upstream *upstream.Cluster
	Classes  map[string]int
	Tenants  map[string]int
	Settings choice.Settings
	MostOpen int
}

// New makes a Front.
func New(o Options) *Front {
	f := &Front{loop: o.Loop, core: o.Core, upstream: o.Upstream, classes: o.Classes, tenants: o.Tenants, most: o.MostOpen}
	for _, c := range o.Settings.Classes {
		f.patience = append(f.patience, c.Deadline)
	}
	return f
}

// Ready says that the node can serve; until then PING has no answer.
func (f *Front) Ready() {
	f.ready = true
	for _, s := range f.waiting {
		s.pong()
	}
	f.waiting = nil
}

// Accept takes a new connection. Beyond the limit some are still taken, for PING and to refuse politely; then none,
// which guards the descriptors that discovery, probes and attempts in hand need.
func (f *Front) Accept(c *loop.Conn) loop.Handler {
	if f.loop.Open() > f.most+politeOver {
		return nil
	}
	s := &session{front: f, conn: c}
	s.stop = f.loop.At(f.loop.Now().Add(firstLineTime), s.drop)
	return s
}

// session is one client's connection: it waits for the first line, then for its answer, then it is open.
type session struct {
	front   *Front
	conn    *loop.Conn
	in      line.Reader
	first   []byte
	early   []byte // what the client sent after its first line, until the connection is up
	request *edge.Request
	host    *upstream.Request
	open    bool
	over    bool
	out     line.Scanner // of the bytes passed on to the client
	moving  bool         // MOVE is due at the end of the present line
	stop    func()
}

// OnConnect is for connections dialled; a client's is up from the start.
func (s *session) OnConnect() {}

// OnData takes the client's bytes.
func (s *session) OnData(p []byte) {
	switch {
	case s.over:
	case s.open:
		s.forward(p)
	case s.request != nil:
		if len(s.early)+len(p) > mostEarly {
			s.conn.Pause()
		}
		s.early = append(s.early, p...)
	default:
		for len(p) > 0 && s.request == nil && !s.over {
			l, rest, err := s.in.Next(p)
			if err != nil {
				s.malformed("a first line that is too long")
				return
			}
			if l == nil {
				return
			}
			s.line(l)
			p = rest
		}
		if len(p) > 0 && !s.over {
			s.early = append(s.early, p...)
		}
	}
}

func (s *session) line(l []byte) {
	if !bytes.HasSuffix(l, []byte("\r\n")) || !line.Printable(line.Trim(l)) {
		s.malformed("a line that ends without CRLF or holds odd bytes")
		return
	}
	t := line.Trim(l)
	if string(t) == "PING" {
		s.cancelTimer()
		s.stop = s.front.loop.At(s.front.loop.Now().Add(mostPatience), s.drop)
		if s.front.ready {
			s.pong()
		} else if len(s.front.waiting) < 1024 {
			s.front.waiting = append(s.front.waiting, s)
		}
		return
	}
	spec, why := s.front.parse(t)
	if why != "" {
		s.malformed(why)
		return
	}
	s.cancelTimer()
	if s.front.loop.Open()+2 > s.front.most {
		// Guards against running out of descriptors half way: a request taken needs one more for its host.
		log.Print("downstream: too many connections: refused one")
		s.finish(busy(time.Second))
		return
	}
	s.first = bytes.Clone(l)
	s.request = s.front.core.Open(spec, s)
}

func (s *session) pong() {
	if !s.over {
		s.conn.Write([]byte("PONG\r\n"))
	}
}

// parse reads an OPEN line; why says what is wrong with it.
func (f *Front) parse(t []byte) (spec edge.Spec, why string) {
	words := bytes.Split(t, []byte(" "))
	if len(words) != 4 || string(words[0]) != "OPEN" {
		return spec, "a first line that is neither OPEN nor PING"
	}
	id, key, list := words[1], words[2], words[3]
	if len(id) == 0 || len(id) > 64 {
		return spec, "an OPEN without an id"
	}
	spec.ID = choice.RequestID(id)
	var err error
	if spec.Key, err = strconv.ParseUint(string(key), 16, 64); err != nil {
		return spec, "an OPEN whose key is no number"
	}
	get := func(name string) (string, bool) {
		from, to := line.Find(list, name)
		if from < 0 {
			return "", false
		}
		return string(list[from:to]), true
	}
	name, _ := get("c")
	class, ok := f.classes[name]
	if !ok {
		return spec, "an OPEN of an unknown class"
	}
	spec.Class, spec.Tenant = class, -1
	if name, ok := get("t"); ok {
		if i, ok := f.tenants[name]; ok {
			spec.Tenant = i
		}
	}
	if v, ok := get("g"); ok {
		if spec.Group, err = strconv.ParseUint(v, 16, 64); err != nil {
			return spec, "an OPEN whose g is no number"
		}
	}
	if v, ok := get("h"); ok {
		if spec.Load, err = strconv.ParseFloat(v, 64); err != nil {
			return spec, "an OPEN whose h is no number"
		}
	}
	if v, _ := get("again"); v == "1" {
		spec.Returned = true
	}
	patience := f.patience[class]
	if v, ok := get("d"); ok {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || !(ms >= 0) {
			return spec, "an OPEN whose d is no time: " + strconv.QuoteToASCII(v[:min(len(v), 24)])
		}
		// Connections open before the run come with a d far beyond any real patience.
		patience = time.Duration(min(ms, float64(mostPatience.Milliseconds())) * float64(time.Millisecond))
	}
	if v, ok := get("at"); ok && v != "" {
		spec.At, patience = choice.ServerID(v), pinnedTime
	}
	spec.Deadline = f.loop.Now().Add(patience)
	return spec, ""
}

func (s *session) malformed(why string) {
	log.Printf("downstream: a client sent %s", why)
	s.finish([]byte("ERR\r\n"))
}

func busy(after time.Duration) []byte {
	if after <= 0 {
		return []byte("BUSY\r\n")
	}
	return []byte("BUSY " + strconv.FormatInt(max(1, after.Milliseconds()), 10) + "\r\n")
}

// finish writes a last line and ends the connection.
func (s *session) finish(last []byte) {
	if s.over {
		return
	}
	s.done()
	s.conn.Write(last)
	s.conn.End()
}

func (s *session) drop() {
	s.done()
	s.conn.End()
}

func (s *session) done() {
	s.over = true
	s.cancelTimer()
	s.early, s.first = nil, nil
}

func (s *session) cancelTimer() {
	if s.stop != nil {
		s.stop()
		s.stop = nil
	}
}

// Attempt starts an upstream request for the core.
func (s *session) Attempt(a *edge.Attempt) edge.UpstreamRequest {
	s.host = s.front.upstream.Attempt(a, s.first, s)
	return s.host
}

// LocalReply gives the node's own answer.
func (s *session) LocalReply(r edge.LocalReply) {
	if r.Refused {
		s.finish(busy(r.After))
	} else {
		s.finish([]byte("ERR\r\n"))
	}
}

// Up passes the host's UP on; from here the host owns the connection.
func (s *session) Up(first []byte) {
	s.open = true
	s.conn.Write(first)
	s.first = nil
	s.conn.Resume()
	if early := s.early; len(early) > 0 {
		s.early = nil
		s.forward(early)
	}
	s.throttle()
}

// forward passes the client's bytes on to its host.
func (s *session) forward(p []byte) {
	if err := s.host.Write(p); err != nil {
		log.Print("downstream: a client sent a line that is too long on an open connection")
		s.host.End(false)
		s.drop()
		s.request.Gone()
		return
	}
	s.throttle()
}

// Final passes the answer of a request on that its host served to its end.
func (s *session) Final(l []byte) { s.finish(l) }

// Bytes passes the host's bytes on.
func (s *session) Bytes(p []byte) {
	if s.over {
		return
	}
	if s.moving {
		// Only the rest of the line in hand: MOVE goes between two lines.
		if i := bytes.IndexByte(p, '\n'); i >= 0 {
			s.conn.Write(p[:i+1])
			s.depart()
			return
		}
	}
	s.conn.Write(p)
	s.out.Count(p, func() {})
	s.throttle()
}

// throttle stops reading from a side whose bytes the other doesn't take.
func (s *session) throttle() {
	if s.over || !s.open {
		return
	}
	if s.conn.Buffered() > loop.HighWater {
		s.host.Pause()
	}
	if s.host.Buffered() > loop.HighWater {
		s.conn.Pause()
	}
}

// OnDrained goes on reading from the host.
func (s *session) OnDrained() {
	if s.open && !s.over {
		s.host.Resume()
	}
}

// Drained goes on reading from the client.
func (s *session) Drained() {
	if s.open && !s.over {
		s.conn.Resume()
	}
}

// Ended ends the client's connection as its host did.
func (s *session) Ended(reset bool) {
	if s.over {
		return
	}
	s.done()
	if reset {
		s.conn.Abort()
	} else {
		s.conn.End()
	}
}

// Move sends the client away, once the line in hand is over.
func (s *session) Move() {
	if s.over {
		return
	}
	if s.out.Mid() {
		s.moving = true
		s.stop = s.front.loop.At(s.front.loop.Now().Add(time.Second), s.depart)
		return
	}
	s.depart()
}

func (s *session) depart() {
	if s.over {
		return
	}
	s.host.End(false)
	s.finish([]byte("MOVE\r\n"))
}

// OnEnd ends the host's side as the client did its own.
func (s *session) OnEnd(err error) {
	if s.over {
		return
	}
	reset := err != io.EOF
	s.done()
	if s.open {
		s.host.End(reset)
	}
	if s.request != nil {
		s.request.Gone()
	}
	if !reset {
		s.conn.End()
	}
}
