package choice

import (
	"math"
	"slices"
	"strconv"
	"time"
)

// Reservations between peers. Where a node has under one connection of a server, what it sees there is late and mostly
// noise. There each server has an owner, a node that all find by rendezvous hashing: it asks for load reports, counts
// what it reserved for others since the last one, and spends the slow-start budget for all. The next node in the order
// of hashes follows one that does not answer.

const (
	peerTimeout      = 150 * time.Millisecond // an owner's answer, with a health check of its own before it
	maxLostQuestions = 2                      // until a request is placed without owners
	maxWaiting       = 1024                   // questions that wait for one server's report
	maxGroups        = 256                    // groups remembered of one server
	unknownLoad      = 2                      // answered for a server that is not ready here
)

// peerReservations is what a node has to do with the owners of servers, and as one of them.
type peerReservations struct {
	enabled          bool // servers have owners
	pending          map[uint16]pendingPeerRequest
	unreachableUntil []time.Duration // by node: until when it is taken to be gone
	lastToken        int64
	clocks           map[int]clockOffset // by node, of those whose clocks differ
	received         replayWindow
	dropped          int // messages that were not believed
}

// pendingPeerRequest is a question of this node that has no answer yet.
type pendingPeerRequest struct {
	owner   int
	server  *serverEntry
	request *requestEntry // nil: for relief
}

// peerRequest is a question of a node to this one as the owner of a server.
type peerRequest struct {
	from int
	peerMessage
}

// reservationBook is what the owner of a server knows of it.
type reservationBook struct {
	load    float64                  // reserved, and not shown by reports yet
	waiting []peerRequest            // for a report
	groups  map[uint16]time.Duration // groups that have connections there, when last heard of
}

// takeWaiting returns the questions that waited for a report, and empties the list.
func (r *reservationBook) takeWaiting() []peerRequest {
	waiting := r.waiting
	r.waiting = nil
	return waiting
}

// noteGroup remembers that a group has a connection on the server.
func (r *reservationBook) noteGroup(group uint16, now time.Duration) {
	if r.groups == nil || len(r.groups) >= maxGroups {
		r.groups = map[uint16]time.Duration{}
	}
	r.groups[group] = now
}

// hasGroup reports whether the server has likely connections of a group; true for no group.
func (r *reservationBook) hasGroup(group uint16, now time.Duration) bool {
	at, found := r.groups[group]
	return group == 0 || found && now-at <= groupMemory
}

func (p *peerReservations) nodes() int { return len(p.unreachableUntil) }

// setNodes takes in how many nodes there are.
func (p *peerReservations) setNodes(nodes int) {
	for len(p.unreachableUntil) < nodes {
		p.unreachableUntil = append(p.unreachableUntil, 0)
	}
	p.unreachableUntil = p.unreachableUntil[:nodes]
}

// passOver takes a node to be gone until a time. Settings may have fewer nodes than when it was asked.
func (p *peerReservations) passOver(node int, until time.Duration) {
	if node < len(p.unreachableUntil) {
		p.unreachableUntil[node] = until
	}
}

// ownerOf is the node that owns a server: of those that answer, the one with the highest hash of both.
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

// requestReservation asks the owner of the next server in a request's order whether it bears one more connection.
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

// sendToOwner asks a server's owner, which may be this node itself.
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
		b.answerAsOwner(peerRequest{owner, message})
	} else {
		b.actions = append(b.actions, SendPeerMessage{owner, message.encode()})
	}
	if _, waits := b.reservations.pending[message.token]; waits {
		token := timerPeerAnswer + " " + strconv.FormatUint(uint64(message.token), 10)
		b.actions = append(b.actions, SetTimer{Token: token, After: peerTimeout})
	}
}

