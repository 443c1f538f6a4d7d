package edge

import (
	"cmp"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
)

// serverState is a server of the endpoint list with what this node knows of it. One that is gone stays while anything
// of it is in flight.
type serverState struct {
	ServerEntry
	connectTime     time.Duration         // the least so far, as an estimate of the round trip; 0: not known
	delayObservedAt time.Time             // when the balancer was last notified of a message's delay here
	slow            bool                  // as it was notified then
	inFlight        int                   // attempts and connections there now
	drainingSince   time.Time             // since when it is known to drain or to be gone; zero: it serves
	slowStartCalls  *invariant.CallWindow // attempts of this node in the present window; nil: it is not in slow start
}

// UpdateServers takes in an update of the endpoint list.
func (c *Core) UpdateServers(kind choice.ListKind, list []ServerEntry) {
	now := c.options.Clock.Now()
	received := c.balancerTime(now)
	corrected := c.startTimes.observeAll(list, received)
	update := choice.ServerList{Kind: kind}
	var draining []*serverState
	for _, entry := range list {
		entry.SlowStartSince = c.startTimes.balancerTime(entry.Started)
		update.Servers = append(update.Servers, entry.Server)
		if server, drains := c.updateServer(entry, now); drains {
			draining = append(draining, server)
		}
	}
	if kind == choice.ListFull {
		draining = append(draining, c.removeUnlisted(list, now)...)
	}
	c.forgetGoneServers()
	if kind == choice.ListFull || kind == choice.ListChange {
		c.startTimes.listReceived(received, c.servers)
	}
	if corrected && kind == choice.ListChange {
		update.Servers = append(update.Servers, c.correctStartTimes(list)...)
	}
	c.notify(update) // first: what is cancelled below goes to none of them
	for _, server := range draining {
		c.cancelUnsent(server)
		if c.options.DrainPeriod > 0 {
			c.drainServer(server)
		}
	}
}

// updateServer takes in one entry of the list and reports whether its server begins to drain, or is gone, by it.
func (c *Core) updateServer(entry ServerEntry, now time.Time) (server *serverState, drains bool) {
	server = c.servers[entry.ID]
	observer := c.options.Observer
	if observer != nil && (server == nil || server.State != entry.State || server.Started != entry.Started) {
		observer.ServerChanged(entry)
	}
	if server == nil {
		server = &serverState{ServerEntry: entry}
		c.servers[entry.ID] = server
	} else {
		if server.Started != entry.Started {
			server.slow = false
			server.connectTime = 0
			server.slowStartCalls = nil
		}
		drains = server.State == choice.Ready && entry.State != choice.Ready
		server.ServerEntry = entry
	}
	server.noteState(now)
	return server, drains
}

// noteState notes since when a server is known to drain.
func (s *serverState) noteState(now time.Time) {
	switch {
	case s.State == choice.Ready:
		s.drainingSince = time.Time{}
	case s.drainingSince.IsZero():
		s.drainingSince = now
	}
}

// removeUnlisted marks the servers that a full list doesn't name as gone, and returns those that were serving until
// now.
func (c *Core) removeUnlisted(list []ServerEntry, now time.Time) (draining []*serverState) {
	listed := map[choice.ServerID]bool{}
	for _, entry := range list {
		listed[entry.ID] = true
	}
	for id, server := range c.servers {
		if listed[id] || server.State == choice.Gone {
			continue
		}
		if server.State == choice.Ready {
			draining = append(draining, server)
		}
		server.State = choice.Gone
		server.noteState(now)
		if c.options.Observer != nil {
			c.options.Observer.ServerChanged(server.ServerEntry)
		}
	}
	return draining
}

// forgetGoneServers drops the servers that are gone and have nothing in flight; the balancer has its own list.
func (c *Core) forgetGoneServers() {
	for id, server := range c.servers {
		if server.State == choice.Gone && server.inFlight == 0 {
			delete(c.servers, id)
		}
	}
}

// ListSourceChanged says that the next list is of another discovery service, whose servers may have started at any
// time.
func (c *Core) ListSourceChanged() { c.startTimes.sourceChanged() }

// correctStartTimes computes the starts of all servers but those of an update anew, by a clock offset that was
// corrected, and returns these servers.
func (c *Core) correctStartTimes(update []ServerEntry) (corrected []choice.Server) {
	for _, server := range c.servers {
		inUpdate := slices.ContainsFunc(update, func(entry ServerEntry) bool { return entry.ID == server.ID })
		if inUpdate || server.Started <= 0 {
			continue
		}
		server.SlowStartSince = c.startTimes.balancerTime(server.Started)
		corrected = append(corrected, server.Server)
	}
	slices.SortFunc(corrected, func(a, b choice.Server) int { return cmp.Compare(a.ID, b.ID) })
	return corrected
}

// Servers are the servers that are not gone, by id.
func (c *Core) Servers() []ServerEntry {
	var all []ServerEntry
	for _, server := range c.servers {
		if server.State != choice.Gone {
			all = append(all, server.ServerEntry)
		}
	}
	slices.SortFunc(all, func(a, b ServerEntry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// AcceptsNew reports whether a server takes new requests, as the process that started then.
func (c *Core) AcceptsNew(id choice.ServerID, started time.Duration) bool {
	server := c.servers[id]
	return server != nil && server.State == choice.Ready && server.Started == started
}

// InFlightOn counts the requests and connections that the core has at a server.
func (c *Core) InFlightOn(id choice.ServerID) int {
	if server := c.servers[id]; server != nil {
		return server.inFlight
	}
	return 0
}
