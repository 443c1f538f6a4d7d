// Package membership determines which nodes of a fleet are live, as one view that all nodes share.
//
//   - List holds the nodes that the operators configured, and determines which nodes watch which. All nodes with the
//     same list get the same result.
//   - FailureDetector is a node's failure detector. It receives heartbeats and reports which of the watched nodes are
//     unreachable.
//   - CutDetector is the leader's multi-node cut detector. From the reports of the failure detectors it decides which
//     nodes to remove from the view and which to add again. Nodes that fail together are removed together.
//
// A node's agent owns the failure detector, and the leader's planner owns the cut detector. Each owner calls its
// detector from one goroutine. The package does no I/O and reads no clock. Callers pass the time in, from a monotonic
// clock of their own.
package membership
