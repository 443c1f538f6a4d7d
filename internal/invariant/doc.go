// Package invariant checks at run time that a node keeps its promises to clients and servers.
//
// The program calls a Monitor at each step that can break a promise: when an attempt starts, when its first byte is
// sent, when either of these repeats an earlier attempt, and when a request or its connection is closed. The Monitor
// makes no decisions of its own. If it objects to a step, the program has a fault. The Monitor counts and reports the
// violation, and the caller must not take the step.
//
// Package edge calls the Monitor for each request. The node owns the only Monitor of a process, logs its violations and
// serves its counts. The package does no I/O and reads no clock. A Monitor and its requests must be used by only one
// goroutine.
package invariant
