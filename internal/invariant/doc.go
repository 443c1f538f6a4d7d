// Package invariant checks at run time that a node keeps its promises to clients and servers.
//
// A Monitor is called at each of the steps that can break a promise: when an attempt starts, when its first byte is
// sent, when either repeats an earlier attempt, and when a request or its connection is closed. It decides nothing: a
// step that it objects to is a fault of the program, which is counted and reported, and which the caller must not
// take.
//
// Package edge calls it for each request; the node owns the one Monitor of a process, logs its violations and serves
// its counts. The package does no I/O and reads no clock. A Monitor and its requests belong to one goroutine.
package invariant
