// Package downstream is the front end for clients of the platform's protocol. It reads their lines, passes their
// requests to the core, writes the core's replies and relays bytes between a client and its server.
package downstream

import (
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/upstream"
)

const (
	// descriptorsPerRequest is the number of free descriptors that an accepted request needs: one for its server and
	// one for a health check.
	descriptorsPerRequest  = 2
	maxRejectedConnections = 16   // connections accepted beyond the limit in order to reject them with a reply
	maxAwaitingReady       = 1024 // clients that may wait for the reply to PING until the node is ready
)

// Front serves clients of the platform's protocol.
type Front struct {
	loop           *loop.Loop
	core           *edge.Core
	upstream       *upstream.Cluster
	classes        map[string]int
	tenants        map[string]int
	classTable     []choice.Class       // by class index
	removedClasses map[string]time.Time // deadlines until which clients may still name classes that left the settings
	maxConnections int                  // on both sides together; clients beyond this limit are rejected
	ready          bool
	onReady        func()
	awaitingReady  []*client // clients that sent PING before the node was ready
	stallTimeout   time.Duration
}

// Options are the dependencies and limits of a Front.
type Options struct {
	Loop           *loop.Loop
	Core           *edge.Core
	Upstream       *upstream.Cluster
	MaxConnections int    // limit of client and server connections together; clients beyond it are rejected
	OnReady        func() // called once, when the node becomes ready
}

// New returns a Front. It knows no classes until Adapt is called.
func New(options Options) *Front {
	return &Front{
		loop:           options.Loop,
		core:           options.Core,
		upstream:       options.Upstream,
		maxConnections: options.MaxConnections,
		onReady:        options.OnReady,
		removedClasses: map[string]time.Time{},
		stallTimeout:   stallTimeout,
	}
}

// Adapt sets the classes and tenants that clients may name from now on. A removed class remains valid for the length of
// its deadline, because a client whose line is already in transit can't know of the change.
func (f *Front) Adapt(classes, tenants map[string]int, table []choice.Class) {
	now := f.loop.Now()
	for name, index := range f.classes {
		if _, stillNamed := classes[name]; !stillNamed {
			f.removedClasses[name] = now.Add(f.classTable[index].Deadline)
		}
	}
	for name, until := range f.removedClasses {
		if _, restored := classes[name]; restored || now.After(until) {
			delete(f.removedClasses, name)
		}
	}
	f.classes = classes
	f.tenants = tenants
	f.classTable = table
}

// class returns the index of the class that a client's line names, and whether the class is known.
func (f *Front) class(name string) (int, bool) {
	if index, ok := f.classes[name]; ok {
		return index, true
	}
	if until, ok := f.removedClasses[name]; ok && f.loop.Now().Before(until) {
		return slices.IndexFunc(f.classTable, func(class choice.Class) bool { return class.Name == name }), true
	}
	return 0, false
}

// SetMaxConnections limits the number of client and server connections together. Clients beyond the limit are rejected.
func (f *Front) SetMaxConnections(maxConnections int) { f.maxConnections = maxConnections }

// SetReady marks the node ready to serve and replies to the clients that wait for the reply to a PING.
func (f *Front) SetReady() {
	if !f.ready && f.onReady != nil {
		f.onReady()
	}
	f.ready = true
	for _, waiting := range f.awaitingReady {
		waiting.sendPong()
	}
	f.awaitingReady = nil
}

// AcceptsNew reports whether the node currently accepts and places new clients.
func (f *Front) AcceptsNew() bool { return f.ready && !f.core.RejectsNew() }

// Accept returns the handler of a new connection, or nil to refuse it. The loop has already evicted connections without
// a request to make room, if there were any. Up to maxRejectedConnections connections beyond the limit are accepted in
// order to reply to PING and to reject requests with a reply. Further ones are refused, which preserves the descriptors
// that discovery, health checks and attempts in flight need.
func (f *Front) Accept(conn *loop.Conn) loop.Handler {
	if f.loop.Open() > f.maxConnections+maxRejectedConnections {
		return nil
	}
	accepted := &client{front: f, conn: conn}
	accepted.awaitFirstLine(f.loop.Now().Add(firstLineTimeout))
	return accepted
}

// ensureCapacity evicts idle connections if another request would exceed the connection limit, and reports whether the
// request now fits.
func (f *Front) ensureCapacity() bool {
	limit := f.maxConnections - descriptorsPerRequest
	if f.loop.Open() > limit {
		f.loop.EvictIdle(limit)
	}
	return f.loop.Open() <= limit
}
