// Package upstream speaks the platform's protocol with its hosts: attempts, probes, load notes and outcomes.
package upstream

import (
	"bytes"
	"container/list"
	"io"
	"math"
	"strconv"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"

	"go.uber.org/zap"
)

// Sink is the client's side of an upstream request. After End or Abort nothing more comes.
type Sink interface {
	Up(first []byte)   // the host's own UP line, which serves the client
	Bytes(p []byte)    // what follows it, unchanged
	Ended(reset bool)  // the host ended the connection after UP, by FIN or by a reset
	Drained()          // what waited to be written to the host is with the kernel
	Final(line []byte) // the host served the request to its end with this line, without UP
	Hear()             // looks whether the client has left meanwhile, which has the attempt given up
}

// Cluster starts upstream requests and probes at the platform's hosts.
type Cluster struct {
	loop   *loop.Loop
	fields []string
	probes map[choice.ServerID]*prober

	connected  list.List // probers with a connection, the longest unused first
	mostProbes int       // of them that are kept; 0: any number
}

// New makes a Cluster; fields are the names of a load report's values in the settings.
func New(l *loop.Loop, fields []string) *Cluster {
	return &Cluster{loop: l, fields: fields, probes: map[choice.ServerID]*prober{}}
}

// Adapt takes in the names of a load report's values from now on.
func (c *Cluster) Adapt(fields []string) { c.fields = fields }

// Request is one attempt on its own connection.
type Request struct {
	cluster *Cluster
	attempt *edge.Attempt
	sink    Sink
	conn    *loop.Conn
	first   []byte // the client's first line, until it's sent
	in      line.Reader
	out     line.Scanner
	up      bool
	over    bool
	last    ending
	sent    time.Time // when the line was passed on that is being timed; zero: none is
	watch   func()
}

type ending uint8

const (
	noEnding ending = iota
	bye
	move
)

const checkEvery = time.Second

// Attempt starts a. first is the client's OPEN line; only its d is written anew.
func (c *Cluster) Attempt(a *edge.Attempt, first []byte, sink Sink) *Request {
	r := &Request{cluster: c, attempt: a, sink: sink, first: first}
	r.conn = c.loop.Dial(a.Server.Addr, a.ConnectBy(), r)
	return r
}

// OnConnect sends the first line, where anybody still waits for its answer.
func (r *Request) OnConnect() {
	r.attempt.Connected()
	if r.sink.Hear(); !r.attempt.Begin() {
		return
	}
	left := r.attempt.Expires.Sub(r.cluster.loop.Now())
	r.conn.Write(WithDeadline(r.first, left))
	r.count()
}

// count counts the attempt once its line is written whole.
func (r *Request) count() {
	if r.conn.Sent() {
		r.attempt.Written()
	}
}

// OnData takes the host's lines.
func (r *Request) OnData(p []byte) {
	if r.up {
		r.relay(p)
		return
	}
	l, rest, err := r.in.Next(p)
	if err != nil {
		r.fail(choice.Failed, nil, "a line that is too long")
		return
	}
	if l == nil {
		return
	}
	r.reply(l, rest)
}

// reply takes the host's first line.
func (r *Request) reply(l, rest []byte) {
	word, info, _ := bytes.Cut(line.Trim(l), []byte(" "))
	switch string(word) {
	case "UP":
		if len(info) == 0 || !line.Printable(line.Trim(l)) {
			r.fail(choice.Failed, nil, "UP without a receipt")
			return
		}
		r.up = true
		r.attempt.Established()
		if r.over {
			return
		}
		r.sink.Up(l)
		if len(rest) > 0 && !r.over {
			r.relay(rest)
		}
	case "BUSY":
		r.fail(choice.Full, r.report(info), "")
	case "ERR":
		r.fail(choice.Failed, r.report(info), "")
	case "BYE":
		r.over = true
		r.conn.End()
		r.attempt.Ended(choice.Served, r.report(info))
		r.sink.Final(l)
	default:
		r.fail(choice.Failed, nil, "an answer that is none: "+strconv.QuoteToASCII(string(l[:min(len(l), 60)])))
	}
}

// fail ends an attempt without a connection.
func (r *Request) fail(o choice.Outcome, report []float64, why string) {
	if r.over {
		return
	}
	if why != "" {
		zap.L().Warn("host_answer_unreadable", zap.String("host", string(r.attempt.Server.ID)), zap.String("sent", why))
	}
	r.over = true
	r.conn.Cancel()
	r.attempt.Ended(o, report)
}

