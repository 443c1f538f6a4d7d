package node

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"spurwinch/internal/edge"
	"spurwinch/internal/operations/hotrestart"
	"spurwinch/internal/xmpp"
)

const (
	transferInterval = 20 * time.Millisecond // between looks for connections that can go meanwhile
	maxBatchTime     = time.Millisecond      // that the loop is away for one batch
	maxBatchBytes    = 256 << 10             // of one batch, but for a single connection with more
	connectionFDs    = 2                     // the most descriptors of a connection: its client's and its server's
)

// maxBatchConnections is the most connections of a batch; a variable, so that tests can lower it.
var maxBatchConnections = hotrestart.MostConnections

// connectionState is one connection as it is sent to another process.
type connectionState struct {
	Front   string                `cbor:"1,keyasint"`
	Cluster string                `cbor:"2,keyasint,omitempty"`
	Open    *edge.ConnectionState `cbor:"3,keyasint,omitempty"` // nil: it has not said yet what it wants
	State   cbor.RawMessage       `cbor:"4,keyasint"`           // what its front knows
}

// The names of fronts in a connectionState.
const (
	platformFront = "platform"
	xmppFront     = "xmpp"
)

// detachable is a connection that can go: Detach takes it off the loop, then it is reattached or released.
type detachable interface {
	Detach() (fds []int, state any, ok bool)
	Reattach()
	Release()
}

// transferable is a connection with the cluster that it is in; a client without a request is in none.
type transferable struct {
	detachable
	cluster string
}

// transferBatch is a batch of connections on its way to the successor.
type transferBatch struct {
	connections []detachable
	items       []hotrestart.TransferItem
	bytes       int
	descriptors int // that the successor has room for beyond the batch
}

// add takes a connection off the loop and into the batch, if it can go now.
func (b *transferBatch) add(connection transferable) {
	item, ok := detach(connection.detachable, connection.cluster)
	if !ok {
		return
	}
	b.connections = append(b.connections, connection.detachable)
	b.items = append(b.items, item)
	b.bytes += len(item.Body)
	b.descriptors -= len(item.FDs)
}

func (b *transferBatch) full() bool {
	return len(b.connections) >= maxBatchConnections || b.bytes > maxBatchBytes || b.descriptors < connectionFDs
}

// finish releases the connections that the successor has accepted, or has all of them go on here.
func (b *transferBatch) finish(accepted bool) {
	for _, connection := range b.connections {
		if accepted {
			connection.Release()
		} else {
			connection.Reattach()
		}
	}
}

// detach takes a connection off the loop and encodes what there is to know of it.
func detach(connection detachable, cluster string) (item hotrestart.TransferItem, ok bool) {
	sent := connectionState{Front: platformFront, Cluster: cluster}
	if request, isRequest := connection.(*edge.Request); isRequest {
		open, isOpen := request.ConnectionState()
		if !isOpen {
			return item, false
		}
		sent.Open = &open
	}
	fds, state, ok := connection.Detach()
	if !ok {
		return item, false
	}
	if _, isXMPP := state.(xmpp.Standing); isXMPP {
		sent.Front = xmppFront
	}
	body, err := sent.encode(state)
	if err != nil {
		zap.L().Error("connection_state_not_encoded", zap.Error(err))
		connection.Reattach()
		return item, false
	}
	return hotrestart.TransferItem{FDs: fds, Body: body}, true
}

// encode is the connection's form in a batch, with what its front knows.
func (c connectionState) encode(frontState any) (body []byte, err error) {
	if c.State, err = cbor.Marshal(frontState); err != nil {
		return nil, err
	}
	return cbor.Marshal(c)
}

// transferAll begins to send connections to the successor, and ends this process once nothing is left here.
func (h *hotRestart) transferAll() {
	h.transferring = true
	h.transferStart = h.program.loop.Now()
	h.coordinator.SendLearnedState(h.encodeLearnedState())
	h.transferRepeatedly()
}

// transferRepeatedly sends what can go meanwhile, now and then.
func (h *hotRestart) transferRepeatedly() {
	h.transferAndFinish()
	h.program.loop.At(h.program.loop.Now().Add(transferInterval), h.transferRepeatedly)
}

// transferAndFinish sends a batch, and ends the process if there is nothing left.
func (h *hotRestart) transferAndFinish() {
	h.transferNext()
	if h.isEmpty() && !h.reported {
		h.program.loop.Stop()
		h.logTransfer()
	}
}

// transferNext sends a batch of open connections to the successor; once it takes none, the rest is told to come again.
func (h *hotRestart) transferNext() {
	there, descriptors := h.coordinator.SuccessorAccepts()
	if !h.transferring || !there {
		h.transferring = false
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
			h.sent += len(batch.connections)
			h.sentBytes += batch.bytes
			h.transferTime = loop.Now().Sub(h.transferStart)
			h.raiseSuccessorQuota()
		} else {
			h.transferring = false
		}
		loop.At(loop.Now(), h.transferAndFinish)
	})
	h.longestBatch = max(h.longestBatch, loop.Now().Sub(begin))
}

// nextBatch takes connections off the loop until the batch is full, its time is over or there are no more.
func (h *hotRestart) nextBatch(begin time.Time, descriptors int) transferBatch {
	batch := transferBatch{descriptors: descriptors}
	searched := false
	for !batch.full() && h.program.loop.Now().Sub(begin) <= maxBatchTime {
		if len(h.queue) == 0 && !searched {
			h.queue = h.transferables()
			searched = true
		}
		if len(h.queue) == 0 {
			break
		}
		next := h.queue[0]
		h.queue = h.queue[1:]
		batch.add(next)
	}
	return batch
}

// transferables are the connections that can go now.
func (h *hotRestart) transferables() (all []transferable) {
	program := h.program
	for cluster, core := range program.coreByCluster {
		for _, request := range core.Transferable() {
			all = append(all, transferable{request, cluster})
		}
	}
	if program.platform != nil {
		for _, idle := range program.platform.front.Idle() {
			all = append(all, transferable{detachable: idle})
		}
	}
	if program.xmpp != nil {
		for _, idle := range program.xmpp.Idle() {
			all = append(all, transferable{detachable: idle})
		}
	}
	return all
}

// migrateRest has the clients that are left told to come again, once.
func (h *hotRestart) migrateRest() {
	if h.migrated {
		return
	}
	h.migrated = true
	for _, core := range h.program.cores {
		core.MigrateRemaining()
	}
}

// isEmpty reports whether this process holds nobody any more, not even one that has its answer on the way.
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
	if h.reported {
		return
	}
	h.reported = true
	migrated := 0
	for _, core := range h.program.cores {
		migrated += core.Migrated()
	}
	zap.L().Info("connections_transferred", zap.Int("given", h.sent), zap.Int("moved", migrated),
		zap.Int("bytes", h.sentBytes), zap.Duration("took", h.transferTime))
}
