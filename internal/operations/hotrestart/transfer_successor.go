package hotrestart

import (
	"go.uber.org/zap"

	"spurwinch/internal/loop"
)

// This file implements the successor's side of a transfer. The successor reads a complete batch, prepares it without
// using its sockets, and accepts it. The successor owns the batch once the parent has committed it, or once the link
// ends before a commit or a recall. In the second case the parent has ended, which has closed its copies of the
// descriptors, or it has given up the batch (see abandonTransfers).

// TransferHandler has the functions that a Coordinator calls while it takes over connections.
type TransferHandler struct {
	// FreeDescriptors returns the number of descriptors that this process has free for connections.
	FreeDescriptors func() int
	// Prepare checks a batch and makes it ready to be served. After an error the Coordinator closes the descriptors. If
	// Prepare is nil, this process takes over no connections.
	Prepare func([]TransferItem) (PreparedBatch, error)
	// Learned receives learned state that another process has sent: the parent at any time, the successor only if this
	// process has asked it to.
	Learned func(from Peer, learned []byte)
}

// PreparedBatch is an accepted batch that is not committed yet. The Coordinator calls one of the functions, once.
type PreparedBatch struct {
	Commit func() // called once this process owns the connections
	Abort  func() // called if the parent owns the connections; must only close the descriptors, without any other use
}

// incomingTransfer is the state of the successor's transfers on a link.
type incomingTransfer struct {
	descriptors []int          // received for the batch that is being read
	payloadSize int            // bytes of the payload that follows; 0: a message follows
	payloadKind messageKind    // kind of the payload: kindBatchOffered or kindLearnedState
	prepared    *PreparedBatch // accepted and not committed yet; nil: none
}

// handleTransfer handles a parent's message about transfers, and reports whether it was valid.
func (l *link) handleTransfer(received message) bool {
	switch {
	case received.Kind == kindBatchOffered && received.hasPayload(maxBatchBytes) && l.incoming.prepared == nil,
		received.Kind == kindLearnedState && received.hasPayload(MaxLearnedBytes):
		l.awaitPayload(received)
	case received.Kind == kindBatchCommitted && l.incoming.prepared != nil:
		l.commit()
		l.sendFreeDescriptors(kindFreeDescriptors)
	case received.Kind == kindBatchRecalled:
		l.abort()
	default:
		return false
	}
	return true
}

// awaitPayload makes the link read the payload that a message announces.
func (l *link) awaitPayload(announced message) {
	l.incoming.payloadKind = announced.Kind
	l.incoming.payloadSize = announced.Size
}

// receiveDescriptors stores received descriptors for the batch that they belong to.
func (l *link) receiveDescriptors(descriptors []int) {
	l.incoming.descriptors = append(l.incoming.descriptors, descriptors...)
	if len(l.incoming.descriptors) > loop.MaxDescriptorsPerMessage {
		l.drop(errTooManyDescriptors)
	}
}

// prepare decodes and checks a complete batch, and accepts or rejects it.
func (l *link) prepare(encoded []byte) {
	descriptors := l.incoming.descriptors
	l.incoming.descriptors = nil
	items, err := decodeBatch(encoded, descriptors)
	var prepared PreparedBatch
	if err == nil {
		prepared, err = l.coordinator.options.Prepare(items)
	}
	if err != nil {
		zap.L().Warn("batch_rejected", zap.Error(err))
		loop.CloseDescriptors(descriptors)
		l.send(message{Kind: kindBatchRejected})
		return
	}
	l.incoming.prepared = &prepared
	l.sendFreeDescriptors(kindBatchAccepted)
}

// sendFreeDescriptors sends a message of this kind with the number of free descriptors, if the link supports transfers.
func (l *link) sendFreeDescriptors(kind messageKind) {
	if l.canTransfer {
		l.send(message{Kind: kind, Descriptors: max(0, l.coordinator.options.FreeDescriptors())})
	}
}

// commit commits the prepared batch, if there is one, so that this process owns it.
func (l *link) commit() {
	if prepared := l.incoming.prepared; prepared != nil {
		l.incoming.prepared = nil
		prepared.Commit()
	}
}

// abort aborts the prepared batch, if there is one, which closes its descriptors. The parent owns the batch.
func (l *link) abort() {
	if prepared := l.incoming.prepared; prepared != nil {
		l.incoming.prepared = nil
		prepared.Abort()
	}
}

// abandonTransfers gives up the batches in transfer before this process ends the link. The other process then sees the
// link end without a further message, and treats a batch that it has as its own (see settleTransfers). So this process
// closes a batch that it has prepared, and counts a batch that it has offered as accepted.
func (l *link) abandonTransfers() {
	l.abort()
	l.finishBatch(true)
	l.closeUnassigned()
}

// settleTransfers settles the batches in transfer when the other process has ended the link. This process owns a batch
// that it has prepared, since the parent has ended or has closed its copies. It also owns again a batch that it has
// offered and that the successor has not accepted. After abandonTransfers no batch is left to settle.
func (l *link) settleTransfers() {
	l.commit()
	l.finishBatch(false)
	l.closeUnassigned()
}

// closeUnassigned closes the descriptors of a batch that was not received completely. Descriptors may be received with
// the bytes of earlier messages, so only the end of the link shows that no batch for them follows.
func (l *link) closeUnassigned() {
	loop.CloseDescriptors(l.incoming.descriptors)
	l.incoming.descriptors = nil
}
