// Package loop is the one event loop of a process: gnet's poller under connections that are objects with callbacks,
// with non-blocking dialling, accepting, datagrams and timers. All callbacks run on the loop's goroutine, which owns
// the state of the whole program; nothing is started for a single connection. Other goroutines reach it through Post
// alone.
//
// It stands on gnet's poller (pkg/netpoll) and not on gnet's engine. The engine was tried and lacks three things that
// the node can't do without: a connect that doesn't block, a pause in reading (back-pressure), and outliving an
// accept that fails for want of descriptors.
package loop
