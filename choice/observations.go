package choice

import (
	"slices"
	"strings"
	"time"
)

// Observations of zones and classes by this node, for the fleet's leader, which makes the plan for all nodes.

// ZoneObservations is what a node has observed of one zone.
type ZoneObservations struct {
	Zone     string
	Ready    int       // servers that are listed as ready
	Ejected  int       // ready servers that are ejected after failures
	Capacity float64   // current capacity of the ready servers, in complete servers
	Load     float64   // predicted load of the ready servers, in complete servers
	Cost     float64   // learned cost: number of servers that a unit of connection load takes
	OwnLoad  []float64 // load of this node's connections in the zone, by class
	Attempts float64   // attempts since the last call, including health checks
	Failed   float64   // of Attempts: no connection, no answer in time, an error or a reset
}

// ClassObservations is the connection load of one class's requests at a node since the last call.
type ClassObservations struct{ Arrived, Rejected float64 }

// Observations is what the package has observed since the last call, and the current state.
type Observations struct {
	Zones   []ZoneObservations // by name
	Classes []ClassObservations
}

// classCount counts the requests of one class since the last call of Observations.
type classCount struct{ Arrived, Rejected float64 }

// Observations returns what was observed since the last call.
func (b *Balancer) Observations(now time.Duration) Observations {
	b.now = max(b.now, now)
	observations := Observations{
		Zones:   b.observeZones(),
		Classes: make([]ClassObservations, len(b.settings.Classes)),
	}
	for class, count := range b.zones.classes {
		if class < len(observations.Classes) {
			observations.Classes[class] = ClassObservations(count)
		}
	}
	b.zones.classes = b.zones.classes[:0]
	clear(b.zones.attempts)
	return observations
}

// observeZones returns the sums over the servers of each zone, sorted by the zone's name.
func (b *Balancer) observeZones() (zones []ZoneObservations) {
	byName := map[string]*ZoneObservations{}
	for _, server := range b.servers {
		zone := byName[server.Zone]
		if zone == nil {
			zone = b.newZoneObservations(server.Zone)
			byName[server.Zone] = zone
		}
		if server.State != Ready {
			continue
		}
		zone.Ready++
		if server.outlier.ejected(b.now) {
			zone.Ejected++
		}
		zone.Capacity += b.capacityFraction(server)
		zone.Load += max(0, b.predictedLoad(server))
	}
	for _, zone := range byName {
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(x, y ZoneObservations) int { return strings.Compare(x.Zone, y.Zone) })
	return zones
}

// newZoneObservations returns the observations of a zone without the sums over its servers.
func (b *Balancer) newZoneObservations(name string) *ZoneObservations {
	zone := &ZoneObservations{Zone: name, Cost: b.zoneCost(name), OwnLoad: make([]float64, len(b.settings.Classes))}
	if count := b.zones.attempts[name]; count != nil {
		zone.Attempts = count.attempts
		zone.Failed = count.failed
	}
	for class := range zone.OwnLoad {
		zone.OwnLoad[class] = b.zones.ownLoad[zoneClass{name, class}]
	}
	return zone
}

// zoneCost returns the load that a unit of connection load adds to the mean server of a zone.
func (b *Balancer) zoneCost(zone string) float64 {
	sum, ready := 0.0, 0.0
	for _, server := range b.servers {
		if server.Zone == zone && server.State == Ready {
			sum += server.cost
			ready++
		}
	}
	if ready == 0 {
		return b.meanCost()
	}
	return sum / ready
}

// classCount returns the count of a class. If the settings have no such class, it returns a count that is not used.
func (b *Balancer) classCount(class int) *classCount {
	if class < 0 || class >= len(b.settings.Classes) {
		return &classCount{}
	}
	for len(b.zones.classes) <= class {
		b.zones.classes = append(b.zones.classes, classCount{})
	}
	return &b.zones.classes[class]
}

// countArrival counts a new request of a class, by the load that it states or otherwise as a mean connection.
func (b *Balancer) countArrival(request Request) {
	load := request.Load
	if !(load > 0) || !finite(load) {
		load = b.units.mean
	}
	b.classCount(request.Class).Arrived += load
}

// countOutcome counts an attempt that ended without a connection. attemptEstablished counts the other attempts.
func (b *Balancer) countOutcome(event AttemptEnded) {
	request := b.requests[event.ID]
	if request == nil || request.server == nil || request.open || event.Attempt != request.attempts-1 {
		return
	}
	switch event.Outcome {
	case Served, Full:
		b.zones.countAttempt(request.server.Zone, false)
	case Failed, TimedOut, ConnectFailed, Reset:
		b.zones.countAttempt(request.server.Zone, true)
	case Cancelled, NeverSent: // these give no information about the server
	}
}

// countHealthCheck counts a health check as an attempt in its server's zone.
func (b *Balancer) countHealthCheck(result HealthCheckResult) {
	server := b.findServer(result.Server)
	if server != nil && server.State == Ready && result.Outcome != NeverSent {
		b.zones.countAttempt(server.Zone, result.Outcome != Served)
	}
}

// countRejections counts the requests that this step ended without a connection.
func (b *Balancer) countRejections() {
	for _, class := range b.zones.rejected {
		b.classCount(class).Rejected += b.units.mean
	}
	b.zones.rejected = b.zones.rejected[:0]
}
