package choice_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"spurwinch/choice"
)

// Simulated time starts here: a start time of zero would read as a server that started long ago.
const simulationStart = time.Hour

// simulation plays real balancers among simulated servers, clients, discovery and links, in simulated time. All
// chance comes from one seed. It uses the exported interface of the balancer alone and hands each action to a judge
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

// terms are what a simulated world is like beyond the settings of the nodes.
type terms struct {
	perServer      float64       // mean connections that fill a warm server
	connectionTime time.Duration // mean lifetime of a connection
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

// judge sees the events and actions of the nodes. The first violation ends the test.
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

func (a *agenda) Push(x any) {
	*a = append(*a, x.(occurrence)) //nolint:forcetypeassert // only occurrences are pushed
}

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
	listed    map[choice.ServerID]choice.Server // as it was last published
}

// simServer is one server. Its capacity grows evenly over its warm-up.
type simServer struct {
	choice.Server
	strength     float64 // what it can do when warm, in units of terms.perServer; nodes may know another value
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
	informed bool // its node knew of the server's present start
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
	open     bool // its node knows that a connection is open
	answered bool // its node gave a final answer
	over     bool // its node was notified that it is over
	gone     bool // its node was notified that nobody waits
}

type simAttempt struct {
	request     *simRequest
	number      int
	server      *simServer
	sentAt      time.Duration
	established bool
	settled     bool // its outcome is known to the world
	ended       bool // its node was notified of its outcome
	outcome     choice.Outcome
}

func newSimulation(tb testing.TB, name string, settings choice.Settings, of terms, servers []choice.Server,
	seed uint64, j judge,
) *simulation {
	tb.Helper()
	world := &simulation{
		t: tb, name: name, rng: rand.New(rand.NewPCG(seed, 11)), now: simulationStart, settings: settings, terms: of,
		byID: map[choice.ServerID]*simServer{}, requests: map[choice.RequestID]*simRequest{}, judge: j,
		counts: map[string]int{},
	}
	for _, server := range servers {
		h := &simServer{Server: server, strength: max(server.Size, 0.1), running: server.State == choice.Ready}
		world.servers, world.byID[h.ID] = append(world.servers, h), h
		world.after(world.upTo(250*time.Millisecond), func() { world.refresh(h) })
	}
	for number := range settings.Nodes {
		settings.Node = number
		b, err := choice.New(settings, seed*1000+uint64(number), world.now)
		if err != nil {
			tb.Fatalf("%s: %v", name, err)
		}
		n := &simNode{
			number: number, balancer: b, listed: map[choice.ServerID]choice.Server{},
			following: !settings.Subscribe,
		}
		world.nodes = append(world.nodes, n)
		if !settings.Subscribe {
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

// publish notifies nodes of a server's entry, each after a delay of its own, in sequence for each node.
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
