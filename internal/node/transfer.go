package node

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/operate/handover"
	resumable "spurwinch/internal/session"
	"spurwinch/internal/xmpp"
)

const (
	transferInterval = 20 * time.Millisecond // between looks for connections that stand meanwhile
	maxBatchTime     = time.Millisecond      // that the loop is away for one batch
	maxBatchBytes    = 256 << 10             // of one batch, but for a single connection with more
)

// maxBatchConnections is the most connections of a batch.
var maxBatchConnections = handover.MostConnections

// connectionState is one connection as it's told to another process.
type connectionState struct {
	Front   string                `cbor:"1,keyasint"`
	Cluster string                `cbor:"2,keyasint,omitempty"`
	Open    *edge.ConnectionState `cbor:"3,keyasint,omitempty"` // nil: it has not said yet what it wants
	State   cbor.RawMessage       `cbor:"4,keyasint"`           // what its front knows
}

// connectionRestorer is a front's part in taking connections over.
type connectionRestorer interface {
	Hold(core *edge.Core, open *edge.ConnectionState, read func(into any) error, fds []int) (restore func(), err error)
}

const (
	platformFront = "platform"
	xmppFront     = "xmpp"
)

// detachable is a connection that can go: Lend takes it off the loop, then it returns or is released.
type detachable interface {
	Detach() (fds []int, state any, ok bool)
	Reattach()
	Release()
}

// detach takes a connection off the loop and tells what there is to know of it.
func detach(k detachable, cluster string) (p handover.TransferItem, ok bool) {
	c := connectionState{Cluster: cluster}
	var state any
	if r, stands := k.(*edge.Request); stands {
		c.Open = &edge.ConnectionState{}
		*c.Open, ok = r.ConnectionState()
		if !ok {
			return p, false
		}
	}
	if p.FDs, state, ok = k.Detach(); !ok {
		return p, false
	}
	c.Front = platformFront
	if _, is := state.(xmpp.Standing); is {
		c.Front = xmppFront
	}
	var err error
	if c.State, err = cbor.Marshal(state); err == nil {
		p.Body, err = cbor.Marshal(c)
	}
	if err != nil {
		zap.L().Error("connection_state_not_encoded", zap.Error(err))
		k.Reattach()
		return p, false
	}
	return p, true
}

// transferBatch has what stands go to the other process, batch by batch, as long as there is any.
func (b *hotRestart) transferBatch() {
	there, room := b.coordinator.SuccessorAccepts()
	if !b.transferring || !there {
		if b.transferring = false; !b.migrated { // what is left goes the other way
			b.migrated = true
			for _, core := range b.program.cores {
				core.MigrateRemaining()
			}
		}
		return
	}
	if room == 0 {
		return
	}
	l := b.program.loop
	begin, size := l.Now(), 0
	var batch []detachable
	var parcels []handover.TransferItem
	for looked := false; len(batch) < maxBatchConnections && size <= maxBatchBytes && room >= 2 && l.Now().Sub(begin) <= maxBatchTime; {
		if len(b.queue) == 0 && !looked {
			b.queue, looked = b.transferables(), true
		}
		if len(b.queue) == 0 {
			break
		}
		k := b.queue[0]
		b.queue = b.queue[1:]
		if p, ok := detach(k.detachable, k.cluster); ok {
			size, room = size+len(p.Body), room-len(p.FDs)
			batch, parcels = append(batch, k.detachable), append(parcels, p)
		}
	}
	if len(batch) == 0 {
		return
	}
	defer func() { b.longestBatch = max(b.longestBatch, l.Now().Sub(begin)) }()
	b.coordinator.Transfer(parcels, func(taken bool) {
		for _, k := range batch {
			if taken {
				k.Release()
			} else {
				k.Reattach()
			}
		}
		if taken {
			b.sent, b.sentBytes, b.transferTime = b.sent+len(batch), b.sentBytes+size, l.Now().Sub(b.transferStart)
			b.raiseSuccessorQuota()
		} else {
			b.transferring = false
		}
		l.At(l.Now(), b.transferAndFinish)
	})
}

// transferable is a connection with the cluster that it's in.
type transferable struct {
	detachable
	cluster string
}

// transferables are the connections that can go now.
func (b *hotRestart) transferables() (all []transferable) {
	p := b.program
	for name, core := range p.coreByCluster {
		for _, r := range core.Transferable() {
			all = append(all, transferable{r, name})
		}
	}
	if n := p.platform; n != nil {
		for _, i := range n.front.Idle() {
			all = append(all, transferable{detachable: i})
		}
	}
	if p.xmpp != nil {
		for _, i := range p.xmpp.Idle() {
			all = append(all, transferable{detachable: i})
		}
	}
	return all
}

