package node

import (
	"time"

	"go.uber.org/zap"
)

const diskRetryInterval = time.Second // between two attempts at a record that couldn't be written

// save has the next record written, outside the loop: a disk may take long.
func (f *fleet) save() {
	if f.saving {
		return
	}
	record, replaces, ok := f.agent.NextRecord()
	if !ok {
		return
	}
	if f.store == nil { // a node that stores nothing; voters always have a store
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

// onSaved reports a written record to the agent, or schedules the next attempt at it.
func (f *fleet) onSaved(err error) {
	f.saving = false
	if f.closed {
		f.release()
		return
	}
	if err != nil {
		zap.L().Error("fleet_record_not_saved", zap.Error(err),
			zap.String("what", "this node promises nothing until its disk takes records again"))
		f.loop.At(f.loop.Now().Add(diskRetryInterval), f.saveAgain)
		return
	}
	f.agent.Persisted(f.now())
	f.applyDecisions()
}

func (f *fleet) saveAgain() {
	if !f.closed {
		f.save()
	}
}
