package tls

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"time"

	"spurwinch/internal/loop"

	"go.uber.org/zap"
)

const (
	maxEarlyBytes   = 64 << 10 // bytes received and not yet read by a handshake
	maxPendingBytes = 1 << 20  // bytes of plain text to be sent after the handshake
	maxRunning      = 256      // handshakes in progress, most of which wait for the client
	maxComputing    = 2        // handshakes that use the processor at a time; more would delay the event loop
	readBufferSize  = 16 << 10 // bytes: the plain text of the largest record
)

var (
	// ErrHandshakeTimeout is passed to OnEnd if a handshake has not finished by its deadline.
	ErrHandshakeTimeout = errors.New("TLS handshake not finished by the deadline")
	errEvicted          = errors.New("connection evicted to make room for another one")
	errTooManyBytes     = errors.New("too many bytes before the end of the TLS handshake")
)

// Handshakes runs the handshakes of a loop's connections, with a bounded number at once. Its methods must be called on
// the loop's goroutine.
type Handshakes struct {
	loop       *loop.Loop
	running    list.List     // handshakes in progress: *Conn, oldest first
	computing  chan struct{} // holds one element for each handshake that uses the processor
	readBuffer [readBufferSize]byte
	Done       int // handshakes that succeeded
	Failed     int // handshakes that failed
}

// NewHandshakes returns the Handshakes of a loop.
func NewHandshakes(eventLoop *loop.Loop) *Handshakes {
	return &Handshakes{loop: eventLoop, computing: make(chan struct{}, maxComputing)}
}

// Running returns the number of handshakes in progress.
func (hs *Handshakes) Running() int { return hs.running.Len() }

// Server returns the server's side of TLS on a connection. The handshake fails if it is not done by the deadline.
func (hs *Handshakes) Server(conn *loop.Conn, config *tls.Config, deadline time.Time, handler loop.Handler) *Conn {
	c := &Conn{handshakes: hs, underlying: conn, handler: handler, pipe: newPipe(hs)}
	c.pipe.write = conn.Write
	c.tls = tls.Server(c.pipe, config)
	c.stopTimer = hs.loop.At(deadline, func() { c.fail(ErrHandshakeTimeout) })
	return c
}

// begin starts a handshake. It is called when the first bytes arrive, so that silent clients don't count as running.
// If maxRunning handshakes are in progress, it evicts the oldest, which has had the most time.
func (hs *Handshakes) begin(conn *Conn) {
	if hs.running.Len() >= maxRunning {
		oldest := hs.running.Front().Value.(*Conn) //nolint:forcetypeassert // the list holds only connections
		oldest.fail(errEvicted)
	}
	conn.runningElement = hs.running.PushBack(conn)
	ctx, cancel := context.WithCancel(context.Background())
	conn.cancel = cancel
	go func() {
		hs.computing <- struct{}{}
		err := conn.tls.HandshakeContext(ctx)
		<-hs.computing
		hs.loop.Post(func() { conn.handshakeEnded(err) })
	}()
}

// handshakeEnded handles the result of a handshake: it passes the established connection to the handler, or ends the
// connection if the handshake failed. It is called on the loop.
func (c *Conn) handshakeEnded(err error) {
	c.cancel()
	if c.closed {
		return
	}
	c.pipe.flush()
	if err != nil {
		zap.L().Debug("tls_handshake_failed", zap.Error(err))
		c.fail(err)
		return
	}
	c.stopTimer()
	c.removeFromRunning()
	c.handshakes.Done++
	c.established = true
	c.pipe.switchToLoop()
	if pending := c.pending; len(pending) > 0 {
		c.pending = nil
		c.Write(pending)
	}
	c.handler.OnConnect()
	c.read()
}

// removeFromRunning removes the connection from the running handshakes.
func (c *Conn) removeFromRunning() {
	if c.runningElement != nil {
		c.handshakes.running.Remove(c.runningElement)
		c.runningElement = nil
	}
}
