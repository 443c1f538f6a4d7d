package choice

import (
	"slices"
	"strings"
	"time"
)

// requestEntry is this node's state of a request that is in progress, or of the open connection that resulted from it.
type requestEntry struct {
	Request
	load        float64
	affinity    uint64 // its hash replaces random draws: Group, or Key with packet pass-through; 0: none
	deadline    time.Duration
	server      *serverEntry // server of the attempt in progress, or of the open connection
	open        bool
	class       *Class // as configured when the request arrived
	maxAttempts int    // as configured when the request arrived
	attempts    int
	startedAt   time.Duration // start of the last attempt

	// State for retries.
	tried        []*serverEntry // servers of earlier attempts
	mayHaveRunOn *serverEntry   // server of the first attempt that may have run
	retryBefore  time.Duration  // latest time to send a retry after an attempt that may have run

	// State of the placement in progress.
	samples       int            // samples taken for this placement
	pendingChecks int            // health checks that the request waits for
	candidates    []*serverEntry // sampled servers
	zone          string         // zone that the plan assigns to the request; empty: any zone
	fullZones     []string       // zones in which no usable server was found
	groupIsSpread bool           // the group is spread over several servers; load decides among the candidates
}

// affinityKey returns the key whose hash replaces random draws for a request, or 0 if the request has no affinity.
func (b *Balancer) affinityKey(request Request) uint64 {
	switch {
	case b.settings.GroupAffinity:
		return request.Group
	case b.settings.PacketPassThrough: // a node that receives the connection's packets later must draw the same server
		return request.Key
	}
	return 0
}

// addOpenConnection adds a connection that was opened before this process started or took it over.
func (b *Balancer) addOpenConnection(connection OpenConnection) {
	server := b.findServer(connection.Server)
	class := connection.OriginalClass
	if class == nil && connection.Class >= 0 && connection.Class < len(b.settings.Classes) {
		class = &b.settings.Classes[connection.Class]
	}
	if server == nil || b.requests[connection.ID] != nil || class == nil {
		return
	}
	request := &requestEntry{
		Request:     connection.Request,
		load:        b.requestLoad(connection.Request),
		affinity:    b.affinityKey(connection.Request),
		server:      server,
		open:        true,
		attempts:    1,
		class:       class,
		maxAttempts: b.settings.Limits.MaxAttempts,
	}
	if connection.CurrentLoad > 0 && finite(connection.CurrentLoad) {
		b.observeConnectionLoad(connection.Class, connection.CurrentLoad)
		request.load = connection.CurrentLoad
	}
	b.requests[connection.ID] = request
	b.assign(request, server)
	if connection.OriginalClass != nil {
		b.countAsReported(server, request.load)
	}
	if b.reservations.enabled && request.affinity != 0 {
		b.sendToOwner(groupNotice, server, request, request.load)
	}
}

// assign assigns a request to a server and adds the request's load there.
func (b *Balancer) assign(request *requestEntry, server *serverEntry) {
	request.server = server
	b.countOpen(request, 1)
	b.addRequestLoad(request, request.load)
}

// release removes a request from its server and subtracts the request's load there.
func (b *Balancer) release(request *requestEntry) {
	if request.server != nil {
		b.countOpen(request, -1)
		b.addRequestLoad(request, -request.load)
	}
	request.server = nil
	request.open = false
}

// countOpen adds change to the connection count of the request's tenant.
func (b *Balancer) countOpen(request *requestEntry, change int) {
	if request.Tenant >= 0 && request.Tenant < len(b.openByTenant) {
		b.openByTenant[request.Tenant] += change
	}
}

// addRequestLoad adds load to a request's server, group and zone.
func (b *Balancer) addRequestLoad(request *requestEntry, load float64) {
	request.server.own.add(b.now, load)
	if b.settings.GroupAffinity && request.Group != 0 {
		b.groups.add(request.Group, load)
	}
	b.zones.add(zoneClass{request.server.Zone, request.Class}, load)
}

// updateLoad sets the current load of an open connection.
func (b *Balancer) updateLoad(update LoadUpdate) {
	request := b.requests[update.ID]
	if request == nil || request.server == nil || !(update.Load >= 0) || !finite(update.Load) {
		return
	}
	b.observeConnectionLoad(request.Class, update.Load)
	b.addRequestLoad(request, update.Load-request.load)
	request.load = update.Load
}

// forget removes a request and releases its server. A nil request is ignored.
func (b *Balancer) forget(request *requestEntry) {
	if request == nil {
		return
	}
	b.release(request)
	b.stopAwaitingChecks(request)
	delete(b.requests, request.ID)
}

// stopAwaitingChecks removes a request from the requests that wait for health checks.
func (b *Balancer) stopAwaitingChecks(request *requestEntry) {
	request.pendingChecks = 0
	b.awaitingChecks = slices.DeleteFunc(b.awaitingChecks, func(other *requestEntry) bool { return other == request })
}

// attemptEstablished marks a request as open once the connection of its last attempt is established.
func (b *Balancer) attemptEstablished(event Established) {
	request := b.requests[event.ID]
	if request == nil || request.server == nil || event.Attempt != request.attempts-1 {
		return
	}
	request.open = true
	request.server.outlier.succeeded()
	b.zones.countAttempt(request.server.Zone, false)
	if b.settings.Reports == NoReports {
		b.admission.throttle.add(b.now, 1, 1)
		b.inferFromSetup(request.server, event.Took)
	}
}

// setStickyServer makes a server the sticky one of a request in progress. The request may return to it: the front
// learns step by step which session its client resumes, and may already have redirected it away from that server.
func (b *Balancer) setStickyServer(event StickyServerFound) {
	request := b.requests[event.ID]
	if request == nil {
		return
	}
	request.StickyServer = event.Server
	isSticky := func(server *serverEntry) bool { return server.ID == event.Server }
	request.tried = slices.DeleteFunc(request.tried, isSticky)
}

// openConnectionsOn returns the open connections on a server, sorted by ID so that the iteration order of the map
// cannot influence a decision.
func (b *Balancer) openConnectionsOn(server *serverEntry) (connections []*requestEntry) {
	for _, request := range b.requests {
		if request.server == server && request.open {
			connections = append(connections, request)
		}
	}
	slices.SortFunc(connections, func(x, y *requestEntry) int { return strings.Compare(string(x.ID), string(y.ID)) })
	return connections
}
