package agent

import (
	"time"

	"spurwinch/internal/consensus"
)

// maxVoterSteps bounds the voter's steps at one call.
const maxVoterSteps = 64

// pendingRecord is a record that has to be on disk before the agent does anything else.
type pendingRecord struct {
	record      consensus.Record
	replacesAll bool
	ofVoter     bool
}

// restoreFollower starts with the newest entries that the disk has.
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

// advance does what the voter and the follower have ready, up to the next record that has to be on disk first.
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

// NextRecord returns the record that has to be persisted next; whole says that it replaces all others. When it is on
// disk, the caller calls Persisted.
func (a *Agent) NextRecord() (record consensus.Record, whole, ok bool) {
	if a.pendingRecord == nil {
		return consensus.Record{}, false, false
	}
	return a.pendingRecord.record, a.pendingRecord.replacesAll, true
}

// Persisted has to be called when the record of NextRecord is on disk. It puts into effect what depends on it.
func (a *Agent) Persisted(now time.Duration) {
	if pending := a.pendingRecord; pending != nil {
		a.pendingRecord = nil
		a.adoptEntries(pending.record.Newest, now)
		if pending.ofVoter && a.voter != nil {
			a.voterPersisted(now)
		}
	}
	a.advance(now)
}
