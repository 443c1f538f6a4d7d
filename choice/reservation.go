package choice

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// Reservations between peers. If a node has less than one connection per server on average, its own observations are
// too few to place connections by (reservationsWorthwhile in cost.go). Each server then has an owner: the node that all
// nodes find by rendezvous hashing. Before a node starts an attempt, it requests a reservation from the owner. The
// owner has the server's health checked, counts the load that it reserved since the last report, and spends the
// slow-start budget for all nodes. A node that does not reply is skipped for a while, and the next node in the hash
// order becomes the owner.

const (
	peerTimeout         = 150 * time.Millisecond // of a reply, including the owner's health check before it
	maxLostPeerRequests = 2                      // timeouts after which a request is placed without owners
	maxWaiting          = 1024                   // peer requests that may wait for the report of one server
	maxGroups           = 256                    // groups remembered per server
	unknownLoad         = 2                      // load in a reply without a check of the server; above any limit
)

// peerReservations is the state of reservations between nodes, for this node as a requester and as an owner.
type peerReservations struct {
	enabled          bool                          // servers have owners; set by updateCosts
	pending          map[uint16]pendingPeerRequest // by token
	unreachableUntil []time.Duration               // by node: time until which the node is skipped as an owner
	lastToken        int64
	clocks           map[int]clockOffset // by node, for nodes whose clocks differ
	received         replayWindow
	dropped          int // messages that were invalid, late, repeated or a reply to no pending request
}

// pendingPeerRequest is a peer request of this node that has no reply yet.
type pendingPeerRequest struct {
	owner   int
	server  *serverEntry
	request *requestEntry // request that waits for the reservation; nil for a relief request
}

// peerRequest is a message from a node to this node as the owner of a server.
type peerRequest struct {
	from int
	peerMessage
}

// ownerReservations records what the owner of a server has reserved on the server.
type ownerReservations struct {
	load    float64                  // reserved load that no report shows yet, in mean connections
	waiting []peerRequest            // requests that wait for a report
	groups  map[uint16]time.Duration // by group: when a connection of the group was last reserved or reported
}

// takeWaiting returns the requests that wait for a report and empties the list.
func (r *ownerReservations) takeWaiting() []peerRequest {
	waiting := r.waiting
	r.waiting = nil
	return waiting
}

// recordGroup records that a group has a connection on the server. Once maxGroups are recorded, it drops them all
// first.
func (r *ownerReservations) recordGroup(group uint16, now time.Duration) {
	if r.groups == nil || len(r.groups) >= maxGroups {
		r.groups = map[uint16]time.Duration{}
	}
	r.groups[group] = now
}

// hasGroup reports whether the server likely has connections of a group. It returns true for group 0 (no group).
func (r *ownerReservations) hasGroup(group uint16, now time.Duration) bool {
	at, found := r.groups[group]
	return group == 0 || found && now-at <= groupMemory
}

func (p *peerReservations) nodes() int { return len(p.unreachableUntil) }

// setNodes changes the number of nodes. Nodes that are added count as reachable.
func (p *peerReservations) setNodes(nodes int) {
	for len(p.unreachableUntil) < nodes {
		p.unreachableUntil = append(p.unreachableUntil, 0)
	}
	p.unreachableUntil = p.unreachableUntil[:nodes]
}

// markUnreachable excludes a node as an owner until the given time. It ignores a node that a change of settings removed
// after the request was sent.
func (p *peerReservations) markUnreachable(node int, until time.Duration) {
	if node < len(p.unreachableUntil) {
		p.unreachableUntil[node] = until
	}
}

// ownerOf returns the node that owns a server: the reachable node with the highest hash of server and node.
func (b *Balancer) ownerOf(server *serverEntry) int {
	owner, highest := b.settings.Node, uint64(0)
	for node, until := range b.reservations.unreachableUntil {
		hash := mix(server.hash ^ mix(uint64(node)+1))
		if hash >= highest && b.now >= until {
			owner, highest = node, hash
		}
	}
	return owner
}

