package consensus

// Record is a set of changes that must be persisted before any message that depends on them is sent. If several records
// of a store set the same field, the latest one applies. Raft's values are encoded in protobuf.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // random; set in a disk's first record, so a replica that lost its disk gets a new one
	LogID       uint64   // identity of the log; 0 means unchanged
	HardState   []byte   // raftpb.HardState: term, vote and commit index; empty means unchanged
	Entries     [][]byte // each is a raftpb.Entry
	Snapshot    []byte   // raftpb.Snapshot; log entries before it are no longer needed
	Newest      []Entry  // newest entries that a follower knows; empty means unchanged
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
