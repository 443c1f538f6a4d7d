package choice

import (
	"math"
	"slices"
	"time"
)

// Health checks. A health check requests a server's load report. Each check costs a fraction of the service
// (Costs.HealthCheck). Therefore checks are limited to placements whose candidates have no fresh report, and to servers
// that have connections of this node and may have become overloaded without any other sign of it.

const (
	// unreportedAfter is how long a server with connections of this node may send no report before it is checked.
	unreportedAfter = 3 * time.Second
	// loadedCheckAfter replaces unreportedAfter for a server whose last report was above loadedCheckThreshold.
	loadedCheckAfter = tick / 2
	// loadedCheckThreshold is the reported load above which a server is checked after loadedCheckAfter.
	loadedCheckThreshold = crowdedLoad - 2*overflowMargin
	// ownerCheckAfter is the minimum age of a report before relief is requested from the server's owner again. It is a
	// little shorter than a tick, so that the request is sent at each tick even if the tick comes slightly early.
	ownerCheckAfter = tick * 9 / 10
	maxLatency      = 1e6 // ms; a larger reported latency counts as this
)

// checkHealth requests a server's load report, unless a health check is already in flight.
func (b *Balancer) checkHealth(server *serverEntry) {
	if !server.checking && b.settings.Limits.HealthChecks {
		server.checking = true
		b.actions = append(b.actions, HealthCheck{server.ID})
	}
}

// checkOwnConnections is called for each server at each tick. If slow messages are not observed, it protects
// connections whose server became overloaded after they were placed: it checks the server's health or sends a relief
// request to the server's owner.
func (b *Balancer) checkOwnConnections(server *serverEntry) {
	if b.settings.DelaysObserved || !(server.own.load > 0) || server.State != Ready {
		return
	}
	age := b.now - server.report.at
	if !(age > unreportedAfter || server.report.load > loadedCheckThreshold && age > loadedCheckAfter) {
		return
	}
	if !b.reservations.enabled {
		b.checkHealth(server)
	} else if age > ownerCheckAfter {
		b.sendToOwner(reliefRequest, server, nil, server.own.load)
	}
}

// healthCheckEnded processes the result of a health check and continues with everything that waited for it: peer
// requests, a migration and placements.
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

// resumePlacements continues the placement of requests for which this was the last pending health check.
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
	load     float64 // NaN if the report has none
	inFlight float64 // NaN if the report has none
	backlog  float64 // seconds of work
	latency  time.Duration
}

// readReport extracts the values that the package uses from a report.
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

// observeReport uses a load report to learn costs and as the base of the server's predicted load.
func (b *Balancer) observeReport(server *serverEntry, report []float64) {
	values := readReport(b.settings.ReportFields, report)
	if math.IsNaN(values.load) {
		return
	}
	connections := float64(b.settings.Nodes) * server.own.load // assumes an equal load from each node
	if !math.IsNaN(values.inFlight) {                          // the report has the number itself
		connections = values.inFlight * b.units.mean
		b.inFlightReported = true
	}
	b.learnCost(server, values.load, connections)
	load := values.load + values.backlog
	if !b.settings.DelaysObserved { // only reports show slow messages
		load = max(load, b.loadOfDelay(values.latency))
	}
	b.observeLoad(server, load)
}
