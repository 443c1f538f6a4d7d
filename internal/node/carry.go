package node

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/operate/handover"
	"spurwinch/internal/platform/downstream"
)

const (
	carryTick  = 20 * time.Millisecond // between looks for connections that stand meanwhile
	batchTime  = time.Millisecond      // that the loop is away for one batch
	batchBytes = 256 << 10             // of one batch, but for a single connection with more
)

// carried is one connection as it's told to another process.
type carried struct {
	Open  *edge.Standing      `cbor:"1,keyasint,omitempty"` // nil: it has not said yet what it wants
	Front downstream.Standing `cbor:"2,keyasint"`
}

// bearer is a connection that can go: Lend takes it off the loop, then it returns or is released.
type bearer interface {
	lend() (c carried, fds []int, ok bool)
	Return()
	Release()
}

type standing struct{ *edge.Request }

func (s standing) lend() (c carried, fds []int, ok bool) {
	from, fds, front, ok := s.Lend()
	if ok {
		c.Open, c.Front = &from, front.(downstream.Standing)
	}
	return c, fds, ok
}

type idle struct{ downstream.Idle }

func (i idle) lend() (c carried, fds []int, ok bool) {
	fds, front, ok := i.Lend()
	if ok {
		c.Front = front.(downstream.Standing)
	}
	return c, fds, ok
}

// carry has what stands go to the other process, batch by batch, as long as there is any.
func (b *beside) carry() {
	there, room := b.place.Takes()
	if !b.carries || !there {
		if b.carries = false; !b.told { // what is left goes the other way
			b.told = true
			for _, core := range b.program.cores {
				core.MoveRest()
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
	var parcels []handover.Parcel
	for _, k := range b.portable() {
		if len(batch) == handover.MostConnections || size > batchBytes || room < 2 || l.Now().Sub(begin) > batchTime {
			break
		}
		c, fds, ok := k.lend()
		if !ok {
			continue
		}
		body, err := cbor.Marshal(c)
		if err != nil {
			zap.L().Error("connection_not_told", zap.Error(err))
			k.Return()
			continue
		}
		size, room = size+len(body), room-len(fds)
		batch, parcels = append(batch, k), append(parcels, handover.Parcel{FDs: fds, Body: body})
	}
	if len(batch) == 0 {
		return
	}
	b.place.Give(parcels, func(taken bool) {
		for _, k := range batch {
			if taken {
				k.Release()
			} else {
				k.Return()
			}
		}
		if taken {
			b.gave += len(batch)
			b.lendMore()
		} else {
			b.carries = false
		}
		l.At(l.Now(), b.carry)
	})
}

// portable are the connections that can go now.
func (b *beside) portable() (all []bearer) {
	n := b.program.platform
	if n == nil {
		return nil
	}
	for _, r := range n.core.Carriable() {
		all = append(all, standing{r})
	}
	for _, i := range n.front.Idle() {
		all = append(all, idle{i})
	}
	return all
}

// free is the number of descriptors of connections that this process has room for.
func (b *beside) free() int {
	if b.leaving || b.program.platform == nil {
		return 0
	}
	return b.own() - carrySpare - b.program.loop.Open()
}

// hold checks connections of another process, and takes them when it's told that they are this one's.
func (b *beside) hold(parcels []handover.Parcel) (handover.Held, error) {
	n := b.program.platform
	if n == nil {
		return handover.Held{}, errors.New("no front takes it here")
	}
	all := make([]carried, len(parcels))
	for i, p := range parcels {
		c := &all[i]
		err := handover.Decode(p.Body, c)
		if err == nil {
			err = c.Front.Check(len(p.FDs))
		}
		if err == nil && c.Open != nil {
			err = c.Open.Check()
		}
		if err == nil && (c.Open != nil) != (c.Front.Host != nil) {
			err = errors.New("half a connection")
		}
		if err != nil {
			return handover.Held{}, fmt.Errorf("connection %d: %w", i, err)
		}
	}
	return handover.Held{
		Take: func() {
			for i, p := range parcels {
				if c := all[i]; c.Open != nil {
					n.front.Restore(*c.Open, c.Front, p.FDs)
				} else {
					n.front.RestoreIdle(c.Front, p.FDs[0])
				}
			}
			b.got += len(parcels)
		},
		Drop: func() {
			for _, p := range parcels {
				loop.CloseAll(p.FDs)
			}
		},
	}, nil
}

// nothingLeft reports whether this process holds nobody any more, not even one that has its answer on the way.
func (b *beside) nothingLeft() bool {
	for _, core := range b.program.cores {
		if core.Held() > 0 {
			return false
		}
	}
	return b.closed && b.program.loop.Idle() == 0
}

// giveAll begins to give connections to the process that takes over, and ends this one once nothing is left here.
func (b *beside) giveAll() {
	b.carries = true
	b.place.Tell(b.learned())
	for _, core := range b.program.cores {
		if n := b.program.platform; n == nil || core != n.core {
			core.MoveRest()
		}
	}
	var look func()
	look = func() {
		p := b.program
		if b.carry(); b.nothingLeft() {
			zap.L().Info("connections_given", zap.Int("connections", b.gave))
			p.loop.Stop()
			return
		}
		p.loop.At(p.loop.Now().Add(carryTick), look)
	}
	look()
}

// learned is what the modules of this process have found out, by the names of their clusters.
func (b *beside) learned() []byte {
	all := map[string]choice.Learned{}
	for name, core := range b.program.named {
		all[name] = core.Learned()
	}
	told, err := cbor.Marshal(all)
	if err != nil {
		zap.L().Error("learned_not_told", zap.Error(err))
	}
	return told
}

// inherit hands the modules what those of another process have found out.
func (b *beside) inherit(told []byte) {
	var all map[string]choice.Learned
	if err := cbor.Unmarshal(told, &all); err != nil {
		zap.L().Warn("learned_not_read", zap.Error(err))
		return
	}
	for name, l := range all {
		if core := b.program.named[name]; core != nil {
			core.Inherit(l)
		}
	}
}
