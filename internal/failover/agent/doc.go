// Package agent runs one node's part in its fleet as a single state machine.
//
// The terms, in the order in which data flows: a node sends evidence of how the zones are doing to the aggregators of
// its own zone, two nodes that add it up to a summary. Summaries go to the voters, the nodes that replicate the fleet's
// log. The voter that is the leader turns summaries into plans. A plan grants the nodes of each zone load in some
// zones, valid for a time after the last contact with the leader. A part of each zone's capacity is left to a lease
// owner, which leases it for seconds to nodes that need more than their grants. Plans, operators' orders and the
// fleet's policy are entries of the log; nodes that don't vote fetch them from one another.
//
// Two callers drive an Agent: internal/node/fleet.go on sockets and files, and internal/lab/simulation in simulated
// time. They pass in messages (Agent.Receive, Agent.Answer), the time (Agent.Tick), what the load balancer observed
// (Agent.Observe) and that a record reached the disk (Agent.Persisted). After each call they collect the work: messages
// to send (Agent.TakeMessages), a record to write (Agent.NextRecord), a plan for the load balancer (Agent.ZonePlan) and
// the policy to serve by (Agent.ActivePolicy).
//
// An Agent owns all of its state, belongs to one goroutine and does no I/O: it has no socket, file, clock or lock. Time
// is the caller's monotonic clock, as a duration; the clocks of two nodes are never compared. An entry of the log takes
// effect at a node only when it is on the node's disk.
package agent
