package hotrestart

import (
	"bytes"
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"spurwinch/internal/loop"
)

// link is the Unix connection to one other process of the node, with the state of the protocol on it. The protocol has
// the hello and the grant, quotas, and transfers of connections. A link ends when either process ends or violates the
// protocol.
type link struct {
	coordinator    *Coordinator
	conn           *loop.Conn
	toSuccessor    bool   // the other process was started after this one; false: it is the parent
	unread         []byte // received, but not a complete message or payload yet
	grantedQuota   int    // descriptors that the successor may have open; above 0 once the grant is sent
	ready          bool   // the successor accepts clients
	closed         bool
	number         int  // above 0, unique in this process
	compatible     bool // both processes support the same transferVersion
	canTransfer    bool // compatible, and no batch has timed out
	answersQueries bool // the other process answers queries

	queries        map[uint64]*idQuery // whose answers are outstanding, by number
	expiredQueries int                 // whose answers are outstanding after their time

	outgoing outgoingTransfer
	incoming incomingTransfer
}

func (l *link) send(m message) { l.conn.Write(m.encode()) }

// OnConnect is never called, because a link is accepted, or attached to an established connection.
func (l *link) OnConnect() {}

// OnDrained reports that the other process can be sent learned state again.
func (l *link) OnDrained() {
	if l.coordinator.options.Drained != nil {
		l.coordinator.options.Drained()
	}
}

// OnData handles each complete message and payload, and buffers the rest.
func (l *link) OnData(data []byte) {
	l.unread = append(l.unread, data...)
	for !l.closed {
		if l.incoming.payloadSize > 0 {
			if !l.readPayload() {
				return
			}
			continue
		}
		line, rest, complete := bytes.Cut(l.unread, []byte("\n"))
		if !complete {
			if len(l.unread) > maxMessageBytes {
				l.drop(errMessageTooLong)
			}
			return
		}
		l.unread = rest
		var m message
		if err := json.Unmarshal(line, &m); err != nil {
			l.drop(fmt.Errorf("message: %w", err))
			return
		}
		l.handle(m)
	}
}

// readPayload handles the payload that the last message announced, and reports whether it was complete.
func (l *link) readPayload() bool {
	size := l.incoming.payloadSize
	if len(l.unread) < size {
		return false
	}
	payload := l.unread[:size]
	l.unread = l.unread[size:]
	l.incoming.payloadSize = 0
	if l.incoming.payloadKind == kindLearnedState {
		l.coordinator.options.Learned(l.peer(), payload)
	} else {
		l.prepare(payload)
	}
	return true
}

// peer returns the process at the other end.
func (l *link) peer() Peer {
	if l.toSuccessor {
		return Successor
	}
	return Parent
}

// handle handles a message, and ends the link if the message is not valid in the state of the link.
func (l *link) handle(received message) {
	var valid bool
	if l.toSuccessor {
		valid = l.handleFromSuccessor(received)
	} else {
		valid = l.handleFromParent(received)
	}
	if !valid {
		l.drop(&UnexpectedMessageError{Kind: string(received.Kind)})
	}
}

// handleFromSuccessor handles a message from a successor, and reports whether it was valid in the state of the link.
func (l *link) handleFromSuccessor(received message) bool {
	granted := l.grantedQuota > 0
	switch {
	case granted && l.handleQuery(received):
		return true
	case received.Kind == kindHello && !granted:
		l.answerHello(received)
		return true
	case received.Kind == kindReady && granted:
		l.ready = true
		l.coordinator.options.Changed()
		return true
	case received.Kind == kindLearnedState && l.acceptsLearnedState() && received.hasPayload(MaxLearnedBytes):
		l.awaitPayload(received)
		return true
	}
	// After a batch has timed out, the parent offers no further one, but the successor may still answer the recalled
	// batch.
	mayAnswer := l.canTransfer || l.outgoing.recalled
	return mayAnswer && granted && l.handleTransferAnswer(received)
}

// acceptsLearnedState reports whether a successor may send learned state.
func (l *link) acceptsLearnedState() bool {
	return l.grantedQuota > 0 && l.compatible && l.coordinator.options.Learned != nil
}

// handleFromParent handles a message from the parent, and reports whether it was valid in the state of the link.
func (l *link) handleFromParent(received message) bool {
	c := l.coordinator
	if received.Kind == kindQuotaRaised && received.Descriptors >= c.descriptorQuota {
		c.descriptorQuota = received.Descriptors
		c.options.Changed()
		l.sendFreeDescriptors(kindFreeDescriptors)
		return true
	}
	return l.handleQuery(received) || l.canTransfer && l.handleTransfer(received)
}

// answerHello sends the successor its grant, or ends the link if the successor uses another version of the protocol.
func (l *link) answerHello(hello message) {
	if hello.Version != protocolVersion {
		l.drop(&VersionError{Got: hello.Version, Want: protocolVersion})
		return
	}
	l.compatible = hello.TransferVersion == transferVersion
	l.canTransfer = l.compatible
	grant := l.coordinator.options.Grant()
	m, descriptors := grant.message(l.canTransfer)
	l.grantedQuota = max(1, grant.DescriptorQuota) // at least 1, because 0 means that no grant was sent
	if err := l.conn.SendDescriptors(m.encode(), descriptors...); err != nil {
		l.drop(fmt.Errorf("grant: %w", err))
		return
	}
	zap.L().Info("hot_restart_granted", zap.Int("sockets", len(descriptors)),
		zap.Int("hosts", len(grant.List.Servers)), zap.Int("descriptors", grant.DescriptorQuota))
	l.coordinator.options.Changed()
}

// drop ends the link from this side, because the other process violated the protocol, sent no hello before the timeout,
// or could not be sent its grant. It gives up the batches in transfer (see abandonTransfers).
func (l *link) drop(cause error) {
	zap.L().Warn("hot_restart_link_dropped", zap.Error(cause))
	l.abandonTransfers()
	l.conn.Abort()
	l.finish()
}

// OnEnd handles the end of the link by the other process, which has ended or is not a process of this node.
func (l *link) OnEnd(error) {
	l.conn.End()
	l.finish()
}

// finish settles the batches in transfer and removes the link from its coordinator. Further calls do nothing.
func (l *link) finish() {
	if l.closed {
		return
	}
	l.closed = true
	l.settleTransfers()
	l.coordinator.remove(l)
	l.settleQueries()
	if l.grantedQuota > 0 || !l.toSuccessor {
		zap.L().Info("hot_restart_peer_gone", zap.Bool("started_later", l.toSuccessor))
		l.coordinator.options.Changed()
	}
}
