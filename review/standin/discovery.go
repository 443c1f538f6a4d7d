//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// discovery is a discovery service as the protocol page describes it. It gives each list only after a delay, and answers
// watches as soon as there is a change.
type discovery struct {
	addr string
	rec  *record

	mu      sync.Mutex
	changed *sync.Cond
	delay   time.Duration // of the answer to a call for the whole list
	version int
	entries []*listEntry
}

type listEntry struct {
	version         int
	id, addr, state string
}

func newDiscovery(rec *record, delay time.Duration) *discovery {
	d := &discovery{rec: rec, delay: delay, version: 40}
	d.changed = sync.NewCond(&d.mu)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("discovery: %v", err)
	}
	d.addr = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return d
}

// set adds an entry or changes its state.
func (d *discovery) set(id, addr, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, entry := range d.entries {
		if entry.id == id {
			entry.state = state
			entry.version = d.version
			d.changed.Broadcast()
			return
		}
	}
	d.entries = append(d.entries, &listEntry{version: d.version, id: id, addr: addr, state: state})
	d.changed.Broadcast()
}

func (d *discovery) serve(out http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, err := strconv.Atoi(query.Get("after"))
	full := err != nil
	if full {
		time.Sleep(d.delay)
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	d.mu.Lock()
	defer d.mu.Unlock()
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.changed.Broadcast()
	})
	defer timer.Stop()
	for !full && d.version <= after && time.Now().Before(end) {
		d.changed.Wait()
	}
	var servers []string
	for _, entry := range d.entries {
		if full || entry.version > after {
			servers = append(servers, fmt.Sprintf(
				`{"id":%q,"addr":%q,"zone":"cluj-1","kind":"std-2c","cell":0,"state":%q,"weight":1.0,"started_ms":0}`,
				entry.id, entry.addr, entry.state))
		}
	}
	out.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(out, `{"version":%d,"full":%v,"servers":[%s]}`, d.version, full, strings.Join(servers, ","))
	d.rec.add("discovery: answered %s with version %d, %d entries", request.URL.RequestURI(), d.version, len(servers))
}
