package choice_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"spurwinch/choice"
)

const (
	// drawnSettings is how many settings a run of the tests draws; RANDOM_SETTINGS=1000 plays more.
	drawnSettings = 80
	// drawnDay is how long a drawn world has clients; then it runs on until all is answered.
	drawnDay = 16 * time.Second
	// worldLimit is how long one world may take, far over what any does (under 1 s): it tells a Step that does not end.
	worldLimit = time.Minute
	// maxMessageBytes is the most bytes of a message between nodes.
	maxMessageBytes = 256
)

// rulesJudge checks the rules for every node and request of a simulation, from the events and actions alone.
type rulesJudge struct {
	w     *simulation
	nodes map[*simNode]*nodeBook
}

// nodeBook is what the judge keeps of one node.
type nodeBook struct {
	everListed map[choice.ServerID]bool
	offSince   map[choice.ServerID]time.Duration // since when it was told that the server drains or is gone
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

func (j *rulesJudge) acted(n *simNode, a choice.Action) {
	book, limits := j.book(n), j.w.settings.Limits
	switch action := a.(type) {
	case choice.StartAttempt:
		j.sends(n, book, action)
	case choice.Reject:
		r := j.final(n, book, action.ID)
		if r.mayHaveRun() != nil {
			if r.class.Idempotency == choice.NotIdempotent || r.class.Idempotency == choice.IdempotentByKey &&
				r.class.IdempotencyScope != choice.ScopeAll {
				j.broken(n, "%s may have run and is rejected as if it had not: %+v", r.ID, r.class)
			}
			j.w.count("rejections of what may have run")
		}
		j.advises(n, action)
	case choice.Fail:
		if r := j.final(n, book, action.ID); r.mayHaveRun() != nil {
			j.w.count("failures of what may have run")
		}
	case choice.CancelAttempt:
		r := j.w.requests[action.ID]
		if !limits.Cancellation || r == nil || action.Attempt < 0 || action.Attempt >= len(r.attempts) {
			j.broken(n, "%+v is not allowed or names no attempt", action)
		}
	case choice.HealthCheck:
		if !limits.HealthChecks || !book.everListed[action.Server] {
			j.broken(n, "%+v is not allowed or names no listed server", action)
		}
	case choice.Migrate:
		r := j.w.requests[action.ID]
		if r == nil || r.node != n || !r.open && !book.state(r).open || book.state(r).over {
			j.broken(n, "%+v names no open connection of this node", action)
		}
	case choice.SetTimer:
		if action.Token == "" || action.After < 0 {
			j.broken(n, "bad timer %+v", action)
		}
	case choice.WatchList:
		if !j.w.settings.Subscribe {
			j.broken(n, "asks for a list that is pushed")
		}
		book.lostAt = 0
	case choice.SendPeerMessage:
		if !limits.PeerMessages || action.To < 0 || action.To >= len(j.w.nodes) || action.To == n.number ||
			len(action.Data) > maxMessageBytes {
			j.broken(n, "message of %d bytes to %d is not allowed or goes nowhere", len(action.Data), action.To)
		}
	}
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
		j.broken(node, "%+v: it was told at %v that the server drains or is gone", action, since-simulationStart)
	}
	if book.planned && j.w.now > book.planAt && request.StickyServer != action.Server && !slices.Contains(book.zones, server.Zone) {
		j.broken(node, "%+v leaves the zones of the plan %v for %s", action, book.zones, server.Zone)
	}
	if may := request.mayHaveRun(); may != nil {
		j.repeats(node, action, request, may, server)
	}
}

