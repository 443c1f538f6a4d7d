package discovery

import (
	"encoding/json"
	"fmt"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
)

// List is an endpoint list in the JSON format of the discovery service.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"` // false: the list contains only the changes since an earlier version
	Servers []entry `json:"servers"`
}

// entry is a server in the JSON format of the discovery service.
type entry struct {
	ID        string   `json:"id"`
	Addr      string   `json:"addr"`
	Zone      string   `json:"zone"`
	Kind      string   `json:"kind"`
	Cell      int      `json:"cell"`
	State     string   `json:"state"`
	Weight    *float64 `json:"weight"`     // absent: 1
	StartedMS int64    `json:"started_ms"` // wall clock time of its last start in milliseconds; 0: long ago
}

// serverStates maps the discovery service's names of server states to the balancer's states.
var serverStates = map[string]choice.ServerState{
	"SERVING":  choice.Ready,
	"DRAINING": choice.Draining,
	"DELETED":  choice.Gone,
}

// InvalidEntryError reports an entry of an endpoint list that has no id or an unknown state.
type InvalidEntryError struct {
	ID    string
	State string
}

func (e *InvalidEntryError) Error() string {
	return fmt.Sprintf("entry %q has state %q", e.ID, e.State)
}

// ParseList decodes a list without validating its entries, which ServerEntries does.
func ParseList(raw []byte) (*List, error) {
	list := &List{}
	err := json.Unmarshal(raw, list)
	return list, err
}

// ServerEntries returns the list's servers. The error for an invalid entry is an *InvalidEntryError.
func (l List) ServerEntries() ([]edge.ServerEntry, error) {
	var servers []edge.ServerEntry
	for _, listed := range l.Servers {
		server, err := listed.server()
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// server validates and converts an entry.
func (e entry) server() (edge.ServerEntry, error) {
	state, known := serverStates[e.State]
	if !known || e.ID == "" {
		return edge.ServerEntry{}, &InvalidEntryError{ID: e.ID, State: e.State}
	}
	size := 1.0
	if e.Weight != nil {
		size = *e.Weight
	}
	return edge.ServerEntry{Addr: e.Addr, Server: choice.Server{
		ID:      choice.ServerID(e.ID),
		Zone:    e.Zone,
		Kind:    e.Kind,
		Cell:    e.Cell,
		State:   state,
		Size:    size,
		Started: time.Duration(e.StartedMS) * time.Millisecond,
	}}, nil
}

// NewList returns a full list of servers in the JSON format of the discovery service. A negative version means that the
// service assigned no version to the list.
func NewList(version int64, servers []edge.ServerEntry) List {
	list := List{Version: version, Full: true, Servers: []entry{}}
	for _, server := range servers {
		list.Servers = append(list.Servers, entry{
			ID:        string(server.ID),
			Addr:      server.Addr,
			Zone:      server.Zone,
			Kind:      server.Kind,
			Cell:      server.Cell,
			State:     stateName(server.State),
			Weight:    &server.Size,
			StartedMS: server.Started.Milliseconds(),
		})
	}
	return list
}

// stateName returns the discovery service's name of a state.
func stateName(state choice.ServerState) string {
	for name, other := range serverStates {
		if other == state {
			return name
		}
	}
	return ""
}
