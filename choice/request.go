package choice

import (
	"slices"
	"strings"
	"time"
)

// requestEntry is what this node knows of a request that is under way, or of the open connection that came of it.
type requestEntry struct {
	Request
	load        float64
	affinity    uint64 // what draws by hash in place of chance: its group, or its key where packets pass; 0: nothing
	deadline    time.Duration
	server      *serverEntry // of the attempt under way, or of the open connection
	open        bool
	class       *Class // as it was when the request came, like maxAttempts
	maxAttempts int
	attempts    int
	startedAt   time.Duration // of the last attempt

	// For retries.
	tried        []*serverEntry
	mayHaveRunOn *serverEntry  // server of the first attempt that may have run
	retryBefore  time.Duration // a retry of that has to be sent by then

	// The placement in progress.
	samples       int            // taken for it
	pendingChecks int            // health checks that it waits for
	candidates    []*serverEntry // sampled servers
	zone          string         // where the plan has it go; empty: anywhere
	fullZones     []string       // in which it found nothing
	groupSpans    bool           // its group is on several servers: among the candidates load decides
}

// affinityKey is what a request draws by in place of chance.
func (b *Balancer) affinityKey(request Request) uint64 {
	switch {
	case b.settings.GroupAffinity:
		return request.Group
	case b.settings.PacketPassThrough: // packets that come to another node are sent where that node's draw went
		return request.Key
	}
	return 0
}

// adopt adds a connection that was open before this process had it.
func (b *Balancer) adopt(connection OpenConnection) {
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

// assign puts a request's load on a server.
func (b *Balancer) assign(request *requestEntry, server *serverEntry) {
	request.server = server
	b.countOpen(request, 1)
	b.addRequestLoad(request, request.load)
}

// release takes a request's load off its server.
func (b *Balancer) release(request *requestEntry) {
	if request.server != nil {
		b.countOpen(request, -1)
		b.addRequestLoad(request, -request.load)
	}
	request.server = nil
	request.open = false
}

// countOpen counts a tenant's connections.
func (b *Balancer) countOpen(request *requestEntry, change int) {
	if request.Tenant >= 0 && request.Tenant < len(b.openByTenant) {
		b.openByTenant[request.Tenant] += change
	}
}

// addRequestLoad adds to the load of a request's server, of its group and of its zone.
func (b *Balancer) addRequestLoad(request *requestEntry, load float64) {
	request.server.own.add(b.now, load)
	if b.settings.GroupAffinity && request.Group != 0 {
		b.groups.add(request.Group, load)
	}
	b.zones.add(zoneClass{request.server.Zone, request.Class}, load)
}

// updateLoad sets the present load of an open connection.
func (b *Balancer) updateLoad(update LoadUpdate) {
	request := b.requests[update.ID]
	if request == nil || request.server == nil || !(update.Load >= 0) || !finite(update.Load) {
		return
	}
	b.observeConnectionLoad(request.Class, update.Load)
	b.addRequestLoad(request, update.Load-request.load)
	request.load = update.Load
}

// forget ends the work on a request, if there is one.
func (b *Balancer) forget(request *requestEntry) {
	if request == nil {
		return
	}
	b.release(request)
	b.stopWaiting(request)
	delete(b.requests, request.ID)
}

// stopWaiting has a request wait for no health check any more.
func (b *Balancer) stopWaiting(request *requestEntry) {
	request.pendingChecks = 0
	b.awaitingChecks = slices.DeleteFunc(b.awaitingChecks, func(other *requestEntry) bool { return other == request })
}

// attemptEstablished marks the request of an attempt whose connection is open.
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

func (b *Balancer) setStickyServer(event StickyServerFound) {
	if request := b.requests[event.ID]; request != nil {
		request.StickyServer = event.Server
	}
}

// openConnectionsOn is the open connections on a server, by id: the order of a map must not sway a choice.
func (b *Balancer) openConnectionsOn(server *serverEntry) (connections []*requestEntry) {
	for _, request := range b.requests {
		if request.server == server && request.open {
			connections = append(connections, request)
		}
	}
	slices.SortFunc(connections, func(x, y *requestEntry) int { return strings.Compare(string(x.ID), string(y.ID)) })
	return connections
}
