package tls

import (
	"net"
	"sync"
	"time"
)

// pipe is the net.Conn that crypto/tls reads and writes. It buffers received bytes until crypto/tls reads them, and
// passes the bytes that crypto/tls writes to the event loop. During a handshake, both the event loop and the
// handshake's goroutine use it, and Read blocks. After the handshake only the event loop uses it, and nothing blocks.
type pipe struct {
	handshakes *Handshakes
	write      func([]byte) // sends on the underlying connection; called on the loop

	mu          sync.Mutex
	received    *sync.Cond // signalled when bytes are added to in or the pipe is closed
	in          []byte     // received bytes that crypto/tls has not read yet
	out         []byte     // bytes written by the handshake that the loop has not sent yet
	flushPosted bool       // a call of flush is posted to the loop
	onLoop      bool       // the handshake is done, and only the loop uses the pipe
	closed      bool
}

func newPipe(hs *Handshakes) *pipe {
	p := &pipe{handshakes: hs}
	p.received = sync.NewCond(&p.mu)
	return p
}

// wouldBlockError means that no more bytes have arrived yet. It is a temporary error, after which crypto/tls can
// continue to read.
type wouldBlockError struct{}

func (wouldBlockError) Error() string   { return "no bytes received yet" }
func (wouldBlockError) Timeout() bool   { return true }
func (wouldBlockError) Temporary() bool { return true }

var errWouldBlock net.Error = wouldBlockError{}

// feed adds received bytes and returns how many bytes are not read yet.
func (p *pipe) feed(data []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.in = append(p.in, data...)
	p.received.Signal()
	return len(p.in)
}

// Read implements net.Conn for crypto/tls.
func (p *pipe) Read(buffer []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.in) == 0 {
		switch {
		case p.closed:
			return 0, net.ErrClosed
		case p.onLoop:
			return 0, errWouldBlock
		}
		p.wait()
	}
	n := copy(buffer, p.in)
	p.in = p.in[n:]
	if len(p.in) == 0 {
		p.in = nil // an idle connection keeps no buffer
	}
	return n, nil
}

// wait blocks a handshake until more bytes arrive or the pipe is closed. Meanwhile another handshake may use the
// processor.
func (p *pipe) wait() {
	<-p.handshakes.computing
	for len(p.in) == 0 && !p.closed {
		p.received.Wait()
	}
	p.mu.Unlock() // the loop must not wait for p.mu until this handshake may use the processor
	p.handshakes.computing <- struct{}{}
	p.mu.Lock()
}

// Write implements net.Conn for crypto/tls.
func (p *pipe) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return 0, net.ErrClosed
	case p.onLoop:
		p.write(data)
	default:
		p.out = append(p.out, data...)
		if !p.flushPosted {
			p.flushPosted = true
			p.handshakes.loop.Post(p.flush)
		}
	}
	return len(data), nil
}

// flush sends the bytes that a handshake has written. It is called on the loop.
func (p *pipe) flush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.out
	p.out = nil
	p.flushPosted = false
	if len(out) > 0 && !p.closed {
		p.write(out)
	}
}

// switchToLoop makes the loop the only user of the pipe after the handshake.
func (p *pipe) switchToLoop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onLoop = true
}

// close makes reads and writes fail and wakes a blocked handshake.
func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.received.Broadcast()
}

// Close does nothing, because the event loop owns the connection. The methods for addresses and deadlines do nothing
// either, because crypto/tls doesn't use them here.
func (p *pipe) Close() error                     { return nil }
func (p *pipe) LocalAddr() net.Addr              { return nil }
func (p *pipe) RemoteAddr() net.Addr             { return nil }
func (p *pipe) SetDeadline(time.Time) error      { return nil }
func (p *pipe) SetReadDeadline(time.Time) error  { return nil }
func (p *pipe) SetWriteDeadline(time.Time) error { return nil }
