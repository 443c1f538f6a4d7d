// Package consensus contains the replicated log of a fleet. The log is a sequence of numbered entries: a few replicas
// commit them by consensus, and every other node follows the log. The package does not interpret the data of entries.
//
// The replicas run Raft (Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm, 2014). Package
// replica, in a subdirectory, contains the Raft replica. This package contains what replicas and followers share:
//
//   - Entry, Proposal and ProposalResult are a committed entry, a proposed entry and the outcome of a proposal.
//   - State is the replicated state machine to which each replica applies the log.
//   - Follower stores the newest entries that a node has received, on nodes with and without a replica.
//   - Record contains changes that a node must persist.
//   - Message is a message that a replica sends to another replica.
//   - Store is the file in which records are persisted.
//
// The agent (package internal/failover/agent) owns the Follower and makes all calls to this package from one goroutine,
// except the calls of the Store. The node package owns the Store and calls it from the goroutine that persists records.
// Everything except Store is free of I/O, clocks and goroutines. Each call takes an event and returns the actions that
// follow from it, so that tests can inject each fault in memory.
package consensus
