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
	grantTimeout     = 500 * time.Millisecond // for what a running process lends; it answers within a round of its loop
	grantDivisor     = 4                      // a starting process gets the free descriptors but for this part of them
	quotaInterval    = 100 * time.Millisecond // between looks at what an emptying process can lend further
	unaskedShareTime = 10 * time.Second       // that a process which can't be asked is taken to be still there
	shutdownReserve  = 16                     // descriptors beside clients and hosts that a leaving process needs: the loop's, listeners, the log
	transferReserve  = 32                     // and one that takes connections over: its probes, and room for new clients
)

// hotRestart is this process's part in the node that it makes up with one started before or after it: what was lent, and
// how the two share the node's descriptors and memory.
type hotRestart struct {
	program         *Program
	grant           *handover.Grant       // by the running process; nil: a start like any other
	coordinator     *handover.Coordinator // nil: nobody finds this process
	listeners       map[string]*loop.Listener
	maxDescriptors  int       // descriptors that the node may hold; 0: not told
	memoryMB        int       // MB; 0: not told
	sharedUntil     time.Time // another process is there till then that can't be asked
	shuttingDown    bool
	listenersClosed bool // accepting has ended: the clients are another process's
	transferring    bool // connections go to the other process
	migrated        bool // what could not go that way goes the other
	sent, received  int  // connections given and taken
	queue           []transferable
	reported        bool          // all were given, and this process ends
	transferStart   time.Time     // giving
	transferTime    time.Duration // to the last one given
	longestBatch    time.Duration // that the loop was away for one batch, at the most
	sentBytes       int           // bytes of what was told of those given
}

// requestGrant asks a process that runs already for what it lends, where there is one.
func (b *hotRestart) requestGrant(path string) {
	b.listeners = map[string]*loop.Listener{}
	if path == "" {
		return
	}
	var err error
	switch b.grant, err = handover.RequestGrant(path, time.Now().Add(grantTimeout)); {
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED):
		zap.L().Debug("hot_restart_no_predecessor", zap.Error(err))
	case err != nil:
		zap.L().Warn("hot_restart_grant_failed", zap.String("place", path), zap.Error(err))
	default:
		zap.L().Info("hot_restart_grant_received", zap.Int("sockets", len(b.grant.Sockets)), zap.Int("hosts", len(b.grant.List.Servers)), zap.Int("descriptors", b.grant.DescriptorQuota))
	}
}

// initialList is the list to begin with: the running process's where there is one, since what was told to it was told to the node.
func (b *hotRestart) initialList(own *cluster.List, discovery string) *cluster.List {
	if b.grant == nil || len(b.grant.List.Servers) == 0 {
		return own
	}
	l := b.grant.List
	if l.Full = true; b.grant.Discovery != discovery {
		l.Version = -1
	}
	return &l
}

