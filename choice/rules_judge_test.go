package choice_test

import (
	"fmt"
	"slices"
	"time"

	"spurwinch/choice"
)

// rulesJudge checks the rules for every node and request of a simulation, from the events and actions alone.
type rulesJudge struct {
	w     *simulation
	nodes map[*simNode]*nodeBook
}

// nodeBook is what the judge keeps of one node.
type nodeBook struct {
	everListed map[choice.ServerID]bool
	offSince   map[choice.ServerID]time.Duration // since when it knows that the server drains or is gone
	lists      map[choice.ServerID]choice.ServerState
	lostAt     time.Duration // since when it owes an ask for the list; 0: it owes none
	planAt     time.Duration // what was decided in the step of its coming, before it, goes by the one before
	zones      []string      // the plan's, nearest first; nil: no plan
	planned    bool
	before     map[choice.RequestID]requestState
}

// requestState is what a node knew of a request before the batch in hand: what a batch tells may come behind the
// event that an action answers.
type requestState struct{ open, over, gone bool }

func newRulesJudge() *rulesJudge { return &rulesJudge{nodes: map[*simNode]*nodeBook{}} }

func (j *rulesJudge) book(n *simNode) *nodeBook {
	k := j.nodes[n]
	if k == nil {
		k = &nodeBook{
			everListed: map[choice.ServerID]bool{}, offSince: map[choice.ServerID]time.Duration{},
			lists: map[choice.ServerID]choice.ServerState{}, before: map[choice.RequestID]requestState{},
		}
		j.nodes[n] = k
	}
	return k
}

func (j *rulesJudge) broken(n *simNode, format string, args ...any) {
	j.w.t.Helper()
	j.w.t.Fatalf("%s, node %d at %v: %s\nsettings: %+v", j.w.name, n.number, j.w.now-simulationStart,
		fmt.Sprintf(format, args...),
		j.w.settings)
}

func (j *rulesJudge) delivered(n *simNode, e choice.Event) {
	book := j.book(n)
	switch event := e.(type) {
	case choice.ServerList:
		j.listDelivered(n, book, event)
	case choice.Request:
		r := j.w.requests[event.ID]
		r.deadline = j.w.now + event.TimeLeft
		j.w.after(event.TimeLeft+j.w.settings.Rules.AnswerSlack+1, func() { j.mustBeAnswered(n, r) })
	case choice.ZonePlan:
		book.planned, book.planAt, book.zones = event.Grants != nil, j.w.now, nil
		for _, g := range event.Grants {
			book.zones = append(book.zones, g.Zone)
		}
	case choice.Established:
		book.keep(event.ID, j.w)
	case choice.AttemptEnded:
		book.keep(event.ID, j.w)
	case choice.ClientGone:
		book.keep(event.ID, j.w)
	}
}

// keep remembers how a request stood before this batch.
func (k *nodeBook) keep(id choice.RequestID, w *simulation) {
	if _, ok := k.before[id]; !ok {
		r := w.requests[id]
		k.before[id] = requestState{r.open, r.over, r.gone}
	}
}

// state is how a request stood before this batch.
func (k *nodeBook) state(r *simRequest) requestState {
	if s, ok := k.before[r.ID]; ok {
		return s
	}
	return requestState{r.open, r.over, r.gone}
}

func (j *rulesJudge) listDelivered(n *simNode, book *nodeBook, list choice.ServerList) {
	if list.Kind == choice.ListUnavailable {
		lost := j.w.now
		book.lostAt = lost
		j.w.after(j.w.settings.Rules.MaxPollInterval, func() {
			if book.lostAt == lost {
				j.broken(n, "the list was lost at %v and not asked for again", lost-simulationStart)
			}
		})
		return
	}
	named := map[choice.ServerID]choice.ServerState{}
	if list.Kind != choice.ListChange {
		for id := range book.lists {
			named[id] = choice.Gone
		}
	}
	for _, s := range list.Servers {
		named[s.ID], book.everListed[s.ID] = s.State, true
	}
	for id, state := range named {
		book.lists[id] = state
		if _, off := book.offSince[id]; state == choice.Ready {
			delete(book.offSince, id)
		} else if !off {
			book.offSince[id] = j.w.now
		}
	}
}

