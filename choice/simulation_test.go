package choice_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"spurwinch/choice"
)

// Simulated time starts here: a start time of zero would read as a server that started long ago.
const simulationStart = time.Hour

// simulation plays real balancers among simulated servers, clients, discovery and links, in simulated time. All
// chance comes from one seed. It uses the exported interface of the module alone and hands each action to a judge
// before it carries it out.
type simulation struct {
	t        testing.TB
	name     string
	rng      *rand.Rand
	now      time.Duration
	agenda   agenda
	queued   int
	settings choice.Settings
	terms    terms
	nodes    []*simNode
	servers  []*simServer
	byID     map[choice.ServerID]*simServer
	requests map[choice.RequestID]*simRequest
	judge    judge
	counts   map[string]int
	recorder *recorder // of all actions; nil: none
}

// terms are what a simulated world is like beyond the settings that nodes are told.
type terms struct {
	perServer      float64       // mean connections that fill a warm server
	connectionTime time.Duration // mean life of a connection
	listDelay      time.Duration // longest delay of a change on its way to a node
	lossOfList     float64       // part of the asks for a list that fail
	messageLoss    float64       // part of the messages between nodes that get lost
	tries          int           // most requests of one client
	leavers        float64       // part of the clients that lose patience early
	loadsReported  bool          // requests name their load
	oddAnswers     float64       // part of the set-ups that end with no connection: an error, a loss, or served at once
	shedAt         float64       // load from which on a server sheds connections
	slotsAt        float64       // load from which on a server rejects connections
	homes          float64       // part of the requests that resume on some server
	skew           int           // a fifth of the nodes gets this many times the traffic of the others
}

// judge sees what nodes are told and what they do. The first violation ends the test.
type judge interface {
	delivered(n *simNode, e choice.Event)
	acted(n *simNode, a choice.Action)
	stepped(n *simNode, events []choice.Event, actions []choice.Action)
}

type occurrence struct {
	at    time.Duration
	order int // of two at the same time the one queued first comes first
	do    func()
}

type agenda []occurrence

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(occurrence)) } //nolint:forcetypeassert // only occurrences are pushed
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// simNode is one node: a balancer and what is on its way to it.
type simNode struct {
	number    int
	balancer  *choice.Balancer
	inbox     []choice.Event
	awake     bool // a batch is due
	following bool // changes of the list reach it
	listAt    time.Duration
	listed    map[choice.ServerID]choice.Server // as it was last told
}

// simServer is one server. Its capacity grows evenly over its warm-up.
type simServer struct {
	choice.Server
	strength     float64 // what it can do when warm, in units of terms.perServer; nodes may be told otherwise
	running      bool
	failingUntil time.Duration
	held         []*simAttempt   // connections that stand, oldest first
	starts       []time.Duration // ones in slow start
	arrivals     []arrival
	seen         float64 // load as its reports show it, some time old
	seenHeld     int
}

// arrival is one attempt that reached a server.
type arrival struct {
	at       time.Duration
	informed bool // its node had been told of the server's present start
}

type simClient struct {
	class  int
	tenant int
	key    uint64
	group  uint64
	load   float64
	tries  int
}

type simRequest struct {
	choice.Request
	node     *simNode
	client   *simClient
	class    choice.Class
	deadline time.Duration
	attempts []*simAttempt
	open     bool // its node knows that a connection stands
	answered bool // its node gave a final answer
	over     bool // its node was told that it is over
	gone     bool // its node was told that nobody waits
}

type simAttempt struct {
	request     *simRequest
	number      int
	server      *simServer
	sentAt      time.Duration
	established bool
	settled     bool // its outcome is known to the world
	ended       bool // its outcome was told to the node
	outcome     choice.Outcome
}

func newSimulation(tb testing.TB, name string, s choice.Settings, of terms, servers []choice.Server, seed uint64,
	j judge,
) *simulation {
	world := &simulation{
		t: tb, name: name, rng: rand.New(rand.NewPCG(seed, 11)), now: simulationStart, settings: s, terms: of,
		byID: map[choice.ServerID]*simServer{}, requests: map[choice.RequestID]*simRequest{}, judge: j,
		counts: map[string]int{},
	}
	for _, server := range servers {
		h := &simServer{Server: server, strength: max(server.Size, 0.1), running: server.State == choice.Ready}
		world.servers, world.byID[h.ID] = append(world.servers, h), h
		world.after(world.upTo(250*time.Millisecond), func() { world.refresh(h) })
	}
	for number := range s.Nodes {
		s.Node = number
		b, err := choice.New(s, seed*1000+uint64(number), world.now)
		if err != nil {
			tb.Fatalf("%s: %v", name, err)
		}
		n := &simNode{number: number, balancer: b, listed: map[choice.ServerID]choice.Server{}, following: !s.Subscribe}
		world.nodes = append(world.nodes, n)
		if !s.Subscribe {
			world.deliver(n, choice.ServerList{Kind: choice.ListFull, Servers: world.entries()})
		} else {
			world.deliver(n, choice.ServerList{Kind: choice.ListCached, Servers: world.entries()})
		}
	}
	return world
}

