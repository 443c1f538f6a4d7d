// Package agree is a log of numbered entries that a few voters of a fleet agree on, and how all others follow it. It knows not
// what the entries carry. Decisions are steps of pure state machines: the caller brings messages, time and what the disk
// said, and carries out what comes back, so that each fault is a test in memory.
//
// The voters agree by Raft (Ongaro, Ousterhout: In Search of an Understandable Consensus Algorithm, 2014), through the step
// function of go.etcd.io/raft with PreVote and CheckQuorum.
package agree

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Kind tells entries of one use from those of another.
type Kind uint8

const (
	// Tick is the time between two calls of Voter.Tick.
	Tick = 50 * time.Millisecond
	// MostVoters bounds the voters of a log.
	MostVoters = 7
	// MostData bounds an entry's data, in bytes.
	MostData = 256 << 10
	// MostKinds bounds how many kinds a log has.
	MostKinds = 16
	mostDone  = 512 // proposals whose end is remembered
	mostID    = 64  // bytes of a proposal's id

	mostRetired = 64
)

// Entry is one decided entry.
type Entry struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // its place in the log; 0: there is none yet
	Kind   Kind
	ID     string // the proposal's
	Data   []byte
}

// Digest tells entries of different contents apart.
func (e Entry) Digest() uint64 {
	h := xxhash.New()
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], e.Number)
	binary.BigEndian.PutUint64(b[8:], uint64(len(e.ID)))
	b[16] = byte(e.Kind)
	h.Write(b[:])
	h.WriteString(e.ID)
	h.Write(e.Data)
	return h.Sum64()
}

// Proposal asks for an entry to be decided.
type Proposal struct {
	_        struct{} `cbor:",toarray"`
	ID       string   // of its own: proposing the same id twice changes nothing
	Kind     Kind
	Replaces uint64 // number of the entry that is the newest of its kind; where another one is, the proposal is given up
	Data     []byte
}

// ProposalResult tells how a proposal ended.
type ProposalResult struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Kind     Kind
	Number   uint64 // its place in the log
	Accepted bool   // else it was given up: it replaced another entry than the newest
}

// State is what a log has come to.
type State struct {
	_       struct{} `cbor:",toarray"`
	Log     uint64   // identity of the log; 0: none yet
	Newest  map[Kind]Entry
	Results []ProposalResult // the newest proposals, oldest first
	// Retired are Raft's names of voters whose disks were lost, the newest ones.
	Retired []uint64
}

var (
	encoding = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()) // alike at all voters, byte for byte
	decoding = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 256}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // fixed options: wrong at each start or at none
	}
	return v
}

// Encode and Unmarshal are the form in which voters keep and send things: the same bytes for the same value at all of them.
func Encode(v any) []byte { return must(encoding.Marshal(v)) }

// Unmarshal reads what Encode made.
func Unmarshal(p []byte, v any) error { return decoding.Unmarshal(p, v) }

// Result finds the end of a proposal.
func (s *State) Result(id string) (ProposalResult, bool) {
	i := slices.IndexFunc(s.Results, func(d ProposalResult) bool { return d.ID == id })
	if i < 0 {
		return ProposalResult{}, false
	}
	return s.Results[i], true
}

// Apply takes in what stands at a place of the log. All voters come to the same state.
func (s *State) Apply(number uint64, data []byte) (d ProposalResult, news bool) {
	var p Proposal
	if len(data) == 0 || decoding.Unmarshal(data, &p) != nil || p.Check() != nil {
		return d, false // an entry of Raft's own, or of a version that this one can't read
	}
	if _, done := s.Result(p.ID); done {
		return d, false
	}
	d = ProposalResult{ID: p.ID, Kind: p.Kind, Number: number, Accepted: s.Newest[p.Kind].Number == p.Replaces}
	if _, known := s.Newest[p.Kind]; !known && len(s.Newest) >= MostKinds {
		d.Accepted = false
	}
	if d.Accepted {
		s.Newest[p.Kind] = Entry{Number: number, Kind: p.Kind, ID: p.ID, Data: p.Data}
	}
	if s.Results = append(s.Results, d); len(s.Results) > mostDone {
		s.Results = slices.Clone(s.Results[len(s.Results)-mostDone:])
	}
	return d, true
}

// Retire notes that a voter's disk is gone.
func (s *State) Retire(id uint64) {
	if s.Retired = append(s.Retired, id); len(s.Retired) > mostRetired {
		s.Retired = slices.Clone(s.Retired[len(s.Retired)-mostRetired:])
	}
}

// Check finds what no log takes.
func (p Proposal) Check() error {
	switch {
	case p.ID == "" || len(p.ID) > mostID:
		return fmt.Errorf("a proposal's id has 1 to %d bytes", mostID)
	case p.Kind == 0:
		return fmt.Errorf("a proposal has a kind over 0")
	case len(p.Data) > MostData:
		return fmt.Errorf("a proposal of %d bytes: %d at most", len(p.Data), MostData)
	}
	return nil
}

// Record is what must be on disk before anything that follows from it leaves the machine. Later records beat earlier ones.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // drawn with the first record of a disk: a voter that lost its disk is another one
	Log         uint64
	HardState   []byte   // raftpb.HardState; none: as before
	Entries     [][]byte // raftpb.Entry
	Snapshot    []byte   // raftpb.Snapshot; nothing before it is needed any more
	Newest      []Entry  // what a follower acts on; none: as before
}

// Message goes to another voter, by its place in the list of voters.
type Message struct {
	To   int
	Data []byte
}

// ErrNotLeader says that another voter is to be asked, or that nobody leads now.
var ErrNotLeader = errors.New("this voter does not lead")

// Empty says that a record needs no disk.
func (r Record) Empty() bool {
	return r.Incarnation == 0 && len(r.HardState) == 0 && len(r.Entries) == 0 && len(r.Snapshot) == 0 && len(r.Newest) == 0
}
