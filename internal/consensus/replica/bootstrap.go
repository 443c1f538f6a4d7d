package replica

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"spurwinch/internal/consensus"
)

// The log begins with a snapshot at this index and term, which names its members.
const (
	firstIndex = 1
	firstTerm  = 1
)

// The 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// bootstrap begins a log once every replica has reported that it has none. A majority is not enough: the others may
// have a log of which this majority lost its disks, and its indexes would be used a second time.
func (r *Replica) bootstrap() {
	r.peers[r.self] = peer{incarnation: r.incarnation, logID: r.logID}
	if r.raft != nil {
		return
	}
	var members []uint64
	for i, peer := range r.peers {
		if peer.incarnation == 0 || peer.logID != 0 {
			return
		}
		members = append(members, raftID(i, peer.incarnation))
	}
	r.logID = newLogID(members)
	if err := r.storage.ApplySnapshot(firstSnapshot(r.logID, members)); err != nil {
		r.err = fmt.Errorf("begin a log: %w", err)
		return
	}
	r.err = r.start()
	r.unstored = true // the log's beginning is persisted before any message is sent
}

// newLogID gives the identity of a log by its first members, so that all of them come to the same one.
func newLogID(members []uint64) uint64 {
	hash := uint64(fnvOffset)
	for _, member := range members {
		hash = (hash ^ member) * fnvPrime
	}
	return hash | 1 // never 0, which stands for no log
}

func firstSnapshot(logID uint64, members []uint64) *raftpb.Snapshot {
	return &raftpb.Snapshot{
		Data: consensus.Encode(consensus.State{LogID: logID, Newest: map[consensus.Kind]consensus.Entry{}}),
		Metadata: &raftpb.SnapshotMetadata{
			Index:     proto.Uint64(firstIndex),
			Term:      proto.Uint64(firstTerm),
			ConfState: raftpb.EnsureConfState(&raftpb.ConfState{Voters: members}),
		},
	}
}

// join begins to follow a log that others have.
func (r *Replica) join(logID uint64) {
	if logID == 0 || r.unstored {
		return
	}
	r.logID = logID
	r.err = r.start()
	r.unstored = true
}
