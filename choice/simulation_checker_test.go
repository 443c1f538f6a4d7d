package choice_test

import (
	"fmt"
	"slices"
	"time"

	"spurwinch/choice"
)

// simulationChecker checks the rules for every node and request of a simulation. It uses only the events and actions.
// (The tests inside package choice check a single balancer with a balancerChecker.)
type simulationChecker struct {
	sim   *simulation
	nodes map[*simNode]*nodeState
}

// nodeState is what the checker knows of one node.
type nodeState struct {
	listedServers    map[choice.ServerID]bool          // servers that any list has contained so far
	unavailableSince map[choice.ServerID]time.Duration // when the node learned that the server drains or is gone
	serverStates     map[choice.ServerID]choice.ServerState
	watchDueSince    time.Duration // when the list became unavailable and a WatchList became due; 0: none is due
	planReceivedAt   time.Duration // actions of the step at this time may still follow the previous plan
	planZones        []string      // zones of the plan, nearest first; nil: no plan
	hasPlan          bool
	requestsBefore   map[choice.RequestID]requestState
}

// requestState is what a node knew of a request before the current batch of events. A later event of the batch may
// change the request after the event that an action responds to.
type requestState struct{ open, ended, clientGone bool }

func newSimulationChecker() *simulationChecker {
	return &simulationChecker{nodes: map[*simNode]*nodeState{}}
}

func (c *simulationChecker) nodeState(node *simNode) *nodeState {
	state := c.nodes[node]
	if state == nil {
		state = &nodeState{
			listedServers: map[choice.ServerID]bool{}, unavailableSince: map[choice.ServerID]time.Duration{},
			serverStates: map[choice.ServerID]choice.ServerState{}, requestsBefore: map[choice.RequestID]requestState{},
		}
		c.nodes[node] = state
	}
	return state
}

func (c *simulationChecker) violation(node *simNode, format string, args ...any) {
	c.sim.t.Helper()
	c.sim.t.Fatalf("%s, node %d at %v: %s\nsettings: %+v", c.sim.name, node.index, c.sim.now-simulationStart,
		fmt.Sprintf(format, args...),
		c.sim.settings)
}

func (c *simulationChecker) onEvent(node *simNode, delivered choice.Event) {
	state := c.nodeState(node)
	switch event := delivered.(type) {
	case choice.ServerList:
		c.onServerList(node, state, event)
	case choice.Request:
		request := c.sim.requests[event.ID]
		request.deadline = c.sim.now + event.TimeLeft
		c.sim.after(event.TimeLeft+c.sim.settings.Rules.AnswerSlack+1, func() { c.checkAnswered(node, request) })
	case choice.ZonePlan:
		state.hasPlan, state.planReceivedAt, state.planZones = event.Grants != nil, c.sim.now, nil
		for _, grant := range event.Grants {
			state.planZones = append(state.planZones, grant.Zone)
		}
	case choice.Established:
		state.saveState(event.ID, c.sim)
	case choice.AttemptEnded:
		state.saveState(event.ID, c.sim)
	case choice.ClientGone:
		state.saveState(event.ID, c.sim)
	}
}

// saveState saves what the node knew of a request before the current batch.
func (n *nodeState) saveState(id choice.RequestID, sim *simulation) {
	if _, ok := n.requestsBefore[id]; !ok {
		request := sim.requests[id]
		n.requestsBefore[id] = requestState{request.open, request.ended, request.clientGone}
	}
}

// stateBeforeBatch returns what the node knew of a request before the current batch.
func (n *nodeState) stateBeforeBatch(request *simRequest) requestState {
	if state, ok := n.requestsBefore[request.ID]; ok {
		return state
	}
	return requestState{request.open, request.ended, request.clientGone}
}

func (c *simulationChecker) onServerList(node *simNode, state *nodeState, list choice.ServerList) {
	if list.Kind == choice.ListUnavailable {
		unavailableAt := c.sim.now
		state.watchDueSince = unavailableAt
		c.sim.after(c.sim.settings.Rules.MaxPollInterval, func() {
			if state.watchDueSince == unavailableAt {
				c.violation(node, "server list unavailable since %v: got no WatchList in MaxPollInterval, want one",
					unavailableAt-simulationStart)
			}
		})
		return
	}
	updates := map[choice.ServerID]choice.ServerState{}
	if list.Kind != choice.ListChange {
		for id := range state.serverStates {
			updates[id] = choice.Gone
		}
	}
	for _, server := range list.Servers {
		updates[server.ID], state.listedServers[server.ID] = server.State, true
	}
	for id, serverState := range updates {
		state.serverStates[id] = serverState
		if _, unavailable := state.unavailableSince[id]; serverState == choice.Ready {
			delete(state.unavailableSince, id)
		} else if !unavailable {
			state.unavailableSince[id] = c.sim.now
		}
	}
}

