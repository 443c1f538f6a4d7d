// Package loop is the single event loop of a process. It provides connections with callbacks, non-blocking dialling,
// listeners, datagrams and timers. All callbacks run on the loop's goroutine, which owns the state of the whole
// program; no goroutine is started for a single connection. Other goroutines hand work to the loop only through Post.
//
// The package uses gnet's poller (pkg/netpoll) and not gnet's engine. The engine was tried and lacks three features
// that the node needs: a connect that doesn't block, a pause in reading (back-pressure), and a listener that survives
// an accept that fails because no descriptor is left.
package loop
