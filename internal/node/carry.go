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
	carryTick  = 20 * time.Millisecond // between looks for connections that stand meanwhile
	batchTime  = time.Millisecond      // that the loop is away for one batch
	batchBytes = 256 << 10             // of one batch, but for a single connection with more
)

// batchMost is the most connections of a batch.
var batchMost = handover.MostConnections

// carried is one connection as it's told to another process.
type carried struct {
	Front   string                `cbor:"1,keyasint"`
	Cluster string                `cbor:"2,keyasint,omitempty"`
	Open    *edge.ConnectionState `cbor:"3,keyasint,omitempty"` // nil: it has not said yet what it wants
	State   cbor.RawMessage       `cbor:"4,keyasint"`           // what its front knows
}

// carrier is a front's part in taking connections over.
type carrier interface {
	Hold(core *edge.Core, open *edge.ConnectionState, read func(into any) error, fds []int) (restore func(), err error)
}

const (
	platformFront = "platform"
	xmppFront     = "xmpp"
)

// bearer is a connection that can go: Lend takes it off the loop, then it returns or is released.
type bearer interface {
	Detach() (fds []int, state any, ok bool)
	Reattach()
	Release()
}

// lend takes a connection off the loop and tells what there is to know of it.
func lend(k bearer, cluster string) (p handover.TransferItem, ok bool) {
	c := carried{Cluster: cluster}
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
		zap.L().Error("connection_not_told", zap.Error(err))
		k.Reattach()
		return p, false
	}
	return p, true
}

// carry has what stands go to the other process, batch by batch, as long as there is any.
func (b *beside) carry() {
	there, room := b.place.SuccessorAccepts()
	if !b.carries || !there {
		if b.carries = false; !b.told { // what is left goes the other way
			b.told = true
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
	var batch []bearer
	var parcels []handover.TransferItem
	for looked := false; len(batch) < batchMost && size <= batchBytes && room >= 2 && l.Now().Sub(begin) <= batchTime; {
		if len(b.queue) == 0 && !looked {
			b.queue, looked = b.portable(), true
		}
		if len(b.queue) == 0 {
			break
		}
		k := b.queue[0]
		b.queue = b.queue[1:]
		if p, ok := lend(k.bearer, k.cluster); ok {
			size, room = size+len(p.Body), room-len(p.FDs)
			batch, parcels = append(batch, k.bearer), append(parcels, p)
		}
	}
	if len(batch) == 0 {
		return
	}
	defer func() { b.away = max(b.away, l.Now().Sub(begin)) }()
	b.place.Transfer(parcels, func(taken bool) {
		for _, k := range batch {
			if taken {
				k.Release()
			} else {
				k.Reattach()
			}
		}
		if taken {
			b.gave, b.size, b.took = b.gave+len(batch), b.size+size, l.Now().Sub(b.began)
			b.lendMore()
		} else {
			b.carries = false
		}
		l.At(l.Now(), b.give)
	})
}

// portable is a connection with the cluster that it's in.
type portable struct {
	bearer
	cluster string
}

// portable are the connections that can go now.
func (b *beside) portable() (all []portable) {
	p := b.program
	for name, core := range p.named {
		for _, r := range core.Transferable() {
			all = append(all, portable{r, name})
		}
	}
	if n := p.platform; n != nil {
		for _, i := range n.front.Idle() {
			all = append(all, portable{bearer: i})
		}
	}
	if p.xmpp != nil {
		for _, i := range p.xmpp.Idle() {
			all = append(all, portable{bearer: i})
		}
	}
	return all
}

// free is the number of descriptors of connections that this process has room for.
func (b *beside) free() int {
	if b.leaving {
		return 0
	}
	return b.own() - carrySpare - b.program.loop.Open()
}

// hold checks connections of another process, and takes them when it's told that they are this one's.
func (b *beside) hold(parcels []handover.TransferItem) (handover.PreparedBatch, error) {
	var all []func()
	for i, p := range parcels {
		var c carried
		err := handover.Decode(p.Body, &c)
		var restore func()
		if err == nil {
			restore, err = b.restores(c, p.FDs)
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
			b.got += len(all)
		},
		Abort: func() {
			for _, p := range parcels {
				loop.CloseAll(p.FDs)
			}
		},
	}, nil
}

// restores checks one connection; the function that it returns has it go on here.
func (b *beside) restores(c carried, fds []int) (func(), error) {
	p := b.program
	var front carrier
	switch {
	case c.Front == platformFront && p.platform != nil:
		front = p.platform.front
	case c.Front == xmppFront && p.xmpp != nil:
		front = p.xmpp
	default:
		return nil, fmt.Errorf("no front %q here", c.Front)
	}
	core := p.named[c.Cluster]
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

// nothingLeft reports whether this process holds nobody any more, not even one that has its answer on the way.
func (b *beside) nothingLeft() bool {
	for _, core := range b.program.cores {
		if core.InFlight() > 0 {
			return false
		}
	}
	return b.closed && b.program.loop.Idle() == 0
}

// giveAll begins to give connections to the process that takes over, and ends this one once nothing is left here.
func (b *beside) giveAll() {
	b.carries, b.began = true, b.program.loop.Now()
	b.place.SendLearnedState(b.learned())
	b.look()
}

// look gives what stands meanwhile, now and then.
func (b *beside) look() {
	b.give()
	l := b.program.loop
	l.At(l.Now().Add(carryTick), b.look)
}

func (b *beside) give() {
	if b.carry(); b.nothingLeft() && !b.gone {
		b.program.loop.Stop()
		b.report()
	}
}

// report logs what became of the connections, once.
func (b *beside) report() {
	if b.gone {
		return
	}
	b.gone = true
	moved := 0
	for _, core := range b.program.cores {
		moved += core.Migrated()
	}
	zap.L().Info("connections_handed_over", zap.Int("given", b.gave), zap.Int("moved", moved), zap.Int("bytes", b.size), zap.Duration("took", b.took))
}

// known is what a process knows beside its connections.
type known struct {
	Modules  map[string]choice.LearnedState `cbor:"1,keyasint"` // by the names of their clusters
	Sessions []resumable.Session            `cbor:"2,keyasint,omitempty"`
}

// mostSessions is how many sessions without a stream are told to another process; those with one go with it.
const mostSessions = 1000

// learned is what this process knows.
func (b *beside) learned() []byte {
	k := known{Modules: map[string]choice.LearnedState{}}
	for name, core := range b.program.named {
		k.Modules[name] = core.LearnedState()
	}
	if f := b.program.xmpp; f != nil {
		k.Sessions = f.Broken(mostSessions)
	}
	told, err := cbor.Marshal(k)
	if err != nil {
		zap.L().Error("learned_not_told", zap.Error(err))
	}
	return told
}

// inherit takes in what another process knows.
func (b *beside) inherit(told []byte) {
	var k known
	if err := cbor.Unmarshal(told, &k); err != nil {
		zap.L().Warn("learned_not_read", zap.Error(err))
		return
	}
	for name, l := range k.Modules {
		if core := b.program.named[name]; core != nil {
			core.ImportLearnedState(l)
		}
	}
	if f := b.program.xmpp; f != nil {
		f.Inherit(k.Sessions)
	}
}
