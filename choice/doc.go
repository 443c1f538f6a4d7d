// Package choice decides, for one node of a balancer of long-lived connections, on which server each new
// connection is placed.
//
// The node's core (internal/edge) creates a [Balancer] with [New] from its [Settings], passes events to
// [Balancer.Step], and carries out the returned actions in order. The simulator's programs do the same with
// simulated time. The package reads no clock, starts no goroutine, does no I/O, and draws random numbers only from
// the seed, so the same events give the same actions.
//
// A Balancer owns all state of its decisions: the server table with learned costs, the requests and connections of
// its node, controllers, budgets and reservations. One goroutine owns the Balancer; it is not safe for concurrent
// use. Only [LearnedState] is passed on, to the next process of the same node.
//
// The caller must pass times that do not decrease (an earlier time counts as the latest one seen), one
// [AttemptEnded] for each [StartAttempt], one [HealthCheckResult] for each [HealthCheck], and a [TimerFired] for
// each [SetTimer]. The package ignores events with unknown IDs.
//
// The package guarantees four rules: each request gets one final answer in time; no request takes effect twice; no
// server that is draining or gone gets a new connection; and a server in slow start gets no more than this node's
// part of its slow-start budget.
//
// Files:
//
//   - settings.go, event.go, action.go: the interface; balancer.go: the state; step.go: the dispatch of events.
//   - admission.go, throttle.go: which requests are admitted; retry.go: attempts, retries, idempotency, rejections.
//   - choice.go: the placement of a request; zones.go: the zones that a plan allows; groups.go: affinity of groups.
//   - server.go: the server table; outlier.go: ejection; slowstart.go: servers that have just started.
//   - load.go, cost.go, units.go: predicted loads; weight.go: the PID controller and weights of the draw.
//   - inference.go: loads where servers send no reports; healthcheck.go: reports on demand.
//   - migration.go: connections migrated off overloaded servers.
//   - reservation.go, peermessage.go, peerclock.go: reservations at the node that owns a server.
//   - learned.go: learned state for other processes of the node; observations.go: observations for the fleet's leader.
package choice
