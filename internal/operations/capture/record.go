// Package capture keeps what a node saw of its load and its hosts in files that can be read back years later: requests
// with their attempts and answers, the ends of connections, load reports, hosts.
//
// A file is a magic line, then blocks. A block is a fixed head (mark, lengths, XXH64 of what follows) and a zstd frame of
// CBOR items (RFC 8949): a kind, then a record of that kind as an array. Blocks don't depend on one another, so a file
// that was cut off or damaged is read but for the blocks that suffered. The first block holds the Header.
//
// Clients, groups and tenants' users are never in a file: keys and groups are cut HMAC-SHA-256 under a key that the
// operator sets, alike in all files of that key, and so can be counted and compared but not told.
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
	Share   float64  `cbor:"Share"`
	Classes []string `cbor:"Classes"`
	Tenants []string `cbor:"Tenants"`
	Fields  []string `cbor:"Fields"` // names of a report's values, in order
}

// Answer is the final answer of a request.
type Answer uint8

const (
	Up      Answer = iota // a connection stands
	Served                // served to its end without one
	Refused               // a local reply: come again
	Failed                // a local reply that promises nothing
	Left                  // the client left before any
)

var answers = []string{"up", "served", "refused", "failed", "left"}

func (a Answer) String() string {
	if int(a) < len(answers) {
		return answers[a]
	}
	return "unknown"
}

// Cause is how an open connection ended.
type Cause uint8

const (
	ByClient Cause = iota
	ByHost         // the host ended or lost it
	Moved          // the node asked the client to come again
	Carried        // it goes on in another process of the node, whose capture doesn't have it
)

// All offsets and durations in records are microseconds; offsets count from Header.Start.
type (
	// Placed is a request and its one final answer; a request's offset is that of its arrival.
	Placed struct {
		_        struct{} `cbor:",toarray"`
		At       int64
		Seq      uint64 // of the request, since the program's start
		Class    int    // index in Header.Classes
		Tenant   int    // index in Header.Tenants; -1: none
		Client   uint64 // 0: not told
		Group    uint64 // 0: none
		Load     float64
		Returned bool
		Patience int64
		Took     int64 // to the answer
		Answer   Answer
		Tries    []Try
	}
	// Try is one attempt. Outcome counts as choice.Outcome does.
	Try struct {
		_       struct{} `cbor:",toarray"`
		Host    string
		Outcome uint8
		Took    int64
	}
	// Ended is the end of a connection that stood.
	Ended struct {
		_     struct{} `cbor:",toarray"`
		At    int64
		Seq   uint64
		Life  int64 // since it stood
		Cause Cause
		Load  float64 // told last; 0: never told
	}
	// Report is a host's load report.
	Report struct {
		_      struct{} `cbor:",toarray"`
		At     int64
		Host   string
		Values []float32 // in the order of Header.Fields; NaN: not told
	}
	// Host is an entry of the list that is new or changed. State: 0 serving, 1 draining, 2 gone.
	Host struct {
		_     struct{} `cbor:",toarray"`
		At    int64
		ID    string
		Zone  string
		Kind  string
		State uint8
	}
	// Dropped tells that records were lost because the writer could not keep up.
	Dropped struct {
		_     struct{} `cbor:",toarray"`
		At    int64
		Count uint64
	}
)

// Record is one of the types above.
type Record interface{ kind() uint8 }

func (Placed) kind() uint8  { return 1 }
func (Ended) kind() uint8   { return 2 }
func (Report) kind() uint8  { return 3 }
func (Host) kind() uint8    { return 4 }
func (Dropped) kind() uint8 { return 5 }

// Micros turns a duration into a record's unit.
func Micros(d time.Duration) int64 { return d.Microseconds() }

// Duration turns a record's unit into a duration.
func Duration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
