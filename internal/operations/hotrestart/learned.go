package hotrestart

// This file sends learned state to the other processes of the node, in any number of messages.

// Peer is another process of the node.
type Peer int

// The other processes.
const (
	Parent    Peer = iota // the process that ran when this one started
	Successor             // the newest process that was started since
)

// stateLink returns the link to a process that understands learned state, or nil.
func (c *Coordinator) stateLink(to Peer) *link {
	if to == Parent {
		if c.parent != nil && c.parent.compatible {
			return c.parent
		}
		return nil
	}
	for i := len(c.successors) - 1; i >= 0; i-- {
		successor := c.successors[i]
		if successor.grantedQuota > 0 && successor.compatible {
			return successor
		}
	}
	return nil
}

// LearnedStateLink returns a number above 0 that identifies the link to a process that understands learned state, and
// whether the process can be sent some now. It can't while data is pending, or while a batch is in transfer: a message
// must be in order with the batches that precede and follow it. The number is 0 if there is no such process.
func (c *Coordinator) LearnedStateLink(to Peer) (number int, writable bool) {
	link := c.stateLink(to)
	if link == nil {
		return 0, false
	}
	return link.number, link.conn.Sent() && link.outgoing.done == nil
}

// SendLearnedState sends learned state to a process, if there is one that understands it. It sends at most
// MaxLearnedBytes. A parent must have asked for learned state: see TransferHandler.
func (c *Coordinator) SendLearnedState(to Peer, learned []byte) {
	link := c.stateLink(to)
	if link == nil || len(learned) == 0 || len(learned) > MaxLearnedBytes {
		return
	}
	header := message{Kind: kindLearnedState, Size: len(learned)}
	link.conn.Write(append(header.encode(), learned...))
}