// checkAnswered runs after a request's deadline and AnswerSlack have passed.
func (c *simulationChecker) checkAnswered(node *simNode, request *simRequest) {
	if !request.answered && !request.open && !request.ended && !request.clientGone {
		c.violation(node, "final answer to %s: got none by its deadline %v plus the slack, want one", request.ID,
			request.deadline-simulationStart)
	}
}

func (c *simulationChecker) onAction(node *simNode, returned choice.Action) {
	state := c.nodeState(node)
	switch action := returned.(type) {
	case choice.StartAttempt:
		c.checkStartAttempt(node, state, action)
	case choice.Reject:
		c.checkReject(node, state, action)
	case choice.Fail:
		if request := c.checkFinalAnswer(node, state, action.ID); request.attemptThatMayHaveRun() != nil {
			c.sim.count("failures of requests that may have run")
		}
	case choice.Migrate:
		request := c.sim.requests[action.ID]
		if request == nil || request.node != node || !request.open && !state.stateBeforeBatch(request).open ||
			state.stateBeforeBatch(request).ended {
			c.violation(node, "migration: got %+v, want one of an open connection of this node", action)
		}
	case choice.SetTimer:
		if action.Token == "" || action.After < 0 {
			c.violation(node, "timer: got %+v, want one with a token and a delay of at least 0", action)
		}
	case choice.WatchList:
		if !c.sim.settings.Subscribe {
			c.violation(node, "WatchList: got one, want none because the server list is pushed")
		}
		state.watchDueSince = 0
	default:
		c.checkLimits(node, state, returned)
	}
}

// checkLimits checks the actions that Settings.Limits allow or forbid.
func (c *simulationChecker) checkLimits(node *simNode, state *nodeState, returned choice.Action) {
	limits := c.sim.settings.Limits
	switch action := returned.(type) {
	case choice.CancelAttempt:
		request := c.sim.requests[action.ID]
		if !limits.Cancellation || request == nil || action.Attempt < 0 || action.Attempt >= len(request.attempts) {
			c.violation(node, "cancellation: got %+v, want one that is allowed, of an existing attempt", action)
		}
	case choice.HealthCheck:
		if !limits.HealthChecks || !state.listedServers[action.Server] {
			c.violation(node, "health check: got %+v, want one that is allowed, of a listed server", action)
		}
	case choice.SendPeerMessage:
		if !limits.PeerMessages || action.To < 0 || action.To >= len(c.sim.nodes) || action.To == node.index ||
			len(action.Data) > maxPeerMessageBytes {
			c.violation(node, "peer message: got %d bytes to node %d, want at most 256 to another node, if allowed",
				len(action.Data), action.To)
		}
	}
}

// checkReject checks that a node rejects a request that may have run only if a retry by the client can't take effect
// twice. Other requests that may have run must fail.
func (c *simulationChecker) checkReject(node *simNode, state *nodeState, action choice.Reject) {
	request := c.checkFinalAnswer(node, state, action.ID)
	if request.attemptThatMayHaveRun() != nil {
		class := request.class
		if class.Idempotency == choice.NotIdempotent ||
			class.Idempotency == choice.IdempotentByKey && class.IdempotencyScope != choice.ScopeAll {
			c.violation(node, "answer to %s, which may have run: got a rejection, want a failure: class %+v",
				request.ID, class)
		}
		c.sim.count("rejections of requests that may have run")
	}
	c.checkRetryAfter(node, action)
}

// checkRetryAfter checks that the retry-after time of a rejection is allowed and at most Limits.MaxRetryAfter.
func (c *simulationChecker) checkRetryAfter(node *simNode, rejection choice.Reject) {
	if rejection.RetryAfter == 0 {
		return
	}
	c.sim.count("retry-after times")
	if limits := c.sim.settings.Limits; !limits.RetryAfter || rejection.RetryAfter < 0 ||
		rejection.RetryAfter > limits.MaxRetryAfter {
		c.violation(node, "retry-after time of a rejection: got %v, want at most %v (allowed: %v)",
			rejection.RetryAfter, limits.MaxRetryAfter, limits.RetryAfter)
	}
}

// attemptThatMayHaveRun returns the first attempt that may have run on its server, or that is in progress and may still
// run. It returns nil if there is none.
func (r *simRequest) attemptThatMayHaveRun() *simAttempt {
	for _, attempt := range r.attempts {
		if !attempt.outcomeReported || !attempt.outcome.NeverRan() {
			return attempt
		}
	}
	return nil
}

