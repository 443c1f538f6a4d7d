package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"spurwinch/internal/lab/fakeserver"
)

// service is how discovery behaves.
type service string

const (
	up          service = ""
	down        service = "down"          // answers 503, or resets
	silent      service = "silent"        // takes calls and says nothing
	sluggish    service = "sluggish"      // answers late
	spoils      service = "spoils"        // answers what can't be read
	neverEnds   service = "never ends"    // begins an answer
	chunked     service = "chunked"       // sends answers in pieces
	secondReply service = "second answer" // sends some answers twice
)

var services = []service{down, silent, sluggish, spoils, neverEnds, chunked, secondReply}

// discovery is a stand-in for the list service. Each node has addresses of its own, so that it is known who was told what.
type discovery struct {
	hosts []*host

	mu      sync.Mutex
	version int64
	changed chan struct{}
	is      service
	since   time.Time // it can be reached, or can't
	doors   []net.Listener
}

func newDiscovery(hosts []*host) *discovery {
	return &discovery{hosts: hosts, version: 1, changed: make(chan struct{}), since: time.Now()}
}

// open makes one more address at which a node may ask.
func (d *discovery) open(n *node) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	d.doors = append(d.doors, l)
	d.mu.Unlock()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.answer(n, w, r) }))
	return l.Addr().String(), nil
}

func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.doors {
		l.Close()
	}
}

// news has a change of hosts be told.
func (d *discovery) news() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) behave(s service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.is, d.since = s, time.Now()
	close(d.changed) // watches end when it goes down
	d.changed = make(chan struct{})
}

// reachable is since when discovery can be reached without a break; ok is false while it can't.
func (d *discovery) reachable() (since time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since, d.is == up || d.is == chunked
}

func (d *discovery) now() (s service, version int64, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.is, d.version, d.changed
}

// answer answers one call.
func (d *discovery) answer(n *node, w http.ResponseWriter, r *http.Request) {
	s, version, changed := d.now()
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if s == up && r.URL.Query().Has("after") && after >= version {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		s, version, _ = d.now()
	}
	switch s {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case silent:
		<-r.Context().Done()
		return
	case sluggish:
		time.Sleep(1200 * time.Millisecond)
	}
	list, states := d.list(version)
	w.Header().Set("Content-Type", "application/json")
	switch s {
	case spoils:
		w.Header().Set("Content-Length", strconv.Itoa(len(list)))
		w.Write(list[:len(list)/2])
		hangUp(w)
		return
	case neverEnds:
		w.Header().Set("Content-Length", strconv.Itoa(len(list)+10))
		w.Write(list)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		return
	}
	n.told(states)
	switch s {
	case chunked:
		for at := 0; at < len(list); at += 97 {
			w.Write(list[at:min(at+97, len(list))])
			w.(http.Flusher).Flush()
			time.Sleep(time.Millisecond)
		}
	case secondReply:
		twice(w, list)
	default:
		w.Write(list)
	}
}

func hangUp(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		reset(c)
	}
}

// twice answers, and some milliseconds later again.
func twice(w http.ResponseWriter, list []byte) {
	c, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	for range 2 {
		out.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(list)) + "\r\n\r\n")
		out.Write(list)
		out.Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// hostState is a host as a list names it.
type hostState struct {
	host    *host
	state   string
	started time.Time
}

// list is the whole list, and what it says.
func (d *discovery) list(version int64) (json.RawMessage, []hostState) {
	var all []fakeserver.ListEntry
	var states []hostState
	for _, h := range d.hosts {
		h.mu.Lock()
		e := fakeserver.ListEntry{ID: h.id, Addr: h.proxy.listen.Addr().String(), Zone: h.zone, Kind: "k", State: h.state, Weight: 1}
		if !h.started.IsZero() {
			e.Started = h.started.UnixMilli()
		}
		states = append(states, hostState{h, h.state, h.started})
		h.mu.Unlock()
		all = append(all, e)
	}
	return fakeserver.EncodeList(version, all), states
}
