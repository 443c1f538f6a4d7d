package hotrestart

import (
	"bytes"
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"spurwinch/internal/loop"
)

// link is the Unix connection to one other process of the node, with the state of the protocol on it: the hello and the
// grant, quotas, and transfers of connections. It ends when either process does, or breaks the protocol.
type link struct {
	coordinator  *Coordinator
	conn         *loop.Conn
	toSuccessor  bool   // the other process was started after this one; else it is the parent
	unread       []byte // received, but not a complete message or payload yet
	grantedQuota int    // descriptors that the successor may have open; over 0 once it has its grant
	ready        bool   // the successor accepts clients
	closed       bool
	transfers    bool // connections can be transferred: both know the form, and none has timed out
	outgoing     outgoingTransfer
	incoming     incomingTransfer
}

func (l *link) send(m message) { l.conn.Write(m.encode()) }

// OnConnect is not called: a link is accepted, or attached to an established connection.
func (l *link) OnConnect() {}

// OnDrained has nothing to do: a link pauses no source while its data is pending.
func (l *link) OnDrained() {}

// OnData handles the messages and payloads that are complete.
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
		l.coordinator.options.Learned(payload)
	} else {
		l.prepare(payload)
	}
	return true
}

// handle handles a message, and ends the link on one that is not valid in its state.
func (l *link) handle(received message) {
	var known bool
	if l.toSuccessor {
		known = l.handleFromSuccessor(received)
	} else {
		known = l.handleFromParent(received)
	}
	if !known {
		l.drop(&UnexpectedMessageError{Kind: string(received.Kind)})
	}
}

// handleFromSuccessor handles a message of a successor, and reports whether it was valid in the state of the link.
func (l *link) handleFromSuccessor(received message) bool {
	granted := l.grantedQuota > 0
	switch {
	case received.Kind == kindHello && !granted:
		l.answerHello(received)
		return true
	case received.Kind == kindReady && granted:
		l.ready = true
		l.coordinator.options.Changed()
		return true
	}
	// A successor that did not answer in time may still answer the batch that was recalled, though no batch follows.
	transfers := l.transfers || l.outgoing.recalled
	return transfers && granted && l.handleTransferAnswer(received)
}

// handleFromParent handles a message of the parent, and reports whether it was valid in the state of the link.
func (l *link) handleFromParent(received message) bool {
	c := l.coordinator
	if received.Kind == kindQuotaRaised && received.Descriptors >= c.descriptorQuota {
		c.descriptorQuota = received.Descriptors
		c.options.Changed()
		l.sendFreeDescriptors(kindFreeDescriptors)
		return true
	}
	return l.transfers && l.handleTransfer(received)
}

// answerHello sends the successor its grant, or ends the link if it speaks another version of the protocol.
func (l *link) answerHello(hello message) {
	if hello.Version != protocolVersion {
		l.drop(&VersionError{Got: hello.Version, Want: protocolVersion})
		return
	}
	l.transfers = hello.TransferForm == transferForm
	grant := l.coordinator.options.Grant()
	m, descriptors := grant.message(l.transfers)
	l.grantedQuota = max(1, grant.DescriptorQuota) // over 0 marks the grant as sent
	if err := l.conn.SendDescriptors(m.encode(), descriptors...); err != nil {
		l.drop(fmt.Errorf("grant: %w", err))
		return
	}
	zap.L().Info("hot_restart_granted", zap.Int("sockets", len(descriptors)),
		zap.Int("hosts", len(grant.List.Servers)), zap.Int("descriptors", grant.DescriptorQuota))
	l.coordinator.options.Changed()
}

// drop ends the link from this side, since the other process broke the protocol. Batches that are in transfer are given
// up: see abandonTransfers.
func (l *link) drop(cause error) {
	zap.L().Warn("hot_restart_link_dropped", zap.Error(cause))
	l.abandonTransfers()
	l.conn.Abort()
	l.finish()
}

// OnEnd handles the end of the link by the other process, which has ended or is none of this node.
func (l *link) OnEnd(error) {
	l.conn.End()
	l.finish()
}

// finish settles the batches in transfer and removes the link from its coordinator, once.
func (l *link) finish() {
	if l.closed {
		return
	}
	l.closed = true
	l.settleTransfers()
	l.coordinator.remove(l)
	if l.grantedQuota > 0 || !l.toSuccessor {
		zap.L().Info("hot_restart_peer_gone", zap.Bool("started_later", l.toSuccessor))
		l.coordinator.options.Changed()
	}
}
