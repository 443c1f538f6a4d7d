package choice

import (
	"math"
	"slices"
	"time"
)

// The table of servers: what discovery lists, and what this node knows of each entry.

// serverEntry is what this node knows of one server. Each of its states is owned by the methods of its type.
type serverEntry struct {
	Server
	hash         uint64
	kind         *serverKind
	own          ownLoad
	report       loadReport
	costs        costStats
	cost         float64 // load that a unit of connection load puts on it
	baseWeight   float64 // before the controller corrects it
	pid          pidState
	messageTime  time.Duration // the last that a message was seen to take here
	overloadedAt time.Duration // when it was last seen overloaded, where servers report nothing
	outlier      outlierState
	slowStart    credit // what this node may still send while it is in slow start, in mean connections
	checking     bool   // a health check is out
	// migrating may be migrated once a health check confirms that the server is overloaded.
	migrating   *requestEntry
	reserved    reservationBook // of a server that this node owns
	deniedUntil time.Duration   // its owner is not asked for a reservation until then
}

// serverKind is what reports said of a kind of machine.
type serverKind struct {
	costs   costStats
	ownLoad float64 // this node's load on ready servers of the kind
	ready   float64 // their count
}

// findServer returns the entry of a server, or nil.
func (b *Balancer) findServer(id ServerID) *serverEntry {
	if i, ok := slices.BinarySearchFunc(b.servers, id, compareID); ok {
		return b.servers[i]
	}
	return nil
}

// applyList takes in an update of the server list, or has it polled again.
func (b *Balancer) applyList(list ServerList) {
	if list.Kind == ListUnavailable {
		b.schedulePoll()
		return
	}
	if list.Kind != ListCached {
		b.failedPolls = 0
	}
	b.mergeList(list)
	b.updateCosts()
}

// schedulePoll polls discovery again after a backoff with jitter, early enough for Rules.MaxPollInterval after some
// failures.
func (b *Balancer) schedulePoll() {
	b.failedPolls++
	backoff := min(b.settings.Rules.MaxPollInterval/4, 250*time.Millisecond<<min(b.failedPolls, 5))
	after := time.Duration((0.5 + b.random.Float64()) * float64(backoff))
	b.actions = append(b.actions, SetTimer{Token: timerPoll, After: after})
}

// mergeList takes in the entries of a list. A server that a complete list does not name is gone.
func (b *Balancer) mergeList(list ServerList) {
	if list.Kind != ListChange {
		for _, server := range b.servers {
			server.State = Gone
		}
	}
	for _, listed := range list.Servers {
		b.mergeServer(listed)
	}
	b.servers = slices.DeleteFunc(b.servers, func(server *serverEntry) bool {
		return server.State == Gone && server.own.load < negligibleLoad
	})
}

// mergeServer takes in one entry. A restarted process is in slow start, and what was learned of the one before it is
// forgotten, but for what this node has there and has under way.
func (b *Balancer) mergeServer(listed Server) {
	i, found := slices.BinarySearchFunc(b.servers, listed.ID, compareID)
	if !found {
		b.servers = slices.Insert(b.servers, i, &serverEntry{hash: mix(hashOf(string(listed.ID)))})
	}
	server := b.servers[i]
	if !found || server.Started != listed.Started {
		*server = serverEntry{
			hash:      server.hash,
			own:       ownLoad{load: server.own.load},
			slowStart: credit{amount: b.random.Float64(), at: b.now},
			reserved:  reservationBook{waiting: server.reserved.waiting},
			checking:  server.checking,
		}
	}
	server.Server = listed
	if !(listed.Size > 0) || !finite(listed.Size) {
		server.Size = 1
	}
	server.kind = b.kinds[listed.Kind]
	if server.kind == nil {
		server.kind = &serverKind{}
		b.kinds[listed.Kind] = server.kind
		b.kindOrder = append(b.kindOrder, server.kind)
	}
}

// registeredSize is a server's size as all nodes know it; 1 where the list has no sizes, or sizes that move with the
// load.
func (b *Balancer) registeredSize(server *serverEntry) float64 {
	if b.settings.Sizes == NominalSize {
		return server.Size
	}
	return 1
}

// lowest is the count servers with the lowest keys, lowest first; one whose key is never is not among them.
func lowest(servers []*serverEntry, count int, key func(*serverEntry) float64) (chosen []*serverEntry) {
	keys := make([]float64, 0, count+1)
	for _, server := range servers {
		k := key(server)
		if i, _ := slices.BinarySearch(keys, k); k < never && i < count {
			keys = slices.Insert(keys, i, k)
			keys = keys[:min(count, len(keys))]
			chosen = slices.Insert(chosen, i, server)
			chosen = chosen[:min(count, len(chosen))]
		}
	}
	return chosen
}

// never is the key of a server that must not be chosen.
var never = math.Inf(1)
