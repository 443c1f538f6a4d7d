// Package capture records the load and the servers that a node observes in files that remain readable for years:
// requests with their attempts and answers, the ends of connections, load reports and servers.
//
// A Writer, to which internal/node passes records, owns the files that it writes. The planner and replays read files
// with ReadFile and Reader. The names of answers and the field names of the header are part of the format. The format
// calls a server a host.
//
// A file consists of a magic line and blocks. A block is a head of fixed size (mark, lengths, XXH64 of the compressed
// bytes) and a zstd frame of CBOR items (RFC 8949): a kind, then a record of that kind as an array. Blocks don't depend
// on one another, so that all undamaged blocks of a truncated or damaged file can be read. The first block contains the
// Header.
//
// Files never contain the ids of clients and groups, but their truncated HMAC-SHA-256 values under a key that the
// operator sets. An id has the same value in all files with the same key, so that ids can be counted and compared but
// not recovered.
package capture

import "time"

// Version is the format version that this package writes. It reads this version and older ones.
const Version = 1

// Header is the first record of each file.
type Header struct {
	Version int      `cbor:"Version"`
	Node    string   `cbor:"Node"`
	Zone    string   `cbor:"Zone"`  // of the node
	Start   int64    `cbor:"Start"` // Unix time of offset 0, ns
	File    int      `cbor:"File"`  // number of the file since the program's start, from 0
	Share   float64  `cbor:"Share"` // fraction of clients (or groups, where requests have one) in the file
	Classes []string `cbor:"Classes"`
	Tenants []string `cbor:"Tenants"`
	Fields  []string `cbor:"Fields"` // names of a load report's values, in order
}

// Answer is the final answer of a request.
type Answer uint8

const (
	// Open means that the connection was opened.
	Open Answer = iota
	// Served means that the server gave a complete answer without opening a connection.
	Served
	// Rejected means that the node replied itself and promised that a retry is harmless.
	Rejected
	// Failed means that the node replied itself without that promise.
	Failed
	// ClientLeft means that the client left before any answer.
	ClientLeft
)

var answerNames = []string{"up", "served", "refused", "failed", "left"}

// String returns the name of an answer in the output of tools.
func (a Answer) String() string {
	if int(a) < len(answerNames) {
		return answerNames[a]
	}
	return "unknown"
}

// Cause is how an open connection ended.
type Cause uint8

const (
	// ByClient means that the client closed or lost the connection.
	ByClient Cause = iota
	// ByServer means that the server closed or lost the connection.
	ByServer
	// Migrated means that the node asked the client to reconnect.
	Migrated
	// Transferred means that the connection continues in another process of the node, whose capture doesn't contain it.
	Transferred
)

// stateGone is the Host.State of a server that is no longer on the endpoint list.
const stateGone = 2

// All offsets and durations in records are in microseconds; offsets count from Header.Start. The order of the fields is
// part of the format.
type (
	// Placed is a request with its final answer, of which there is exactly one. Its offset is the time of the request's
	// arrival.
	Placed struct {
		_        struct{} `cbor:",toarray"`
		At       int64
		Seq      uint64 // of the request, since the program's start
		Class    int    // index in Header.Classes
		Tenant   int    // index in Header.Tenants; -1: none
		Client   uint64 // 0: unknown
		Group    uint64 // 0: none
		Load     float64
		Returned bool  // the client reconnects after a node asked it to
		TimeLeft int64 // from the arrival to the deadline
		Took     int64 // from the arrival to the answer
		Answer   Answer
		Attempts []Attempt
	}
	// Attempt is one attempt. Outcome is the numeric value of a choice.Outcome.
	Attempt struct {
		_       struct{} `cbor:",toarray"`
		Host    string
		Outcome uint8
		Took    int64
	}
	// Ended is the end of an open connection.
	Ended struct {
		_        struct{} `cbor:",toarray"`
		At       int64
		Seq      uint64
		Lifetime int64 // since the connection was opened
		Cause    Cause
		Load     float64 // of the last load update; 0: there was none
	}
	// Report is a server's load report.
	Report struct {
		_      struct{} `cbor:",toarray"`
		At     int64
		Host   string
		Values []float32 // in the order of Header.Fields; NaN: not reported
	}
	// Host is a new or changed entry of the endpoint list. State: 0 ready, 1 draining, 2 gone.
	Host struct {
		_     struct{} `cbor:",toarray"`
		At    int64
		ID    string
		Zone  string
		Kind  string
		State uint8
	}
	// Dropped means that Count records were lost because the writer could not keep up.
	Dropped struct {
		_     struct{} `cbor:",toarray"`
		At    int64
		Count uint64
	}
)

// Record is one of the types above.
type Record interface{ kind() recordKind }

// recordKind is the number that precedes a record in a block. The numbers are part of the format.
type recordKind uint8

const (
	kindPlaced recordKind = iota + 1
	kindEnded
	kindReport
	kindHost
	kindDropped
)

func (Placed) kind() recordKind  { return kindPlaced }
func (Ended) kind() recordKind   { return kindEnded }
func (Report) kind() recordKind  { return kindReport }
func (Host) kind() recordKind    { return kindHost }
func (Dropped) kind() recordKind { return kindDropped }

// Micros converts a duration to microseconds, the unit of records.
func Micros(d time.Duration) int64 { return d.Microseconds() }

// Duration converts microseconds, the unit of records, to a duration.
func Duration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
