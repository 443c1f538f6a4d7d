package choice

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// Reservations between peers. Where a node has under one connection of a server on average, its own observations are
// too few to place by (reservationsPay in cost.go). Then each server has an owner, the node that all find by rendezvous
// hashing; before a node starts an attempt it requests a reservation from the owner. The owner has the server's health
// checked, counts what it reserved since the last report, and spends the slow-start budget for all nodes. A node that
// does not reply is passed over for a while, and the next in the order of hashes takes its place.

const (
	peerTimeout         = 150 * time.Millisecond // for a reply, with a health check by the owner before it
	maxLostPeerRequests = 2                      // timeouts, after which a request is placed without owners
	maxWaiting          = 1024                   // peer requests that wait for one server's report
	maxGroups           = 256                    // groups remembered of one server
	unknownLoad         = 2                      // replied for a server that is not ready here; over any limit
)

// peerReservations is the state of the exchange with other nodes, as a requester and as an owner.
type peerReservations struct {
	enabled          bool                          // servers have owners; set by updateCosts
	pending          map[uint16]pendingPeerRequest // by token
	unreachableUntil []time.Duration               // by node: passed over as an owner until then
	lastToken        int64
	clocks           map[int]clockOffset // by node, of those whose clocks differ
	received         replayWindow
	dropped          int // messages that were invalid, late, repeated or not requested
}

// pendingPeerRequest is a request of this node that has no reply yet.
type pendingPeerRequest struct {
	owner   int
	server  *serverEntry
	request *requestEntry // that waits for a reservation; nil: it is a request for relief
}

// peerRequest is a request that a node sent to this one as the owner of a server.
type peerRequest struct {
	from int
	peerMessage
}

// reservationBook is what the owner of a server has reserved on it.
type reservationBook struct {
	load    float64                  // reserved and not in a report yet, in mean connections
	waiting []peerRequest            // for a report
	groups  map[uint16]time.Duration // by group: when a connection of it was last reserved or reported there
}

// takeWaiting returns the requests that waited for a report, and empties the list.
func (r *reservationBook) takeWaiting() []peerRequest {
	waiting := r.waiting
	r.waiting = nil
	return waiting
}

// noteGroup remembers that a group has a connection on the server. Where there are too many groups, all are forgotten.
func (r *reservationBook) noteGroup(group uint16, now time.Duration) {
	if r.groups == nil || len(r.groups) >= maxGroups {
		r.groups = map[uint16]time.Duration{}
	}
	r.groups[group] = now
}

// hasGroup reports whether the server likely has connections of a group; true for a request without a group (0).
func (r *reservationBook) hasGroup(group uint16, now time.Duration) bool {
	at, found := r.groups[group]
	return group == 0 || found && now-at <= groupMemory
}

func (p *peerReservations) nodes() int { return len(p.unreachableUntil) }

// setNodes sets how many nodes the settings have.
func (p *peerReservations) setNodes(nodes int) {
	for len(p.unreachableUntil) < nodes {
		p.unreachableUntil = append(p.unreachableUntil, 0)
	}
	p.unreachableUntil = p.unreachableUntil[:nodes]
}

// markUnreachable has a node passed over as an owner until a time. The settings may have fewer nodes by now than when
// the request was sent to it.
func (p *peerReservations) markUnreachable(node int, until time.Duration) {
	if node < len(p.unreachableUntil) {
		p.unreachableUntil[node] = until
	}
}

// ownerOf is the node that owns a server: of the reachable ones, the one with the highest hash of both.
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

