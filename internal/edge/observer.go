package edge

import (
	"time"

	"spurwinch/choice"
)

// Observer is notified of the requests, connections, load reports and servers of a core. The core calls it
// synchronously on its own goroutine, so its methods must neither block nor call the core.
type Observer interface {
	Answered(answered Answered)
	Ended(sequence uint64, lifetime time.Duration, load float64, cause EndCause)
	Report(server choice.ServerID, values []float64)
	ServerChanged(server ServerEntry) // a new server of the endpoint list, or a changed one
	Settings(settings choice.Settings)
}

// Answered describes a request with its final answer.
type Answered struct {
	Spec
	Sequence uint64 // position among the core's requests, from 1
	Arrived  time.Time
	Took     time.Duration
	Answer   Answer
	Attempts []AttemptResult // in order; the last one may be the open connection
}

// Answer is the final answer of a request.
type Answer uint8

const (
	// Open means that the connection was opened.
	Open Answer = iota
	// Served means that a server answered completely, without an open connection.
	Served
	// Rejected means that the node sent a local reply which guarantees that a retry is harmless.
	Rejected
	// Failed means that the node sent a local reply without that guarantee.
	Failed
	// ClientLeft means that the client left before it had an answer.
	ClientLeft
)

// EndCause is the cause of an open connection's end.
type EndCause uint8

const (
	// ByClient means that the client closed or lost the connection.
	ByClient EndCause = iota
	// ByServer means that the server closed or lost the connection.
	ByServer
	// Migrated means that the node asked the client to reconnect.
	Migrated
	// Transferred means that another process of the node has taken over the connection.
	Transferred
)

// AttemptResult describes an attempt and its outcome, which is choice.Served if its connection is open.
type AttemptResult struct {
	Server  choice.ServerID
	Outcome choice.Outcome
	Took    time.Duration
}

// observation is the state of a request that the core keeps for the observer.
type observation struct {
	sequence  uint64
	arrivedAt time.Time
	openSince time.Time // zero: there is no open connection, or the observer was notified of its end
	load      float64   // last reported load of the open connection
	results   []AttemptResult
	answered  bool // the observer was notified of the final answer
}

// observeAnswer notifies the observer of the request's final answer, once.
func (r *Request) observeAnswer(answer Answer) {
	observer := r.core.options.Observer
	if observer == nil || r.observed.answered {
		return
	}
	r.observed.answered = true
	observer.Answered(Answered{
		Spec: r.Spec, Sequence: r.observed.sequence, Arrived: r.observed.arrivedAt,
		Took: r.core.options.Clock.Now().Sub(r.observed.arrivedAt), Answer: answer, Attempts: r.observed.results,
	})
}

// observeEnd notifies the observer, once, that the open connection has ended.
func (r *Request) observeEnd(cause EndCause) {
	observer := r.core.options.Observer
	if observer == nil || r.observed.openSince.IsZero() {
		return
	}
	lifetime := r.core.options.Clock.Now().Sub(r.observed.openSince)
	observer.Ended(r.observed.sequence, lifetime, r.observed.load, cause)
	r.observed.openSince = time.Time{}
}

// observeResult records an attempt's outcome for the observer, unless the request already has its final answer.
func (r *Request) observeResult(a *Attempt, outcome choice.Outcome) {
	if r.core.options.Observer == nil || r.observed.answered {
		return
	}
	took := r.core.options.Clock.Now().Sub(a.startedAt)
	r.observed.results = append(r.observed.results, AttemptResult{Server: a.server.ID, Outcome: outcome, Took: took})
}
