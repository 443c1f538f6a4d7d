// Package failover decides, for a fleet of proxies spread over zones, which zones' servers the clients of each zone
// may use, and how much of each zone's capacity each node may take.
//
// A decision passes through these stages:
//
//   - Evidence. Each node summarizes what its load balancer observed (Summarize). The aggregators of a zone add up
//     the evidence of its nodes (EvidenceSummary.Add) and send it to the leader of the fleet.
//   - Planning. At the leader, a Planner processes the evidence (Planner.Observe), estimates demand and capacity, moves
//     each zone through its states (healthy, lost, returning, drained) and makes a new Plan when one is needed
//     (Planner.Step). The leader proposes the plan to the consensus log. The plan takes effect once it is committed
//     (Planner.ApplyPlan).
//   - Use. Each node derives the grants of its load balancer from the newest plan that it has persisted (ZonePlanFor).
//     A node that needs more than its share requests the rest (LeaseDemand) from lease owners (LeaseOwner).
//
// Nodes adopt plans at different times, and a node without contact to the leader keeps the plan that it has. The
// planner therefore makes grants such that any mix of plans in use stays within each zone's capacity. docs/failover.md
// explains why this holds.
//
// The agent (internal/failover/agent) calls this package. It owns a node's Planner, PlanHistory and LeaseOwner, sends
// messages, persists plans and keeps the time. The laboratory decodes plans to check them. The package does no I/O and
// starts no goroutines, and nothing in it is safe for concurrent use. Functions receive the time as a duration on the
// caller's own monotonic clock.
//
// Load and capacity are given in units of reported load, the unit in which servers report the cost of their
// connections. A number of servers means complete servers at full speed.
package failover
