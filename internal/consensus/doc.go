// Package consensus is the replicated log of a fleet: a sequence of numbered entries that a few replicas decide by
// consensus and that every other node follows. It does not know what the entries carry.
//
// The replicas run Raft (Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm, 2014); their
// state machine is in the package below this one. This package has what replicas and followers share:
//
//   - Entry, Proposal and ProposalResult, the values that are decided;
//   - State, the replicated state machine that each replica applies the log to;
//   - Follower, the newest entries as a node that is not a replica knows them;
//   - Record and Message, what a replica hands out to be persisted and sent;
//   - Store, the file that records are persisted in.
//
// The agent of the failover package calls all of this from one goroutine and owns the Follower; the node package owns
// the Store and calls it from the goroutine that persists records. Everything but Store is free of I/O, clocks and
// goroutines: a call takes what has happened and returns what is to be done, so that each fault can be tested in
// memory.
package consensus
