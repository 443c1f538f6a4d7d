package hotrestart

import (
	"bytes"
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"spurwinch/internal/loop"
)

// link is the connection to one other process of the node. It ends with either of the two.
type link struct {
	coordinator  *Coordinator
	conn         *loop.Conn
	toSuccessor  bool   // the other process was started after this one; else it is the parent
	unread       []byte // came, and is no whole message or payload yet
	grantedQuota int    // descriptors that the successor may hold; over 0 once it has its grant
	ready        bool   // the successor takes clients
	closed       bool
	transfers    bool // connections go over this link
	outgoing     outgoingTransfer
	incoming     incomingTransfer
}

func (l *link) send(m message) { l.conn.Write(m.encode()) }

// OnConnect is called for dialled connections only.
func (l *link) OnConnect() {}

// OnDrained has nothing to resume: a link reads no source that it paused.
func (l *link) OnDrained() {}

// OnData handles each message and payload that is whole.
func (l *link) OnData(data []byte) {
	l.unread = append(l.unread, data...)
	for !l.closed {
		if l.incoming.payloadSize > 0 {
			if !l.readPayload() {
				return
			}
			continue
		}
		line, rest, whole := bytes.Cut(l.unread, []byte("\n"))
		if !whole {
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

// readPayload handles the payload that is due, and reports whether it was there whole.
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

// handleFromSuccessor reports whether the message has a place in the state of the link.
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
	// A successor that was silent for too long may still answer the batch that was recalled, though none follows it.
	transfers := l.transfers || l.outgoing.recalled
	return transfers && granted && l.handleTransferAnswer(received)
}

// handleFromParent reports whether the message has a place in the state of the link.
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

// answerHello sends the successor its grant.
func (l *link) answerHello(hello message) {
	if hello.Version != protocolVersion {
		l.drop(&VersionError{Got: hello.Version, Want: protocolVersion})
		return
	}
	l.transfers = hello.TransferForm == transferForm
	grant := l.coordinator.options.Grant()
	m, descriptors := grant.message(l.transfers)
	l.grantedQuota = max(1, grant.DescriptorQuota)
	if err := l.conn.SendDescriptors(m.encode(), descriptors...); err != nil {
		l.drop(fmt.Errorf("grant: %w", err))
		return
	}
	zap.L().Info("hot_restart_granted", zap.Int("sockets", len(descriptors)),
		zap.Int("hosts", len(grant.List.Servers)), zap.Int("descriptors", grant.DescriptorQuota))
	l.coordinator.options.Changed()
}

// drop ends the link from this side, since the other process does not keep to the protocol.
func (l *link) drop(cause error) {
	zap.L().Warn("hot_restart_link_dropped", zap.Error(cause))
	l.abandonTransfers()
	l.conn.Abort()
	l.finish()
}

// OnEnd notes that the other process is gone, or is none of this node.
func (l *link) OnEnd(error) {
	l.conn.End()
	l.finish()
}

// finish settles what the link's end leaves, once.
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
