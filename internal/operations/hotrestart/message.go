package hotrestart

import (
	"encoding/json"

	"spurwinch/internal/platform/discovery"
)

const (
	// protocolVersion is the version of the messages. A successor that uses another version starts without a grant.
	protocolVersion = 1

	maxGrantBytes   = 1 << 20 // holds a list of thousands of servers; also the limit of a connection's pending writes
	maxMessageBytes = 4 << 10 // limit of any message but the grant, without the payload that follows it
)

// messageKind is the type of a message. The values must not change, because processes of other releases read them.
type messageKind string

const (
	// The successor sends these.
	kindHello           messageKind = "hello"   // the successor requests a grant
	kindReady           messageKind = "ready"   // the successor accepts clients
	kindFreeDescriptors messageKind = "free"    // has the number of descriptors that are free for connections
	kindBatchAccepted   messageKind = "held"    // the successor can serve the batch; has the number of free descriptors
	kindBatchRejected   messageKind = "refused" // the successor has closed the descriptors of the batch

	// Both send these.
	kindIDQuery  messageKind = "id_query"  // asks whether a request with this id is open; has the query's number
	kindIDAnswer messageKind = "id_answer" // the answer, with the number of the query

	// The parent sends these.
	kindGrant          messageKind = "lent"    // the answer to a hello, sent with the descriptors of the sockets
	kindQuotaRaised    messageKind = "room"    // has the new descriptor quota of the successor
	kindLearnedState   messageKind = "learned" // the payload that follows is learned state; a successor may send it too
	kindBatchOffered   messageKind = "batch"   // the payload that follows is the batch, sent with its descriptors
	kindBatchCommitted messageKind = "given"   // the parent has closed its copies; the successor owns the batch
	kindBatchRecalled  messageKind = "back"    // the parent owns the batch again
)

// message is one message between the two processes of a link. It is sent as one line of JSON.
type message struct {
	Kind            messageKind     `json:"kind"`
	Version         int             `json:"version,omitempty"`   // the sender's protocolVersion
	Sockets         []string        `json:"sockets,omitempty"`   // addresses, in the order of their descriptors
	HasDatagrams    bool            `json:"datagrams,omitempty"` // the last descriptor is the gossip socket
	Discovery       string          `json:"discovery,omitempty"` // the discovery service that sent List
	List            *discovery.List `json:"list,omitempty"`
	Descriptors     int             `json:"room,omitempty"`    // the quota, or the number of free descriptors
	TransferVersion int             `json:"carry,omitempty"`   // the sender's transferVersion; 0: no transfers
	Learned         []byte          `json:"learned,omitempty"` // the encoded learned state of the parent
	Size            int             `json:"size,omitempty"`    // bytes of the payload that follows the line
	ID              string          `json:"id,omitempty"`      // of a request
	Query           uint64          `json:"query,omitempty"`   // the query's number, unique in the asking process
	InUse           bool            `json:"in_use,omitempty"`  // the sender has an open request with the id
}

// encode returns the message as a line of JSON, with the newline.
func (m message) encode() []byte {
	encoded, err := json.Marshal(m)
	if err != nil {
		panic(err) // unreachable: every field of a message can be encoded
	}
	return append(encoded, '\n')
}

// hasPayload reports whether a payload of at most maxBytes follows the message.
func (m message) hasPayload(maxBytes int) bool { return m.Size > 0 && m.Size <= maxBytes }
