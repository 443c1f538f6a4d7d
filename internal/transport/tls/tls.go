// Package tls puts TLS between a connection of the loop and its handler. Handshakes run apart from the loop, since crypto/tls can't
// interrupt one: a bounded number at once, of which the oldest goes for a new one, and few of them work at a time. All that
// follows is read and written by the loop, and nothing is started for it.
package tls

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"spurwinch/internal/loop"

	"go.uber.org/zap"
)

const (
	mostEarly   = 64 << 10 // of a peer, kept for a handshake
	mostPending = 1 << 20  // to be written once the handshake is done
	mostAtOnce  = 256      // handshakes under way, most of them waiting for the other side
	mostWorking = 2        // of these that reckon at a time: the loop must not wait behind them
	readSize    = 16 << 10 // a record's most
)

var (
	// ErrHandshakeTime says that a handshake took too long.
	ErrHandshakeTime = errors.New("the TLS handshake was not done in time")
	errNoRoom        = errors.New("the connection was wanted for another one")
	errTooMuch       = errors.New("more bytes than a TLS handshake has")
)

// Handshakes runs the handshakes of a loop's connections, so many at once. Its methods belong to the loop's goroutine.
type Handshakes struct {
	l       *loop.Loop
	running list.List // of *Conn, oldest first
	work    chan struct{}
	buf     [readSize]byte
	Done    int // handshakes that came to their end
	Failed  int // and that did not
}

// NewHandshakes makes them for a loop.
func NewHandshakes(l *loop.Loop) *Handshakes {
	return &Handshakes{l: l, work: make(chan struct{}, mostWorking)}
}

// Running counts the handshakes that are under way.
func (hs *Handshakes) Running() int { return hs.running.Len() }

// Conn is a TLS connection. It has the loop's connection's methods, and its handler the same callbacks: OnData when there is
// plain text, OnEnd at the other side's end.
type Conn struct {
	hs      *Handshakes
	under   *loop.Conn
	h       loop.Handler
	pipe    *pipe
	tls     *tls.Conn
	cancel  context.CancelFunc
	stop    func()
	up      bool
	over    bool
	paused  bool
	reading bool
	ended   bool   // the other side has ended the connection
	eof     bool   // and the handler knows
	pending []byte // plain text, until the handshake is done
	place   *list.Element
}

// Server begins the server's side of a handshake on a connection; by is when it must be done.
func (hs *Handshakes) Server(under *loop.Conn, config *tls.Config, by time.Time, h loop.Handler) *Conn {
	c := &Conn{hs: hs, under: under, h: h, pipe: newPipe(hs)}
	c.pipe.write = under.Write
	c.tls = tls.Server(c.pipe, config)
	c.stop = hs.l.At(by, func() { c.broke(ErrHandshakeTime) })
	return c
}

// begin starts a handshake, once something of it has come: who says nothing takes no place. For want of one the oldest goes, which
// has had its time more than any other.
func (hs *Handshakes) begin(c *Conn) {
	if hs.running.Len() >= mostAtOnce {
		hs.running.Front().Value.(*Conn).broke(errNoRoom)
	}
	c.place = hs.running.PushBack(c)
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go func() {
		hs.work <- struct{}{}
		err := c.tls.HandshakeContext(ctx)
		<-hs.work
		hs.l.Post(func() { c.shaken(err) })
	}()
}

// shaken is called on the loop once a handshake has ended.
func (c *Conn) shaken(err error) {
	c.cancel()
	if c.over {
		return
	}
	c.pipe.flush()
	if err != nil {
		zap.L().Debug("tls_handshake_failed", zap.Error(err))
		c.broke(err)
		return
	}
	c.stop()
	c.leave()
	c.hs.Done++
	c.up = true
	c.pipe.byLoop()
	if p := c.pending; len(p) > 0 {
		c.pending = nil
		c.Write(p)
	}
	c.h.OnConnect()
	c.read()
}

// ServerName is the name that the client asked for; empty before the handshake is done.
func (c *Conn) ServerName() string {
	if !c.up {
		return ""
	}
	return c.tls.ConnectionState().ServerName
}

// OnConnect is for connections dialled.
func (c *Conn) OnConnect() {}

// OnData takes what the other side sends.
func (c *Conn) OnData(p []byte) {
	if c.over {
		return
	}
	if n := c.pipe.feed(p); !c.up && n > mostEarly {
		c.broke(errTooMuch)
		return
	}
	if !c.up && c.cancel == nil {
		c.hs.begin(c)
	}
	if c.up {
		c.read()
	}
}

// read hands plain text to the handler until none is left, or it wants none.
func (c *Conn) read() {
	if c.reading { // the handler is in its callback: what it resumed is read when that has returned
		return
	}
	c.reading = true
	defer func() { c.reading = false }()
	for !c.over && !c.paused && !c.eof {
		n, err := c.tls.Read(c.hs.buf[:])
		if n > 0 {
			c.h.OnData(c.hs.buf[:n])
			continue
		}
		switch {
		case (err == nil || errors.Is(err, errNotNow)) && !c.ended:
			return
		case err == nil || errors.Is(err, errNotNow):
			c.eof = true
			c.h.OnEnd(io.EOF)
		case err == io.EOF:
			c.eof = true
			c.h.OnEnd(io.EOF)
		default:
			c.broke(err)
		}
	}
}

// broke ends a connection that can't go on.
func (c *Conn) broke(err error) {
	if c.over {
		return
	}
	if !c.up {
		c.hs.Failed++
	}
	c.done()
	c.under.End() // with the alert, where there is one
	c.h.OnEnd(err)
}