// after has something happen once a time has passed.
func (w *simulation) after(d time.Duration, do func()) {
	w.queued++
	heap.Push(&w.agenda, occurrence{w.now + max(d, 0), w.queued, do})
}

// run lets time pass up to a moment.
func (w *simulation) run(to time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at <= to {
		next := heap.Pop(&w.agenda).(occurrence) //nolint:forcetypeassert // only occurrences are pushed
		w.now = next.at
		next.do()
	}
	w.now = to
}

// upTo draws a time of at most d.
func (w *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(d))
}

// around draws a time of d in the mean.
func (w *simulation) around(d time.Duration) time.Duration {
	return time.Duration((0.5 + w.rng.Float64()) * float64(d))
}

// often is true in the given part of its calls.
func (w *simulation) often(part float64) bool { return w.rng.Float64() < part }

// count notes that something happened, for the check that a run exercised what it is to show.
func (w *simulation) count(what string) { w.counts[what]++ }

// deliver puts an event into a node's inbox; batches come at most once a round.
func (w *simulation) deliver(n *simNode, e choice.Event) {
	n.inbox = append(n.inbox, e)
	if !n.awake {
		n.awake = true
		w.after(w.settings.RoundTrip, func() { w.batch(n) })
	}
}

func (w *simulation) batch(node *simNode) {
	events := node.inbox
	node.inbox, node.awake = nil, false
	for _, e := range events {
		w.judge.delivered(node, e)
		w.note(node, e)
	}
	actions := node.balancer.Step(w.now, events)
	w.recorder.step(w.now, node.number, actions)
	for _, a := range actions {
		w.judge.acted(node, a)
		w.perform(node, a)
	}
	w.judge.stepped(node, events, actions)
}

// note keeps the world's book of what a node knows.
func (w *simulation) note(n *simNode, e choice.Event) {
	switch event := e.(type) {
	case choice.ServerList:
		if event.Kind == choice.ListFull || event.Kind == choice.ListCached {
			clear(n.listed)
		}
		for _, s := range event.Servers {
			n.listed[s.ID] = s
		}
	case choice.Established:
		w.requests[event.ID].open = true
	case choice.AttemptEnded:
		if r := w.requests[event.ID]; r != nil {
			r.attempts[event.Attempt].ended, r.attempts[event.Attempt].outcome = true, event.Outcome
			r.over = r.over || event.Final
		}
	case choice.ClientGone:
		w.requests[event.ID].gone = true
	}
}

func (w *simulation) perform(node *simNode, a choice.Action) {
	switch action := a.(type) {
	case choice.SetTimer:
		w.after(action.After, func() { w.deliver(node, choice.TimerFired{Token: action.Token}) })
	case choice.StartAttempt:
		w.send(w.requests[action.ID], w.byID[action.Server], action.Timeout)
	case choice.Reject:
		w.count("rejections")
		w.answer(w.requests[action.ID], true, action.RetryAfter)
	case choice.Fail:
		w.count("failures")
		r := w.requests[action.ID]
		w.answer(r, r.class.Idempotency == choice.Idempotent, 0)
	case choice.CancelAttempt:
		w.count("cancels")
		if at := w.requests[action.ID].attempts[action.Attempt]; !at.established {
			w.settle(at, choice.Cancelled, w.settings.RoundTrip)
		}
	case choice.HealthCheck:
		w.checkHealth(node, w.byID[action.Server])
	case choice.Migrate:
		w.count("moves")
		r := w.requests[action.ID]
		at := r.attempts[len(r.attempts)-1]
		w.after(w.upTo(100*time.Millisecond), func() { w.closeConnection(at, choice.Cancelled, true) })
	case choice.WatchList:
		w.follow(node)
	case choice.SendPeerMessage:
		w.sendMessage(node, action)
	}
}

