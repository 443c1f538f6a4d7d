package tls

import (
	"net"
	"sync"
	"time"
)

// pipe is the network as crypto/tls sees it. Received bytes wait in it to be read, and what crypto/tls writes goes to
// the event loop. During a handshake two goroutines use it and its reader blocks. Afterwards only the event loop uses
// it and nothing blocks.
type pipe struct {
	handshakes *Handshakes
	write      func([]byte) // sends on the connection; called on the loop

	mu          sync.Mutex
	received    *sync.Cond // signalled when there is more in in, or the pipe is closed
	in          []byte
	out         []byte // of a handshake, for the loop to send
	flushPosted bool
	onLoop      bool // the handshake is done: only the loop uses the pipe
	closed      bool
}

func newPipe(hs *Handshakes) *pipe {
	p := &pipe{handshakes: hs}
	p.received = sync.NewCond(&p.mu)
	return p
}

// wouldBlockError says that no more bytes have come yet. crypto/tls goes on after an error that is temporary.
type wouldBlockError struct{}

func (wouldBlockError) Error() string   { return "no bytes have come yet" }
func (wouldBlockError) Timeout() bool   { return true }
func (wouldBlockError) Temporary() bool { return true }

var errWouldBlock net.Error = wouldBlockError{}

// feed takes received bytes and returns how many wait to be read.
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

// wait blocks a handshake until more bytes have come. Meanwhile another handshake may use the processor.
func (p *pipe) wait() {
	<-p.handshakes.computing
	for len(p.in) == 0 && !p.closed {
		p.received.Wait()
	}
	p.mu.Unlock() // the loop must not wait until this handshake has its turn
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

// flush sends what a handshake has written. It is called on the loop.
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

// switchToLoop gives the pipe to the loop alone, once the handshake is done.
func (p *pipe) switchToLoop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onLoop = true
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.received.Broadcast()
}

// Close does nothing: the event loop owns the connection. The same holds for the addresses and deadlines, which
// crypto/tls doesn't use here.
func (p *pipe) Close() error                     { return nil }
func (p *pipe) LocalAddr() net.Addr              { return nil }
func (p *pipe) RemoteAddr() net.Addr             { return nil }
func (p *pipe) SetDeadline(time.Time) error      { return nil }
func (p *pipe) SetReadDeadline(time.Time) error  { return nil }
func (p *pipe) SetWriteDeadline(time.Time) error { return nil }
