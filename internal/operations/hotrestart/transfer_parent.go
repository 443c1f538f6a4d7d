package hotrestart

import (
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/loop"
)

// This file implements the parent's side of a transfer. The parent owns an offered batch until the successor has
// accepted it. Then the parent closes its copies of the descriptors and commits the batch. From the commit on, the
// successor owns the batch.

const (
	batchTimeout = time.Second       // after it, the parent recalls an unanswered batch
	recallPoll   = batchTimeout / 20 // interval of the checks whether the recall was written to the kernel
)

// outgoingTransfer is the state of the parent's transfers on a link.
type outgoingTransfer struct {
	freeDescriptors int                 // descriptors that the successor has free for connections
	done            func(accepted bool) // called with the outcome of the offered batch; nil: no batch is offered
	recalled        bool                // the parent has recalled the last batch, whose answer may still arrive
	stopTimer       func()              // stops the timer of the next call of recall
}

// transferLink returns the link to the newest successor that accepts connections, or nil.
func (c *Coordinator) transferLink() *link {
	for i := len(c.successors) - 1; i >= 0; i-- {
		successor := c.successors[i]
		if successor.ready && successor.canTransfer {
			return successor
		}
	}
	return nil
}

// SuccessorAccepts reports whether there is a successor that accepts connections, and how many descriptors one batch
// may have now. The number is 0 while another batch is in transfer, data to the successor is pending or the kernel's
// buffer holds so much that it might not take the batch's descriptors.
func (c *Coordinator) SuccessorAccepts() (accepts bool, descriptors int) {
	successor := c.transferLink()
	if successor == nil {
		return false, 0
	}
	if successor.outgoing.done != nil || !successor.conn.Writable() {
		return true, 0
	}
	return true, min(successor.outgoing.freeDescriptors, loop.MaxDescriptorsPerMessage)
}

// Transfer offers a batch of connections to the successor and calls done once with the outcome. If the successor has
// accepted the batch, the caller must close its copies of the descriptors before done returns. Otherwise the caller
// still owns the connections.
func (c *Coordinator) Transfer(items []TransferItem, done func(accepted bool)) {
	successor := c.transferLink()
	descriptors, err := 0, ErrNoSuccessor
	if successor != nil {
		descriptors, err = successor.offer(items)
	}
	if err != nil {
		zap.L().Warn("batch_not_sent", zap.Int("connections", len(items)), zap.Error(err))
		done(false)
		return
	}
	successor.outgoing.done = done
	successor.outgoing.recalled = false
	successor.outgoing.freeDescriptors -= descriptors
	eventLoop := c.options.Loop
	successor.outgoing.stopTimer = eventLoop.At(eventLoop.Now().Add(batchTimeout), successor.recall)
}

// offer sends a batch to the successor and returns its number of descriptors.
func (l *link) offer(items []TransferItem) (int, error) {
	if l.outgoing.done != nil {
		return 0, ErrNoSuccessor
	}
	encoded, descriptors, err := encodeBatch(items)
	if err != nil {
		return 0, err
	}
	header := message{Kind: kindBatchOffered, Size: len(encoded)}
	return len(descriptors), l.conn.SendDescriptors(append(header.encode(), encoded...), descriptors...)
}

// recall takes back a batch that the successor did not answer before the timeout. The parent owns the batch again only
// once the recall was written to the kernel. From then on, the successor reads the recall before it sees the end of the
// parent. If the successor saw the end first, it would treat the batch as its own.
func (l *link) recall() {
	if l.outgoing.done == nil {
		return
	}
	if !l.outgoing.recalled {
		l.outgoing.recalled = true
		zap.L().Warn("batch_recalled")
		l.send(message{Kind: kindBatchRecalled})
	}
	if l.conn.Sent() {
		l.canTransfer = false // the parent offers no further batch after a timeout
		l.finishBatch(false)
		return
	}
	eventLoop := l.coordinator.options.Loop
	l.outgoing.stopTimer = eventLoop.At(eventLoop.Now().Add(recallPoll), l.recall)
}

// finishBatch reports the outcome of the offered batch, if there is one, to the caller of Transfer.
func (l *link) finishBatch(accepted bool) {
	done := l.outgoing.done
	if done == nil {
		return
	}
	l.outgoing.done = nil
	l.outgoing.stopTimer()
	done(accepted)
}

// handleTransferAnswer handles a successor's message about transfers, and reports whether it was valid.
func (l *link) handleTransferAnswer(received message) bool {
	if received.Descriptors < 0 {
		return false
	}
	awaitingAnswer := l.outgoing.done != nil && !l.outgoing.recalled
	switch {
	case received.Kind == kindFreeDescriptors:
		l.outgoing.freeDescriptors = received.Descriptors
	case received.Kind == kindBatchAccepted && awaitingAnswer:
		l.finishBatch(true)
		l.send(message{Kind: kindBatchCommitted})
		l.outgoing.freeDescriptors = received.Descriptors
	case received.Kind == kindBatchRejected && awaitingAnswer:
		l.finishBatch(false)
	case l.outgoing.recalled: // the successor sent this before it read the recall
	default:
		return false
	}
	l.coordinator.options.Changed()
	return true
}
