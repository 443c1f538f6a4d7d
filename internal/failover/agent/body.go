package agent

import (
	"github.com/fxamacker/cbor/v2"

	"spurwinch/internal/consensus"
	"spurwinch/internal/policy"
)

// Message bodies are encoded as CBOR arrays. The order of the fields is part of the wire format; their names are not.

// evidenceAck is an aggregator's reply to evidence. It forwards what the aggregator knows about the leader.
type evidenceAck struct {
	_             struct{} `cbor:",toarray"`
	EvidenceClock uint64   // clock of the evidence message
	LeaderAge     int64    // microseconds since the leader was last confirmed; negative: never confirmed
	LeaderPlan    uint64   // number of the leader's newest plan at that time
	Log           consensus.Digest
	Notice        policy.LeaderNotice
}

// summaryAck is the leader's reply to a zone's summary. The leader sends it after a majority has confirmed its
// leadership.
type summaryAck struct {
	_            struct{} `cbor:",toarray"`
	SummaryClock uint64   // clock of the summary message
	Log          consensus.Digest
	Notice       policy.LeaderNotice
}

// logEntry is a log entry and the ID of its log.
type logEntry struct {
	_     struct{} `cbor:",toarray"`
	Log   uint64
	Entry consensus.Entry
}

// leaseRequest requests capacity from the lease owner of a zone. It replaces the sender's earlier requests.
type leaseRequest struct {
	_    struct{} `cbor:",toarray"`
	Load float64  // requested capacity, in units of reported load; 0 ends the lease
}

// leaseGrant is the lease owner's reply to a leaseRequest.
type leaseGrant struct {
	_            struct{} `cbor:",toarray"`
	RequestClock uint64   // clock of the request
	Load         float64  // granted capacity; 0: nothing was granted
}

// maxLeaseLoad bounds the load that a message may request or grant.
const maxLeaseLoad = 1e9

// isLeaseLoad reports whether a number is a valid load of a lease. NaN is invalid.
func isLeaseLoad(load float64) bool { return load >= 0 && load < maxLeaseLoad }

var (
	encoding = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoding = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 8192, MaxMapPairs: 256}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // options and types are fixed, so an error would occur in every process or in none
	}
	return value
}

func encode(value any) []byte { return must(encoding.Marshal(value)) }

// decode decodes a message body. ok is false if the body is not an encoded T.
func decode[T any](body []byte) (value T, ok bool) {
	err := decoding.Unmarshal(body, &value)
	return value, err == nil
}
