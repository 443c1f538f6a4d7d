package replica

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"spurwinch/internal/consensus"
)

// The log begins with a snapshot at this index and term. The snapshot contains the members.
const (
	firstIndex = 1
	firstTerm  = 1
)

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// bootstrap creates a log once every replica has reported that it has none. Reports from a majority are not enough: the
// majority may have lost its disks while the other replicas still have a log, and the new log would reuse the indexes
// of that log.
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
		r.err = fmt.Errorf("create a log: %w", err)
		return
	}
	r.err = r.start()
	r.initialRecordPending = true // the initial snapshot of the log is persisted before any message is sent
}

// newLogID derives the identity of a log from its first members, so that all of them compute the same one.
func newLogID(members []uint64) uint64 {
	hash := uint64(fnvOffset)
	for _, member := range members {
		hash = (hash ^ member) * fnvPrime
	}
	return hash | 1 // never 0, which means that there is no log
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

// join starts Raft for a log that other replicas already have.
func (r *Replica) join(logID uint64) {
	if logID == 0 || r.initialRecordPending {
		return
	}
	r.logID = logID
	r.err = r.start()
	r.initialRecordPending = true
}
