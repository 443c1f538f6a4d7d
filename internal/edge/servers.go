package edge

import (
	"cmp"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
)

// serverState is a server of the endpoint list with this node's state for it. The state of a server that is gone is
// kept while the server has requests or connections in flight.
type serverState struct {
	ServerEntry
	connectTime     time.Duration         // the shortest so far, as an estimate of the round trip; 0: unknown
	delayObservedAt time.Time             // when the balancer was last notified of a message delay at this server
	slow            bool                  // whether that delay was slow
	inFlight        int                   // current attempts and connections at this server
	drainingSince   time.Time             // when this node learned that it is draining or gone; zero: it is ready
	slowStartCalls  *invariant.CallWindow // attempts of this node in the current window; nil: no slow start
}

// UpdateServers applies an update of the endpoint list.
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
	c.notify(update) // before the cancellations below, so that no draining server gets a cancelled request again
	for _, server := range draining {
		c.cancelUnsent(server)
		if c.options.DrainPeriod > 0 {
			c.drainServer(server)
		}
	}
}

// updateServer applies one entry of the endpoint list, and reports whether the server begins to drain or is gone with
// this update.
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
	server.updateDrainingSince(now)
	return server, drains
}

// updateDrainingSince records when this node learned that a server is draining or gone.
func (s *serverState) updateDrainingSince(now time.Time) {
	switch {
	case s.State == choice.Ready:
		s.drainingSince = time.Time{}
	case s.drainingSince.IsZero():
		s.drainingSince = now
	}
}

// removeUnlisted marks servers that are missing from a full list as gone, and returns those that were ready until now.
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
		server.updateDrainingSince(now)
		if c.options.Observer != nil {
			c.options.Observer.ServerChanged(server.ServerEntry)
		}
	}
	return draining
}

// forgetGoneServers removes servers that are gone and have nothing in flight. The balancer has its own list.
func (c *Core) forgetGoneServers() {
	for id, server := range c.servers {
		if server.State == choice.Gone && server.inFlight == 0 {
			delete(c.servers, id)
		}
	}
}

// ListSourceChanged tells the core that the next endpoint list comes from another discovery service, whose servers may
// have started at any time.
func (c *Core) ListSourceChanged() { c.startTimes.sourceChanged() }

// correctStartTimes recalculates the start times of all servers except those in the update, after a correction of the
// clock offset, and returns the servers that it changed.
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

// Servers returns the servers that are not gone, sorted by id.
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

// AcceptsNew reports whether a server accepts new requests and is still the process that started at the given time.
func (c *Core) AcceptsNew(id choice.ServerID, started time.Duration) bool {
	server := c.servers[id]
	return server != nil && server.State == choice.Ready && server.Started == started
}

// InFlightOn returns the number of requests and connections that the core has at a server.
func (c *Core) InFlightOn(id choice.ServerID) int {
	if server := c.servers[id]; server != nil {
		return server.inFlight
	}
	return 0
}
