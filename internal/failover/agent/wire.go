package agent

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"spurwinch/internal/agree"
	"spurwinch/internal/policy"
)

// A message between nodes:
//
//	0      version
//	1      kind
//	2-5    digest of the list of nodes
//	6-7    sender, 8-9 receiver: their numbers in the list
//	10-13  the sender's process, drawn at its start
//	14-21  the sender's clock, microseconds since its start: never twice
//	22-29  the receiver's clock, as the sender last saw it; 0: never
//	30-    body, CBOR or, of kind raft, the voters' own
//	last 16 bytes: HMAC-SHA256 of all before, by the fleet's key, cut
//
// Big-endian. The echo tells the receiver how long the message may have been on its way at most: clocks of two machines are never compared.
const (
	wireVersion = 1
	headBytes   = 30
	macBytes    = 16
	// MostMessage bounds a message, in bytes. What is over MostDatagram goes by a stream.
	MostMessage  = 512 << 10
	MostDatagram = 1200
)

type kind uint8

const (
	beat     kind = iota + 1 // to those who watch the sender
	evidence                 // of one node, to the aggregators of its zone
	word                     // of an aggregator, for evidence
	sum                      // of an aggregator, to the voters
	ack                      // of the voter that leads, for a sum
	fetch                    // asks for entries
	give                     // an entry of the log
	news                     // how far the log is
	raftWord                 // of voters among themselves
	ask                      // an operator's call
	answer
	borrow // to a zone's lender
	loan   // of a lender
)

type header struct {
	kind     kind
	from, to int
	process  uint32
	clock    uint64
	echo     uint64
}

type wordBody struct {
	_      struct{} `cbor:",toarray"`
	Answer uint64   // clock of the evidence
	Age    int64    // microseconds since the one that leads was surely there; under 0: not known
	Plan   uint64   // its newest plan then
	Digest agree.Digest
	Policy policy.LeaderNotice
}

type ackBody struct {
	_      struct{} `cbor:",toarray"`
	Answer uint64
	Digest agree.Digest
	Policy policy.LeaderNotice
}

type borrowBody struct {
	_    struct{} `cbor:",toarray"`
	Load float64
}

type loanBody struct {
	_      struct{} `cbor:",toarray"`
	Answer uint64   // clock of the ask
	Load   float64
}

type giveBody struct {
	_     struct{} `cbor:",toarray"`
	Log   uint64
	Entry agree.Entry
}

var (
	encoding = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoding = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 8192, MaxMapPairs: 256}.DecMode())

	errForeign = errors.New("of another list of nodes")
	errSpoilt  = errors.New("not whole, or of another key")
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // fixed options and plain types: wrong at each start or at none
	}
	return v
}

func encode(v any) []byte { return must(encoding.Marshal(v)) }

func mac(key, p []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(p)
	return h.Sum(nil)[:macBytes]
}

func seal(key []byte, list uint32, h header, body []byte) []byte {
	p := make([]byte, 0, headBytes+len(body)+macBytes)
	p = append(p, wireVersion, byte(h.kind))
	p = binary.BigEndian.AppendUint32(p, list)
	p = binary.BigEndian.AppendUint16(p, uint16(h.from))
	p = binary.BigEndian.AppendUint16(p, uint16(h.to))
	p = binary.BigEndian.AppendUint32(p, h.process)
	p = binary.BigEndian.AppendUint64(p, h.clock)
	p = binary.BigEndian.AppendUint64(p, h.echo)
	p = append(p, body...)
	return append(p, mac(key, p)...)
}

// open reads a message. Only what a node of this fleet has sent passes.
func open(key []byte, list uint32, p []byte) (h header, body []byte, err error) {
	if len(p) < headBytes+macBytes || len(p) > MostMessage || p[0] != wireVersion {
		return h, nil, errSpoilt
	}
	end := len(p) - macBytes
	if !hmac.Equal(mac(key, p[:end]), p[end:]) {
		return h, nil, errSpoilt
	}
	if binary.BigEndian.Uint32(p[2:]) != list {
		return h, nil, errForeign
	}
	h = header{kind: kind(p[1]), from: int(binary.BigEndian.Uint16(p[6:])), to: int(binary.BigEndian.Uint16(p[8:])),
		process: binary.BigEndian.Uint32(p[10:]), clock: binary.BigEndian.Uint64(p[14:]), echo: binary.BigEndian.Uint64(p[22:])}
	return h, p[headBytes:end], nil
}

// IsConsensusMessage says whether a message is one of voters among themselves, for those who carry messages in a laboratory.
func IsConsensusMessage(p []byte) bool { return len(p) > 1 && p[1] == byte(raftWord) }

func micros(d time.Duration) uint64 { return uint64(d / time.Microsecond) }
