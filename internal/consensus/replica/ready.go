package replica

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"spurwinch/internal/consensus"
)

// Ready returns the record that must be persisted next; ok is false if there is nothing to do yet. If ok is true, the
// caller persists the record, calls Persisted, and may then call Ready again. Until the caller calls Persisted, Ready
// returns ok false. An empty record does not have to be written to disk. whole would mean that the record replaces all
// others; it is always false, because only Compact returns such a record.
func (r *Replica) Ready() (record consensus.Record, whole, ok bool) {
	if r.persisting != persistingNothing || r.err != nil {
		return record, false, false
	}
	defer r.stopOnPanic()
	switch {
	case r.initialRecordPending:
		r.persisting = persistingInitial
		return r.initialRecord(), false, true
	case r.raft != nil && r.raft.HasReady():
		ready := r.raft.Ready()
		r.ready = &ready
		r.persisting = persistingReady
		return readyRecord(ready), false, true
	case len(r.messages) > 0:
		r.persisting = persistingMessages
		return record, false, true
	}
	return record, false, false
}

// initialRecord returns the record that a replica persists first on a new disk, and again when it creates or joins a
// log. If the replica created the log, the record contains the log's first snapshot.
func (r *Replica) initialRecord() consensus.Record {
	record := consensus.Record{Incarnation: r.incarnation, LogID: r.logID}
	if snapshot, err := r.storage.Snapshot(); err == nil && r.raft != nil && !raft.IsEmptySnap(snapshot) {
		record.Snapshot = mustMarshal(snapshot)
	}
	return record
}

func readyRecord(ready raft.Ready) (record consensus.Record) {
	if hasHardState(ready) {
		record.HardState = mustMarshal(ready.HardState)
	}
	for _, entry := range ready.Entries {
		record.Entries = append(record.Entries, mustMarshal(entry))
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		record.Snapshot = mustMarshal(ready.Snapshot)
	}
	return record
}

func hasHardState(ready raft.Ready) bool {
	return ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState)
}

// Persisted must be called once the record of the last Ready is persisted. It returns the messages that may now be sent
// and the results of proposals.
func (r *Replica) Persisted() (messages []consensus.Message, results []consensus.ProposalResult) {
	if r.persisting == persistingNothing || r.err != nil {
		return nil, nil
	}
	defer r.stopOnPanic()
	persisted := r.persisting
	r.persisting = persistingNothing
	switch persisted {
	case persistingNothing, persistingMessages:
	case persistingInitial:
		r.initialRecordPending = false
	case persistingReady:
		if err := r.advance(); err != nil {
			r.err = err
			return nil, nil
		}
		results = r.results
		r.results = nil
	}
	messages = r.messages
	r.messages = nil
	return messages, results
}

// advance processes the persisted raft.Ready: it updates the storage, queues the messages and applies the committed
// entries.
func (r *Replica) advance() error {
	ready := *r.ready
	r.ready = nil
	if err := r.store(ready); err != nil {
		return err
	}
	r.confirmations.waiting = append(r.confirmations.waiting, ready.ReadStates...)
	r.sendRaft(ready.Messages)
	for _, entry := range ready.CommittedEntries {
		r.apply(entry)
	}
	r.confirmAppliedCalls()
	r.raft.Advance(ready)
	return nil
}

// store copies the persisted snapshot, hard state and entries into Raft's storage.
func (r *Replica) store(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := r.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return fmt.Errorf("store a snapshot: %w", err)
		}
		if err := r.restore(ready.Snapshot); err != nil {
			return err
		}
	}
	if hasHardState(ready) {
		if err := r.storage.SetHardState(ready.HardState); err != nil {
			return fmt.Errorf("store the hard state: %w", err)
		}
	}
	if err := r.storage.Append(ready.Entries); err != nil {
		return fmt.Errorf("store entries: %w", err)
	}
	return nil
}

// apply applies a committed entry to the state or to the membership.
func (r *Replica) apply(entry *raftpb.Entry) {
	switch entry.GetType() {
	case raftpb.EntryNormal:
		if result, ok := r.state.Apply(entry.GetIndex(), entry.GetData()); ok {
			r.results = append(r.results, result)
		}
	case raftpb.EntryConfChange, raftpb.EntryConfChangeV2:
		r.applyConfChange(entry)
	}
	r.applied = entry.GetIndex()
}

// confirmAppliedCalls confirms each call of ConfirmLeadership for which this replica has applied all entries that were
// committed before the call, because the caller reads the state after the confirmation.
func (r *Replica) confirmAppliedCalls() {
	for len(r.confirmations.waiting) > 0 && r.confirmations.waiting[0].Index <= r.applied {
		if call := r.confirmations.waiting[0].RequestCtx; len(call) == 8 {
			r.confirmations.confirmed = max(r.confirmations.confirmed, binary.BigEndian.Uint64(call))
		}
		r.confirmations.waiting = r.confirmations.waiting[1:]
	}
}
