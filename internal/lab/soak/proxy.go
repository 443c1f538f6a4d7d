package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	proxyBuffer      = 4096
	readPollTimeout  = 500 * time.Millisecond // maximum time of a read before the stream checks its impairment again
	maxFragment      = 12                     // bytes
	fragmentInterval = time.Millisecond
)

// impairment is how a proxy disturbs the streams that it forwards.
type impairment struct {
	fragment    bool          // the proxy forwards bytes in small pieces
	maxDelay    time.Duration // maximum delay after each read
	resetRate   float64       // fraction of the reads after which the proxy resets both sides
	idleTimeout time.Duration // after which the proxy resets an idle stream; 0: never
}

// proxy is a TCP proxy in front of a server.
type proxy struct {
	listener   net.Listener
	target     string // address of the server
	impairment atomic.Pointer[impairment]

	mu        sync.Mutex
	rng       *rand.Rand
	resetFrom map[string]bool // streams that the proxy has reset, by the address that the server sees
}

// newProxy starts a proxy that forwards to an address.
func newProxy(target string, seed uint64) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener:  listener,
		target:    target,
		rng:       rand.New(rand.NewPCG(seed, proxyStream)),
		resetFrom: map[string]bool{},
	}
	p.impairment.Store(&impairment{})
	go p.accept()
	return p, nil
}

// accept accepts connections and forwards them until the listener is closed.
func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// hasReset reports whether the proxy has reset the stream that a server sees from an address.
func (p *proxy) hasReset(from string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resetFrom[from]
}

// draw returns a random number in [0, 1).
func (p *proxy) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// forward connects a client to the server, and copies both directions until they end.
func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	resetBoth := func() {
		p.mu.Lock()
		p.resetFrom[server.LocalAddr().String()] = true
		p.mu.Unlock()
		reset(client)
		reset(server)
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(server, client, resetBoth) })
	directions.Go(func() { p.copy(client, server, resetBoth) })
	directions.Wait()
	closeQuietly(client)
	closeQuietly(server)
}

// copy copies one direction of a stream. It applies the proxy's current impairment at each read.
func (p *proxy) copy(target, source net.Conn, resetBoth func()) {
	buffer := make([]byte, proxyBuffer)
	for {
		timeout := readPollTimeout
		if idle := p.impairment.Load().idleTimeout; idle > 0 {
			timeout = idle
		}
		setReadDeadline(source, time.Now().Add(timeout))
		count, err := source.Read(buffer)
		impaired := p.impairment.Load()
		if isTimeout(err) {
			if impaired.idleTimeout > 0 {
				resetBoth()
				return
			}
			continue
		}
		if impaired.maxDelay > 0 {
			time.Sleep(time.Duration(p.draw() * float64(impaired.maxDelay)))
		}
		if count > 0 && impaired.resetRate > 0 && p.draw() < impaired.resetRate {
			_, _ = target.Write(buffer[:int(p.draw()*float64(count))]) // error ignored: a reset follows
			resetBoth()
			return
		}
		if !p.write(target, buffer[:count], impaired.fragment) {
			reset(source)
			return
		}
		if err != nil {
			propagateEnd(target, err)
			return
		}
	}
}

// propagateEnd ends the target's side of a stream. It sends a FIN if the source ended normally, and a reset after any
// other error.
func propagateEnd(target net.Conn, err error) {
	half, ok := target.(interface{ CloseWrite() error })
	if !ok || !errors.Is(err, io.EOF) {
		reset(target)
		return
	}
	_ = half.CloseWrite() // fails only if the target has ended as well
}

// write writes bytes, in small pieces if fragment is set, and reports whether it wrote all of them.
func (p *proxy) write(target net.Conn, data []byte, fragment bool) bool {
	for len(data) > 0 {
		size := len(data)
		if fragment {
			size = min(size, 1+int(p.draw()*float64(min(size, maxFragment))))
		}
		if _, err := target.Write(data[:size]); err != nil {
			return false
		}
		data = data[size:]
		if fragment && len(data) > 0 {
			time.Sleep(fragmentInterval)
		}
	}
	return true
}
