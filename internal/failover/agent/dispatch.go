package agent

import (
	"errors"
	"time"

	"spurwinch/internal/consensus"
)

const (
	// maxTransitTime is the age up to which a message is evidence of the current state of the zones.
	maxTransitTime = 3 * time.Second
	// maxOutbox bounds the messages that wait to be sent. The caller sends them after each call. The agent drops
	// further messages, as the network may drop a datagram.
	maxOutbox = 4096
)

// Message is an encoded message to another node.
type Message struct {
	To   int // the receiver's number in the list
	Data []byte
}

// TakeMessages returns the messages that the caller must send, and empties the outbox.
func (a *Agent) TakeMessages() []Message {
	messages := a.outbox
	a.outbox = nil
	return messages
}

// send adds a message to the outbox and returns its clock. A message to this node itself is given a clock but is not
// sent.
func (a *Agent) send(receiver int, kind messageKind, body []byte, now time.Duration) (clock uint64) {
	a.clock = max(a.clock+1, microseconds(now))
	if receiver == a.options.Self {
		return a.clock
	}
	if len(a.outbox) >= maxOutbox {
		a.Counts.Dropped++
		return a.clock
	}
	message := seal(a.options.Key, a.listDigest, header{
		kind:        kind,
		from:        a.options.Self,
		to:          receiver,
		incarnation: a.incarnation,
		clock:       a.clock,
		echo:        a.peer(receiver).clock,
	}, body)
	a.outbox = append(a.outbox, Message{To: receiver, Data: message})
	a.Counts.Sent++
	a.Counts.SentBytes += uint64(len(message))
	return a.clock
}

// Receive handles a message from another node. It drops messages that are corrupt, from another fleet, not for this
// node or replayed, and counts them in Counts.
func (a *Agent) Receive(message []byte, now time.Duration) {
	head, body, err := open(a.options.Key, a.listDigest, message)
	switch {
	case errors.Is(err, errForeignList):
		a.Counts.Foreign++
		return
	case err != nil || head.to != a.options.Self || head.from == a.options.Self || head.from >= a.options.List.Len():
		a.Counts.Corrupt++
		return
	case !a.peer(head.from).accept(head, now):
		a.Counts.Late++
		return
	}
	a.Counts.Accepted++
	a.dispatch(head, body, mayBeStale(head, now), now)
	a.advance(now)
}

// mayBeStale reports whether a message may be older than maxTransitTime. The echo of this node's clock shows the
// message's greatest possible age; without an echo, the age is unknown.
func mayBeStale(head header, now time.Duration) bool {
	return head.echo == 0 || microseconds(now)-min(microseconds(now), head.echo) > microseconds(maxTransitTime)
}

// dispatch handles a message according to its kind. It drops bodies that it can't decode, and kinds that only later
// versions know.
func (a *Agent) dispatch(head header, body []byte, stale bool, now time.Duration) {
	switch head.kind {
	case kindHeartbeat:
		a.detector.RecordHeartbeat(head.from, now)
	case kindEvidence:
		a.handleEvidence(head, body, stale, now)
	case kindEvidenceAck:
		if ack, ok := decode[evidenceAck](body); ok {
			a.handleEvidenceAck(head, ack, now)
		}
	case kindSummary:
		a.handleSummary(head, body, stale, now)
	case kindSummaryAck:
		if ack, ok := decode[summaryAck](body); ok {
			a.handleSummaryAck(head, ack, now)
		}
	case kindLogDigest:
		if digest, ok := decode[consensus.Digest](body); ok {
			a.fetchMissing(head.from, digest, now)
		}
	case kindFetchEntries:
		if kinds, ok := decode[[]consensus.Kind](body); ok {
			a.handleFetchEntries(head, kinds, now)
		}
	case kindEntry:
		if entry, ok := decode[logEntry](body); ok {
			a.acceptEntry(entry.Log, entry.Entry, head.from, now)
		}
	case kindLeaseRequest:
		a.handleLeaseRequest(head, body, now)
	case kindLeaseGrant:
		a.handleLeaseGrant(head, body, now)
	case kindConsensus:
		a.handleConsensus(head, body)
	case kindCall, kindReply: // Answer handles operators' calls
	}
}
