// Package capture keeps what a node saw of its load and its hosts in files that can be read back years later: requests
// with their attempts and answers, the ends of connections, load reports, hosts.
//
// A Writer, which internal/node feeds, owns the files that it writes; ReadFile and Reader read one, for the planner and
// replays. The words for answers and the fields' names in a header are part of the format.
//
// A file is a magic line, then blocks. A block is a head of fixed size (mark, lengths, XXH64 of what follows) and a
// zstd frame of CBOR items (RFC 8949): a kind, then a record of that kind as an array. Blocks don't depend on one
// another, so a file that was cut off or damaged is read but for the damaged blocks. The first block holds the Header.
//
// The ids of clients and groups are never in a file: keys and groups are written as truncated HMAC-SHA-256 under a key
// that the operator sets. They are equal in all files of that key, and so can be counted and compared but not read
// back.
package capture

import "time"

// Version is the format that this package writes. It reads this one and older ones.
const Version = 1

// Header opens each file.
type Header struct {
	Version int      `cbor:"Version"`
	Node    string   `cbor:"Node"`
	Zone    string   `cbor:"Zone"`  // of the node
	Start   int64    `cbor:"Start"` // Unix time of offset 0, ns
	File    int      `cbor:"File"`  // number of the file since the program's start, from 0
	Share   float64  `cbor:"Share"` // of clients (or groups, where there are) that are in the file
	Classes []string `cbor:"Classes"`
	Tenants []string `cbor:"Tenants"`
	Fields  []string `cbor:"Fields"` // names of a report's values, in order
}

// Answer is the final answer of a request.
type Answer uint8

const (
	// Open is an open connection.
	Open Answer = iota
	// Served is a server's whole answer, without an open connection.
	Served
	// Rejected is a local reply that promises that a retry is harmless.
	Rejected
	// Failed is a local reply that promises nothing.
	Failed
	// ClientLeft says that the client left before any answer.
	ClientLeft
)

var answerNames = []string{"up", "served", "refused", "failed", "left"}

// String is the word for an answer in the output of tools.
func (a Answer) String() string {
	if int(a) < len(answerNames) {
		return answerNames[a]
	}
	return "unknown"
}

// Cause is how an open connection ended.
type Cause uint8

const (
	// ByClient says that the client ended it or lost it.
	ByClient Cause = iota
	// ByServer says that the server ended it or lost it.
	ByServer
	// Migrated says that the node asked the client to reconnect.
	Migrated
	// Transferred says that it goes on in another process of the node, whose capture doesn't have it.
	Transferred
)

// stateGone is Host.State of a host that is no longer on the endpoint list.
const stateGone = 2

// All offsets and durations in records are microseconds; offsets count from Header.Start. The order of the fields is
// the format.
type (
	// Placed is a request and its one final answer; a request's offset is that of its arrival.
	Placed struct {
		_        struct{} `cbor:",toarray"`
		At       int64
		Seq      uint64 // of the request, since the program's start
		Class    int    // index in Header.Classes
		Tenant   int    // index in Header.Tenants; -1: none
		Client   uint64 // 0: not known
		Group    uint64 // 0: none
		Load     float64
		Returned bool  // the client was asked to reconnect and comes back
		TimeLeft int64 // from the arrival to the deadline
		Took     int64 // to the answer
		Answer   Answer
		Attempts []Attempt
	}
	// Attempt is one attempt. Outcome counts as choice.Outcome does.
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
		Lifetime int64 // since it was opened
		Cause    Cause
		Load     float64 // of its last load update; 0: there was none
	}
	// Report is a host's load report.
	Report struct {
		_      struct{} `cbor:",toarray"`
		At     int64
		Host   string
		Values []float32 // in the order of Header.Fields; NaN: not reported
	}
	// Host is an entry of the endpoint list that is new or changed. State: 0 ready, 1 draining, 2 gone.
	Host struct {
		_     struct{} `cbor:",toarray"`
		At    int64
		ID    string
		Zone  string
		Kind  string
		State uint8
	}
	// Dropped says that records were lost because the writer could not keep up.
	Dropped struct {
		_     struct{} `cbor:",toarray"`
		At    int64
		Count uint64
	}
)

// Record is one of the types above.
type Record interface{ kind() recordKind }

// recordKind is the number that stands before a record in a block. The numbers are part of the format.
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

// Micros turns a duration into a record's unit.
func Micros(d time.Duration) int64 { return d.Microseconds() }

// Duration turns a record's unit into a duration.
func Duration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
