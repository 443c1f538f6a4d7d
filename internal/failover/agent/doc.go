// Package agent runs one node's part in its fleet as a single state machine. The node reports evidence of how zones
// are doing, aggregates the evidence of its zone, sends heartbeats to those that watch it, votes where it is a voter,
// makes the fleet's plans while it is the leader, leases capacity from and to other nodes, follows the log of plans,
// operators' orders and the policy, and tells the node's load balancer which plan applies.
//
// Two callers drive it: internal/node/fleet.go on sockets and files, and internal/lab/explore in simulated time. They
// pass in messages (Agent.Receive, Agent.Answer), the time (Agent.Tick), what the load balancer observed
// (Agent.Observe) and that a record reached the disk (Agent.Persisted); after each call they collect what there is to
// do: messages to send (Agent.Out), a record to write (Agent.Save) and a new plan (Agent.ZonePlan).
//
// An Agent owns all of its state, belongs to one goroutine and does no I/O: it has no socket, file, clock or lock.
// Time is the caller's monotonic clock, as a duration; clocks of two nodes are never compared. Nothing that follows
// from a log entry leaves the node before the entry is on its disk.
package agent
