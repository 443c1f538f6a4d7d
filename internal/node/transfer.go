package node

import (
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/operations/hotrestart"
)

const (
	transferInterval = 20 * time.Millisecond // between searches for connections that have become transferable
	maxBatchTime     = time.Millisecond      // how long one batch may block the loop
	// maxRejections is the number of connections that the successor may reject one after another until this process
	// offers it no more.
	maxRejections = 8
)

// transfer is the state of the transfer of this process's connections to its successor.
type transfer struct {
	active       bool // connections are being sent to the successor
	migrated     bool // the remaining clients were told to reconnect
	logged       bool // the result was logged, because all connections are gone or the drain has ended
	queue        []transferable
	oneByOne     int                     // connections of a rejected batch that are offered alone next
	rejected     map[detachable]struct{} // offered alone and rejected; they stay until they are migrated
	rejections   int                     // connections rejected one after another
	started      time.Time
	sent         int // number of connections sent
	sentBytes    int
	duration     time.Duration // from the start until the last connection was sent
	longestBatch time.Duration // longest time that one batch blocked the loop
}

// transferAll begins to send connections to the successor. This process ends once it has no connections left.
func (h *hotRestart) transferAll() {
	h.transfer.active = true
	h.transfer.started = h.program.loop.Now()
	h.coordinator.SendLearnedState(hotrestart.Successor, h.learnedState().encode())
	h.transferRepeatedly()
}

// transferRepeatedly sends a batch of transferable connections every transferInterval.
func (h *hotRestart) transferRepeatedly() {
	h.transferAndFinish()
	h.program.loop.At(h.program.loop.Now().Add(transferInterval), h.transferRepeatedly)
}

// transferAndFinish sends a batch, and ends the process if no clients are left.
func (h *hotRestart) transferAndFinish() {
	h.transferNext()
	if h.isEmpty() && !h.sessions.pending() && !h.transfer.logged {
		h.program.loop.Stop()
		h.logTransfer()
	}
}

// transferNext sends a batch of open connections to the successor. Once the successor accepts no more connections, it
// migrates the remaining clients.
func (h *hotRestart) transferNext() {
	h.sessions.send() // a session's change must not arrive after its connection
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
	began := loop.Now()
	batch := h.nextBatch(began, descriptors)
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
			h.transfer.rejections = 0
		} else {
			h.transfer.onRejection(batch.connections)
		}
		loop.At(loop.Now(), h.transferAndFinish)
	})
	h.transfer.longestBatch = max(h.transfer.longestBatch, loop.Now().Sub(began))
}

// onRejection notes that the successor has rejected connections. It rejects a batch as a whole, so the connections of a
// batch are offered again one by one, and only those that it then rejects stay.
func (t *transfer) onRejection(connections []detachable) {
	if len(connections) > 1 {
		t.oneByOne = len(connections)
		t.queue = nil // so that these connections are found again
		return
	}
	if t.rejected == nil {
		t.rejected = map[detachable]struct{}{}
	}
	t.rejected[connections[0]] = struct{}{}
	t.rejections++
	if t.rejections >= maxRejections {
		t.active = false
	}
}

// nextBatch detaches connections from the loop until the batch is full, maxBatchTime is over or no transferable
// connections are left.
func (h *hotRestart) nextBatch(began time.Time, descriptors int) transferBatch {
	batch := transferBatch{descriptors: descriptors, maxConnections: maxBatchConnections}
	if h.transfer.oneByOne > 0 {
		h.transfer.oneByOne--
		batch.maxConnections = 1
	}
	hasSearched := false
	for !batch.full() && h.program.loop.Now().Sub(began) <= maxBatchTime {
		if len(h.transfer.queue) == 0 && !hasSearched {
			h.transfer.queue = h.transferables()
			hasSearched = true
		}
		if len(h.transfer.queue) == 0 {
			break
		}
		next := h.transfer.queue[0]
		h.transfer.queue = h.transfer.queue[1:]
		if _, rejected := h.transfer.rejected[next.detachable]; !rejected {
			batch.add(next)
		}
	}
	return batch
}

// transferables returns the connections that can be transferred now.
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

// migrateRest tells the remaining clients to reconnect. It does so only once.
func (h *hotRestart) migrateRest() {
	if h.transfer.migrated {
		return
	}
	h.transfer.migrated = true
	for _, core := range h.program.cores {
		core.MigrateRemaining()
	}
}

// isEmpty reports whether this process has no clients left, including clients whose answer is still being sent.
func (h *hotRestart) isEmpty() bool {
	for _, core := range h.program.cores {
		if core.InFlight() > 0 {
			return false
		}
	}
	return h.listenersClosed && h.program.loop.Idle() == 0
}

// logTransfer logs how many connections were transferred and migrated. It does so only once.
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
		zap.Int("bytes", h.transfer.sentBytes), zap.Duration("took", h.transfer.duration),
		zap.Int("session_changes", h.sessions.sent), zap.Int("session_changes_dropped", h.sessions.dropped()))
}
