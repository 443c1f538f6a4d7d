// Package replica is one replica of the replicated log: etcd's implementation of Raft as a pure state machine, between
// messages and records. It stands apart from package consensus because what it links keeps 3.4 MB of code in a program
// that only follows the log.
//
// The agent of a node that the list of nodes names as a replica owns its Replica and calls it from one goroutine:
//
//   - Tick and Receive take time and messages of other replicas, Propose and ConfirmLeadership what the node wants;
//   - Ready gives the record that has to be persisted next; when it is, Persisted gives the messages to send and the
//     results of proposals;
//   - Compact gives, now and then, one record that replaces all others.
//
// The package is free of I/O, clocks and goroutines. A panic of the Raft library stops the replica, not the process:
// see Err.
package replica
