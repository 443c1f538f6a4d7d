// Package trace records the progress of requests. It logs each change of a request's state at level debug, with the
// request's id. It counts by reason how often connections were closed, attempts were retried, and the node itself
// answered a request.
//
// Package edge and the front ends call the only Recorder of a process. The node owns the Recorder and serves its
// counts. The package writes to the process's log and does no other I/O. A Recorder must be used by only one goroutine.
package trace