// sendMessage carries a message between nodes: some get lost, some come twice.
func (w *simulation) sendMessage(node *simNode, action choice.SendPeerMessage) {
	if w.often(w.terms.messageLoss) {
		w.count("lost messages")
		return
	}
	w.count("messages")
	copies := 1
	if w.often(w.terms.messageLoss / 3) {
		copies = 2
	}
	for range copies {
		w.after(5*time.Millisecond+w.upTo(20*time.Millisecond), func() {
			w.deliver(w.nodes[action.To], choice.PeerMessage{From: node.number, Data: action.Data})
		})
	}
}

// entries is the whole list as discovery has it: gone servers are not in it.
func (w *simulation) entries() (all []choice.Server) {
	for _, h := range w.servers {
		if h.State != choice.Gone {
			all = append(all, h.Server)
		}
	}
	return all
}

// publish tells nodes of a server's entry, each after a delay of its own, in sequence for each node.
func (w *simulation) publish(h *simServer) {
	for _, n := range w.nodes {
		if n.following {
			w.bringList(n, choice.ServerList{Kind: choice.ListChange, Servers: []choice.Server{h.Server}})
		}
	}
}

func (w *simulation) bringList(n *simNode, e choice.ServerList) {
	n.listAt = max(n.listAt, w.now+w.upTo(w.terms.listDelay))
	w.after(n.listAt-w.now, func() { w.deliver(n, e) })
}

func (w *simulation) follow(n *simNode) {
	if w.often(w.terms.lossOfList) {
		w.count("failed asks")
		w.bringList(n, choice.ServerList{Kind: choice.ListUnavailable})
		return
	}
	n.following = true
	w.bringList(n, choice.ServerList{Kind: choice.ListFull, Servers: w.entries()})
}

// breakList ends a node's subscription: what changes from now on does not reach it.
func (w *simulation) breakList(n *simNode) {
	w.count("broken subscriptions")
	n.following = false
	w.bringList(n, choice.ServerList{Kind: choice.ListUnavailable})
}

// warm is the part of its capacity that a server has now.
func (w *simulation) warm(h *simServer) float64 {
	age := w.now - h.Started
	if h.Started == 0 || age >= w.settings.Rules.WarmUp {
		return 1
	}
	cold := w.settings.Rules.SlowStartFraction
	return cold + (1-cold)*age.Seconds()/w.settings.Rules.WarmUp.Seconds()
}

// load is a server's load now, over what it can do now.
func (w *simulation) load(h *simServer) (sum float64) {
	for _, at := range h.held {
		sum += at.request.client.load
	}
	return sum / w.terms.perServer / w.warm(h) / h.strength
}

// refresh renews what a server's reports show, and has it shed its newest connections while it is overloaded.
func (w *simulation) refresh(server *simServer) {
	w.after(w.around(250*time.Millisecond), func() { w.refresh(server) })
	for len(server.held) > 0 && w.load(server) > w.terms.shedAt {
		w.count("sheds")
		w.closeConnection(server.held[len(server.held)-1], choice.Reset, true)
	}
	server.seen, server.seenHeld = w.load(server), len(server.held)
	if w.settings.DelaysObserved && server.seen > 0.8 && len(server.held) > 0 {
		at := server.held[w.rng.IntN(len(server.held))]
		w.count("delay notes")
		w.deliver(at.request.node, choice.DelayObservation{
			ID: at.request.ID, Server: server.ID,
			Took: w.around(time.Duration(server.seen * float64(150*time.Millisecond))),
		})
	}
	if w.terms.loadsReported && len(server.held) > 0 && w.often(0.2) {
		at := server.held[w.rng.IntN(len(server.held))]
		at.request.client.load *= 0.5 + w.rng.Float64()
		w.deliver(at.request.node, choice.LoadUpdate{
			ID: at.request.ID, Attempt: at.number,
			Load: at.request.client.load,
		})
	}
}

// report is a server's load report, a little noisy.
func (w *simulation) report(server *simServer) (values []float64) {
	for _, f := range w.settings.ReportFields {
		value := 0.0
		switch f {
		case choice.Load:
			value = server.seen
		case choice.Backlog:
			value = max(0, server.seen-1)
		case choice.InFlight:
			value = float64(server.seenHeld)
		case choice.Utilization:
			value = min(1, server.seen)
		case choice.Latency:
			value = 10 / max(0.1, 1.1-server.seen)
		case choice.Queue, choice.Throughput, choice.ErrorRate, choice.OtherField:
			value = w.rng.Float64()
		}
		values = append(values, value*(0.95+0.1*w.rng.Float64()))
	}
	return values
}

