package consensus

// Record is what must be persisted before any message that follows from it is sent. Where two records of a store have a
// value of the same thing, the later one counts. The bytes of Raft are in its protobuf form.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // drawn with the first record of a disk: a replica that lost its disk is another replica
	LogID       uint64   // identity of the log; 0: as before
	HardState   []byte   // raftpb.HardState: term, vote and commit index; none: as before
	Entries     [][]byte // raftpb.Entry
	Snapshot    []byte   // raftpb.Snapshot; nothing before it is needed any more
	Newest      []Entry  // what a follower acts on; none: as before
}

// Empty says that a record has nothing to persist.
func (r Record) Empty() bool {
	return r.Incarnation == 0 && len(r.HardState) == 0 && len(r.Entries) == 0 &&
		len(r.Snapshot) == 0 && len(r.Newest) == 0
}

// Message is for another replica.
type Message struct {
	To   int // its number among the replicas
	Data []byte
}
