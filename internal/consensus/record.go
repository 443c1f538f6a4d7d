package consensus

// Record is a set of changes that must be persisted before any message that depends on them is sent. If several records
// of a store contain the same item, such as the hard state or the Raft entry at one index, the latest record applies.
// Raft's values are encoded in protobuf.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // random; set in a disk's first record, so a replica that lost its disk gets a new one
	LogID       uint64   // identity of the log; 0 means unchanged
	HardState   []byte   // raftpb.HardState: term, vote and commit index; empty means unchanged
	Entries     [][]byte // each is a raftpb.Entry
	Snapshot    []byte   // raftpb.Snapshot; earlier entries and snapshots of the log are no longer needed
	Newest      []Entry  // entries of the Follower, on which the node acts; empty means unchanged
}

// Empty reports whether a record has nothing to persist.
func (r Record) Empty() bool {
	return r.Incarnation == 0 && len(r.HardState) == 0 && len(r.Entries) == 0 &&
		len(r.Snapshot) == 0 && len(r.Newest) == 0
}

// Message is a message to another replica.
type Message struct {
	To   int // number of the receiving replica, from 0
	Data []byte
}