// repeats checks a further attempt of a request that may have run.
func (j *rulesJudge) repeats(node *simNode, action choice.StartAttempt, request *simRequest, may *simAttempt, server *simServer) {
	class := request.class
	switch {
	case class.Idempotency == choice.Idempotent:
		j.w.count("safe repeats")
	case class.Idempotency == choice.NotIdempotent:
		j.broken(node, "%s is unsafe, may have run and is sent again", action.ID)
	case j.w.now > may.sentAt+class.IdempotencyWindow || action.SendBefore <= 0 ||
		action.SendBefore > may.sentAt+class.IdempotencyWindow:
		j.broken(node, "%+v: the window of %v since %v is over", action, class.IdempotencyWindow, may.sentAt-simulationStart)
	case class.IdempotencyScope == choice.ScopeZone && server.Zone != may.server.Zone,
		class.IdempotencyScope == choice.ScopeCell && server.Cell != may.server.Cell:
		j.broken(node, "%+v leaves the servers that know of it: %+v, first %+v", action, server.Server, may.server.Server)
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

// drawSettings draws what nodes are told and what the world is like.
func drawSettings(rng *rand.Rand) (choice.Settings, terms, []choice.Server) {
	chance := func(part float64) bool { return rng.Float64() < part }
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*rng.Float64() }
	seconds := func(lo, hi float64) time.Duration { return time.Duration(between(lo, hi) * float64(time.Second)) }
	servers, zones := 3+int(58*rng.Float64()*rng.Float64()), 1+rng.IntN(5)
	conditions := terms{
		perServer: between(6, 20), connectionTime: seconds(3, 9), listDelay: seconds(0.05, 2), lossOfList: between(0, 0.4),

		messageLoss: between(0, 0.3), tries: 1 + rng.IntN(4), leavers: between(0, 0.2), loadsReported: chance(0.4),
		oddAnswers: between(0.02, 0.2), shedAt: between(1, 1.6), homes: 0.03, skew: 1 + rng.IntN(5),
	}
	conditions.slotsAt = conditions.shedAt * between(0.8, 1.1)
	settings := choice.Settings{
		Nodes: 1 + rng.IntN(30), Zone: "z0", GroupAffinity: chance(0.4), PacketPassThrough: chance(0.2),
		Subscribe: chance(0.5),
		Reports:   choice.ReportSource(rng.IntN(3)), Sizes: choice.SizeKind(rng.IntN(3)), DelaysObserved: chance(0.5),
		OverQuotaPriority: between(0, 1), PriorityPerWork: chance(0.5), RoundTrip: 5 * time.Millisecond,
		Limits: choice.Limits{
			MaxAttempts: 1 + rng.IntN(8), HealthChecks: chance(0.8), Cancellation: chance(0.7),
			PeerMessages: chance(0.6),
			RetryAfter:   chance(0.6), MaxRetryAfter: seconds(0.5, 3), ConnectTimeout: seconds(0.05, 0.4),
		},
		Rules: choice.Rules{
			AnswerSlack: 20 * time.Millisecond, MaxPollInterval: seconds(2, 10), DrainGrace: seconds(0.3, 5),
			SlowStartFraction: between(0.1, 0.6), WarmUp: seconds(4, 25), OverloadMultiple: between(2, 5),
			OverloadTime: seconds(1, 3),
		},
		Costs: choice.Costs{
			HealthCheck: between(0.001, 0.01), Migration: 0.01, PeerMessage: between(0, 0.02),
			CrossZone: between(0, 0.03),
		},
	}
	if settings.Reports != choice.NoReports {
		settings.ReportFields = []choice.ReportField{
			choice.Load, choice.Backlog, choice.InFlight, choice.Queue,
			choice.Utilization, choice.Latency,
		}
		rng.Shuffle(len(settings.ReportFields), func(a, b int) {
			settings.ReportFields[a], settings.ReportFields[b] = settings.ReportFields[b], settings.ReportFields[a]
		})
		settings.ReportFields = settings.ReportFields[:1+rng.IntN(4)]
	}
	if chance(0.5) {
		settings.InitialCost = 1 / conditions.perServer
	}
	for i := range 1 + rng.IntN(5) {
		c := choice.Class{
			Name: fmt.Sprint("c", i), SetupObjective: seconds(0.2, 0.8), Deadline: seconds(0.8, 4),
			Priority:         between(0.5, 8),
			MessageObjective: seconds(0.05, 0.2), Idempotency: choice.Idempotency(rng.IntN(3)),
		}
		if c.Idempotency == choice.IdempotentByKey {
			c.IdempotencyScope, c.IdempotencyWindow = choice.Scope(rng.IntN(3)), seconds(0.1, 4)
		}
		settings.Classes = append(settings.Classes, c)
	}
	for i := range rng.IntN(2) * (1 + rng.IntN(4)) {
		settings.Tenants = append(settings.Tenants, choice.Tenant{
			Name: fmt.Sprint("t", i), Rate: between(1, 10), Share: 0.2,
			Connections: between(0, 1) * float64(servers) * conditions.perServer,
		})
	}
	var list []choice.Server
	for i := range servers {
		h := choice.Server{
			ID: choice.ServerID(fmt.Sprintf("h%02d", i)), Zone: fmt.Sprint("z", i%zones), Kind: fmt.Sprint("k", i%2),
			Cell: i % (2 * zones), Size: 1,
		}
		if settings.Sizes != choice.NoSize {
			h.Size = between(0.5, 2)
		}
		list = append(list, h)
	}
	return settings, conditions, list
}

// playDrawn plays one drawn world and returns how often what happened.
func playDrawn(t *testing.T, seed uint64) map[string]int {
	t.Helper()
	return playDrawnWorld(t, seed, nil).counts
}

// playDrawnWorld plays one drawn world and returns it as it is at its end. The recorder sees all actions; nil: nobody
// does.
func playDrawnWorld(t *testing.T, seed uint64, r *recorder) *simulation {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	settings, conditions, list := drawSettings(rng)
	j := newRulesJudge()
	world := newSimulation(t, fmt.Sprintf("seed %d", seed), settings, conditions, list, seed, j)
	j.w, world.recorder = world, r
	watchdog := time.AfterFunc(worldLimit, func() { panic(fmt.Sprintf("seed %d: the world hangs", seed)) })
	defer watchdog.Stop()

	// new connections a second that fill all servers
	capacity := float64(len(list)) * conditions.perServer / conditions.connectionTime.Seconds()
	draw := func() *simClient {
		client := &simClient{class: world.rng.IntN(len(settings.Classes)), tenant: -1, key: world.rng.Uint64(), load: 1}
		if len(settings.Tenants) > 0 {
			client.tenant = world.rng.IntN(len(settings.Tenants))
		}
		if settings.GroupAffinity {
			client.group = world.rng.Uint64N(20)
		}
		if conditions.loadsReported {
			client.load = 0.5 + world.rng.Float64()
		}
		return client
	}
	world.arrivalsFor(drawnDay, capacity*(0.3+0.6*rng.Float64()), draw)
	world.after(world.upTo(drawnDay), func() { world.arrivalsFor(2*time.Second, capacity*2, draw) }) // a burst
	schedule(world, settings)
	world.run(world.now + drawnDay)
	stopNodes(world)
	world.terms.tries = 0 // who comes later than that has no answer within the run
	world.run(world.now + 12*time.Second)
	for _, r := range world.requests {
		if !r.answered && !r.open && !r.over && !r.gone {
			t.Fatalf("seed %d: %s never got its answer", seed, r.ID)
		}
	}
	return world
}

// schedule has the world's troubles happen.
func schedule(world *simulation, settings choice.Settings) {
	faults := []func(*simServer){world.drain, world.vanish, world.restart, world.fail}
	for i := range 8 + len(world.servers)/3 {
		h := world.servers[world.rng.IntN(len(world.servers))]
		world.after(world.upTo(drawnDay), func() { faults[i%len(faults)](h) })
	}
	if settings.Subscribe {
		for range 1 + len(world.nodes)/2 {
			n := world.nodes[world.rng.IntN(len(world.nodes))]
			world.after(world.upTo(drawnDay), func() { world.breakList(n) })
		}
	}
	if world.often(0.3) { // for a time a plan names the zones
		at, plan := world.upTo(drawnDay/2), drawPlan(world, settings)
		world.after(at, func() { world.planFor(plan) })
		world.after(at+4*time.Second, func() { world.planFor(choice.ZonePlan{}) })
	}
}

// drawPlan draws a plan that names some zones, with advice up to the most that clients heed.
func drawPlan(world *simulation, settings choice.Settings) choice.ZonePlan {
	plan := choice.ZonePlan{Grants: []choice.Grant{}, RetryAfter: world.upTo(settings.Limits.MaxRetryAfter)}
	seen := map[string]bool{}
	for _, h := range world.servers {
		if !seen[h.Zone] && world.often(0.6) {
			plan.Grants = append(plan.Grants, choice.Grant{Zone: h.Zone, Load: world.rng.Float64() * 40})
		}
		seen[h.Zone] = true
	}
	for range settings.Classes {
		plan.AdmitFraction = append(plan.AdmitFraction, 0.3+0.7*world.rng.Float64())
	}
	return plan
}

func (w *simulation) planFor(p choice.ZonePlan) {
	w.count("plans")
	for _, n := range w.nodes {
		w.deliver(n, p)
	}
}

// stopNodes has all nodes stop: each waiting request gets its answer in that step.
func stopNodes(w *simulation) {
	for _, id := range slices.Sorted(maps.Keys(w.requests)) { // the order of a map must not sway a run
		if r := w.requests[id]; !r.answered && !r.open && !r.over && !r.gone && r.deadline > w.now {
			w.count("requests that wait as their node stops")
			w.deliver(r.node, choice.TimeUp{ID: id})
		}
	}
}

// TestRandomSettingsKeepTheRules draws settings and worlds by seed and checks the rules in each: one final answer in
// time, attempts within the limit and one at a time, nothing after the end, no effect twice, nothing to servers that
// drain or are gone, and no action that the settings don't allow.
func TestRandomSettingsKeepTheRules(t *testing.T) {
	worlds := drawnSettings
	if n, err := strconv.Atoi(os.Getenv("RANDOM_SETTINGS")); err == nil {
		worlds = n
	}
	total := map[string]int{}
	for seed := range uint64(worlds) {
		counts := playDrawn(t, seed)
		for what, n := range counts {
			total[what] += n
		}
		for _, what := range []string{"requests", "sends", "connections", "slow starts"} {
			if counts[what] == 0 {
				t.Errorf("seed %d: no %s", seed, what)
			}
		}
	}
	t.Log(total)
	for _, what := range []string{
		"drains", "servers that vanish", "slow starts", "sends to servers in slow start", "failing servers", "sheds",
		"rejected by a full server", "retries", "safe repeats", "keyed repeats, scope all", "keyed repeats, scope zone",
		"keyed repeats, scope cell", "rejections of what may have run", "failures of what may have run", "rejections",
		"failures",
		"clients that leave", "clients that return", "cancels", "health checks", "moves", "messages", "lost messages",
		"failed asks",
		"broken subscriptions", "delay notes", "plans", "advice", "requests that wait as their node stops",
	} {
		if total[what] < worlds/4 {
			t.Errorf("%s: %d in %d worlds; the run shows too little of it", what, total[what], worlds)
		}
	}
}

// TestDrawnWorldsRepeat guards the seeds that a failure names: a world has to be the same each time.
func TestDrawnWorldsRepeat(t *testing.T) {
	for seed := range uint64(4) {
		if first, again := playDrawn(t, seed), playDrawn(t, seed); !maps.Equal(first, again) {
			t.Errorf("seed %d: %v, then %v", seed, first, again)
		}
	}
}