// receivePeerMessage takes in a message of another node. What is cut off, of another version, late, a repeat or an
// answer to no question of this node's is dropped and counted.
func (b *Balancer) receivePeerMessage(event PeerMessage) {
	peers := &b.reservations
	message, ok := decodePeerMessage(event.Data)
	if !ok || event.From < 0 || event.From >= peers.nodes() || event.From == b.settings.Node {
		peers.dropped++
		return
	}
	if message.kind.isAnswer() {
		pending, found := peers.pending[message.token]
		if !found || pending.owner != event.From {
			peers.dropped++
			return
		}
		delete(peers.pending, message.token)
		peers.unreachableUntil[event.From] = 0
		b.applyAnswer(pending, message)
		return
	}
	if !peers.isNew(event.From, message.token, b.now) {
		peers.dropped++
		return
	}
	peers.unreachableUntil[event.From] = 0
	b.answerAsOwner(peerRequest{event.From, message})
}

// DroppedPeerMessages counts the messages that were not believed.
func (b *Balancer) DroppedPeerMessages() int { return b.reservations.dropped }

// answerAsOwner answers from a fresh report, or once there is one.
func (b *Balancer) answerAsOwner(question peerRequest) {
	server := b.findServerByKey(question.server)
	switch {
	case server == nil || server.State != Ready || len(server.reserved.waiting) >= maxWaiting:
		if question.kind != groupNotice {
			b.reply(question, peerMessage{kind: reservationDenied, load: unknownLoad})
		}
	case question.kind == groupNotice:
		server.reserved.noteGroup(question.group, b.now)
	case server.report.fresh(b.now) || server.outlier.ejected(b.now):
		b.decideReservation(question, server)
	default:
		server.reserved.waiting = append(server.reserved.waiting, question)
		b.checkHealth(server)
	}
}

// decideReservation grants a connection while the server bears it; a group that it has nothing of yet must leave
// headroom.
func (b *Balancer) decideReservation(question peerRequest, server *serverEntry) {
	fraction := b.capacityFraction(server)
	load := server.report.load + server.cost*b.units.mean*server.reserved.load/fraction
	answer := peerMessage{kind: reservationDenied, load: load}
	limit := crowded
	if !server.reserved.hasGroup(question.group, b.now) {
		limit -= overflowMargin
	}
	switch {
	case server.outlier.ejected(b.now):
		answer.kind = serverEjected
	case question.kind == reliefRequest:
		if load > crowded+overflowMargin {
			answer.fraction = 1 - crowded/load
			server.reserved.load -= answer.fraction * question.load
		}
	case load+server.cost*b.units.mean*question.load/fraction <= limit && b.ownerMayGrant(server):
		answer.kind = reservationGranted
		server.reserved.load += question.load
		server.slowStart.amount -= question.load
		server.reserved.noteGroup(question.group, b.now)
	}
	b.reply(question, answer)
}

// reply sends an answer to the node that asked, which may be this one.
func (b *Balancer) reply(question peerRequest, answer peerMessage) {
	answer.token = question.token
	if question.from != b.settings.Node {
		b.actions = append(b.actions, SendPeerMessage{question.from, answer.encode()})
		return
	}
	if pending, found := b.reservations.pending[question.token]; found {
		delete(b.reservations.pending, question.token)
		b.applyAnswer(pending, answer)
	}
}

// peerAnswerTimedOut goes on without an answer: the owner may be gone, and after some no owner is asked.
func (b *Balancer) peerAnswerTimedOut(token string) {
	number, err := strconv.ParseUint(token, 10, 16)
	if err != nil { // not a timer of this package
		return
	}
	pending, found := b.reservations.pending[uint16(number)]
	if !found {
		return
	}
	delete(b.reservations.pending, uint16(number))
	b.reservations.passOver(pending.owner, b.now+firstEjection)
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

// applyAnswer carries out what an owner said.
func (b *Balancer) applyAnswer(pending pendingPeerRequest, answer peerMessage) {
	server, request := pending.server, pending.request
	if pending.owner != b.settings.Node {
		if answer.kind == serverEjected {
			server.outlier.eject(b.now)
		} else {
			b.observeLoad(server, answer.load)
		}
	}
	if request == nil {
		b.migrate(server, answer.fraction)
		return
	}
	if b.requests[request.ID] != request || request.server != nil {
		return
	}
	if answer.kind == reservationGranted && b.eligible(request, server) &&
		b.zones.allows(request, server) { // not if it drains by now
		b.startAttempt(request, server)
		return
	}
	if answer.load > crowded {
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
