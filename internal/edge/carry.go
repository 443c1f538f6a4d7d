package edge

import (
	"errors"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
)

// Connections that another process of this node takes over: the client and the host notice nothing.

// Standing is an open connection as one process tells it to another: by names and values, since tables differ.
type Standing struct {
	ID       choice.RequestID `cbor:"1,keyasint"`
	Class    choice.Class     `cbor:"2,keyasint"` // as it was when the request came
	Tenant   string           `cbor:"3,keyasint,omitempty"`
	Key      uint64           `cbor:"4,keyasint,omitempty"`
	Group    uint64           `cbor:"5,keyasint,omitempty"`
	Usual    float64          `cbor:"6,keyasint,omitempty"` // told load, as the request had it
	Now      float64          `cbor:"7,keyasint,omitempty"` // told load now
	Returned bool             `cbor:"8,keyasint,omitempty"`
	Host     choice.Server    `cbor:"9,keyasint"`
	Addr     string           `cbor:"10,keyasint"`
}

// Check says what is wrong with what another process told.
func (s Standing) Check() error {
	if s.ID == "" || s.Host.ID == "" || !(s.Usual >= 0) || !(s.Now >= 0) {
		return errors.New("a connection without an id or a host, or with a load that is none")
	}
	return nil
}

// Carrier is a Client whose open connection another process can take over.
type Carrier interface {
	Client
	// Lend takes the connection's sockets off the loop and tells them, and what the front knows. ok is false where it can't go now.
	Lend() (fds []int, state any, ok bool)
	// Return has it go on here.
	Return()
	// Release lets go of it: another process has it.
	Release()
}

// Carriable are the open connections that may go now, in no order.
func (c *Core) Carriable() (all []*Request) {
	for _, r := range c.requests {
		if _, ok := r.client.(Carrier); ok && r.open && !r.over && !r.lent {
			all = append(all, r)
		}
	}
	return all
}

// Lend takes an open connection off the loop and tells its sockets and what its front knows. Until it returns or is
// released nothing happens on it.
func (r *Request) Lend() (fds []int, front any, ok bool) {
	if !r.open || r.over || r.lent {
		return nil, nil, false
	}
	if fds, front, ok = r.client.(Carrier).Lend(); ok {
		r.lent = true
	}
	return fds, front, ok
}

// Standing is what the core knows of an open connection.
func (r *Request) Standing() (s Standing, ok bool) {
	if !r.open || r.over {
		return s, false
	}
	set := &r.core.o.Settings
	s = Standing{ID: r.ID, Class: r.class, Key: r.Key, Group: r.Group, Usual: r.Load, Now: r.load, Returned: r.Returned,
		Host: r.attempt.host.Server, Addr: r.attempt.host.Addr}
	if r.Tenant >= 0 && r.Tenant < len(set.Tenants) {
		s.Tenant = set.Tenants[r.Tenant].Name
	}
	return s, true
}

// Return has a lent connection go on here.
func (r *Request) Return() {
	r.lent = false
	r.client.(Carrier).Return()
	r.leaveWith(r.attempt.host, r.core.o.Clock.Now())
}

// Release forgets a lent connection: it is another process's, and has not ended.
func (r *Request) Release() {
	r.over = true
	a := r.attempt
	a.ended, r.attempt = true, nil
	a.host.held--
	r.observeEnd(Carried)
	r.client.(Carrier).Release()
	r.core.tell(choice.Transferred{ID: r.ID})
	r.settle()
}

// Learned is what the module has found out so far, for another process.
func (c *Core) Learned() choice.LearnedState {
	l := c.balancer.LearnedState()
	l.Now = c.clock(c.o.Clock.Now())
	return l
}

// Inherit tells the module what that of another process has found out.
func (c *Core) Inherit(l choice.LearnedState) { c.tell(choice.LearnedStateReceived{LearnedState: l}) }

// Adopt takes over an open connection of another process, of which Check has found no fault. It counts as none that this
// one has served.
func (c *Core) Adopt(s Standing, client Client) (*Request, *Attempt) {
	now := c.o.Clock.Now()
	r := &Request{Spec: Spec{ID: s.ID, Class: -1, Tenant: -1, Key: s.Key, Group: s.Group, Load: s.Usual, Returned: s.Returned, Deadline: now},
		core: c, client: client, open: true, attempts: 1, arrived: now, load: s.Now, class: s.Class, answered: true}
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
	if a.host = c.hosts[s.Host.ID]; a.host == nil { // it may be gone from the list here
		a.host = &host{UpstreamHost: UpstreamHost{Server: s.Host, Addr: s.Addr}}
	}
	a.Host = a.host.UpstreamHost
	r.guard = c.o.Monitor.Adopted(invariant.Facts{ID: string(s.ID), Class: s.Class})
	a.host.held++
	r.attempt = a
	if c.requests[s.ID] != nil { // an id that is open here: the module knows the first only, and this one goes
		c.o.Clock.At(now, r.move)
		return r, a
	}
	c.requests[s.ID] = r
	c.tell(choice.OpenConnection{Request: r.event(), Server: s.Host.ID, OriginalClass: &r.class, CurrentLoad: s.Now})
	r.leaveWith(a.host, now)
	return r, a
}

// Goes says which connection an adopted attempt is.
func (a *Attempt) Goes(u UpstreamRequest) { a.upstream = u }

// leaveWith has a connection that stands now go where the node or its host leaves.
func (r *Request) leaveWith(h *host, now time.Time) {
	c := r.core
	switch {
	case c.draining:
		c.o.Clock.At(now, r.move)
	case !c.leaveBy.IsZero():
		c.o.Clock.At(c.leaveBy, r.move)
	case h.State != choice.Ready && c.o.Leave > 0: // its host began to drain while it was set up
		c.o.Clock.At(now.Add(c.o.Leave/4), r.move)
	}
}
