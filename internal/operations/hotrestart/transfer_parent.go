package hotrestart

import (
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/loop"
)

// The parent's side of a transfer. A batch that was offered is the parent's until the successor has accepted it. Then
// the parent closes its copies and commits, and from the commit on it is the successor's.

const (
	batchTimeout = time.Second       // for the answer to an offered batch; then it is recalled
	recallPoll   = batchTimeout / 20 // between checks whether the recall was written to the kernel
)

// outgoingTransfer is the parent's part of a link.
type outgoingTransfer struct {
	freeDescriptors int                 // of the successor, for connections
	done            func(accepted bool) // called with the outcome of the offered batch; nil: there is none
	recalled        bool                // the batch is recalled: an answer of the successor crossed the recall
	stopTimer       func()
}

// transferLink is the link to the newest successor that takes connections.
func (c *Coordinator) transferLink() *link {
	for i := len(c.successors) - 1; i >= 0; i-- {
		successor := c.successors[i]
		if successor.ready && successor.transfers {
			return successor
		}
	}
	return nil
}

// SuccessorAccepts reports whether there is a successor that accepts connections, and how many descriptors one batch
// may have now: none while another batch is in transfer.
func (c *Coordinator) SuccessorAccepts() (there bool, descriptors int) {
	successor := c.transferLink()
	if successor == nil {
		return false, 0
	}
	if successor.outgoing.done != nil || !successor.conn.Sent() {
		return true, 0
	}
	return true, min(successor.outgoing.freeDescriptors, loop.MaxDescriptorsPerMessage)
}

// SendLearnedState sends this process's learned state to the successor that accepts connections, if there is one.
func (c *Coordinator) SendLearnedState(learned []byte) {
	successor := c.transferLink()
	if successor == nil || len(learned) == 0 || len(learned) > maxLearnedBytes {
		return
	}
	announcement := message{Kind: kindLearnedState, Size: len(learned)}
	successor.conn.Write(append(announcement.encode(), learned...))
}

// Transfer offers a batch of connections. done is called once. When the successor has accepted the batch, the caller
// closes its copies of the descriptors before done returns; else the connections are the caller's as before.
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
	offered := message{Kind: kindBatchOffered, Size: len(encoded)}
	return len(descriptors), l.conn.SendDescriptors(append(offered.encode(), encoded...), descriptors...)
}

// recall takes back a batch that the successor has not answered in time. The batch is the parent's again only once the
// recall was written to the kernel: from then on the successor reads the recall before it sees the parent's end, which
// would make the batch the successor's.
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
		l.transfers = false // after one timeout no further batch is offered
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

// handleTransferAnswer handles a successor's message on transfers, and reports whether it was valid.
func (l *link) handleTransferAnswer(received message) bool {
	if received.Descriptors < 0 {
		return false
	}
	awaited := l.outgoing.done != nil && !l.outgoing.recalled
	switch {
	case received.Kind == kindFreeDescriptors:
		l.outgoing.freeDescriptors = received.Descriptors
	case received.Kind == kindBatchAccepted && awaited:
		l.finishBatch(true)
		l.send(message{Kind: kindBatchCommitted})
		l.outgoing.freeDescriptors = received.Descriptors
	case received.Kind == kindBatchRejected && awaited:
		l.finishBatch(false)
	case l.outgoing.recalled: // sent before the successor could read the recall
	default:
		return false
	}
	l.coordinator.options.Changed()
	return true
}
