package agent

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"
)

// A message between nodes:
//
//	0      version
//	1      kind
//	2-5    digest of the list of nodes
//	6-7    the sender's number in the list
//	8-9    the receiver's number in the list
//	10-13  the sender's incarnation, a random number drawn at the start of its process
//	14-21  the sender's clock: microseconds since its own epoch; never repeats
//	22-29  echo: the receiver's newest clock that the sender has received; 0: none
//	30-    body: CBOR, except that kindConsensus has the voters' own format
//	last 16 bytes: truncated HMAC-SHA256 of all bytes before, with the fleet's key
//
// Numbers are big-endian. The echo of its own clock tells the receiver the greatest possible age of the message. Clocks
// of two machines are never compared.
const (
	wireVersion = 1
	headerBytes = 30
	macBytes    = 16
	// MaxMessage is the maximum size in bytes of a message.
	MaxMessage = 512 << 10
	// MaxDatagram is the maximum size in bytes of a message that is sent as a datagram. Longer messages are sent on a
	// stream.
	MaxDatagram = 1200
)

// messageKind is the kind of a message, which determines its body. The numbers are on the wire.
type messageKind uint8

const (
	kindHeartbeat    messageKind = iota + 1 // to the nodes that watch the sender; no body
	kindEvidence                            // failover.EvidenceSummary of one node, to the aggregators of its zone
	kindEvidenceAck                         // an aggregator's reply to evidence
	kindSummary                             // to the voters: a byte, 1 if stale, and a zone's failover.EvidenceSummary
	kindSummaryAck                          // the leader's reply to a summary
	kindFetchEntries                        // requests the newest entries of some kinds: []consensus.Kind
	kindEntry                               // a log entry
	kindLogDigest                           // how far the sender knows the log: consensus.Digest; handled, never sent
	kindConsensus                           // from one voter to another
	kindCall                                // an operator's Call
	kindReply                               // the Reply to a Call
	kindLeaseRequest                        // to the lease owner of a zone
	kindLeaseGrant                          // the lease owner's reply to a request
)

// newestOnly reports whether only the newest message of a kind counts. The agent drops messages of such a kind that are
// repeated or older than one that it has handled.
func (k messageKind) newestOnly() bool {
	switch k {
	case kindHeartbeat, kindEvidence, kindSummary, kindLogDigest, kindLeaseRequest:
		return true
	default:
		return false
	}
}

// header holds the fields of a message's header, except the version and the digest of the list, which are the same for
// all messages of a fleet.
type header struct {
	kind        messageKind
	from, to    int
	incarnation uint32
	clock       uint64
	echo        uint64
}

var (
	errForeignList = errors.New("message from a fleet with another list of nodes")
	errCorrupt     = errors.New("message is corrupt or authenticated with another key")
)

// seal encodes a message and authenticates it with the fleet's key.
func seal(key []byte, listDigest uint32, head header, body []byte) []byte {
	message := make([]byte, 0, headerBytes+len(body)+macBytes)
	message = append(message, wireVersion, byte(head.kind))
	message = binary.BigEndian.AppendUint32(message, listDigest)
	message = binary.BigEndian.AppendUint16(message, uint16(head.from))
	message = binary.BigEndian.AppendUint16(message, uint16(head.to))
	message = binary.BigEndian.AppendUint32(message, head.incarnation)
	message = binary.BigEndian.AppendUint64(message, head.clock)
	message = binary.BigEndian.AppendUint64(message, head.echo)
	message = append(message, body...)
	return append(message, messageMAC(key, message)...)
}

// open authenticates a message and decodes its header. The error is errForeignList or errCorrupt.
func open(key []byte, listDigest uint32, message []byte) (head header, body []byte, err error) {
	if len(message) < headerBytes+macBytes || len(message) > MaxMessage || message[0] != wireVersion {
		return header{}, nil, errCorrupt
	}
	end := len(message) - macBytes
	if !hmac.Equal(messageMAC(key, message[:end]), message[end:]) {
		return header{}, nil, errCorrupt
	}
	if binary.BigEndian.Uint32(message[2:]) != listDigest {
		return header{}, nil, errForeignList
	}
	head = header{
		kind:        messageKind(message[1]),
		from:        int(binary.BigEndian.Uint16(message[6:])),
		to:          int(binary.BigEndian.Uint16(message[8:])),
		incarnation: binary.BigEndian.Uint32(message[10:]),
		clock:       binary.BigEndian.Uint64(message[14:]),
		echo:        binary.BigEndian.Uint64(message[22:]),
	}
	return head, message[headerBytes:end], nil
}

func messageMAC(key, message []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(message)
	return mac.Sum(nil)[:macBytes]
}

// IsConsensusMessage reports whether a message is from one voter to another, for simulated networks.
func IsConsensusMessage(message []byte) bool {
	return len(message) > 1 && message[1] == byte(kindConsensus)
}

func microseconds(d time.Duration) uint64 { return uint64(d / time.Microsecond) }
