package websocket

import (
	"bytes"
	"errors"
	"io"

	"github.com/gobwas/ws"

	"spurwinch/internal/loop"
)

// Transport is the underlying connection: a connection of the event loop, or TLS on one.
type Transport interface {
	Write(data []byte)
	End()
	Abort()
	Pause()
	Resume()
	Full() bool
	LeaveIdleQueue()
}

// Conn is the server's side of a WebSocket connection. Each call of the handler's OnData gets one whole message, and
// each Write sends one message.
type Conn struct {
	transport     Transport
	handler       loop.Handler
	subprotocol   string
	maxMessage    int              // maximum length of a message in bytes
	afterCallback func(run func()) // runs a function once the present callback has returned

	in      []byte // received bytes that were not read as frames yet
	message []byte // received fragments of the present message
	state   ws.State

	established bool // the handshake has succeeded
	closed      bool // the connection has ended or failed
	paused      bool
	reading     bool // read is on the stack
	clientEnded bool // the client has ended the connection
	closeSent   bool // a close frame was sent
}

// Server returns a connection that expects the client's HTTP request first. The client must offer the subprotocol.
// maxMessage is the maximum length of a message in bytes. afterCallback must run a function once the present callback
// has returned.
func Server(subprotocol string, maxMessage int, afterCallback func(run func()), handler loop.Handler) *Conn {
	return &Conn{
		handler: handler, subprotocol: subprotocol, maxMessage: maxMessage, afterCallback: afterCallback,
		state: ws.StateServerSide,
	}
}

// SetTransport sets the underlying connection. It must be called before any bytes are received.
func (c *Conn) SetTransport(transport Transport) { c.transport = transport }

// OnConnect does nothing: also after a TLS handshake, the WebSocket handshake comes first.
func (c *Conn) OnConnect() {}

// OnDrained tells the handler that all written bytes were passed to the kernel.
func (c *Conn) OnDrained() {
	if c.established && !c.closed {
		c.handler.OnDrained()
	}
}

// Evict ends the connection so that another one can take its place. After the handshake the handler decides how.
func (c *Conn) Evict() {
	evictable, ok := c.handler.(loop.Evictable)
	if ok && c.established && !c.closed {
		evictable.Evict()
	} else if !c.closed {
		c.fail(io.ErrUnexpectedEOF, ws.StatusGoingAway)
	}
}

// OnData handles bytes that the client has sent.
func (c *Conn) OnData(data []byte) {
	if c.closed {
		return
	}
	c.in = append(c.in, data...)
	c.read()
}

// read handles received bytes until no whole frame is left or the handler pauses.
func (c *Conn) read() {
	if c.reading { // called from a callback of the handler: the loop below continues once the callback has returned
		return
	}
	c.reading = true
	defer func() { c.reading = false }()
	if !c.established && !c.handshake() {
		return
	}
	received := len(c.in)
	for !c.closed && !c.paused && c.readFrame() {
	}
	if c.clientEnded && !c.closed && !c.paused {
		c.finish(io.EOF)
	}
	switch {
	case len(c.in) == 0:
		c.in = nil // an idle connection keeps no buffer
	case len(c.in) < received:
		c.in = bytes.Clone(c.in) // without the frames that were read
	}
}

// OnEnd handles the end of the underlying connection.
func (c *Conn) OnEnd(err error) {
	if c.closed {
		return
	}
	c.clientEnded = true
	orderly := errors.Is(err, io.EOF)
	if orderly && c.established && c.paused {
		return // the handler gets the messages from before the end first, once it resumes
	}
	c.closed = true
	c.handler.OnEnd(err)
	if orderly {
		c.transport.End()
	}
}

// fail ends a connection whose client violated the protocol or that is evicted. It sends a close frame with a status
// code and reports the error to the handler.
func (c *Conn) fail(err error, code ws.StatusCode) {
	c.sendClose(code)
	c.finish(err)
}

// finish reports the end to the handler, and ends the connection once all written bytes are sent.
func (c *Conn) finish(err error) {
	if !c.closed {
		c.closed = true
		c.handler.OnEnd(err)
		c.transport.End()
	}
}

// Write sends one text message.
func (c *Conn) Write(message []byte) {
	if !c.closed && c.established && !c.closeSent && len(message) > 0 {
		c.send(ws.OpText, message)
	}
}

// End sends the data that is still pending and then a close frame, and ends the connection.
func (c *Conn) End() {
	if !c.closed {
		c.sendClose(ws.StatusNormalClosure)
		c.closed = true
	}
	c.transport.End()
}

// Abort resets the connection.
func (c *Conn) Abort() {
	c.closed = true
	c.transport.Abort()
}

// Pause stops reading until Resume is called.
func (c *Conn) Pause() {
	c.paused = true
	c.transport.Pause()
}

// Resume continues reading after Pause.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.transport.Resume()
	c.afterCallback(func() { // the loop doesn't report delivered bytes again
		if !c.closed {
			c.read()
		}
	})
}

// Buffered returns the size in bytes of the buffers for messages that the client has not finished.
func (c *Conn) Buffered() int { return cap(c.in) + cap(c.message) }

// DropInput drops the received bytes of unfinished messages, on a connection that is about to end.
func (c *Conn) DropInput() {
	c.in = nil
	c.message = nil
}

// Full reports whether so much data is pending that its source should pause.
func (c *Conn) Full() bool { return c.transport.Full() }

// LeaveIdleQueue excludes the connection from eviction. It is called when the client has named its domain.
func (c *Conn) LeaveIdleQueue() { c.transport.LeaveIdleQueue() }
