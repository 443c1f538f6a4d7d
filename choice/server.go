package choice

import (
	"math"
	"slices"
	"time"
)

// The table of servers: what discovery lists, and what this node knows of each entry.

const (
	pollBackoff      = 250 * time.Millisecond // doubled with each failed poll in a row
	maxPollDoublings = 5
)

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
	slowStart    tokenBucket // what this node may send it while it is in slow start; as its owner: what all nodes may
	checking     bool        // a health check is in flight
	// migrationCandidate is migrated if the health check in flight confirms that the server is overloaded; nil: none.
	migrationCandidate *requestEntry
	reserved           reservationBook // of a server that this node owns
	deniedUntil        time.Duration   // no reservation is requested from its owner until then
}

// serverKind is what load reports have shown of the servers of one kind of machine (Server.Kind).
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

// applyList applies an update of the server list, or has it polled again.
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

// schedulePoll polls discovery again after a backoff with jitter of half of it: it doubles with each failure, up to a
// quarter of Rules.MaxPollInterval, so that one failed poll more stays within that.
func (b *Balancer) schedulePoll() {
	b.failedPolls++
	backoff := min(b.settings.Rules.MaxPollInterval/4, pollBackoff<<min(b.failedPolls, maxPollDoublings))
	after := time.Duration((0.5 + b.random.Float64()) * float64(backoff))
	b.actions = append(b.actions, SetTimer{Token: timerPoll, After: after})
}

// mergeList applies the entries of a list. A server that a complete list does not name is Gone; its entry stays until
// none of this node's connections is on it.
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

// mergeServer applies one entry. A restarted server is in slow start, and what was learned of its last process is
// forgotten, but for this node's load there, its health check in flight and the peer requests that wait for that.
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
			slowStart: tokenBucket{tokens: b.random.Float64(), refilledAt: b.now},
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

// registeredSize is a server's size as all nodes know it; 1 where the list has no sizes, or live ones, of which nodes
// may know different values.
func (b *Balancer) registeredSize(server *serverEntry) float64 {
	if b.settings.Sizes == NominalSize {
		return server.Size
	}
	return 1
}

// lowest returns the servers with the lowest keys, count at most and lowest first, without those whose key is never.
// With the key -ln(u)/weight, u uniform between 0 and 1, this is weighted sampling without replacement (Efraimidis and
// Spirakis, 2006).
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
