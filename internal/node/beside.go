package node

import (
	"errors"
	"io/fs"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/config"
	"spurwinch/internal/loop"
	"spurwinch/internal/operate/handover"
	"spurwinch/internal/platform/cluster"
)

const (
	askTime    = 500 * time.Millisecond // for what a running process lends; it answers within a round of its loop
	lentPart   = 4                      // a starting process gets the free descriptors but for this part of them
	sharesTick = 100 * time.Millisecond // between looks at what an emptying process can lend further
	alongside  = 10 * time.Second       // that a process which can't be asked is taken to be still there
	leftSpare  = 16                     // descriptors beside clients and hosts that a leaving process needs: the loop's, listeners, the log
	carrySpare = 32                     // and one that takes connections over: its probes, and room for new clients
)

// beside is this process's part in the node that it makes up with one started before or after it: what was lent, and
// how the two share the node's descriptors and memory.
type beside struct {
	program   *Program
	lent      *handover.Grant       // by the running process; nil: a start like any other
	place     *handover.Coordinator // nil: nobody finds this process
	listeners map[string]*loop.Listener
	total     int       // descriptors that the node may hold; 0: not told
	memory    int       // MB; 0: not told
	until     time.Time // another process is there till then that can't be asked
	leaving   bool
	closed    bool // accepting has ended: the clients are another process's
	carries   bool // connections go to the other process
	told      bool // what could not go that way goes the other
	gave, got int  // connections given and taken
	queue     []portable
	gone      bool          // all were given, and this process ends
	began     time.Time     // giving
	took      time.Duration // to the last one given
	away      time.Duration // that the loop was away for one batch, at the most
	size      int           // bytes of what was told of those given
}

// ask asks a process that runs already for what it lends, where there is one.
func (b *beside) ask(path string) {
	b.listeners = map[string]*loop.Listener{}
	if path == "" {
		return
	}
	var err error
	switch b.lent, err = handover.RequestGrant(path, time.Now().Add(askTime)); {
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED):
		zap.L().Debug("nobody_to_take_over_from", zap.Error(err))
	case err != nil:
		zap.L().Warn("nothing_handed_over", zap.String("place", path), zap.Error(err))
	default:
		zap.L().Info("handed_over", zap.Int("sockets", len(b.lent.Sockets)), zap.Int("hosts", len(b.lent.List.Servers)), zap.Int("descriptors", b.lent.DescriptorQuota))
	}
}

// known is the list to begin with: the running process's where there is one, since what was told to it was told to the node.
func (b *beside) known(own *cluster.List, discovery string) *cluster.List {
	if b.lent == nil || len(b.lent.List.Servers) == 0 {
		return own
	}
	l := b.lent.List
	if l.Full = true; b.lent.Discovery != discovery {
		l.Version = -1
	}
	return &l
}

// listen opens a client listener: the running process's own socket where it has lent it, else one of this process.
func (b *beside) listen(addr string, accept func(*loop.Conn) loop.Handler) (*loop.Listener, error) {
	l := b.program.loop
	if b.lent != nil {
		if fd, ok := b.lent.Sockets[addr]; ok {
			k, err := l.Adopt(fd, accept)
			if err == nil {
				b.listeners[addr] = k
			}
			return k, err
		}
	}
	k, err := l.Listen(addr, accept)
	if err != nil {
		return nil, err
	}
	b.listeners[addr] = k
	if k.ReusePort {
		b.until = time.Now().Add(alongside)
		zap.L().Warn("started_beside_unasked", zap.String("address", addr), zap.Duration("shared_for", alongside))
	}
	return k, nil
}

// open takes this process's place for the next one, once all is set up.
func (b *beside) open(path string) {
	if path != "" {
		b.place = handover.NewCoordinator(handover.Options{Loop: b.program.loop, Path: path, Grant: b.lend, Changed: b.changed,
			TransferHandler: handover.TransferHandler{FreeDescriptors: b.free, Prepare: b.hold, Learned: b.inherit}}, b.lent)
	}
	if b.lent != nil && len(b.lent.Learned) > 0 {
		b.inherit(b.lent.Learned)
	}
	if !b.until.IsZero() {
		b.program.loop.At(b.until, func() {
			b.until = time.Time{}
			b.share()
		})
	}
	b.share()
}

