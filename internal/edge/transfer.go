package edge

import (
	"errors"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
)

// This file transfers open connections to another process of this node in a hot restart, without any effect on the
// client or the server.

// Errors of ConnectionState.Check.
var (
	ErrNoConnectionID = errors.New("connection state must have a request id and a server id")
	ErrInvalidLoad    = errors.New("loads of a connection state must be numbers of at least 0")
)

// ConnectionState is the encoding of an open connection for its transfer to another process. It has names and values
// instead of indices, since the tables of the two processes may differ.
type ConnectionState struct {
	ID          choice.RequestID `cbor:"1,keyasint"`
	Class       choice.Class     `cbor:"2,keyasint"` // from the settings at the request's arrival
	Tenant      string           `cbor:"3,keyasint,omitempty"`
	Key         uint64           `cbor:"4,keyasint,omitempty"`
	Group       uint64           `cbor:"5,keyasint,omitempty"`
	UsualLoad   float64          `cbor:"6,keyasint,omitempty"` // expected load of the request, in work per second
	CurrentLoad float64          `cbor:"7,keyasint,omitempty"` // last reported load, in work per second
	Returned    bool             `cbor:"8,keyasint,omitempty"`
	Server      choice.Server    `cbor:"9,keyasint"`
	Addr        string           `cbor:"10,keyasint"` // address of the server
}

// Check validates a state that another process has sent. It returns ErrNoConnectionID, ErrInvalidLoad or nil.
func (s ConnectionState) Check() error {
	if s.ID == "" || s.Server.ID == "" {
		return ErrNoConnectionID
	}
	if !(s.UsualLoad >= 0) || !(s.CurrentLoad >= 0) { // the negation also catches NaN
		return ErrInvalidLoad
	}
	return nil
}

// TransferableClient is a Client whose open connection another process can take over.
type TransferableClient interface {
	Client
	// Detach removes the connection's sockets from the event loop and returns them with the front end's state of the
	// connection. ok is false if the connection can't be transferred now.
	Detach() (fds []int, state any, ok bool)
	// Reattach resumes the detached connection in this process.
	Reattach()
	// Release closes this process's copies of the sockets; another process has taken over the connection.
	Release()
}

// Transferable returns the open connections that may be transferred now, in no particular order.
func (c *Core) Transferable() (all []*Request) {
	for _, r := range c.requests {
		if _, ok := r.client.(TransferableClient); ok && r.open && !r.finished && !r.transferring {
			all = append(all, r)
		}
	}
	return all
}

// Detach removes an open connection from the event loop and returns its sockets and the front end's state of it. The
// connection stays idle until the caller reattaches or releases it.
func (r *Request) Detach() (fds []int, state any, ok bool) {
	client, transferable := r.client.(TransferableClient)
	if !transferable || !r.open || r.finished || r.transferring {
		return nil, nil, false
	}
	fds, state, ok = client.Detach()
	if ok {
		r.transferring = true
	}
	return fds, state, ok
}

// ConnectionState returns the core's state of an open connection; ok is false if the connection is not open.
func (r *Request) ConnectionState() (state ConnectionState, ok bool) {
	if !r.open || r.finished {
		return ConnectionState{}, false
	}
	server := r.attempt.server
	state = ConnectionState{
		ID: r.ID, Class: r.class, Key: r.Key, Group: r.Group, UsualLoad: r.Load,
		CurrentLoad: r.observed.load, Returned: r.Returned, Server: server.Server, Addr: server.Addr,
	}
	if tenants := r.core.options.Settings.Tenants; r.Tenant >= 0 && r.Tenant < len(tenants) {
		state.Tenant = tenants[r.Tenant].Name
	}
	return state, true
}

// Reattach resumes a detached connection in this process.
func (r *Request) Reattach() {
	r.transferring = false
	if client, ok := r.client.(TransferableClient); ok {
		client.Reattach()
	}
	r.migrateIfDraining(r.attempt.server, r.core.options.Clock.Now())
}

// Release removes a detached connection from the core without ending it: another process has taken it over.
func (r *Request) Release() {
	r.finished = true
	attempt := r.attempt
	attempt.ended = true
	attempt.server.inFlight--
	r.attempt = nil
	r.observeEnd(Transferred)
	if client, ok := r.client.(TransferableClient); ok {
		client.Release()
	}
	r.core.notify(choice.Transferred{ID: r.ID})
	r.forgetIfDone()
}

// LearnedState returns the balancer's learned state, for another process.
func (c *Core) LearnedState() choice.LearnedState {
	state := c.balancer.LearnedState()
	state.Now = c.balancerTime(c.options.Clock.Now())
	return state
}

// ImportLearnedState passes the learned state of another process to the balancer.
func (c *Core) ImportLearnedState(state choice.LearnedState) {
	c.notify(choice.LearnedStateReceived{LearnedState: state})
}

// Adopt takes over an open connection from another process. The caller must have validated state with Check. The
// connection doesn't count as a request that this process has served.
func (c *Core) Adopt(state ConnectionState, client Client) (*Request, *Attempt) {
	now := c.options.Clock.Now()
	request := c.adoptedRequest(state, client, now)
	attempt := &Attempt{request: request, startedAt: now, written: true, server: c.servers[state.Server.ID]}
	if attempt.server == nil { // this process's endpoint list may no longer have the server
		attempt.server = &serverState{ServerEntry: ServerEntry{Server: state.Server, Addr: state.Addr}}
	}
	attempt.Server = attempt.server.ServerEntry
	request.guard = c.options.Monitor.Adopted(invariant.RequestFacts{ID: string(state.ID), Class: state.Class})
	attempt.server.inFlight++
	request.attempt = attempt
	c.yieldID(state.ID)
	if c.requests[state.ID] != nil { // the balancer knows only the first request of an id, so migrate this one
		c.options.Clock.At(now, request.migrate)
		return request, attempt
	}
	c.requests[state.ID] = request
	c.notify(choice.OpenConnection{
		Request: request.event(), Server: state.Server.ID, OriginalClass: &request.class,
		CurrentLoad: state.CurrentLoad,
	})
	request.migrateIfDraining(attempt.server, now)
	return request, attempt
}

// adoptedRequest creates the request of an open connection of another process. It looks up the class and the tenant by
// their names.
func (c *Core) adoptedRequest(state ConnectionState, client Client, now time.Time) *Request {
	c.lastSequence++
	request := &Request{
		Spec: Spec{
			ID: state.ID, Class: -1, Tenant: -1, Key: state.Key, Group: state.Group, Load: state.UsualLoad,
			Returned: state.Returned, Deadline: now,
		},
		core: c, client: client, class: state.Class, open: true, attemptCount: 1,
		observed: observation{sequence: c.lastSequence, arrivedAt: now, load: state.CurrentLoad, answered: true},
	}
	for i, class := range c.options.Settings.Classes {
		if class.Name == state.Class.Name {
			request.Class = i
		}
	}
	for i, tenant := range c.options.Settings.Tenants {
		if tenant.Name == state.Tenant && state.Tenant != "" {
			request.Tenant = i
		}
	}
	return request
}

// SetUpstream sets the upstream request of an adopted attempt.
func (a *Attempt) SetUpstream(upstream UpstreamRequest) { a.upstream = upstream }