// requestReservation requests a reservation from the owner of the next server, which it draws by weight or, for a
// request with affinity, by hash. After a denial it is called again, with the denied server among the candidates. After
// maxSamples servers it ends the request.
func (b *Balancer) requestReservation(request *requestEntry) {
	next := selectLowest(b.servers, 1, func(server *serverEntry) float64 {
		if server.outlier.ejected(b.now) || b.now < server.deniedUntil ||
			slices.Contains(request.candidates, server) || !b.eligible(request, server) {
			return excludedKey
		}
		if request.affinity != 0 {
			return -math.Log(b.draw(request, server))
		}
		return -math.Log(b.draw(request, server)) / b.weight(request, server, request.load, b.average.load)
	})
	if len(next) == 0 || len(request.candidates) >= maxSamples {
		b.endWithoutConnection(request, NoServer)
		return
	}
	request.candidates = append(request.candidates, next...)
	b.sendToOwner(reservationRequest, next[0], request, request.load)
}

// sendToOwner sends a message to a server's owner, which may be this node itself. load is in the unit of connection
// loads (loadUnits); the message carries it in mean connections. request is set only for a reservation request or a
// group notice, and otherwise nil.
func (b *Balancer) sendToOwner(kind messageKind, server *serverEntry, request *requestEntry, load float64) {
	message := peerMessage{
		kind:   kind,
		token:  b.reservations.newToken(b.now),
		server: serverKey(server),
		load:   load / b.units.mean,
	}
	if request != nil && request.affinity != 0 {
		message.group = uint16(mix(request.affinity)>>48) | 1
	}
	owner := b.ownerOf(server)
	if kind != groupNotice {
		b.reservations.pending[message.token] = pendingPeerRequest{owner, server, request}
	}
	if owner == b.settings.Node {
		b.handlePeerRequest(peerRequest{owner, message})
	} else {
		b.actions = append(b.actions, SendPeerMessage{owner, message.encode()})
	}
	if _, pending := b.reservations.pending[message.token]; pending {
		token := timerPeerReply + " " + strconv.FormatUint(uint64(message.token), 10)
		b.actions = append(b.actions, SetTimer{Token: token, After: peerTimeout})
	}
}

// receivePeerMessage handles a message from another node. It drops and counts messages that are truncated, late or
// repeated, have another version, or reply to no pending request.
func (b *Balancer) receivePeerMessage(event PeerMessage) {
	peers := &b.reservations
	message, ok := decodePeerMessage(event.Data)
	if !ok || event.From < 0 || event.From >= peers.nodes() || event.From == b.settings.Node {
		peers.dropped++
		return
	}
	if message.kind.isReply() {
		pending, found := peers.pending[message.token]
		if !found || pending.owner != event.From {
			peers.dropped++
			return
		}
		delete(peers.pending, message.token)
		peers.unreachableUntil[event.From] = 0
		b.applyReply(pending, message)
		return
	}
	if !peers.isNew(event.From, message.token, b.now) {
		peers.dropped++
		return
	}
	peers.unreachableUntil[event.From] = 0
	b.handlePeerRequest(peerRequest{event.From, message})
}

// DroppedPeerMessages returns how many messages from other nodes were dropped because they were invalid, late, repeated
// or a reply to no pending request.
func (b *Balancer) DroppedPeerMessages() int { return b.reservations.dropped }

// handlePeerRequest handles a peer request as the owner of its server. Without a fresh report, the request waits for a
// health check. Every request except a groupNotice gets a reply.
func (b *Balancer) handlePeerRequest(request peerRequest) {
	server := b.findServerByKey(request.server)
	switch {
	case server == nil || server.State != Ready || len(server.reserved.waiting) >= maxWaiting:
		if request.kind != groupNotice {
			b.sendReply(request, peerMessage{kind: reservationDenied, load: unknownLoad})
		}
	case request.kind == groupNotice:
		server.reserved.recordGroup(request.group, b.now)
	case server.report.fresh(b.now) || server.outlier.ejected(b.now):
		b.decideReservation(request, server)
	default:
		server.reserved.waiting = append(server.reserved.waiting, request)
		b.checkHealth(server)
	}
}

