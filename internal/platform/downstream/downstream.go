// Package downstream is the front of the platform's protocol: it takes its clients' lines, hands requests to the
// core, gives its answers and passes bytes on between a client and its host.
package downstream

import (
	"bytes"
	"io"
	"math"
	"slices"
	"strconv"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/invariant"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"
	"spurwinch/internal/platform/upstream"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

const (
	// openTime is for the OPEN line, from the connection on, whatever else was said: who sends nothing that can be
	// served gets an error or an end within 3 s.
	openTime     = 2500 * time.Millisecond
	readyTime    = 30 * time.Second // for PONG, at a node that knows no hosts yet
	pinnedTime   = 39 * time.Second // for a connection open before the run; it counts as lost after 40 s
	forRequest   = 2                // descriptors that are free when a request is taken: its host's, and one for a probe
	politeOver   = 16               // connections beyond the limit that are refused with an answer
	mostPatience = time.Hour        // a longer d counts as this
	mostLoad     = 1e9              // a larger h is no load
)

// Front serves the platform's clients.
type Front struct {
	loop     *loop.Loop
	core     *edge.Core
	upstream *upstream.Cluster
	classes  map[string]int
	tenants  map[string]int
	table    []choice.Class       // by class
	former   map[string]time.Time // classes that left the settings, until when clients may still name them
	most     int                  // connections, both sides, from which on clients are refused
	ready    bool
	onReady  func()
	waiting  []*session // PINGs that came before the node was ready
}

// Options are the front's surroundings.
type Options struct {
	Loop     *loop.Loop
	Core     *edge.Core
	Upstream *upstream.Cluster
	MostOpen int
	OnReady  func() // once, when the node can serve
}

// New makes a Front.
func New(o Options) *Front {
	return &Front{loop: o.Loop, core: o.Core, upstream: o.Upstream, most: o.MostOpen, onReady: o.OnReady, former: map[string]time.Time{}}
}

// Adapt takes in the classes and tenants that clients may name from now on. A class that is no longer among them stays
// known for as long as a client waits: one on its way can't know.
func (f *Front) Adapt(classes, tenants map[string]int, table []choice.Class) {
	now := f.loop.Now()
	for name, i := range f.classes {
		if _, stays := classes[name]; !stays {
			f.former[name] = now.Add(f.table[i].Deadline)
		}
	}
	for name, until := range f.former {
		if _, back := classes[name]; back || now.After(until) {
			delete(f.former, name)
		}
	}
	f.classes, f.tenants, f.table = classes, tenants, table
}

// class finds a class by the name in a client's line.
func (f *Front) class(name string) (int, bool) {
	if i, ok := f.classes[name]; ok {
		return i, true
	}
	if until, ok := f.former[name]; ok && f.loop.Now().Before(until) {
		return slices.IndexFunc(f.table, func(c choice.Class) bool { return c.Name == name }), true
	}
	return 0, false
}

// Share sets the number of connections from which on clients are refused.
func (f *Front) Share(most int) { f.most = most }

// Ready says that the node can serve; until then PING has no answer.
func (f *Front) Ready() {
	if !f.ready && f.onReady != nil {
		f.onReady()
	}
	f.ready = true
	for _, s := range f.waiting {
		s.pong()
	}
	f.waiting = nil
}

// Taking reports whether clients are taken and placed now.
func (f *Front) Taking() bool { return f.ready && !f.core.Draining() }

// Accept takes a new connection. The loop has made room for it, as far as others had not said yet what they want. Beyond
// the limit some are still taken, for PING and to refuse politely; then none, which guards the descriptors that
// discovery, probes and attempts in hand need.
func (f *Front) Accept(c *loop.Conn) loop.Handler {
	if f.loop.Open() > f.most+politeOver {
		return nil
	}
	s := &session{front: f, conn: c}
	s.due(f.loop.Now().Add(openTime))
	return s
}

// due has the connection say what it wants by a time.
func (s *session) due(by time.Time) {
	s.until = by
	s.stop = s.front.loop.At(by, s.late)
}

// late ends a connection that has not said in time what it wants.
func (s *session) late() {
	s.stop = nil
	s.conn.ReadAvailable() // its line may lie in the socket
	switch {
	case s.over || s.request != nil || s.stop != nil:
	case s.pinged:
		s.drop(trace.ClientTimedOut)
	default:
		s.malformed("no line in time")
	}
}

// Evict answers a client whose connection is wanted for another one, before it has said what it wants.
func (s *session) Evict() {
	why := trace.ClientEvicted
	if s.front.core.Draining() {
		why = trace.NodeStopping
	}
	if s.pinged {
		s.drop(why)
	} else {
		s.finish(busy(0), invariant.ByNode, why)
	}
}

// session is one client's connection: it waits for the first line, then for its answer, then it is open.
type session struct {
	front   *Front
	conn    *loop.Conn
	in      line.Reader
	first   []byte
	pinged  bool
	request *edge.Request
	host    *upstream.Request
	open    bool
	over    bool
	out     line.Scanner // of the bytes passed on to the client
	moving  bool         // MOVE is due at the end of the present line
	stop    func()
	until   time.Time // for the first line
}

// OnConnect is for connections dialled; a client's is up from the start.
func (s *session) OnConnect() {}

// OnData takes the client's bytes. Before its connection is up a client sends one line and waits: what comes on top is
// no request, and must not reach a host behind one that looks sound.
func (s *session) OnData(p []byte) {
	switch {
	case s.over:
	case s.open:
		s.forward(p)
	case s.request != nil:
		s.malformed("more before its answer")
	default:
		l, rest, err := s.in.Next(p)
		switch {
		case err != nil:
			s.malformed("a first line that is too long")
		case l != nil && len(rest) > 0:
			s.malformed("more than one line at once")
		case l != nil:
			s.line(l)
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
		s.pinged = true
		if s.front.ready {
			s.pong()
		} else if len(s.front.waiting) < 1024 {
			s.cancelTimer()
			s.stop = s.front.loop.At(s.front.loop.Now().Add(readyTime), func() { s.drop(trace.ClientTimedOut) })
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
	s.first = bytes.Clone(l)
	s.conn.LeaveIdleQueue()
	if s.front.loop.Open()+forRequest > s.front.most {
		s.front.loop.EvictIdle(s.front.most - forRequest) // those who ask for nothing go first
	}
	if s.front.loop.Open()+forRequest > s.front.most {
		// Guards against running out of descriptors half way: a request taken needs one more for its host.
		zap.L().Warn("connection_limit_refused", zap.String("front", "platform"), zap.Int("open_connections", s.front.loop.Open()))
		s.front.core.Reject(spec, s, time.Second)
		return
	}
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
	if name := line.Repeated(list); name != "" {
		return spec, "an OPEN that names a field twice"
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
	class, ok := f.class(name)
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
		// ParseFloat takes NaN and Inf for numbers; the module must see neither, nor a load below none.
		if spec.Load, err = strconv.ParseFloat(v, 64); err != nil || !(spec.Load >= 0 && spec.Load <= mostLoad) {
			return spec, "an OPEN whose h is no load"
		}
	}
	if v, _ := get("again"); v == "1" {
		spec.Returned = true
	}
	patience := f.table[class].Deadline
	at, pinned := get("at")
	if v, ok := get("d"); ok {
		ms, err := strconv.ParseFloat(v, 64)
		// A host answers a d that it cannot read with ERR; such a line must end here, or it would look like the host's
		// failure. Connections open before the run come with a d far beyond any real patience.
		if err != nil || !(ms >= 0) || math.IsInf(ms, 0) || !pinned && ms > math.MaxUint32 {
			return spec, "an OPEN whose d is no time: " + strconv.QuoteToASCII(v[:min(len(v), 24)])
		}
		patience = time.Duration(min(ms, float64(mostPatience.Milliseconds())) * float64(time.Millisecond))
	}
	if at != "" {
		spec.OpenAt, patience = choice.ServerID(at), pinnedTime
	}
	spec.Deadline = f.loop.Now().Add(patience)
	return spec, ""
}

// malformed answers what can't be served. A request that the client has out is called off: it is the core's no more.
func (s *session) malformed(why string) {
	zap.L().Warn("client_line_unreadable", zap.String("sent", why))
	s.finish([]byte("ERR\r\n"), invariant.ByClient, trace.ClientBrokeProtocol)
	if s.request != nil {
		s.request.ClientBrokeProtocol()
	}
}

func busy(after time.Duration) []byte {
	if after <= 0 {
		return []byte("BUSY\r\n")
	}
	return []byte("BUSY " + strconv.FormatInt(max(1, after.Milliseconds()), 10) + "\r\n")
}

// finish writes a last line and ends the connection; by and why say who is the cause.
func (s *session) finish(last []byte, by invariant.Ending, why trace.Close) {
	if s.over {
		return
	}
	s.close(by, why)
	s.conn.Write(last)
	s.conn.End()
}

// drop ends a connection whose client is owed no word.
func (s *session) drop(why trace.Close) {
	s.close(invariant.ByClient, why)
	s.conn.End()
}

// close ends the session, and has the guard check that nothing is still owed.
func (s *session) close(by invariant.Ending, why trace.Close) {
	if s.request != nil {
		s.request.ConnectionClosed(by, why)
	} else {
		s.front.core.ConnectionClosedUnused(why)
	}
	s.done()
}

func (s *session) done() {
	s.over = true
	s.cancelTimer()
	s.first = nil
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
	if r.Rejected {
		s.finish(busy(r.RetryAfter), invariant.ByNode, trace.NodeAnswered)
	} else {
		s.finish([]byte("ERR\r\n"), invariant.ByNode, trace.NodeAnswered)
	}
}

// Up passes the host's UP on; from here the host owns the connection.
func (s *session) Up(first []byte) {
	s.open = true
	s.conn.Write(first)
	s.first = nil
	s.throttle()
}

// forward passes the client's bytes on to its host.
func (s *session) forward(p []byte) {
	if err := s.host.Write(p); err != nil {
		zap.L().Warn("client_line_too_long")
		s.host.End(false)
		s.drop(trace.ClientBrokeProtocol)
		s.request.ClientGone()
		return
	}
	s.throttle()
}

// Hear looks for a client that has left, whose end may lie in the socket.
func (s *session) Hear() { s.conn.ReadAvailable() }

// Final passes the answer of a request on that its host served to its end.
func (s *session) Final(l []byte) { s.finish(l, invariant.ByServer, trace.ServerServed) }

// Bytes passes the host's bytes on.
func (s *session) Bytes(p []byte) {
	if s.over {
		return
	}
	if s.moving {
		// Only the rest of the line in hand: MOVE goes between two lines.
		if i := bytes.IndexByte(p, '\n'); i >= 0 {
			s.conn.Write(p[:i+1])
			s.out = line.Scanner{}
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
	if s.conn.Full() {
		s.host.Pause()
	}
	if s.host.Full() {
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
	if reset {
		s.close(invariant.ByServer, trace.ServerReset)
		s.conn.Abort()
	} else {
		s.close(invariant.ByServer, trace.ServerEnded)
		s.conn.End()
	}
}

// Migrate sends the client away, once the line in hand is over.
func (s *session) Migrate(by time.Time) {
	if s.over {
		return
	}
	if s.out.Mid() {
		s.moving = true
		s.stop = s.front.loop.At(by, s.depart)
		return
	}
	s.depart()
}

func (s *session) depart() {
	if s.over {
		return
	}
	s.host.End(false)
	last := "MOVE\r\n"
	if s.moving && s.out.Mid() { // the host's line stops amid: MOVE behind it would be a part of it, and no MOVE
		last = "\r\n" + last
	}
	s.close(invariant.ByNode, trace.NodeMigratedClient)
	s.conn.Write([]byte(last))
	s.conn.End()
}

// OnEnd ends the host's side as the client did its own.
func (s *session) OnEnd(err error) {
	if s.over {
		return
	}
	reset := err != io.EOF
	if !reset && !s.open && s.in.Mid() {
		s.malformed("half a line and the end")
		return
	}
	why := trace.ClientEnded
	if reset {
		why = trace.ClientReset
	}
	s.close(invariant.ByClient, why)
	if s.open {
		s.host.End(reset)
	}
	if s.request != nil {
		s.request.ClientGone()
	}
	if !reset {
		s.conn.End()
	}
}