// freeDescriptors is the number of descriptors of connections that this process has room for.
func (b *hotRestart) freeDescriptors() int {
	if b.shuttingDown {
		return 0
	}
	return b.ownQuota() - transferReserve - b.program.loop.Open()
}

// prepareBatch checks connections of another process, and takes them when it's told that they are this one's.
func (b *hotRestart) prepareBatch(parcels []handover.TransferItem) (handover.PreparedBatch, error) {
	var all []func()
	for i, p := range parcels {
		var c connectionState
		err := handover.Decode(p.Body, &c)
		var restore func()
		if err == nil {
			restore, err = b.prepareRestore(c, p.FDs)
		}
		if err != nil {
			return handover.PreparedBatch{}, fmt.Errorf("connection %d: %w", i, err)
		}
		all = append(all, restore)
	}
	return handover.PreparedBatch{
		Commit: func() {
			for _, restore := range all {
				restore()
			}
			b.received += len(all)
		},
		Abort: func() {
			for _, p := range parcels {
				loop.CloseAll(p.FDs)
			}
		},
	}, nil
}

// prepareRestore checks one connection; the function that it returns has it go on here.
func (b *hotRestart) prepareRestore(c connectionState, fds []int) (func(), error) {
	p := b.program
	var front connectionRestorer
	switch {
	case c.Front == platformFront && p.platform != nil:
		front = p.platform.front
	case c.Front == xmppFront && p.xmpp != nil:
		front = p.xmpp
	default:
		return nil, fmt.Errorf("no front %q here", c.Front)
	}
	core := p.coreByCluster[c.Cluster]
	if c.Open != nil {
		if err := c.Open.Check(); err != nil {
			return nil, err
		}
		if core == nil {
			return nil, fmt.Errorf("no cluster %q here", c.Cluster)
		}
	}
	return front.Hold(core, c.Open, func(into any) error { return handover.Decode(c.State, into) }, fds)
}

// isEmpty reports whether this process holds nobody any more, not even one that has its answer on the way.
func (b *hotRestart) isEmpty() bool {
	for _, core := range b.program.cores {
		if core.InFlight() > 0 {
			return false
		}
	}
	return b.listenersClosed && b.program.loop.Idle() == 0
}

// transferAll begins to give connections to the process that takes over, and ends this one once nothing is left here.
func (b *hotRestart) transferAll() {
	b.transferring, b.transferStart = true, b.program.loop.Now()
	b.coordinator.SendLearnedState(b.encodeLearnedState())
	b.transferRepeatedly()
}

// transferRepeatedly gives what stands meanwhile, now and then.
func (b *hotRestart) transferRepeatedly() {
	b.transferAndFinish()
	l := b.program.loop
	l.At(l.Now().Add(transferInterval), b.transferRepeatedly)
}

func (b *hotRestart) transferAndFinish() {
	if b.transferBatch(); b.isEmpty() && !b.reported {
		b.program.loop.Stop()
		b.logTransfer()
	}
}

// logTransfer logs what became of the connections, once.
func (b *hotRestart) logTransfer() {
	if b.reported {
		return
	}
	b.reported = true
	moved := 0
	for _, core := range b.program.cores {
		moved += core.Migrated()
	}
	zap.L().Info("connections_transferred", zap.Int("given", b.sent), zap.Int("moved", moved), zap.Int("bytes", b.sentBytes), zap.Duration("took", b.transferTime))
}

// learnedState is what a process knows beside its connections.
type learnedState struct {
	Modules  map[string]choice.LearnedState `cbor:"1,keyasint"` // by the names of their clusters
	Sessions []resumable.Session            `cbor:"2,keyasint,omitempty"`
}

// maxSessions is how many sessions without a stream are told to another process; those with one go with it.
const maxSessions = 1000

// encodeLearnedState is what this process knows.
func (b *hotRestart) encodeLearnedState() []byte {
	k := learnedState{Modules: map[string]choice.LearnedState{}}
	for name, core := range b.program.coreByCluster {
		k.Modules[name] = core.LearnedState()
	}
	if f := b.program.xmpp; f != nil {
		k.Sessions = f.Broken(maxSessions)
	}
	told, err := cbor.Marshal(k)
	if err != nil {
		zap.L().Error("learned_state_not_encoded", zap.Error(err))
	}
	return told
}

// importLearnedState takes in what another process knows.
func (b *hotRestart) importLearnedState(told []byte) {
	var k learnedState
	if err := cbor.Unmarshal(told, &k); err != nil {
		zap.L().Warn("learned_state_not_decoded", zap.Error(err))
		return
	}
	for name, l := range k.Modules {
		if core := b.program.coreByCluster[name]; core != nil {
			core.ImportLearnedState(l)
		}
	}
	if f := b.program.xmpp; f != nil {
		f.Inherit(k.Sessions)
	}
}