// decideReservation replies to a peer request based on the server's predicted load: its last report plus the load
// reserved since. It grants a reservation if the load including it is at most crowdedLoad and the slow-start budget
// allows it. For a group without connections on the server, the limit is lower by overflowMargin. The reply to a relief
// request has the fraction of its connections that the requester must migrate. That fraction of the requester's load is
// subtracted from the reserved load at once, so that the next requests don't relieve the same excess again.
func (b *Balancer) decideReservation(request peerRequest, server *serverEntry) {
	fraction := b.capacityFraction(server)
	load := server.report.load + server.cost*b.units.mean*server.reserved.load/fraction
	reply := peerMessage{kind: reservationDenied, load: load}
	limit := crowdedLoad
	if !server.reserved.hasGroup(request.group, b.now) {
		limit -= overflowMargin
	}
	switch {
	case server.outlier.ejected(b.now):
		reply.kind = serverEjected
	case request.kind == reliefRequest:
		if load > crowdedLoad+overflowMargin {
			reply.fraction = 1 - crowdedLoad/load
			server.reserved.load -= reply.fraction * request.load
		}
	case load+server.cost*b.units.mean*request.load/fraction <= limit && b.ownerHasSlowStartBudget(server):
		reply.kind = reservationGranted
		server.reserved.load += request.load
		server.slowStart.tokens -= request.load
		server.reserved.recordGroup(request.group, b.now)
	}
	b.sendReply(request, reply)
}

// sendReply sends a reply to the node that sent the request, which may be this node.
func (b *Balancer) sendReply(request peerRequest, reply peerMessage) {
	reply.token = request.token
	if request.from != b.settings.Node {
		b.actions = append(b.actions, SendPeerMessage{request.from, reply.encode()})
		return
	}
	if pending, found := b.reservations.pending[request.token]; found {
		delete(b.reservations.pending, request.token)
		b.applyReply(pending, reply)
	}
}

// peerRequestTimedOut marks the owner as unreachable for a while and places the request again. After
// maxLostPeerRequests timeouts the request is placed without owners.
func (b *Balancer) peerRequestTimedOut(token string) {
	number, err := strconv.ParseUint(token, 10, 16)
	if err != nil { // this package did not set the timer
		return
	}
	pending, found := b.reservations.pending[uint16(number)]
	if !found {
		return
	}
	delete(b.reservations.pending, uint16(number))
	b.reservations.markUnreachable(pending.owner, b.now+firstEjection)
	request := pending.request
	if request == nil || b.requests[request.ID] != request || request.server != nil {
		return
	}
	request.samples++
	request.candidates = slices.DeleteFunc(request.candidates, func(server *serverEntry) bool {
		return server == pending.server
	})
	b.place(request)
}

// applyReply acts on an owner's reply. If the owner granted the reservation, it starts an attempt on the server.
// Otherwise it requests a reservation for the next server. After a reply to a relief request it migrates connections.
// The load in another node's reply counts as a load report, and a server that the other node ejected is ejected here
// too.
func (b *Balancer) applyReply(pending pendingPeerRequest, reply peerMessage) {
	server, request := pending.server, pending.request
	if pending.owner != b.settings.Node {
		if reply.kind == serverEjected {
			server.outlier.eject(b.now)
		} else {
			b.observeLoad(server, reply.load)
		}
	}
	if request == nil {
		b.migrate(server, reply.fraction)
		return
	}
	if b.requests[request.ID] != request || request.server != nil {
		return
	}
	if reply.kind == reservationGranted && b.eligible(request, server) &&
		b.zones.allows(request, server) { // the server may have started to drain since the request
		b.startAttempt(request, server)
		return
	}
	if reply.load > crowdedLoad {
		server.deniedUntil = b.now + freshFor
	}
	b.requestReservation(request)
}

// findServerByKey returns the server with the key that messages use (serverKey), or nil.
func (b *Balancer) findServerByKey(key uint32) *serverEntry {
	for _, server := range b.servers {
		if serverKey(server) == key {
			return server
		}
	}
	return nil
}
