package agent

import (
	"time"

	"spurwinch/internal/consensus"
)

// maxVoterSteps bounds the voter's steps in one call of advance.
const maxVoterSteps = 64

// pendingRecord is a record that must be on disk before the voter and the follower continue.
type pendingRecord struct {
	record      consensus.Record
	replacesAll bool // the record replaces all earlier records on disk
	fromVoter   bool
}

// restoreFollower creates a follower with the newest entries in the records read from disk.
func restoreFollower(records []consensus.Record) *consensus.Follower {
	var log uint64
	var entries []consensus.Entry
	for _, record := range records {
		if len(record.Newest) > 0 {
			entries = record.Newest
		}
		if record.LogID != 0 {
			log = record.LogID
		}
	}
	return consensus.NewFollower(log, entries)
}

// advance processes what the voter and the follower have ready, until a record must be written to disk.
func (a *Agent) advance(now time.Duration) {
	for range maxVoterSteps {
		if a.pendingRecord != nil {
			return
		}
		if a.voter != nil && a.advanceVoter(now) {
			continue
		}
		if a.unsaved {
			a.unsaved = false
			record := consensus.Record{LogID: a.follower.LogID(), Newest: a.follower.Entries()}
			a.pendingRecord = &pendingRecord{record: record}
		}
		return
	}
}

// NextRecord returns the record that the caller must write to disk next. If replacesAll is true, the record replaces
// all earlier ones. The caller calls Persisted once the record is on disk.
func (a *Agent) NextRecord() (record consensus.Record, replacesAll, ok bool) {
	if a.pendingRecord == nil {
		return consensus.Record{}, false, false
	}
	return a.pendingRecord.record, a.pendingRecord.replacesAll, true
}

// Persisted must be called once the record of NextRecord is on disk. It puts the record's entries into effect and lets
// the voter continue.
func (a *Agent) Persisted(now time.Duration) {
	if pending := a.pendingRecord; pending != nil {
		a.pendingRecord = nil
		a.adoptEntries(pending.record.Newest, now)
		if pending.fromVoter && a.voter != nil {
			a.voterPersisted(now)
		}
	}
	a.advance(now)
}
