package edge

import (
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
)

const (
	// unresponsiveAfter is how long a message may remain unanswered before its server counts as lost.
	unresponsiveAfter = 4500 * time.Millisecond
	// migrationGrace is how long a server may take to complete its current line before its client is migrated.
	migrationGrace = time.Second
	// slowDelayInterval is the minimum time between two reports of slow messages at one server.
	slowDelayInterval = time.Second
	// slowDelayDivisor sets the delay above which a message counts as slow: the strictest message latency objective
	// divided by slowDelayDivisor. The balancer infers load only from slower messages (choice/inference.go).
	slowDelayDivisor = 3
	// lateDrainDivisor sets when the core migrates a connection that opens at a draining server: after the drain period
	// divided by lateDrainDivisor.
	lateDrainDivisor = 4
)

// Established reports that the server has accepted the connection.
func (a *Attempt) Established() {
	request := a.request
	if a.ended || !request.waiting() {
		return
	}
	request.open = true
	request.recordServed(a, Open)
	request.observed.openSince = request.core.options.Clock.Now()
	if a.stopTimer != nil {
		a.stopTimer()
	}
	request.stopTimers()
	if request.OpenAt != "" {
		a.Number = 0
		request.core.notify(choice.OpenConnection{Request: request.event(), Server: request.OpenAt})
	} else {
		took := request.core.options.Clock.Now().Sub(a.startedAt)
		request.core.notify(choice.Established{ID: request.ID, Attempt: a.Number, Server: a.server.ID, Took: took})
	}
	request.migrateIfDraining(a.server, request.core.options.Clock.Now())
}

// UpdateLoad reports the connection's current load, in work per second.
func (a *Attempt) UpdateLoad(load float64) {
	request := a.request
	if a.ended || !request.open {
		return
	}
	request.observed.load = load
	request.core.notify(choice.LoadUpdate{ID: request.ID, Attempt: a.Number, Load: load})
}

// ObserveDelay reports how long a message took on the connection, or has taken so far. The core notifies the balancer
// of a server's slow messages at most once a second, and of the first fast message after slow ones.
func (a *Attempt) ObserveDelay(took time.Duration) {
	request := a.request
	if a.ended || !request.open || request.finished {
		return
	}
	server := a.server
	took = max(took-server.connectTime, time.Microsecond)
	now := request.core.options.Clock.Now()
	slow := took > request.core.strictestMessageObjective/slowDelayDivisor
	if slow && now.Sub(server.delayObservedAt) < slowDelayInterval || !slow && !server.slow {
		return
	}
	server.delayObservedAt = now
	server.slow = slow
	request.core.notify(choice.DelayObservation{ID: request.ID, Server: server.ID, Took: took})
}

// UnresponsiveAfter returns how long a message may remain unanswered before the front end calls Unresponsive. The
// server then counts as lost although its connection is still open.
func (a *Attempt) UnresponsiveAfter() time.Duration { return unresponsiveAfter }

// Unresponsive migrates the client of a connection on which the server has stopped responding.
func (a *Attempt) Unresponsive() {
	if a.ended {
		return
	}
	zap.L().Warn("server_unresponsive_client_migrated", zap.String("host", string(a.server.ID)))
	a.request.migrate()
}

// migrate asks the client of an open connection to reconnect, and ends the connection.
func (r *Request) migrate() {
	if !r.open || r.finished || r.transferring {
		return
	}
	r.finished = true
	drain := &r.core.drain
	if !drain.migrateBy.IsZero() {
		drain.migrated++
	}
	r.observeEnd(Migrated)
	by := r.core.options.Clock.Now().Add(migrationGrace)
	if !drain.endAt.IsZero() { // an incomplete line of the server must not delay the migration past endAt
		by = earlier(by, drain.endAt)
	}
	r.client.Migrate(by)
	r.attempt.Ended(choice.Cancelled, nil)
	r.forgetIfDone()
}

// migrateIfDraining schedules the migration of a connection that opens now, if the node or the server is draining.
func (r *Request) migrateIfDraining(server *serverState, now time.Time) {
	core := r.core
	switch {
	case core.drain.rejecting:
		core.options.Clock.At(now, r.migrate)
	case !core.drain.migrateBy.IsZero():
		core.options.Clock.At(core.drain.migrateBy, r.migrate)
	case server.State != choice.Ready && core.options.DrainPeriod > 0:
		// The server began to drain while the connection was being set up.
		core.options.Clock.At(now.Add(core.options.DrainPeriod/lateDrainDivisor), r.migrate)
	}
}
