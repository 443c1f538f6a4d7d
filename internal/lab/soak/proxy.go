package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// weather is what a proxy does to the streams that pass it.
type weather struct {
	pieces bool          // bytes come in small pieces
	hold   time.Duration // each read waits up to this
	reset  float64       // part of the reads after which both sides are reset
	idle   time.Duration // a stream with nothing to carry for so long is reset; 0: never
}

// proxy stands before a host.
type proxy struct {
	listen  net.Listener
	dest    string
	weather atomic.Pointer[weather]

	mu   sync.Mutex
	rng  *rand.Rand
	cuts map[string]bool // by the proxy's address as the host sees it: streams that the proxy has reset
}

func newProxy(dest string, seed uint64) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listen: l, dest: dest, rng: rand.New(rand.NewPCG(seed, 21)), cuts: map[string]bool{}}
	p.weather.Store(&weather{})
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listen.Accept()
		if err != nil {
			return
		}
		go p.carry(c.(*net.TCPConn))
	}
}

// cut says whether the proxy has reset the stream that a host sees from an address.
func (p *proxy) cut(from string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts[from]
}

func (p *proxy) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

func (p *proxy) carry(near *net.TCPConn) {
	d, err := net.Dial("tcp", p.dest)
	if err != nil {
		reset(near)
		return
	}
	far := d.(*net.TCPConn)
	cut := func() {
		p.mu.Lock()
		p.cuts[far.LocalAddr().String()] = true
		p.mu.Unlock()
		reset(near)
		reset(far)
	}
	done := make(chan struct{}, 2)
	go func() { p.pass(far, near, cut); done <- struct{}{} }()
	go func() { p.pass(near, far, cut); done <- struct{}{} }()
	<-done
	<-done
	near.Close()
	far.Close()
}

// pass carries one direction.
func (p *proxy) pass(to, from *net.TCPConn, cut func()) {
	buf := make([]byte, 4096)
	for {
		w := p.weather.Load()
		if w.idle > 0 {
			from.SetReadDeadline(time.Now().Add(w.idle))
		} else {
			from.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		}
		n, err := from.Read(buf)
		w = p.weather.Load()
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			if w.idle > 0 {
				cut()
				return
			}
			continue
		}
		if w.hold > 0 {
			time.Sleep(time.Duration(p.draw() * float64(w.hold)))
		}
		if n > 0 && w.reset > 0 && p.draw() < w.reset {
			to.Write(buf[:int(p.draw()*float64(n))])
			cut()
			return
		}
		if !p.write(to, buf[:n], w.pieces) {
			reset(from)
			return
		}
		switch {
		case err == io.EOF:
			to.CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

func (p *proxy) write(to net.Conn, b []byte, pieces bool) bool {
	for len(b) > 0 {
		n := len(b)
		if pieces {
			n = 1 + int(p.draw()*float64(min(n, 12)))
			n = min(n, len(b))
		}
		if _, err := to.Write(b[:n]); err != nil {
			return false
		}
		if b = b[n:]; pieces && len(b) > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return true
}

// reset ends a connection as a process that dies.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
