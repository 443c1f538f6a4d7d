package replica

import (
	"errors"
	"fmt"
	"math"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"spurwinch/internal/consensus"
)

// retainedEntries is the number of applied entries that stay in storage for replicas that lag behind. A replica that
// lags further behind receives a snapshot.
const retainedEntries = 256

// load copies the persisted records, oldest first, into Raft's storage.
func (r *Replica) load(records []consensus.Record) error {
	for _, record := range records {
		if record.Incarnation != 0 {
			r.incarnation = record.Incarnation
		}
		if record.LogID != 0 {
			r.logID = record.LogID
		}
		if err := r.loadRecord(record); err != nil {
			return fmt.Errorf("%w: %w", ErrInconsistentRecords, err)
		}
	}
	return nil
}

func (r *Replica) loadRecord(record consensus.Record) error {
	if len(record.Snapshot) > 0 {
		snapshot := &raftpb.Snapshot{}
		if err := proto.Unmarshal(record.Snapshot, snapshot); err != nil {
			return fmt.Errorf("decode a snapshot: %w", err)
		}
		if err := r.storage.ApplySnapshot(snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return fmt.Errorf("load a snapshot: %w", err)
		}
	}
	entries := make([]*raftpb.Entry, 0, len(record.Entries))
	for _, encoded := range record.Entries {
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(encoded, entry); err != nil {
			return fmt.Errorf("decode an entry: %w", err)
		}
		entries = append(entries, entry)
	}
	if err := r.storage.Append(entries); err != nil {
		return fmt.Errorf("load entries: %w", err)
	}
	if len(record.HardState) == 0 {
		return nil
	}
	hardState := &raftpb.HardState{}
	if err := proto.Unmarshal(record.HardState, hardState); err != nil {
		return fmt.Errorf("decode the hard state: %w", err)
	}
	return r.storage.SetHardState(hardState)
}

// restore sets the state, the applied index and the members to those of a snapshot.
func (r *Replica) restore(snapshot *raftpb.Snapshot) error {
	r.applied = snapshot.GetMetadata().GetIndex()
	r.confState = snapshot.GetMetadata().GetConfState()
	if len(snapshot.GetData()) == 0 {
		return nil
	}
	var state consensus.State
	if err := consensus.Decode(snapshot.GetData(), &state); err != nil {
		return fmt.Errorf("decode the state of a snapshot: %w", err)
	}
	if state.Newest == nil {
		state.Newest = map[consensus.Kind]consensus.Entry{}
	}
	r.state = state
	return nil
}

// Compact compacts the log once it contains more than 2*retainedEntries applied entries. It then returns one record
// with a snapshot, and the caller must replace all other records with it. Compact does nothing while another record is
// being persisted.
func (r *Replica) Compact() (record consensus.Record, ok bool) {
	if r.raft == nil || r.persisting != persistingNothing || r.initialRecordPending || r.err != nil {
		return record, false
	}
	first, err := r.storage.FirstIndex()
	if err != nil || r.applied < first+2*retainedEntries {
		return record, false
	}
	defer r.stopOnPanic()
	snapshot, err := r.storage.CreateSnapshot(r.applied, r.confState, consensus.Encode(r.state))
	if err != nil {
		return record, false // the next call tries again
	}
	record, err = r.compactedRecord(snapshot)
	if err != nil {
		return consensus.Record{}, false
	}
	if upTo := r.applied - retainedEntries; upTo > first {
		_ = r.storage.Compact(upTo) // fails only if these entries are already compacted
	}
	return record, true
}

// compactedRecord returns a record with everything that a replica knows: the snapshot, its hard state, and the entries
// that are not applied yet.
func (r *Replica) compactedRecord(snapshot *raftpb.Snapshot) (record consensus.Record, err error) {
	hardState, _, err := r.storage.InitialState()
	if err != nil {
		return record, fmt.Errorf("read the hard state: %w", err)
	}
	record = consensus.Record{
		Incarnation: r.incarnation,
		LogID:       r.logID,
		Snapshot:    mustMarshal(snapshot),
		HardState:   mustMarshal(hardState),
	}
	last, err := r.storage.LastIndex()
	if err != nil || last <= r.applied {
		return record, err
	}
	entries, err := r.storage.Entries(r.applied+1, last+1, math.MaxInt64)
	if err != nil {
		return record, fmt.Errorf("read entries: %w", err)
	}
	for _, entry := range entries {
		record.Entries = append(record.Entries, mustMarshal(entry))
	}
	return record, nil
}
