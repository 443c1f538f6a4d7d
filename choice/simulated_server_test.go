package choice_test

import (
	"time"

	"spurwinch/choice"
)

// warmFraction returns the fraction of its capacity that a server currently has.
func (s *simulation) warmFraction(server *simServer) float64 {
	age := s.now - server.Started
	if server.Started == 0 || age >= s.settings.Rules.WarmUp {
		return 1
	}
	initial := s.settings.Rules.SlowStartFraction
	return initial + (1-initial)*age.Seconds()/s.settings.Rules.WarmUp.Seconds()
}

// load returns a server's current load as a fraction of its current capacity.
func (s *simulation) load(server *simServer) (sum float64) {
	for _, connection := range server.connections {
		sum += connection.request.client.load
	}
	return sum / s.env.serverCapacity / s.warmFraction(server) / server.capacity
}

// refreshReport updates the values that a server reports and, while the server is overloaded, sheds its newest
// connections. It also delivers a delay observation if the load is high, and in some runs now and then a new load of a
// connection. It repeats itself at random intervals.
func (s *simulation) refreshReport(server *simServer) {
	s.after(s.jitter(250*time.Millisecond), func() { s.refreshReport(server) })
	for len(server.connections) > 0 && s.load(server) > s.env.shedThreshold {
		s.count("shed connections")
		s.closeConnection(server.connections[len(server.connections)-1], choice.Reset, true)
	}
	server.reportedLoad, server.reportedConnections = s.load(server), len(server.connections)
	if s.settings.DelaysObserved && server.reportedLoad > 0.8 && len(server.connections) > 0 {
		connection := server.connections[s.rng.IntN(len(server.connections))]
		s.count("delay observations")
		s.deliver(connection.request.node, choice.DelayObservation{
			ID: connection.request.ID, Server: server.ID,
			Took: s.jitter(time.Duration(server.reportedLoad * float64(150*time.Millisecond))),
		})
	}
	if s.env.requestLoadKnown && len(server.connections) > 0 && s.chance(0.2) {
		connection := server.connections[s.rng.IntN(len(server.connections))]
		connection.request.client.load *= 0.5 + s.rng.Float64()
		s.deliver(connection.request.node, choice.LoadUpdate{
			ID: connection.request.ID, Attempt: connection.index,
			Load: connection.request.client.load,
		})
	}
}

// report returns a server's load report with a little noise.
func (s *simulation) report(server *simServer) (values []float64) {
	for _, field := range s.settings.ReportFields {
		value := 0.0
		switch field {
		case choice.Load:
			value = server.reportedLoad
		case choice.Backlog:
			value = max(0, server.reportedLoad-1)
		case choice.InFlight:
			value = float64(server.reportedConnections)
		case choice.Utilization:
			value = min(1, server.reportedLoad)
		case choice.Latency:
			value = 10 / max(0.1, 1.1-server.reportedLoad)
		case choice.Queue, choice.Throughput, choice.ErrorRate, choice.OtherField:
			value = s.rng.Float64()
		}
		values = append(values, value*(0.95+0.1*s.rng.Float64()))
	}
	return values
}

func (s *simulation) checkHealth(node *simNode, server *simServer) {
	s.count("health checks")
	took := 2*time.Millisecond + s.randomUpTo(6*time.Millisecond)
	result := choice.HealthCheckResult{Server: server.ID, Outcome: choice.Served, Took: took}
	if !server.running || s.now < server.failingUntil {
		result.Outcome, took = choice.TimedOut, 100*time.Millisecond
	} else if s.settings.Reports != choice.NoReports {
		result.Report = s.report(server)
	}
	s.after(took, func() { s.deliver(node, result) })
}

// stop ends a server's process, which breaks its connections.
func (s *simulation) stop(server *simServer) {
	server.running = false
	for len(server.connections) > 0 {
		s.closeConnection(server.connections[0], choice.Reset, true)
	}
}

// drain lets a server drain, stop and start again in slow start.
func (s *simulation) drain(server *simServer) {
	if server.State != choice.Ready || !server.running {
		return
	}
	s.count("drains")
	server.State = choice.Draining
	s.publish(server)
	s.after(s.jitter(3*time.Second), func() {
		s.stop(server)
		server.State = choice.Gone
		s.publish(server)
		s.after(s.jitter(time.Second), func() { s.start(server) })
	})
}

// crash stops a server without notice. Service discovery notices it later.
func (s *simulation) crash(server *simServer) {
	if server.State != choice.Ready || !server.running {
		return
	}
	s.count("crashes")
	s.stop(server)
	s.after(s.jitter(time.Second), func() {
		if !server.running {
			server.State = choice.Gone
			s.publish(server)
		}
	})
	s.after(s.jitter(3*time.Second), func() { s.start(server) })
}

// restart restarts a server's process at once. The server is then in slow start, and service discovery never reported
// it as gone.
func (s *simulation) restart(server *simServer) {
	if server.State == choice.Ready && server.running {
		s.stop(server)
		s.start(server)
	}
}

func (s *simulation) start(server *simServer) {
	if server.running {
		return
	}
	s.count("slow starts")
	server.running, server.State, server.Started = true, choice.Ready, s.now
	server.slowStarts = append(server.slowStarts, s.now)
	s.publish(server)
}

// failTemporarily lets a server answer with errors, or not at all, for some time.
func (s *simulation) failTemporarily(server *simServer) {
	s.count("failing servers")
	server.failingUntil = s.now + s.jitter(2*time.Second)
}
