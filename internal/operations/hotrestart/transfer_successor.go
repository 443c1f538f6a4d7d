package hotrestart

import (
	"go.uber.org/zap"

	"spurwinch/internal/loop"
)

// The successor's side of a transfer. It reads a complete batch, prepares it without using its sockets, and accepts it.
// The batch is the successor's once the parent has committed it, or once the link ends before that: a parent that has
// neither recalled nor committed it has ended, and its copies are closed with it.

// TransferHandler is what a Coordinator needs in order to take connections over.
type TransferHandler struct {
	// FreeDescriptors returns the number of descriptors that this process has free for connections.
	FreeDescriptors func() int
	// Prepare checks a batch and has it ready to be served. After an error the descriptors are the Coordinator's to
	// close.
	Prepare func([]TransferItem) (PreparedBatch, error)
	// Learned gets what the parent has learned, when that process is draining.
	Learned func([]byte)
}

// PreparedBatch is a batch that was accepted and not committed yet. One of the two functions is called, once.
type PreparedBatch struct {
	Commit func() // the connections are this process's
	Abort  func() // they are not: their descriptors are closed and nothing else is done to them
}

// incomingTransfer is the successor's part of a link.
type incomingTransfer struct {
	descriptors []int       // received, of the batch that is being read
	payloadSize int         // bytes of the payload that follows; 0: a message follows
	payloadKind messageKind // what that payload is: kindBatchOffered or kindLearnedState
	prepared    *PreparedBatch
}

// handleTransfer handles a parent's message on transfers, and reports whether it was valid.
func (l *link) handleTransfer(received message) bool {
	switch {
	case received.Kind == kindBatchOffered && received.hasPayload(maxBatchBytes) && l.incoming.prepared == nil,
		received.Kind == kindLearnedState && received.hasPayload(maxLearnedBytes):
		l.incoming.payloadKind = received.Kind
		l.incoming.payloadSize = received.Size
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

// receiveDescriptors keeps descriptors for the batch that they came with.
func (l *link) receiveDescriptors(descriptors []int) {
	l.incoming.descriptors = append(l.incoming.descriptors, descriptors...)
	if len(l.incoming.descriptors) > loop.MaxDescriptorsPerMessage {
		l.drop(errTooManyDescriptors)
	}
}

// prepare checks a complete batch, and accepts or rejects it.
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
		loop.CloseAll(descriptors)
		l.send(message{Kind: kindBatchRejected})
		return
	}
	l.incoming.prepared = &prepared
	l.sendFreeDescriptors(kindBatchAccepted)
}

// sendFreeDescriptors sends a message that has the number of free descriptors with it.
func (l *link) sendFreeDescriptors(kind messageKind) {
	if l.transfers {
		l.send(message{Kind: kind, Descriptors: max(0, l.coordinator.options.FreeDescriptors())})
	}
}

// commit makes the prepared batch, if there is one, this process's.
func (l *link) commit() {
	if prepared := l.incoming.prepared; prepared != nil {
		l.incoming.prepared = nil
		prepared.Commit()
	}
}

// abort closes the prepared batch, if there is one: the other process has it.
func (l *link) abort() {
	if prepared := l.incoming.prepared; prepared != nil {
		l.incoming.prepared = nil
		prepared.Abort()
	}
}

// abandonTransfers gives up the batches in transfer before this process ends the link. The other process then sees the
// link end without a further message, and treats a batch that it has as its own (see settleTransfers). So a batch that
// was prepared here is closed, and one that was offered from here counts as accepted.
func (l *link) abandonTransfers() {
	l.abort()
	l.finishBatch(true)
	l.closeUnassigned()
}

// settleTransfers settles either side's part when the other process has ended the link. A batch that is prepared here
// is this process's, since the parent is gone or has closed its copies. One that was offered from here and not accepted
// is this process's again.
func (l *link) settleTransfers() {
	l.commit()
	l.finishBatch(false)
	l.closeUnassigned()
}

// closeUnassigned closes the descriptors of a batch that never became complete. Descriptors may be received with the
// bytes of earlier messages, so only the end of the link shows that no batch for them follows.
func (l *link) closeUnassigned() {
	loop.CloseAll(l.incoming.descriptors)
	l.incoming.descriptors = nil
}
