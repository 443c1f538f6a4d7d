// Package replica implements one replica of the replicated log. It wraps etcd's implementation of Raft as a pure state
// machine that consumes messages and produces messages and records. It is separate from package consensus because the
// Raft library and its dependencies would add 3.4 MB of code to a program that only follows the log.
//
// If the node list names a node as a replica, the node's agent owns a Replica and calls it from one goroutine:
//
//   - Tick advances the time, and Receive takes the messages of other replicas.
//   - Propose and ConfirmLeadership take the requests of the node.
//   - Ready returns the record that must be persisted next. Once the caller has persisted it, Persisted returns the
//     messages to send and the results of proposals.
//   - Compact occasionally returns one record that replaces all others.
//
// The package is free of I/O, clocks and goroutines. A panic of the Raft library stops the replica but not the process;
// see Err.
package replica
