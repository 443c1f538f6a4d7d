package websocket

import (
	"errors"
	"io"

	"github.com/gobwas/ws"

	"spurwinch/internal/loop"
)

// Transport is the connection below: one of the loop's, or TLS over one.
type Transport interface {
	Write(data []byte)
	End()
	Abort()
	Pause()
	Resume()
	Full() bool
	LeaveIdleQueue()
}

// Conn is the server's side of a WebSocket connection. Its handler's OnData gets a whole message at a time, and each
// Write sends one.
type Conn struct {
	transport     Transport
	handler       loop.Handler
	subprotocol   string
	maxMessage    int // bytes
	afterCallback func(run func())

	in      []byte // received and not yet read
	message []byte // fragments so far
	state   ws.State

	up        bool // the handshake is done
	over      bool
	paused    bool
	reading   bool // read is on the stack
	ended     bool // the client has ended the connection
	closeSent bool
}

// Server returns a connection that begins with the client's HTTP request. The client must offer the subprotocol.
// maxMessage bounds a message, in bytes. afterCallback runs a function once the present callback has returned.
func Server(subprotocol string, maxMessage int, afterCallback func(run func()), handler loop.Handler) *Conn {
	return &Conn{
		handler: handler, subprotocol: subprotocol, maxMessage: maxMessage, afterCallback: afterCallback,
		state: ws.StateServerSide,
	}
}

// SetTransport sets the connection below. It must be called before anything is received.
func (c *Conn) SetTransport(transport Transport) { c.transport = transport }

// OnConnect does nothing: the handshake comes first, also where TLS is up now.
func (c *Conn) OnConnect() {}

// OnDrained tells the handler that all written bytes have gone to the kernel.
func (c *Conn) OnDrained() {
	if c.up && !c.over {
		c.handler.OnDrained()
	}
}

// Evict ends a connection whose place is needed for another one. After the handshake its handler decides how.
func (c *Conn) Evict() {
	evictable, ok := c.handler.(loop.Evictable)
	if ok && c.up && !c.over {
		evictable.Evict()
	} else if !c.over {
		c.fail(io.ErrUnexpectedEOF, ws.StatusGoingAway)
	}
}

// OnData takes bytes of the client.
func (c *Conn) OnData(data []byte) {
	if c.over {
		return
	}
	c.in = append(c.in, data...)
	c.read()
}

// read takes what was received until no whole frame is left or the handler pauses.
func (c *Conn) read() {
	if c.reading { // called from the handler's callback: the loop below goes on once that has returned
		return
	}
	c.reading = true
	defer func() { c.reading = false }()
	if !c.up && !c.handshake() {
		return
	}
	for !c.over && !c.paused && c.readFrame() {
	}
	if c.ended && !c.over && !c.paused {
		c.finish(io.EOF)
	}
	if len(c.in) == 0 {
		c.in = nil // an idle connection keeps no buffer
	}
}

// OnEnd takes the end of the connection below.
func (c *Conn) OnEnd(err error) {
	if c.over {
		return
	}
	c.ended = true
	orderly := errors.Is(err, io.EOF)
	if orderly && c.up && c.paused {
		return // messages that came before the end go to the handler first, once it resumes
	}
	c.over = true
	c.handler.OnEnd(err)
	if orderly {
		c.transport.End()
	}
}

// fail ends a connection whose client broke the protocol.
func (c *Conn) fail(err error, code ws.StatusCode) {
	c.sendClose(code)
	c.finish(err)
}

// finish ends the connection after what was written.
func (c *Conn) finish(err error) {
	if !c.over {
		c.over = true
		c.handler.OnEnd(err)
		c.transport.End()
	}
}

// Write sends a message.
func (c *Conn) Write(message []byte) {
	if !c.over && c.up && !c.closeSent && len(message) > 0 {
		c.send(ws.OpText, message)
	}
}

// End sends what is still to be sent, then WebSocket's close, and ends the connection.
func (c *Conn) End() {
	if !c.over {
		c.sendClose(ws.StatusNormalClosure)
		c.over = true
	}
	c.transport.End()
}

// Abort resets the connection.
func (c *Conn) Abort() {
	c.over = true
	c.transport.Abort()
}

// Pause stops reading.
func (c *Conn) Pause() {
	c.paused = true
	c.transport.Pause()
}

// Resume goes on reading.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.transport.Resume()
	c.afterCallback(func() { // the loop doesn't report bytes that were received already
		if !c.over {
			c.read()
		}
	})
}

// Full reports whether so much waits to be sent that the writer should pause.
func (c *Conn) Full() bool { return c.transport.Full() }

// LeaveIdleQueue says that the client has named its domain: the connection is not evicted any more.
func (c *Conn) LeaveIdleQueue() { c.transport.LeaveIdleQueue() }
