package agent

import "time"

const (
	aggregatorTimeout  = 3 * time.Second // an aggregator that has not answered for so long is passed over
	aggregatorRetry    = 5 * time.Second // after that it is tried again
	incarnationTimeout = 2 * time.Second // without a message of a process: then a new process of the node is accepted
	maxPendingRequests = 32              // messages to a peer whose answers are awaited
)

// peer is what an agent knows of another node, as its sender and receiver.
type peer struct {
	incarnation   uint32
	lastMessageAt time.Duration          // when its last message came
	clock         uint64                 // its newest clock, of this incarnation
	newest        map[messageKind]uint64 // clock of the newest message of a kind

	// Of a peer that is sent evidence:
	unansweredSince   time.Duration            // when the first evidence was sent that is not answered yet; 0: none is
	unresponsiveSince time.Duration            // 0: it answers
	pending           map[uint64]time.Duration // when a message was sent whose answer is awaited, by its clock
}

// peer returns the state of another node, by its number in the list.
func (a *Agent) peer(node int) *peer {
	known := a.peers[node]
	if known == nil {
		known = &peer{newest: map[messageKind]uint64{}}
		a.peers[node] = known
	}
	return known
}

// accept reports whether a message is valid now: it is of the sender's present process and, if of a kind of which only
// the newest counts, newer than those before.
func (p *peer) accept(head header, now time.Duration) bool {
	if p.incarnation != head.incarnation {
		if p.incarnation != 0 && now-p.lastMessageAt < incarnationTimeout {
			return false // a late message of an earlier process, or of a new one while the other still sends
		}
		*p = peer{incarnation: head.incarnation, newest: map[messageKind]uint64{}}
	}
	p.lastMessageAt = now
	p.clock = max(p.clock, head.clock)
	if !head.kind.newestOnly() {
		return true
	}
	if head.clock <= p.newest[head.kind] {
		return false
	}
	p.newest[head.kind] = head.clock
	return true
}

// awaitAnswer records when a message was sent, for when its answer comes.
func (p *peer) awaitAnswer(clock uint64, now time.Duration) {
	if p.pending == nil || len(p.pending) > maxPendingRequests {
		p.pending = map[uint64]time.Duration{}
	}
	p.pending[clock] = now
}

// answered gives when the message was sent that is answered; ok is false where none was, or it was answered before.
func (p *peer) answered(clock uint64) (sentAt time.Duration, ok bool) {
	sentAt, ok = p.pending[clock]
	delete(p.pending, clock)
	return sentAt, ok
}

// isPassedOver reports whether a peer has left evidence unanswered for so long that another aggregator takes its place.
// After aggregatorRetry it is tried again; the call updates that state.
func (p *peer) isPassedOver(now time.Duration) bool {
	if p.unansweredSince > 0 && now-p.unansweredSince > aggregatorTimeout && p.unresponsiveSince == 0 {
		p.unresponsiveSince = now
	}
	if p.unresponsiveSince == 0 {
		return false
	}
	if now-p.unresponsiveSince < aggregatorRetry {
		return true
	}
	p.unresponsiveSince = 0
	p.unansweredSince = 0
	return false
}
