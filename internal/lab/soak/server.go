package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"spurwinch/internal/lab/fakeserver"
)

// serverBehavior is how a server treats requests, connections and health checks. The values appear in reports.
type serverBehavior string

const (
	healthy             serverBehavior = ""
	hanging             serverBehavior = "hangs"         // reads, but answers nothing
	resetting           serverBehavior = "resets"        // resets the connection after a request or amid its line
	failing             serverBehavior = "errs"          // answers ERR
	full                serverBehavior = "full"          // answers BUSY
	slow                serverBehavior = "slow"          // answers late
	truncating          serverBehavior = "half answer"   // sends the start of an answer, then nothing
	closing             serverBehavior = "ends"          // closes the connection without an answer
	dropping            serverBehavior = "forgets"       // keeps connections open, but returns no lines
	closingHealthChecks serverBehavior = "closes probes" // closes the connections of health checks
)

var serverBehaviors = []serverBehavior{
	hanging, resetting, failing, full, slow, truncating, closing, dropping, closingHealthChecks,
}

// States of a server, as endpoint lists state them.
const (
	stateServing  = "SERVING"
	stateDraining = "DRAINING"
)

// server is a fake of a server of the platform.
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
	changed     time.Time         // when the state changed
	started     time.Time         // when the server last restarted; zero: long ago
	established int               // open connections of clients
	conns       map[net.Conn]bool // true: a restart has reset the connection
	arrivals    []time.Time       // times of calls in slow start, from nodes that were notified of the start
}

// receiptOf returns the receipt that a server sends for a request that it serves.
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

// accept accepts connections and serves them until the listener is closed.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// addr returns the address that nodes use, which is the one of the proxy.
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

// setBehavior sets how the server behaves from now on.
func (s *server) setBehavior(behavior serverBehavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = behavior
}

// restart simulates a restart of the server: it resets all connections, and the server warms up.
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

// drain makes the server drain. It then rejects new requests.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = stateDraining
	s.changed = time.Now()
}

// drainingSince returns since when the server drains, or zero if it does not drain.
func (s *server) drainingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == stateServing {
		return time.Time{}
	}
	return s.changed
}

// capacityLocked returns the fraction of its full capacity that the server has at the given time. The caller holds
// s.mu.
func (s *server) capacityLocked(now time.Time) float64 {
	age := now.Sub(s.started)
	if s.started.IsZero() || age >= warmUpTime {
		return 1
	}
	return initialCapacity + (1-initialCapacity)*age.Seconds()/warmUpTime.Seconds()
}

// draw returns a random number in [0, 1).
func (s *server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// isFull reports whether the server has no room for more connections.
func (s *server) isFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.established >= maxConnections
}

// changeEstablished adds to the number of open connections of clients.
func (s *server) changeEstablished(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.established += change
}

// loadReport returns a space and the server's load report, or nothing in a deployment without load reports.
func (s *server) loadReport() string {
	if !s.reportsLoad {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	load := float64(s.established) / (serverCapacity * s.capacityLocked(time.Now()))
	return fmt.Sprintf(" latency_ms=1,util=%.3f,x0=%.3f", min(1, load), load)
}

// checkSlowStart checks that all nodes together keep to the slow start budget of the server. It counts only calls from
// nodes that were notified of the start.
func (s *server) checkSlowStart(id string) {
	req := s.checker.request(id)
	if req == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	started := s.started
	capacity := s.capacityLocked(now)
	s.mu.Unlock()
	if capacity == 1 || !req.node.wasNotifiedOfStart(s, started, req.incarnation) {
		return
	}
	s.checker.count("calls at cold hosts")
	if calls := s.recordSlowStartCall(now); float64(calls) > slowStartBudget(capacity) {
		s.checker.violated(SlowStart, "%s: %d calls in %v at %.2f of its capacity; at most %v are allowed",
			s.id, calls, slowStartWindow, capacity, slowStartBudget(capacity))
	}
}

// recordSlowStartCall records a call in slow start, and returns the number of such calls within slowStartWindow.
func (s *server) recordSlowStartCall(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, now)
	for now.Sub(s.arrivals[0]) > slowStartWindow {
		s.arrivals = s.arrivals[1:]
	}
	return len(s.arrivals)
}