// requestReservation requests a reservation for a request from the owner of the next server in the request's order. A
// denial brings it here again, with that server among the candidates; after maxSamples servers the request ends.
func (b *Balancer) requestReservation(request *requestEntry) {
	next := lowest(b.servers, 1, func(server *serverEntry) float64 {
		if server.outlier.ejected(b.now) || b.now < server.deniedUntil ||
			slices.Contains(request.candidates, server) || !b.eligible(request, server) {
			return never
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
// loads (loadUnits); the message has it in mean connections. request is nil but for a reservation or a group's notice.
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
	if _, waits := b.reservations.pending[message.token]; waits {
		token := timerPeerReply + " " + strconv.FormatUint(uint64(message.token), 10)
		b.actions = append(b.actions, SetTimer{Token: token, After: peerTimeout})
	}
}

// receivePeerMessage handles a message of another node. One that is cut off, of another version, late, a repeat or a
// reply to no pending request is dropped and counted.
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

// DroppedPeerMessages counts the messages of other nodes that were invalid, late, repeated or not requested.
func (b *Balancer) DroppedPeerMessages() int { return b.reservations.dropped }

// handlePeerRequest handles a request as the owner of its server: by a fresh report, or once a health check has brought
// one. Only a groupNotice has no reply.
func (b *Balancer) handlePeerRequest(request peerRequest) {
	server := b.findServerByKey(request.server)
	switch {
	case server == nil || server.State != Ready || len(server.reserved.waiting) >= maxWaiting:
		if request.kind != groupNotice {
			b.sendReply(request, peerMessage{kind: reservationDenied, load: unknownLoad})
		}
	case request.kind == groupNotice:
		server.reserved.noteGroup(request.group, b.now)
	case server.report.fresh(b.now) || server.outlier.ejected(b.now):
		b.decideReservation(request, server)
	default:
		server.reserved.waiting = append(server.reserved.waiting, request)
		b.checkHealth(server)
	}
}

// decideReservation replies to a request by the server's predicted load: its last report and what was reserved since. A
// reservation is granted while the load with it stays under crowded, or under crowded less overflowMargin for a group
// that has nothing on the server yet, and while the slow-start budget allows it. A reply to a request for relief has
// the fraction of its connections that the requester is to migrate; that much of its load is taken off the reservations
// at once, so that the next requests don't relieve the same excess again.
func (b *Balancer) decideReservation(request peerRequest, server *serverEntry) {
	fraction := b.capacityFraction(server)
	load := server.report.load + server.cost*b.units.mean*server.reserved.load/fraction
	reply := peerMessage{kind: reservationDenied, load: load}
	limit := crowded
	if !server.reserved.hasGroup(request.group, b.now) {
		limit -= overflowMargin
	}
	switch {
	case server.outlier.ejected(b.now):
		reply.kind = serverEjected
	case request.kind == reliefRequest:
		if load > crowded+overflowMargin {
			reply.fraction = 1 - crowded/load
			server.reserved.load -= reply.fraction * request.load
		}
	case load+server.cost*b.units.mean*request.load/fraction <= limit && b.ownerHasSlowStartBudget(server):
		reply.kind = reservationGranted
		server.reserved.load += request.load
		server.slowStart.tokens -= request.load
		server.reserved.noteGroup(request.group, b.now)
	}
	b.sendReply(request, reply)
}

// sendReply sends a reply to the node that sent the request, which may be this one.
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

// peerRequestTimedOut passes the owner over for a while and places the request again, after maxLostPeerRequests without
// owners.
func (b *Balancer) peerRequestTimedOut(token string) {
	number, err := strconv.ParseUint(token, 10, 16)
	if err != nil { // not a timer of this package
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

// applyReply carries out an owner's reply: a request goes to the server that was granted or on to the next one; on a
// reply to a request for relief connections are migrated. The load that the owner sends counts as a report.
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
		b.zones.allows(request, server) { // not if it drains by now
		b.startAttempt(request, server)
		return
	}
	if reply.load > crowded {
		server.deniedUntil = b.now + freshFor
	}
	b.requestReservation(request)
}

// findServerByKey returns the server that a message names, or nil.
func (b *Balancer) findServerByKey(key uint32) *serverEntry {
	for _, server := range b.servers {
		if serverKey(server) == key {
			return server
		}
	}
	return nil
}
