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
	readPollTimeout  = 500 * time.Millisecond // after which a stream's impairment is looked up again
	maxFragment      = 12                     // bytes
	fragmentInterval = time.Millisecond
)

// impairment is what a proxy does to the streams that pass it.
type impairment struct {
	fragment    bool          // bytes are passed on in small pieces
	maxDelay    time.Duration // of each read
	resetRate   float64       // part of the reads after which both sides are reset
	idleTimeout time.Duration // after which a stream is reset; 0: never
}

// proxy is a TCP proxy in front of a server.
type proxy struct {
	listener   net.Listener
	target     string
	impairment atomic.Pointer[impairment]

	mu        sync.Mutex
	rng       *rand.Rand
	resetFrom map[string]bool // by the address that the server sees: streams that the proxy has reset
}

// newProxy starts a proxy to an address.
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

// accept serves connections until the listener is closed.
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

// draw draws a number from 0 to 1.
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

// copy copies one direction, impaired as the proxy is at each read.
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
			_, _ = target.Write(buffer[:int(p.draw()*float64(count))]) // the connection is reset next
			resetBoth()
			return
		}
		if !p.write(target, buffer[:count], impaired.fragment) {
			reset(source)
			return
		}
		if err != nil {
			endCopy(target, err)
			return
		}
	}
}

// endCopy passes the end of a direction on to its target.
func endCopy(target net.Conn, err error) {
	half, ok := target.(interface{ CloseWrite() error })
	if !ok || !errors.Is(err, io.EOF) {
		reset(target)
		return
	}
	_ = half.CloseWrite() // it fails where the target has ended as well
}

// write writes bytes, in small pieces if so said, and reports whether all were written.
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