func (j *rulesJudge) mustBeAnswered(n *simNode, r *simRequest) {
	if !r.answered && !r.open && !r.over && !r.gone {
		j.broken(n, "%s has no answer by its deadline %v and the slack", r.ID, r.deadline-simulationStart)
	}
}

func (j *rulesJudge) acted(node *simNode, toCheck choice.Action) {
	book := j.book(node)
	switch action := toCheck.(type) {
	case choice.StartAttempt:
		j.sends(node, book, action)
	case choice.Reject:
		j.rejects(node, book, action)
	case choice.Fail:
		if request := j.final(node, book, action.ID); request.mayHaveRun() != nil {
			j.w.count("failures of what may have run")
		}
	case choice.Migrate:
		request := j.w.requests[action.ID]
		if request == nil || request.node != node || !request.open && !book.state(request).open ||
			book.state(request).over {
			j.broken(node, "%+v names no open connection of this node", action)
		}
	case choice.SetTimer:
		if action.Token == "" || action.After < 0 {
			j.broken(node, "bad timer %+v", action)
		}
	case choice.WatchList:
		if !j.w.settings.Subscribe {
			j.broken(node, "asks for a list that is pushed")
		}
		book.lostAt = 0
	default:
		j.mayDo(node, book, toCheck)
	}
}

// mayDo checks the actions that the limits of the settings allow or forbid.
func (j *rulesJudge) mayDo(node *simNode, book *nodeBook, toCheck choice.Action) {
	limits := j.w.settings.Limits
	switch action := toCheck.(type) {
	case choice.CancelAttempt:
		request := j.w.requests[action.ID]
		if !limits.Cancellation || request == nil || action.Attempt < 0 || action.Attempt >= len(request.attempts) {
			j.broken(node, "%+v is not allowed or names no attempt", action)
		}
	case choice.HealthCheck:
		if !limits.HealthChecks || !book.everListed[action.Server] {
			j.broken(node, "%+v is not allowed or names no listed server", action)
		}
	case choice.SendPeerMessage:
		if !limits.PeerMessages || action.To < 0 || action.To >= len(j.w.nodes) || action.To == node.number ||
			len(action.Data) > maxMessageBytes {
			j.broken(node, "message of %d bytes to %d is not allowed or goes nowhere", len(action.Data), action.To)
		}
	}
}

// rejects checks a rejection.
func (j *rulesJudge) rejects(node *simNode, book *nodeBook, action choice.Reject) {
	request := j.final(node, book, action.ID)
	if request.mayHaveRun() != nil {
		class := request.class
		if class.Idempotency == choice.NotIdempotent ||
			class.Idempotency == choice.IdempotentByKey && class.IdempotencyScope != choice.ScopeAll {
			j.broken(node, "%s may have run and is rejected as if it had not: %+v", request.ID, class)
		}
		j.w.count("rejections of what may have run")
	}
	j.advises(node, action)
}

// advises checks the advice of a rejection.
func (j *rulesJudge) advises(n *simNode, a choice.Reject) {
	if a.RetryAfter == 0 {
		return
	}
	j.w.count("advice")
	if limits := j.w.settings.Limits; !limits.RetryAfter || a.RetryAfter < 0 || a.RetryAfter > limits.MaxRetryAfter {
		j.broken(n, "advice of %v is not allowed; at most %v, allowed: %v", a.RetryAfter, limits.MaxRetryAfter,
			limits.RetryAfter)
	}
}

// mayHaveRun is the first attempt that may have run at its server, or is out and may yet.
func (r *simRequest) mayHaveRun() *simAttempt {
	for _, at := range r.attempts {
		if !at.ended || !at.outcome.NeverRan() {
			return at
		}
	}
	return nil
}

