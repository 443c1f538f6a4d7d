package fakeserver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

const minSpeedFactor = 0.3 // least speed of a machine, relative to its kind

// Server is one fake server of the platform's protocol.
type Server struct {
	ID   string
	Kind *fleet.MachineKind
	Zone int // index in the fleet's zones

	fleet     *Fleet
	speed     float64        // of a core
	slowStart bool           // it started with the fleet
	listeners []net.Listener // by zone of the caller

	mu          sync.Mutex // guards the fields below
	rng         *rand.Rand
	coreFree    []time.Time // when each core has done the work that it has
	drawnUntil  time.Time   // jobs of the connections are drawn up to here
	load        float64     // of the connections and groups, in reference cores
	work        float64     // core seconds since the last tick
	utilization float64     // demand over capacity, mean of the last ticks
	report      string
	nextReport  time.Time
	setups      int // pending
	connections map[*connection]struct{}
	groups      map[uint64]int // connections of each group
	newLoads    []newLoad      // of the last OverloadTime, in slow start
	killed      bool
	sockets     map[net.Conn]struct{}
}

// newLoad is the load of a connection that was opened in slow start.
type newLoad struct {
	at   time.Time
	load float64
}

// connection is a client's connection that was set up.
type connection struct {
	socket     net.Conn
	group      uint64
	load       float64 // in reference cores
	process    workload.LoadProcess
	nextChange time.Time // of the load; zero: never
}

func (f *Fleet) newServer(id string, kind *fleet.MachineKind, zone int, slowStart bool, seed uint64) (*Server, error) {
	server := &Server{
		ID:          id,
		Kind:        kind,
		Zone:        zone,
		fleet:       f,
		slowStart:   slowStart,
		rng:         rand.New(rand.NewPCG(seed, 8)),
		coreFree:    make([]time.Time, max(1, int(kind.Cores+0.5))),
		drawnUntil:  f.Start,
		connections: map[*connection]struct{}{},
		groups:      map[uint64]int{},
		sockets:     map[net.Conn]struct{}{},
	}
	speed := kind.Speed * max(minSpeedFactor, 1+kind.SpeedSpread*server.rng.NormFloat64())
	server.speed = speed * kind.Cores / float64(len(server.coreFree)) // it makes up for a fraction of a core
	server.report = server.newReport()
	for from := range f.Description.Zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			server.Kill()
			return nil, err
		}
		server.listeners = append(server.listeners, listener)
		go server.accept(listener, f.Description.OneWay(from, zone))
	}
	return server, nil
}

// accept takes connections from nodes of one zone, at a one-way latency.
func (s *Server) accept(listener net.Listener, latency time.Duration) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		s.mu.Lock()
		if s.killed {
			_ = socket.Close() // nothing was written
		} else {
			s.sockets[socket] = struct{}{}
			go s.serve(socket, latency)
		}
		s.mu.Unlock()
	}
}

// Kill ends the server as a process that dies: its connections are reset, and new ones refused.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return
	}
	s.killed = true
	for _, listener := range s.listeners {
		_ = listener.Close() // it fails of a closed one only
	}
	for socket := range s.sockets {
		reset(socket)
	}
	s.fleet.removeFromList(s)
}

// reset closes a connection with a reset.
func reset(socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails of a closed connection only
	}
	_ = socket.Close() // what was not sent is meant to be lost
}

// newReport returns the load report, in the form of the platform, with noise.
func (s *Server) newReport() string {
	description := s.fleet.Description
	noise := func() float64 { return max(minReportNoise, 1+description.LoadReports.Noise*s.rng.NormFloat64()) }
	latency := 1000 * description.General.MessageWork.Seconds() / s.speed
	utilization := min(1, s.utilization) * noise()
	load := s.utilization * noise()
	return fmt.Sprintf("latency_ms=%.2f,util=%.3f,x0=%.3f", latency, utilization, load)
}
