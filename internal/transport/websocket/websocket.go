// Package websocket makes messages of a connection's bytes (RFC 6455): the handshake, frames, fragments, pings and the end. Nothing
// in it waits: what is not there yet is read when it has come. Handshake, headers and masks are gobwas/ws's.
package websocket

import (
	"bytes"
	"errors"
	"io"
	"unicode/utf8"

	"github.com/gobwas/ws"

	"spurwinch/internal/loop"
)

const (
	mostHead    = 8 << 10 // of the HTTP request
	mostControl = 125     // bytes of a control frame, as the RFC has it
)

var (
	errHead     = errors.New("an HTTP request that is too long")
	errProtocol = errors.New("a client that does not speak the sub-protocol")
	errTooLong  = errors.New("a message that is too long")
	errBinary   = errors.New("a binary message")
	errText     = errors.New("a message that is no UTF-8")
)

// Under is the connection below: one of the loop's, or TLS over one.
type Under interface {
	Write(p []byte)
	End()
	Abort()
	Pause()
	Resume()
	Full() bool
	LeaveIdleQueue()
}

// Conn is the server's side of a WebSocket connection. Its handler's OnData gets a whole message; what is written is one.
type Conn struct {
	under    Under
	h        loop.Handler
	protocol string
	most     int // bytes of a message
	in       []byte
	message  []byte // fragments so far
	state    ws.State
	up       bool
	paused   bool
	reading  bool
	over     bool
	ended    bool // the other side has ended the connection
	closed   bool // our close frame is sent
	later    func(func())
}

// Server begins with the client's HTTP request. most bounds a message; later runs a function once the present callback has returned.
func Server(protocol string, most int, later func(func()), h loop.Handler) *Conn {
	return &Conn{h: h, protocol: protocol, most: most, state: ws.StateServerSide, later: later}
}

// On says which connection is below, before anything comes.
func (c *Conn) On(u Under) { c.under = u }

// OnConnect is for connections dialled, and for TLS that is up.
func (c *Conn) OnConnect() {}

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
	} else if !c.over {
		c.broke(io.ErrUnexpectedEOF, ws.StatusGoingAway)
	}
}

// OnData takes the client's bytes.
func (c *Conn) OnData(p []byte) {
	if c.over {
		return
	}
	c.in = append(c.in, p...)
	c.read()
}

// read takes whole frames out of what has come.
func (c *Conn) read() {
	if c.reading { // from within a callback: what it resumed is read when that has returned
		return
	}
	c.reading = true
	defer func() { c.reading = false }()
	if !c.up && !c.shake() {
		return
	}
	for !c.over && !c.paused && c.frame() {
	}
	if c.ended && !c.over && !c.paused {
		c.gone(io.EOF)
	}
	if len(c.in) == 0 {
		c.in = nil // an idle connection keeps no buffer
	}
}

// answer is what gobwas/ws reads the request from and writes its answer to.
type answer struct {
	io.Reader
	bytes.Buffer
}

func (a *answer) Read(p []byte) (int, error) { return a.Reader.Read(p) }

// shake answers the request once its head is whole.
func (c *Conn) shake() bool {
	i := bytes.Index(c.in, []byte("\r\n\r\n"))
	if i < 0 {
		if len(c.in) > mostHead {
			c.gone(errHead)
		}
		return false
	}
	a := &answer{Reader: bytes.NewReader(c.in[:i+4])}
	spoken := false
	u := ws.Upgrader{Protocol: func(p []byte) bool {
		spoken = spoken || string(p) == c.protocol
		return string(p) == c.protocol
	}, OnBeforeUpgrade: func() (ws.HandshakeHeader, error) {
		if !spoken {
			return nil, ws.RejectConnectionError(ws.RejectionStatus(400), ws.RejectionReason("the sub-protocol "+c.protocol+" is wanted\n"))
		}
		return nil, nil
	}}
	_, err := u.Upgrade(a)
	c.under.Write(a.Bytes())
	if err != nil {
		if !spoken {
			err = errProtocol
		}
		c.gone(err)
		return false
	}
	c.in, c.up = c.in[i+4:], true
	return true
}

