// Package edge implements the request core of one cluster. It tracks each client request from its arrival until its
// connection has ended, together with its attempts and the timers that bound them. Each attempt has exactly one outcome
// and each request exactly one final answer.
//
// A Core owns the balancer of its cluster (choice.Balancer). The core queues an event for everything that the balancer
// must know. Flush passes the queued events to the balancer and performs the actions that it returns, in order. The
// balancer decides where requests go. The core guarantees one final answer per request and one outcome per attempt, and
// checks each action of the balancer with package invariant before it sends anything.
//
// The core has three kinds of callers:
//   - Front ends speak a protocol with clients and servers. They call Open and the methods of Request and Attempt, and
//     implement Client and UpstreamRequest.
//   - Service discovery calls UpdateServers.
//   - The node creates the core, sets its settings and its policy lease, drains it, and transfers its connections to a
//     new process.
//
// The package does no I/O, starts no goroutine and reads the time only from Options.Clock. All of its state belongs to
// the event loop's goroutine; nothing here is safe for concurrent use.
package edge