// leave gives the place of a handshake up.
func (c *Conn) leave() {
	if c.place != nil {
		c.hs.running.Remove(c.place)
		c.place = nil
	}
}

func (c *Conn) done() {
	c.over = true
	c.leave()
	c.stop()
	if c.cancel != nil {
		c.cancel()
	}
	c.pipe.close()
	c.pending = nil
}

// OnEnd tells the handler of the other side's end.
func (c *Conn) OnEnd(err error) {
	if c.over || c.eof {
		return
	}
	if !c.up {
		c.hs.Failed++
	}
	if err != io.EOF || !c.up {
		c.done()
		if err == io.EOF { // in the middle of a handshake nobody waits for an answer
			c.under.End()
		}
		c.h.OnEnd(io.ErrUnexpectedEOF)
		return
	}
	c.ended = true
	c.read() // what came before the end comes first, also where the handler has paused
}

// OnDrained tells the handler that all is with the kernel.
func (c *Conn) OnDrained() {
	if c.up && !c.over {
		c.h.OnDrained()
	}
}

// Evict is for a connection that is wanted for another one.
func (c *Conn) Evict() {
	if s, ok := c.h.(loop.Evictable); ok && c.up && !c.over {
		s.Evict()
	} else if !c.up {
		c.broke(errNoRoom)
	}
}

// Write sends plain text.
func (c *Conn) Write(p []byte) {
	switch {
	case c.over || len(p) == 0:
	case !c.up && len(c.pending)+len(p) > mostPending:
		c.hs.l.At(c.hs.l.Now(), func() { c.broke(errTooMuch) })
	case !c.up:
		c.pending = append(c.pending, p...)
	default:
		if _, err := c.tls.Write(p); err != nil {
			c.hs.l.At(c.hs.l.Now(), func() { c.broke(err) })
		}
	}
}

// End sends what waits, the end of TLS, and then the connection's.
func (c *Conn) End() {
	if c.over {
		return
	}
	if c.up {
		c.tls.CloseWrite()
	}
	c.done()
	c.under.End()
}

// Abort cuts the connection off.
func (c *Conn) Abort() {
	c.done()
	c.under.Abort()
}

// Pause stops reading.
func (c *Conn) Pause() {
	c.paused = true
	c.under.Pause()
}

// Resume goes on reading.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.under.Resume()
	c.hs.l.At(c.hs.l.Now(), func() { // what is here already tells of itself no more
		if c.up {
			c.read()
		}
	})
}

// Full says that much waits to be written.
func (c *Conn) Full() bool { return c.under.Full() }

// LeaveIdleQueue says that the connection has said what it wants.
func (c *Conn) LeaveIdleQueue() { c.under.LeaveIdleQueue() }

// pipe is the network under crypto/tls: what came waits in it, and what is written goes to the loop. While a handshake runs it
// is used from two goroutines, and its reader waits; from then on the loop alone has it, and nobody waits.
type pipe struct {
	hs    *Handshakes
	write func([]byte)

	mu     sync.Mutex
	more   *sync.Cond
	in     []byte
	out    []byte // of a handshake, for the loop to send
	posted bool
	loops  bool
	closed bool
}

func newPipe(hs *Handshakes) *pipe {
	p := &pipe{hs: hs}
	p.more = sync.NewCond(&p.mu)
	return p
}

// notNow says that nothing more has come yet. crypto/tls goes on after an error that calls itself temporary.
type notNow struct{}

func (notNow) Error() string   { return "nothing has come yet" }
func (notNow) Timeout() bool   { return true }
func (notNow) Temporary() bool { return true }

var errNotNow net.Error = notNow{}

func (p *pipe) feed(b []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.in = append(p.in, b...)
	p.more.Signal()
	return len(p.in)
}

// Read is crypto/tls's.
func (p *pipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.in) == 0 {
		switch {
		case p.closed:
			return 0, net.ErrClosed
		case p.loops:
			return 0, errNotNow
		}
		p.wait()
	}
	n := copy(b, p.in)
	if p.in = p.in[n:]; len(p.in) == 0 {
		p.in = nil // an idle connection keeps no buffer
	}
	return n, nil
}

// wait waits for more of a handshake. Meanwhile others may work.
func (p *pipe) wait() {
	<-p.hs.work
	for len(p.in) == 0 && !p.closed {
		p.more.Wait()
	}
	p.mu.Unlock() // the loop must not wait for this one's turn
	p.hs.work <- struct{}{}
	p.mu.Lock()
}

// Write is crypto/tls's.
func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return 0, net.ErrClosed
	case p.loops:
		p.write(b)
	default:
		p.out = append(p.out, b...)
		if !p.posted {
			p.posted = true
			p.hs.l.Post(p.flush)
		}
	}
	return len(b), nil
}

// flush sends what a handshake has written. It is called on the loop.
func (p *pipe) flush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.out
	p.out, p.posted = nil, false
	if len(out) > 0 && !p.closed {
		p.write(out)
	}
}

func (p *pipe) byLoop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loops = true
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.more.Broadcast()
}

// Close, addresses and deadlines are not crypto/tls's to use here: the loop has the connection.
func (p *pipe) Close() error                     { return nil }
func (p *pipe) LocalAddr() net.Addr              { return nil }
func (p *pipe) RemoteAddr() net.Addr             { return nil }
func (p *pipe) SetDeadline(time.Time) error      { return nil }
func (p *pipe) SetReadDeadline(time.Time) error  { return nil }
func (p *pipe) SetWriteDeadline(time.Time) error { return nil }
