package agent

import "time"

const (
	aggregatorTimeout  = 3 * time.Second // after this time without a reply an aggregator is skipped
	aggregatorRetry    = 5 * time.Second // how long an unresponsive aggregator is skipped before it is tried again
	incarnationTimeout = 2 * time.Second // silence of a process after which a new process of its node is accepted
	maxPendingRequests = 32              // limit of the messages to a peer that wait for a reply
)

// peer is the state that an agent keeps about another node, for messages in both directions.
type peer struct {
	incarnation   uint32
	lastMessageAt time.Duration          // when the peer's last message arrived
	clock         uint64                 // newest clock of the peer in this incarnation
	newest        map[messageKind]uint64 // clock of the newest message by kind

	// For peers to which this node sends evidence or summaries:
	unansweredSince   time.Duration            // when the first evidence without a reply was sent; 0: none
	unresponsiveSince time.Duration            // 0: the peer replies
	pending           map[uint64]time.Duration // send times of the messages that wait for a reply, by clock
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

// accept reports whether to handle a message, and records it. The message must be from the sender's current process. If
// only the newest message of its kind counts, it must also be newer than the earlier ones.
func (p *peer) accept(head header, now time.Duration) bool {
	if p.incarnation != head.incarnation {
		if p.incarnation != 0 && now-p.lastMessageAt < incarnationTimeout {
			return false // from an earlier process, or from a new process while the other one still sends
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

// recordSendTime records when a message was sent, until its reply arrives. If more than maxPendingRequests messages
// already wait for a reply, it first forgets all of them.
func (p *peer) recordSendTime(clock uint64, now time.Duration) {
	if p.pending == nil || len(p.pending) > maxPendingRequests {
		p.pending = map[uint64]time.Duration{}
	}
	p.pending[clock] = now
}

// takeSendTime returns when the message that a reply refers to was sent, and forgets the message. ok is false if no
// such message was sent or an earlier reply has already arrived.
func (p *peer) takeSendTime(clock uint64) (sentAt time.Duration, ok bool) {
	sentAt, ok = p.pending[clock]
	delete(p.pending, clock)
	return sentAt, ok
}

// shouldSkip reports whether a peer has not replied to evidence for so long that another aggregator replaces it. After
// aggregatorRetry the peer is tried again. The call updates this state.
func (p *peer) shouldSkip(now time.Duration) bool {
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
