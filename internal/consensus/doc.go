// Package consensus contains the replicated log of a fleet. The log is a sequence of numbered entries: a few replicas
// commit them by consensus, and every other node follows the log. The package does not interpret the data of entries.
//
// The replicas run Raft (Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm, 2014). Package
// replica, in a subdirectory, contains the Raft replica. This package contains what replicas and followers share:
//
//   - Entry, Proposal and ProposalResult are the values that the log decides.
//   - State is the replicated state machine to which each replica applies the log.
//   - Follower stores the newest entries that a node has received, on nodes with and without a replica.
//   - Record is what a replica returns to be persisted, Message what it returns to be sent.
//   - Store is the file in which records are persisted.
//
// The agent of the failover package owns the Follower and calls this package from one goroutine, except for the Store:
// the node package owns it and calls it from the goroutine that persists records. Everything but Store is free of I/O,
// clocks and goroutines. Each call takes an event and returns the actions that follow from it, so that tests can inject
// each fault in memory.
package consensus
