package choice

import (
	"math"
	"slices"
	"time"
)

// Health checks: a server is asked for its load report. Each check costs a part of the service (Costs.HealthCheck), so
// they are made for placements whose candidates have no fresh report, and for servers with own connections that may
// have become overloaded where nothing else would show it.

const (
	// unreportedAfter is how long a server with own connections may send no report before it is checked.
	unreportedAfter = 3 * time.Second
	// loadedCheckAfter is the same for one whose last report was a high load.
	loadedCheckAfter = tick / 2
	// loadedFrom is the reported load from which on a server is checked that often.
	loadedFrom = crowded - 2*overflowMargin
	// ownerCheckAfter is how long after a report relief is requested from a server's owner again: at each tick, which
	// comes a little early at times.
	ownerCheckAfter = tick * 9 / 10
	maxLatency      = 1e6 // ms; a larger reported latency counts as this
)

// checkHealth asks a server for its load report, unless a check is in flight.
func (b *Balancer) checkHealth(server *serverEntry) {
	if !server.checking && b.settings.Limits.HealthChecks {
		server.checking = true
		b.actions = append(b.actions, HealthCheck{server.ID})
	}
}

// checkOwnConnections is called for each server at each tick. It guards connections whose server became overloaded
// after they were placed, where nobody observes slow messages: by a health check, or a request for relief to the owner.
func (b *Balancer) checkOwnConnections(server *serverEntry) {
	if b.settings.DelaysObserved || !(server.own.load > 0) || server.State != Ready {
		return
	}
	age := b.now - server.report.at
	if !(age > unreportedAfter || server.report.load > loadedFrom && age > loadedCheckAfter) {
		return
	}
	if !b.reservations.enabled {
		b.checkHealth(server)
	} else if age > ownerCheckAfter {
		b.sendToOwner(reliefRequest, server, nil, server.own.load)
	}
}

// healthCheckEnded takes in the result of a health check, and goes on with all that waited for it: peer requests, a
// migration and placements.
func (b *Balancer) healthCheckEnded(result HealthCheckResult) {
	server := b.findServer(result.Server)
	if server == nil {
		return
	}
	server.checking = false
	served := result.Outcome == Served
	if served {
		server.outlier.succeeded()
		b.observeReport(server, result.Report)
	} else if server.State == Ready && result.Outcome != NeverSent {
		server.outlier.eject(b.now)
	}
	if served && !b.settings.DelaysObserved && !b.reservations.enabled {
		b.relieve(server)
	}
	for _, waiting := range server.reserved.takeWaiting() {
		b.decideReservation(waiting, server)
	}
	b.endMigrationCheck(server, served)
	b.resumePlacements(server)
}

// resumePlacements goes on with the requests that waited for this server's health check alone.
func (b *Balancer) resumePlacements(server *serverEntry) {
	for _, request := range slices.Clone(b.awaitingChecks) {
		if request.pendingChecks == 0 || !slices.Contains(request.candidates, server) {
			continue
		}
		request.pendingChecks--
		if request.pendingChecks == 0 {
			b.dispatch(request)
		}
	}
}

// reportValues are the values of a load report that the package uses.
type reportValues struct {
	load     float64 // not a number: there is none
	inFlight float64 // not a number: there is none
	backlog  float64 // seconds of work
	latency  time.Duration
}

// readReport finds the values that the package uses in a report.
func readReport(fields []ReportField, report []float64) reportValues {
	values := reportValues{load: math.NaN(), inFlight: math.NaN()}
	if len(report) != len(fields) {
		return values
	}
	for i, field := range fields {
		value := report[i]
		if !finite(value) || value < 0 {
			continue
		}
		switch field {
		case Load:
			values.load = value
		case Utilization:
			if math.IsNaN(values.load) {
				values.load = value
			}
		case InFlight:
			values.inFlight = value
		case Backlog:
			values.backlog = value
		case Latency:
			values.latency = time.Duration(min(value, maxLatency) * float64(time.Millisecond))
		case OtherField, Queue, Throughput, ErrorRate:
		}
	}
	return values
}

// observeReport takes a load report: the predicted load is anchored there, and costs learn.
func (b *Balancer) observeReport(server *serverEntry, report []float64) {
	values := readReport(b.settings.ReportFields, report)
	if math.IsNaN(values.load) {
		return
	}
	connections := float64(b.settings.Nodes) * server.own.load // nodes assumed to use the server alike
	if !math.IsNaN(values.inFlight) {                          // reported outright
		connections = values.inFlight * b.units.mean
		b.inFlightReported = true
	}
	b.learnCost(server, values.load, connections)
	load := values.load + values.backlog
	if !b.settings.DelaysObserved { // reports alone show slow messages
		load = max(load, b.loadOfDelay(values.latency))
	}
	b.observeLoad(server, load)
}
