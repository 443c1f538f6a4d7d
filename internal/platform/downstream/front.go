// Package downstream is the front end of the platform's protocol: it reads its clients' lines, hands their requests to
// the core, writes the core's replies and relays bytes between a client and its server.
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
	// descriptorsPerRequest are the free descriptors that an accepted request needs: its server's, and one for a health
	// check.
	descriptorsPerRequest  = 2
	maxRejectedConnections = 16   // connections beyond the limit that are still accepted, to be rejected with a reply
	maxAwaitingReady       = 1024 // clients whose PING waits for the node to be ready
)

// Front serves the platform's clients.
type Front struct {
	loop           *loop.Loop
	core           *edge.Core
	upstream       *upstream.Cluster
	classes        map[string]int
	tenants        map[string]int
	classTable     []choice.Class       // by class index
	removedClasses map[string]time.Time // classes that left the settings, and until when clients may still name them
	maxConnections int                  // on both sides together, from which on clients are rejected
	ready          bool
	onReady        func()
	awaitingReady  []*client // clients that sent PING before the node was ready
}

// Options are what a Front works with.
type Options struct {
	Loop           *loop.Loop
	Core           *edge.Core
	Upstream       *upstream.Cluster
	MaxConnections int    // connections on both sides together, from which on clients are rejected
	OnReady        func() // called once, when the node can serve
}

// New makes a Front. It knows no classes before Adapt.
func New(options Options) *Front {
	return &Front{
		loop:           options.Loop,
		core:           options.Core,
		upstream:       options.Upstream,
		maxConnections: options.MaxConnections,
		onReady:        options.OnReady,
		removedClasses: map[string]time.Time{},
	}
}

// Adapt sets the classes and tenants that clients may name from now on. A class that is no longer among them stays
// known for its deadline: a client whose line is on its way can't know of the change.
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

// class finds the index of a class by the name in a client's line.
func (f *Front) class(name string) (int, bool) {
	if index, ok := f.classes[name]; ok {
		return index, true
	}
	if until, ok := f.removedClasses[name]; ok && f.loop.Now().Before(until) {
		return slices.IndexFunc(f.classTable, func(class choice.Class) bool { return class.Name == name }), true
	}
	return 0, false
}

// SetMaxConnections sets the number of connections, on both sides together, from which on clients are rejected.
func (f *Front) SetMaxConnections(maxConnections int) { f.maxConnections = maxConnections }

// SetReady says that the node can serve; until then a PING has no reply.
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

// AcceptsNew reports whether clients are accepted and placed now.
func (f *Front) AcceptsNew() bool { return f.ready && !f.core.RejectsNew() }

// Accept takes a new connection. The loop has made room for it, as far as there were connections that had sent no
// request yet. Beyond the limit some are still accepted, to reply to PING and to reject politely; then none, which
// keeps the descriptors that discovery, health checks and attempts in flight need.
func (f *Front) Accept(conn *loop.Conn) loop.Handler {
	if f.loop.Open() > f.maxConnections+maxRejectedConnections {
		return nil
	}
	accepted := &client{front: f, conn: conn}
	accepted.awaitFirstLine(f.loop.Now().Add(firstLineTimeout))
	return accepted
}

// ensureCapacity evicts idle connections where a request would exceed the limit, and reports whether the request fits
// now.
func (f *Front) ensureCapacity() bool {
	limit := f.maxConnections - descriptorsPerRequest
	if f.loop.Open() > limit {
		f.loop.EvictIdle(limit)
	}
	return f.loop.Open() <= limit
}
