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
//	6-7    sender, 8-9 receiver: their numbers in the list
//	10-13  the sender's incarnation, drawn at the start of its process
//	14-21  the sender's clock in microseconds, of its own epoch: never twice
//	22-29  the newest clock of the receiver that the sender has received; 0: none
//	30-    body, CBOR or, of the consensus kind, the voters' own
//	last 16 bytes: HMAC-SHA256 of all before, by the fleet's key, cut
//
// Big-endian. By the echo of its own clock the receiver knows how old the message is at most: clocks of two machines
// are never compared.
const (
	wireVersion = 1
	headerBytes = 30
	macBytes    = 16
	// MaxMessage bounds a message, in bytes.
	MaxMessage = 512 << 10
	// MaxDatagram is the most bytes of a message that is sent as a datagram. Longer ones are sent by a stream.
	MaxDatagram = 1200
)

// messageKind is what a message's body is. The numbers are on the wire.
type messageKind uint8

const (
	kindHeartbeat    messageKind = iota + 1 // to the nodes that watch the sender; no body
	kindEvidence                            // failover.EvidenceSummary of one node, to the aggregators of its zone
	kindEvidenceAck                         // of an aggregator, for evidence
	kindSummary                             // to the voters: a byte, 1 if stale, and a zone's failover.EvidenceSummary
	kindSummaryAck                          // of the leader, for a summary
	kindFetchEntries                        // asks for the newest entries of some kinds: []consensus.Kind
	kindEntry                               // an entry of the log
	kindLogDigest                           // consensus.Digest, how far the sender knows the log; read, but not sent
	kindConsensus                           // of voters among themselves
	kindCall                                // an operator's Call
	kindReply                               // the Reply to it
	kindLeaseRequest                        // to the owner of a zone's capacity leases
	kindLeaseGrant                          // of the owner
)

// newestOnly says whether only the newest message of a kind counts, and that once.
func (k messageKind) newestOnly() bool {
	switch k {
	case kindHeartbeat, kindEvidence, kindSummary, kindLogDigest, kindLeaseRequest:
		return true
	default:
		return false
	}
}

// header is a message's envelope without the list's digest, which is the same for all messages of a fleet.
type header struct {
	kind        messageKind
	from, to    int
	incarnation uint32
	clock       uint64
	echo        uint64
}

var (
	errForeignList = errors.New("message of a fleet with another list of nodes")
	errCorrupt     = errors.New("message corrupt, or of another key")
)

// seal encodes a message and authenticates it by the fleet's key.
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

// open decodes a message that a node of this fleet has sent. The error is errForeignList or errCorrupt.
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

// IsConsensusMessage says whether a message is one of voters among themselves, for simulated networks.
func IsConsensusMessage(message []byte) bool {
	return len(message) > 1 && message[1] == byte(kindConsensus)
}

func microseconds(d time.Duration) uint64 { return uint64(d / time.Microsecond) }