// relay passes the host's bytes on and takes out what the core needs of them.
func (r *Request) relay(p []byte) {
	err := r.in.Scan(p, func(l []byte) {
		r.last = noEnding
		word, info, _ := bytes.Cut(line.Trim(l), []byte(" "))
		switch string(word) {
		case "LOAD":
			if x, err := strconv.ParseFloat(string(info), 64); err == nil && x >= 0 && !math.IsInf(x, 0) {
				r.attempt.UpdateLoad(x / 1e6)
			}
			return
		case "BYE":
			r.last = bye
		case "MOVE":
			r.last = move
		}
		// One line is timed at a time, and any of the host's ends it: a line that gets no answer must not make all
		// later ones look late.
		if !r.sent.IsZero() {
			r.attempt.ObserveDelay(r.cluster.loop.Now().Sub(r.sent))
			r.sent = time.Time{}
		}
	})
	if err != nil && !r.over {
		zap.L().Warn("host_line_too_long", zap.String("host", string(r.attempt.Server.ID)))
		r.done()
		r.conn.Abort()
		r.attempt.Ended(choice.Reset, nil)
		r.sink.Ended(true)
	}
	if !r.over {
		r.sink.Bytes(p)
	}
}

// Write passes a client's bytes on after UP. Nothing is passed on of bytes with a line that is too long.
func (r *Request) Write(p []byte) error {
	if r.over {
		return nil
	}
	now := r.cluster.loop.Now()
	err := r.out.Count(p, func() {
		if r.sent.IsZero() {
			r.sent = now
		}
	})
	if err != nil {
		return err
	}
	r.conn.Write(p)
	if !r.sent.IsZero() && r.watch == nil {
		r.watch = r.cluster.loop.At(now.Add(checkEvery), r.check)
	}
	return nil
}

// check guards against hosts that say nothing although the connection stands: no answer would ever tell how slow
// they are.
func (r *Request) check() {
	r.watch = nil
	if r.over || r.sent.IsZero() {
		return
	}
	now := r.cluster.loop.Now()
	age := now.Sub(r.sent)
	if age >= r.attempt.UnresponsiveAfter() {
		r.attempt.Unresponsive()
		return
	}
	if age >= checkEvery {
		r.attempt.ObserveDelay(age)
	}
	r.watch = r.cluster.loop.At(now.Add(checkEvery/2), r.check)
}

// Full says that the client should be paused: much waits to be written to the host.
func (r *Request) Full() bool { return r.conn.Full() }

// Pause stops reading from the host; Resume goes on.
func (r *Request) Pause() { r.conn.Pause() }

// Resume goes on reading from the host.
func (r *Request) Resume() { r.conn.Resume() }

// End ends the connection as its client did.
func (r *Request) End(reset bool) {
	if r.over {
		return
	}
	r.done()
	if reset {
		r.conn.Abort()
	} else {
		r.conn.End()
	}
}

// GiveUp closes the connection. A request line that is half written stays half: the core takes it for one that has not run.
func (r *Request) GiveUp() {
	if r.over || r.up {
		r.End(false)
		return
	}
	r.done()
	r.conn.Cancel()
}

func (r *Request) done() {
	r.over = true
	r.unwatch()
}

func (r *Request) unwatch() {
	if r.watch != nil {
		r.watch()
		r.watch = nil
	}
}

// OnEnd gives the outcome of a connection that failed or ended, by the protocol's table.
func (r *Request) OnEnd(err error) {
	if r.over {
		return
	}
	r.done()
	sent := r.conn.Sent()
	switch {
	case err == io.EOF && r.up:
		r.conn.End()
	case err == io.EOF:
		r.conn.Cancel()
	}
	switch {
	case r.up:
		o := choice.Reset
		switch r.last {
		case bye:
			o = choice.Served
		case move:
			o = choice.Cancelled
		}
		r.attempt.Ended(o, nil)
		r.sink.Ended(err != io.EOF)
	case loop.IsLocal(err):
		r.attempt.Ended(choice.NeverSent, nil)
	case !sent:
		r.attempt.Ended(choice.ConnectFailed, nil)
	default:
		r.attempt.Ended(choice.Reset, nil)
	}
}

// OnDrained tells the client's side that it may go on.
func (r *Request) OnDrained() {
	r.count()
	if r.up && !r.over {
		r.sink.Drained()
	}
}

// WithDeadline writes d anew in the list of an OPEN line, in whole milliseconds; all else stays as it came.
func WithDeadline(first []byte, left time.Duration) []byte {
	at := line.FieldsAt(first)
	from, to := line.Find(first[at:], "d")
	if from < 0 {
		return first
	}
	out := make([]byte, 0, len(first)+8)
	out = append(out, first[:at+from]...)
	out = strconv.AppendInt(out, max(1, left.Milliseconds()), 10)
	return append(out, first[at+to:]...)
}
