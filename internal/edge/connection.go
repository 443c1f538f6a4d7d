package edge

import (
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
)

const (
	// unresponsiveAfter is how long a message may go unanswered before its server counts as lost.
	unresponsiveAfter = 4500 * time.Millisecond
	// migrationGrace is for the end of a server's current line, where a client is to be migrated.
	migrationGrace = time.Second
	// slowDelayInterval is between two reports of slow messages at one server.
	slowDelayInterval = time.Second
	// slowDelayDivisor: a message counts as slow beyond the strictest latency objective over this. The balancer infers
	// load from slower ones alone (choice/inference.go).
	slowDelayDivisor = 3
	// lateDrainDivisor: a connection that opens at a draining server migrates after this part of the drain period.
	lateDrainDivisor = 4
)

// Established says that the server took the connection.
func (a *Attempt) Established() {
	request := a.request
	if a.ended || !request.waiting() {
		return
	}
	request.open = true
	request.served(a, Open)
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

// UpdateLoad reports the connection's present load, in work a second.
func (a *Attempt) UpdateLoad(load float64) {
	request := a.request
	if a.ended || !request.open {
		return
	}
	request.observed.load = load
	request.core.notify(choice.LoadUpdate{ID: request.ID, Attempt: a.Number, Load: load})
}

// ObserveDelay reports how long a message took on the connection, or has taken so far. The balancer is notified of a
// server's slow messages once a second at most, and of the first one that is fast again.
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

// UnresponsiveAfter is how long a connection may return nothing to a message before its client is migrated: its
// server is lost although the connection stands.
func (a *Attempt) UnresponsiveAfter() time.Duration { return unresponsiveAfter }

// Unresponsive migrates the client of a connection that returns nothing.
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
	if !drain.endAt.IsZero() { // a server that stopped amid a line must not delay its client's migration past the end
		by = earlier(by, drain.endAt)
	}
	r.client.Migrate(by)
	r.attempt.Ended(choice.Cancelled, nil)
	r.forgetIfDone()
}

// migrateIfDraining has a connection that opens now migrate in time where the node or its server is draining.
func (r *Request) migrateIfDraining(server *serverState, now time.Time) {
	core := r.core
	switch {
	case core.drain.rejecting:
		core.options.Clock.At(now, r.migrate)
	case !core.drain.migrateBy.IsZero():
		core.options.Clock.At(core.drain.migrateBy, r.migrate)
	case server.State != choice.Ready && core.options.DrainPeriod > 0:
		// It began to drain while the connection was set up.
		core.options.Clock.At(now.Add(core.options.DrainPeriod/lateDrainDivisor), r.migrate)
	}
}
