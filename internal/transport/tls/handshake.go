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
	maxEarlyBytes   = 64 << 10 // received and not yet read by a handshake
	maxPendingBytes = 1 << 20  // of plain text to be sent once the handshake is done
	maxRunning      = 256      // handshakes that have begun, most of them waiting for the client
	maxComputing    = 2        // of these, that use the processor at a time: the event loop must not wait for them
	readBufferSize  = 16 << 10 // the plain text of the largest record
)

var (
	// ErrHandshakeTime says that a handshake took too long.
	ErrHandshakeTime = errors.New("the TLS handshake was not done in time")
	errEvicted       = errors.New("evicted: the connection's place was needed for another one")
	errTooMuch       = errors.New("more bytes than a TLS handshake may have")
)

// Handshakes runs the handshakes of a loop's connections, a bounded number at once. Its methods must be called from the
// loop's goroutine.
type Handshakes struct {
	loop       *loop.Loop
	running    list.List     // of *Conn, oldest first
	computing  chan struct{} // has one element for each handshake that uses the processor
	readBuffer [readBufferSize]byte
	Done       int // handshakes that succeeded
	Failed     int // handshakes that failed
}

// NewHandshakes returns the handshakes for a loop.
func NewHandshakes(eventLoop *loop.Loop) *Handshakes {
	return &Handshakes{loop: eventLoop, computing: make(chan struct{}, maxComputing)}
}

// Running counts the handshakes that have begun and not ended.
func (hs *Handshakes) Running() int { return hs.running.Len() }

// Server returns the server's side of TLS on a connection. The handshake fails unless it is done by the deadline.
func (hs *Handshakes) Server(under *loop.Conn, config *tls.Config, deadline time.Time, handler loop.Handler) *Conn {
	c := &Conn{handshakes: hs, under: under, handler: handler, pipe: newPipe(hs)}
	c.pipe.write = under.Write
	c.tls = tls.Server(c.pipe, config)
	c.stopTimer = hs.loop.At(deadline, func() { c.fail(ErrHandshakeTime) })
	return c
}

// begin starts a handshake. It is called once the first bytes have come, so that silent clients take no place. If all
// places are taken, it evicts the oldest handshake, which has had the most time.
func (hs *Handshakes) begin(conn *Conn) {
	if hs.running.Len() >= maxRunning {
		oldest := hs.running.Front().Value.(*Conn) //nolint:forcetypeassert // the list has nothing else
		oldest.fail(errEvicted)
	}
	conn.place = hs.running.PushBack(conn)
	ctx, cancel := context.WithCancel(context.Background())
	conn.cancel = cancel
	go func() {
		hs.computing <- struct{}{}
		err := conn.tls.HandshakeContext(ctx)
		<-hs.computing
		hs.loop.Post(func() { conn.handshakeEnded(err) })
	}()
}

// handshakeEnded is called on the loop once a handshake has succeeded or failed.
func (c *Conn) handshakeEnded(err error) {
	c.cancel()
	if c.over {
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
	c.up = true
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
	if c.place != nil {
		c.handshakes.running.Remove(c.place)
		c.place = nil
	}
}
