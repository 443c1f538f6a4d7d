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

const minSpeedFactor = 0.3 // minimum speed of a machine, relative to its kind

// Server is one fake server of the platform's protocol.
type Server struct {
	ID   string
	Kind *fleet.MachineKind
	Zone int // index in the fleet's zones

	fleet     *Fleet
	speed     float64        // speed of one core, relative to a reference core
	slowStart bool           // the server started with the fleet and warms up
	listeners []net.Listener // by zone of the caller

	mu          sync.Mutex // guards the fields below
	rng         *rand.Rand
	coreFree    []time.Time // when each core will have finished its queued work
	drawnUntil  time.Time   // the jobs of the connections have been drawn up to this time
	load        float64     // load of the connections and groups, in reference cores
	work        float64     // work queued since the last tick, in core seconds
	utilization float64     // demand over capacity, moving average over the last ticks
	report      string
	nextReport  time.Time
	setups      int // pending set-ups
	connections map[*connection]struct{}
	groups      map[uint64]int // connections of each group
	newLoads    []newLoad      // loads of connections opened in the last OverloadTime, during slow start
	killed      bool
	sockets     map[net.Conn]struct{}
}

// newLoad is the load of a connection that was opened during slow start.
type newLoad struct {
	at   time.Time
	load float64
}

// connection is an established connection of a client.
type connection struct {
	socket     net.Conn
	group      uint64
	load       float64 // in reference cores
	process    workload.LoadProcess
	nextChange time.Time // when the load changes; zero: never
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
	server.speed = speed * kind.Cores / float64(len(server.coreFree)) // compensates for a rounded fraction of a core
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

// accept accepts connections from the nodes of one zone. latency is the one-way latency between that zone and the
// server.
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

// Kill simulates a crash of the server's process. It resets all connections and refuses new ones.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return
	}
	s.killed = true
	for _, listener := range s.listeners {
		_ = listener.Close() // fails only if the listener is already closed
	}
	for socket := range s.sockets {
		reset(socket)
	}
	s.fleet.removeFromList(s)
}

// reset closes a connection with a TCP reset.
func reset(socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = socket.Close() // unsent data is meant to be lost
}

// newReport returns a load report in the platform's format, with noise added.
func (s *Server) newReport() string {
	description := s.fleet.Description
	noise := func() float64 { return max(minReportNoise, 1+description.LoadReports.Noise*s.rng.NormFloat64()) }
	latency := 1000 * description.General.MessageWork.Seconds() / s.speed
	utilization := min(1, s.utilization) * noise()
	load := s.utilization * noise()
	return fmt.Sprintf("latency_ms=%.2f,util=%.3f,x0=%.3f", latency, utilization, load)
}
