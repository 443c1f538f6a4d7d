package node

import (
	"time"

	"go.uber.org/zap"
)

const (
	transferInterval = 20 * time.Millisecond // between searches for connections that can be transferred meanwhile
	maxBatchTime     = time.Millisecond      // that one batch may block the loop
)

// transfer is the state of the transfer of this process's connections to its successor.
type transfer struct {
	active       bool // connections go to the successor
	migrated     bool // the clients that are left were told to connect again
	logged       bool // all connections are gone, and this process ends
	queue        []transferable
	started      time.Time
	sent         int // connections
	sentBytes    int
	duration     time.Duration // to the last connection sent
	longestBatch time.Duration // that the loop was blocked for
}

// transferAll begins to send connections to the successor, and ends this process once none is left here.
func (h *hotRestart) transferAll() {
	h.transfer.active = true
	h.transfer.started = h.program.loop.Now()
	h.coordinator.SendLearnedState(h.encodeLearnedState())
	h.transferRepeatedly()
}

// transferRepeatedly sends what can be transferred meanwhile, each transferInterval.
func (h *hotRestart) transferRepeatedly() {
	h.transferAndFinish()
	h.program.loop.At(h.program.loop.Now().Add(transferInterval), h.transferRepeatedly)
}

// transferAndFinish sends a batch, and ends the process if there is nothing left.
func (h *hotRestart) transferAndFinish() {
	h.transferNext()
	if h.isEmpty() && !h.transfer.logged {
		h.program.loop.Stop()
		h.logTransfer()
	}
}

// transferNext sends a batch of open connections to the successor; once it accepts none, the rest is migrated.
func (h *hotRestart) transferNext() {
	accepting, descriptors := h.coordinator.SuccessorAccepts()
	if !h.transfer.active || !accepting {
		h.transfer.active = false
		h.migrateRest()
		return
	}
	if descriptors == 0 {
		return
	}
	loop := h.program.loop
	begin := loop.Now()
	batch := h.nextBatch(begin, descriptors)
	if len(batch.connections) == 0 {
		return
	}
	h.coordinator.Transfer(batch.items, func(accepted bool) {
		batch.finish(accepted)
		if accepted {
			h.transfer.sent += len(batch.connections)
			h.transfer.sentBytes += batch.bytes
			h.transfer.duration = loop.Now().Sub(h.transfer.started)
			h.raiseSuccessorQuota()
		} else {
			h.transfer.active = false
		}
		loop.At(loop.Now(), h.transferAndFinish)
	})
	h.transfer.longestBatch = max(h.transfer.longestBatch, loop.Now().Sub(begin))
}

// nextBatch takes connections off the loop until the batch is full, its time is over or there are no more.
func (h *hotRestart) nextBatch(begin time.Time, descriptors int) transferBatch {
	batch := transferBatch{descriptors: descriptors}
	searched := false
	for !batch.full() && h.program.loop.Now().Sub(begin) <= maxBatchTime {
		if len(h.transfer.queue) == 0 && !searched {
			h.transfer.queue = h.transferables()
			searched = true
		}
		if len(h.transfer.queue) == 0 {
			break
		}
		next := h.transfer.queue[0]
		h.transfer.queue = h.transfer.queue[1:]
		batch.add(next)
	}
	return batch
}

// transferables are the connections that can be transferred now.
func (h *hotRestart) transferables() (all []transferable) {
	program := h.program
	for cluster, core := range program.coreByCluster {
		for _, request := range core.Transferable() {
			all = append(all, transferable{request, cluster})
		}
	}
	if program.platform != nil {
		for _, idle := range program.platform.front.IdleConnections() {
			all = append(all, transferable{detachable: idle})
		}
	}
	if program.xmpp != nil {
		for _, idle := range program.xmpp.IdleConnections() {
			all = append(all, transferable{detachable: idle})
		}
	}
	return all
}

// migrateRest has the clients that are left told to connect again, once.
func (h *hotRestart) migrateRest() {
	if h.transfer.migrated {
		return
	}
	h.transfer.migrated = true
	for _, core := range h.program.cores {
		core.MigrateRemaining()
	}
}

// isEmpty reports whether this process has no client any more, not even one whose answer is still being sent.
func (h *hotRestart) isEmpty() bool {
	for _, core := range h.program.cores {
		if core.InFlight() > 0 {
			return false
		}
	}
	return h.listenersClosed && h.program.loop.Idle() == 0
}

// logTransfer logs what became of the connections, once.
func (h *hotRestart) logTransfer() {
	if h.transfer.logged {
		return
	}
	h.transfer.logged = true
	migrated := 0
	for _, core := range h.program.cores {
		migrated += core.Migrated()
	}
	zap.L().Info("connections_transferred", zap.Int("given", h.transfer.sent), zap.Int("moved", migrated),
		zap.Int("bytes", h.transfer.sentBytes), zap.Duration("took", h.transfer.duration))
}
