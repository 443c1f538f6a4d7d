// Package failover decides, for a fleet of proxies spread over zones, which zones' servers the clients of each zone
// may use, and how much of each zone's capacity each node may take.
//
// The decisions pass through these stages:
//
//   - Evidence. Each node summarizes what its load balancer observed (Summarize). The aggregators of a zone add up
//     the evidence of its nodes (EvidenceSummary.Add) and send it to the leader of the fleet.
//   - Planning. At the leader, a Planner takes the evidence in (Planner.Observe), estimates demand and capacity, moves
//     each zone through its states (healthy, lost, returning, drained) and makes a Plan where one is wanted
//     (Planner.Step). The plan is proposed to the consensus log, and counts once it is decided (Planner.ApplyPlan).
//   - Use. Each node derives the grants of its load balancer from the newest plan that it has persisted (ZonePlanFor).
//     What a node needs beyond its share it requests (LeaseDemand) from the owners of capacity leases (LeaseOwner).
//
// Nodes adopt plans at different times, and a node without contact to the leader keeps the plan that it has. Grants are
// therefore made such that any mix of plans in use stays within each zone's capacity: docs/failover.md has the
// argument.
//
// The package is called by internal/failover/agent, which owns a node's Planner, PlanHistory and LeaseOwner and sends,
// persists and times everything; the laboratory decodes plans to check them. All of it is free of I/O and of
// goroutines, nothing here is safe for concurrent use, and time is a value: a duration on the caller's own monotonic
// clock.
//
// Load and capacity are given in units of reported load: the unit in which servers report what their connections cost
// them. "Servers" as a quantity means complete servers at full speed.
package failover
