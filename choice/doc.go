// Package choice decides, for one node of a balancer of long-lived connections, on which server each new
// connection is placed.
//
// The node's core (internal/edge) makes a [Balancer] with [New] from its [Settings], hands it what happens as
// events through [Balancer.Step], and carries out the actions that come back, in order. The simulator's programs
// do the same with simulated time. The package reads no clock, starts no goroutine, does no I/O, and draws random
// numbers only from the seed, so the same events give the same actions.
//
// A Balancer owns all state of its decisions: the server table with learned costs, the requests and connections of
// its node, controllers, budgets and reservations. One goroutine owns the Balancer; it is not safe for concurrent
// use. Only [LearnedState] leaves it, for the next process of the same node.
//
// The caller's duties: times that do not go back (an earlier one counts as the latest seen), one [AttemptEnded]
// for each [StartAttempt], one [HealthCheckResult] for each [HealthCheck], and a [TimerFired] for each [SetTimer].
// Events with unknown ids are ignored.
//
// The package keeps four rules: one final answer in time for each request; no effect of a request twice; no new
// connection to a server that is draining or gone; and no more to a server in slow start than this node's part of
// its slow-start budget.
//
// Where to find what:
//
//   - settings.go, event.go, action.go: the interface; balancer.go: the state; step.go: events to decisions.
//   - admission.go, throttle.go: which requests are admitted; retry.go: attempts, retries, idempotency, rejections.
//   - choice.go: the placement of a request; zones.go: the zones that a plan allows; groups.go: affinity of groups.
//   - server.go: the server table; outlier.go: ejection; slowstart.go: servers that have just started.
//   - load.go, cost.go, units.go: predicted loads; weight.go: the PID controller and weights of the draw.
//   - inference.go: loads where servers send no reports; healthcheck.go: reports on demand.
//   - migration.go: connections migrated off overloaded servers.
//   - reservation.go, peermessage.go, peerclock.go: reservations at the node that owns a server.
//   - learned.go, observations.go: what other processes and the planner of zones receive.
package choice
