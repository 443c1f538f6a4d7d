package choice

import (
	"math"
	"slices"
	"time"
)

// The table of servers: the servers that service discovery lists, and this node's state of each.

const (
	pollBackoff      = 250 * time.Millisecond // doubled with each consecutive failed poll
	maxPollDoublings = 5
)

// serverEntry is this node's state of one server. Fields of a struct type are managed by the methods of that type.
type serverEntry struct {
	Server
	hash         uint64
	kind         *serverKind
	own          ownLoad
	report       loadReport
	costs        costStats
	cost         float64 // load that a unit of connection load adds to the server
	baseWeight   float64 // weight before the controller's correction
	pid          pidState
	messageTime  time.Duration // last observed duration of a message on the server
	overloadedAt time.Duration // when the server was last seen overloaded; used if servers send no reports
	outlier      outlierState
	slowStart    tokenBucket // slow-start budget of this node, or of all nodes if this node owns the server
	checking     bool        // a health check is in flight
	// migrationCandidate may be migrated if the health check in flight fails or shows overload; nil: none.
	migrationCandidate *requestEntry
	reserved           ownerReservations // used if this node owns the server
	deniedUntil        time.Duration     // no reservation is requested from the server's owner before this time
}

// serverKind is what load reports have shown about the servers of one kind of machine (Server.Kind).
type serverKind struct {
	costs   costStats
	ownLoad float64 // this node's load on ready servers of the kind
	ready   float64 // number of ready servers of the kind
}

// findServer returns the entry of a server, or nil.
func (b *Balancer) findServer(id ServerID) *serverEntry {
	if i, ok := slices.BinarySearchFunc(b.servers, id, compareID); ok {
		return b.servers[i]
	}
	return nil
}

// applyList applies an update of the server list. If the list is unavailable, it schedules another poll.
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

// schedulePoll schedules another poll of service discovery after a backoff with a jitter of up to half of it. The
// backoff doubles with each failure, up to a quarter of Rules.MaxPollInterval, so that the polls stay within
// MaxPollInterval even if one more poll fails.
func (b *Balancer) schedulePoll() {
	b.failedPolls++
	backoff := min(b.settings.Rules.MaxPollInterval/4, pollBackoff<<min(b.failedPolls, maxPollDoublings))
	after := time.Duration((0.5 + b.random.Float64()) * float64(backoff))
	b.actions = append(b.actions, SetTimer{Token: timerPoll, After: after})
}

// mergeList applies the entries of a list. A server that is missing from a complete list is Gone. Its entry is removed
// once this node has no connection on it.
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

// mergeServer applies one entry. A restarted server is in slow start, and everything learned about its previous
// incarnation is discarded, except this node's load on it, a health check in flight and the peer requests that wait for
// that check.
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
			reserved:  ownerReservations{waiting: server.reserved.waiting},
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

// registeredSize returns a server's size, which is the same on all nodes. It returns 1 if the list has no sizes, or if
// it has live sizes, whose values may differ between nodes.
func (b *Balancer) registeredSize(server *serverEntry) float64 {
	if b.settings.Sizes == NominalSize {
		return server.Size
	}
	return 1
}

// selectLowest returns up to count servers with the lowest keys, lowest first. It leaves out servers with excludedKey.
// With the key -ln(u)/weight, where u is uniform between 0 and 1, this is weighted sampling without replacement
// (Efraimidis and Spirakis, 2006).
func selectLowest(servers []*serverEntry, count int, key func(*serverEntry) float64) (chosen []*serverEntry) {
	keys := make([]float64, 0, count+1)
	for _, server := range servers {
		k := key(server)
		if i, _ := slices.BinarySearch(keys, k); k < excludedKey && i < count {
			keys = slices.Insert(keys, i, k)
			keys = keys[:min(count, len(keys))]
			chosen = slices.Insert(chosen, i, server)
			chosen = chosen[:min(count, len(chosen))]
		}
	}
	return chosen
}

// excludedKey is the key of a server that must not be chosen.
var excludedKey = math.Inf(1)