// checkFinalAnswer checks that a final answer is the only one of its request, comes from the request's node and is in
// time.
func (c *simulationChecker) checkFinalAnswer(node *simNode, state *nodeState, id choice.RequestID) *simRequest {
	request := c.sim.requests[id]
	if request == nil || request.node != node || request.answered {
		c.violation(node, "final answer to %s: got a second one or one from another node, want one from its node", id)
	}
	if before := state.stateBeforeBatch(request); before.open || before.ended || before.clientGone {
		c.violation(node, "final answer to %s: got one after its end, want none: state %+v", id, before)
	}
	if c.sim.now > request.deadline+c.sim.settings.Rules.AnswerSlack {
		c.violation(node, "final answer to %s: got one too late, want one by its deadline %v plus the slack", id,
			request.deadline-simulationStart)
	}
	return request
}

func (c *simulationChecker) checkStartAttempt(node *simNode, state *nodeState, action choice.StartAttempt) {
	request, server, rules := c.sim.requests[action.ID], c.sim.byID[action.Server], c.sim.settings.Rules
	switch {
	case request == nil || request.node != node || server == nil || !state.listedServers[action.Server]:
		c.violation(node, "attempt: got %+v, want one for a request of this node at a listed server", action)
	case request.answered || state.stateBeforeBatch(request).open || state.stateBeforeBatch(request).ended:
		c.violation(node, "attempt of %s: got one after its final answer, want none", action.ID)
	case state.stateBeforeBatch(request).clientGone:
		c.violation(node, "attempt of %s: got one after its client has gone, want none", action.ID)
	case len(request.attempts) >= c.sim.settings.Limits.MaxAttempts:
		c.violation(node, "attempts of %s: got %d, want at most Limits.MaxAttempts", action.ID,
			len(request.attempts)+1)
	case len(request.attempts) > 0 && !request.attempts[len(request.attempts)-1].outcomeReported:
		c.violation(node, "attempts of %s in progress: got 2, want 1", action.ID)
	case action.Timeout <= 0 || c.sim.now+action.Timeout > request.deadline:
		c.violation(node, "timeout of an attempt: got %+v, want a positive one that ends by the deadline %v", action,
			request.deadline-simulationStart)
	}
	if since, unavailable := state.unavailableSince[action.Server]; unavailable &&
		c.sim.now > since+rules.DrainGrace {
		c.violation(node, "attempt: got %+v, want another server because this one drains or is gone since %v", action,
			since-simulationStart)
	}
	if state.hasPlan && c.sim.now > state.planReceivedAt && request.StickyServer != action.Server &&
		!slices.Contains(state.planZones, server.Zone) {
		c.violation(node, "attempt: got %+v, want a server in the zones %v of the plan, not in %s", action,
			state.planZones, server.Zone)
	}
	if earlier := request.attemptThatMayHaveRun(); earlier != nil {
		c.checkRetry(node, action, request, earlier, server)
	}
}

// checkRetry checks that another attempt of a request that may have run can't take effect twice.
func (c *simulationChecker) checkRetry(node *simNode, action choice.StartAttempt, request *simRequest,
	earlier *simAttempt, server *simServer,
) {
	class := request.class
	switch {
	case class.Idempotency == choice.Idempotent:
		c.sim.count("retries of idempotent requests")
	case class.Idempotency == choice.NotIdempotent:
		c.violation(node, "retry of %s: got one after an attempt that may have run, want none: not idempotent",
			action.ID)
	case c.sim.now > earlier.sentAt+class.IdempotencyWindow || action.SendBefore <= 0 ||
		action.SendBefore > earlier.sentAt+class.IdempotencyWindow:
		c.violation(node, "retry: got %+v, want it sent within the idempotency window of %v since %v", action,
			class.IdempotencyWindow, earlier.sentAt-simulationStart)
	case class.IdempotencyScope == choice.ScopeZone && server.Zone != earlier.server.Zone,
		class.IdempotencyScope == choice.ScopeCell && server.Cell != earlier.server.Cell:
		c.violation(node, "retry: got %+v at %+v, want a server in the idempotency scope of the first, %+v", action,
			server.Server, earlier.server.Server)
	default:
		c.sim.count("retries with idempotency key, scope " +
			[]string{"all", "zone", "cell"}[class.IdempotencyScope])
	}
}

func (c *simulationChecker) onStep(node *simNode, events []choice.Event, actions []choice.Action) {
	state := c.nodeState(node)
	clear(state.requestsBefore)
	pending := 0
	for _, delivered := range events {
		switch delivered.(type) {
		case choice.PeerMessage, choice.HealthCheckResult, choice.ServerList: // each may continue all pending requests
			pending = len(c.sim.requests)
		}
	}
	if limit := 40 * (1 + len(events) + len(c.sim.servers) + pending); len(actions) > limit {
		c.violation(node, "actions of a step: got %d for %d events, want at most 40*(1+events+servers+pending)",
			len(actions), len(events))
	}
}
