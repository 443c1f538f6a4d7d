package agent

import (
	"github.com/fxamacker/cbor/v2"

	"spurwinch/internal/consensus"
	"spurwinch/internal/policy"
)

// The bodies of messages are CBOR arrays: the order of the fields is on the wire, their names are not.

// evidenceAck is an aggregator's answer to evidence. It passes on what the aggregator knows of the leader.
type evidenceAck struct {
	_             struct{} `cbor:",toarray"`
	EvidenceClock uint64   // of the evidence that is answered
	LeaderAge     int64    // microseconds since the leader was confirmed; under 0: it never was
	LeaderPlan    uint64   // the leader's newest plan then
	Log           consensus.Digest
	Notice        policy.LeaderNotice
}

// summaryAck is the leader's answer to a zone's summary. It is sent after a majority has confirmed that the sender
// leads.
type summaryAck struct {
	_            struct{} `cbor:",toarray"`
	SummaryClock uint64   // of the summary that is answered
	Log          consensus.Digest
	Notice       policy.LeaderNotice
}

// logEntry is an entry of the log.
type logEntry struct {
	_     struct{} `cbor:",toarray"`
	Log   uint64
	Entry consensus.Entry
}

// leaseRequest requests capacity from the owner of a zone's capacity leases, in place of what the sender requested
// before.
type leaseRequest struct {
	_    struct{} `cbor:",toarray"`
	Load float64  // reported load; 0 ends the lease
}

// leaseGrant is the owner's answer.
type leaseGrant struct {
	_            struct{} `cbor:",toarray"`
	RequestClock uint64   // clock of the request
	Load         float64  // granted; 0: nothing
}

// maxLeaseLoad bounds the load that a message may request or grant.
const maxLeaseLoad = 1e9

// isLeaseLoad says whether a number can be the load of a lease; NaN can't.
func isLeaseLoad(load float64) bool { return load >= 0 && load < maxLeaseLoad }

var (
	encoding = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoding = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 8192, MaxMapPairs: 256}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // fixed options and plain types: wrong at each start or at none
	}
	return value
}

func encode(value any) []byte { return must(encoding.Marshal(value)) }

// decode reads a body; ok is false for one of another shape.
func decode[T any](body []byte) (value T, ok bool) {
	err := decoding.Unmarshal(body, &value)
	return value, err == nil
}
