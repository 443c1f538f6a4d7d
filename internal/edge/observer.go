package edge

import (
	"time"

	"spurwinch/choice"
)

// Observer is notified of what passes through a core, at once and on its goroutine: it must neither wait nor call back.
type Observer interface {
	Answered(answered Answered)
	Ended(sequence uint64, lifetime time.Duration, load float64, cause EndCause)
	Report(server choice.ServerID, values []float64)
	ServerChanged(server ServerEntry) // new to the list, or changed
	Settings(settings choice.Settings)
}

// Answered is a request with its one final answer.
type Answered struct {
	Spec
	Sequence uint64 // of the core's requests
	Arrived  time.Time
	Took     time.Duration
	Answer   Answer
	Attempts []AttemptResult // in order; the last one may be the connection that is open
}

// Answer is the final answer of a request.
type Answer uint8

const (
	// Open is an open connection.
	Open Answer = iota
	// Served is a server's complete answer, without an open connection.
	Served
	// Rejected is a local reply that promises that a retry is harmless.
	Rejected
	// Failed is a local reply that promises nothing.
	Failed
	// ClientLeft says that the client left before any answer.
	ClientLeft
)

// EndCause says who ended an open connection.
type EndCause uint8

const (
	// ByClient says that the client ended it or lost it.
	ByClient EndCause = iota
	// ByServer says that the server ended it or lost it.
	ByServer
	// Migrated says that the node asked the client to reconnect.
	Migrated
	// Transferred says that it goes on in another process of the node.
	Transferred
)

// AttemptResult is an attempt with its outcome, as far as there is one.
type AttemptResult struct {
	Server  choice.ServerID
	Outcome choice.Outcome
	Took    time.Duration
}

// observation is a request's state for the observer.
type observation struct {
	sequence  uint64
	arrivedAt time.Time
	openSince time.Time // zero: there is no open connection, or its end was observed
	load      float64   // of the open connection, as last reported
	results   []AttemptResult
	answered  bool // the final answer was observed
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

// observeResult records an attempt's outcome for the observer until the final answer.
func (r *Request) observeResult(a *Attempt, outcome choice.Outcome) {
	if r.core.options.Observer == nil || r.observed.answered {
		return
	}
	took := r.core.options.Clock.Now().Sub(a.startedAt)
	r.observed.results = append(r.observed.results, AttemptResult{Server: a.server.ID, Outcome: outcome, Took: took})
}