func (w *simulation) checkHealth(node *simNode, h *simServer) {
	w.count("health checks")
	took := 2*time.Millisecond + w.upTo(6*time.Millisecond)
	result := choice.HealthCheckResult{Server: h.ID, Outcome: choice.Served, Took: took}
	if !h.running || w.now < h.failingUntil {
		result.Outcome, took = choice.TimedOut, 100*time.Millisecond
	} else if w.settings.Reports != choice.NoReports {
		result.Report = w.report(h)
	}
	w.after(took, func() { w.deliver(node, result) })
}

// drawNode draws the node that a client reaches.
func (w *simulation) drawNode() *simNode {
	if w.terms.skew > 1 {
		busy := (len(w.nodes) + 4) / 5
		if w.often(float64(busy*w.terms.skew) / float64(busy*w.terms.skew+len(w.nodes)-busy)) {
			return w.nodes[w.rng.IntN(busy)]
		}
	}
	return w.nodes[w.rng.IntN(len(w.nodes))]
}

// arrive brings a client's request, its first or a further one, to a node.
func (w *simulation) arrive(client *simClient, returned bool) *simRequest {
	node, class := w.drawNode(), w.settings.Classes[client.class]
	client.tries++
	request := &simRequest{node: node, client: client, class: class}
	request.Request = choice.Request{
		ID: choice.RequestID(fmt.Sprint("r", len(w.requests)+1)), Class: client.class, Tenant: client.tenant, Key: client.key,
		Group: client.group, TimeLeft: time.Duration((0.3 + 0.7*w.rng.Float64()) * float64(class.Deadline)),
		Returned: returned,
	}
	if w.terms.loadsReported {
		request.Load = client.load
	}
	if w.settings.PacketPassThrough && w.often(0.1) {
		request.MidFlow = true
	}
	if w.often(w.terms.homes) {
		request.StickyServer = w.servers[w.rng.IntN(len(w.servers))].ID
	}
	w.requests[request.ID] = request
	w.count("requests")
	w.deliver(node, request.Request)
	if w.often(w.terms.leavers) {
		w.after(w.upTo(request.TimeLeft), func() { w.abandon(request) })
	}
	return request
}

// abandon has a client walk away, whether it still waits or is served.
func (w *simulation) abandon(request *simRequest) {
	if request.answered || request.over || request.gone {
		return
	}
	if at := request.standing(); at != nil {
		w.closeConnection(at, choice.Cancelled, false)
		return
	}
	w.count("clients that leave")
	w.deliver(request.node, choice.ClientGone{ID: request.ID})
}

// standing is the attempt whose connection stands, or nil.
func (r *simRequest) standing() *simAttempt {
	if n := len(r.attempts); n > 0 && r.attempts[n-1].established {
		return r.attempts[n-1]
	}
	return nil
}

// returns has a client come again, after a time that it chooses.
func (w *simulation) returns(c *simClient, broken bool, advice time.Duration) {
	if c.tries < w.terms.tries {
		w.count("clients that return")
		w.after(advice+w.around(150*time.Millisecond<<min(c.tries, 4)), func() { w.arrive(c, broken) })
	}
}

// answer is a node's final answer to a request.
func (w *simulation) answer(r *simRequest, again bool, advice time.Duration) {
	r.answered = true
	if at := r.standing(); at != nil { // the answer crossed the news that the connection stands
		w.closeConnection(at, choice.Cancelled, false)
	}
	if again && !r.gone {
		w.returns(r.client, false, advice)
	}
}

func (w *simulation) send(request *simRequest, server *simServer, limit time.Duration) {
	attempt := &simAttempt{request: request, number: len(request.attempts), server: server, sentAt: w.now}
	request.attempts = append(request.attempts, attempt)
	w.count("sends")
	if attempt.number > 0 {
		w.count("retries")
	}
	if request.gone || request.answered {
		w.settle(attempt, choice.NeverSent, w.settings.RoundTrip)
		return
	}
	informed := request.node.listed[server.ID].Started == server.Started
	w.after(w.upTo(3*time.Millisecond), func() { w.reach(attempt, informed) })
	w.after(limit, func() {
		if !attempt.established {
			w.settle(attempt, choice.TimedOut, 0)
		}
	})
}

// reach has an attempt reach its server.
func (w *simulation) reach(attempt *simAttempt, informed bool) {
	server := attempt.server
	if attempt.settled {
		return
	}
	server.arrivals = append(server.arrivals, arrival{w.now, informed})
	if w.warm(server) < 1 {
		w.count("sends to servers in slow start")
	}
	switch {
	case !server.running:
		w.settle(attempt, choice.ConnectFailed, w.settings.Limits.ConnectTimeout)
	case w.now < server.failingUntil:
		if w.often(0.5) {
			w.settle(attempt, choice.Failed, time.Millisecond)
		} // else it stays silent until the attempt's time is over
	case server.State != choice.Ready || w.load(server) > w.terms.slotsAt:
		w.count("rejected by a full server")
		w.settle(attempt, choice.Full, time.Millisecond)
	case w.often(w.terms.oddAnswers):
		odd := []choice.Outcome{choice.Failed, choice.Reset, choice.TimedOut, choice.ConnectFailed, choice.Served}
		w.settle(attempt, odd[w.rng.IntN(len(odd))], w.upTo(50*time.Millisecond))
	default:
		w.after(time.Duration(float64(w.around(10*time.Millisecond))/w.warm(server)), func() { w.establish(attempt) })
	}
}

