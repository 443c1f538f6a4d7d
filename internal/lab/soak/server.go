package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"spurwinch/internal/lab/fakeserver"
)

// serverBehavior is how a server treats new requests. The words are those of the reports.
type serverBehavior string

const (
	healthy        serverBehavior = ""
	hanging        serverBehavior = "hangs"         // reads and answers nothing
	resetting      serverBehavior = "resets"        // resets what it has read, also amid a line
	failing        serverBehavior = "errs"          // answers ERR
	full           serverBehavior = "full"          // answers BUSY
	slow           serverBehavior = "slow"          // answers late
	truncating     serverBehavior = "half answer"   // begins its answer and stops
	closing        serverBehavior = "ends"          // closes without an answer
	dropping       serverBehavior = "forgets"       // keeps its connections and returns no lines
	closingChecked serverBehavior = "closes probes" // closes connections of health checks
)

var serverBehaviors = []serverBehavior{
	hanging, resetting, failing, full, slow, truncating, closing, dropping, closingChecked,
}

// States of a server, as endpoint lists name them.
const (
	stateServing  = "SERVING"
	stateDraining = "DRAINING"
)

// server is a fake of a platform's server.
type server struct {
	id, zone    string
	checker     *Checker
	listener    *net.TCPListener
	proxy       *proxy
	reportsLoad bool

	mu          sync.Mutex
	rng         *rand.Rand
	behavior    serverBehavior
	state       string
	changed     time.Time         // of its state
	started     time.Time         // zero: long ago
	established int               // connections of clients
	conns       map[net.Conn]bool // true: a restart has reset it
	arrivals    []time.Time       // of calls in slow start, from nodes that were notified of the start
}

// receiptOf is what a server returns to a request that it serves.
func receiptOf(id string, s *server) string { return id + "@" + s.id }

// newServer starts a server behind a proxy.
func newServer(id, zone string, seed uint64, checker *Checker) (*server, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	created := &server{
		id:       id,
		zone:     zone,
		checker:  checker,
		listener: listener,
		rng:      rand.New(rand.NewPCG(seed, serverStream)),
		state:    stateServing,
		conns:    map[net.Conn]bool{},
	}
	if created.proxy, err = newProxy(listener.Addr().String(), seed); err != nil {
		return nil, err
	}
	go created.accept()
	return created, nil
}

// accept serves connections until the listener is closed.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// addr is the address that nodes use.
func (s *server) addr() string { return s.proxy.listener.Addr().String() }

// current returns the server's behavior and state.
func (s *server) current() (serverBehavior, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior, s.state
}

// listEntry returns the server's entry in an endpoint list.
func (s *server) listEntry() (fakeserver.ListEntry, serverState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := fakeserver.ListEntry{ID: s.id, Addr: s.addr(), Zone: s.zone, Kind: "k", State: s.state, Weight: 1}
	if !s.started.IsZero() {
		entry.Started = s.started.UnixMilli()
	}
	return entry, serverState{s, s.state, s.started}
}

// behave sets how the server treats new requests.
func (s *server) behave(behavior serverBehavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = behavior
}

// restart ends the server's process and begins a new one, which warms up.
func (s *server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = time.Now()
	s.changed = s.started
	s.state = stateServing
	s.behavior = healthy
	s.arrivals = nil
	for conn := range s.conns {
		s.conns[conn] = true
		reset(conn)
	}
}

// drain has the server take no new requests.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = stateDraining
	s.changed = time.Now()
}

// drainingSince returns since when the server drains; zero, if it serves.
func (s *server) drainingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == stateServing {
		return time.Time{}
	}
	return s.changed
}

// capacityLocked is the part of its capacity that the server has at a time.
func (s *server) capacityLocked(now time.Time) float64 {
	age := now.Sub(s.started)
	if s.started.IsZero() || age >= warmUpTime {
		return 1
	}
	return initialCapacity + (1-initialCapacity)*age.Seconds()/warmUpTime.Seconds()
}

// draw draws a number from 0 to 1.
func (s *server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// isFull reports whether the server takes no more connections.
func (s *server) isFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.established >= maxConnections
}

// addEstablished changes the number of clients' connections.
func (s *server) addEstablished(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.established += change
}

// loadReport is the server's load report behind a space; empty in a deployment without reports.
func (s *server) loadReport() string {
	if !s.reportsLoad {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	load := float64(s.established) / (serverCapacity * s.capacityLocked(time.Now()))
	return fmt.Sprintf(" latency_ms=1,util=%.3f,x0=%.3f", min(1, load), load)
}

// checkSlowStart checks the calls to a server in slow start against the budget of all nodes.
func (s *server) checkSlowStart(id string) {
	parent := s.checker.request(id)
	if parent == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	started := s.started
	capacity := s.capacityLocked(now)
	s.mu.Unlock()
	if capacity == 1 || !parent.node.knowsStart(s, started, parent.incarnation) {
		return
	}
	s.checker.count("calls at cold hosts")
	if calls := s.callsInWindow(now); float64(calls) > slowStartBudget(capacity) {
		s.checker.violated(SlowStart, "%s: %d calls in %v at %.2f of its capacity; %v is the most",
			s.id, calls, slowStartWindow, capacity, slowStartBudget(capacity))
	}
}

// callsInWindow counts one more call in slow start, and returns those of the window.
func (s *server) callsInWindow(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, now)
	for now.Sub(s.arrivals[0]) > slowStartWindow {
		s.arrivals = s.arrivals[1:]
	}
	return len(s.arrivals)
}
