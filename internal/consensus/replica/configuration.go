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

// caughtUpWithin is how many entries a learner may be behind the leader's commit index to be made a voter.
const caughtUpWithin = 8

// isMember says whether this replica votes, as far as it knows the log's members.
func (r *Replica) isMember() bool {
	_, ok := r.raft.Status().Config.Voters.IDs()[raftID(r.self, r.incarnation)]
	return ok
}

// reconfigure has the leader put a replica that lost its disk in the place of the one that it was: first as a
// learner, so that no majority leans on a disk that has nothing yet.
func (r *Replica) reconfigure() {
	status := r.raft.Status()
	if status.RaftState != raft.StateLeader || r.ticks%helloTicks != 0 {
		return
	}
	for i, peer := range r.peers {
		id := raftID(i, peer.incarnation)
		// A late message of a disk that is lost must not bring it back.
		if peer.incarnation == 0 || i == r.self || slices.Contains(r.state.Retired, id) {
			continue
		}
		if changes := membershipChange(status, i, id); len(changes) > 0 {
			// One that Raft does not take, as while another change is under way, is proposed again after the next
			// hellos.
			_ = r.raft.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes})
			return
		}
	}
}

// membershipChange gives the next change that a replica's present incarnation needs to become a voter; none: it is
// one, or a learner that has not caught up.
func membershipChange(status raft.Status, replica int, id uint64) []*raftpb.ConfChangeSingle {
	if _, voter := status.Config.Voters.IDs()[id]; voter {
		return nil
	}
	progress, learner := status.Progress[id]
	if !learner {
		changes := []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddLearnerNode, id)}
		for _, member := range slices.Sorted(maps.Keys(status.Progress)) {
			if replicaOf(member) == replica {
				changes = append(changes, confChange(raftpb.ConfChangeRemoveNode, member))
			}
		}
		return changes
	}
	if progress.Match+caughtUpWithin < status.GetCommit() {
		return nil
	}
	return []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddNode, id)}
}

func confChange(changeType raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &changeType, NodeId: &id}
}

// applyConfChange applies a committed change of the members.
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

// setMembers has the next snapshot that Raft hands out name the members as they are now: a replica does not take one
// that does not name it.
func (r *Replica) setMembers(index uint64, members *raftpb.ConfState) {
	r.confState = members
	_, err := r.storage.CreateSnapshot(index, members, consensus.Encode(r.state))
	if err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		r.err = fmt.Errorf("make a snapshot of the members: %w", err)
	}
}
