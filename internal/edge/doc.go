// Package edge is the request core of one cluster. It holds each client request from its arrival until its connection
// has ended, each attempt at a server, the attempt's one outcome and the request's one final answer, and the timers
// that bound them.
//
// A Core owns the balancer of its cluster (choice.Balancer). What happens becomes an event; Flush hands the events to
// the balancer and carries out the actions that it returns, in order. The balancer decides, the core keeps the
// promises: a request gets one final answer, an attempt one outcome, and what the balancer asks for is checked against
// package invariant before anything is sent.
//
// The callers are the fronts, which speak a protocol with clients and servers (they call Open and the methods of
// Request and Attempt, and implement Client and UpstreamRequest), service discovery (UpdateServers), and the node,
// which creates the core, sets its settings and policy lease, drains it and transfers its connections to a new
// process.
//
// The package does no I/O, starts no goroutine and reads the time from Options.Clock alone. All of its state belongs to
// the event loop's goroutine; nothing here is safe for concurrent use.
package edge