// frame takes one frame; false: none is whole.
func (c *Conn) frame() bool {
	r := bytes.NewReader(c.in)
	h, err := ws.ReadHeader(r)
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return false
	}
	if err == nil {
		err = ws.CheckHeader(h, c.state)
	}
	switch {
	case err != nil:
		c.broke(err, ws.StatusProtocolError)
		return false
	case h.OpCode.IsControl() && h.Length > mostControl:
		c.broke(errTooLong, ws.StatusProtocolError)
		return false
	case h.Length > int64(c.most-len(c.message)):
		c.broke(errTooLong, ws.StatusMessageTooBig)
		return false
	case int64(r.Len()) < h.Length:
		return false
	}
	at := len(c.in) - r.Len()
	p := c.in[at : at+int(h.Length)]
	c.in = c.in[at+int(h.Length):]
	ws.Cipher(p, h.Mask, 0)
	switch h.OpCode {
	case ws.OpPing:
		c.send(ws.OpPong, p)
		return true
	case ws.OpPong:
		return true
	case ws.OpClose:
		c.close(ws.StatusNormalClosure)
		c.over = true
		c.h.OnEnd(io.EOF)
		c.under.End()
		return false
	case ws.OpBinary:
		c.broke(errBinary, ws.StatusUnsupportedData)
		return false
	}
	if c.state = c.state.Clear(ws.StateFragmented); !h.Fin {
		c.state = c.state.Set(ws.StateFragmented)
		c.message = append(c.message, p...)
		return true
	}
	if len(c.message) > 0 {
		p = append(c.message, p...)
		c.message = nil
	}
	if !utf8.Valid(p) {
		c.broke(errText, ws.StatusInvalidFramePayloadData)
		return false
	}
	c.h.OnData(p)
	return true
}

func (c *Conn) send(op ws.OpCode, p []byte) {
	var b bytes.Buffer
	b.Grow(ws.MaxHeaderSize + len(p))
	ws.WriteHeader(&b, ws.Header{Fin: true, OpCode: op, Length: int64(len(p))})
	b.Write(p)
	c.under.Write(b.Bytes())
}

func (c *Conn) close(code ws.StatusCode) {
	if c.up && !c.closed {
		c.closed = true
		c.send(ws.OpClose, ws.NewCloseFrameBody(code, ""))
	}
}

// broke ends a connection that broke the protocol.
func (c *Conn) broke(err error, code ws.StatusCode) {
	c.close(code)
	c.gone(err)
}

func (c *Conn) gone(err error) {
	if !c.over {
		c.over = true
		c.h.OnEnd(err)
		c.under.End()
	}
}

// OnEnd tells the handler of the other side's end.
func (c *Conn) OnEnd(err error) {
	if c.over {
		return
	}
	if c.ended = true; err == io.EOF && c.up && c.paused {
		return // what came before the end comes first, once the handler goes on
	}
	c.over = true
	c.h.OnEnd(err)
	if err == io.EOF {
		c.under.End()
	}
}

// Write sends a message.
func (c *Conn) Write(p []byte) {
	if !c.over && c.up && !c.closed && len(p) > 0 {
		c.send(ws.OpText, p)
	}
}

// End sends what waits, the end of WebSocket, and then the connection's.
func (c *Conn) End() {
	if !c.over {
		c.close(ws.StatusNormalClosure)
		c.over = true
	}
	c.under.End()
}

// Abort cuts the connection off.
func (c *Conn) Abort() {
	c.over = true
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
	c.later(func() {
		if !c.over {
			c.read()
		}
	})
}

// Full says that much waits to be written.
func (c *Conn) Full() bool { return c.under.Full() }

// LeaveIdleQueue says that the connection has said what it wants.
func (c *Conn) LeaveIdleQueue() { c.under.LeaveIdleQueue() }
