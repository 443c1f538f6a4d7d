package hotrestart

import (
	"encoding/json"

	"spurwinch/internal/platform/discovery"
)

const (
	// protocolVersion is the version of the messages. A process that speaks another one starts without a grant.
	protocolVersion = 1

	maxGrantBytes   = 1 << 20 // a list of thousands of servers; no more may wait to be written on a connection
	maxMessageBytes = 4 << 10 // of any message but the grant, without the payload behind it
)

// messageKind says what a message is about. Processes of other releases read these words: they do not change.
type messageKind string

const (
	// The successor sends these.
	kindHello           messageKind = "hello"   // it asks for a grant
	kindReady           messageKind = "ready"   // it accepts clients
	kindFreeDescriptors messageKind = "free"    // its number of descriptors that are free for connections
	kindBatchAccepted   messageKind = "held"    // it can serve the batch, and has so many descriptors free beside that
	kindBatchRejected   messageKind = "refused" // it has closed the batch

	// The parent sends these.
	kindGrant          messageKind = "lent"
	kindQuotaRaised    messageKind = "room"
	kindLearnedState   messageKind = "learned" // the payload behind it is what the parent has learned
	kindBatchOffered   messageKind = "batch"   // the payload behind it is the batch, and its descriptors come along
	kindBatchCommitted messageKind = "given"   // the parent has closed its copies: the batch is the successor's
	kindBatchRecalled  messageKind = "back"    // the batch is the parent's again
)

// message is what one process sends to the other, as JSON on a line of its own.
type message struct {
	Kind         messageKind     `json:"kind"`
	Version      int             `json:"version,omitempty"`
	Sockets      []string        `json:"sockets,omitempty"` // addresses, in the order of their descriptors
	HasDatagrams bool            `json:"datagrams,omitempty"`
	Discovery    string          `json:"discovery,omitempty"`
	List         *discovery.List `json:"list,omitempty"`
	Descriptors  int             `json:"room,omitempty"`
	TransferForm int             `json:"carry,omitempty"` // of the connections that can be sent or received; 0: none
	Learned      []byte          `json:"learned,omitempty"`
	Size         int             `json:"size,omitempty"` // bytes of the payload behind the line
}

// encode returns the line of a message, with its end.
func (m message) encode() []byte {
	encoded, err := json.Marshal(m)
	if err != nil {
		panic(err) // no field of a message can fail to be encoded
	}
	return append(encoded, '\n')
}

// hasPayload reports whether a payload follows the message, of maxBytes at most.
func (m message) hasPayload(maxBytes int) bool { return m.Size > 0 && m.Size <= maxBytes }
