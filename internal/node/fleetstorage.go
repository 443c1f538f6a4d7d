package node

import (
	"time"

	"go.uber.org/zap"
)

const diskRetryInterval = time.Second // between attempts to write a record after a failure

// save writes the agent's next record in a goroutine, because a disk write could block the loop for long.
func (f *fleet) save() {
	if f.saving {
		return
	}
	record, replaces, ok := f.agent.NextRecord()
	if !ok {
		return
	}
	if f.store == nil { // the node stores no records; voters always have a store
		f.agent.Persisted(f.now())
		return
	}
	f.saving = true
	write := f.store.Save
	if replaces {
		write = f.store.Replace
	}
	go func() {
		err := write(record)
		f.loop.Post(func() { f.onSaved(err) })
	}()
}

// onSaved reports a written record to the agent, or schedules another attempt if the write failed.
func (f *fleet) onSaved(err error) {
	f.saving = false
	if f.closed {
		f.release()
		return
	}
	if err != nil {
		zap.L().Error("fleet_record_not_saved", zap.Error(err),
			zap.String("what", "this node promises nothing to other nodes until it can write records again"))
		f.loop.At(f.loop.Now().Add(diskRetryInterval), f.saveAgain)
		return
	}
	f.agent.Persisted(f.now())
	f.applyDecisions()
}

// saveAgain retries a record that could not be written, unless the fleet is closed.
func (f *fleet) saveAgain() {
	if !f.closed {
		f.save()
	}
}
