package replica

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"spurwinch/internal/consensus"
)

// maxLearnerLag is the maximum number of entries by which a learner may lag behind the leader's commit index when it
// becomes a voter.
const maxLearnerLag = 8

// isVoter reports whether this replica is a voter in the configuration that it knows.
func (r *Replica) isVoter() bool {
	_, ok := r.raft.Status().Config.Voters.IDs()[raftID(r.self, r.incarnation)]
	return ok
}

// reconfigure makes the leader replace the earlier incarnation of a replica that lost its disk with the present one.
// The present incarnation first becomes a learner, so that no majority depends on a disk without data.
func (r *Replica) reconfigure() {
	status := r.raft.Status()
	if status.RaftState != raft.StateLeader || r.ticks%helloTicks != 0 {
		return
	}
	for i, peer := range r.peers {
		id := raftID(i, peer.incarnation)
		// A delayed message from an incarnation whose disk is lost must not make that incarnation a member again.
		if peer.incarnation == 0 || i == r.self || slices.Contains(r.state.Retired, id) {
			continue
		}
		if changes := membershipChange(status, i, id); len(changes) > 0 {
			// Raft may reject the change, for example while another change is in progress. The leader then proposes it
			// again after helloTicks, when the next hellos have arrived.
			_ = r.raft.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes})
			return
		}
	}
}

// membershipChange returns the next change on the way to making the present incarnation of a replica a voter; id is the
// Raft ID of that incarnation. It returns no change if the incarnation is a voter already, or a learner that has not
// caught up.
func membershipChange(status raft.Status, replica int, id uint64) []*raftpb.ConfChangeSingle {
	if _, voter := status.Config.Voters.IDs()[id]; voter {
		return nil
	}
	progress, learner := status.Progress[id]
	if !learner {
		changes := []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddLearnerNode, id)}
		for _, member := range slices.Sorted(maps.Keys(status.Progress)) {
			if replicaNumber(member) == replica {
				changes = append(changes, confChange(raftpb.ConfChangeRemoveNode, member))
			}
		}
		return changes
	}
	if progress.Match+maxLearnerLag < status.GetCommit() {
		return nil
	}
	return []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddNode, id)}
}

func confChange(changeType raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &changeType, NodeId: &id}
}

// applyConfChange applies a committed change of the membership.
func (r *Replica) applyConfChange(entry *raftpb.Entry) {
	if entry.GetType() == raftpb.EntryConfChange {
		change := &raftpb.ConfChange{}
		if proto.Unmarshal(entry.GetData(), change) == nil {
			r.setMembers(entry.GetIndex(), r.raft.ApplyConfChange(change))
		}
		return
	}
	changes := &raftpb.ConfChangeV2{}
	if proto.Unmarshal(entry.GetData(), changes) != nil {
		return
	}
	members := r.raft.ApplyConfChange(changes)
	for _, change := range changes.GetChanges() {
		if change.GetType() == raftpb.ConfChangeRemoveNode {
			r.state.Retire(change.GetNodeId())
		}
	}
	r.setMembers(entry.GetIndex(), members)
}

// setMembers stores the members and creates a snapshot that contains them. Raft sends this snapshot to replicas that
// lag behind. A replica rejects a snapshot whose members do not include it.
func (r *Replica) setMembers(index uint64, members *raftpb.ConfState) {
	r.confState = members
	_, err := r.storage.CreateSnapshot(index, members, consensus.Encode(r.state))
	if err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		r.err = fmt.Errorf("create a snapshot with the new members: %w", err)
	}
}
