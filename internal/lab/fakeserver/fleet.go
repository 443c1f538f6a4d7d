// Package fakeserver simulates the environment of a node on loopback sockets, as a fleet description specifies it:
// servers that speak the platform's protocol, the endpoint lists and the session store. Package planner models load as
// continuous flows and averages. Here, in contrast, each server works through individual jobs on its cores, and answers
// a line when the job of that line would be done.
package fakeserver

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"spurwinch/internal/plan/fleet"
)

// listHeaderTimeout limits how long the endpoint list waits for the header of a request.
const listHeaderTimeout = 5 * time.Second

// States of a server in the endpoint list.
const (
	stateServing = "SERVING"
	stateDeleted = "DELETED"
)

// Stats counts what happened to the servers.
type Stats struct {
	Sheds      int // connections that servers have shed
	Overloaded int // servers that failed in slow start
}

// Fleet is a fake fleet: servers, session store, and an endpoint list for the nodes of each zone.
type Fleet struct {
	Description *fleet.Fleet
	Start       time.Time
	Servers     []*Server

	seed  uint64
	store *sessionStore
	lists []*http.Server // servers of the endpoint lists, by zone
	addrs []string       // addresses of the endpoint lists, by zone
	stop  chan struct{}

	mu      sync.Mutex // guards the fields below
	stats   Stats
	version int64             // of the endpoint list
	states  map[string]string // by server ID
	changed chan struct{}     // closed and replaced when the list changes
}

// New starts the servers and endpoint lists of a fleet on free loopback ports.
func New(description *fleet.Fleet, seed uint64, allSlowStart bool) (*Fleet, error) {
	started := &Fleet{
		Description: description,
		Start:       time.Now(),
		seed:        seed,
		store:       &sessionStore{store: description.Store},
		version:     1,
		states:      map[string]string{},
		changed:     make(chan struct{}),
		stop:        make(chan struct{}),
	}
	for _, pool := range description.ServerPools {
		if err := started.startServers(pool, allSlowStart); err != nil {
			started.Close()
			return nil, err
		}
	}
	for zone := range description.Zones {
		if err := started.startList(zone); err != nil {
			started.Close()
			return nil, err
		}
	}
	go started.advanceServers()
	return started, nil
}

func (f *Fleet) startServers(pool fleet.ServerPool, allSlowStart bool) error {
	for range pool.Count {
		index := len(f.Servers)
		id := fmt.Sprintf("s-%04d", index)
		kind := f.Description.MachineKind(pool.Kind)
		zone := f.Description.ZoneIndex(pool.Zone)
		server, err := f.newServer(id, kind, zone, pool.WarmingUp || allSlowStart, f.seed*1009+uint64(index))
		if err != nil {
			return err
		}
		f.Servers = append(f.Servers, server)
		f.states[id] = stateServing
	}
	return nil
}

// startList serves the endpoint list to the nodes of a zone.
func (f *Fleet) startList(zone int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	handler := func(w http.ResponseWriter, r *http.Request) { f.serveList(w, r, zone) }
	list := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: listHeaderTimeout}
	f.lists = append(f.lists, list)
	f.addrs = append(f.addrs, listener.Addr().String())
	go func() { _ = list.Serve(listener) }() // returns an error when the fleet is closed
	return nil
}

// advanceServers updates the servers at each tick until the fleet is closed.
func (f *Fleet) advanceServers() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, server := range f.Servers {
				server.advance(now)
			}
		case <-f.stop:
			return
		}
	}
}

// Discovery returns the address where the nodes of a zone request their endpoint list.
func (f *Fleet) Discovery(zone int) string { return f.addrs[zone] }

func (f *Fleet) updateStats(update func(*Stats)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(&f.stats)
}

// Stats returns the counts so far.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// removeFromList removes a killed server from the endpoint list after the discovery delay.
func (f *Fleet) removeFromList(server *Server) {
	time.AfterFunc(time.Duration(f.Description.Discovery.Delay), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.states[server.ID] = stateDeleted
		f.version++
		close(f.changed)
		f.changed = make(chan struct{})
	})
}

// Entries returns the endpoint list for the nodes of a zone, in the format of the discovery API.
func (f *Fleet) Entries(zone int) json.RawMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []ListEntry
	for _, server := range f.Servers {
		if f.states[server.ID] == stateDeleted {
			continue
		}
		entry := ListEntry{
			ID:     server.ID,
			Addr:   server.listeners[zone].Addr().String(),
			Zone:   f.Description.Zones[server.Zone].Name,
			Kind:   server.Kind.Name,
			State:  f.states[server.ID],
			Weight: 1,
		}
		if server.slowStart {
			entry.Started = f.Start.UnixMilli()
		}
		entries = append(entries, entry)
	}
	return EncodeList(f.version, entries)
}

// serveList answers GET /v1/servers for nodes of a zone.
func (f *Fleet) serveList(w http.ResponseWriter, r *http.Request, zone int) {
	f.mu.Lock()
	changed := f.changed
	version := f.version
	f.mu.Unlock()
	ServeList(w, r, version, changed, f.stop, func() json.RawMessage { return f.Entries(zone) })
}

// Close stops all servers and endpoint lists.
func (f *Fleet) Close() {
	close(f.stop)
	for _, list := range f.lists {
		_ = list.Close() // pending requests need no answer
	}
	for _, server := range f.Servers {
		server.Kill()
	}
}
