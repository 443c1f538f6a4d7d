// Package trace records what becomes of requests: each change of state in the log with the request's id (level
// debug), and how often connections were closed, attempts retried and requests answered by the node itself, by
// reason.
//
// Package edge and the fronts call the one Recorder of a process; the node owns it and serves its counts. The package
// writes to the process's log and does no other I/O. A Recorder belongs to one goroutine.
package trace
