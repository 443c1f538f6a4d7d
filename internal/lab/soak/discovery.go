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

// discoveryBehavior is how the discovery service behaves. The words are those of the reports.
type discoveryBehavior string

const (
	available     discoveryBehavior = ""
	unavailable   discoveryBehavior = "down"          // answers 503
	unresponsive  discoveryBehavior = "silent"        // takes calls and answers none
	delayed       discoveryBehavior = "sluggish"      // answers late
	truncated     discoveryBehavior = "spoils"        // answers with half a list and a reset
	neverComplete discoveryBehavior = "never ends"    // answers with a list that never ends
	fragmented    discoveryBehavior = "chunked"       // answers in pieces
	duplicated    discoveryBehavior = "second answer" // sends an answer twice
)

var discoveryBehaviors = []discoveryBehavior{
	unavailable, unresponsive, delayed, truncated, neverComplete, fragmented, duplicated,
}

const (
	maxWatch           = 60 * time.Second
	discoveryDelay     = 1200 * time.Millisecond
	discoveryFragment  = 97 // bytes
	secondAnswerDelay  = 5 * time.Millisecond
	missingBytes       = 10 // of a list that never ends
	discoveryAddresses = 2  // of each node, of which its configuration names one
)

// discovery is a fake of the platform's discovery service. Each node has addresses of its own at it, so that it is
// known which node was notified of what.
type discovery struct {
	servers []*server

	mu        sync.Mutex
	version   int64
	changed   chan struct{} // closed at the next change
	behavior  discoveryBehavior
	since     time.Time // of the behavior
	listeners []net.Listener
}

func newDiscovery(servers []*server) *discovery {
	return &discovery{servers: servers, version: 1, changed: make(chan struct{}), since: time.Now()}
}

// open opens one more address for a node.
func (d *discovery) open(caller *node) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	d.listeners = append(d.listeners, listener)
	d.mu.Unlock()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(caller, w, r) })
	go func() { _ = http.Serve(listener, handler) }() // it ends when the listener is closed
	return listener.Addr().String(), nil
}

// close closes all addresses.
func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, listener := range d.listeners {
		closeQuietly(listener)
	}
}

// serversChanged notifies the watching nodes of a change of servers.
func (d *discovery) serversChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.wakeWatchesLocked()
}

// behave sets how the service behaves from now on; watches that are open end.
func (d *discovery) behave(behavior discoveryBehavior) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.behavior = behavior
	d.since = time.Now()
	d.wakeWatchesLocked()
}

func (d *discovery) wakeWatchesLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// reachableSince returns since when the service can be reached without a break; ok is false while it can't.
func (d *discovery) reachableSince() (since time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since, d.behavior == available || d.behavior == fragmented
}

// current returns the service's behavior, the version of its list, and a channel that is closed at the next change.
func (d *discovery) current() (behavior discoveryBehavior, version int64, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.behavior, d.version, d.changed
}

// serve answers one call of a node, by the service's behavior.
func (d *discovery) serve(caller *node, w http.ResponseWriter, r *http.Request) {
	behavior, version, ok := d.awaitChange(r)
	if !ok {
		return
	}
	switch behavior {
	case unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case unresponsive:
		<-r.Context().Done()
		return
	case delayed:
		time.Sleep(discoveryDelay)
	default:
	}
	list, states := d.list(version)
	w.Header().Set("Content-Type", "application/json")
	switch behavior {
	case truncated:
		writeTruncated(w, list)
		return
	case neverComplete:
		writeIncomplete(w, list)
		<-r.Context().Done()
		return
	default:
	}
	caller.notified(states)
	switch behavior {
	case fragmented:
		writeFragmented(w, list)
	case duplicated:
		writeTwice(w, list)
	default:
		write(w, list)
	}
}

// awaitChange waits, where the call is a watch, until there is a newer list or its time is over. ok is false when the
// caller has gone.
func (d *discovery) awaitChange(r *http.Request) (behavior discoveryBehavior, version int64, ok bool) {
	behavior, version, changed := d.current()
	query := r.URL.Query()
	if behavior != available || !query.Has("after") || number(query.Get("after")) < version {
		return behavior, version, true
	}
	watch := time.Duration(min(number(query.Get("wait_ms")), maxWatch.Milliseconds())) * time.Millisecond
	select {
	case <-changed:
	case <-time.After(watch):
	case <-r.Context().Done():
		return behavior, version, false
	}
	behavior, version, _ = d.current()
	return behavior, version, true
}

// number reads a number of a query; what is none counts as zero, as at the platform.
func number(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// write writes a part of an answer. A caller that has gone needs it no longer.
func write(w http.ResponseWriter, data []byte) { _, _ = w.Write(data) }

// flush sends what was written so far.
func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush() // it fails where the caller has gone
}

// writeTruncated announces a list, writes half of it and resets the connection.
func writeTruncated(w http.ResponseWriter, list []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(list)))
	write(w, list[:len(list)/2])
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		reset(conn)
	}
}

// writeIncomplete writes a list and announces more than it has.
func writeIncomplete(w http.ResponseWriter, list []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(list)+missingBytes))
	write(w, list)
	flush(w)
}

// writeFragmented writes a list in small pieces.
func writeFragmented(w http.ResponseWriter, list []byte) {
	for start := 0; start < len(list); start += discoveryFragment {
		write(w, list[start:min(start+discoveryFragment, len(list))])
		flush(w)
		time.Sleep(time.Millisecond)
	}
}

// writeTwice writes an answer, and some milliseconds later the same again.
func writeTwice(w http.ResponseWriter, list []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer closeQuietly(conn)
	header := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
		strconv.Itoa(len(list)) + "\r\n\r\n"
	for range 2 {
		_, _ = buffered.WriteString(header) // an error stays in the buffer: Flush returns it
		_, _ = buffered.Write(list)         // as above
		if buffered.Flush() != nil {
			return
		}
		time.Sleep(secondAnswerDelay)
	}
}

// serverState is a server as a list names it.
type serverState struct {
	server  *server
	state   string
	started time.Time
}

// list returns the encoded list, and the states that it names.
func (d *discovery) list(version int64) (json.RawMessage, []serverState) {
	var entries []fakeserver.ListEntry
	var states []serverState
	for _, s := range d.servers {
		entry, state := s.listEntry()
		entries = append(entries, entry)
		states = append(states, state)
	}
	return fakeserver.EncodeList(version, entries), states
}
