package edge

import (
	"cmp"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
)

type host struct {
	ServerEntry
	network time.Duration // least time seen to connect: what a message takes on the way
	noted   time.Time     // when the module was last told of slow messages here
	slow    bool
	held    int                   // attempts and connections there now
	leaving time.Time             // since when it is known to drain or to be gone; zero: it serves
	calls   *invariant.CallWindow // what this node sent it since its start
}

// UpdateServers takes in news of the cluster.
func (c *Core) UpdateServers(kind choice.ListKind, hosts []ServerEntry) {
	l := choice.ServerList{Kind: kind}
	var leaving []*host
	heard, corrected := c.clock(c.o.Clock.Now()), false
	for _, h := range hosts {
		corrected = c.starts.hear(h.Server, heard) || corrected
	}
	for _, h := range hosts {
		h.SlowStartSince = c.starts.reckon(h.Started)
		l.Servers = append(l.Servers, h.Server)
		if k := c.hosts[h.ID]; c.o.Observer != nil && (k == nil || k.State != h.State || k.Started != h.Started) {
			c.o.Observer.ServerChanged(h)
		}
		k := c.hosts[h.ID]
		if k == nil {
			k = &host{ServerEntry: h}
			c.hosts[h.ID] = k
		} else {
			if k.Started != h.Started {
				k.slow, k.network, k.calls = false, 0, nil
			}
			left := k.State == choice.Ready && h.State != choice.Ready
			k.ServerEntry = h
			if left {
				leaving = append(leaving, k)
			}
		}
		k.noteState(c.o.Clock.Now())
	}
	if kind == choice.ListFull { // a host that a whole list doesn't name is gone
		named := map[choice.ServerID]bool{}
		for _, h := range hosts {
			named[h.ID] = true
		}
		for id, h := range c.hosts {
			if !named[id] && h.State != choice.Gone {
				ready := h.State == choice.Ready
				h.State = choice.Gone
				h.noteState(c.o.Clock.Now())
				if c.o.Observer != nil {
					c.o.Observer.ServerChanged(h.ServerEntry)
				}
				if ready {
					leaving = append(leaving, h)
				}
			}
		}
	}
	for id, h := range c.hosts { // the module is told once more what is gone; here nothing more comes of it
		if h.State == choice.Gone && h.held == 0 {
			delete(c.hosts, id)
		}
	}
	if kind == choice.ListFull || kind == choice.ListChange {
		c.starts.listed(heard, c.hosts)
	}
	if corrected && kind == choice.ListChange {
		l.Servers = append(l.Servers, c.reckonAgain(hosts)...)
	}
	c.tell(l) // first: what is called off goes to none of them
	for _, h := range leaving {
		c.callOff(h)
		if c.o.DrainPeriod > 0 {
			c.leave(h)
		}
	}
}

// ListSourceChanged says that the next list is another discovery's, whose hosts may have started at any time.
func (c *Core) ListSourceChanged() { c.starts.another() }

// reckonAgain has the starts of all hosts but those of a change be reckoned by a clock that was corrected, and gives those hosts.
func (c *Core) reckonAgain(change []ServerEntry) (all []choice.Server) {
	for _, h := range c.hosts {
		if slices.ContainsFunc(change, func(o ServerEntry) bool { return o.ID == h.ID }) || h.Started <= 0 {
			continue
		}
		h.SlowStartSince = c.starts.reckon(h.Started)
		all = append(all, h.Server)
	}
	slices.SortFunc(all, func(a, b choice.Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Servers are the hosts that are not gone, by id.
func (c *Core) Servers() []ServerEntry {
	var all []ServerEntry
	for _, h := range c.hosts {
		if h.State != choice.Gone {
			all = append(all, h.ServerEntry)
		}
	}
	slices.SortFunc(all, func(a, b ServerEntry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// AcceptsNew reports whether a host takes new requests, as the process that started then.
func (c *Core) AcceptsNew(id choice.ServerID, started time.Duration) bool {
	h := c.hosts[id]
	return h != nil && h.State == choice.Ready && h.Started == started
}

// InFlightOn counts the requests and connections that the core has at a host.
func (c *Core) InFlightOn(id choice.ServerID) int {
	if h := c.hosts[id]; h != nil {
		return h.held
	}
	return 0
}
