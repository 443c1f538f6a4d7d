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

// discoveryBehavior is how the discovery service behaves. The values appear in reports.
type discoveryBehavior string

const (
	available     discoveryBehavior = ""
	unavailable   discoveryBehavior = "down"          // answers 503
	unresponsive  discoveryBehavior = "silent"        // accepts calls and answers none
	delayed       discoveryBehavior = "sluggish"      // answers late
	truncated     discoveryBehavior = "spoils"        // sends half a list, then resets the connection
	neverComplete discoveryBehavior = "never ends"    // sends an answer that never completes
	fragmented    discoveryBehavior = "chunked"       // sends the answer in small pieces
	duplicated    discoveryBehavior = "second answer" // sends the same answer twice
)

var discoveryBehaviors = []discoveryBehavior{
	unavailable, unresponsive, delayed, truncated, neverComplete, fragmented, duplicated,
}

const (
	maxWatch           = 60 * time.Second
	discoveryDelay     = 1200 * time.Millisecond
	discoveryFragment  = 97 // bytes
	secondAnswerDelay  = 5 * time.Millisecond
	missingBytes       = 10 // announced but not sent of a list that never completes
	discoveryAddresses = 2  // for each node; the node's configuration names one of them
)

// discovery is a fake of the platform's discovery service. Each node uses its own addresses of the service, so that the
// harness knows which node received which list.
type discovery struct {
	servers []*server

	mu        sync.Mutex
	version   int64
	changed   chan struct{} // closed at the next change
	behavior  discoveryBehavior
	since     time.Time // when the behavior was set
	listeners []net.Listener
}

func newDiscovery(servers []*server) *discovery {
	return &discovery{servers: servers, version: 1, changed: make(chan struct{}), since: time.Now()}
}

// open opens another address for a node and returns it.
func (d *discovery) open(caller *node) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	d.listeners = append(d.listeners, listener)
	d.mu.Unlock()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(caller, w, r) })
	go func() { _ = http.Serve(listener, handler) }() // returns when the listener is closed
	return listener.Addr().String(), nil
}

// close closes the listeners of all addresses.
func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, listener := range d.listeners {
		closeQuietly(listener)
	}
}

// notifyServersChanged notifies the watching nodes that a server changed.
func (d *discovery) notifyServersChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.wakeWatchesLocked()
}

// setBehavior sets how the service behaves from now on, and ends the open watches.
func (d *discovery) setBehavior(behavior discoveryBehavior) {
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

// reachableSince returns since when nodes can reach the service without interruption. ok is false if they can't now.
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

// serve answers one call of a node according to the service's behavior.
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
	caller.recordNotified(states)
	switch behavior {
	case fragmented:
		writeFragmented(w, list)
	case duplicated:
		writeTwice(w, list)
	default:
		write(w, list)
	}
}

// awaitChange returns the behavior and the version of the list to answer with. If the call is a watch and
// the service is available, it first waits for a change or the end of the watch. ok is false if the caller
// disconnected.
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

// number parses a number of a query. It returns zero if the text is not a number, as the platform does.
func number(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// write writes a part of an answer. It ignores errors: a caller that disconnected does not need the answer.
func write(w http.ResponseWriter, data []byte) { _, _ = w.Write(data) }

// flush sends the data written so far.
func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush() // fails only if the caller disconnected
}

// writeTruncated announces a list, writes half of it and resets the connection.
func writeTruncated(w http.ResponseWriter, list []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(list)))
	write(w, list[:len(list)/2])
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		reset(conn)
	}
}

// writeIncomplete announces more bytes than the list has and writes only the list, so that the answer never completes.
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

// writeTwice writes an answer, and writes it again some milliseconds later.
func writeTwice(w http.ResponseWriter, list []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer closeQuietly(conn)
	header := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
		strconv.Itoa(len(list)) + "\r\n\r\n"
	for range 2 {
		_, _ = buffered.WriteString(header) // the buffer keeps an error, and Flush returns it
		_, _ = buffered.Write(list)         // the buffer keeps this error too
		if buffered.Flush() != nil {
			return
		}
		time.Sleep(secondAnswerDelay)
	}
}

// serverState is the state of a server as an endpoint list states it.
type serverState struct {
	server  *server
	state   string
	started time.Time
}

// list returns the encoded endpoint list and the server states in it.
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
