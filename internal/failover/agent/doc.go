// Package agent implements a node's role in its fleet as a single state machine.
//
// Data flows through a fleet as follows. Each node sends evidence of the state of the zones to the aggregators of its
// own zone, two nodes that combine it into a summary. The aggregators send summaries to the voters, the nodes that
// replicate the fleet's log. The voter that is the leader turns summaries into plans. A plan grants the nodes of each
// zone load in some zones. Grants are valid for a limited time after the last contact with the leader. The plan leaves
// a part of each zone's capacity to a lease owner, which leases it for a few seconds to nodes that need more than their
// grants. Plans, operators' orders and the fleet's policy are entries of the log. Nodes that are not voters fetch them
// from other nodes.
//
// Two callers drive an Agent: internal/node/fleet.go with sockets and files, and internal/lab/simulation in simulated
// time. They pass in messages (Agent.Receive, Agent.Answer), the time (Agent.Tick) and the load balancer's observations
// (Agent.Observe), and they report that a record is on disk (Agent.Persisted). After each call they collect the
// results: messages to send (Agent.TakeMessages), a record to write (Agent.NextRecord), a plan for the load balancer
// (Agent.ZonePlan) and the policy to serve by (Agent.ActivePolicy).
//
// An Agent owns all of its state, must be used by one goroutine only and does no I/O: it has no socket, file, clock or
// lock. The caller passes the time of its monotonic clock as a duration. The clocks of two nodes are never compared. A
// log entry takes effect at a node only after the node has written it to disk.
package agent