// lend tells what the process gets that asks.
func (b *beside) lend() handover.Grant {
	p := b.program
	what := handover.Grant{Sockets: map[string]int{}, Datagrams: -1}
	if !b.closed { // else they are closed here, and another's already
		for addr, k := range b.listeners {
			what.Sockets[addr] = k.FD()
		}
	}
	if n := p.platform; n != nil {
		var version int64
		what.Discovery, version = n.watch.At()
		what.List = cluster.ListOf(version, n.core.Servers())
		if n.others.socket != nil {
			what.Datagrams = n.others.socket.FD()
		}
	}
	what.Learned = b.learned()
	own := b.own()
	what.DescriptorQuota = b.spare(own)
	what.DescriptorQuota -= what.DescriptorQuota / lentPart
	return what
}

// spare is what this process can lend of own: what it doesn't hold, and in a crowd of idle connections, which may go for
// others, up to half.
func (b *beside) spare(own int) int {
	l := b.program.loop
	unused := own - spareSockets - l.Open()
	if b.leaving {
		unused = own - leftSpare - l.Open()
	}
	return max(unused, min(own/2, unused+l.Idle()), 0)
}

// limits takes in what the node may hold.
func (b *beside) limits(n config.Node) {
	if b.total, b.memory = n.Sockets, n.MemoryMB; b.total <= 0 {
		b.total = defaultSockets
	}
	b.program.loop.Limit(0, b.total, int64(b.memory)<<20)
	b.share()
}

// all is the number of descriptors that this process and those it lends to may hold.
func (b *beside) all() int {
	switch {
	case b.place != nil && b.place.HasPredecessor():
		return min(b.total, b.place.DescriptorQuota())
	case !b.until.IsZero():
		return b.total / 2
	}
	return b.total
}

// own is the number of descriptors that this process may hold.
func (b *beside) own() int {
	if b.place == nil {
		return b.all()
	}
	return b.all() - b.place.GrantedQuota()
}

// share keeps to this process's part of the node: all of it when it is alone.
func (b *beside) share() {
	p := b.program
	linked, ready := false, false
	alone := b.until.IsZero()
	if b.place != nil {
		linked, ready = b.place.Successor()
		alone = alone && !linked && !b.place.HasPredecessor()
	}
	if b.memory > 0 { // the collector works harder well before the node would be killed
		limit := int64(b.memory) << 20 * 6 / 10
		if !alone {
			limit /= 2
		}
		debug.SetMemoryLimit(limit)
	}
	if b.leaving && (ready || linked && !p.ready()) {
		b.closed = true
		for _, k := range b.listeners {
			k.Close()
		}
	}
	if n := p.platform; n != nil {
		most := max(b.own()-spareSockets, 0)
		n.front.Share(most)
		n.hosts.KeepHealthChecks(max(most/probePart, 1))
		if b.closed { // nobody comes here any more, and those that have said nothing yet go to the other process
			p.loop.SetIdleLimit(0)
		} else {
			p.loop.SetIdleLimit(max(most-b.own()/8, 1))
		}
		parts := 1
		if !alone {
			parts = 2
		}
		if n.parts != parts {
			n.adapt(parts)
		}
		// Whoever is to take the clients hears the other nodes, too.
		n.others.hear(!ready && !(b.place != nil && b.place.HasPredecessor() && !p.ready()))
	}
}

// leave begins the planned stop, and reports whether another process takes the clients over.
func (b *beside) leave() bool {
	b.leaving = true
	ready := false
	if b.place != nil {
		_, ready = b.place.Successor()
		b.place.Close()
		b.empty()
	}
	for _, k := range b.listeners {
		k.PreferNewest()
	}
	b.share()
	return ready
}

// empty lends on what this process needs no more, as its connections go.
func (b *beside) empty() {
	b.lendMore()
	b.share()
	b.program.loop.At(b.program.loop.Now().Add(sharesTick), b.empty)
}

func (b *beside) lendMore() {
	if linked, _ := b.place.Successor(); linked {
		b.place.RaiseQuota(b.all(), b.all()-b.spare(b.all()))
	}
}

func (b *beside) changed() {
	b.share()
	if b.carries {
		l := b.program.loop
		l.At(l.Now(), b.give)
	}
}
