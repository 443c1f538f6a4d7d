package replica

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"spurwinch/internal/consensus"
)

// Ready gives the record that has to be persisted next, or ok false where there is nothing to do yet. After ok the
// caller persists the record, calls Persisted, and may call Ready again; until Persisted is called, Ready gives
// nothing. An empty record needs no disk. whole would say that the record replaces all others, and is always false:
// that is what Compact gives.
func (r *Replica) Ready() (record consensus.Record, whole, ok bool) {
	if r.persisting != persistingNothing || r.err != nil {
		return record, false, false
	}
	defer r.stopOnPanic()
	switch {
	case r.unstored:
		r.persisting = persistingBeginning
		return r.beginningRecord(), false, true
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

// beginningRecord is the first record of a disk or of a log.
func (r *Replica) beginningRecord() consensus.Record {
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

// Persisted has to be called when the record of the last Ready is persisted. It returns the messages to send and the
// results that follow from it.
func (r *Replica) Persisted() (messages []consensus.Message, results []consensus.ProposalResult) {
	if r.persisting == persistingNothing || r.err != nil {
		return nil, nil
	}
	defer r.stopOnPanic()
	persisted := r.persisting
	r.persisting = persistingNothing
	switch persisted {
	case persistingNothing, persistingMessages:
	case persistingBeginning:
		r.unstored = false
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

// advance carries out what Raft had ready, now that it is persisted.
func (r *Replica) advance() error {
	ready := *r.ready
	r.ready = nil
	if err := r.store(ready); err != nil {
		return err
	}
	r.reads.waiting = append(r.reads.waiting, ready.ReadStates...)
	r.sendRaft(ready.Messages)
	for _, entry := range ready.CommittedEntries {
		r.apply(entry)
	}
	r.answerReads()
	r.raft.Advance(ready)
	return nil
}

// store puts what was persisted into Raft's storage.
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

// apply applies a committed entry.
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

// answerReads confirms the calls of ConfirmLeadership for which all that was committed before them is applied, since
// the caller reads the state then.
func (r *Replica) answerReads() {
	for len(r.reads.waiting) > 0 && r.reads.waiting[0].Index <= r.applied {
		if call := r.reads.waiting[0].RequestCtx; len(call) == 8 {
			r.reads.confirmed = max(r.reads.confirmed, binary.BigEndian.Uint64(call))
		}
		r.reads.waiting = r.reads.waiting[1:]
	}
}