func (w *simulation) establish(attempt *simAttempt) {
	request, server := attempt.request, attempt.server
	switch {
	case attempt.settled:
	case request.answered || request.gone:
		w.settle(attempt, choice.Cancelled, 0)
	case !server.running:
		w.settle(attempt, choice.Reset, 0)
	default:
		w.count("connections")
		attempt.established = true
		server.held = append(server.held, attempt)
		w.deliver(request.node, choice.Established{
			ID: request.ID, Attempt: attempt.number, Server: server.ID,
			Took: w.now - attempt.sentAt,
		})
		w.after(w.around(w.terms.connectionTime), func() { w.closeConnection(attempt, choice.Served, false) })
	}
}

// closeConnection ends a connection that stands.
func (w *simulation) closeConnection(attempt *simAttempt, outcome choice.Outcome, again bool) {
	if attempt.settled {
		return
	}
	for i, held := range attempt.server.held {
		if held == attempt {
			attempt.server.held = append(attempt.server.held[:i:i], attempt.server.held[i+1:]...)
			break
		}
	}
	w.settle(attempt, outcome, 0)
	if again {
		w.returns(attempt.request.client, true, 0)
	}
}

// settle ends an attempt; its node hears of it after a time.
func (w *simulation) settle(attempt *simAttempt, outcome choice.Outcome, after time.Duration) {
	if attempt.settled {
		return
	}
	attempt.settled = true
	w.after(after, func() {
		r := attempt.request
		e := choice.AttemptEnded{
			ID: r.ID, Attempt: attempt.number, Server: attempt.server.ID, Outcome: outcome, Took: w.now - attempt.sentAt,
			Final: outcome == choice.Served || attempt.established || r.answered || r.gone,
		}
		if w.settings.Reports == choice.AllReports && attempt.server.running {
			e.Report = w.report(attempt.server)
		}
		w.deliver(r.node, e)
	})
}

// stop ends a server's process: its connections break.
func (w *simulation) stop(h *simServer) {
	h.running = false
	for len(h.held) > 0 {
		w.closeConnection(h.held[0], choice.Reset, true)
	}
}

// drain has a server finish its work, stop and come back in slow start.
func (w *simulation) drain(server *simServer) {
	if server.State != choice.Ready || !server.running {
		return
	}
	w.count("drains")
	server.State = choice.Draining
	w.publish(server)
	w.after(w.around(3*time.Second), func() {
		w.stop(server)
		server.State = choice.Gone
		w.publish(server)
		w.after(w.around(time.Second), func() { w.start(server) })
	})
}

// vanish has a server stop without a word; discovery finds out later.
func (w *simulation) vanish(server *simServer) {
	if server.State != choice.Ready || !server.running {
		return
	}
	w.count("servers that vanish")
	w.stop(server)
	w.after(w.around(time.Second), func() {
		if !server.running {
			server.State = choice.Gone
			w.publish(server)
		}
	})
	w.after(w.around(3*time.Second), func() { w.start(server) })
}

// restart has a server's process come back at once: it is in slow start, and nothing said that it was gone.
func (w *simulation) restart(h *simServer) {
	if h.State == choice.Ready && h.running {
		w.stop(h)
		w.start(h)
	}
}

func (w *simulation) start(h *simServer) {
	if h.running {
		return
	}
	w.count("slow starts")
	h.running, h.State, h.Started = true, choice.Ready, w.now
	h.starts = append(h.starts, w.now)
	w.publish(h)
}

// fail has a server answer with errors, or not at all, for a time.
func (w *simulation) fail(h *simServer) {
	w.count("failing servers")
	h.failingUntil = w.now + w.around(2*time.Second)
}

// arrivalsFor has clients come at an even rate, by chance, for a time.
func (w *simulation) arrivalsFor(d time.Duration, perSecond float64, draw func() *simClient) {
	for at := time.Duration(0); ; {
		at += time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= d {
			return
		}
		w.after(at, func() { w.arrive(draw(), false) })
	}
}
