package edge

import (
	"errors"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/invariant"
)

// Connections that another process of this node takes over, in a hot restart: the client and the server notice nothing.

// Faults of a connection's state as another process has sent it.
var (
	ErrNoConnectionID = errors.New("connection state without an id of its request or its server")
	ErrImpossibleLoad = errors.New("connection state with a load that is negative or no number")
)

// ConnectionState is an open connection as one process sends it to another: by names and values, since tables differ.
type ConnectionState struct {
	ID          choice.RequestID `cbor:"1,keyasint"`
	Class       choice.Class     `cbor:"2,keyasint"` // as it was when the request came
	Tenant      string           `cbor:"3,keyasint,omitempty"`
	Key         uint64           `cbor:"4,keyasint,omitempty"`
	Group       uint64           `cbor:"5,keyasint,omitempty"`
	UsualLoad   float64          `cbor:"6,keyasint,omitempty"` // as the request had it, work a second
	CurrentLoad float64          `cbor:"7,keyasint,omitempty"` // as last reported, work a second
	Returned    bool             `cbor:"8,keyasint,omitempty"`
	Server      choice.Server    `cbor:"9,keyasint"`
	Addr        string           `cbor:"10,keyasint"` // of the server
}

// Check reports a fault of what another process sent: ErrNoConnectionID or ErrImpossibleLoad.
func (s ConnectionState) Check() error {
	if s.ID == "" || s.Server.ID == "" {
		return ErrNoConnectionID
	}
	if !(s.UsualLoad >= 0) || !(s.CurrentLoad >= 0) { // not a number, too
		return ErrImpossibleLoad
	}
	return nil
}

// TransferableClient is a Client whose open connection another process can take over.
type TransferableClient interface {
	Client
	// Detach takes the connection's sockets off the loop and returns them, and what the front knows of it. ok is false
	// where it can't be transferred now.
	Detach() (fds []int, state any, ok bool)
	// Reattach has it go on here.
	Reattach()
	// Release closes this process's side of it: another process has it.
	Release()
}

// Transferable are the open connections that may be transferred now, in no order.
func (c *Core) Transferable() (all []*Request) {
	for _, r := range c.requests {
		if _, ok := r.client.(TransferableClient); ok && r.open && !r.finished && !r.transferring {
			all = append(all, r)
		}
	}
	return all
}

// Detach takes an open connection off the loop and returns its sockets and what its front knows. Until it is
// reattached or released nothing happens on it.
func (r *Request) Detach() (fds []int, front any, ok bool) {
	client, transferable := r.client.(TransferableClient)
	if !transferable || !r.open || r.finished || r.transferring {
		return nil, nil, false
	}
	fds, front, ok = client.Detach()
	if ok {
		r.transferring = true
	}
	return fds, front, ok
}

// ConnectionState is what the core knows of an open connection.
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

// Reattach has a detached connection go on here.
func (r *Request) Reattach() {
	r.transferring = false
	if client, ok := r.client.(TransferableClient); ok {
		client.Reattach()
	}
	r.migrateIfDraining(r.attempt.server, r.core.options.Clock.Now())
}

// Release forgets a detached connection: it is another process's, and has not ended.
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

// LearnedState is what the balancer has learned so far, for another process.
func (c *Core) LearnedState() choice.LearnedState {
	state := c.balancer.LearnedState()
	state.Now = c.balancerTime(c.options.Clock.Now())
	return state
}

// ImportLearnedState hands the balancer what that of another process has learned.
func (c *Core) ImportLearnedState(state choice.LearnedState) {
	c.notify(choice.LearnedStateReceived{LearnedState: state})
}

// Adopt takes over an open connection of another process, of which Check has found no fault. It counts as none that
// this one has served.
func (c *Core) Adopt(state ConnectionState, client Client) (*Request, *Attempt) {
	now := c.options.Clock.Now()
	request := c.adoptedRequest(state, client, now)
	attempt := &Attempt{request: request, startedAt: now, written: true, server: c.servers[state.Server.ID]}
	if attempt.server == nil { // it may be gone from the list here
		attempt.server = &serverState{ServerEntry: ServerEntry{Server: state.Server, Addr: state.Addr}}
	}
	attempt.Server = attempt.server.ServerEntry
	request.guard = c.options.Monitor.Adopted(invariant.RequestFacts{ID: string(state.ID), Class: state.Class})
	attempt.server.inFlight++
	request.attempt = attempt
	if c.requests[state.ID] != nil { // an id that is open here: the balancer knows the first only, and this one goes
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

// adoptedRequest is the request of an open connection of another process, whose class and tenant are found by their
// names.
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

// Resume says which upstream connection an adopted attempt is.
func (a *Attempt) Resume(upstream UpstreamRequest) { a.upstream = upstream }