// final checks a final answer: it is the only one, and comes in time.
func (j *rulesJudge) final(node *simNode, k *nodeBook, id choice.RequestID) *simRequest {
	request := j.w.requests[id]
	if request == nil || request.node != node || request.answered {
		j.broken(node, "a second or foreign answer for %s", id)
	}
	if was := k.state(request); was.open || was.over || was.gone {
		j.broken(node, "an answer for %s, which is over: %+v", id, was)
	}
	if j.w.now > request.deadline+j.w.settings.Rules.AnswerSlack {
		j.broken(node, "an answer for %s after its deadline %v", id, request.deadline-simulationStart)
	}
	return request
}

func (j *rulesJudge) sends(node *simNode, book *nodeBook, action choice.StartAttempt) {
	request, server, rules := j.w.requests[action.ID], j.w.byID[action.Server], j.w.settings.Rules
	switch {
	case request == nil || request.node != node || server == nil || !book.everListed[action.Server]:
		j.broken(node, "%+v names no request of this node or no listed server", action)
	case request.answered || book.state(request).open || book.state(request).over:
		j.broken(node, "%s is sent after its final answer", action.ID)
	case book.state(request).gone:
		j.broken(node, "%s is sent after its client has gone", action.ID)
	case len(request.attempts) >= j.w.settings.Limits.MaxAttempts:
		j.broken(node, "%s is sent a %dth time", action.ID, len(request.attempts)+1)
	case len(request.attempts) > 0 && !request.attempts[len(request.attempts)-1].ended:
		j.broken(node, "two attempts of %s are out", action.ID)
	case action.Timeout <= 0 || j.w.now+action.Timeout > request.deadline:
		j.broken(node, "the cap of %+v outlives its client at %v", action, request.deadline-simulationStart)
	}
	if since, off := book.offSince[action.Server]; off && j.w.now > since+rules.DrainGrace {
		j.broken(node, "%+v: the server drains or is gone since %v", action, since-simulationStart)
	}
	if book.planned && j.w.now > book.planAt && request.StickyServer != action.Server && !slices.Contains(book.zones,
		server.Zone) {
		j.broken(node, "%+v leaves the zones of the plan %v for %s", action, book.zones, server.Zone)
	}
	if may := request.mayHaveRun(); may != nil {
		j.repeats(node, action, request, may, server)
	}
}

// repeats checks a further attempt of a request that may have run.
func (j *rulesJudge) repeats(node *simNode, action choice.StartAttempt, request *simRequest, may *simAttempt,
	server *simServer,
) {
	class := request.class
	switch {
	case class.Idempotency == choice.Idempotent:
		j.w.count("safe repeats")
	case class.Idempotency == choice.NotIdempotent:
		j.broken(node, "%s is unsafe, may have run and is sent again", action.ID)
	case j.w.now > may.sentAt+class.IdempotencyWindow || action.SendBefore <= 0 ||
		action.SendBefore > may.sentAt+class.IdempotencyWindow:
		j.broken(node, "%+v: the window of %v since %v is over", action, class.IdempotencyWindow,
			may.sentAt-simulationStart)
	case class.IdempotencyScope == choice.ScopeZone && server.Zone != may.server.Zone,
		class.IdempotencyScope == choice.ScopeCell && server.Cell != may.server.Cell:
		j.broken(node, "%+v leaves the servers that know of it: %+v, first %+v", action, server.Server,
			may.server.Server)
	default:
		j.w.count("keyed repeats, scope " + []string{"all", "zone", "cell"}[class.IdempotencyScope])
	}
}

func (j *rulesJudge) stepped(node *simNode, events []choice.Event, actions []choice.Action) {
	k := j.book(node)
	clear(k.before)
	waiting := 0
	for _, e := range events {
		switch e.(type) {
		case choice.PeerMessage, choice.HealthCheckResult, choice.ServerList: // each may go on with all that waits
			waiting = len(j.w.requests)
		}
	}
	if most := 40 * (1 + len(events) + len(j.w.servers) + waiting); len(actions) > most {
		j.broken(node, "%d actions for %d events", len(actions), len(events))
	}
}
