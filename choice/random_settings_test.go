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
	// tellLimit is the most bytes of a message between nodes.
	tellLimit = 256
)

// rulesJudge checks the rules for every node and request of a simulation, from the events and actions alone.
type rulesJudge struct {
	w     *simulation
	nodes map[*simNode]*nodeBook
}

// nodeBook is what the judge keeps of one node.
type nodeBook struct {
	everListed map[choice.ServerID]bool
	offSince   map[choice.ServerID]time.Duration // since when it was told that the host drains or is gone
	lists      map[choice.ServerID]choice.ServerState
	lostAt     time.Duration // since when it owes an ask for the list; 0: it owes none
	planAt     time.Duration // what was decided in the step of its coming, before it, goes by the one before
	zones      []string      // the plan's, nearest first; nil: no plan
	planned    bool
	before     map[choice.RequestID]requestState
}

// requestState is what a node knew of a request before the batch in hand: what a batch tells may come behind the event that an
// action answers.
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
	j.w.t.Fatalf("%s, node %d at %v: %s\nsettings: %+v", j.w.name, n.number, j.w.now-simulationStart, fmt.Sprintf(format, args...),
		j.w.settings)
}

func (j *rulesJudge) told(n *simNode, e choice.Event) {
	k := j.book(n)
	switch e := e.(type) {
	case choice.ServerList:
		j.toldList(n, k, e)
	case choice.Request:
		r := j.w.requests[e.ID]
		r.deadline = j.w.now + e.TimeLeft
		j.w.after(e.TimeLeft+j.w.settings.Rules.AnswerSlack+1, func() { j.mustBeAnswered(n, r) })
	case choice.ZonePlan:
		k.planned, k.planAt, k.zones = e.Grants != nil, j.w.now, nil
		for _, g := range e.Grants {
			k.zones = append(k.zones, g.Zone)
		}
	case choice.Established:
		k.keep(e.ID, j.w)
	case choice.AttemptEnded:
		k.keep(e.ID, j.w)
	case choice.ClientGone:
		k.keep(e.ID, j.w)
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

func (j *rulesJudge) toldList(n *simNode, k *nodeBook, e choice.ServerList) {
	if e.Kind == choice.ListUnavailable {
		lost := j.w.now
		k.lostAt = lost
		j.w.after(j.w.settings.Rules.MaxPollInterval, func() {
			if k.lostAt == lost {
				j.broken(n, "the list was lost at %v and not asked for again", lost-simulationStart)
			}
		})
		return
	}
	named := map[choice.ServerID]choice.ServerState{}
	if e.Kind != choice.ListChange {
		for id := range k.lists {
			named[id] = choice.Gone
		}
	}
	for _, s := range e.Servers {
		named[s.ID], k.everListed[s.ID] = s.State, true
	}
	for id, state := range named {
		k.lists[id] = state
		if _, off := k.offSince[id]; state == choice.Ready {
			delete(k.offSince, id)
		} else if !off {
			k.offSince[id] = j.w.now
		}
	}
}

func (j *rulesJudge) mustBeAnswered(n *simNode, r *simRequest) {
	if !r.answered && !r.open && !r.over && !r.gone {
		j.broken(n, "%s has no answer by its deadline %v and the slack", r.ID, r.deadline-simulationStart)
	}
}

func (j *rulesJudge) acts(n *simNode, a choice.Action) {
	k, limits := j.book(n), j.w.settings.Limits
	switch a := a.(type) {
	case choice.StartAttempt:
		j.sends(n, k, a)
	case choice.Reject:
		r := j.final(n, k, a.ID)
		if r.mayHaveRun() != nil {
			if r.class.Idempotency == choice.NotIdempotent || r.class.Idempotency == choice.IdempotentByKey && r.class.IdempotencyScope != choice.ScopeAll {
				j.broken(n, "%s may have run and is refused as if it had not: %+v", r.ID, r.class)
			}
			j.w.count("refusals of what may have run")
		}
		j.advises(n, a)
	case choice.Fail:
		if r := j.final(n, k, a.ID); r.mayHaveRun() != nil {
			j.w.count("failures of what may have run")
		}
	case choice.CancelAttempt:
		r := j.w.requests[a.ID]
		if !limits.Cancellation || r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
			j.broken(n, "%+v is not allowed or names no attempt", a)
		}
	case choice.HealthCheck:
		if !limits.HealthChecks || !k.everListed[a.Server] {
			j.broken(n, "%+v is not allowed or names no listed host", a)
		}
	case choice.Migrate:
		r := j.w.requests[a.ID]
		if r == nil || r.node != n || !r.open && !k.state(r).open || k.state(r).over {
			j.broken(n, "%+v names no open connection of this node", a)
		}
	case choice.SetTimer:
		if a.Token == "" || a.After < 0 {
			j.broken(n, "bad timer %+v", a)
		}
	case choice.WatchList:
		if !j.w.settings.Subscribe {
			j.broken(n, "asks for a list that is pushed")
		}
		k.lostAt = 0
	case choice.SendPeerMessage:
		if !limits.PeerMessages || a.To < 0 || a.To >= len(j.w.nodes) || a.To == n.number || len(a.Data) > tellLimit {
			j.broken(n, "message of %d bytes to %d is not allowed or goes nowhere", len(a.Data), a.To)
		}
	}
}

// advises checks the advice of a refusal.
func (j *rulesJudge) advises(n *simNode, a choice.Reject) {
	if a.RetryAfter == 0 {
		return
	}
	j.w.count("advice")
	if limits := j.w.settings.Limits; !limits.RetryAfter || a.RetryAfter < 0 || a.RetryAfter > limits.MaxRetryAfter {
		j.broken(n, "advice of %v is not allowed; at most %v, allowed: %v", a.RetryAfter, limits.MaxRetryAfter, limits.RetryAfter)
	}
}

// mayHaveRun is the first attempt that may have run at its host, or is out and may yet.
func (r *simRequest) mayHaveRun() *simAttempt {
	for _, at := range r.attempts {
		if !at.ended || !at.outcome.NeverRan() {
			return at
		}
	}
	return nil
}

// final checks a final answer: it is the only one, and comes in time.
func (j *rulesJudge) final(n *simNode, k *nodeBook, id choice.RequestID) *simRequest {
	r := j.w.requests[id]
	if r == nil || r.node != n || r.answered {
		j.broken(n, "a second or foreign answer for %s", id)
	}
	if was := k.state(r); was.open || was.over || was.gone {
		j.broken(n, "an answer for %s, which is over: %+v", id, was)
	}
	if j.w.now > r.deadline+j.w.settings.Rules.AnswerSlack {
		j.broken(n, "an answer for %s after its deadline %v", id, r.deadline-simulationStart)
	}
	return r
}

func (j *rulesJudge) sends(n *simNode, k *nodeBook, a choice.StartAttempt) {
	r, h, rules := j.w.requests[a.ID], j.w.byID[a.Server], j.w.settings.Rules
	switch {
	case r == nil || r.node != n || h == nil || !k.everListed[a.Server]:
		j.broken(n, "%+v names no request of this node or no listed host", a)
	case r.answered || k.state(r).open || k.state(r).over:
		j.broken(n, "%s is sent after its final answer", a.ID)
	case k.state(r).gone:
		j.broken(n, "%s is sent after its client has gone", a.ID)
	case len(r.attempts) >= j.w.settings.Limits.MaxAttempts:
		j.broken(n, "%s is sent a %dth time", a.ID, len(r.attempts)+1)
	case len(r.attempts) > 0 && !r.attempts[len(r.attempts)-1].ended:
		j.broken(n, "two attempts of %s are out", a.ID)
	case a.Timeout <= 0 || j.w.now+a.Timeout > r.deadline:
		j.broken(n, "the cap of %+v outlives its client at %v", a, r.deadline-simulationStart)
	}
	if since, off := k.offSince[a.Server]; off && j.w.now > since+rules.DrainGrace {
		j.broken(n, "%+v: it was told at %v that the host drains or is gone", a, since-simulationStart)
	}
	if k.planned && j.w.now > k.planAt && r.StickyServer != a.Server && !slices.Contains(k.zones, h.Zone) {
		j.broken(n, "%+v leaves the zones of the plan %v for %s", a, k.zones, h.Zone)
	}
	if may := r.mayHaveRun(); may != nil {
		j.repeats(n, a, r, may, h)
	}
}

// repeats checks a further attempt of a request that may have run.
func (j *rulesJudge) repeats(n *simNode, a choice.StartAttempt, r *simRequest, may *simAttempt, h *simHost) {
	c := r.class
	switch {
	case c.Idempotency == choice.Idempotent:
		j.w.count("safe repeats")
	case c.Idempotency == choice.NotIdempotent:
		j.broken(n, "%s is unsafe, may have run and is sent again", a.ID)
	case j.w.now > may.sentAt+c.IdempotencyWindow || a.SendBefore <= 0 || a.SendBefore > may.sentAt+c.IdempotencyWindow:
		j.broken(n, "%+v: the window of %v since %v is over", a, c.IdempotencyWindow, may.sentAt-simulationStart)
	case c.IdempotencyScope == choice.ScopeZone && h.Zone != may.host.Zone, c.IdempotencyScope == choice.ScopeCell && h.Cell != may.host.Cell:
		j.broken(n, "%+v leaves the hosts that know of it: %+v, first %+v", a, h.Server, may.host.Server)
	default:
		j.w.count("keyed repeats, scope " + []string{"all", "zone", "cell"}[c.IdempotencyScope])
	}
}

func (j *rulesJudge) stepped(n *simNode, events []choice.Event, actions []choice.Action) {
	k := j.book(n)
	clear(k.before)
	waiting := 0
	for _, e := range events {
		switch e.(type) {
		case choice.PeerMessage, choice.HealthCheckResult, choice.ServerList: // each may go on with all that waits
			waiting = len(j.w.requests)
		}
	}
	if most := 40 * (1 + len(events) + len(j.w.hosts) + waiting); len(actions) > most {
		j.broken(n, "%d actions for %d events", len(actions), len(events))
	}
}

// drawSettings draws what nodes are told and what the world is like.
func drawSettings(rng *rand.Rand) (choice.Settings, terms, []choice.Server) {
	chance := func(part float64) bool { return rng.Float64() < part }
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*rng.Float64() }
	seconds := func(lo, hi float64) time.Duration { return time.Duration(between(lo, hi) * float64(time.Second)) }
	hosts, zones := 3+int(58*rng.Float64()*rng.Float64()), 1+rng.IntN(5)
	world := terms{
		perHost: between(6, 20), life: seconds(3, 9), listDelay: seconds(0.05, 2), lossOfList: between(0, 0.4),
		lossOfTells: between(0, 0.3), tries: 1 + rng.IntN(4), leavers: between(0, 0.2), toldLoads: chance(0.4),
		oddAnswers: between(0.02, 0.2), shedAt: between(1, 1.6), homes: 0.03, skew: 1 + rng.IntN(5),
	}
	world.slotsAt = world.shedAt * between(0.8, 1.1)
	s := choice.Settings{
		Nodes: 1 + rng.IntN(30), Zone: "z0", GroupAffinity: chance(0.4), PacketPassThrough: chance(0.2), Subscribe: chance(0.5),
		Reports: choice.ReportSource(rng.IntN(3)), Sizes: choice.SizeKind(rng.IntN(3)), DelaysObserved: chance(0.5),
		OverQuotaPriority: between(0, 1), PriorityPerWork: chance(0.5), RoundTrip: 5 * time.Millisecond,
		Limits: choice.Limits{
			MaxAttempts: 1 + rng.IntN(8), HealthChecks: chance(0.8), Cancellation: chance(0.7), PeerMessages: chance(0.6),
			RetryAfter: chance(0.6), MaxRetryAfter: seconds(0.5, 3), ConnectTimeout: seconds(0.05, 0.4),
		},
		Rules: choice.Rules{
			AnswerSlack: 20 * time.Millisecond, MaxPollInterval: seconds(2, 10), DrainGrace: seconds(0.3, 5),
			SlowStartFraction: between(0.1, 0.6), WarmUp: seconds(4, 25), OverloadMultiple: between(2, 5), OverloadTime: seconds(1, 3),
		},
		Costs: choice.Costs{HealthCheck: between(0.001, 0.01), Migration: 0.01, PeerMessage: between(0, 0.02), CrossZone: between(0, 0.03)},
	}
	if s.Reports != choice.NoReports {
		s.ReportFields = []choice.ReportField{choice.Load, choice.Backlog, choice.InFlight, choice.Queue, choice.Utilization, choice.Latency}
		rng.Shuffle(len(s.ReportFields), func(a, b int) { s.ReportFields[a], s.ReportFields[b] = s.ReportFields[b], s.ReportFields[a] })
		s.ReportFields = s.ReportFields[:1+rng.IntN(4)]
	}
	if chance(0.5) {
		s.InitialCost = 1 / world.perHost
	}
	for i := range 1 + rng.IntN(5) {
		c := choice.Class{
			Name: fmt.Sprint("c", i), SetupObjective: seconds(0.2, 0.8), Deadline: seconds(0.8, 4), Priority: between(0.5, 8),
			MessageObjective: seconds(0.05, 0.2), Idempotency: choice.Idempotency(rng.IntN(3)),
		}
		if c.Idempotency == choice.IdempotentByKey {
			c.IdempotencyScope, c.IdempotencyWindow = choice.Scope(rng.IntN(3)), seconds(0.1, 4)
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range rng.IntN(2) * (1 + rng.IntN(4)) {
		s.Tenants = append(s.Tenants, choice.Tenant{
			Name: fmt.Sprint("t", i), Rate: between(1, 10), Share: 0.2,
			Connections: between(0, 1) * float64(hosts) * world.perHost,
		})
	}
	var list []choice.Server
	for i := range hosts {
		h := choice.Server{
			ID: choice.ServerID(fmt.Sprintf("h%02d", i)), Zone: fmt.Sprint("z", i%zones), Kind: fmt.Sprint("k", i%2),
			Cell: i % (2 * zones), Size: 1,
		}
		if s.Sizes != choice.NoSize {
			h.Size = between(0.5, 2)
		}
		list = append(list, h)
	}
	return s, world, list
}

// playDrawn plays one drawn world and returns how often what happened.
func playDrawn(t *testing.T, seed uint64) map[string]int {
	t.Helper()
	return playDrawnWorld(t, seed, nil).counts
}

// playDrawnWorld plays one drawn world and returns it as it is at its end. The recorder sees all actions; nil: nobody does.
func playDrawnWorld(t *testing.T, seed uint64, r *recorder) *simulation {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	s, world, list := drawSettings(rng)
	j := newRulesJudge()
	w := newSimulation(t, fmt.Sprintf("seed %d", seed), s, world, list, seed, j)
	j.w, w.recorder = w, r
	watchdog := time.AfterFunc(worldLimit, func() { panic(fmt.Sprintf("seed %d: the world hangs", seed)) })
	defer watchdog.Stop()

	capacity := float64(len(list)) * world.perHost / world.life.Seconds() // new connections a second that fill all hosts
	draw := func() *simClient {
		c := &simClient{class: w.rng.IntN(len(s.Classes)), tenant: -1, key: w.rng.Uint64(), load: 1}
		if len(s.Tenants) > 0 {
			c.tenant = w.rng.IntN(len(s.Tenants))
		}
		if s.GroupAffinity {
			c.group = w.rng.Uint64N(20)
		}
		if world.toldLoads {
			c.load = 0.5 + w.rng.Float64()
		}
		return c
	}
	w.arrivalsFor(drawnDay, capacity*(0.3+0.6*rng.Float64()), draw)
	w.after(w.upTo(drawnDay), func() { w.arrivalsFor(2*time.Second, capacity*2, draw) }) // a burst
	schedule(w, s)
	w.run(w.now + drawnDay)
	stopNodes(w)
	w.terms.tries = 0 // who comes later than that has no answer within the run
	w.run(w.now + 12*time.Second)
	for _, r := range w.requests {
		if !r.answered && !r.open && !r.over && !r.gone {
			t.Fatalf("seed %d: %s never got its answer", seed, r.ID)
		}
	}
	return w
}

// schedule has the world's troubles happen.
func schedule(w *simulation, s choice.Settings) {
	trouble := []func(*simHost){w.drain, w.vanish, w.restart, w.fail}
	for i := range 8 + len(w.hosts)/3 {
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		w.after(w.upTo(drawnDay), func() { trouble[i%len(trouble)](h) })
	}
	if s.Subscribe {
		for range 1 + len(w.nodes)/2 {
			n := w.nodes[w.rng.IntN(len(w.nodes))]
			w.after(w.upTo(drawnDay), func() { w.breakList(n) })
		}
	}
	if w.often(0.3) { // for a time a plan names the zones
		at, plan := w.upTo(drawnDay/2), drawPlan(w, s)
		w.after(at, func() { w.planFor(plan) })
		w.after(at+4*time.Second, func() { w.planFor(choice.ZonePlan{}) })
	}
}

// drawPlan draws a plan that names some zones, with advice up to the most that clients heed.
func drawPlan(w *simulation, s choice.Settings) choice.ZonePlan {
	plan := choice.ZonePlan{Grants: []choice.Grant{}, RetryAfter: w.upTo(s.Limits.MaxRetryAfter)}
	seen := map[string]bool{}
	for _, h := range w.hosts {
		if !seen[h.Zone] && w.often(0.6) {
			plan.Grants = append(plan.Grants, choice.Grant{Zone: h.Zone, Load: w.rng.Float64() * 40})
		}
		seen[h.Zone] = true
	}
	for range s.Classes {
		plan.AdmitFraction = append(plan.AdmitFraction, 0.3+0.7*w.rng.Float64())
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

// TestRandomSettingsKeepTheRules draws settings and worlds by seed and checks the rules in each: one final answer in time, attempts
// within the limit and one at a time, nothing after the end, no effect twice, nothing to hosts that drain or are gone, and no
// action that the settings don't allow.
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
		for _, what := range []string{"requests", "sends", "connections", "cold starts"} {
			if counts[what] == 0 {
				t.Errorf("seed %d: no %s", seed, what)
			}
		}
	}
	t.Log(total)
	for _, what := range []string{
		"drains", "hosts that vanish", "cold starts", "sends to cold hosts", "failing hosts", "sheds",
		"refused by a full host", "retries", "safe repeats", "keyed repeats, scope all", "keyed repeats, scope zone",
		"keyed repeats, scope cell", "refusals of what may have run", "failures of what may have run", "refusals", "failures",
		"clients that leave", "clients that return", "cancels", "probes", "moves", "messages", "lost messages", "failed asks",
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