// listen opens a client listener: the running process's own socket where it has lent it, else one of this process.
func (b *hotRestart) listen(addr string, accept func(*loop.Conn) loop.Handler) (*loop.Listener, error) {
	l := b.program.loop
	if b.grant != nil {
		if fd, ok := b.grant.Sockets[addr]; ok {
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
		b.sharedUntil = time.Now().Add(unaskedShareTime)
		zap.L().Warn("listener_shared_without_grant", zap.String("address", addr), zap.Duration("shared_for", unaskedShareTime))
	}
	return k, nil
}

// open takes this process's place for the next one, once all is set up.
func (b *hotRestart) open(path string) {
	if path != "" {
		b.coordinator = handover.NewCoordinator(handover.Options{Loop: b.program.loop, Path: path, Grant: b.newGrant, Changed: b.onCoordinatorChanged,
			TransferHandler: handover.TransferHandler{FreeDescriptors: b.freeDescriptors, Prepare: b.prepareBatch, Learned: b.importLearnedState}}, b.grant)
	}
	if b.grant != nil && len(b.grant.Learned) > 0 {
		b.importLearnedState(b.grant.Learned)
	}
	if !b.sharedUntil.IsZero() {
		b.program.loop.At(b.sharedUntil, func() {
			b.sharedUntil = time.Time{}
			b.applyQuota()
		})
	}
	b.applyQuota()
}

// newGrant tells what the process gets that asks.
func (b *hotRestart) newGrant() handover.Grant {
	p := b.program
	what := handover.Grant{Sockets: map[string]int{}, Datagrams: -1}
	if !b.listenersClosed { // else they are closed here, and another's already
		for addr, k := range b.listeners {
			what.Sockets[addr] = k.FD()
		}
	}
	if n := p.platform; n != nil {
		var version int64
		what.Discovery, version = n.listWatch.At()
		what.List = cluster.ListOf(version, n.core.Servers())
		if n.peers.socket != nil {
			what.Datagrams = n.peers.socket.FD()
		}
	}
	what.Learned = b.encodeLearnedState()
	own := b.ownQuota()
	what.DescriptorQuota = b.spareDescriptors(own)
	what.DescriptorQuota -= what.DescriptorQuota / grantDivisor
	return what
}

// spareDescriptors is what this process can lend of own: what it doesn't hold, and in a crowd of idle connections, which may go for
// others, up to half.
func (b *hotRestart) spareDescriptors(own int) int {
	l := b.program.loop
	unused := own - reservedDescriptors - l.Open()
	if b.shuttingDown {
		unused = own - shutdownReserve - l.Open()
	}
	return max(unused, min(own/2, unused+l.Idle()), 0)
}

// setLimits takes in what the node may hold.
func (b *hotRestart) setLimits(n config.Node) {
	if b.maxDescriptors, b.memoryMB = n.Sockets, n.MemoryMB; b.maxDescriptors <= 0 {
		b.maxDescriptors = defaultDescriptors
	}
	b.program.loop.Limit(0, b.maxDescriptors, int64(b.memoryMB)<<20)
	b.applyQuota()
}

// groupQuota is the number of descriptors that this process and those it lends to may hold.
func (b *hotRestart) groupQuota() int {
	switch {
	case b.coordinator != nil && b.coordinator.HasPredecessor():
		return min(b.maxDescriptors, b.coordinator.DescriptorQuota())
	case !b.sharedUntil.IsZero():
		return b.maxDescriptors / 2
	}
	return b.maxDescriptors
}

// ownQuota is the number of descriptors that this process may hold.
func (b *hotRestart) ownQuota() int {
	if b.coordinator == nil {
		return b.groupQuota()
	}
	return b.groupQuota() - b.coordinator.GrantedQuota()
}

// applyQuota keeps to this process's part of the node: all of it when it is alone.
func (b *hotRestart) applyQuota() {
	p := b.program
	linked, ready := false, false
	alone := b.sharedUntil.IsZero()
	if b.coordinator != nil {
		linked, ready = b.coordinator.Successor()
		alone = alone && !linked && !b.coordinator.HasPredecessor()
	}
	if b.memoryMB > 0 { // the collector works harder well before the node would be killed
		limit := int64(b.memoryMB) << 20 * 6 / 10
		if !alone {
			limit /= 2
		}
		debug.SetMemoryLimit(limit)
	}
	if b.shuttingDown && (ready || linked && !p.ready()) {
		b.listenersClosed = true
		for _, k := range b.listeners {
			k.Close()
		}
	}
	if n := p.platform; n != nil {
		most := max(b.ownQuota()-reservedDescriptors, 0)
		n.front.Share(most)
		n.upstream.KeepHealthChecks(max(most/healthCheckDivisor, 1))
		if b.listenersClosed { // nobody comes here any more, and those that have said nothing yet go to the other process
			p.loop.SetIdleLimit(0)
		} else {
			p.loop.SetIdleLimit(max(most-b.ownQuota()/8, 1))
		}
		parts := 1
		if !alone {
			parts = 2
		}
		if n.processes != parts {
			n.applySettings(parts)
		}
		// Whoever is to take the clients hears the other nodes, too.
		n.peers.setReading(!ready && !(b.coordinator != nil && b.coordinator.HasPredecessor() && !p.ready()))
	}
}

// shutdown begins the planned stop, and reports whether another process takes the clients over.
func (b *hotRestart) shutdown() bool {
	b.shuttingDown = true
	ready := false
	if b.coordinator != nil {
		_, ready = b.coordinator.Successor()
		b.coordinator.Close()
		b.raiseQuotaRepeatedly()
	}
	for _, k := range b.listeners {
		k.PreferNewest()
	}
	b.applyQuota()
	return ready
}

// raiseQuotaRepeatedly lends on what this process needs no more, as its connections go.
func (b *hotRestart) raiseQuotaRepeatedly() {
	b.raiseSuccessorQuota()
	b.applyQuota()
	b.program.loop.At(b.program.loop.Now().Add(quotaInterval), b.raiseQuotaRepeatedly)
}

func (b *hotRestart) raiseSuccessorQuota() {
	if linked, _ := b.coordinator.Successor(); linked {
		b.coordinator.RaiseQuota(b.groupQuota(), b.groupQuota()-b.spareDescriptors(b.groupQuota()))
	}
}

func (b *hotRestart) onCoordinatorChanged() {
	b.applyQuota()
	if b.transferring {
		l := b.program.loop
		l.At(l.Now(), b.transferAndFinish)
	}
}
