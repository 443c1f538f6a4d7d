// Package membership says which nodes of a fleet are live, in one view that all share.
//
//   - List is the nodes as the operators name them, and who watches whom: the same on all nodes that have the same
//     list.
//   - FailureDetector is a node's failure detector: it takes heartbeats and reports which of the watched nodes are
//     unreachable.
//   - CutDetector is the leader's multi-node cut detection: it takes what the failure detectors report and decides, for
//     several nodes at once where they fail together, who is out of the view and who is back.
//
// The agent of a node owns its failure detector, the planner of the leader the cut detector; both call them from one
// goroutine. The package is free of I/O and clocks: time is a parameter, on a monotonic clock of the caller's own.
package membership
