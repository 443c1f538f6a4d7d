package edge

import (
	"errors"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
)

// Connections that another process of this node takes over: the client and the host notice nothing.

// ConnectionState is an open connection as one process tells it to another: by names and values, since tables differ.
type ConnectionState struct {
	ID          choice.RequestID `cbor:"1,keyasint"`
	Class       choice.Class     `cbor:"2,keyasint"` // as it was when the request came
	Tenant      string           `cbor:"3,keyasint,omitempty"`
	Key         uint64           `cbor:"4,keyasint,omitempty"`
	Group       uint64           `cbor:"5,keyasint,omitempty"`
	UsualLoad   float64          `cbor:"6,keyasint,omitempty"` // told load, as the request had it
	CurrentLoad float64          `cbor:"7,keyasint,omitempty"` // told load now
	Returned    bool             `cbor:"8,keyasint,omitempty"`
	Server      choice.Server    `cbor:"9,keyasint"`
	Addr        string           `cbor:"10,keyasint"`
}

// Check says what is wrong with what another process told.
func (s ConnectionState) Check() error {
	if s.ID == "" || s.Server.ID == "" || !(s.UsualLoad >= 0) || !(s.CurrentLoad >= 0) {
		return errors.New("a connection without an id or a host, or with a load that is none")
	}
	return nil
}

// Transferer is a Client whose open connection another process can take over.
type Transferer interface {
	Client
	// Detach takes the connection's sockets off the loop and tells them, and what the front knows. ok is false where it can't go now.
	Detach() (fds []int, state any, ok bool)
	// Reattach has it go on here.
	Reattach()
	// Release lets go of it: another process has it.
	Release()
}

// Transferable are the open connections that may go now, in no order.
func (c *Core) Transferable() (all []*Request) {
	for _, r := range c.requests {
		if _, ok := r.client.(Transferer); ok && r.open && !r.over && !r.lent {
			all = append(all, r)
		}
	}
	return all
}

// Detach takes an open connection off the loop and tells its sockets and what its front knows. Until it returns or is
// released nothing happens on it.
func (r *Request) Detach() (fds []int, front any, ok bool) {
	if !r.open || r.over || r.lent {
		return nil, nil, false
	}
	if fds, front, ok = r.client.(Transferer).Detach(); ok {
		r.lent = true
	}
	return fds, front, ok
}

// ConnectionState is what the core knows of an open connection.
func (r *Request) ConnectionState() (s ConnectionState, ok bool) {
	if !r.open || r.over {
		return s, false
	}
	set := &r.core.o.Settings
	s = ConnectionState{ID: r.ID, Class: r.class, Key: r.Key, Group: r.Group, UsualLoad: r.Load, CurrentLoad: r.load, Returned: r.Returned,
		Server: r.attempt.host.Server, Addr: r.attempt.host.Addr}
	if r.Tenant >= 0 && r.Tenant < len(set.Tenants) {
		s.Tenant = set.Tenants[r.Tenant].Name
	}
	return s, true
}

// Reattach has a lent connection go on here.
func (r *Request) Reattach() {
	r.lent = false
	r.client.(Transferer).Reattach()
	r.leaveWith(r.attempt.host, r.core.o.Clock.Now())
}

// Release forgets a lent connection: it is another process's, and has not ended.
func (r *Request) Release() {
	r.over = true
	a := r.attempt
	a.ended, r.attempt = true, nil
	a.host.held--
	r.observeEnd(Transferred)
	r.client.(Transferer).Release()
	r.core.tell(choice.Transferred{ID: r.ID})
	r.settle()
}

// LearnedState is what the module has found out so far, for another process.
func (c *Core) LearnedState() choice.LearnedState {
	l := c.balancer.LearnedState()
	l.Now = c.clock(c.o.Clock.Now())
	return l
}

// ImportLearnedState tells the module what that of another process has found out.
func (c *Core) ImportLearnedState(l choice.LearnedState) {
	c.tell(choice.LearnedStateReceived{LearnedState: l})
}

// Adopt takes over an open connection of another process, of which Check has found no fault. It counts as none that this
// one has served.
func (c *Core) Adopt(s ConnectionState, client Client) (*Request, *Attempt) {
	now := c.o.Clock.Now()
	r := &Request{Spec: Spec{ID: s.ID, Class: -1, Tenant: -1, Key: s.Key, Group: s.Group, Load: s.UsualLoad, Returned: s.Returned, Deadline: now},
		core: c, client: client, open: true, attempts: 1, arrived: now, load: s.CurrentLoad, class: s.Class, answered: true}
	for i, k := range c.o.Settings.Classes {
		if k.Name == s.Class.Name {
			r.Class = i
		}
	}
	for i, t := range c.o.Settings.Tenants {
		if t.Name == s.Tenant && s.Tenant != "" {
			r.Tenant = i
		}
	}
	c.seq++
	r.seq = c.seq
	a := &Attempt{request: r, started: now, written: true}
	if a.host = c.hosts[s.Server.ID]; a.host == nil { // it may be gone from the list here
		a.host = &host{ServerEntry: ServerEntry{Server: s.Server, Addr: s.Addr}}
	}
	a.Server = a.host.ServerEntry
	r.guard = c.o.Monitor.Adopted(invariant.RequestFacts{ID: string(s.ID), Class: s.Class})
	a.host.held++
	r.attempt = a
	if c.requests[s.ID] != nil { // an id that is open here: the module knows the first only, and this one goes
		c.o.Clock.At(now, r.move)
		return r, a
	}
	c.requests[s.ID] = r
	c.tell(choice.OpenConnection{Request: r.event(), Server: s.Server.ID, OriginalClass: &r.class, CurrentLoad: s.CurrentLoad})
	r.leaveWith(a.host, now)
	return r, a
}

// Resume says which connection an adopted attempt is.
func (a *Attempt) Resume(u UpstreamRequest) { a.upstream = u }

// leaveWith has a connection that stands now go where the node or its host leaves.
func (r *Request) leaveWith(h *host, now time.Time) {
	c := r.core
	switch {
	case c.draining:
		c.o.Clock.At(now, r.move)
	case !c.leaveBy.IsZero():
		c.o.Clock.At(c.leaveBy, r.move)
	case h.State != choice.Ready && c.o.DrainPeriod > 0: // its host began to drain while it was set up
		c.o.Clock.At(now.Add(c.o.DrainPeriod/4), r.move)
	}
}
